//! The version that began the stream which a request takes up.

use std::{fmt, time::Duration};

use tokio::{sync::oneshot, time};
use units::{backend, pool};
use verdict::{Code, Refusal};
use xxhash_rust::xxh3;

use super::Context;
use crate::{
    journal,
    origins::{Answer, Key, Message, RETENTION},
    protocol::Head,
    route::{KeyOwner, Kind, Route},
};

/// How long other routers have to answer, and how often they are asked. A datagram may be lost, or
/// be discarded by a router that does not know this process yet.
const TIMEOUT: Duration = Duration::from_millis(80);
/// See [`TIMEOUT`].
const MAX_QUERIES: u32 = 3;
/// A stream and its caller's attempts take less than this many times the route's timeout.
const MAX_ROUTE_TIMEOUTS: u32 = 4;
/// The retry delay given to a caller whose stream's version is not known.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(500);

/// How the version that began a stream was found, or why it was not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A router has recorded it.
    Recorded,
    /// No router that answers has recorded it, but the journal has.
    Journaled,
    /// No router has recorded the stream, but the service has had only one version.
    OnlyVersion,
    /// Neither a router nor the journal has recorded the stream.
    Unrecorded,
    /// Some of the routers that may have recorded the stream have not answered, and the journal has not
    /// recorded it.
    Unanswered,
    /// Streams of several versions began under the same id.
    Ambiguous,
    /// The caller does not name the request that began the stream.
    Unnamed,
    /// Streams of the route cannot be taken up.
    NotResumable,
}

impl Finding {
    /// The name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::Journaled => "journaled",
            Self::OnlyVersion => "only_version",
            Self::Unrecorded => "unrecorded",
            Self::Unanswered => "unanswered",
            Self::Ambiguous => "ambiguous",
            Self::Unnamed => "unnamed",
            Self::NotResumable => "not_resumable",
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Where a request belongs because of the stream that it begins or takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The service: that of the request which began the stream.
    pub pool: pool::Id,
    /// The key under which the version of the stream is recorded; `None` if the stream cannot be
    /// taken up.
    pub stream: Option<Key>,
    /// The version that has to serve the request; `None` if any may.
    pub version: Option<backend::Version>,
}

/// Finds out where a request belongs.
///
/// # Errors
///
/// When the route has no service, or the request takes up a stream whose version is not known. It
/// has not run.
pub async fn resolve<P>(
    context: &Context<P>,
    head: &Head,
    route: &Route,
    key_owner: Option<&KeyOwner>,
) -> Result<Origin, Refusal> {
    let begun = head.resumes.as_ref().unwrap_or(&head.id);
    let pool = route.pool(xxh3::xxh3_64(begun.as_bytes())).cloned();
    let pool = pool.ok_or_else(|| Refusal::not_run(Code::NoServer, "The route has no service."))?;
    let workspace = key_owner.map_or(&context.anonymous, |key_owner| &key_owner.workspace);
    let is_resumable = route.kind == Kind::Resumable;
    let stream = is_resumable.then(|| Key::new(workspace, &pool, begun));
    let version = find(context, head, route, &pool, stream).await?;
    Ok(Origin {
        pool,
        stream,
        version,
    })
}

/// The version that has to serve a request; `None` if any may.
///
/// # Errors
///
/// When the request takes up a stream whose version is not known. It has not run.
async fn find<P>(
    context: &Context<P>,
    head: &Head,
    route: &Route,
    pool: &pool::Id,
    key: Option<Key>,
) -> Result<Option<backend::Version>, Refusal> {
    let started = context.clock.now();
    let (finding, version) = match (route.kind, key, &head.resumes, &head.last_event_id) {
        (Kind::Resumable, Some(key), Some(_), _) => named(context, route, pool, key).await,
        (Kind::Resumable, _, None, Some(_)) => unnamed(context, route, pool).await,
        (Kind::Stream, _, Some(_), _) => (Finding::NotResumable, None),
        _ => return Ok(None),
    };
    let now = context.clock.now();
    context.metrics.stream_taken_up(finding);
    logging::event!(
        info,
        "stream_taken_up",
        request = head.id,
        resumes = head.resumes.as_deref().unwrap_or("none"),
        after = head.last_event_id.as_deref().unwrap_or("none"),
        route = route.name,
        pool = pool,
        finding = finding,
        version = version.as_ref().map_or("none", backend::Version::as_str),
        waited_ms = now.since(started).as_millis(),
        servers_age_ms = context.ages.servers(now).as_millis()
    );
    match version {
        Some(version) => Ok(Some(version)),
        None => Err(refusal(context)),
    }
}

