//! A byte stream in authenticated frames.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
};
use wire::{
    hop::{self, Frame},
    seal,
};

use crate::link::{Error, Link};

/// The most bytes in one frame.
const MAX_CHUNK: usize = 16 * 1024;

/// How the byte stream of the sender ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum End {
    /// After the last byte.
    Complete,
    /// The connection that it was read from broke.
    Reset,
}

/// One end of a tunnel.
///
/// The end of the stream is a frame of its own: if the connection between the routers breaks,
/// what has arrived of a response without a length must not look complete.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
    seals: seal::Session,
    /// Received bytes whose frames are incomplete.
    received: BytesMut,
    /// Authenticated bytes that have not been read.
    chunk: Bytes,
    /// Frames that have not been written to the socket.
    outgoing: BytesMut,
    is_read_complete: bool,
    is_write_complete: bool,
}

impl Stream {
    /// Continues an established link as a byte stream.
    ///
    /// # Errors
    ///
    /// When the halves of the link do not belong together.
    pub fn new(link: Link) -> io::Result<Self> {
        let (socket, seals, received) = link.into_parts()?;
        Ok(Self {
            socket,
            seals,
            received,
            chunk: Bytes::new(),
            outgoing: BytesMut::new(),
            is_read_complete: false,
            is_write_complete: false,
        })
    }

    /// Tells the other end that the stream broke off.
    ///
    /// # Errors
    ///
    /// When the other end cannot be told, since the connection has broken as well.
    pub async fn reset(&mut self) -> io::Result<()> {
        self.push_end(End::Reset)?;
        self.flush().await
    }

    fn push(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let header = self.seals.writer.header(parts).map_err(io::Error::other)?;
        self.outgoing.extend_from_slice(&header);
        for part in parts {
            self.outgoing.extend_from_slice(part);
        }
        Ok(())
    }

    fn push_end(&mut self, end: End) -> io::Result<()> {
        self.is_write_complete = true;
        let payload = hop::encode(&end).map_err(io::Error::other)?;
        self.push(&[&payload])
    }

    fn poll_drain(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.outgoing.is_empty() {
            let socket = Pin::new(&mut self.socket);
            let count = ready!(socket.poll_write(context, &self.outgoing))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.outgoing.advance(count);
        }
        Poll::Ready(Ok(()))
    }

    /// Applies the next complete frame. Returns whether there was one.
    fn open_frame(&mut self) -> io::Result<bool> {
        let opened = self.seals.reader.open(&mut self.received);
        let Some(payload) = opened.map_err(io::Error::other)? else {
            return Ok(false);
        };
        match hop::decode(payload).map_err(io::Error::other)? {
            Frame::Data(chunk) => self.chunk = chunk,
            Frame::Message(End::Complete) => self.is_read_complete = true,
            Frame::Message(End::Reset) => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        Ok(true)
    }

    /// Reads more bytes from the socket.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; MAX_CHUNK];
        let mut buffer = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.socket).poll_read(context, &mut buffer))?;
        if buffer.filled().is_empty() {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                Error::Closed,
            )));
        }
        self.received.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &mut *self;
        while stream.chunk.is_empty() && !stream.is_read_complete {
            if !stream.open_frame()? {
                ready!(stream.poll_receive(context))?;
            }
        }
        let count = stream.chunk.len().min(buffer.remaining());
        buffer.put_slice(&stream.chunk.split_to(count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_drain(context))?;
        let count = bytes.len().min(MAX_CHUNK);
        self.push(&[&[hop::DATA], &bytes[..count]])?;
        match self.poll_drain(context) {
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            // What the socket does not take now is written by the next write or flush.
            _ => Poll::Ready(Ok(count)),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_drain(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_write_complete {
            self.push_end(End::Complete)?;
        }
        self.poll_drain(context)
    }
}
