//! The HTTP endpoints for readiness probes, metrics and the status page.

use std::{collections::VecDeque, convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use rollout::counts;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch},
    task::{AbortHandle, JoinSet},
    time,
};
use units::host;

use crate::{
    clock::Clock,
    dispatch, held,
    metrics::Metrics,
    readiness::Readiness,
    route::{Table, Unusable},
    shutdown::Phase,
    staleness::Staleness,
    status,
};

/// The most connections to one listener. Probes and scrapes come a few at a time.
const MAX_CONNECTIONS: usize = 32;
/// The most bytes of a request head.
const MAX_HEAD: usize = 8 * 1024;
/// The most bytes that the kernel holds for a client and has not sent yet.
const MAX_UNSENT: u32 = 32 * 1024;
/// The timeout for a request head, also for the next one on an open connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(90);
/// The backoff after `accept` failed, for example because of too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The data that the endpoints report.
#[derive(Clone, Debug)]
pub struct Sources {
    /// Whether the router can serve requests.
    pub readiness: watch::Receiver<Readiness>,
    /// The shutdown phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// This router.
    pub host: host::Id,
    /// The clock of the process.
    pub clock: Clock,
    /// The ages of the replicated views.
    pub ages: Arc<Staleness>,
    /// The memory for held bytes.
    pub held: Arc<held::Memory>,
    /// The dispatch task.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// The roll-outs.
    pub rollouts: watch::Receiver<Vec<status::Rollout>>,
    /// The configuration in force.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// What operators have written and is not in force, because it cannot be used.
    pub unusable: watch::Receiver<Vec<Unusable>>,
}

/// Serves the endpoints until the process ends.
pub async fn serve(listener: TcpListener, sources: Sources) {
    let mut connections = Connections::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                logging::event!(warn, "accept_failed", reason = error);
                time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        connections.add(serve_connection(stream, sources.clone()));
    }
}

async fn serve_connection(stream: TcpStream, sources: Sources) {
    if let Err(error) = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT) {
        logging::event!(debug, "observer_connection_broken", reason = error);
        return;
    }
    let service =
        service::service_fn(async |request| Ok::<_, Infallible>(respond(&request, &sources).await));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        logging::event!(debug, "observer_connection_broken", reason = error);
    }
}

/// The open connections, the oldest first.
#[derive(Debug, Default)]
struct Connections {
    tasks: JoinSet<()>,
    handles: VecDeque<AbortHandle>,
}

impl Connections {
    /// Serves one more connection. Beyond [`MAX_CONNECTIONS`], the oldest one is closed: a probe takes
    /// milliseconds, so silent connections never keep it out.
    fn add(&mut self, connection: impl Future<Output = ()> + Send + 'static) {
        while self.tasks.try_join_next().is_some() {}
        self.handles.retain(|handle| !handle.is_finished());
        if self.handles.len() >= MAX_CONNECTIONS
            && let Some(oldest) = self.handles.pop_front()
        {
            oldest.abort();
        }
        self.handles.push_back(self.tasks.spawn(connection));
    }
}

async fn respond(request: &Request<Incoming>, sources: &Sources) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        "/readyz" => readiness(sources),
        "/metrics" => (StatusCode::OK, metrics(sources)),
        "/status" => status(sources).await,
        "/rollouts" => (StatusCode::OK, rollouts(sources)),
        "/parts" => refused_parts(sources).await,
        path => match path.strip_prefix("/parts/") {
            Some(parts) if request.method() == Method::DELETE => lift(sources, parts).await,
            _ => (StatusCode::NOT_FOUND, String::from("not found\n")),
        },
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn metrics(sources: &Sources) -> String {
    let now = sources.clock.now();
    sources.metrics.set_ages(&sources.ages, now);
    sources.metrics.set_held(sources.held.usage());
    sources.metrics.text()
}

async fn status(sources: &Sources) -> (StatusCode, String) {
    let (reply, report) = oneshot::channel();
    let sent = sources.dispatch.send(dispatch::Message::Status(reply));
    let (Ok(()), Ok(report)) = (sent, report.await) else {
        return (StatusCode::SERVICE_UNAVAILABLE, String::from("ending\n"));
    };
    let unusable = sources.unusable.borrow().clone();
    let header = status::Header {
        unusable: &unusable,
        host: &sources.host,
        readiness: *sources.readiness.borrow(),
        phase: *sources.phase.borrow(),
        ages: &sources.ages,
        now: sources.clock.now(),
    };
    (StatusCode::OK, status::page(&header, &report))
}

fn rollouts(sources: &Sources) -> String {
    let table = sources.table.borrow().clone();
    let route_name = |route| {
        let names = table.iter().flat_map(|table| table.route_names());
        let mut names = names.filter(|name| counts::Route::named(name) == route);
        names.next().map(String::from)
    };
    let rollouts = sources.rollouts.borrow().clone();
    let lines = rollouts
        .iter()
        .flat_map(|rollout| status::rollout_lines(rollout, route_name));
    lines.map(|line| line + "\n").collect()
}

/// The refused prompt parts, one combination per line.
async fn refused_parts(sources: &Sources) -> (StatusCode, String) {
    let (reply, refused) = oneshot::channel();
    let message = dispatch::Message::RefusedParts(reply);
    let (Ok(()), Ok(refused)) = (sources.dispatch.send(message), refused.await) else {
        return (StatusCode::SERVICE_UNAVAILABLE, String::from("ending\n"));
    };
    let now = sources.clock.now();
    let lines = refused.iter().map(|entry| status::parts_line(entry, now));
    (StatusCode::OK, lines.map(|line| line + "\n").collect())
}

/// Ends the refusal of prompt parts on all routers.
async fn lift(sources: &Sources, parts: &str) -> (StatusCode, String) {
    let Ok(parts) = parts.parse() else {
        return (
            StatusCode::BAD_REQUEST,
            String::from("not a list of parts\n"),
        );
    };
    let (reply, lifted) = oneshot::channel();
    let message = dispatch::Message::LiftParts(parts, reply);
    match (sources.dispatch.send(message), lifted.await) {
        (Ok(()), Ok(true)) => (StatusCode::OK, String::from("lifted\n")),
        (Ok(()), Ok(false)) => (StatusCode::NOT_FOUND, String::from("not refused\n")),
        _ => (StatusCode::SERVICE_UNAVAILABLE, String::from("ending\n")),
    }
}

fn readiness(sources: &Sources) -> (StatusCode, String) {
    if *sources.phase.borrow() > Phase::Serving {
        return (StatusCode::SERVICE_UNAVAILABLE, String::from("leaving\n"));
    }
    match *sources.readiness.borrow() {
        Readiness::Ready => (StatusCode::OK, String::from("ready\n")),
        missing => (StatusCode::SERVICE_UNAVAILABLE, format!("{missing}\n")),
    }
}
