//! An authenticated TCP connection between two routers.

use std::{error, fmt, io, net, time::Duration};

use bytes::BytesMut;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};
use wire::{hop, seal};

/// The timeout of a connection attempt, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for writing one frame, after which the peer counts as unresponsive.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Replaces the first part of a frame that has no parts.
const EMPTY_PART: &[u8] = &[];

/// Why a link broke.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(io::Error),
    /// The peer closed it.
    Closed,
    /// The peer has a different key, or the bytes were modified.
    Seal(seal::Error),
    /// The peer sent an invalid frame.
    Frame(wire::Error),
    /// The peer did not receive or send a frame in time.
    Timeout,
    /// The peer sent a compressed value that cannot be decoded.
    Corrupt,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Closed => f.write_str("closed by the peer"),
            Self::Seal(error) => error.fmt(f),
            Self::Frame(error) => error.fmt(f),
            Self::Timeout => f.write_str("timed out"),
            Self::Corrupt => f.write_str("a compressed value is corrupt"),
        }
    }
}

impl error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<seal::Error> for Error {
    fn from(error: seal::Error) -> Self {
        Self::Seal(error)
    }
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        Self::Frame(error)
    }
}

/// Both directions of a connection.
#[derive(Debug)]
pub struct Link {
    /// The receiving half.
    pub reader: Reader,
    /// The sending half.
    pub writer: Writer,
}

impl Link {
    /// Connects to the router at `address`.
    ///
    /// # Errors
    ///
    /// When it does not accept the connection in time.
    pub async fn connect(address: net::SocketAddr, key: &seal::Key) -> Result<Self, Error> {
        let connected = async {
            let stream = TcpStream::connect(address).await?;
            Self::handshake(stream, key, seal::Role::Client).await
        };
        time::timeout(CONNECT_TIMEOUT, connected)
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// Performs the handshake on a connection that a peer opened.
    ///
    /// # Errors
    ///
    /// When the peer does not finish the handshake in time.
    pub async fn accept(stream: TcpStream, key: &seal::Key) -> Result<Self, Error> {
        let handshake = Self::handshake(stream, key, seal::Role::Server);
        time::timeout(CONNECT_TIMEOUT, handshake)
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// The socket, for its options.
    pub fn socket(&self) -> &TcpStream {
        self.reader.half.as_ref()
    }

    /// Takes the link apart: the socket, the seals, and the bytes received beyond the last
    /// frame.
    ///
    /// # Errors
    ///
    /// When the halves belong to different connections.
    pub fn into_parts(self) -> io::Result<(TcpStream, seal::Session, BytesMut)> {
        let socket = self.reader.half.reunite(self.writer.half);
        let seals = seal::Session {
            reader: self.reader.seal,
            writer: self.writer.seal,
        };
        Ok((socket.map_err(io::Error::other)?, seals, self.reader.buffer))
    }

    async fn handshake(
        mut stream: TcpStream,
        key: &seal::Key,
        role: seal::Role,
    ) -> Result<Self, Error> {
        stream.set_nodelay(true)?;
        let handshake = seal::Handshake::new(key, role, rand::random());
        stream.write_all(&handshake.hello()).await?;
        let mut hello = [0; seal::Handshake::HELLO_LENGTH];
        stream.read_exact(&mut hello).await?;
        let session = handshake.finish(&hello)?;
        let (read, write) = stream.into_split();
        Ok(Self {
            reader: Reader {
                half: read,
                seal: session.reader,
                buffer: BytesMut::new(),
            },
            writer: Writer {
                half: write,
                seal: session.writer,
            },
        })
    }
}

/// The receiving half of a link.
#[derive(Debug)]
pub struct Reader {
    half: OwnedReadHalf,
    seal: seal::Reader,
    buffer: BytesMut,
}

impl Reader {
    /// Receives the next frame. This method is cancel safe.
    ///
    /// # Errors
    ///
    /// When the link broke; it must not be used afterwards.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<hop::Frame<T>, Error> {
        loop {
            if let Some(payload) = self.seal.open(&mut self.buffer)? {
                return Ok(hop::decode(payload)?);
            }
            if self.half.read_buf(&mut self.buffer).await? == 0 {
                return Err(Error::Closed);
            }
        }
    }

    /// Receives the next frame by `deadline`.
    ///
    /// # Errors
    ///
    /// As [`Reader::receive`], and [`Error::Timeout`].
    pub async fn receive_by<T: DeserializeOwned>(
        &mut self,
        deadline: time::Instant,
    ) -> Result<hop::Frame<T>, Error> {
        // A timeout does not look at its timer while the next frame is always there.
        if time::Instant::now() >= deadline {
            return Err(Error::Timeout);
        }
        time::timeout_at(deadline, self.receive())
            .await
            .map_err(|_| Error::Timeout)?
    }

    /// Receives the next frame within `timeout`.
    ///
    /// # Errors
    ///
    /// As [`Reader::receive`], and [`Error::Timeout`].
    pub async fn receive_within<T: DeserializeOwned>(
        &mut self,
        timeout: Duration,
    ) -> Result<hop::Frame<T>, Error> {
        time::timeout(timeout, self.receive())
            .await
            .map_err(|_| Error::Timeout)?
    }
}

/// The sending half of a link.
#[derive(Debug)]
pub struct Writer {
    half: OwnedWriteHalf,
    seal: seal::Writer,
}

impl Writer {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// When the link broke; it must not be used afterwards.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), Error> {
        let payload = hop::encode(message)?;
        self.write(&[&payload]).await
    }

    /// Sends data in as many frames as necessary.
    ///
    /// # Errors
    ///
    /// As [`Writer::send`].
    pub async fn send_data(&mut self, data: &[u8]) -> Result<(), Error> {
        for piece in data.chunks(hop::MAX_DATA) {
            self.write(&[&[hop::DATA], piece]).await?;
        }
        Ok(())
    }

    /// Writes one frame.
    ///
    /// The write has a timeout: a peer that stops reading would otherwise block the task
    /// forever once the socket buffer is full.
    async fn write(&mut self, parts: &[&[u8]]) -> Result<(), Error> {
        let header = self.seal.header(parts)?;
        let written = async {
            let (first, rest) = parts.split_first().unwrap_or((&EMPTY_PART, &[]));
            let mut start = Vec::with_capacity(header.len() + first.len());
            start.extend_from_slice(&header);
            start.extend_from_slice(first);
            self.half.write_all(&start).await?;
            for part in rest {
                self.half.write_all(part).await?;
            }
            Ok(())
        };
        time::timeout(WRITE_TIMEOUT, written)
            .await
            .map_err(|_| Error::Timeout)?
    }
}
