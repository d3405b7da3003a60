//! The backend servers that are registered, and what happens to them in an outage.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
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
    /// When it stops being cold; [`Instant::ZERO`] if it was not when the entry was read.
    pub cold_until: Instant,
    /// Tells its starts apart.
    pub born: u64,
    /// The store's version of the entry.
    pub revision: u64,
}

impl Entry {
    /// Whether `other` started, and was registered, after this one.
    ///
    /// Either alone may mislead: a server's clock may have been set back, and a
    /// write may reach the store late.
    fn is_superseded_by(&self, other: &Self) -> bool {
        other.born > self.born && other.revision > self.revision
    }
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
    tombstones: BTreeMap<backend::Server, u64>,
    lapsing: BTreeMap<backend::Server, Instant>,
    evacuated: BTreeSet<availability::Zone>,
    /// Until when entries that go missing may have lapsed with the store.
    grace_until: Instant,
}

impl Roster {
    /// The store answers again after it could not be reached.
    pub fn store_returned(&mut self, now: Instant) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// The store has answered other routers all the while, so that no entry
    /// lapsed. Returns whether entries were waited for in vain.
    ///
    /// A router that alone was cut off cannot tell this from an outage. It
    /// would go on sending to servers that have left.
    pub fn store_was_stable(&mut self, now: Instant) -> bool {
        self.grace_until = self.grace_until.min(now);
        for until in self.lapsing.values_mut() {
            *until = now;
        }
        self.expire(now)
    }

    /// Takes in a change. Returns whether it was news.
    pub fn apply(&mut self, change: Change, now: Instant) -> bool {
        match change {
            Change::Present(entry) => self.upsert(entry),
            Change::Absent { server, revision } => self.remove(&server, revision, now),
        }
    }

    fn upsert(&mut self, entry: Entry) -> bool {
        let known = self.entries.get(&entry.server).map(|known| known.revision);
        let removed = self.tombstones.get(&entry.server).copied();
        if known
            .max(removed)
            .is_some_and(|known| entry.revision <= known)
        {
            return false;
        }
        self.tombstones.remove(&entry.server);
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
        if now < self.grace_until && !entry.is_draining {
            entry.revision = revision;
            self.lapsing.insert(server.clone(), self.grace_until);
            return false;
        }
        self.drop_entry(server, revision);
        true
    }

    fn drop_entry(&mut self, server: &backend::Server, revision: u64) {
        self.entries.remove(server);
        self.lapsing.remove(server);
        self.tombstones.insert(server.clone(), revision);
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.pop_first();
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
    ///
    /// Those whose address a later server of their service has are left out. A server
    /// that crashed and came back under a new name stays registered under the
    /// old one for some heartbeats, and refuses what is sent to it under that.
    pub fn all(&self) -> impl Iterator<Item = (&Entry, bool)> {
        let latest = self.latest_by_endpoint();
        let is_superseded = move |entry: &Entry| {
            let latest = latest.get(&endpoint(entry));
            latest.is_some_and(|latest| entry.is_superseded_by(latest))
        };
        let entries = self.entries.values();
        entries
            .filter(move |entry| !is_superseded(entry))
            .map(|entry| (entry, !self.is_usable(entry)))
    }

    /// The latest server of a service at each address.
    fn latest_by_endpoint(&self) -> HashMap<(SocketAddr, &pool::Id), &Entry> {
        let mut latest = HashMap::new();
        for entry in self.entries.values() {
            let known = latest.entry(endpoint(entry)).or_insert(entry);
            if known.is_superseded_by(entry) {
                *known = entry;
            }
        }
        latest
    }

    fn is_usable(&self, entry: &Entry) -> bool {
        !entry.is_draining && !self.evacuated.contains(&entry.zone)
    }

    /// The servers that may get work.
    pub fn usable(&self) -> impl Iterator<Item = &Entry> {
        let all = self.all();
        all.filter_map(|(entry, is_leaving)| (!is_leaving).then_some(entry))
    }

    /// The starts of all servers that are registered and not over.
    pub fn starts(&self) -> HashMap<&backend::Server, u64> {
        let all = self.all();
        all.map(|(entry, _)| (&entry.server, entry.born)).collect()
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

/// What a service has one server at.
fn endpoint(entry: &Entry) -> (SocketAddr, &pool::Id) {
    (entry.address, &entry.pool)
}

/// How many removals are remembered against stale reads.
const MAX_TOMBSTONES: usize = 4096;
