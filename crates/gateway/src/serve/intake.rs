//! Validation of requests before they are sent to a server.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Request, body::Body as _, body::Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
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
/// How long a request waits for memory for the start of its body.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(500);
/// The most memory for which it waits, in bytes. The rest of a longer body is only reserved as it
/// arrives, so that no caller holds memory by a declared length.
const MAX_AWAITED_MEMORY: u64 = 16 * 1024;

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
        reserved,
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
            _memory: Arc::new((reserved, held)),
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
    body: Bytes,
    reserved: Option<OwnedSemaphorePermit>,
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
    let (body, reserved) = body.inspect_err(|refusal| log_refusal(head, &table, refusal))?;
    Ok(Admitted {
        table,
        route,
        key_owner,
        body,
        reserved,
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

/// A request body and the permit for its share of the memory for bodies.
type BodyWithPermit = (Bytes, Option<OwnedSemaphorePermit>);

/// Reads a body until `until`, limited by the maximum body size and the memory for all bodies.
///
/// Bodies are kept until their responses end. Without the limit, many concurrent large
/// bodies would exhaust the memory of the process, which would be killed together with
/// every request in flight.
async fn read(
    body: &mut Incoming,
    limit: u64,
    until: time::Instant,
    memory: &Arc<Semaphore>,
) -> Result<BodyWithPermit, Refusal> {
    match time::timeout_at(until, collect(body, limit, memory)).await {
        Ok(collected) => collected,
        Err(_) => Err(Refusal::not_run(
            Code::SlowCaller,
            "The body took too long to arrive.",
        )),
    }
}

async fn collect(
    body: &mut Incoming,
    limit: u64,
    memory: &Arc<Semaphore>,
) -> Result<BodyWithPermit, Refusal> {
    let expected = body.size_hint().lower().min(limit);
    let mut bytes = BytesMut::with_capacity(usize::try_from(expected).unwrap_or(0));
    let mut reserved = wait_for_memory(expected.min(MAX_AWAITED_MEMORY), memory).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Refusal::not_run(
                Code::Malformed,
                format!("The body could not be read: {error}"),
            )
        })?;
        bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        if bytes.len() as u64 > limit {
            return Err(too_large());
        }
        reserve_memory(&mut reserved, bytes.len(), memory)?;
    }
    Ok((bytes.freeze(), reserved))
}

/// Reserves memory for the first `length` bytes of a body, of which nothing has been read.
///
/// Only requests that hold no memory wait for some, so they cannot wait for each other.
async fn wait_for_memory(
    length: u64,
    memory: &Arc<Semaphore>,
) -> Result<Option<OwnedSemaphorePermit>, Refusal> {
    let units = u32::try_from(length.div_ceil(BODY_UNIT as u64)).unwrap_or(u32::MAX);
    if units == 0 {
        return Ok(None);
    }
    let permit = Arc::clone(memory).acquire_many_owned(units);
    match time::timeout(MAX_MEMORY_WAIT, permit).await {
        Ok(Ok(permit)) => Ok(Some(permit)),
        // The semaphore is never closed.
        Ok(Err(_)) | Err(_) => Err(no_memory()),
    }
}

fn no_memory() -> Refusal {
    Refusal::not_run(Code::Busy, "There is no memory for the body now.")
}

/// Extends the memory reservation to cover a body of `length` bytes.
fn reserve_memory(
    reserved: &mut Option<OwnedSemaphorePermit>,
    length: usize,
    memory: &Arc<Semaphore>,
) -> Result<(), Refusal> {
    let needed_units = length.div_ceil(BODY_UNIT);
    let held_units = reserved
        .as_ref()
        .map_or(0, OwnedSemaphorePermit::num_permits);
    let missing_units = u32::try_from(needed_units.saturating_sub(held_units)).unwrap_or(u32::MAX);
    if missing_units == 0 {
        return Ok(());
    }
    let Ok(permit) = Arc::clone(memory).try_acquire_many_owned(missing_units) else {
        return Err(no_memory());
    };
    match reserved {
        Some(reserved) => reserved.merge(permit),
        None => *reserved = Some(permit),
    }
    Ok(())
}

/// The number of bytes that one permit of the memory for bodies covers.
pub const BODY_UNIT: usize = 1024;

fn too_large() -> Refusal {
    Refusal::not_run(Code::TooLarge, "The body is over the limit.")
}

/// Hashes the path, API key and body, which a retry by the caller shares.
///
/// A request that crashes servers is recognized by it when the caller sends it again.
fn fingerprint(path: &str, head: &Head, body: &[u8]) -> Fingerprint {
    let mut hasher = xxh3::Xxh3Default::new();
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    hasher.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
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
