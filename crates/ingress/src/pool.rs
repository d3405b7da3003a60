//! The memory for bodies, and how they share it.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::Notify;

/// The unit in which memory is reserved, in bytes. It covers what an allocation takes beside its
/// bytes.
pub const UNIT: usize = 1024;

/// The share of a pool that long bodies leave to short ones, as a divisor: with 40 MB, some hundred
/// bodies of 1 KB.
const RESERVE_DIVISOR: usize = 128;

/// The limits of a [`Pool`], in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All bodies together.
    pub bytes: usize,
    /// The longest body that counts as short.
    pub short: usize,
    /// What long bodies leave to short ones, unless there is only one of them.
    pub reserve: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 16 * 1024 * 1024,
            short: 16 * 1024,
            reserve: 0,
        }
    }
}

impl Limits {
    /// A pool of `bytes`, of which a small part is left to short bodies.
    pub fn new(bytes: usize) -> Self {
        Self {
            bytes,
            reserve: bytes / RESERVE_DIVISOR,
            ..Self::default()
        }
    }
}

/// There is no memory for more of a body now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// What the body holds, in bytes.
    pub held: usize,
    /// What is left of the pool, in bytes.
    pub free: usize,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the body holds {} bytes, {} are free",
            self.held, self.free
        )
    }
}

impl std::error::Error for Denied {}

#[derive(Debug)]
struct State {
    limits: Limits,
    used: usize,
    /// The long bodies.
    long: usize,
}

impl State {
    fn is_long(&self, bytes: usize) -> bool {
        bytes > self.limits.short
    }

    /// Whether a body that holds `held` bytes may hold `wanted`.
    ///
    /// Long bodies leave the reserve to short ones, so that silent callers never take everything,
    /// however many they are. The only long body may take all there is: otherwise a body of the
    /// longest length would never be accepted on a small host.
    fn admits(&self, held: usize, wanted: usize) -> bool {
        let used = self.used - held + wanted;
        let Some(free) = self.limits.bytes.checked_sub(used) else {
            return false;
        };
        let others = self.long - usize::from(self.is_long(held));
        if !self.is_long(wanted) || others == 0 {
            return true;
        }
        free >= self.limits.reserve
    }

    fn set(&mut self, held: usize, wanted: usize) {
        self.long -= usize::from(self.is_long(held));
        self.long += usize::from(self.is_long(wanted));
        self.used = self.used - held + wanted;
    }
}

/// Segments that were freed and are used again for other bodies.
///
/// They are not given back to the allocator, which would keep them for the thread that has allocated
/// them: each thread could then keep as much as the pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spares(Arc<Mutex<Vec<Vec<u8>>>>);

impl Spares {
    fn list(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn take(&self) -> Option<Vec<u8>> {
        self.list().pop()
    }

    pub(crate) fn put(&self, mut bytes: Vec<u8>) {
        bytes.clear();
        self.list().push(bytes);
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    freed: Notify,
    spares: Spares,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory for all bodies.
#[derive(Clone, Debug)]
pub struct Pool(Arc<Shared>);

impl Pool {
    /// Creates a pool of which nothing is used.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                limits,
                used: 0,
                long: 0,
            }),
            freed: Notify::new(),
            spares: Spares::default(),
        }))
    }

    /// Adds a body, which holds nothing yet.
    pub fn open(&self) -> Share {
        Share {
            shared: Arc::clone(&self.0),
            held: 0,
        }
    }

    /// The reserved bytes.
    pub fn used(&self) -> usize {
        self.0.state().used
    }
}

/// What one body holds of a pool, until this is dropped.
#[derive(Debug)]
pub struct Share {
    shared: Arc<Shared>,
    held: usize,
}

impl Share {
    /// Reserves memory so that the body holds `bytes` at least.
    ///
    /// # Errors
    ///
    /// When there is not as much.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Denied> {
        let wanted = bytes.div_ceil(UNIT).saturating_mul(UNIT).max(self.held);
        let mut state = self.shared.state();
        if !state.admits(self.held, wanted) {
            return Err(Denied {
                held: self.held,
                free: state.limits.bytes - state.used,
            });
        }
        state.set(self.held, wanted);
        self.held = wanted;
        Ok(())
    }

    /// Waits until `bytes` can be reserved.
    ///
    /// Bodies that hold memory must not wait, since they would wait for each other.
    pub async fn wait(&mut self, bytes: usize) {
        let shared = Arc::clone(&self.shared);
        loop {
            let mut freed = std::pin::pin!(shared.freed.notified());
            freed.as_mut().enable();
            if self.grow(bytes).is_ok() {
                return;
            }
            freed.await;
        }
    }

    pub(crate) fn spares(&self) -> &Spares {
        &self.shared.spares
    }

    /// What the body holds, in bytes.
    pub fn held(&self) -> usize {
        self.held
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.held > 0 {
            self.shared.state().set(self.held, 0);
            self.shared.freed.notify_waiters();
        }
    }
}
