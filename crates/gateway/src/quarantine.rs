//! Records refused prompt parts in the store, so that they stay refused when all routers restart.

use recovery::quarantine::Combination;
use tokio::time;
use units::host;
use xxhash_rust::xxh3;

use crate::{
    recorder::{self, CALL_TIMEOUT},
    source::{Error, Source},
};

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

impl recorder::Backlog for Backlog {
    const FAILURE: &'static str = "quarantine_not_recorded";

    fn first(&self) -> Option<u64> {
        let first = self.unrecorded.iter().map(|(parts, _)| parts);
        first.chain(&self.superseded).next().map(hash)
    }

    fn members(&self) -> &[host::Id] {
        &self.members
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
    recorder::rank(members, own, hash(parts))
}

fn hash(parts: &Combination) -> u64 {
    xxh3::xxh3_64(parts.to_string().as_bytes())
}
