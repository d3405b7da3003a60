//! The answers to questions for rows.

use std::{sync::Arc, time::Duration};

use storage::progress;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use wire::{hop::Frame, seal::Key};

use super::{Content, Reply, Request, TIMEOUT};
use crate::{
    link::{Error, Link},
    replica::Replicas,
    source::{Batch, Row, Topic},
    value::Value,
};

/// How long one piece of an answer may take to be sent.
const SEND_TIMEOUT: Duration = Duration::from_millis(1000);
/// The size of the pieces of a value, in bytes: each shows the one who asks
/// that more is coming, also where many share a slow link.
const CHUNK_SIZE: usize = 8 * 1024;
/// From how many bytes on an answer is large: a slow link carries less in some milliseconds.
const LARGE_RESPONSE: u64 = 16 * 1024;
/// How many large answers are given at a time.
///
/// Those who ask in vain ask another. Were all answered at once over one slow
/// link, none would be through before the last, and none could pass it on.
pub const MAX_LARGE_RESPONSES: usize = 4;

/// Answers the questions of other routers until the process ends.
pub async fn serve(listener: TcpListener, key: Key, replicas: watch::Receiver<Arc<Replicas>>) {
    let permits = Arc::new(Semaphore::new(MAX_LARGE_RESPONSES));
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
        let replicas = Arc::clone(&replicas.borrow());
        let permits = Arc::clone(&permits);
        tokio::spawn(async move {
            if let Err(error) = respond(stream, &key, &replicas, &permits).await {
                logging::event!(debug, "peer_question_failed", reason = error);
            }
        });
    }
}

async fn respond(
    stream: TcpStream,
    key: &Key,
    replicas: &Replicas,
    permits: &Semaphore,
) -> Result<(), Error> {
    let mut link = Link::accept(stream, key).await?;
    let Frame::Message(Request { versions }) = link.reader.receive_within(TIMEOUT).await? else {
        return Err(Error::Closed);
    };
    let batches: Vec<_> = replicas
        .iter()
        .filter_map(|(&topic, replica)| Some((topic, replica.since(versions.of(topic)?))))
        .collect();
    let bytes = batches.iter().map(|(_, batch)| encoded_size(batch)).sum();
    if bytes < LARGE_RESPONSE {
        return send_all(&mut link, batches).await;
    }
    let Ok(_permit) = permits.try_acquire() else {
        return send(&mut link, &Reply::Busy).await;
    };
    send_all(&mut link, batches).await?;
    // The place is free once the other has all of it and closes: bytes that
    // wait in the buffers of a slow link were sent and have not come yet.
    let timeout = TIMEOUT + progress::allowance(bytes);
    drop(link.reader.receive_within::<Request>(timeout).await);
    Ok(())
}

async fn send_all(link: &mut Link, batches: Vec<(Topic, Batch)>) -> Result<(), Error> {
    for (topic, batch) in batches {
        let header = Reply::Topic {
            topic,
            version: batch.version,
            is_snapshot: batch.is_snapshot,
        };
        send(link, &header).await?;
        for row in batch.rows {
            send_row(link, row).await?;
        }
    }
    send(link, &Reply::End).await
}

/// The bytes that the values of a batch take as they are sent.
fn encoded_size(batch: &Batch) -> u64 {
    let values = batch
        .rows
        .iter()
        .map(|row| encoded_value(row.value.as_ref()).1);
    values.map(|bytes| bytes.len() as u64).sum()
}

async fn send_row(link: &mut Link, row: Row) -> Result<(), Error> {
    let (content, bytes) = encoded_value(row.value.as_ref());
    let reply = Reply::Row {
        key: row.key,
        version: row.version,
        content,
    };
    send(link, &reply).await?;
    for chunk in bytes.chunks(CHUNK_SIZE) {
        let sending = link.writer.send_data(chunk);
        time::timeout(SEND_TIMEOUT, sending)
            .await
            .map_err(|_| Error::Timeout)??;
    }
    Ok(())
}

/// How a value follows, and the bytes that do.
fn encoded_value(value: Option<&Value>) -> (Content, &[u8]) {
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
    time::timeout(SEND_TIMEOUT, link.writer.send(reply))
        .await
        .map_err(|_| Error::Timeout)?
}
