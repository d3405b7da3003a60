//! Bounded encoding and decoding of frames.

use std::{error, fmt};

use serde::{Serialize, de::DeserializeOwned};

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The frame exceeds its limit in bytes.
    TooLong,
    /// A list in the frame exceeds its limit in items.
    TooMany,
    /// The bytes are truncated or do not follow the format.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "frame exceeds its length limit",
            Self::TooMany => "list in a frame exceeds its limit",
            Self::Malformed => "malformed frame",
        })
    }
}

impl error::Error for Error {}

/// Encodes `value` into at most `limit` bytes.
pub(crate) fn encode<T: Serialize>(value: &T, limit: usize) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_stdvec(value).map_err(|_| Error::Malformed)?;
    if bytes.len() > limit {
        return Err(Error::TooLong);
    }
    Ok(bytes)
}

/// Decodes a value, which must occupy all of `bytes`.
///
/// Input longer than `limit` is refused before it is parsed, and `postcard`
/// reserves capacity for at most as many items as bytes remain. Memory use is
/// therefore proportional to `limit`, whatever list lengths the input claims.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, Error> {
    if bytes.len() > limit {
        return Err(Error::TooLong);
    }
    let (value, rest) = postcard::take_from_bytes(bytes).map_err(|_| Error::Malformed)?;
    if !rest.is_empty() {
        return Err(Error::Malformed);
    }
    Ok(value)
}
