//! Which backend server of one service takes a request.

pub mod connect;
mod copies;
mod cost;
mod peers;

mod server;
mod zone;

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use recovery::Ejection;
use smallvec::SmallVec;
use units::{availability, backend, chat, cost::Cost, host, time::Instant};

pub use server::{Outcome, Server};

use crate::{roster, route, settings::Bounds, slow_start};

/// One part of a prompt; parts that requests share have the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// What names it.
    pub key: chat::Key,
    /// Its length, in tokens.
    pub tokens: u32,
}

impl Part {
    /// Its length, in tokens.
    pub fn length(&self) -> u64 {
        u64::from(self.tokens)
    }
}

/// The parts of a prompt, in order.
pub type Parts = SmallVec<[Part; 4]>;

/// What placement needs to know of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The prompt; empty for a plain service.
    pub parts: Parts,
    /// Servers that had the request before.
    pub tried: SmallVec<[backend::Server; 2]>,
    /// Whether a part of each server's slots is kept free for others.
    pub leaves_reserve: bool,
}

/// The routers that share bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// This router.
    pub own: host::Id,
    /// All routers that are registered, this one included once it is.
    pub members: Vec<host::Id>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The server.
    pub server: backend::Server,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where it listens.
    pub address: SocketAddr,
    /// The start of the server that the request is meant for.
    pub born: u64,
    /// Prompt tokens that the server has not read, as far as known.
    pub uncached: Cost,
    /// A server that may have read more of the prompt.
    pub source: Option<SocketAddr>,
    /// Requests of all routers at the server, as far as known, this one included.
    pub load: u32,
    /// The most requests that the server may hold now.
    pub bound: f64,
    /// When a connection to it has to have come about.
    pub connect_deadline: Instant,
}

/// What is believed of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes requests.
    Sound,
    /// It refused a connection, and is left alone for a while.
    Away,
    /// It failed too often, and is left alone for a while.
    Ejected,
}

impl Standing {
    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Away => "away",
            Self::Ejected => "ejected",
        }
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why no server takes a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No server of the service is known, or all have been tried.
    NoServer,
    /// All are in zones that cannot be reached; the first of these is tried again then.
    ZonesUnreachable(Instant),
    /// All are at their limit.
    Full,
    /// Those that have room are cold and have had their share; one opens then.
    SlowStart(Instant),
}

/// How much of the room above the mean is used, since peers' loads are late.
const BOUND_HEADROOM_USED: f64 = 0.75;
/// Requests above the multiple of the mean that the deployment allows.
const BOUND_EXTRA: f64 = 3.0;

/// The servers of one service.
#[derive(Debug)]
pub struct Pool {
    zone: availability::Zone,
    bounds: Bounds,
    service: route::Service,
    servers: BTreeMap<backend::Server, Server>,
    ejection: Ejection,
    zone_tracker: zone::ZoneTracker,
}

impl Pool {
    /// A pool without servers, seen from `zone`.
    pub fn new(zone: availability::Zone, bounds: Bounds) -> Self {
        let settings = recovery::Settings {
            ejection: BASE_EJECTION,
            max_ejection: MAX_EJECTION,
            ..recovery::Settings::default()
        };
        Self {
            zone,
            bounds,
            service: route::Service {
                cold_per_s: 0.0,
                cache_tokens: 0,
            },
            servers: BTreeMap::new(),
            ejection: Ejection::new(settings),
            zone_tracker: zone::ZoneTracker::default(),
        }
    }

    /// Takes over what the configuration says of the service.
    pub fn set_service(&mut self, service: route::Service) {
        self.service = service;
    }

