//! The listener for callers' connections.

use std::{pin, sync::Arc, time::Duration};

use http_body_util::Either;
use hyper::{Request, body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use verdict::{Code, Refusal};

use crate::{
    activity::{Activity, Guard, Tracked},
    clock::Clock,
    discard::{self, Discard},
    protocol::Protocol,
    read_ahead, refusal,
    route::{Limits, Table},
    serve::{self, Context},
    shutdown::Phase,
};

/// The minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8 * 1024;
/// The backoff after `accept` failed, for example because of too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The timeout for sending the final refusal, which fits any socket buffer.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection stays open beyond its idle timeout.
///
/// A caller measures the idle time on its own side. If the connection were closed exactly
/// at the timeout, requests that were sent just before it would be lost.
const IDLE_GRACE: Duration = Duration::from_secs(1);
/// The interval between two checks of a response that is in flight after its deadline.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serves callers until the closing phase is reached and all responses have been sent.
pub async fn serve<P: Protocol>(
    listener: TcpListener,
    context: Arc<Context<P>>,
    max_connections: usize,
    mut phase: watch::Receiver<Phase>,
) {
    let connections = Arc::new(Semaphore::new(max_connections));
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
        // Above the limit, connections are closed immediately, so that the caller tries
        // another router. If they were accepted, the caller would only wait here.
        let Ok(slot) = Arc::clone(&connections).try_acquire_owned() else {
            logging::event!(warn, "connection_refused", most = max_connections);
            continue;
        };
        let context = Arc::clone(&context);
        let phase = phase.clone();
        tokio::spawn(async move {
            serve_connection(stream, context, phase).await;
            drop(slot);
        });
    }
    drop(listener);
    let all_slots = u32::try_from(max_connections).unwrap_or(u32::MAX);
    // The semaphore is never closed, so this waits for the last connection to end.
    drop(connections.acquire_many(all_slots).await);
}

