//! Placement: chooses the backend server of a service that receives a request.

mod advisories;
mod backoff;
mod brittle;
mod choice;
pub mod connect;
mod copies;
mod cost;
mod denial;
mod holdings;
mod memory;
mod outcome;
mod paths;
mod peers;
mod room;
mod server;
mod speed;
mod versions;
mod zone;

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use recovery::OutlierDetector;
use rollout::{Role, Serving};
use scheduling::Reserve;
use smallvec::SmallVec;
use units::{availability, backend, chat, cost::Cost, host, time::Instant};

pub use denial::{Denial, Oversize};
pub use outcome::Outcome;
pub use server::{Effect, Server, Update};
pub use versions::{Preference, VersionLoads};

use crate::{connector::Path, roster, route, settings::Bounds, slow_start};

/// One part of a prompt; requests with a common prefix have parts with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The key that identifies the part.
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

/// The properties of a request that placement depends on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The prompt; empty for a plain service.
    pub parts: Parts,
    /// Servers to which earlier attempts of the request were sent.
    pub tried: SmallVec<[backend::Server; 2]>,
    /// Whether the request must leave some slots of each server to other workspaces.
    pub leaves_reserve: bool,
    /// The slots that the request leaves to more urgent ones; `None` if requests are not
    /// scheduled by urgency.
    pub reserve: Option<Reserve>,
    /// The urgency of the request; zero is the most urgent.
    pub rank: u8,
    /// The urgency of its route.
    pub route_rank: u8,
    /// The version that the request goes to during a roll-out.
    pub preference: Preference,
    /// The version that has to process the request, because the caller has received events
    /// from it. Versions do not continue each other's streams.
    pub version: Option<backend::Version>,
    /// Identifies the request in the account of the engines' memory.
    pub request: footprint::Request,
    /// What the caller states about the tokens of the request.
    pub usage: footprint::Usage,
    /// Until when the request waits rather than delaying more urgent ones by its prompt.
    pub deferrable_until: Instant,
}

/// The routers that share the limits of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// This router.
    pub own: host::Id,
    /// All registered routers, including this one once it has registered.
    pub members: Vec<host::Id>,
}

/// The server chosen for a request, and the state the choice was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The name of the server.
    pub server: backend::Server,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The incarnation of the server for which the request is meant.
    pub incarnation: u64,
    /// The version of the server's software.
    pub version: backend::Version,
    /// The role of the server's version.
    pub role: Role,
    /// Whether the server was cold.
    pub is_cold: bool,
    /// Whether the server had asked this router to send nothing.
    pub is_throttled: bool,
    /// Prompt tokens that are not known to be in the server's cache.
    pub uncached: Cost,
    /// A server from which more of the prompt's cache may be copied.
    pub source: Option<SocketAddr>,
    /// Requests in flight at the server from all routers, including this one; peers'
    /// counts may be stale.
    pub load: u32,
    /// The load bound of the server at the time of placement.
    pub bound: f64,
    /// The deadline for establishing the connection to the server.
    pub connect_deadline: Instant,
    /// The way to the server.
    pub path: Path,
    /// Whether the server is reached through one router only, which counts its slots.
    pub is_gated: bool,
    /// Whether requests are scheduled by the urgency of workspaces and routes.
    pub is_scheduled: bool,
}

/// The state of a server as this router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The server receives requests.
    Sound,
    /// The last connection attempt failed; the server receives no requests during the
    /// backoff.
    Away,
    /// Outlier detection ejected the server for a time.
    Ejected,
    /// The server asked this router to send nothing for a time.
    Throttled,
}

impl Standing {
    /// The name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Sound => "sound",
            Self::Away => "away",
            Self::Ejected => "ejected",
            Self::Throttled => "throttled",
        }
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The fraction of the headroom above the mean load that this router uses. The rest
/// covers the delay with which peers report their loads.
const BOUND_HEADROOM_USED: f64 = 0.75;
/// The load of a server, as a multiple of the mean over its version, up to which the bound
/// leaves room during a roll-out.
const MAX_IMBALANCE: f64 = 1.25;
/// Requests that a server may hold in addition to the configured multiple of the mean
/// load.
const BOUND_EXTRA: f64 = 3.0;

/// The servers of one service.
#[derive(Debug)]
pub struct Pool {
    zone: availability::Zone,
    bounds: Bounds,
    service: route::Service,
    servers: BTreeMap<backend::Server, Server>,
    /// What servers without an entry have announced: an entry can lapse and return while
    /// its server runs on.
    unlisted: BTreeMap<backend::Server, advisories::Unlisted>,
    reading: roster::Reading,
    ejection: OutlierDetector,
    zone_tracker: zone::ZoneTracker,
    serving: Serving,
    /// The versions on record, with the store's versions of the records.
    records: BTreeMap<backend::Version, u64>,
    brittleness: brittle::Brittleness,
    holdings: holdings::Holdings,
    /// Whether this router is up to date. If it is not, it cannot know that the version in
    /// service was replaced.
    is_up_to_date: bool,
    speed: speed::Speed,
    /// The present round of the exchange between routers.
    round: u64,
}

