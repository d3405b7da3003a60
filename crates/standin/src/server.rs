//! The HTTP server of a stand-in, with faults of its connections.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{self, Poll},
};

use hyper::{server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
};

use crate::{endless::Endless, http};

/// The effect of a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Crash {
    /// Closes the listener and all connections and aborts all background tasks; for stand-ins
    /// inside a test.
    #[default]
    Abort,
    /// Exits the process with code 1.
    Exit,
}

/// The paths by which tests control a stand-in.
const EXEMPT_PATHS: [&str; 2] = ["/fault", "/ledger"];

/// The number of a connection, in order of acceptance.
pub type ConnectionId = u64;

/// The request handler of a stand-in.
pub trait Application: Send + Sync + 'static {
    /// Handles one request; an error closes the connection.
    fn handle(
        self: Arc<Self>,
        request: http::Request,
        connection: ConnectionId,
    ) -> impl Future<Output = Result<http::Response, http::Disconnected>> + Send;
}

/// Controls the faults of connections and the background tasks.
#[derive(Debug, Default)]
pub struct Control {
    crash: Crash,
    accept_task: Mutex<Option<AbortHandle>>,
    tasks: Mutex<JoinSet<()>>,
    next_connection: AtomicU64,
    silent_below: AtomicU64,
    exempt: AtomicU64,
    endless: Mutex<Option<Endless>>,
}

impl Control {
    /// Creates the control of a stand-in whose crashes have the effect `crash`.
    pub fn new(crash: Crash) -> Self {
        Self {
            crash,
            ..Self::default()
        }
    }

    /// Spawns `task`, which is aborted if the stand-in crashes or stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
    }

    /// Crashes the stand-in: closes the listener and all connections and aborts all background
    /// tasks, or exits the process.
    pub fn crash(&self) {
        if self.crash == Crash::Exit {
            logging::event!(warn, "crashed");
            std::process::exit(1);
        }
        if let Some(task) = lock(&self.accept_task).take() {
            task.abort();
        }
        lock(&self.tasks).abort_all();
    }

    /// Makes all current connections except `exempt` silent for the rest of their lifetime.
    pub fn silence(&self, exempt: Option<ConnectionId>) {
        self.exempt
            .store(exempt.unwrap_or(ConnectionId::MAX), Ordering::SeqCst);
        let next = self.next_connection.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }

    /// Answers each further request without end, except those for faults and ledgers; `None` ends
    /// this for further requests.
    pub fn set_endless(&self, endless: Option<Endless>) {
        *lock(&self.endless) = endless;
    }

    /// What is written without end as the response to a request.
    fn endless(&self, request: &http::Request) -> Option<Endless> {
        let is_exempt = EXEMPT_PATHS.contains(&request.uri().path());
        lock(&self.endless).filter(|_| !is_exempt)
    }

    fn is_silent(&self, connection: ConnectionId) -> bool {
        connection < self.silent_below.load(Ordering::SeqCst)
            && connection != self.exempt.load(Ordering::SeqCst)
    }
}

/// Locks `mutex` and ignores poisoning, so that a stand-in keeps running after a panic in one of
/// its tasks.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The listener of a stand-in, which stops when dropped.
#[derive(Debug)]
pub struct Server<A> {
    address: SocketAddr,
    application: Arc<A>,
    control: Arc<Control>,
}

impl<A: Application> Server<A> {
    /// Starts to listen on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        application: Arc<A>,
        control: Arc<Control>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            application,
            control,
        };
        server.accept(listener);
        Ok(server)
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The request handler.
    pub fn application(&self) -> &Arc<A> {
        &self.application
    }

    /// The control of connection faults and background tasks.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Listens again on the same address after a crash with [`Crash::Abort`].
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.accept(listener);
        Ok(())
    }

    /// Closes the listener and all connections and aborts all background tasks.
    pub fn stop(&self) {
        if let Some(task) = lock(&self.control.accept_task).take() {
            task.abort();
        }
        lock(&self.control.tasks).abort_all();
    }

    fn accept(&self, listener: TcpListener) {
        let task = tokio::spawn(accept(
            listener,
            Arc::clone(&self.application),
            Arc::clone(&self.control),
        ));
        let previous = lock(&self.control.accept_task).replace(task.abort_handle());
        if let Some(previous) = previous {
            previous.abort();
        }
    }
}

impl<A> Drop for Server<A> {
    fn drop(&mut self) {
        if let Some(task) = lock(&self.control.accept_task).take() {
            task.abort();
        }
        lock(&self.control.tasks).abort_all();
    }
}

/// Accepts connections until the task is aborted, which also drops all connections.
async fn accept<A: Application>(listener: TcpListener, application: Arc<A>, control: Arc<Control>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let id = control.next_connection.fetch_add(1, Ordering::SeqCst);
                let connection = Connection { stream, id, control: Arc::clone(&control) };
                connections.spawn(serve(connection, Arc::clone(&application)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<A: Application>(connection: Connection, application: Arc<A>) {
    let id = connection.id;
    // Without TCP_NODELAY, each event of a stream waits for the acknowledgement of the previous
    // one.
    drop(connection.stream.set_nodelay(true));
    let control = Arc::clone(&connection.control);
    let endless = Mutex::new(None);
    let service = service::service_fn(|request| {
        let application = Arc::clone(&application);
        let found = control.endless(&request);
        *lock(&endless) = found;
        async move {
            match found {
                Some(_) => Err(http::Disconnected),
                None => application.handle(request, id).await,
            }
        }
    });
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(connection), service);
    let result = (&mut connection).await;
    if let Err(error) = result {
        logging::event!(debug, "connection_ended", error = error);
    }
    let client = connection.into_parts().io.into_inner();
    let endless = lock(&endless).take();
    if let Some(endless) = endless {
        endless.write(client).await;
    }
}

/// A connection that can be made silent: writes are accepted and discarded, and reads never
/// complete.
struct Connection {
    stream: TcpStream,
    id: ConnectionId,
    control: Arc<Control>,
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.control.is_silent(self.id)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Ready(Ok(bytes.len()));
        }
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
