//! The shared secret key and the keys derived from it.

use std::{error, fmt, str};

use subtle::ConstantTimeEq;

/// The length of a key, in bytes.
const KEY_LENGTH: usize = 32;
/// The length of a message authentication code, in bytes.
pub(crate) const MAC_LENGTH: usize = 16;

/// A message authentication code.
pub(crate) type Mac = [u8; MAC_LENGTH];

/// A secret key shared by all routers of a deployment.
///
/// It is parsed from 64 hex digits. The `Debug` output does not reveal it.
#[derive(Clone)]
pub struct Key([u8; KEY_LENGTH]);

/// The error for text that is not a valid key. It omits the text, which may be a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a key is {} hex digits", 2 * KEY_LENGTH)
    }
}

impl error::Error for Malformed {}

impl Key {
    /// Creates a key from its bytes.
    pub const fn from_bytes(bytes: [u8; KEY_LENGTH]) -> Self {
        Self(bytes)
    }

    /// The bytes of the key, for handing it to another router of the same fleet.
    pub const fn to_bytes(&self) -> [u8; KEY_LENGTH] {
        self.0
    }

    /// Derives the key for one purpose, such as `"sesameweir datagram 1"`.
    ///
    /// Keys derived for different purposes are independent, so bytes sealed for
    /// one purpose are refused for any other.
    pub fn derive(&self, usage: &str) -> Self {
        Self(blake3::derive_key(usage, &self.0))
    }

    /// A keyed hash of the concatenation of `parts`. Without the key, input with a
    /// chosen hash cannot be constructed.
    pub fn digest(&self, parts: &[&[u8]]) -> u64 {
        let mac = self.mac(parts);
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&mac[..8]);
        u64::from_le_bytes(bytes)
    }

    /// The message authentication code of the concatenation of `parts`.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> Mac {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        let mut mac = [0; MAC_LENGTH];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_LENGTH]);
        mac
    }

    /// Whether `mac` authenticates the concatenation of `parts`, compared in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac(parts).ct_eq(mac).into()
    }

    /// Derives a key from this key and the concatenation of `parts`.
    pub(crate) fn expand(&self, parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl str::FromStr for Key {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.trim().as_bytes();
        if digits.len() != 2 * KEY_LENGTH {
            return Err(Malformed);
        }
        let mut bytes = [0; KEY_LENGTH];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = digit(pair[0])? << 4 | digit(pair[1])?;
        }
        Ok(Self(bytes))
    }
}

fn digit(byte: u8) -> Result<u8, Malformed> {
    let value = char::from(byte).to_digit(16).ok_or(Malformed)?;
    u8::try_from(value).map_err(|_| Malformed)
}
