//! The answers to questions for rows.

use std::{sync::Arc, time::Duration};

use storage::progress;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use wire::{hop::Frame, seal::Key};

use super::{Content, LIMIT, Question, Reply};
use crate::{
    link::{Error, Link},
    mirror::Mirrors,
    source::{Batch, Row, Topic},
    value::Value,
};

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
