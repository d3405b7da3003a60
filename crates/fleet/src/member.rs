//! What is known of another router.

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
    /// Where it takes heartbeats (UDP) and hops (TCP).
    pub address: net::SocketAddr,
    /// The incarnation that the phase belongs to.
    pub incarnation: heartbeat::Incarnation,
    /// In which phase it is thought to be.
    pub phase: heartbeat::Phase,
    /// The revision of the configuration that it last said to have applied.
    pub revision: revision::Id,
    /// The load that it last told of.
    pub load: heartbeat::Load,
    /// When it told of the revision and the load.
    pub reported_at: Option<time::Instant>,
    pub(crate) tag: seal::Tag,
    pub(crate) short_tag: heartbeat::Tag,
    pub(crate) version: u32,
    pub(crate) last_heartbeat_at: Option<time::Instant>,
    /// Since when this router watches it, if it does.
    pub(crate) watched_since: Option<time::Instant>,
    /// Until when it is watched although the ring does not say so.
    pub(crate) outage_probe_until: time::Instant,
    /// What it last told of itself and the routers below it, and when.
    pub(crate) subtree: Option<(heartbeat::Subtree, time::Instant)>,
    pub(crate) down_at: time::Instant,
    pub(crate) remove_at: time::Instant,
    pub(crate) knows_identity: bool,
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
            boot: heartbeat::Summary::low(self.incarnation.boot),
            version: self.version,
            revision: self.revision,
            load: self.load,
        }
    }

    /// Since when nothing was heard of a watched router.
    pub(crate) fn silent_since(&self) -> Option<time::Instant> {
        self.watched_since.map(|since| {
            self.last_heartbeat_at
                .map_or(since, |received| received.max(since))
        })
    }

    /// Takes over what the router says of itself, if it is newer than what is known.
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
