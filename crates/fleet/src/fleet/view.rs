//! What a router knows at present.

use smallvec::SmallVec;
use units::{availability, backend, host, request, time};
use wire::heartbeat;
use xxhash_rust::xxh3;

use super::Fleet;
use crate::{Region, Strike, load, member::Member, owner};

impl Fleet {
    /// The phase that this router tells of itself.
    pub fn phase(&self) -> heartbeat::Phase {
        self.phase
    }

    /// The incarnation of this router.
    pub fn incarnation(&self) -> heartbeat::Incarnation {
        self.incarnation
    }

    /// The region of this router.
    pub fn region(&self) -> &Region {
        &self.region
    }

    /// The other routers of the region that are remembered, in order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.member_list.iter()
    }

    /// What is known of `host`, if it is another router of the region.
    pub fn member(&self, host: &host::Id) -> Option<&Member> {
        self.member_list.get(host)
    }

    /// How many routers of `zone` are live, this one included.
    pub fn live_count(&self, zone: &availability::Zone) -> usize {
        let others = self
            .member_list
            .live()
            .filter(|member| member.zone == *zone);
        others.count() + usize::from(self.identity.zone == *zone)
    }

    /// Whether this router may act as an owner.
    ///
    /// It may not before it joined, and not after a pause until others answered
    /// or the grace passed: they may have taken over meanwhile.
    pub fn is_view_trusted(&self, now: time::Instant) -> bool {
        self.pause_detector.is_view_trusted(now)
    }

    /// The routers that own engines, this one included while it is sure of its view.
    pub fn owners(
        &self,
        now: time::Instant,
    ) -> impl Iterator<Item = (&host::Id, &availability::Zone)> {
        let local = self.phase.may_own() && self.is_view_trusted(now);
        let local = local.then_some((&self.identity.host, &self.identity.zone));
        let others = self
            .member_list
            .iter()
            .filter(|member| member.phase.may_own());
        others
            .map(|member| (&member.host, &member.zone))
            .chain(local)
    }

    /// The router that owns `server` of `zone`.
    pub fn owner(
        &self,
        server: &backend::Server,
        zone: &availability::Zone,
        now: time::Instant,
    ) -> Option<&host::Id> {
        owner::owner(server, zone, self.owners(now))
    }

    /// Whether this router is the owner of `server` of `zone` and may act as such.
    pub fn owns(
        &self,
        server: &backend::Server,
        zone: &availability::Zone,
        now: time::Instant,
    ) -> bool {
        self.owner(server, zone, now) == Some(&self.identity.host)
    }

    /// Whether this router is the one of its zone that polls the table often.
    ///
    /// Polls at random moments leave long gaps now and then, in which a change
    /// goes unseen. If the one on duty is lost, the others' random polls remain.
    pub fn is_designated_poller(&self) -> bool {
        let hash = |host: &host::Id| xxh3::xxh3_64(host.as_str().as_bytes());
        let local = hash(&self.identity.host);
        let mut others = self
            .member_list
            .live_in_zone()
            .filter(|m| m.phase.may_own());
        self.phase.may_own() && others.all(|member| hash(&member.host) > local)
    }

    /// The sum of the load over the engines of this router's zone.
    ///
    /// It is the total that came down the tree of the zone, or, until one came,
    /// the sum of what was heard of single routers.
    pub fn zone_load(&self, now: time::Instant) -> heartbeat::Load {
        if let Some(total) = self.local_zone_total(now) {
            return total.load;
        }
        self.member_list
            .live_in_zone()
            .filter(|member| self.has_recent_report(member, now))
            .fold(self.load, |sum, member| load::add(sum, member.load))
    }

    /// The sum of the load over the engines of the region.
    ///
    /// What is older than [`Settings::load_expiry`] is left out.
    pub fn region_load(&self, now: time::Instant) -> heartbeat::Load {
        load::add(self.zone_load(now), self.zone_totals.others(self.zone_tag))
    }

    /// What is known of the strikes against a request.
    pub fn strikes(&self, fingerprint: request::Fingerprint, now: time::Instant) -> Option<Strike> {
        self.strikes.count(fingerprint, now)
    }

    /// The short names of the deaths that count against a request, as heartbeats carry them.
    pub fn strike_causes(
        &self,
        fingerprint: request::Fingerprint,
        now: time::Instant,
    ) -> SmallVec<[[u8; 4]; 4]> {
        self.strikes.causes(fingerprint, now)
    }

    fn has_recent_report(&self, member: &Member, now: time::Instant) -> bool {
        member
            .reported_at
            .is_some_and(|at| now.since(at) <= self.settings.load_expiry)
    }
}
