//! Registered routers that are not heard.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use units::{host, time::Instant};

use crate::source::Member;

/// How long a registered router may not be heard until others are chosen in its place. A router that
/// starts is heard by all within a few rounds of gossip.
pub const MAX_SILENCE: Duration = Duration::from_secs(5);

/// How long a registered router may not be heard until it is taken for lost: longer than any restart.
pub const LOST_AFTER: Duration = Duration::from_secs(600);

/// Since when registered routers have not been heard.
///
/// A router that ended without a signal stays registered, and would be chosen to keep records.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    since: BTreeMap<host::Id, Instant>,
}

impl Silence {
    /// The registered routers that have not been heard for [`LOST_AFTER`].
    pub fn lost(&self, now: Instant) -> impl Iterator<Item = &host::Id> {
        let since = self.since.iter();
        let lost = since.filter(move |(_, since)| now >= **since + LOST_AFTER);
        lost.map(|(host, _)| host)
    }

    /// The members without those that have been silent for too long.
    pub fn audible(
        &mut self,
        members: &Arc<Vec<Member>>,
        is_heard: impl Fn(&host::Id) -> bool,
        now: Instant,
    ) -> Arc<Vec<Member>> {
        let silent = members.iter().filter(|member| !is_heard(&member.host));
        let silent = silent.map(|member| {
            let since = self.since.get(&member.host).copied().unwrap_or(now);
            (member.host.clone(), since)
        });
        self.since = silent.collect();
        let is_silent = |member: &Member| {
            let since = self.since.get(&member.host);
            since.is_some_and(|since| now >= *since + MAX_SILENCE)
        };
        if !members.iter().any(is_silent) {
            return Arc::clone(members);
        }
        let audible = members.iter().filter(|member| !is_silent(member));
        Arc::new(audible.cloned().collect())
    }
}
