//! The choice of the server that receives a request.

use units::{backend, time::Instant};

use super::{Demand, Denial, Fleet, Pool, Server, advisories, cost, versions};

impl Pool {
    pub(super) fn choose(
        &self,
        demand: &Demand,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<backend::Server, Denial> {
        if !self.has_version(demand) {
            return Err(Denial::VersionGone);
        }
        if let Some(oversize) = self.oversize(demand) {
            return Err(Denial::Oversized(oversize));
        }
        let tiers = self.tiers(demand);
        let mut denial = Denial::NoServer;
        for (position, tier) in tiers.iter().enumerate() {
            let is_last = position + 1 == tiers.len();
            match self.choose_in(*tier, is_last, demand, fleet, now) {
                Ok(server) => return Ok(server),
                // A tier without servers does not change why the others have no room.
                Err(Denial::NoServer) => {}
                Err(other) => denial = other,
            }
        }
        Err(denial)
    }

    /// Chooses among the servers of one tier. Only in the last one, servers that failed
    /// recently are considered if there are no others.
    fn choose_in(
        &self,
        tier: versions::Tier,
        is_last: bool,
        demand: &Demand,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<backend::Server, Denial> {
        let untried = || {
            let servers = self.eligible(tier, demand);
            servers.filter(|server| !demand.tried.contains(server.name()))
        };
        let unthrottled = || untried().filter(|server| !server.is_throttled(now));
        let is_panicking = self.ejection.is_in_panic_mode(now);
        let is_available = |server: &&Server| {
            server.is_reachable(now)
                && !self.zone_tracker.is_in_backoff(server.zone(), now)
                && (is_panicking || !self.ejection.is_failing(server.name(), now))
        };
        let mut candidates: Vec<&Server> = unthrottled().filter(is_available).collect();
        if candidates.is_empty() && is_last {
            // A server that failed recently is preferable to refusing the request, and one that
            // did not fail itself to that.
            let reachable = unthrottled().filter(|server| !self.is_cut_off(server, now));
            candidates = reachable.collect();
            if candidates.iter().any(|server| server.is_reachable(now)) {
                candidates.retain(|server| server.is_reachable(now));
            }
        }
        if candidates.is_empty() {
            return Err(self.no_candidate(untried(), now));
        }
        let bound = self.bound(now);
        let room = self.room(&candidates, demand);
        candidates.retain(|server| {
            self.has_slot(server, demand, room)
                && self.has_effective_slot(server, now)
                && self.has_memory(server, demand, now)
                && !self.is_spared(server, now)
                && f64::from(server.load() + 1) <= bound
        });
        self.retain_allotted(&mut candidates, demand, room, fleet, now);
        if candidates.is_empty() {
            return Err(Denial::Full);
        }
        self.pass_over_readers(&mut candidates, demand, now)?;
        // A server that rejects requests at once is idle, and so looks like the best choice.
        if candidates.iter().any(|server| !server.is_rejecting(now)) {
            candidates.retain(|server| !server.is_rejecting(now));
        }
        let slow_start_ready_at = candidates
            .iter()
            .filter(|server| self.is_slow_start_limited(server, fleet, now))
            .map(|server| server.slow_start_ready_at())
            .min();
        candidates.retain(|server| !self.is_slow_start_limited(server, fleet, now));
        let best = self.cheapest(tier, &candidates, demand, fleet, now);
        best.ok_or(Denial::SlowStart(slow_start_ready_at.unwrap_or(now)))
    }

    /// Whether a server is in a remote zone that is unreachable.
    ///
    /// Trying its servers in turn would cost the request a full connect timeout for
    /// each. The router's own zone is never treated as unreachable.
    fn is_cut_off(&self, server: &Server, now: Instant) -> bool {
        *server.zone() != self.zone && self.zone_tracker.is_in_backoff(server.zone(), now)
    }

    /// The reason why none of `servers` can be tried: the one that ends first.
    fn no_candidate<'a>(&self, servers: impl Iterator<Item = &'a Server>, now: Instant) -> Denial {
        let (throttled, unreachable): (Vec<_>, Vec<_>) =
            servers.partition(|server| server.is_throttled(now));
        let throttle_end = advisories::first_throttle_end(throttled.into_iter());
        let probe_times = unreachable
            .iter()
            .map(|server| self.zone_tracker.backoff_until(server.zone()));
        match (throttle_end, probe_times.min()) {
            (None, None) => Denial::NoServer,
            (Some(end), None) => Denial::Throttled(end),
            (Some(end), Some(probe)) if end <= probe => Denial::Throttled(end),
            (_, Some(probe)) => Denial::ZonesUnreachable(probe.max(now)),
        }
    }

    /// The candidate with the lowest expected time to first byte. Plain servers that report
    /// their speed are chosen at random, since all routers hear of the best one at once.
    fn cheapest(
        &self,
        tier: versions::Tier,
        candidates: &[&Server],
        demand: &Demand,
        fleet: &Fleet,
        now: Instant,
    ) -> Option<backend::Server> {
        let reports_speed = self.reports_speed(now);
        if reports_speed && !self.is_engine() {
            return self.choose_by_completion(candidates, fleet, now);
        }
        let ranking = cost::Ranking::new(&demand.parts, self.eligible(tier, demand));
        let cost = |server: &&Server| {
            let position = ranking.as_ref().map(|ranking| ranking.position(server));
            let load = if reports_speed {
                cost::Load::reported(server, now)
            } else {
                cost::Load::of_routers(server)
            };
            cost::time_us(server, &self.zone, &demand.parts, position, load, now)
        };
        let best = candidates.iter().min_by_key(|server| cost(server))?;
        Some(best.name().clone())
    }
}