    /// Takes over new bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Sets the registered servers, each with whether it gets nothing new.
    pub fn set_servers<'a>(&mut self, entries: impl Iterator<Item = (&'a roster::Entry, bool)>) {
        let mut old = std::mem::take(&mut self.servers);
        for (entry, is_leaving) in entries {
            let mut server = old
                .remove(&entry.server)
                .unwrap_or_else(|| Server::new(entry.clone()));
            server.update(entry, is_leaving);
            self.servers.insert(entry.server.clone(), server);
        }
        let zones = self.servers.values().filter(|server| !server.is_leaving());
        let zones = zones.map(|server| (server.name().clone(), server.zone().clone()));
        self.ejection.set_servers(zones);
    }

    /// Chooses a server and counts the request there.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn admit(&mut self, demand: &Demand, fleet: &Fleet, now: Instant) -> Result<Place, Denial> {
        let choice = self.choose(demand, fleet, now)?;
        let share = self.slow_start_share(&choice, fleet, now);
        let source = self.source(&choice, demand, now);
        let bound = self.bound(now);
        let server = self.servers.get_mut(&choice).ok_or(Denial::NoServer)?;
        let uncached = Cost(server.uncached(&demand.parts, now));
        server.admit(uncached, share, now);
        self.zone_tracker.record_choice(server.zone(), now);
        Ok(Place {
            connect_deadline: now + self.zone_tracker.connect_timeout(server.zone()),
            zone: server.zone().clone(),
            address: server.address(),
            born: server.born(),
            server: choice,
            uncached,
            source,
            load: server.load(),
            bound,
        })
    }

    fn choose(
        &self,
        demand: &Demand,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<backend::Server, Denial> {
        let untried = || {
            let servers = self.servers.values().filter(|server| !server.is_leaving());
            servers.filter(|server| !demand.tried.contains(server.name()))
        };
        let is_panicking = self.ejection.is_panicking(now);
        let is_available = |server: &&Server| {
            server.is_reachable(now)
                && !self.zone_tracker.is_away(server.zone(), now)
                && (is_panicking || !self.ejection.is_failing(server.name(), now))
        };
        let mut candidates: Vec<&Server> = untried().filter(is_available).collect();
        if candidates.is_empty() {
            // What failed lately is still better than a refusal.
            let reachable = untried().filter(|server| !self.is_cut_off(server, now));
            candidates = reachable.collect();
        }
        if candidates.is_empty() {
            return Err(self.no_candidate(untried(), now));
        }
        let bound = self.bound(now);
        // Requests of a plain service are over before others hear of them. Counted,
        // they would keep requests waiting for slots that are free. A server that
        // is full says so.
        let counts_peers = self.service.cache_tokens > 0;
        candidates.retain(|server| {
            server.has_room(demand.leaves_reserve, counts_peers)
                && f64::from(server.load() + 1) <= bound
        });
        if candidates.is_empty() {
            return Err(Denial::Full);
        }
        let slow_start_ready_at = candidates
            .iter()
            .filter(|server| self.is_slow_start_limited(server, fleet, now))
            .map(|server| server.slow_start_ready_at())
            .min();
        candidates.retain(|server| !self.is_slow_start_limited(server, fleet, now));
        let best = self.cheapest(&candidates, demand, now);
        best.ok_or(Denial::SlowStart(slow_start_ready_at.unwrap_or(now)))
    }

    /// Whether a server is in a zone that cannot be reached.
    ///
    /// One after the other, each of its servers would keep a request for as long as
    /// a connection may take. The router's own zone is never taken for cut off.
    fn is_cut_off(&self, server: &Server, now: Instant) -> bool {
        *server.zone() != self.zone && self.zone_tracker.is_away(server.zone(), now)
    }

    /// Why none of `servers` may be tried.
    fn no_candidate<'a>(&self, servers: impl Iterator<Item = &'a Server>, now: Instant) -> Denial {
        let retry_times = servers.map(|server| self.zone_tracker.away_until(server.zone()));
        let first = retry_times.min();
        first.map_or(Denial::NoServer, |at| Denial::ZonesUnreachable(at.max(now)))
    }

    /// The most requests that one server may hold at `now`.
    ///
    /// The mean is that of all servers of the service, also of those that get
    /// nothing new. When few are left, requests wait although these have slots:
    /// the bound has no exception for that.
    ///
    /// Servers of zones that cannot be reached do not count. Their loads are not
    /// known then, and taken for none they would make callers of a zone that was
    /// cut off wait beside free slots.
    pub fn bound(&self, now: Instant) -> f64 {
        let has_known_load = |server: &&Server| !self.zone_tracker.is_unknown(server.zone(), now);
        let mean_load = if self.servers.values().any(|server| has_known_load(&server)) {
            mean(self.servers.values().filter(has_known_load))
        } else {
            mean(self.servers.values())
        };
        let headroom = (self.bounds.load_multiple - 1.0) * mean_load + BOUND_EXTRA;
        mean_load + headroom * BOUND_HEADROOM_USED
    }

    fn slow_start_limit(&self) -> slow_start::RateLimit {
        let rate = self.service.cold_per_s;
        slow_start::RateLimit {
            rate,
            max_per_s: rate * self.bounds.cold_multiple + self.bounds.cold_extra,
        }
    }

    fn slow_start_share(
        &self,
        server: &backend::Server,
        fleet: &Fleet,
        now: Instant,
    ) -> Option<slow_start::Share> {
        let is_cold = self.servers.get(server)?.is_cold(now);
        if !is_cold || self.service.cold_per_s <= 0.0 {
            return None;
        }
        slow_start::share(self.slow_start_limit(), &fleet.own, &fleet.members, server)
    }

    fn is_slow_start_limited(&self, server: &Server, fleet: &Fleet, now: Instant) -> bool {
        if !server.is_cold(now) || self.service.cold_per_s <= 0.0 {
            return false;
        }
        let share = slow_start::share(
            self.slow_start_limit(),
            &fleet.own,
            &fleet.members,
            server.name(),
        );
        share.is_none() || !server.is_slow_start_ready(now)
    }

    /// The candidate with the least expected time to the first byte.
    fn cheapest(
        &self,
        candidates: &[&Server],
        demand: &Demand,
        now: Instant,
    ) -> Option<backend::Server> {
        let active = self.servers.values().filter(|server| !server.is_leaving());
        let ranking = cost::Ranking::new(&demand.parts, active);
        let cost = |server: &&Server| {
            let place = ranking.as_ref().map(|ranking| ranking.position(server));
            cost::time_us(server, &self.zone, &demand.parts, place, now)
        };
        let best = candidates.iter().min_by_key(|server| cost(server))?;
        Some(best.name().clone())
    }

    /// Until then every server may have turned cold, or started anew, unnoticed.
    pub fn assume_cold_until(&mut self, until: Instant) {
        for server in self.servers.values_mut() {
            server.assume_cold_until(until);
        }
    }

    /// A server that this router has sent a request to.
    pub fn server_mut(&mut self, name: &backend::Server) -> Option<&mut Server> {
        self.servers.get_mut(name)
    }

    /// A connection to `server` came about.
    pub fn record_connect_time(&mut self, name: &backend::Server, time: Duration) {
        if let Some(server) = self.servers.get(name) {
            self.zone_tracker.record_connect_time(server.zone(), time);
        }
    }

    /// A connection to `server` was given up at its limit.
    pub fn record_connect_timeout(
        &mut self,
        name: &backend::Server,
        begun_at: Instant,
        now: Instant,
    ) {
        if let Some(server) = self.servers.get(name) {
            self.zone_tracker
                .record_connect_timeout(server.zone(), begun_at, now);
        }
    }

    /// The answer of `server` has begun.
    pub fn record_response(&mut self, name: &backend::Server) {
        if let Some(server) = self.servers.get(name) {
            self.zone_tracker.record_response(server);
        }
    }

    /// The request at `server` has ended. Returns how the server stands with
    /// that, if it was different before.
    pub fn ended(
        &mut self,
        name: &backend::Server,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Standing> {
        let before = self.standing(name, now);
        match outcome {
            Outcome::Completed => self.ejection.succeeded(name, now),
            Outcome::Failed | Outcome::Broken => self.ejection.failed(name, now),
            // What all routers saw decides on these; a cut would eject whole zones.
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Moved
            | Outcome::Full
            | Outcome::Cancelled => {}
        }
        if let Some(server) = self.servers.get_mut(name) {
            self.zone_tracker.record_outcome(server, outcome, now);
            server.ended(outcome, now);
        }
        let after = self.standing(name, now);
        (after != before).then_some(after)
    }

    /// What is believed of a server.
    pub fn standing(&self, name: &backend::Server, now: Instant) -> Standing {
        if self.ejection.is_ejected(name, now) {
            return Standing::Ejected;
        }
        match self.servers.get(name) {
            Some(server) if !server.is_reachable(now) => Standing::Away,
            _ => Standing::Sound,
        }
    }

    /// Slots of the servers that get work.
    pub fn slots(&self) -> u32 {
        let used = self.servers.values().filter(|server| !server.is_leaving());
        used.map(Server::slots).sum()
    }

    /// The servers, by name.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }
}

/// The mean load of some servers; zero if there are none.
fn mean<'a>(servers: impl Iterator<Item = &'a Server>) -> f64 {
    let (count, load) = servers.fold((0_u32, 0), |(count, load), server| {
        (count + 1, load + server.load())
    });
    f64::from(load) / f64::from(count.max(1))
}

/// How long a first ejection lasts: a few of the shortest faults that were seen (4 to 6 s).
const BASE_EJECTION: Duration = Duration::from_millis(1500);
/// How long the longest ejection lasts.
const MAX_EJECTION: Duration = Duration::from_secs(6);