impl Pool {
    /// Creates a pool without servers for a router in `zone`.
    pub fn new(zone: availability::Zone, bounds: Bounds) -> Self {
        let settings = recovery::Settings {
            base_ejection_time: BASE_EJECTION,
            max_ejection_time: MAX_EJECTION,
            ..recovery::Settings::default()
        };
        Self {
            zone,
            bounds,
            service: route::Service {
                cold_per_s: 0.0,
                cache_tokens: 0,
                health_path: String::new(),
            },
            servers: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            reading: roster::Reading::default(),
            ejection: OutlierDetector::new(settings),
            zone_tracker: zone::ZoneTracker::default(),
            serving: Serving::default(),
            records: BTreeMap::new(),
            brittleness: brittle::Brittleness::default(),
            holdings: holdings::Holdings::default(),
            is_up_to_date: true,
            speed: speed::Speed::default(),
            round: 0,
        }
    }

    /// Applies the configuration of the service.
    pub fn set_service(&mut self, service: route::Service) {
        self.service = service;
    }

    /// Applies new bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Says when the servers of the next [`Self::set_servers`] were read.
    pub fn set_reading(&mut self, reading: roster::Reading) {
        self.reading = reading;
    }

    /// Sets the versions of the service on record, with the store's versions of the records.
    pub fn set_records(&mut self, records: BTreeMap<backend::Version, u64>) {
        self.records = records;
    }

