//! Values of rows, and their compressed form for the transfer between routers.

use std::{
    error, fmt,
    io::{self, Read as _, Write as _},
    ops::Deref,
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

/// The minimum size of a value that is packed (compressed), in bytes. A value that fits a
/// few network packets gains little.
const MIN_PACKED_BYTES: usize = 4 * 1024;
/// The length of the sample that decides whether a value is packed, in bytes.
const SAMPLE_BYTES: usize = 16 * 1024;
/// The largest packed size for which a value is packed, in percent of its size. Compressing
/// the megabytes of a value takes longer than sending the few bytes that are saved.
const MAX_PACKED_PERCENT: usize = 90;

/// The value of a row.
///
/// The routes of a configuration are similar to one another, and its packed form is a tenth
/// of its size. It is packed once, by the router that read it from the store. The routers
/// that receive it keep the packed form and relay that.
#[derive(Clone, Debug, Default)]
pub struct Value {
    bytes: Bytes,
    /// The packed form, computed on first use. Contains `None` if the value does not compress
    /// or packing failed; it is sent unpacked then.
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
    /// When the bytes are not a packed value, or the value has another length.
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

    /// The packed form; `None` if the value is too small to benefit, does not compress or
    /// could not be packed.
    pub fn packed(&self) -> Option<&Bytes> {
        if self.bytes.len() < MIN_PACKED_BYTES {
            return None;
        }
        let packed = self.packed.get_or_init(|| {
            let is_worthwhile = compresses(&self.bytes).unwrap_or_default();
            is_worthwhile.then(|| pack(&self.bytes).ok()).flatten()
        });
        packed.as_ref()
    }

    /// Whether [`Self::packed`] responds without compressing the value first.
    pub fn is_packed(&self) -> bool {
        self.bytes.len() < MIN_PACKED_BYTES || self.packed.get().is_some()
    }
}

/// Whether a sample from the middle of a value becomes smaller.
fn compresses(bytes: &[u8]) -> io::Result<bool> {
    let length = bytes.len().min(SAMPLE_BYTES);
    let start = (bytes.len() - length) / 2;
    let packed = pack(&bytes[start..start + length])?;
    Ok(packed.len() * 100 <= length * MAX_PACKED_PERCENT)
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
