//! The side of a tunnel at the egress router.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch},
    time,
};
use units::time::Instant;
use wire::{hop::Frame, seal::Key};

use super::{Open, Refusal, Rejection, Reply, Stream};
use crate::{
    clock::Clock,
    connection, dial,
    dispatch::{Dial, Location, Message},
    gate::Gates,
    link::{self, Link},
    metrics::Metrics,
    protocol::Protocol,
    shutdown::Phase,
};

/// The timeout for the first message of a connection.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a tunnel may outlast the time for which it was requested.
const MARGIN: Duration = Duration::from_secs(2);
/// How long a tunnel stays open after the end of a response, so that the other router receives
/// all of it: closing a connection with unread bytes discards what is under way.
const LINGER: Duration = Duration::from_secs(1);
/// The backoff after `accept` failed, for example because of too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The idle time of a connection to another router after which it is probed, and the interval
/// between probes.
const KEEPALIVE: Duration = Duration::from_secs(2);
/// The probes without an answer after which the other router has lost power. A sound host may be
/// silent for 6 s and go on, and the first probe may follow right after its last packet.
const KEEPALIVE_PROBES: u32 = 4;
/// The size of the copy buffer of each direction, in bytes.
const BUFFER: usize = 8 * 1024;

/// A slot in use at a backend server.
type Slot = OwnedSemaphorePermit;

/// What the server needs of this router.
#[derive(Clone, Debug)]
pub struct Server<P> {
    /// Opens connections to backend servers.
    pub protocol: P,
    /// The key of the fleet, once it is known.
    pub key: watch::Receiver<Option<Key>>,
    /// The task that knows the servers.
    pub dispatch: mpsc::UnboundedSender<Message>,
    /// The clock of the process.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Admission to servers that must not be overloaded.
    pub gates: Gates,
    /// The shutdown phase of the process.
    pub phase: watch::Receiver<Phase>,
}

/// Serves other routers until the closing phase is reached and all tunnels have ended.
pub async fn serve<P: Protocol>(listener: TcpListener, server: Server<P>, max_tunnels: usize) {
    let tunnels = Arc::new(Semaphore::new(max_tunnels));
    let mut phase = server.phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = Phase::reached(&mut phase, Phase::Closing) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                logging::event!(warn, "accept_failed", reason = error);
                time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let server = server.clone();
        let tunnels = Arc::clone(&tunnels);
        tokio::spawn(async move {
            if let Err(error) = server.carry(stream, &tunnels).await {
                logging::event!(debug, "tunnel_failed", reason = error);
            }
        });
    }
    drop(listener);
    let all = u32::try_from(max_tunnels).unwrap_or(u32::MAX);
    // The semaphore is never closed, so this waits for the last tunnel to end.
    drop(tunnels.acquire_many(all).await);
}

impl<P: Protocol> Server<P> {
    /// Serves one tunnel.
    async fn carry(&self, stream: TcpStream, tunnels: &Semaphore) -> Result<(), link::Error> {
        let Some(key) = self.key.borrow().clone() else {
            return Err(link::Error::Closed);
        };
        keep_alive(&stream)?;
        let mut link = Link::accept(stream, &key).await?;
        let Frame::Message(open) = link.reader.receive_within::<Open>(OPEN_TIMEOUT).await? else {
            return Err(link::Error::Closed);
        };
        let Ok(_tunnel) = tunnels.try_acquire() else {
            return self.refuse(&mut link, &open, Refusal::Busy.into()).await;
        };
        let (server, slot) = match self.connect(&open).await {
            Ok(connected) => connected,
            Err(rejection) => return self.refuse(&mut link, &open, rejection).await,
        };
        link.writer.send(&Reply::Opened).await?;
        self.metrics.tunnel_carried("opened");
        let until = time::Instant::now() + open.remaining.duration() + MARGIN;
        let copied = copy(Stream::new(link)?, server, slot);
        time::timeout_at(until, copied)
            .await
            .map_err(|_| link::Error::Timeout)??;
        Ok(())
    }

