//! The peers that recently sent a datagram, and which of them hold newer rows.

use std::{collections::BTreeMap, fmt, net::SocketAddr, time::Duration};

use units::{host, time::Instant};

use super::{Digest, Versions};

/// How long a watcher may be behind a peer before it fetches from that peer.
///
/// The store notifies all watchers of a change within a few milliseconds of each other. A
/// watcher that is still behind after this time cannot reach the store, or its connection
/// to the store is dead.
const BEHIND_GRACE: Duration = Duration::from_millis(150);
/// The minimum interval between requests for the configuration; a small one is transferred
/// in a few milliseconds.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(60);
/// The minimum interval between requests for servers and routers. Their changes come in
/// series, and consecutive ones are fetched together.
const REST_INTERVAL: Duration = Duration::from_millis(250);

/// A part of the store that is fetched in a separate request.
///
/// A configuration may be large. Fetched in the same request, it would delay the notification
/// that a server leaves until all its bytes are transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The configuration.
    Configuration,
    /// Servers and routers.
    Rest,
}

impl Part {
    /// Restricts `known` to this part: the other topics are marked as not requested.
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

/// The time within which a router of this zone usually holds a change, and the time over
/// which the others of the zone spread their requests to other zones if none does.
///
/// If all routers asked other zones at once, each change would cross between zones once for
/// each router. The first ones that do hold the change for the others.
const ZONE_GRACE: Duration = Duration::from_millis(100);
/// See [`ZONE_GRACE`].
const ZONE_SPREAD: Duration = Duration::from_millis(400);

/// When a part may be requested next.
#[derive(Clone, Copy, Debug, Default)]
struct RequestPace {
    behind_since: Option<Instant>,
    next_request_at: Instant,
    /// When other zones may be asked.
    remote_at: Instant,
}

/// How long a peer has to hold different rows at the same versions before all its rows are
/// fetched: a recent update may still be on its way to either router.
const DIVERGENCE_GRACE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// The source address of its datagrams; the router may not be a known member yet.
    address: SocketAddr,
    versions: Versions,
    checksum: u64,
    expires_at: Instant,
}

/// The peers that recently sent a datagram.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: BTreeMap<host::Id, Record>,
    configuration: RequestPace,
    rest: RequestPace,
    diverged_since: Option<Instant>,
}

impl Table {
    /// Records a digest of a peer, which expires after `timeout`. Returns whether the peer
    /// is new.
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

    /// Removes and returns the peers that have expired.
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

    /// Selects a peer from which to fetch `part`, if this router, which holds the versions
    /// `own`, is behind. A router that `is_watching` first waits a moment for the store
    /// itself.
    ///
    /// Any of the peers that are ahead may be selected: if it were always the most recent
    /// one, all routers would request from the same peer at the same moment. For servers
    /// and routers, peers for which `is_same_zone` holds take precedence, because traffic
    /// between zones is expensive. A configuration may be large and is needed at once, so
    /// it is fetched from any zone.
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
        let has_zone_peers = self.records.keys().any(&is_same_zone);
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
        if pace.behind_since.is_none() {
            pace.remote_at = now + ZONE_GRACE + ZONE_SPREAD * (random % 64) as u32 / 64;
        }
        let since = *pace.behind_since.get_or_insert(now);
        if part == Part::Rest && has_zone_peers {
            ahead.retain(|(is_same_zone, _)| *is_same_zone || now >= pace.remote_at);
        }
        if ahead.iter().any(|(is_same_zone, _)| *is_same_zone) && part == Part::Rest {
            ahead.retain(|(is_same_zone, _)| *is_same_zone);
        }
        if ahead.is_empty() {
            return None;
        }
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

    /// Selects a peer that is at the same versions `own` but holds different rows, so that
    /// all its rows are to be fetched.
    ///
    /// A removal found only by comparison with a snapshot gets no version of its own that
    /// other routers would notice as missing. Without this check, a router that read the
    /// row just before its removal would keep it and send requests to a server that has
    /// left.
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

    /// The newest configuration version that a peer holds.
    pub fn newest_configuration(&self) -> u64 {
        let versions = self.records.values().map(|record| record.versions);
        versions
            .map(|versions| versions.configuration)
            .max()
            .unwrap_or(0)
    }

    /// Records that a peer did not respond. It is not selected again before its next
    /// digest.
    pub fn mark_failed(&mut self, address: SocketAddr) {
        for record in self.records.values_mut() {
            if record.address == address {
                record.versions = Versions::default();
            }
        }
    }

    /// Whether a peer sent a datagram recently.
    pub fn contains(&self, host: &host::Id) -> bool {
        self.records.contains_key(host)
    }

    /// The number of peers that recently sent a datagram.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no peer sent a datagram recently.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
