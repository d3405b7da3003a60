//! Validation of requests before they are sent to a server.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Request, body::Body as _, body::Incoming};
use ingress::{Collector, Payload, Pool};
use tokio::time;
use units::{request::Fingerprint, time::Instant};
use verdict::{Code, Refusal};
use xxhash_rust::xxh3;

use super::{
    Context, Exchange, Rejected, exchange,
    origin::{self, Origin},
};
use crate::{
    allowance::Allowance,
    discard::Unread,
    headers,
    pool::Demand,
    protocol::{Head, Protocol},
    route::{KeyOwner, Route, Table},
};

/// The id in logs of a request whose head could not be read.
pub const UNREAD: &str = "unread";
/// How many bytes may be received for each byte of a body, of which each may be a chunk.
const FRAMED_BYTES_PER_BYTE: u64 = 8;
/// How many bytes may be received beside a body: extensions of chunks, trailers, and the start of
/// the next request.
const MAX_OTHER_BYTES: u64 = 64 * 1024;
/// The longest timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a request waits for memory for the start of its body. The rest of a longer body is only
/// reserved as it arrives, so that no caller holds memory by a declared length.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(500);

/// Validates a request and reads its body.
///
/// # Errors
///
/// The refusal of an invalid request, which has not run, and what is unread of the request.
pub(super) async fn accept<P: Protocol>(
    context: &Arc<Context<P>>,
    request: Request<Incoming>,
    allowance: &Allowance,
) -> Result<Exchange<P>, Rejected> {
    let arrived = context.clock.now();
    let (mut parts, mut body) = request.into_parts();
    let head = match context.connector.protocol.read(&parts) {
        Ok(head) => head,
        Err(refusal) => {
            log_malformed(&refusal);
            let unread = Unread::new(UNREAD, body, &parts.headers, 0);
            return Err(Rejected { refusal, unread });
        }
    };
    let path = parts.uri.path();
    let admitted = match admit(context, &head, arrived, path, &mut body, allowance).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let limit = context.body_limit();
            let unread = Unread::new(&head.id, body, &parts.headers, limit);
            let is_lost = matches!(refusal.code, Code::Malformed | Code::SlowCaller);
            let unread = unread.map(|unread| if is_lost { unread.closing() } else { unread });
            return Err(Rejected { refusal, unread });
        }
    };
    let Admitted {
        table,
        route,
        key_owner,
        body,
    } = admitted;
    headers::strip(&mut parts.headers);
    parts.headers.remove(hyper::header::CONTENT_LENGTH);
    let held = context.held.hold_request(body.len());
    let origin = origin::resolve(context, &head, &route, key_owner.as_deref()).await;
    let origin = origin.inspect_err(|refusal| log_refusal(&head, &table, refusal))?;
    let Origin {
        pool,
        stream,
        version,
    } = origin;
    let route_rank = route.rank;
    let service = table.services.get(&pool);
    let is_engine = service.is_some_and(|service| service.cache_tokens > 0);
    let health_path = service.map_or_else(String::new, |service| service.health_path.clone());
    Ok(Exchange::new(
        Arc::clone(context),
        exchange::Plan {
            deadline: deadline(arrived, &route, &head),
            caller_deadline: head.timeout.map(|wait| arrived + wait.duration()),
            arrived,
            version: table.version,
            is_engine,
            health_path,
            pool,
            route,
            key_owner,
            fingerprint: fingerprint(parts.uri.path(), &head, &body),
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            stream,
            _held: held.map(Arc::new),
            demand: Demand {
                route_rank,
                parts: head.parts.clone(),
                version,
                usage: head.usage,
                ..Demand::default()
            },
            head,
        },
    ))
}

/// A valid request whose body has been read.
struct Admitted {
    table: Arc<Table>,
    route: Arc<Route>,
    key_owner: Option<Arc<KeyOwner>>,
    body: Payload,
}