fn refusal<P>(context: &Context<P>) -> Refusal {
    let message = "It is not known which version began the stream. Begin it anew.";
    let refusal = Refusal::not_run(Code::VersionUnknown, message);
    refusal.retry_at(context.clock.now() + RETRY_AFTER_UNKNOWN)
}

type Found = (Finding, Option<backend::Version>);

/// The version of a stream whose first request the caller names.
async fn named<P>(context: &Context<P>, route: &Route, pool: &pool::Id, key: Key) -> Found {
    match ask(context, key).await {
        Some(Answer::Version(version)) => (Finding::Recorded, Some(version)),
        Some(Answer::Ambiguous) => (Finding::Ambiguous, None),
        None => journaled(context, key, Finding::Unanswered).await,
        Some(Answer::Unknown) => match only_version(context, route, pool).await {
            Some(version) => (Finding::OnlyVersion, Some(version)),
            None => journaled(context, key, Finding::Unrecorded).await,
        },
    }
}

/// The version of a stream by the journal; `missing` if that does not tell.
async fn journaled<P>(context: &Context<P>, key: Key, missing: Finding) -> Found {
    let (reply, answer) = oneshot::channel();
    // The task lives as long as the process.
    drop(context.journal.send(journal::Request { key, reply }));
    match answer.await {
        Ok(Answer::Version(version)) => (Finding::Journaled, Some(version)),
        Ok(Answer::Ambiguous) => (Finding::Ambiguous, None),
        Ok(Answer::Unknown) | Err(_) => (missing, None),
    }
}

/// The version of a stream of a caller that does not name its first request: the only one that the
/// service has had.
async fn unnamed<P>(context: &Context<P>, route: &Route, pool: &pool::Id) -> Found {
    match only_version(context, route, pool).await {
        Some(version) => (Finding::OnlyVersion, Some(version)),
        None => (Finding::Unnamed, None),
    }
}

/// The only version that can have begun a stream which is taken up; `None` if there are several, or it
/// is not known whether there are.
///
/// A router that stood still, or was cut off, may have missed the start of another version, whose
/// streams come here now. So the servers are read once more after the request has arrived.
async fn only_version<P>(
    context: &Context<P>,
    route: &Route,
    pool: &pool::Id,
) -> Option<backend::Version> {
    only_version_seen(context, route, pool)?;
    let (request, confirmed) = oneshot::channel();
    // The task lives as long as the process.
    drop(context.confirmations.send(request));
    confirmed.await.ok()?;
    only_version_seen(context, route, pool)
}

/// The only version of a service as far as this router has seen and others have recorded.
///
/// A router that has known the servers for as long as a stream and its attempts take has seen all
/// versions. One that has not asks the record of all routers.
fn only_version_seen<P>(
    context: &Context<P>,
    route: &Route,
    pool: &pool::Id,
) -> Option<backend::Version> {
    let span = RETENTION.max(route.timeout.duration() * MAX_ROUTE_TIMEOUTS);
    let now = context.clock.now();
    let history = context.history.borrow();
    let only = if context.ages.covers_servers(span, now) {
        history.only_version(pool, span, now)
    } else if context.ages.covers_servers(Duration::ZERO, now) {
        history.only_recorded_version(pool)
    } else {
        None
    };
    only.cloned()
}

/// Asks the routers that may know the stream; `None` if some do not answer and no other knows it.
async fn ask<P>(context: &Context<P>, key: Key) -> Option<Answer> {
    for _ in 0..MAX_QUERIES {
        let (reply, answer) = oneshot::channel();
        // The task lives as long as the process.
        drop(context.origins.send(Message::Find(key, reply)));
        if let Ok(Ok(answer)) = time::timeout(TIMEOUT, answer).await {
            return Some(answer);
        }
    }
    None
}
