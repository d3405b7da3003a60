//! The backend servers that are registered, and what happens to them in an outage.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use units::{availability, backend, pool, time::Instant};

/// How long an entry that went missing around an outage of the store may take to return.
///
/// Registrations lapse while the store is away and are written anew within
/// about two seconds of its return. Were they dropped at once, a router would
/// refuse all requests for as long, with every server alive.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// One registered backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub server: backend::Server,
    /// The service that it belongs to.
    pub pool: pool::Id,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving and gets nothing new.
    pub is_draining: bool,
    /// When it stops being cold.
    pub cold_until: Instant,
    /// Tells its starts apart.
    pub born: u64,
    /// The store's version of the entry.
    pub revision: u64,
}

/// What the store says of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is registered.
    Present(Entry),
    /// Its entry is gone since this revision.
    Absent {
        /// The server.
        server: backend::Server,
        /// The store's version of the removal.
        revision: u64,
    },
}

impl Change {
    /// The server that it is about.
    pub const fn server(&self) -> &backend::Server {
        match self {
            Self::Present(entry) => &entry.server,
            Self::Absent { server, .. } => server,
        }
    }
}

/// The registered servers, as far as this router knows.
///
/// Reads may be stale, so a row counts only if its revision is higher than
/// what is known of its server.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<backend::Server, Entry>,
    removed: BTreeMap<backend::Server, u64>,
    lapsing: BTreeMap<backend::Server, Instant>,
    evacuated: BTreeSet<availability::Zone>,
    /// Until when entries that go missing may have lapsed with the store.
    lenient_until: Instant,
}

impl Roster {
    /// The store answers again after it could not be reached.
    pub fn store_returned(&mut self, now: Instant) {
        self.lenient_until = now + LAPSE_GRACE;
    }

    /// The store has answered other routers all the while, so that no entry
    /// lapsed. Returns whether entries were waited for in vain.
    ///
    /// A router that alone was cut off cannot tell this from an outage. It
    /// would go on sending to servers that have left.
    pub fn store_was_steady(&mut self, now: Instant) -> bool {
        self.lenient_until = self.lenient_until.min(now);
        for until in self.lapsing.values_mut() {
            *until = now;
        }
        self.expire(now)
    }

    /// Takes in a change. Returns whether it was news.
    pub fn apply(&mut self, change: Change, now: Instant) -> bool {
        match change {
            Change::Present(entry) => self.put(entry),
            Change::Absent { server, revision } => self.remove(&server, revision, now),
        }
    }

    fn put(&mut self, entry: Entry) -> bool {
        let known = self.entries.get(&entry.server).map(|known| known.revision);
        let removed = self.removed.get(&entry.server).copied();
        if known
            .max(removed)
            .is_some_and(|known| entry.revision <= known)
        {
            return false;
        }
        self.removed.remove(&entry.server);
        self.lapsing.remove(&entry.server);
        self.entries.insert(entry.server.clone(), entry);
        true
    }

    fn remove(&mut self, server: &backend::Server, revision: u64, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(server) else {
            return false;
        };
        if entry.revision >= revision {
            return false;
        }
        // A server that said that it leaves does not come back.
        if now < self.lenient_until && !entry.is_draining {
            entry.revision = revision;
            self.lapsing.insert(server.clone(), self.lenient_until);
            return false;
        }
        self.drop_entry(server, revision);
        true
    }

    fn drop_entry(&mut self, server: &backend::Server, revision: u64) {
        self.entries.remove(server);
        self.lapsing.remove(server);
        self.removed.insert(server.clone(), revision);
        while self.removed.len() > MAX_REMOVED {
            self.removed.pop_first();
        }
    }

    /// Whether the entry of a server went missing and is waited for.
    pub fn is_lapsing(&self, server: &backend::Server) -> bool {
        self.lapsing.contains_key(server)
    }

    /// Drops entries that lapsed and did not return. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let due: Vec<_> = self
            .lapsing
            .iter()
            .filter(|&(_, &until)| until <= now)
            .map(|(server, _)| server.clone())
            .collect();
        for server in &due {
            let revision = self.entries.get(server).map_or(0, |entry| entry.revision);
            self.drop_entry(server, revision);
        }
        !due.is_empty()
    }

    /// When [`Self::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lapsing.values().min().copied()
    }

    /// Sets the zones that operators have taken out. Returns whether they changed.
    pub fn set_evacuated(&mut self, zones: BTreeSet<availability::Zone>) -> bool {
        let changed = zones != self.evacuated;
        self.evacuated = zones;
        changed
    }

    /// All registered servers, each with whether it gets nothing new.
    pub fn all(&self) -> impl Iterator<Item = (&Entry, bool)> {
        self.entries
            .values()
            .map(|entry| (entry, !self.is_usable(entry)))
    }

    fn is_usable(&self, entry: &Entry) -> bool {
        !entry.is_draining && !self.evacuated.contains(&entry.zone)
    }

    /// The servers that may get work.
    pub fn usable(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| self.is_usable(entry))
    }

    /// The start of a server that is registered.
    pub fn born(&self, server: &backend::Server) -> Option<u64> {
        self.entries.get(server).map(|entry| entry.born)
    }

    /// How many servers are registered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// How many removals are remembered against stale reads.
const MAX_REMOVED: usize = 4096;