async fn admit<P: Protocol>(
    context: &Context<P>,
    head: &Head,
    arrived: Instant,
    path: &str,
    body: &mut Incoming,
    allowance: &Allowance,
) -> Result<Admitted, Refusal> {
    let open = context.check_open();
    open.inspect_err(|refusal| log_refusal(head, &Table::default(), refusal))?;
    context.wait_until_ready().await;
    let table = context.table.borrow().clone();
    let table = table.ok_or_else(|| context.not_ready());
    let table = table.inspect_err(|refusal| log_refusal(head, &Table::default(), refusal))?;
    let checked = check(&table, head, path, body);
    let (route, key_owner) = checked.inspect_err(|refusal| log_refusal(head, &table, refusal))?;
    let limit = table.limits.body_bytes;
    let framed = limit.saturating_mul(FRAMED_BYTES_PER_BYTE);
    allowance.set(framed.saturating_add(MAX_OTHER_BYTES));
    let until = deadline(arrived, &route, head).min(arrived + BODY_TIMEOUT);
    let until = context.clock.at(until);
    let body = tokio::select! {
        body = read(body, limit, until, &context.body_memory) => body,
        () = allowance.used_up() => Err(too_large()),
    };
    allowance.lift();
    let body = body.and_then(|body| context.check_open().map(|()| body));
    let body = body.inspect_err(|refusal| log_refusal(head, &table, refusal))?;
    Ok(Admitted {
        table,
        route,
        key_owner,
        body,
    })
}

type Checked = (Arc<Route>, Option<Arc<KeyOwner>>);

fn check(table: &Table, head: &Head, path: &str, body: &Incoming) -> Result<Checked, Refusal> {
    let route = table
        .find(&head.host, path)
        .ok_or_else(|| Refusal::not_run(Code::UnknownRoute, "No route matches."))?;
    let key_owner = match &head.key {
        Some(key) => table.key_owner(key).cloned(),
        None => None,
    };
    if key_owner.is_none() && table.needs_key && !route.is_anonymous {
        return Err(Refusal::not_run(Code::BadKey, "The key is not known."));
    }
    // A request whose declared length exceeds the limit is refused before its body arrives.
    if body.size_hint().lower() > table.limits.body_bytes {
        return Err(too_large());
    }
    Ok((Arc::clone(route), key_owner))
}

/// Reads a body until `until`, limited by the maximum body size and the memory for all bodies.
///
/// Bodies are kept until their responses end. Without the limit, many concurrent large
/// bodies would exhaust the memory of the process, which would be killed together with
/// every request in flight.
async fn read(
    body: &mut Incoming,
    limit: u64,
    until: time::Instant,
    memory: &Pool,
) -> Result<Payload, Refusal> {
    match time::timeout_at(until, collect(body, limit, memory)).await {
        Ok(collected) => collected,
        Err(_) => Err(Refusal::not_run(
            Code::SlowCaller,
            "The body took too long to arrive.",
        )),
    }
}

async fn collect(body: &mut Incoming, limit: u64, memory: &Pool) -> Result<Payload, Refusal> {
    let expected = body.size_hint().exact();
    let expected = expected.and_then(|length| usize::try_from(length).ok());
    let mut collector = Collector::new(memory, expected);
    let waited = time::timeout(MAX_MEMORY_WAIT, collector.wait()).await;
    waited.map_err(|_| no_memory())?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Refusal::not_run(
                Code::Malformed,
                format!("The body could not be read: {error}"),
            )
        })?;
        let part = frame.into_data().unwrap_or_default();
        if (collector.len() + part.len()) as u64 > limit {
            return Err(too_large());
        }
        collector.push(&part).map_err(|_| no_memory())?;
    }
    Ok(collector.finish())
}

fn no_memory() -> Refusal {
    Refusal::not_run(Code::Busy, "There is no memory for the body now.")
}

fn too_large() -> Refusal {
    Refusal::not_run(Code::TooLarge, "The body is over the limit.")
}

/// Hashes the path, API key and body, which a retry by the caller shares.
///
/// A request that crashes servers is recognized by it when the caller sends it again.
fn fingerprint(path: &str, head: &Head, body: &Payload) -> Fingerprint {
    let mut hasher = xxh3::Xxh3Default::new();
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hasher.update(&[0]);
    for segment in body.segments() {
        hasher.update(segment);
    }
    Fingerprint(hasher.digest())
}

/// The deadline of the response: the shorter of the route's and the caller's timeouts.
fn deadline(arrived: Instant, route: &Route, head: &Head) -> Instant {
    let limit = head
        .timeout
        .map_or(route.timeout, |wait| wait.min(route.timeout));
    arrived + limit.duration()
}

/// Logs the refusal of a request whose head is malformed, so that its id is unknown.
fn log_malformed(refusal: &Refusal) {
    logging::event!(
        info,
        "request_rejected",
        request = UNREAD,
        code = refusal.code,
        verdict = refusal.verdict,
        reason = refusal.message
    );
}

fn log_refusal(head: &Head, table: &Table, refusal: &Refusal) {
    logging::event!(
        info,
        "request_rejected",
        request = head.id,
        host = head.host,
        code = refusal.code,
        verdict = refusal.verdict,
        config = table.version
    );
}