    /// Replaces the registered servers. Each entry carries a flag that says whether the
    /// server is leaving and must get no new requests.
    pub fn set_servers<'a>(&mut self, entries: impl Iterator<Item = (&'a roster::Entry, bool)>) {
        let mut old = std::mem::take(&mut self.servers);
        for (entry, is_leaving) in entries {
            let mut server = old
                .remove(&entry.server)
                .unwrap_or_else(|| Server::new(entry.clone()));
            server.update(entry, is_leaving, self.reading);
            if let Some(unlisted) = self.unlisted.remove(&entry.server) {
                let announced_at = unlisted.announced_at;
                server.record_advisory(unlisted.incarnation, unlisted.advisory, announced_at);
            }
            self.servers.insert(entry.server.clone(), server);
        }
        self.holdings.retain_listed(&self.servers);
        for (name, server) in old {
            let announced_at = server.shutdown_announced_at();
            self.keep_unlisted(name, server.incarnation(), server.advisory(), announced_at);
        }
        self.update_usable();
    }

    /// Tells the parts of the pool that choose among the usable servers which ones these are.
    fn update_usable(&mut self) {
        let zones = self.servers.values().filter(|server| !server.is_leaving());
        let zones = zones.map(|server| (server.name().clone(), server.zone().clone()));
        self.ejection.set_servers(zones);
        self.update_versions();
    }

    /// Chooses a server for a request and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns the reason if no server can take the request now.
    pub fn admit(
        &mut self,
        demand: &Demand,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<Placement, Denial> {
        self.begin_round(now);
        let choice = self.choose(demand, fleet, now)?;
        self.speed.placed(now);
        let share = self.slow_start_share(&choice, fleet, now);
        let source = self.source(&choice, demand, now);
        let bound = self.bound(now);
        self.hold_memory(&choice, demand, now);
        let server = self.servers.get_mut(&choice).ok_or(Denial::NoServer)?;
        let uncached = Cost(server.uncached(&demand.parts, now));
        server.admit(uncached, share, now);
        self.zone_tracker.record_choice(server.zone(), now);
        Ok(Placement {
            connect_deadline: now + self.zone_tracker.connect_timeout(server.zone()),
            zone: server.zone().clone(),
            address: server.address(),
            incarnation: server.incarnation(),
            version: server.version().clone(),
            role: server.role(),
            is_cold: server.is_cold(now),
            is_throttled: server.is_throttled(now),
            server: choice,
            uncached,
            source,
            load: server.load(),
            bound,
            path: Path::Direct,
            is_gated: false,
            is_scheduled: self.is_scheduled(now),
        })
    }

    /// The load bound at `now`: the most requests that one server may hold.
    ///
    /// The mean covers all servers of the service, including those that are draining.
    /// If only a few servers remain active, requests queue although these have free
    /// slots; the bound makes no exception.
    ///
    /// Servers in unreachable zones are left out. Their load is unknown, and counting
    /// it as zero would lower the bound so far that requests in a partitioned zone
    /// queue while slots are free.
    ///
    /// During a roll-out the servers of one version are idle, and those of the other bear
    /// twice the mean. The bound leaves them room for that, within the configured one.
    pub fn bound(&self, now: Instant) -> f64 {
        let has_known_load = |server: &&Server| !self.zone_tracker.is_unknown(server.zone(), now);
        let mean_load = if self.servers.values().any(|server| has_known_load(&server)) {
            mean(self.servers.values().filter(has_known_load))
        } else {
            mean(self.servers.values())
        };
        let headroom = (self.bounds.load_multiple - 1.0) * mean_load + BOUND_EXTRA;
        let bound = mean_load + headroom * BOUND_HEADROOM_USED;
        match self.mean_load_of_bearing_version() {
            Some(mean) => bound.max(mean * MAX_IMBALANCE).min(mean_load + headroom),
            None => bound,
        }
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

    /// Treats all servers as cold until `until`, since any of them may have restarted
    /// unnoticed.
    pub fn assume_cold_until(&mut self, until: Instant) {
        for server in self.servers.values_mut() {
            server.assume_cold_until(until);
        }
    }

    /// The server with this name.
    pub fn server(&self, name: &backend::Server) -> Option<&Server> {
        self.servers.get(name)
    }

    /// The server with this name, for recording events of this router's requests.
    pub fn server_mut(&mut self, name: &backend::Server) -> Option<&mut Server> {
        self.servers.get_mut(name)
    }

    /// Records how long it took to connect to `server`.
    pub fn record_connect_time(&mut self, name: &backend::Server, time: Duration) {
        if let Some(server) = self.servers.get(name) {
            self.zone_tracker.record_connect_time(server.zone(), time);
        }
    }

    /// Records that connecting to `server` timed out.
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

    /// Records that a response from `server` has begun.
    pub fn record_response(&mut self, name: &backend::Server) {
        if let Some(server) = self.servers.get(name) {
            self.zone_tracker.record_response(server);
        }
    }

    /// Records that a request at `server` has ended. Returns the new standing of the
    /// server if it changed.
    pub fn ended(
        &mut self,
        name: &backend::Server,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Standing> {
        let before = self.standing(name, now);
        match outcome {
            Outcome::Completed => self.ejection.record_success(name, now),
            Outcome::Failed | Outcome::Broken => self.ejection.record_failure(name, now),
            // These are left to the fleet-wide outlier detection. Counting them here
            // would eject whole zones during a network partition.
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Interrupted
            | Outcome::NoPath
            | Outcome::Moved
            | Outcome::Full
            | Outcome::Withdrawn
            | Outcome::Cancelled => {}
        }
        if let Some(server) = self.servers.get_mut(name) {
            self.zone_tracker.record_outcome(server, outcome, now);
            server.ended(outcome, now);
        }
        let after = self.standing(name, now);
        (after != before).then_some(after)
    }

    /// Records a failure of a request that has ended before. Returns the new standing of the
    /// server if it changed.
    pub fn record_late_failure(
        &mut self,
        name: &backend::Server,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Standing> {
        let before = self.standing(name, now);
        if outcome == Outcome::Broken {
            self.ejection.record_failure(name, now);
        }
        if let Some(server) = self.servers.get_mut(name) {
            server.record_failure(now);
        }
        let after = self.standing(name, now);
        (after != before).then_some(after)
    }

    /// The current state of a server.
    pub fn standing(&self, name: &backend::Server, now: Instant) -> Standing {
        if self.ejection.is_ejected(name, now) {
            return Standing::Ejected;
        }
        match self.servers.get(name) {
            Some(server) if server.is_throttled(now) => Standing::Throttled,
            Some(server) if !server.is_reachable(now) => Standing::Away,
            _ => Standing::Sound,
        }
    }

    /// Total slots of the servers that may receive requests without a preference.
    pub fn slots(&self) -> u32 {
        let tiers = self.tiers(&Demand::default());
        let servers = tiers.iter().flat_map(|tier| self.tier(*tier));
        servers.map(Server::slots).sum()
    }

    /// All servers, ordered by name.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }
}

/// The mean load of the servers; zero if there are none.
fn mean<'a>(servers: impl Iterator<Item = &'a Server>) -> f64 {
    let (count, load) = servers.fold((0_u32, 0), |(count, load), server| {
        (count + 1, load + server.load())
    });
    f64::from(load) / f64::from(count.max(1))
}

/// Duration of the first ejection: a fraction of the shortest faults observed (4 to 6
/// s).
const BASE_EJECTION: Duration = Duration::from_millis(1500);
/// Upper limit of the ejection time.
const MAX_EJECTION: Duration = Duration::from_secs(6);
