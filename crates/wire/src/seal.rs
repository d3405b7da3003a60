//! Authentication of the messages between the processes of the system.
//!
//! Messages are sealed with a keyed hash under a key that all routers share.
//! They are not encrypted: hops run inside the operator's network.
//!
//! - [`Sealer`] and [`Opener`] seal and open datagrams.
//! - [`Handshake`] creates the [`Writer`] and the [`Reader`] of a connection.

mod datagram;
mod key;
mod stream;

use std::{error, fmt};

pub(crate) use datagram::short_hash;
pub use datagram::{Audience, Boot, Opened, Opener, Sealer, Tag};
pub use key::{Key, Malformed};
pub use stream::{Handshake, Header, Reader, Role, Session, Writer};

/// Why a sealed message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The message is too short, too long or of another protocol version.
    Malformed,
    /// The message was sealed with another key, altered, or addressed to another receiver.
    Forged,
    /// The message was received before, or is too old for the replay window.
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
