//! Values of rows, and how routers pass large ones on.

use std::{
    error, fmt,
    io::{self, Read as _, Write as _},
    ops::Deref,
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// The smallest value that is packed, in bytes: one that fits few packets gains little.
const MIN_PACKED_BYTES: usize = 4 * 1024;

/// The value of a row.
///
/// A configuration repeats itself in each of its routes and is a tenth as long
/// when packed. It is packed once, by the router that read it from the store;
/// those that it is passed on to keep the packed form and pass that on.
#[derive(Clone, Debug, Default)]
pub struct Value {
    bytes: Bytes,
    /// `None` inside if it could not be packed; it then goes as it is.
    packed: Arc<OnceLock<Option<Bytes>>>,
}

/// A packed value that cannot be unpacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Corrupt;

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a packed value is corrupt")
    }
}

impl error::Error for Corrupt {}

impl Value {
    /// Unpacks a value of `length` bytes.
    ///
    /// # Errors
    ///
    /// When it has another length, or is no packed value.
    pub fn unpack(packed: Bytes, length: usize) -> Result<Self, Corrupt> {
        let mut bytes = Vec::with_capacity(length);
        let max_length = u64::try_from(length).unwrap_or(u64::MAX).saturating_add(1);
        let mut decoder = DeflateDecoder::new(&packed[..]).take(max_length);
        decoder.read_to_end(&mut bytes).map_err(|_| Corrupt)?;
        if bytes.len() != length {
            return Err(Corrupt);
        }
        Ok(Self {
            bytes: Bytes::from(bytes),
            packed: Arc::new(OnceLock::from(Some(packed))),
        })
    }

    /// The packed form; `None` for a value that is too short to gain by it.
    pub fn packed(&self) -> Option<&Bytes> {
        if self.bytes.len() < MIN_PACKED_BYTES {
            return None;
        }
        let packed = self.packed.get_or_init(|| pack(&self.bytes).ok());
        packed.as_ref()
    }
}

fn pack(bytes: &[u8]) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish().map(Bytes::from)
}

impl From<Bytes> for Value {
    fn from(bytes: Bytes) -> Self {
        Self {
            bytes,
            packed: Arc::default(),
        }
    }
}

impl Deref for Value {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl PartialEq for Value {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for Value {}
