//! Which routers are heard, and which of them know more.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use units::{host, time::Instant};

use super::{Digest, Versions};

/// How long this router may be behind another before it asks it.
///
/// The store tells all routers of a change within a few milliseconds of each
/// other. One that is still behind after this long cannot reach the store, or
/// its connection to it went silent.
const BEHIND_GRACE: Duration = Duration::from_millis(150);
/// How long to wait between two questions for the configuration: an answer takes
/// a few milliseconds if it is small.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(60);
/// The same for servers and routers. Their changes come in series, and those
/// that follow each other are asked for together.
const REST_INTERVAL: Duration = Duration::from_millis(250);

/// What is asked for in a question of its own.
///
/// A configuration may be large. Were it asked for together with the rest, a
/// server that leaves would be heard of only after all its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The configuration.
    Configuration,
    /// Servers and routers.
    Rest,
}

impl Part {
    /// `known`, but for what is no part of the question.
    pub const fn of(self, known: Versions) -> Versions {
        match self {
            Self::Configuration => Versions {
                servers: Versions::NOT_REQUESTED,
                routers: Versions::NOT_REQUESTED,
                ..known
            },
            Self::Rest => Versions {
                configuration: Versions::NOT_REQUESTED,
                ..known
            },
        }
    }

    const fn interval(self) -> Duration {
        match self {
            Self::Configuration => CONFIGURATION_INTERVAL,
            Self::Rest => REST_INTERVAL,
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configuration => "configuration",
            Self::Rest => "rest",
        })
    }
}

/// When a part may be asked for.
#[derive(Clone, Copy, Debug, Default)]
struct RequestPace {
    behind_since: Option<Instant>,
    next_request_at: Instant,
}

/// How long another router holds other rows until it is asked for all of them:
/// what either has just heard is not told yet.
const DIVERGENCE_GRACE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Where its datagrams come from; it may not be known as a member yet.
    address: SocketAddr,
    versions: Versions,
    checksum: u64,
    expires_at: Instant,
}

/// The routers that were heard lately.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    records: BTreeMap<host::Id, Record>,
    configuration: RequestPace,
    rest: RequestPace,
    diverged_since: Option<Instant>,
}

impl PeerTable {
    /// A router was heard. It counts as silent after `patience`. Returns whether it is new.
    pub fn record(
        &mut self,
        digest: &Digest,
        address: SocketAddr,
        now: Instant,
        timeout: Duration,
    ) -> bool {
        let record = Record {
            address,
            versions: digest.versions,
            checksum: digest.checksum,
            expires_at: now + timeout,
        };
        self.records.insert(digest.host.clone(), record).is_none()
    }

    /// Takes out the routers that fell silent.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<host::Id> {
        let expired: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.expires_at <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in &expired {
            self.records.remove(host);
        }
        expired
    }

    /// A router to ask for the `part` that this one, which knows `own`, has
    /// missed. One that `is_watching` waits a moment for the store's own word.
    ///
    /// Of those that know more, any may be chosen: were it always the one that
    /// knows most, all routers would ask the same one at the same moment. For
    /// what is no configuration, which may be large and is wanted at once,
    /// those that `is_near` holds for go first: bytes between zones are dear.
    pub fn select_ahead(
        &mut self,
        part: Part,
        own: Versions,
        is_watching: bool,
        is_same_zone: impl Fn(&host::Id) -> bool,
        random: usize,
        now: Instant,
    ) -> Option<SocketAddr> {
        let known = part.of(own);
        let records = self.records.iter();
        let mut ahead: Vec<_> = records
            .filter(|(_, record)| record.versions.is_ahead_of(known))
            .map(|(host, record)| (is_same_zone(host), record.address))
            .collect();
        let pace = match part {
            Part::Configuration => &mut self.configuration,
            Part::Rest => &mut self.rest,
        };
        if ahead.is_empty() {
            pace.behind_since = None;
            return None;
        }
        if part == Part::Rest && ahead.iter().any(|(is_same_zone, _)| *is_same_zone) {
            ahead.retain(|(is_same_zone, _)| *is_same_zone);
        }
        let since = *pace.behind_since.get_or_insert(now);
        let grace = if is_watching {
            BEHIND_GRACE
        } else {
            Duration::ZERO
        };
        if now < pace.next_request_at.max(since + grace) {
            return None;
        }
        pace.next_request_at = now + part.interval();
        Some(ahead[random % ahead.len()].1)
    }

    /// A router to ask for all that it holds: it knows as much as this one, which
    /// knows `own`, and holds other rows.
    ///
    /// That a row is gone can be known by a whole read alone, which gives the
    /// removal no version that others would lack. One that read the row just
    /// before would keep it, and send requests to a server that has left.
    pub fn select_diverged(
        &mut self,
        own: Versions,
        checksum: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
        let mut records = self.records.values();
        let diverged = records.find(|record| record.versions == own && record.checksum != checksum);
        let Some(record) = diverged else {
            self.diverged_since = None;
            return None;
        };
        let since = *self.diverged_since.get_or_insert(now);
        if now < since + DIVERGENCE_GRACE {
            return None;
        }
        self.diverged_since = Some(now);
        Some(record.address)
    }

    /// The newest configuration that a router knows.
    pub fn newest_configuration(&self) -> u64 {
        let versions = self.records.values().map(|record| record.versions);
        versions
            .map(|versions| versions.configuration)
            .max()
            .unwrap_or(0)
    }

    /// A router did not answer. It is not asked again before it is heard again.
    pub fn mark_failed(&mut self, address: SocketAddr) {
        for record in self.records.values_mut() {
            if record.address == address {
                record.versions = Versions::default();
            }
        }
    }

    /// Whether a router is heard.
    pub fn contains(&self, host: &host::Id) -> bool {
        self.records.contains_key(host)
    }

    /// How many routers are heard.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is heard.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
