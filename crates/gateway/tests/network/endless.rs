//! Routers that send rows without end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gateway::{
    link::{Error, Link},
    peers::{Versions, fetch},
    source::Topic,
    value::Value,
};
use serde::Serialize;
use tokio::{io::AsyncWriteExt as _, net::TcpListener, time};
use wire::{hop, seal::Key};
use yare::parameterized;

/// How long a request may take before it counts as held without end.
const HANG: Duration = Duration::from_secs(20);
/// The bytes after which a router that writes without end stops, so that a test that fails does
/// not use up all memory.
const MAX_WRITTEN_BYTES: u64 = 256 * 1024 * 1024;
/// The most bytes of a response: its limit, and what the buffers of both sockets take.
const MAX_RESPONSE_BYTES: u64 = (32 + 10) * 1024 * 1024;

/// The replies of a router to a request for rows.
#[derive(Debug, Serialize)]
enum Reply {
    Topic {
        topic: Topic,
        version: u64,
        is_snapshot: bool,
    },
    Row {
        key: String,
        version: u64,
        content: Content,
    },
    #[expect(dead_code, reason = "keeps the place of the reply")]
    End,
    #[expect(dead_code, reason = "keeps the place of the reply")]
    Busy,
    Packed {
        topic: Topic,
        version: u64,
        is_snapshot: bool,
        bytes: u64,
        length: u64,
    },
}

#[derive(Debug, Serialize)]
enum Content {
    Removed,
    Plain(u64),
}

/// What a router repeats without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum What {
    Topics,
    RemovedRows,
    Rows,
    ValueWithoutData,
    Packed,
}

impl What {
    /// The payloads of the frames before those that repeat.
    fn begin(self) -> Vec<Vec<u8>> {
        let topic = Reply::Topic {
            topic: Topic::Servers,
            version: 1,
            is_snapshot: true,
        };
        match self {
            Self::ValueWithoutData => vec![message(&topic), message(&row(Content::Plain(8)))],
            _ => vec![message(&topic)],
        }
    }

    /// The payloads of the frames that repeat.
    fn unit(self) -> Vec<Vec<u8>> {
        match self {
            Self::Topics => self.begin(),
            Self::RemovedRows => vec![message(&row(Content::Removed))],
            Self::Rows => vec![message(&row(Content::Plain(8192))), data(&[b'x'; 8192])],
            Self::ValueWithoutData => vec![data(&[])],
            Self::Packed => {
                let (packed, length) = packed(8);
                vec![packed_header(&packed, length), data(&packed)]
            }
        }
    }
}

fn row(content: Content) -> Reply {
    Reply::Row {
        key: String::from("s1"),
        version: 1,
        content,
    }
}

/// A packed batch of this many rows, which compresses to a small part of it, and its length.
fn packed(rows: usize) -> (Bytes, usize) {
    // A row without key and value, of version zero, and long enough together to be packed.
    let rows = vec![(String::new(), 0_u64, None::<Vec<u8>>); rows];
    let mut encoded = postcard::to_stdvec(&rows).expect("rows");
    encoded.resize(encoded.len().max(8 * 1024), 0);
    let value = Value::from(Bytes::from(encoded));
    let packed = value.packed().expect("it compresses").clone();
    (packed, value.len())
}

fn packed_header(packed: &Bytes, length: usize) -> Vec<u8> {
    message(&Reply::Packed {
        topic: Topic::Servers,
        version: 1,
        is_snapshot: true,
        bytes: packed.len() as u64,
        length: length as u64,
    })
}

fn message(reply: &Reply) -> Vec<u8> {
    hop::encode(reply).expect("a short message")
}

fn data(bytes: &[u8]) -> Vec<u8> {
    [&[hop::DATA], bytes].concat()
}

fn key() -> Key {
    Key::from_bytes([7; 32])
}

/// Starts a router that sends the frames of `begin` and then those of `unit` without end, or closes
/// the connection if there are none. Counts its bytes.
async fn start(begin: Vec<Vec<u8>>, unit: Vec<Vec<u8>>) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&written);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let link = Link::accept(stream, &key()).await.expect("a handshake");
            // The other router closes the link.
            drop(serve(link, &begin, &unit, &count).await);
        }
    });
    (address, written)
}

async fn serve(
    mut link: Link,
    begin: &[Vec<u8>],
    unit: &[Vec<u8>],
    written: &AtomicU64,
) -> Result<(), Error> {
    // The content of the request does not matter.
    drop(link.reader.receive::<Versions>().await);
    let (mut socket, mut seals, _) = link.into_parts()?;
    let repeated = unit.iter().cycle();
    for payload in begin.iter().chain(repeated) {
        let header = seals.writer.header(&[payload])?;
        socket.write_all(&[&header[..], payload].concat()).await?;
        let bytes = (header.len() + payload.len()) as u64;
        if written.fetch_add(bytes, Ordering::Relaxed) > MAX_WRITTEN_BYTES {
            break;
        }
    }
    Ok(())
}

/// Guards against rows without end, which take all memory of the router that asks for them.
#[parameterized(
    topics = { What::Topics },
    removed_rows = { What::RemovedRows },
    rows = { What::Rows },
    value_without_data = { What::ValueWithoutData },
    packed = { What::Packed },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn rows_without_end_end_a_request(what: What) {
    let (address, written) = start(what.begin(), what.unit()).await;
    let result = time::timeout(HANG, fetch::request(address, &key(), Versions::default())).await;
    let result = result.expect("the request ends");
    assert!(result.is_err(), "{result:?}");
    let bytes = written.load(Ordering::Relaxed);
    assert!(bytes < MAX_RESPONSE_BYTES, "{bytes} bytes");
}

/// Guards against a batch that takes little space on the wire, and as rows more memory than a router
/// may have.
#[tokio::test]
async fn a_packed_batch_of_too_many_rows_is_refused() {
    let (packed, length) = packed(2_000_000);
    let begin = vec![packed_header(&packed, length), data(&packed)];
    let (address, _) = start(begin, Vec::new()).await;
    let result = fetch::request(address, &key(), Versions::default()).await;
    let is_refused = matches!(
        result,
        Err(fetch::Failure::Link(Error::Frame(wire::Error::TooLong)))
    );
    assert!(is_refused, "{:?}", result.err());
}
