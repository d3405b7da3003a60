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

/// How long one question and its answer may take.
const LIMIT: Duration = Duration::from_millis(1000);
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
    let mut progress = Progress::new(time::Instant::now());
    let answer = async {
        let mut link = Link::connect(address, key).await?;
        link.writer.send(&Question { versions }).await?;
        receive(&mut link, &mut progress).await
    };
    let answered = time::timeout(LIMIT, answer).await;
    let answered = answered.unwrap_or(Err(Error::Timeout));
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

async fn receive(link: &mut Link, progress: &mut Progress) -> Result<Vec<(Topic, Batch)>, Error> {
    let mut batches: Vec<(Topic, Batch)> = Vec::new();
    loop {
        match link.reader.receive().await? {
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
                    Some(length) => Some(value(link, length, progress).await?),
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

async fn value(link: &mut Link, length: u64, progress: &mut Progress) -> Result<Bytes, Error> {
    let length = usize::try_from(length.min(MAX_VALUE)).unwrap_or_default();
    let mut value = BytesMut::new();
    while value.len() < length {
        match link.reader.receive::<Reply>().await? {
            Frame::Data(piece) => {
                progress.received(piece.len(), time::Instant::now());
                value.extend_from_slice(&piece);
            }
            Frame::Message(_) => return Err(Error::Closed),
        }
    }
    Ok(value.freeze())
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
            let answered = time::timeout(LIMIT, answer(stream, &key, &mirrors)).await;
            if let Ok(Err(error)) = answered {
                logging::event!(debug, "peer_question_failed", reason = error);
            }
        });
    }
}

async fn answer(stream: TcpStream, key: &Key, mirrors: &Mirrors) -> Result<(), Error> {
    let mut link = Link::accept(stream, key).await?;
    let Frame::Message(Question { versions }) = link.reader.receive().await? else {
        return Err(Error::Closed);
    };
    for (&topic, mirror) in mirrors {
        let after = match topic {
            Topic::Configuration => versions.configuration,
            Topic::Servers => versions.servers,
            Topic::Routers => versions.routers,
        };
        let batch = mirror.since(after);
        link.writer
            .send(&Reply::Topic(topic, batch.version))
            .await?;
        for row in batch.rows {
            send(&mut link, row).await?;
        }
    }
    link.writer.send(&Reply::End).await
}

async fn send(link: &mut Link, row: Row) -> Result<(), Error> {
    let length = row.value.as_ref().map(|value| value.len() as u64);
    let reply = Reply::Row {
        key: row.key,
        version: row.version,
        length,
    };
    link.writer.send(&reply).await?;
    match row.value {
        Some(value) => link.writer.send_data(&value).await,
        None => Ok(()),
    }
}
