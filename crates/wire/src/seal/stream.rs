//! Authenticated frames of a connection.
//!
//! Each end sends its hello, then frames that consist of a header and a payload:
//! `length (4, little endian) | MAC (16) | payload`. The message authentication
//! code (MAC) depends on the direction and covers the sequence number of the frame,
//! so omitted, repeated, reordered and reflected frames are refused.

use bytes::{Buf, Bytes, BytesMut};

use super::{
    Error,
    key::{Key, MAC_LENGTH},
};

const USAGE: &str = "sesameweir stream 1";
const VERSION: u8 = 1;
const NONCE_LENGTH: usize = 16;
const LENGTH_END: usize = 4;

/// The end of the connection that a process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process opened the connection.
    Client,
    /// The process accepted the connection.
    Server,
}

/// The header of a frame, which precedes its payload.
pub type Header = [u8; Handshake::HEADER_LENGTH];

/// The handshake that starts a connection.
#[derive(Debug)]
pub struct Handshake {
    key: Key,
    role: Role,
    nonce: [u8; NONCE_LENGTH],
}

impl Handshake {
    /// The length of a hello, in bytes.
    pub const HELLO_LENGTH: usize = 1 + NONCE_LENGTH;
    /// The length of a frame header, in bytes.
    pub const HEADER_LENGTH: usize = LENGTH_END + MAC_LENGTH;
    /// The length of a nonce, in bytes.
    pub const NONCE_LENGTH: usize = NONCE_LENGTH;

    /// Starts a handshake. The nonce must be random and used for this connection only.
    pub fn new(key: &Key, role: Role, nonce: [u8; NONCE_LENGTH]) -> Self {
        Self {
            key: key.derive(USAGE),
            role,
            nonce,
        }
    }

    /// The hello, which is sent before any frame.
    pub fn hello(&self) -> [u8; Self::HELLO_LENGTH] {
        let mut hello = [VERSION; Self::HELLO_LENGTH];
        hello[1..].copy_from_slice(&self.nonce);
        hello
    }

    /// Completes the handshake with the hello of the peer.
    ///
    /// The hello is not authenticated. The first frame of the peer proves that the
    /// peer has the key, and it cannot be a replay because the session keys depend
    /// on both nonces.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the peer uses another protocol version,
    /// [`Error::Replayed`] if the hello is a reflection of this end's own hello.
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

/// An established connection in both directions.
#[derive(Debug)]
pub struct Session {
    /// Seals the frames that this end sends.
    pub writer: Writer,
    /// Authenticates the frames that this end receives.
    pub reader: Reader,
}

/// Seals the frames that one end sends.
#[derive(Debug)]
pub struct Writer {
    key: Key,
    next_sequence: u64,
}

impl Writer {
    /// The maximum length of a frame's payload, in bytes.
    pub const MAX_PAYLOAD: usize = 256 * 1024;

    /// Creates the header of the next frame, whose payload is the concatenation of `parts`.
    ///
    /// The caller sends the parts after the header, so the payload is not copied.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the payload exceeds [`Self::MAX_PAYLOAD`].
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

/// Authenticates the frames that one end receives.
#[derive(Debug)]
pub struct Reader {
    key: Key,
    next_sequence: u64,
}

impl Reader {
    /// Removes the next frame from the front of `buffer` and returns its payload.
    ///
    /// Returns `Ok(None)` while the frame is incomplete and more bytes have to be
    /// read into `buffer`. The payload shares the memory of `buffer`. The length is
    /// checked before memory is reserved, so a peer cannot make this end reserve
    /// more than [`Writer::MAX_PAYLOAD`].
    ///
    /// # Errors
    ///
    /// [`Error`] if the frame exceeds its limit or its MAC is wrong. The caller must
    /// close the connection, because later frames cannot be authenticated.
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
        let payload_length =
            usize::try_from(u32::from_le_bytes(length)).map_err(|_| Error::Malformed)?;
        if payload_length > Writer::MAX_PAYLOAD {
            return Err(Error::Malformed);
        }
        let frame_length = Handshake::HEADER_LENGTH + payload_length;
        if buffer.len() < frame_length {
            buffer.reserve(frame_length - buffer.len());
            return Ok(None);
        }
        let number = next_number(&mut self.next_sequence);
        let payload = &buffer[Handshake::HEADER_LENGTH..frame_length];
        if !self.key.verify(&[&number, &length, payload], &mac) {
            return Err(Error::Forged);
        }
        buffer.advance(Handshake::HEADER_LENGTH);
        Ok(Some(buffer.split_to(payload_length).freeze()))
    }
}

/// Returns the sequence number of the current frame and increments it for the next one.
fn next_number(sequence: &mut u64) -> [u8; 8] {
    let number = sequence.to_le_bytes();
    *sequence += 1;
    number
}
