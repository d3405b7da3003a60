//! Rows that one router asks of another when it cannot reach the store.

use std::{error, fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use storage::progress::{self, Progress};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use wire::{hop::Frame, seal::Key};

use super::Versions;
use crate::{
    link::{Error, Link},
    mirror::Mirrors,
    source::{Batch, Row, Topic},
    value::Value,
};

/// How long one question and its answer may take; an answer whose bytes keep
/// coming may take longer.
const LIMIT: Duration = Duration::from_millis(1000);
/// How long one piece of an answer may take to be sent.
const SEND_LIMIT: Duration = Duration::from_millis(1000);
/// The size of the pieces of a value, in bytes: each shows the one who asks
/// that more is coming, also where many share a slow link.
const PIECE: usize = 8 * 1024;
/// From how many bytes on an answer is large: a slow link carries less in some milliseconds.
const LARGE: u64 = 16 * 1024;
/// How many large answers are given at a time.
///
/// Those who ask in vain ask another. Were all answered at once over one slow
/// link, none would be through before the last, and none could pass it on.
pub const MOST_LARGE: usize = 4;
/// The largest value of a row, in bytes.
const MAX_VALUE: u64 = 8 * 1024 * 1024;

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Question {
    versions: Versions,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Reply {
    /// The rows of a topic follow, up to this version: all of them, or those
    /// that changed.
    Topic {
        topic: Topic,
        version: u64,
        is_whole: bool,
    },
    /// A row; its value follows as data.
    Row {
        key: String,
        version: u64,
        content: Content,
    },
    /// That was all.
    End,
    /// Others are being answered; nothing follows.
    Busy,
}

/// How the value of a row follows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Content {
    /// The row was removed, and nothing follows.
    Removed,
    /// So many bytes follow.
    Plain(u64),
    /// So many bytes follow, which have this length when they are unpacked.
    Packed { bytes: u64, length: u64 },
}

/// Why another router's rows did not come.
#[derive(Debug)]
pub enum Failure {
    /// It is answering others.
    Busy,
    /// It did not answer, or not all of the answer came.
    Link(Error),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("busy"),
            Self::Link(error) => error.fmt(f),
        }
    }
}

impl error::Error for Failure {}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Link(error)
    }
}

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

/// Answers the questions of other routers until the process ends.
pub async fn serve(listener: TcpListener, key: Key, mirrors: watch::Receiver<Arc<Mirrors>>) {
    let places = Arc::new(Semaphore::new(MOST_LARGE));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                logging::event!(warn, "accept_failed", reason = error);
                time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let key = key.clone();
        let mirrors = Arc::clone(&mirrors.borrow());
        let places = Arc::clone(&places);
        tokio::spawn(async move {
            if let Err(error) = answer(stream, &key, &mirrors, &places).await {
                logging::event!(debug, "peer_question_failed", reason = error);
            }
        });
    }
}

async fn answer(
    stream: TcpStream,
    key: &Key,
    mirrors: &Mirrors,
    places: &Semaphore,
) -> Result<(), Error> {
    let mut link = Link::accept(stream, key).await?;
    let Frame::Message(Question { versions }) = link.reader.receive_within(LIMIT).await? else {
        return Err(Error::Closed);
    };
    let batches: Vec<_> = mirrors
        .iter()
        .filter_map(|(&topic, mirror)| Some((topic, mirror.since(versions.of(topic)?))))
        .collect();
    let bytes = batches.iter().map(|(_, batch)| size(batch)).sum();
    if bytes < LARGE {
        return send_all(&mut link, batches).await;
    }
    let Ok(_place) = places.try_acquire() else {
        return send(&mut link, &Reply::Busy).await;
    };
    send_all(&mut link, batches).await?;
    // The place is free once the other has all of it and closes: bytes that
    // wait in the buffers of a slow link were sent and have not come yet.
    let patience = LIMIT + progress::allowance(bytes);
    drop(link.reader.receive_within::<Question>(patience).await);
    Ok(())
}

async fn send_all(link: &mut Link, batches: Vec<(Topic, Batch)>) -> Result<(), Error> {
    for (topic, batch) in batches {
        let head = Reply::Topic {
            topic,
            version: batch.version,
            is_whole: batch.is_whole,
        };
        send(link, &head).await?;
        for row in batch.rows {
            send_row(link, row).await?;
        }
    }
    send(link, &Reply::End).await
}

/// The bytes that the values of a batch take as they are sent.
fn size(batch: &Batch) -> u64 {
    let values = batch.rows.iter().map(|row| content(row.value.as_ref()).1);
    values.map(|bytes| bytes.len() as u64).sum()
}

async fn send_row(link: &mut Link, row: Row) -> Result<(), Error> {
    let (content, bytes) = content(row.value.as_ref());
    let reply = Reply::Row {
        key: row.key,
        version: row.version,
        content,
    };
    send(link, &reply).await?;
    for piece in bytes.chunks(PIECE) {
        let sent = link.writer.send_data(piece);
        time::timeout(SEND_LIMIT, sent)
            .await
            .map_err(|_| Error::Timeout)??;
    }
    Ok(())
}

/// How a value follows, and the bytes that do.
fn content(value: Option<&Value>) -> (Content, &[u8]) {
    let Some(value) = value else {
        return (Content::Removed, &[]);
    };
    let length = value.len() as u64;
    match value.packed() {
        Some(packed) => {
            let bytes = packed.len() as u64;
            (Content::Packed { bytes, length }, packed)
        }
        None => (Content::Plain(length), value),
    }
}

async fn send(link: &mut Link, reply: &Reply) -> Result<(), Error> {
    time::timeout(SEND_LIMIT, link.writer.send(reply))
        .await
        .map_err(|_| Error::Timeout)?
}
