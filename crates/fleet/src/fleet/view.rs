//! Queries on a router's current view.

use recovery::Evidence;
use units::{availability, backend, host, time};
use wire::heartbeat;
use xxhash_rust::xxh3;

use super::Fleet;
use crate::{Region, load, member::Member, owner};

impl Fleet {
    /// The phase that this router announces.
    pub fn phase(&self) -> heartbeat::Phase {
        self.phase
    }

    /// The incarnation that this router announces.
    pub fn incarnation(&self) -> heartbeat::Incarnation {
        self.incarnation
    }

    /// The region of this router.
    pub fn region(&self) -> &Region {
        &self.region
    }

    /// The known other routers of the region, down and left ones included, by host name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.member_list.iter()
    }

    /// The member `host`, if it is a known other router of the region.
    pub fn member(&self, host: &host::Id) -> Option<&Member> {
        self.member_list.get(host)
    }

    /// The number of live routers of `zone`, this one included.
    pub fn live_count(&self, zone: &availability::Zone) -> usize {
        let others = self
            .member_list
            .live()
            .filter(|member| member.zone == *zone);
        others.count() + usize::from(self.identity.zone == *zone)
    }

    /// Whether this router may act as an owner.
    ///
    /// It may not after its start or a pause of its process until another router has
    /// answered or the grace period has passed: its engines may have been taken over.
    pub fn is_view_trusted(&self, now: time::Instant) -> bool {
        self.pause_detector.is_view_trusted(now)
    }

    /// The routers that may own engines, this one included while its view is trusted.
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

    /// Whether this router owns `server` of `zone` and may act as the owner.
    pub fn owns(
        &self,
        server: &backend::Server,
        zone: &availability::Zone,
        now: time::Instant,
    ) -> bool {
        self.owner(server, zone, now) == Some(&self.identity.host)
    }

    /// Whether this router is the designated poller of its zone, which polls the table often.
    ///
    /// Polls at random times leave occasional long gaps in which a change goes
    /// unnoticed. If the designated poller is lost, the random polls of the other
    /// routers continue.
    pub fn is_designated_poller(&self) -> bool {
        let hash = |host: &host::Id| xxh3::xxh3_64(host.as_str().as_bytes());
        let local = hash(&self.identity.host);
        let mut others = self
            .member_list
            .live_in_zone()
            .filter(|m| m.phase.may_own());
        self.phase.may_own() && others.all(|member| hash(&member.host) > local)
    }

    /// The total load of the engines of this router's zone.
    ///
    /// It is the total received from the root of the zone's load tree or, until
    /// there is one, the sum of the loads reported by single routers.
    pub fn zone_load(&self, now: time::Instant) -> heartbeat::Load {
        if let Some(total) = self.local_zone_total(now) {
            return total.load;
        }
        self.member_list
            .live_in_zone()
            .filter(|member| self.has_recent_report(member, now))
            .fold(self.load, |sum, member| load::add(sum, member.load))
    }

    /// The total load of the region's engines.
    ///
    /// Reports older than [`crate::Settings::load_expiry`] are left out.
    pub fn region_load(&self, now: time::Instant) -> heartbeat::Load {
        load::add(
            self.zone_load(now),
            self.zone_totals.sum_except(self.zone_tag),
        )
    }

    /// The known evidence on requests that may crash backend servers.
    pub fn evidence(&self) -> impl Iterator<Item = &Evidence> {
        self.reports.evidence()
    }

    fn has_recent_report(&self, member: &Member, now: time::Instant) -> bool {
        member
            .reported_at
            .is_some_and(|at| now.since(at) <= self.settings.load_expiry)
    }
}
