//! Records refused prompt parts in the store, so that they stay refused when all routers restart.

use std::{sync::Arc, time::Duration};

use recovery::quarantine::Combination;
use tokio::{sync::watch, time};
use units::host;
use xxhash_rust::xxh3;

use crate::source::{Error, Source};

/// How much later each router changes a row than the one before it, if that one did not.
const RANK_DELAY: Duration = Duration::from_secs(1);
/// The longest such delay.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// The timeout of a call, and the pause after one that failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The differences between what is refused and what the store lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Refused parts that the store does not list, with the number of crashes.
    pub unrecorded: Vec<(Combination, u32)>,
    /// Parts that the store lists although they are not refused, or fewer of them are.
    pub superseded: Vec<Combination>,
    /// The routers that share the work.
    pub members: Vec<host::Id>,
}

impl Backlog {
    fn is_empty(&self) -> bool {
        self.unrecorded.is_empty() && self.superseded.is_empty()
    }
}

/// Applies the differences until the sender of `backlog` is dropped.
///
/// All routers know of them. For each combination they have another order, so that one call is
/// made rather than one by each router.
pub async fn run<S: Source>(source: S, own: host::Id, mut backlog: watch::Receiver<Arc<Backlog>>) {
    while backlog
        .wait_for(|backlog| !backlog.is_empty())
        .await
        .is_ok()
    {
        let next = Arc::clone(&backlog.borrow_and_update());
        let delay = next.delay(&own);
        if time::timeout(delay, backlog.changed()).await.is_ok() {
            continue;
        }
        if let Err(error) = next.apply(&source, &own).await {
            logging::event!(info, "quarantine_not_recorded", reason = error);
        }
        // The store reports the change to all routers.
        drop(time::timeout(CALL_TIMEOUT, backlog.changed()).await);
    }
}

impl Backlog {
    /// How long this router leaves the first combination to others.
    fn delay(&self, own: &host::Id) -> Duration {
        let first = self.unrecorded.iter().map(|(parts, _)| parts);
        let Some(parts) = first.chain(&self.superseded).next() else {
            return MAX_DELAY;
        };
        let rank = u32::try_from(rank(&self.members, own, parts)).unwrap_or(u32::MAX);
        RANK_DELAY.saturating_mul(rank).min(MAX_DELAY)
    }

    async fn apply<S: Source>(&self, source: &S, own: &host::Id) -> Result<(), Error> {
        for (parts, crashes) in &self.unrecorded {
            let deadline = time::Instant::now() + CALL_TIMEOUT;
            source
                .record_refused_parts(parts, *crashes, own, deadline)
                .await?;
            logging::event!(info, "quarantine_recorded", parts = parts);
        }
        for parts in &self.superseded {
            let deadline = time::Instant::now() + CALL_TIMEOUT;
            source.remove_refused_parts(parts, deadline).await?;
            logging::event!(info, "quarantine_removed", parts = parts);
        }
        Ok(())
    }
}

/// The number of routers that come before `own` for these parts.
pub fn rank(members: &[host::Id], own: &host::Id, parts: &Combination) -> usize {
    let seed = xxh3::xxh3_64(parts.to_string().as_bytes());
    let score = |host: &host::Id| xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed);
    let own = score(own);
    members.iter().filter(|host| score(host) < own).count()
}
