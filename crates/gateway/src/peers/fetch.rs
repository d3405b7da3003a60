//! Rows that one router asks of another when it cannot reach the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use storage::progress::Progress;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};
use wire::{hop::Frame, seal::Key};

use super::Versions;
use crate::{
    link::{Error, Link},
    mirror::Mirrors,
    source::{Batch, Row, Topic},
};

/// How long one question and its answer may take; an answer whose bytes keep
/// coming may take longer.
const LIMIT: Duration = Duration::from_millis(1000);
/// How long one piece of an answer may take to be sent.
const SEND_LIMIT: Duration = Duration::from_millis(1000);
/// The size of the pieces of a value, in bytes: each shows the one who asks
/// that more is coming, also where many share a slow link.
const PIECE: usize = 8 * 1024;
/// The largest value of a row, in bytes.
const MAX_VALUE: u64 = 8 * 1024 * 1024;

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Question {
    versions: Versions,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Reply {
    /// The rows of a topic follow, up to this version.
    Topic(Topic, u64),
    /// A row; its value follows as data of this length.
    Row {
        key: String,
        version: u64,
        length: Option<u64>,
    },
    /// That was all.
    End,
}

/// Asks the router at `address` for what is newer than `versions`.
///
/// # Errors
///
/// When it does not answer in time.
pub async fn ask(
    address: SocketAddr,
    key: &Key,
    versions: Versions,
) -> Result<Vec<(Topic, Batch)>, Error> {
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

fn note(address: SocketAddr, error: Option<&Error>, progress: Progress) {
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
    ) -> Result<Vec<(Topic, Batch)>, Error> {
        let asked = async {
            let mut link = Link::connect(address, key).await?;
            link.writer.send(&Question { versions }).await?;
            Ok::<Link, Error>(link)
        };
        let asked = time::timeout_at(self.due, asked).await;
        let mut link = asked.map_err(|_| Error::Timeout)??;
        self.batches(&mut link).await
    }

    async fn batches(&mut self, link: &mut Link) -> Result<Vec<(Topic, Batch)>, Error> {
        let mut batches: Vec<(Topic, Batch)> = Vec::new();
        loop {
            match self.frame(link).await? {
                Frame::Message(Reply::Topic(topic, version)) => {
                    let batch = Batch {
                        rows: Vec::new(),
                        version,
                        is_whole: false,
                    };
                    batches.push((topic, batch));
                }
                Frame::Message(Reply::Row {
                    key,
                    version,
                    length,
                }) => {
                    let value = match length {
                        Some(length) => Some(self.value(link, length).await?),
                        None => None,
                    };
                    if let Some((_, batch)) = batches.last_mut() {
                        batch.rows.push(Row {
                            key,
                            version,
                            value,
                        });
                    }
                }
                Frame::Message(Reply::End) => return Ok(batches),
                Frame::Data(_) => return Err(Error::Closed),
            }
        }
    }

    async fn value(&mut self, link: &mut Link, length: u64) -> Result<Bytes, Error> {
        let length = usize::try_from(length.min(MAX_VALUE)).unwrap_or_default();
        let mut value = BytesMut::with_capacity(length);
        while value.len() < length {
            match self.frame(link).await? {
                Frame::Data(piece) => value.extend_from_slice(&piece),
                Frame::Message(_) => return Err(Error::Closed),
            }
        }
        Ok(value.freeze())
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
        tokio::spawn(async move {
            if let Err(error) = answer(stream, &key, &mirrors).await {
                logging::event!(debug, "peer_question_failed", reason = error);
            }
        });
    }
}

async fn answer(stream: TcpStream, key: &Key, mirrors: &Mirrors) -> Result<(), Error> {
    let mut link = Link::accept(stream, key).await?;
    let Frame::Message(Question { versions }) = link.reader.receive_within(LIMIT).await? else {
        return Err(Error::Closed);
    };
    for (&topic, mirror) in mirrors {
        let after = match topic {
            Topic::Configuration => versions.configuration,
            Topic::Servers => versions.servers,
            Topic::Routers => versions.routers,
        };
        let batch = mirror.since(after);
        send(&mut link, &Reply::Topic(topic, batch.version)).await?;
        for row in batch.rows {
            send_row(&mut link, row).await?;
        }
    }
    send(&mut link, &Reply::End).await
}

async fn send_row(link: &mut Link, row: Row) -> Result<(), Error> {
    let length = row.value.as_ref().map(|value| value.len() as u64);
    let reply = Reply::Row {
        key: row.key,
        version: row.version,
        length,
    };
    send(link, &reply).await?;
    for piece in row.value.iter().flat_map(|value| value.chunks(PIECE)) {
        let sent = link.writer.send_data(piece);
        time::timeout(SEND_LIMIT, sent)
            .await
            .map_err(|_| Error::Timeout)??;
    }
    Ok(())
}

async fn send(link: &mut Link, reply: &Reply) -> Result<(), Error> {
    time::timeout(SEND_LIMIT, link.writer.send(reply))
        .await
        .map_err(|_| Error::Timeout)?
}
