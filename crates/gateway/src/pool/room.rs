//! Whether servers have free slots for a request.

use std::time::Duration;

use placement::score;
use scheduling::Reserve;
use units::{chat, time::Instant};
use xxhash_rust::xxh3;

use super::{Demand, Fleet, Pool, Server};

/// The part of the servers that are considered for an urgent request if no free slot is allotted
/// to this router, as a divisor.
const SAMPLE_DIVISOR: usize = 8;
/// The interval at which routers exchange their loads.
const ROUND: Duration = Duration::from_millis(200);

/// The free slots of the servers that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Room {
    servers: u32,
    slots: u32,
    used: u32,
    /// Whether other routers take slots that this one does not see yet.
    is_shared: bool,
}

impl Room {
    /// Whether other routers may take all free slots before this one sees it.
    fn is_scarce(self, reserve: Reserve) -> bool {
        self.is_shared && reserve.is_scarce(self.slots, self.used, self.servers)
    }
}

impl Pool {
    /// Whether requests are scheduled by urgency over the fleet: callers compete for the
    /// servers, or these report their speed.
    pub fn is_scheduled(&self, now: Instant) -> bool {
        self.bounds.is_contended || self.reports_speed(now)
    }

    /// Begins a round of the exchange between routers if the last one is over.
    pub(super) fn begin_round(&mut self, now: Instant) {
        let round = now.as_micros() / ROUND.as_micros() as u64;
        if round == self.round || !self.is_scheduled(now) {
            return;
        }
        self.round = round;
        for server in self.servers.values_mut() {
            server.begin_round();
        }
    }

    /// Keeps the servers of whose free slots this router has a part in the present round.
    ///
    /// All routers see the same free slots for a round or longer. If each of them took all, they
    /// would take them many times over. The most urgent requests may go to other servers
    /// nevertheless, where they are next.
    pub(super) fn retain_allotted(
        &self,
        candidates: &mut Vec<&Server>,
        demand: &Demand,
        room: Room,
        fleet: &Fleet,
        now: Instant,
    ) {
        let Some(reserve) = demand.reserve else {
            return;
        };
        if !room.is_scarce(reserve) {
            return;
        }
        let totals = self.totals();
        let part = scheduling::part(totals.running, totals.load, fleet.members.len());
        let part = part / f64::from(reserve.steps.max(1));
        let own = xxh3::xxh3_64(fleet.own.as_str().as_bytes());
        let round = now.as_micros() / ROUND.as_micros() as u64;
        let is_allotted = |server: &Server| {
            let key = chat::Key(own.wrapping_add(round));
            let draw = score::pair_hash(key, server.name_hash());
            let used = self.used(server).saturating_sub(server.growth());
            let reserved = reserve.on_server(server.slots(), room.servers);
            let free = server.slots().saturating_sub(used.saturating_add(reserved));
            server.growth() < scheduling::allotment(free, part, draw)
        };
        if reserve.steps > 0 || candidates.iter().any(|server| is_allotted(server)) {
            candidates.retain(|server| is_allotted(server));
            return;
        }
        // All routers see the same server as the best of all.
        let request = demand.parts.last().map_or(round, |part| part.key.0);
        let key = chat::Key(own.wrapping_add(request));
        let sampled = (candidates.len() / SAMPLE_DIVISOR).max(2);
        candidates.sort_by_cached_key(|server| score::pair_hash(key, server.name_hash()));
        candidates.truncate(sampled);
    }

    /// Whether a request that leaves this reserve finds a slot at any server.
    pub fn has_room(&self, demand: &Demand) -> bool {
        let tiers = self.tiers(demand);
        let all = tiers
            .iter()
            .flat_map(|tier| self.eligible(*tier, demand))
            .collect::<Vec<_>>();
        let room = self.room(&all, demand);
        all.iter().any(|server| self.has_slot(server, demand, room))
    }

    /// The free slots of the servers that a request with this demand may go to.
    pub(super) fn room(&self, servers: &[&Server], demand: &Demand) -> Room {
        let mut room = Room {
            servers: 0,
            slots: 0,
            used: 0,
            is_shared: false,
        };
        if demand.reserve.is_none() {
            return room;
        }
        for server in servers {
            room.servers += 1;
            room.slots += server.slots();
            room.used += self.used(server).min(server.slots());
            room.is_shared |= self.counts_peers() && server.peer_load() > 0;
        }
        room
    }

    /// Whether `server` has a slot that a request with this demand may take.
    pub(super) fn has_slot(&self, server: &Server, demand: &Demand, room: Room) -> bool {
        match demand.reserve {
            Some(reserve) => self.has_unreserved_slot(server, reserve, room),
            None => server.has_room(demand.leaves_reserve, self.counts_peers()),
        }
    }

    fn has_unreserved_slot(&self, server: &Server, reserve: Reserve, room: Room) -> bool {
        let (slots, used) = (server.slots(), self.used(server));
        let is_scarce = room.is_scarce(reserve);
        // A plain server rejects what exceeds its slots; an engine runs it next.
        if self.counts_peers()
            && reserve.admits_overcommitted(slots, used)
            && (room.used >= room.slots || is_scarce)
        {
            return true;
        }
        if !reserve.admits_over_service(room.slots, room.used, room.servers) {
            return false;
        }
        // While slots are not scarce, more urgent requests find one elsewhere, and the reserve of
        // each server would only move prompts away from their caches.
        if is_scarce {
            reserve.admits(slots, used, room.servers)
        } else {
            used < slots
        }
    }

    /// The slots of a server that are known to be taken.
    fn used(&self, server: &Server) -> u32 {
        if self.counts_peers() {
            server.load()
        } else {
            server.running()
        }
    }

    /// Whether requests of peers occupy slots.
    ///
    /// Requests to a plain service complete before peers report them. Counting the
    /// reported ones would queue requests although slots are free. A server that is
    /// full rejects the request itself.
    fn counts_peers(&self) -> bool {
        self.service.cache_tokens > 0
    }

    /// The servers that may receive requests without a preference, and their requests of this
    /// router and of all routers.
    pub(crate) fn totals(&self) -> Totals {
        let tiers = self.tiers(&Demand::default());
        let servers = tiers.iter().flat_map(|tier| self.tier(*tier));
        servers.fold(Totals::default(), |sum, server| Totals {
            servers: sum.servers + 1,
            slots: sum.slots + server.slots(),
            running: sum.running + server.running(),
            load: sum.load + server.load(),
        })
    }
}

/// What the servers of a service have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Totals {
    /// The number of servers.
    pub(crate) servers: u32,
    /// Their slots.
    pub(crate) slots: u32,
    /// Requests of this router in flight.
    pub(crate) running: u32,
    /// Requests of all routers in flight; peers' counts may be stale.
    pub(crate) load: u32,
}
