//! A TCP proxy that simulates a network link, which can be closed or limited in rate.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time,
};

/// Size of the relay buffer. The rate limit applies to one buffer at a time.
const BUFFER_BYTES: usize = 8 * 1024;

/// A loopback listener whose connections are relayed to a server.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    open: watch::Sender<bool>,
    /// Maximum rate of each connection in the direction from the server, in bytes per second.
    rate: watch::Sender<u64>,
    /// Bytes relayed in the direction from the server.
    carried: Arc<AtomicU64>,
}

impl Link {
    /// Starts an open link without rate limit to the server at `target`.
    ///
    /// # Errors
    ///
    /// Returns the error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (open, is_open) = watch::channel(true);
        let (rate, rates) = watch::channel(u64::MAX);
        let carried = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&carried);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let (is_open, rates) = (is_open.clone(), rates.clone());
                let count = Arc::clone(&count);
                tokio::spawn(connection(client, target, is_open, rates, count));
            }
        });
        Ok(Self {
            address,
            open,
            rate,
            carried,
        })
    }

    /// The address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of bytes relayed in the direction from the server.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Closes all connections, and each new connection as soon as it is accepted.
    pub fn close(&self) {
        self.open.send_replace(false);
    }

    /// Relays new connections again.
    pub fn reopen(&self) {
        self.open.send_replace(true);
    }

    /// Limits each connection to `bytes_per_s` in the direction from the server; with zero,
    /// nothing more arrives from the server.
    pub fn set_rate(&self, bytes_per_s: u64) {
        self.rate.send_replace(bytes_per_s);
    }
}

async fn connection(
    client: TcpStream,
    target: SocketAddr,
    mut is_open: watch::Receiver<bool>,
    rates: watch::Receiver<u64>,
    count: Arc<AtomicU64>,
) {
    if !*is_open.borrow() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let close = is_open.wait_for(|open| !open);
    tokio::select! {
        () = relay(client, server, rates, &count) => {}
        close = close => drop(close),
    }
}

/// Relays bytes in both directions until both directions are closed.
async fn relay(
    client: TcpStream,
    server: TcpStream,
    rates: watch::Receiver<u64>,
    count: &AtomicU64,
) {
    let (mut client_read, client_write) = client.into_split();
    let (server_read, mut server_write) = server.into_split();
    let upload = async {
        // A connection error ends this direction just as a close does.
        drop(tokio::io::copy(&mut client_read, &mut server_write).await);
        drop(server_write);
    };
    tokio::join!(
        upload,
        relay_throttled(server_read, client_write, rates, count)
    );
}

/// Relays bytes at the configured rate, one buffer at a time.
async fn relay_throttled(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut rates: watch::Receiver<u64>,
    count: &AtomicU64,
) {
    let mut buffer = [0; BUFFER_BYTES];
    let mut free_at = time::Instant::now();
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let rate = match rates.wait_for(|rate| *rate > 0).await {
            Ok(rate) => *rate,
            Err(_) => return,
        };
        let transfer_time = Duration::from_secs_f64(length as f64 / rate as f64);
        free_at = free_at.max(time::Instant::now()) + transfer_time;
        time::sleep_until(free_at).await;
        count.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