    async fn refuse(
        &self,
        link: &mut Link,
        open: &Open,
        rejection: Rejection,
    ) -> Result<(), link::Error> {
        self.metrics.tunnel_carried("refused");
        logging::event!(
            info,
            "tunnel_refused",
            server = open.server,
            incarnation = open.incarnation,
            reason = rejection.refusal
        );
        link.writer.send(&Reply::Refused(rejection)).await
    }

    /// Connects to the server.
    async fn connect(&self, open: &Open) -> Result<(TcpStream, Option<Slot>), Rejection> {
        if *self.phase.borrow() != Phase::Serving {
            return Err(Refusal::Leaving.into());
        }
        let location = self.locate(open).await?;
        let mut slot = None;
        if open.is_gated {
            let entered = self
                .gates
                .enter(&open.server, open.incarnation, location.slots);
            slot = Some(entered.await.ok_or(Refusal::Full)?);
        }
        let begun_at = self.clock.now();
        let (address, controls) = (location.address, &location.controls);
        let timeout = location.connect_timeout.duration();
        let result = dial::connect(&self.protocol, address, controls, timeout).await;
        self.record_dial(open, &location, begun_at, result.is_ok());
        let stream = result.map_err(|failure| match failure {
            dial::Failure::Refused => Refusal::ServerRefused,
            dial::Failure::Silent => Refusal::ServerSilent,
            dial::Failure::Unsure => Refusal::Unsure,
        })?;
        let until = open.remaining.duration() + MARGIN;
        connection::configure(&stream, until).map_err(|_| Refusal::ServerSilent)?;
        Ok((stream, slot))
    }

    async fn locate(&self, open: &Open) -> Result<Location, Rejection> {
        let (reply, located) = oneshot::channel();
        let message = Message::Locate(open.server.clone(), open.incarnation, reply);
        // The dispatch task runs as long as the process.
        drop(self.dispatch.send(message));
        located
            .await
            .unwrap_or_else(|_| Err(Refusal::Leaving.into()))
    }

    fn record_dial(
        &self,
        open: &Open,
        location: &Location,
        begun_at: Instant,
        is_established: bool,
    ) {
        // The dispatch task runs as long as the process.
        drop(self.dispatch.send(Message::Dialed(Dial {
            pool: location.pool.clone(),
            server: open.server.clone(),
            begun_at,
            is_established,
        })));
    }
}

/// Lets the kernel find out that the other router has lost power.
///
/// `TCP_USER_TIMEOUT` would do so too, but it also closes connections to routers whose callers
/// read slowly.
fn keep_alive(stream: &TcpStream) -> io::Result<()> {
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket2::SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Copies bytes in both directions until the response or the interest in it ends.
///
/// The connection to the server is closed at once when the other router closes the tunnel, so
/// that the server stops its work as soon as after a direct connection.
///
/// The slot is free as soon as the server has responded.
async fn copy(mut stream: Stream, mut server: TcpStream, slot: Option<Slot>) -> io::Result<()> {
    let is_complete = {
        let (mut from_router, mut to_router) = tokio::io::split(&mut stream);
        let (mut from_server, mut to_server) = server.split();
        tokio::select! {
            _ = copy_all(&mut from_router, &mut to_server) => return Ok(()),
            result = copy_all(&mut from_server, &mut to_router) => result.is_ok(),
        }
    };
    drop((server, slot));
    if is_complete {
        stream.shutdown().await?;
    } else {
        stream.reset().await?;
    }
    let mut rest = [0; 1024];
    let closed = async { while stream.read(&mut rest).await.is_ok_and(|count| count > 0) {} };
    // A router that keeps the connection open has received the end all the same.
    drop(time::timeout(LINGER, closed).await);
    Ok(())
}

async fn copy_all<R, W>(from: &mut R, to: &mut W) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..count]).await?;
        to.flush().await?;
    }
}
