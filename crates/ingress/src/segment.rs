//! The memory of a part of a body.

use std::mem;

use crate::pool::Spares;

/// The most bytes of a segment.
pub const SEGMENT: usize = 16 * 1024;

/// A part of a body that grows up to its capacity.
#[derive(Debug, Default)]
pub(crate) struct Segment {
    bytes: Vec<u8>,
    spares: Spares,
}

impl Segment {
    /// Allocates a segment of `size` bytes, or takes a spare one.
    pub(crate) fn new(size: usize, spares: &Spares) -> Self {
        let spare = (size == SEGMENT).then(|| spares.take()).flatten();
        Self {
            bytes: spare.unwrap_or_else(|| Vec::with_capacity(size)),
            spares: spares.clone(),
        }
    }

    /// Adds as much of `part` as fits, and returns the rest.
    pub(crate) fn fill<'a>(&mut self, part: &'a [u8]) -> &'a [u8] {
        let room = self.bytes.capacity() - self.bytes.len();
        let (taken, rest) = part.split_at(room.min(part.len()));
        self.bytes.extend_from_slice(taken);
        rest
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.bytes.len() == self.bytes.capacity()
    }
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Segment {
    fn drop(&mut self) {
        if self.bytes.capacity() == SEGMENT {
            self.spares.put(mem::take(&mut self.bytes));
        }
    }
}
