//! The question for rows, and how its answer is received.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use storage::progress::Progress;
use tokio::time;
use wire::{hop::Frame, seal::Key};

use super::{Content, Failure, LIMIT, Question, Reply};
use crate::{
    link::{Error, Link},
    peers::Versions,
    source::{Batch, Row, Topic},
    value::Value,
};

/// The largest value of a row, in bytes.
const MAX_VALUE: u64 = 8 * 1024 * 1024;

/// Asks the router at `address` for what is newer than `versions`.
///
/// # Errors
///
/// When it is busy, or does not answer in time.
pub async fn ask(
    address: SocketAddr,
    key: &Key,
    versions: Versions,
) -> Result<Vec<(Topic, Batch)>, Failure> {
    let now = time::Instant::now();
    let mut reception = Reception {
        due: now + LIMIT,
        progress: Progress::new(now),
    };
    let answered = reception.ask(address, key, versions).await;
    let progress = reception.progress;
    note(address, answered.as_ref().err(), progress);
    answered
}

fn note(address: SocketAddr, error: Option<&Failure>, progress: Progress) {
    let bytes = progress.bytes();
    let first_ms = progress.first_ms().unwrap_or_default();
    let last_ms = progress.last_ms();
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

/// An answer that is being received.
struct Reception {
    due: time::Instant,
    progress: Progress,
}

impl Reception {
    async fn ask(
        &mut self,
        address: SocketAddr,
        key: &Key,
        versions: Versions,
    ) -> Result<Vec<(Topic, Batch)>, Failure> {
        let asked = async {
            let mut link = Link::connect(address, key).await?;
            link.writer.send(&Question { versions }).await?;
            Ok::<Link, Error>(link)
        };
        let asked = time::timeout_at(self.due, asked).await;
        let mut link = asked.map_err(|_| Error::Timeout)??;
        self.batches(&mut link).await
    }

    async fn batches(&mut self, link: &mut Link) -> Result<Vec<(Topic, Batch)>, Failure> {
        let mut batches: Vec<(Topic, Batch)> = Vec::new();
        loop {
            match self.frame(link).await? {
                Frame::Message(Reply::Topic {
                    topic,
                    version,
                    is_whole,
                }) => {
                    let batch = Batch {
                        rows: Vec::new(),
                        version,
                        is_whole,
                    };
                    batches.push((topic, batch));
                }
                Frame::Message(Reply::Row {
                    key,
                    version,
                    content,
                }) => {
                    let value = self.value(link, content).await?;
                    if let Some((_, batch)) = batches.last_mut() {
                        batch.rows.push(Row {
                            key,
                            version,
                            value,
                        });
                    }
                }
                Frame::Message(Reply::End) => return Ok(batches),
                Frame::Message(Reply::Busy) => return Err(Failure::Busy),
                Frame::Data(_) => return Err(Failure::Link(Error::Closed)),
            }
        }
    }

    async fn value(&mut self, link: &mut Link, content: Content) -> Result<Option<Value>, Error> {
        match content {
            Content::Removed => Ok(None),
            Content::Plain(length) => {
                let bytes = self.bytes(link, length).await?;
                Ok(Some(Value::from(bytes)))
            }
            Content::Packed { bytes, length } => {
                let packed = self.bytes(link, bytes).await?;
                let length = usize::try_from(length.min(MAX_VALUE)).unwrap_or_default();
                let value = Value::unpack(packed, length).map_err(|_| Error::Closed)?;
                Ok(Some(value))
            }
        }
    }

    async fn bytes(&mut self, link: &mut Link, length: u64) -> Result<Bytes, Error> {
        let length = usize::try_from(length.min(MAX_VALUE)).unwrap_or_default();
        let mut bytes = BytesMut::with_capacity(length);
        while bytes.len() < length {
            match self.frame(link).await? {
                Frame::Data(piece) => bytes.extend_from_slice(&piece),
                Frame::Message(_) => return Err(Error::Closed),
            }
        }
        Ok(bytes.freeze())
    }

    async fn frame(&mut self, link: &mut Link) -> Result<Frame<Reply>, Error> {
        let patience = self.progress.patience(self.due);
        let received = time::timeout_at(patience, link.reader.receive()).await;
        let frame = received.map_err(|_| Error::Timeout)??;
        let length = match &frame {
            Frame::Message(_) => 0,
            Frame::Data(piece) => piece.len(),
        };
        self.progress.received(length, time::Instant::now());
        Ok(frame)
    }
}