async fn serve_connection<P: Protocol>(
    stream: TcpStream,
    context: Arc<Context<P>>,
    mut phase: watch::Receiver<Phase>,
) {
    // Without TCP_NODELAY, small events of a stream wait for an acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        logging::event!(debug, "caller_gone", reason = error);
        return;
    }
    if let Err(error) = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(context.unsent) {
        logging::event!(debug, "caller_gone", reason = error);
        return;
    }
    let limits = limits(context.table.borrow().as_deref());
    let clock = context.clock;
    let table = context.table.clone();
    let activity = Arc::new(Activity::new(clock));
    let shared_activity = Arc::clone(&activity);
    let stream = Tracked::new(stream, Arc::clone(&activity));
    let shared_context = Arc::clone(&context);
    let slot = Arc::new(read_ahead::Slot::default());
    let served = Arc::clone(&slot);
    let service = service::service_fn(move |request: Request<Incoming>| {
        let context = Arc::clone(&context);
        let guard = Guard::new(&shared_activity);
        let served = Arc::clone(&served);
        async move {
            // The library allocates the future and the body with each connection, also an idle one.
            let response = Box::pin(serve::serve(context, request, guard)).await;
            if let Either::Right(Either::Right(body)) = response.body() {
                served.set(body);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut is_ending = false;
    let result = loop {
        let expired = tokio::select! {
            // Requests that have arrived are read before their connection is closed.
            biased;
            result = &mut connection => break result,
            never = slot.read_ahead(|| activity.is_blocked()) => match never {},
            expired = wait_for_timeout(&activity, clock, &table, is_ending) => expired,
            () = Phase::reached(&mut phase, Phase::Closing), if !is_ending => Expired::Idle,
        };
        match expired {
            Expired::Idle => {
                is_ending = true;
                pin::Pin::new(&mut connection).graceful_shutdown();
            }
            Expired::SlowHead => {
                let mut stream = into_stream(connection.into_parts());
                refuse_slow_head(&shared_context, &mut stream).await;
                discard_unparsed(&shared_context).run(&mut stream).await;
                return;
            }
            Expired::Unread => {
                let waited = activity
                    .blocked_since()
                    .map(|since| clock.now().since(since));
                let waited_ms = waited.unwrap_or_default().as_millis();
                logging::event!(info, "response_unread", waited_ms = waited_ms);
                reset(into_stream(connection.into_parts()));
                return;
            }
        }
    };
    let mut discard = activity.take_discard();
    if let Err(error) = result {
        logging::event!(debug, "caller_connection_broken", reason = error);
        if activity.ends_with_connection() {
            reset(into_stream(connection.into_parts()));
            return;
        }
        if error.is_parse() {
            discard = discard.or_else(|| Some(discard_unparsed(&shared_context)));
        }
    }
    if let Some(discard) = discard {
        discard.run(&mut into_stream(connection.into_parts())).await;
    }
}

fn into_stream<S>(parts: http1::Parts<TokioIo<Tracked<TcpStream>>, S>) -> TcpStream {
    parts.io.into_inner().into_inner()
}

/// Prepares to discard what follows bytes that are no request.
fn discard_unparsed<P>(context: &Context<P>) -> Discard {
    Discard::new(context, String::from(serve::UNREAD), discard::MIN_BYTES)
}

/// Closes a connection so that the response on it does not look complete.
fn reset(stream: TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        logging::event!(debug, "caller_gone", reason = error);
    }
}

/// Refuses a caller whose request head took too long, and closes the sending side.
///
/// No request has begun, so the caller may retry.
async fn refuse_slow_head<P: Protocol>(context: &Context<P>, stream: &mut TcpStream) {
    let refused = Refusal::not_run(Code::SlowCaller, "The head took too long to arrive.");
    logging::event!(
        info,
        "request_rejected",
        request = serve::UNREAD,
        code = refused.code,
        verdict = refused.verdict,
        reason = refused.message
    );
    context.metrics.refused(&refused);
    let response = refusal::response(&context.connector.protocol, &refused, context.clock.now());
    let bytes = refusal::closing_response(response);
    let sent = async {
        stream.write_all(&bytes).await?;
        stream.shutdown().await
    };
    match time::timeout(REFUSAL_TIMEOUT, sent).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => logging::event!(debug, "caller_gone", reason = error),
        Err(error) => logging::event!(debug, "caller_gone", reason = error),
    }
}

fn limits(table: Option<&Table>) -> Limits {
    table.map_or_else(Limits::default, |table| table.limits)
}

/// The timeout that expired on a connection without a request in flight.
enum Expired {
    /// The idle timeout: no bytes were received.
    Idle,
    /// The caller read nothing of the rest of a response until its deadline, or for the idle timeout
    /// after the last one.
    Unread,
    /// The head timeout: a request head began and was not completed.
    SlowHead,
}

/// Waits until the idle timeout or the head timeout expires, as configured at that time.
///
/// A connection that is ending is closed once it is idle, so its idle timeout does not count.
async fn wait_for_timeout(
    activity: &Activity,
    clock: Clock,
    table: &watch::Receiver<Option<Arc<Table>>>,
    is_ending: bool,
) -> Expired {
    loop {
        let limits = limits(table.borrow().as_deref());
        let now = clock.now();
        let patience = limits.idle_timeout.duration() + IDLE_GRACE;
        let idle_since = activity.idle_since().filter(|_| !is_ending);
        let (deadline, expired) = match (activity.unread_at(patience), activity.head_since()) {
            (Some(at), _) => (at, Expired::Unread),
            (None, Some(since)) => (since + limits.head_timeout.duration(), Expired::SlowHead),
            (None, None) => (idle_since.unwrap_or(now) + patience, Expired::Idle),
        };
        if deadline <= now {
            return expired;
        }
        // A response in flight may be blocked at its deadline, or soon after it.
        let check_at = activity
            .deadline()
            .map(|at| at.max(now + OVERDUE_CHECK_INTERVAL));
        let wake_at = check_at.map_or(deadline, |at| at.min(deadline));
        tokio::select! {
            () = time::sleep_until(clock.at(wake_at)) => {}
            () = activity.begun() => {}
        }
    }
}
