//! Receives one body.

use std::mem;

use bytes::Bytes;

use crate::{
    Denied, Payload, Pool, Share,
    segment::{SEGMENT, Segment},
};

/// The size of the first segment of a body without a declared length, in bytes.
const FIRST_SEGMENT: usize = 1024;

/// Receives one body into segments.
///
/// It is not received into one buffer: a buffer that grows is copied, so that the body takes up to
/// three times its length, and one of the declared length would be allocated before anything has
/// arrived.
#[derive(Debug)]
pub struct Collector {
    share: Share,
    /// The declared length, in bytes.
    expected: Option<usize>,
    full: Vec<Bytes>,
    last: Segment,
    length: usize,
    allocated: usize,
}

impl Collector {
    /// Prepares to receive a body, whose length is `expected` if it is declared.
    pub fn new(pool: &Pool, expected: Option<usize>) -> Self {
        Self::with(pool.open(), expected)
    }

    /// Prepares to receive a body of `length` bytes, for which `share` has been reserved.
    pub fn within(share: Share, length: usize) -> Self {
        Self::with(share, Some(length))
    }

    fn with(share: Share, expected: Option<usize>) -> Self {
        Self {
            share,
            expected,
            full: Vec::new(),
            last: Segment::default(),
            length: 0,
            allocated: 0,
        }
    }

    /// Waits until there is memory for the first segment of a body with a declared length.
    pub async fn wait(&mut self) {
        let first = self.next_segment();
        if self.expected.is_some() && first > 0 {
            self.share.wait(first).await;
        }
    }

    /// Adds the next part of the body.
    ///
    /// # Errors
    ///
    /// When there is no memory for all of it.
    pub fn push(&mut self, mut part: &[u8]) -> Result<(), Denied> {
        while !part.is_empty() {
            if self.last.is_full() {
                self.add_segment()?;
            }
            let rest = self.last.fill(part);
            self.length += part.len() - rest.len();
            part = rest;
        }
        Ok(())
    }

    fn add_segment(&mut self) -> Result<(), Denied> {
        let size = self.next_segment().max(1);
        self.share.grow(self.allocated + size)?;
        self.allocated += size;
        let next = Segment::new(size, self.share.spares());
        let full = mem::replace(&mut self.last, next);
        if !full.is_empty() {
            self.full.push(Bytes::from_owner(full));
        }
        Ok(())
    }

    /// The size of the next segment: what is still to come, or as much as has come already.
    fn next_segment(&self) -> usize {
        let wanted = match self.expected {
            Some(expected) => expected.saturating_sub(self.length),
            None => self.allocated.max(FIRST_SEGMENT),
        };
        wanted.min(SEGMENT)
    }

    /// The bytes received so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing has been received so far.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The whole body.
    pub fn finish(self) -> Payload {
        let mut segments = self.full;
        if !self.last.is_empty() {
            segments.push(Bytes::from_owner(self.last));
        }
        Payload::new(segments, Some(self.share))
    }
}
