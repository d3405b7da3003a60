//! The client side of the transfer of rows.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use storage::progress::Progress;
use tokio::time;
use wire::{hop::Frame, seal::Key};

use super::{Content, Failure, Reply, Request, Rows, TIMEOUT, pack, request::PlainRequest};
use crate::{
    link::{Error, Link},
    peers::Versions,
    source::{Batch, Row, Topic},
    value::Value,
};

/// The maximum size of a row's value, in bytes.
const MAX_VALUE: u64 = 8 * 1024 * 1024;
/// The maximum memory that the rows of a response take, in bytes.
///
/// 10,000 rows of servers take 6 MB, and a configuration at most [`MAX_VALUE`].
const MAX_RESPONSE_MEMORY: usize = 32 * 1024 * 1024;
/// The memory that a row takes besides its key and value, in bytes; a batch counts as one.
const ROW_MEMORY: usize = 256;

/// Requests from the router at `address` the rows that are newer than `versions`.
///
/// # Errors
///
/// When the router is busy or does not respond in time.
pub async fn request(address: SocketAddr, key: &Key, versions: Versions) -> Result<Rows, Failure> {
    let packed = Request {
        versions,
        accepts_packed: true,
    };
    match request_in_form(address, key, &packed).await {
        // A router of the previous version refuses the request and closes the connection.
        Err(Failure::Link(Error::Closed)) => {
            request_in_form(address, key, &PlainRequest { versions }).await
        }
        result => result,
    }
}

async fn request_in_form(
    address: SocketAddr,
    key: &Key,
    request: &impl Serialize,
) -> Result<Rows, Failure> {
    let now = time::Instant::now();
    let mut response = Response {
        deadline: now + TIMEOUT,
        free_memory: MAX_RESPONSE_MEMORY,
        progress: Progress::new(now),
    };
    let result = response.request(address, key, request).await;
    let progress = response.progress;
    log_result(address, result.as_ref().err(), progress);
    Ok(Rows {
        batches: result?,
        bytes: progress.bytes(),
    })
}

fn log_result(address: SocketAddr, error: Option<&Failure>, progress: Progress) {
    let bytes = progress.bytes();
    let first_ms = progress.first_byte_ms().unwrap_or_default();
    let last_ms = progress.last_byte_ms();
    match error {
        None => logging::event!(
            info,
            "peer_answered",
            peer = address,
            bytes = bytes,
            first_ms = first_ms,
            last_ms = last_ms
        ),
        Some(error) => logging::event!(
            info,
            "peer_fetch_failed",
            peer = address,
            reason = error,
            bytes = bytes,
            first_ms = first_ms,
            last_ms = last_ms
        ),
    }
}

/// A response that is being received.
struct Response {
    deadline: time::Instant,
    /// The memory that further rows may take, in bytes.
    free_memory: usize,
    progress: Progress,
}

impl Response {
    async fn request(
        &mut self,
        address: SocketAddr,
        key: &Key,
        request: &impl Serialize,
    ) -> Result<Vec<(Topic, Batch)>, Failure> {
        let connected = async {
            let mut link = Link::connect(address, key).await?;
            link.writer.send(request).await?;
            Ok::<Link, Error>(link)
        };
        let connected = time::timeout_at(self.deadline, connected).await;
        let mut link = connected.map_err(|_| Error::Timeout)??;
        self.read_batches(&mut link).await
    }

    async fn read_batches(&mut self, link: &mut Link) -> Result<Vec<(Topic, Batch)>, Failure> {
        let mut batches: Vec<(Topic, Batch)> = Vec::new();
        loop {
            match self.next_frame(link).await? {
                Frame::Message(Reply::Topic {
                    topic,
                    version,
                    is_snapshot,
                }) => {
                    self.reserve(ROW_MEMORY)?;
                    let batch = Batch {
                        rows: Vec::new(),
                        version,
                        is_snapshot,
                    };
                    batches.push((topic, batch));
                }
                Frame::Message(Reply::Row {
                    key,
                    version,
                    content,
                }) => {
                    self.reserve(ROW_MEMORY + key.len())?;
                    let value = self.read_value(link, content).await?;
                    if let Some((_, batch)) = batches.last_mut() {
                        batch.rows.push(Row {
                            key,
                            version,
                            value,
                        });
                    }
                }
                Frame::Message(Reply::Packed {
                    topic,
                    version,
                    is_snapshot,
                    bytes,
                    length,
                }) => {
                    self.reserve(ROW_MEMORY)?;
                    let rows = self.read_rows(link, bytes, length).await?;
                    let batch = Batch {
                        rows,
                        version,
                        is_snapshot,
                    };
                    batches.push((topic, batch));
                }
                Frame::Message(Reply::End) => return Ok(batches),
                Frame::Message(Reply::Busy) => return Err(Failure::Busy),
                Frame::Data(_) => return Err(Failure::Link(Error::Closed)),
            }
        }
    }

    /// Takes `bytes` from the memory that is left for the response.
    fn reserve(&mut self, bytes: usize) -> Result<(), Error> {
        let free_memory = self.free_memory.checked_sub(bytes);
        self.free_memory = free_memory.ok_or(Error::Frame(wire::Error::TooLong))?;
        Ok(())
    }

    async fn read_value(
        &mut self,
        link: &mut Link,
        content: Content,
    ) -> Result<Option<Value>, Error> {
        match content {
            Content::Removed => Ok(None),
            Content::Plain(length) => {
                let bytes = self.read_bytes(link, length).await?;
                Ok(Some(Value::from(bytes)))
            }
            Content::Packed { bytes, length } => {
                let value = self.read_packed(link, bytes, length).await?;
                Ok(Some(value))
            }
        }
    }

    async fn read_packed(
        &mut self,
        link: &mut Link,
        bytes: u64,
        length: u64,
    ) -> Result<Value, Error> {
        let packed = self.read_bytes(link, bytes).await?;
        let length = usize::try_from(length.min(MAX_VALUE)).unwrap_or_default();
        self.reserve(length)?;
        Value::unpack(packed, length).map_err(|_| Error::Corrupt)
    }

    async fn read_rows(
        &mut self,
        link: &mut Link,
        bytes: u64,
        length: u64,
    ) -> Result<Vec<Row>, Error> {
        let value = self.read_packed(link, bytes, length).await?;
        let rows = pack::count(&value).ok_or(Error::Corrupt)?;
        self.reserve(rows.saturating_mul(ROW_MEMORY))?;
        pack::decode(&value).ok_or(Error::Corrupt)
    }

    async fn read_bytes(&mut self, link: &mut Link, length: u64) -> Result<Bytes, Error> {
        let length = usize::try_from(length.min(MAX_VALUE)).unwrap_or_default();
        self.reserve(length)?;
        let mut bytes = BytesMut::with_capacity(length);
        while bytes.len() < length {
            match self.next_frame(link).await? {
                Frame::Data(chunk) if !chunk.is_empty() => bytes.extend_from_slice(&chunk),
                _ => return Err(Error::Closed),
            }
        }
        Ok(bytes.freeze())
    }

    async fn next_frame(&mut self, link: &mut Link) -> Result<Frame<Reply>, Error> {
        let deadline = self.progress.extended_deadline(self.deadline);
        let frame = link.reader.receive_by(deadline).await?;
        let length = match &frame {
            Frame::Message(_) => 0,
            Frame::Data(chunk) => chunk.len(),
        };
        self.progress.received(length, time::Instant::now());
        Ok(frame)
    }
}
