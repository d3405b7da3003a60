//! Settings of the membership.

use std::time::Duration;

/// How often routers speak and when one is given up.
///
/// A dead router is known as such at most `suspect_after + suspicion` and two
/// ticks after its last heartbeat, and a little later everywhere.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How often [`crate::Event::Tick`] is handed in.
    pub tick: Duration,
    /// The time between the beats to the routers that watch this one and to
    /// those next to it in the tree of its zone.
    pub heartbeat_interval: Duration,
    /// The silence after which a watched router is probed.
    pub probe_after: Duration,
    /// The silence after which a watched router is suspected.
    pub suspect_after: Duration,
    /// The time in which a suspected router may deny it.
    pub suspicion_timeout: Duration,
    /// The time between heartbeats to a random router of the zone that tell of single routers.
    pub gossip_interval: Duration,
    /// The time between probes of routers that are down or only listed.
    pub reconnect_interval: Duration,
    /// The time between probes of routers in other regions.
    pub remote_probe_interval: Duration,
    /// The gap between two ticks after which the process counts as having been paused.
    pub pause_threshold: Duration,
    /// How long a router that joins, or was paused, waits to hear from others before it acts alone.
    pub grace_period: Duration,
    /// How long a router that others had given up waits, so that all know of its return.
    pub settle_time: Duration,
    /// After which age the load of a router or a zone is left out of the mean.
    pub load_expiry: Duration,
    /// For how long a router that is down is remembered and probed.
    pub tombstone_timeout: Duration,
    /// How many routers a piece of news is pushed to.
    pub fanout: usize,
    /// The least time between two pushes.
    pub push_min_interval: Duration,
    /// Within which time the comings of one router are counted as flapping.
    pub flap_window: Duration,
    /// How many comings within the window are allowed.
    pub flap_limit: u32,
    /// The time that a flapping router stays out of ownership at first; it doubles.
    pub flap_hold_down: Duration,
    /// The longest such time.
    pub flap_hold_down_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            heartbeat_interval: Duration::from_millis(900),
            probe_after: Duration::from_millis(1200),
            suspect_after: Duration::from_millis(1750),
            suspicion_timeout: Duration::from_millis(700),
            gossip_interval: Duration::from_millis(2000),
            reconnect_interval: Duration::from_millis(2000),
            remote_probe_interval: Duration::from_millis(5000),
            pause_threshold: Duration::from_millis(1000),
            grace_period: Duration::from_millis(2000),
            settle_time: Duration::from_millis(1000),
            load_expiry: Duration::from_secs(15),
            tombstone_timeout: Duration::from_secs(600),
            fanout: 3,
            push_min_interval: Duration::from_millis(50),
            flap_window: Duration::from_secs(60),
            flap_limit: 3,
            flap_hold_down: Duration::from_secs(5),
            flap_hold_down_max: Duration::from_secs(120),
        }
    }
}
