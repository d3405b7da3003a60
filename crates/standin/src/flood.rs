//! A server that writes without end until its client closes the connection.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time,
};

use crate::fixed;

/// The number of bytes of one write at full pace.
const BLOCK_BYTES: usize = 16 * 1024;

/// What a server writes, and how fast.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// The bytes that are written once.
    pub begin: &'static str,
    /// The bytes that are repeated without end.
    pub unit: &'static str,
    /// The pause after each unit; zero to write as fast as the client reads.
    pub pause: Duration,
}

/// What a server has written.
#[derive(Debug, Default)]
struct Meter {
    bytes: AtomicU64,
    requests: AtomicU64,
    open: AtomicUsize,
}

/// A server that answers requests of some methods without end. It forwards all other requests to
/// another server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    meter: Arc<Meter>,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server that answers requests whose method is in `methods` with `response`, and
    /// forwards the rest to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error if no port can be bound.
    pub async fn start(
        target: SocketAddr,
        methods: &'static [&'static str],
        response: Response,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let meter = Arc::new(Meter::default());
        let shared = Arc::clone(&meter);
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let meter = Arc::clone(&shared);
                tokio::spawn(async move {
                    // The client sees the broken connection.
                    drop(serve(client, target, methods, response, &meter).await);
                });
            }
        });
        Ok(Self {
            address,
            meter,
            task,
        })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of bytes written so far, over all connections.
    pub fn bytes(&self) -> u64 {
        self.meter.bytes.load(Ordering::Relaxed)
    }

    /// The number of requests that were answered without end.
    pub fn requests(&self) -> u64 {
        self.meter.requests.load(Ordering::Relaxed)
    }

    /// The number of connections that the server is writing to.
    pub fn open(&self) -> usize {
        self.meter.open.load(Ordering::Relaxed)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut client: TcpStream,
    target: SocketAddr,
    methods: &[&str],
    response: Response,
    meter: &Meter,
) -> io::Result<()> {
    let Some(request) = fixed::read_request(&mut client).await? else {
        return Ok(());
    };
    let is_answered = |method: &&str| request.starts_with(format!("{method} ").as_bytes());
    if !methods.iter().any(is_answered) {
        return fixed::forward(client, target, &request).await;
    }
    meter.requests.fetch_add(1, Ordering::Relaxed);
    meter.open.fetch_add(1, Ordering::Relaxed);
    let written = write(&mut client, response, meter).await;
    meter.open.fetch_sub(1, Ordering::Relaxed);
    written
}

async fn write(client: &mut TcpStream, response: Response, meter: &Meter) -> io::Result<()> {
    client.write_all(response.begin.as_bytes()).await?;
    let count = if response.pause.is_zero() {
        BLOCK_BYTES.div_ceil(response.unit.len())
    } else {
        1
    };
    let block = response.unit.repeat(count);
    loop {
        client.write_all(block.as_bytes()).await?;
        meter.bytes.fetch_add(block.len() as u64, Ordering::Relaxed);
        time::sleep(response.pause).await;
    }
}
