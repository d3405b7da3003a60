//! The state that this router keeps about another one.

use std::net;

use units::{availability, host, revision, time};
use wire::{heartbeat, seal};

/// Another router, as this one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The host's name.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Its peer address, for heartbeats (UDP) and hops (TCP).
    pub address: net::SocketAddr,
    /// The incarnation that announced the phase.
    pub incarnation: heartbeat::Incarnation,
    /// Its phase, as far as this router knows.
    pub phase: heartbeat::Phase,
    /// The configuration revision that it last reported as applied.
    pub revision: revision::Id,
    /// The load that it last reported.
    pub load: heartbeat::Load,
    /// When the revision and the load were received, if they were.
    pub reported_at: Option<time::Instant>,
    pub(crate) tag: seal::Tag,
    pub(crate) short_tag: heartbeat::Tag,
    /// The version of the heartbeat that reported the revision and the load.
    pub(crate) version: u32,
    pub(crate) last_heartbeat_at: Option<time::Instant>,
    /// The start of its silence timeout if this router watches it, else `None`.
    pub(crate) watched_since: Option<time::Instant>,
    /// Until when it is watched because of a suspected outage.
    pub(crate) outage_probe_until: time::Instant,
    /// The sum over its subtree that it last reported, and when.
    pub(crate) subtree: Option<(heartbeat::Subtree, time::Instant)>,
    /// When it is declared down, if it stays suspected.
    pub(crate) down_at: time::Instant,
    /// When its tombstone expires, once it is down or has left.
    pub(crate) remove_at: time::Instant,
    /// Whether it has sent a heartbeat sealed for this process, so that it knows this
    /// router's identity.
    pub(crate) knows_identity: bool,
    /// How often the current summary of it was relayed.
    pub(crate) summary_transmissions: u8,
}

impl Member {
    pub(crate) fn new(update: heartbeat::Member) -> Self {
        Self {
            tag: seal::Tag::new(&update.host),
            short_tag: heartbeat::Tag::new(&update.host),
            host: update.host,
            zone: update.zone,
            address: update.address,
            incarnation: update.incarnation,
            phase: update.phase,
            revision: revision::Id::default(),
            load: heartbeat::Load::default(),
            reported_at: None,
            version: 0,
            last_heartbeat_at: None,
            watched_since: None,
            outage_probe_until: time::Instant::ZERO,
            subtree: None,
            down_at: time::Instant::NEVER,
            remove_at: time::Instant::NEVER,
            knows_identity: false,
            summary_transmissions: 0,
        }
    }

    pub(crate) fn to_update(&self) -> heartbeat::Member {
        heartbeat::Member {
            host: self.host.clone(),
            zone: self.zone.clone(),
            address: self.address,
            incarnation: self.incarnation,
            phase: self.phase,
        }
    }

    pub(crate) fn audience(&self) -> seal::Audience {
        seal::Audience::Process(self.tag, self.incarnation.boot)
    }

    pub(crate) fn summary(&self) -> heartbeat::Summary {
        heartbeat::Summary {
            tag: self.short_tag,
            boot: heartbeat::Summary::low_bytes(self.incarnation.boot),
            version: self.version,
            revision: self.revision,
            load: self.load,
        }
    }

    /// Since when a watched router has sent no heartbeat, `None` if it is not watched.
    pub(crate) fn silent_since(&self) -> Option<time::Instant> {
        self.watched_since.map(|since| {
            self.last_heartbeat_at
                .map_or(since, |received| received.max(since))
        })
    }

    /// Applies the router's report about itself; false if it is not newer than the last one.
    pub(crate) fn apply_report(
        &mut self,
        version: u32,
        revision: revision::Id,
        load: heartbeat::Load,
        now: time::Instant,
    ) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.revision = revision;
        self.load = load;
        self.reported_at = Some(now);
        self.summary_transmissions = 0;
        true
    }
}
