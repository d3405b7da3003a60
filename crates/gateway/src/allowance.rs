//! How many bytes may still be received on a connection.
//!
//! The framing of a body can be longer than the body, without end: the digits of a chunk's size,
//! for example. While bytes keep coming, timers of the same task may not be looked at either. So
//! bytes are counted where they are read, and reading stops at the bound.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    task::Context,
};

use futures_util::task::AtomicWaker;
use tokio::sync::Notify;

/// Represents the absence of a bound.
const NO_BOUND: u64 = u64::MAX;

/// The bytes that may still be received.
#[derive(Debug)]
pub struct Allowance {
    left: AtomicU64,
    used_up: Notify,
    reader: AtomicWaker,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            left: AtomicU64::new(NO_BOUND),
            used_up: Notify::new(),
            reader: AtomicWaker::new(),
        }
    }
}

impl Allowance {
    /// Allows this many bytes from now on.
    pub fn set(&self, bytes: u64) {
        self.left.store(bytes, Ordering::Release);
        self.reader.wake();
    }

    /// Allows any number of bytes.
    pub fn lift(&self) {
        self.set(NO_BOUND);
    }

    /// Waits until all bytes that were allowed have been received.
    pub async fn used_up(&self) {
        while self.left.load(Ordering::Acquire) > 0 {
            self.used_up.notified().await;
        }
    }

    /// Counts received bytes.
    pub fn take(&self, bytes: usize) {
        let left = self.left.load(Ordering::Acquire);
        if left == NO_BOUND {
            return;
        }
        let left = left.saturating_sub(bytes as u64);
        self.left.store(left, Ordering::Release);
        if left == 0 {
            self.used_up.notify_one();
        }
    }

    /// Whether bytes may be received. If not, the task of `cx` is woken once they may.
    pub fn is_left(&self, cx: &Context<'_>) -> bool {
        if self.left.load(Ordering::Acquire) > 0 {
            return true;
        }
        self.reader.register(cx.waker());
        self.left.load(Ordering::Acquire) > 0
    }
}
