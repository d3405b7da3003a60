//! Records in the store what routers have found out, so that it outlasts their restarts.

use std::{future::Future, sync::Arc, time::Duration};

use tokio::{sync::watch, time};
use units::host;
use xxhash_rust::xxh3;

use crate::source::{Error, Source};

/// How much later each router changes a row than the one before it, if that one did not.
const RANK_DELAY: Duration = Duration::from_secs(1);
/// The longest such delay.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// The timeout of a call, and the pause after one that failed.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The differences between what routers know and what the store lists.
pub trait Backlog: Send + Sync + 'static {
    /// The event that is logged if the store does not take a change.
    const FAILURE: &'static str;

    /// A hash of the first difference; `None` if there is none.
    fn first(&self) -> Option<u64>;

    /// The routers that share the work.
    fn members(&self) -> &[host::Id];

    /// Applies the differences to the store.
    fn apply<S: Source>(
        &self,
        source: &S,
        own: &host::Id,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// How long this router leaves the first difference to others.
    fn delay(&self, own: &host::Id) -> Duration {
        let Some(first) = self.first() else {
            return MAX_DELAY;
        };
        let rank = u32::try_from(rank(self.members(), own, first)).unwrap_or(u32::MAX);
        RANK_DELAY.saturating_mul(rank).min(MAX_DELAY)
    }
}

/// Applies the differences until the sender of `backlog` is dropped.
///
/// All routers know of them. For each difference they have another order, so that one call is made
/// rather than one by each router.
pub async fn run<S: Source, B: Backlog>(
    source: S,
    own: host::Id,
    mut backlog: watch::Receiver<Arc<B>>,
) {
    while backlog
        .wait_for(|backlog| backlog.first().is_some())
        .await
        .is_ok()
    {
        let next = Arc::clone(&backlog.borrow_and_update());
        let delay = next.delay(&own);
        if time::timeout(delay, backlog.changed()).await.is_ok() {
            continue;
        }
        if let Err(error) = next.apply(&source, &own).await {
            logging::event!(info, B::FAILURE, reason = error);
        }
        // The store reports the change to all routers.
        drop(time::timeout(CALL_TIMEOUT, backlog.changed()).await);
    }
}

/// The number of routers that come before `own` for a difference with this hash.
pub fn rank(members: &[host::Id], own: &host::Id, hash: u64) -> usize {
    let score = |host: &host::Id| xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), hash);
    let own = score(own);
    members.iter().filter(|host| score(host) < own).count()
}
