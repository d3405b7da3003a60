//! The connections of callers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Request, body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use units::time::Instant;

use crate::{
    clock::Clock,
    protocol::Protocol,
    route::{Limits, Table},
    serve::{self, Context},
    shutdown::Phase,
};

/// The least buffer that the HTTP library works with, in bytes.
const LEAST_BUFFER: usize = 8 * 1024;
/// How long to wait after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How much longer than its limit an idle connection stays open.
///
/// A caller measures the idle time from its own side; a close at the very
/// limit would meet requests that were sent just in time.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// How busy one caller's connection is.
#[derive(Debug)]
struct Activity {
    clock: Clock,
    running: AtomicU32,
    idle_since_us: AtomicU64,
}

/// Keeps a connection from counting as idle while its request is served.
#[derive(Debug)]
pub struct Busy(Arc<Activity>);

impl Busy {
    fn new(activity: &Arc<Activity>) -> Self {
        activity.running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(activity))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
        let now = self.0.clock.now().as_micros();
        self.0.idle_since_us.store(now, Ordering::Relaxed);
    }
}

impl Activity {
    fn idle_since(&self) -> Option<Instant> {
        if self.running.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let idle_since = self.idle_since_us.load(Ordering::Relaxed);
        Some(Instant::from_micros(idle_since))
    }
}

/// Serves callers until the listener is told to close and all answers are out.
pub async fn serve<P: Protocol>(
    listener: TcpListener,
    context: Arc<Context<P>>,
    most: usize,
    mut phase: watch::Receiver<Phase>,
) {
    let connections = Arc::new(Semaphore::new(most));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = Phase::reached(&mut phase, Phase::Closing) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                logging::event!(warn, "accept_failed", reason = error);
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Over the limit the connection is closed at once: its caller tries
        // another router, while an accepted one would only wait here.
        let Ok(slot) = Arc::clone(&connections).try_acquire_owned() else {
            logging::event!(warn, "connection_refused", most = most);
            continue;
        };
        let context = Arc::clone(&context);
        let phase = phase.clone();
        tokio::spawn(async move {
            connection(stream, context, phase).await;
            drop(slot);
        });
    }
    drop(listener);
    let all = u32::try_from(most).unwrap_or(u32::MAX);
    // The semaphore is never closed, so this waits for the last connection.
    drop(connections.acquire_many(all).await);
}

async fn connection<P: Protocol>(
    stream: TcpStream,
    context: Arc<Context<P>>,
    mut phase: watch::Receiver<Phase>,
) {
    // Without this, small events of a stream wait for an acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        logging::event!(debug, "caller_gone", reason = error);
        return;
    }
    let limits = limits(context.table.borrow().as_deref());
    let clock = context.clock;
    let table = context.table.clone();
    let activity = Arc::new(Activity {
        clock,
        running: AtomicU32::new(0),
        idle_since_us: AtomicU64::new(clock.now().as_micros()),
    });
    let watched = Arc::clone(&activity);
    let service = service::service_fn(move |request: Request<Incoming>| {
        let context = Arc::clone(&context);
        let busy = Busy::new(&activity);
        async move { Ok::<_, std::convert::Infallible>(serve::serve(context, request, busy).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = idle_too_long(&watched, clock, &table) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = Phase::reached(&mut phase, Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        logging::event!(debug, "caller_connection_broken", reason = error);
    }
}

fn limits(table: Option<&Table>) -> Limits {
    table.map_or_else(Limits::default, |table| table.limits)
}

/// Waits until the connection has been idle for the time in force at that moment.
async fn idle_too_long(
    activity: &Activity,
    clock: Clock,
    table: &watch::Receiver<Option<Arc<Table>>>,
) {
    loop {
        let limit = limits(table.borrow().as_deref()).idle_timeout.duration() + IDLE_SLACK;
        let now = clock.now();
        let until = activity
            .idle_since()
            .map_or(now + limit, |since| since + limit);
        if until <= now {
            return;
        }
        time::sleep_until(clock.at(until)).await;
    }
}
