//! Removes the registrations of routers that ended without a signal.
//!
//! Such a router cannot remove its own, and others go on sending to it. One that is only cut off
//! registers again as soon as it sees that its registration is missing.

use tokio::time;
use units::host;
use xxhash_rust::xxh3;

use crate::{
    recorder::{self, CALL_TIMEOUT},
    source::{Error, Source},
};

/// The most registrations that one router removes before it looks at the list again.
const MAX_REMOVALS: usize = 20;

/// Registered routers that have not been heard for long.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The lost routers.
    pub lost: Vec<host::Id>,
    /// The routers that share the work.
    pub members: Vec<host::Id>,
}

impl recorder::Backlog for Backlog {
    const FAILURE: &'static str = "lost_router_registered";

    fn first(&self) -> Option<u64> {
        let first = self.lost.first()?;
        Some(xxh3::xxh3_64(first.as_str().as_bytes()))
    }

    fn members(&self) -> &[host::Id] {
        &self.members
    }

    async fn apply<S: Source>(&self, source: &S, _: &host::Id) -> Result<(), Error> {
        for router in self.lost.iter().take(MAX_REMOVALS) {
            let deadline = time::Instant::now() + CALL_TIMEOUT;
            source.unregister(router, deadline).await?;
            logging::event!(info, "lost_router_removed", router = router);
        }
        Ok(())
    }
}
