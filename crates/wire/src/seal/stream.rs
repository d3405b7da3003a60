//! Sealed frames of a connection.
//!
//! Each end sends its hello, then frames of a head and a payload:
//! `length (4, little endian) | code (16) | payload`. The code covers the
//! direction and the frame's number, so frames that are left out, repeated,
//! put in another order or sent back are refused.

use bytes::{Buf, Bytes, BytesMut};

use super::{
    Error,
    key::{Key, MAC_LENGTH},
};

const USAGE: &str = "sesameweir stream 1";
const VERSION: u8 = 1;
const NONCE_LENGTH: usize = 16;
const LENGTH_END: usize = 4;

/// Which end of the connection a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It opened the connection.
    Client,
    /// It accepted the connection.
    Server,
}

/// What precedes a payload on the connection.
pub type Header = [u8; Handshake::HEADER_LENGTH];

/// The first step of a connection.
#[derive(Debug)]
pub struct Handshake {
    key: Key,
    role: Role,
    nonce: [u8; NONCE_LENGTH],
}

impl Handshake {
    /// The length of a hello, in bytes.
    pub const HELLO_LENGTH: usize = 1 + NONCE_LENGTH;
    /// The length of a frame's head, in bytes.
    pub const HEADER_LENGTH: usize = LENGTH_END + MAC_LENGTH;
    /// The length of a nonce, in bytes.
    pub const NONCE_LENGTH: usize = NONCE_LENGTH;

    /// Starts a connection with a nonce that was drawn at random for it.
    pub fn new(key: &Key, role: Role, nonce: [u8; NONCE_LENGTH]) -> Self {
        Self {
            key: key.derive(USAGE),
            role,
            nonce,
        }
    }

    /// The bytes to send first.
    pub fn hello(&self) -> [u8; Self::HELLO_LENGTH] {
        let mut hello = [VERSION; Self::HELLO_LENGTH];
        hello[1..].copy_from_slice(&self.nonce);
        hello
    }

    /// Takes the other end's hello.
    ///
    /// That the other end has the key shows with its first frame, which cannot
    /// be a replay since the session's keys depend on both nonces.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] for another version, [`Error::Replayed`] for the
    /// own hello sent back.
    pub fn finish(self, hello: &[u8; Self::HELLO_LENGTH]) -> Result<Session, Error> {
        let (version, nonce) = hello.split_at(1);
        if version != [VERSION] {
            return Err(Error::Malformed);
        }
        if nonce == self.nonce {
            return Err(Error::Replayed);
        }
        let (client, server) = match self.role {
            Role::Client => (&self.nonce[..], nonce),
            Role::Server => (nonce, &self.nonce[..]),
        };
        let from_client = self.key.expand(&[b"client", client, server]);
        let from_server = self.key.expand(&[b"server", client, server]);
        let (own, other) = match self.role {
            Role::Client => (from_client, from_server),
            Role::Server => (from_server, from_client),
        };
        Ok(Session {
            writer: Writer {
                key: own,
                next_sequence: 0,
            },
            reader: Reader {
                key: other,
                next_sequence: 0,
            },
        })
    }
}

/// Both directions of one connection.
#[derive(Debug)]
pub struct Session {
    /// Seals what this end sends.
    pub writer: Writer,
    /// Opens what this end receives.
    pub reader: Reader,
}

/// Seals the frames that one end sends.
#[derive(Debug)]
pub struct Writer {
    key: Key,
    next_sequence: u64,
}

impl Writer {
    /// The longest payload of a frame, in bytes.
    pub const MAX_PAYLOAD: usize = 256 * 1024;

    /// Makes the head of the next frame, whose payload is the concatenation of `parts`.
    ///
    /// The payload itself is sent as it is after the head, without a copy.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when the payload is over [`Self::MAX_PAYLOAD`].
    pub fn header(&mut self, parts: &[&[u8]]) -> Result<Header, Error> {
        let length: usize = parts.iter().map(|part| part.len()).sum();
        if length > Self::MAX_PAYLOAD {
            return Err(Error::Malformed);
        }
        let length = u32::try_from(length).map_err(|_| Error::Malformed)?;
        let length = length.to_le_bytes();
        let number = next_number(&mut self.next_sequence);
        let mut authenticated = Vec::with_capacity(2 + parts.len());
        authenticated.extend([&number[..], &length[..]]);
        authenticated.extend(parts);
        let mut header = [0; Handshake::HEADER_LENGTH];
        header[..LENGTH_END].copy_from_slice(&length);
        header[LENGTH_END..].copy_from_slice(&self.key.mac(&authenticated));
        Ok(header)
    }
}

/// Opens the frames that one end receives.
#[derive(Debug)]
pub struct Reader {
    key: Key,
    next_sequence: u64,
}

impl Reader {
    /// Takes the next frame's payload off the front of `buffer`, if it is there whole.
    ///
    /// With `Ok(None)` more bytes have to be read into `buffer`. The payload
    /// shares the buffer's memory. A frame is refused by its length before
    /// room is made for it, so a peer cannot make this end reserve more than
    /// [`Writer::MAX_PAYLOAD`].
    ///
    /// # Errors
    ///
    /// [`Error`] for a frame over its limit or a wrong code. The connection has
    /// to be closed: nothing that follows can be trusted.
    pub fn open(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, Error> {
        let Some((length, mac)) =
            buffer
                .split_at_checked(Handshake::HEADER_LENGTH)
                .map(|(header, _)| {
                    let (length, mac) = header.split_at(LENGTH_END);
                    let mut bytes = [0; LENGTH_END];
                    bytes.copy_from_slice(length);
                    let mut code = [0; MAC_LENGTH];
                    code.copy_from_slice(mac);
                    (bytes, code)
                })
        else {
            return Ok(None);
        };
        let size = usize::try_from(u32::from_le_bytes(length)).map_err(|_| Error::Malformed)?;
        if size > Writer::MAX_PAYLOAD {
            return Err(Error::Malformed);
        }
        let whole = Handshake::HEADER_LENGTH + size;
        if buffer.len() < whole {
            buffer.reserve(whole - buffer.len());
            return Ok(None);
        }
        let number = next_number(&mut self.next_sequence);
        let payload = &buffer[Handshake::HEADER_LENGTH..whole];
        if !self.key.verify(&[&number, &length, payload], &mac) {
            return Err(Error::Forged);
        }
        buffer.advance(Handshake::HEADER_LENGTH);
        Ok(Some(buffer.split_to(size).freeze()))
    }
}

/// The number of the present frame; the next one gets the number after it.
fn next_number(sequence: &mut u64) -> [u8; 8] {
    let number = sequence.to_le_bytes();
    *sequence += 1;
    number
}
