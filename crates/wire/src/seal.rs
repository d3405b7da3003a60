//! Authentication of what the system's processes send one another.
//!
//! Everything is sealed with a keyed hash under a key that all routers share.
//! Nothing is encrypted: the hops run inside the operator's network.
//!
//! - [`Sealer`] and [`Opener`] are for datagrams.
//! - [`Handshake`] makes the [`Writer`] and the [`Reader`] of a connection.

mod datagram;
mod key;
mod stream;

use std::{error, fmt};

pub(crate) use datagram::short_hash;
pub use datagram::{Audience, Boot, Opened, Opener, Sealer, Tag};
pub use key::{Key, Malformed};
pub use stream::{Handshake, Header, Reader, Role, Session, Writer};

/// Why sealed bytes were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Too short, too long or not of this version.
    Malformed,
    /// Not made with this key, altered, or meant for another receiver.
    Forged,
    /// Seen before, or too old to tell.
    Replayed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed",
            Self::Forged => "forged",
            Self::Replayed => "replayed",
        })
    }
}

impl error::Error for Error {}
