//! The server side of the transfer of rows.

use std::{sync::Arc, time::Duration};

use storage::progress;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use wire::{hop::Frame, seal::Key};

use super::{Content, Reply, Request, TIMEOUT, pack::Packer};
use crate::{
    link::{Error, Link},
    replica::Replicas,
    source::{Batch, Row, Topic},
    value::Value,
};

/// The timeout for sending one chunk of a response.
const SEND_TIMEOUT: Duration = Duration::from_millis(1000);
/// The size of the chunks of a value, in bytes. Small chunks show the client that a
/// response makes progress even where many share a slow link.
const CHUNK_SIZE: usize = 8 * 1024;
/// The size from which a response counts as large, in bytes: a slow link takes several
/// milliseconds for it.
const LARGE_RESPONSE: u64 = 16 * 1024;
/// The maximum number of concurrent large responses.
///
/// A client that is refused requests from another router. If all clients were served at
/// once over a slow link, all transfers would complete late, and none of the clients could
/// serve the rows to others before that.
pub const MAX_LARGE_RESPONSES: usize = 4;

/// Serves row requests of other routers until the process ends.
pub async fn serve(listener: TcpListener, key: Key, replicas: watch::Receiver<Arc<Replicas>>) {
    let permits = Arc::new(Semaphore::new(MAX_LARGE_RESPONSES));
    let packer = Packer::default();
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
        let packer = packer.clone();
        tokio::spawn(async move {
            if let Err(error) = respond(stream, &key, &replicas, &permits, &packer).await {
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
    packer: &Packer,
) -> Result<(), Error> {
    let mut link = Link::accept(stream, key).await?;
    let Frame::Message(request) = link.reader.receive_within::<Request>(TIMEOUT).await? else {
        return Err(Error::Closed);
    };
    let batches: Vec<_> = replicas
        .iter()
        .filter_map(|(&topic, replica)| {
            let after = request.versions.of(topic)?;
            let batch = replica.since(after);
            // Values of a configuration are packed already, and relayed as they are.
            let is_packable = request.accepts_packed && topic != Topic::Configuration;
            let packed = is_packable
                .then(|| packer.pack(topic, &batch, after, replica.checksum()))
                .flatten();
            Some(Part {
                topic,
                batch,
                packed,
            })
        })
        .collect();
    let bytes = batches.iter().map(Part::encoded_size).sum();
    if bytes < LARGE_RESPONSE {
        return send_all(&mut link, batches).await;
    }
    let Ok(_permit) = permits.try_acquire() else {
        return send(&mut link, &Reply::Busy).await;
    };
    send_all(&mut link, batches).await?;
    // The permit is held until the client has received everything and closes the
    // connection: bytes in the buffers of a slow link were sent but have not arrived.
    let timeout = TIMEOUT + progress::transfer_time(bytes);
    drop(link.reader.receive_within::<Request>(timeout).await);
    Ok(())
}

/// The rows of one topic in a response.
struct Part {
    topic: Topic,
    batch: Batch,
    /// All rows together, in a form that compresses.
    packed: Option<Value>,
}

impl Part {
    /// The number of bytes that the values take on the wire.
    fn encoded_size(&self) -> u64 {
        if let Some(packed) = self.packed.as_ref().and_then(Value::packed) {
            return packed.len() as u64;
        }
        let rows = self.batch.rows.iter();
        let values = rows.map(|row| encoded_value(row.value.as_ref()).1);
        values.map(|bytes| bytes.len() as u64).sum()
    }
}

async fn send_all(link: &mut Link, parts: Vec<Part>) -> Result<(), Error> {
    for part in parts {
        match &part.packed {
            Some(value) => send_packed(link, &part, value).await?,
            None => send_rows(link, part).await?,
        }
    }
    send(link, &Reply::End).await
}

async fn send_packed(link: &mut Link, part: &Part, value: &Value) -> Result<(), Error> {
    let (_, bytes) = encoded_value(Some(value));
    let header = Reply::Packed {
        topic: part.topic,
        version: part.batch.version,
        is_snapshot: part.batch.is_snapshot,
        bytes: bytes.len() as u64,
        length: value.len() as u64,
    };
    send(link, &header).await?;
    send_bytes(link, bytes).await
}

async fn send_rows(link: &mut Link, part: Part) -> Result<(), Error> {
    let header = Reply::Topic {
        topic: part.topic,
        version: part.batch.version,
        is_snapshot: part.batch.is_snapshot,
    };
    send(link, &header).await?;
    for row in part.batch.rows {
        send_row(link, row).await?;
    }
    Ok(())
}

async fn send_row(link: &mut Link, row: Row) -> Result<(), Error> {
    let (content, bytes) = encoded_value(row.value.as_ref());
    let reply = Reply::Row {
        key: row.key,
        version: row.version,
        content,
    };
    send(link, &reply).await?;
    send_bytes(link, bytes).await
}

async fn send_bytes(link: &mut Link, bytes: &[u8]) -> Result<(), Error> {
    for chunk in bytes.chunks(CHUNK_SIZE) {
        let sending = link.writer.send_data(chunk);
        time::timeout(SEND_TIMEOUT, sending)
            .await
            .map_err(|_| Error::Timeout)??;
    }
    Ok(())
}

/// The encoding of a value, and its encoded bytes.
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
