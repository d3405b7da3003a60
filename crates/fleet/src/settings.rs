//! Settings of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and fanouts of the membership protocol.
///
/// The watchers declare a dead router down at most `suspect_after +
/// suspicion_timeout` and two ticks after its last heartbeat; the other routers
/// learn of it a little later.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The interval at which the caller passes [`crate::Event::Tick`].
    pub tick: Duration,
    /// The interval of heartbeats to the watchers of this router and to its
    /// neighbours in the load tree of its zone.
    pub heartbeat_interval: Duration,
    /// The silence after which a watched router is probed.
    pub probe_after: Duration,
    /// The silence after which a watched router is suspected.
    pub suspect_after: Duration,
    /// How long a suspected router has to refute the suspicion before it is declared down.
    pub suspicion_timeout: Duration,
    /// The interval of heartbeats with summaries of single routers to a random router of
    /// the zone.
    pub gossip_interval: Duration,
    /// The interval between probes of routers that are down, or listed but not members.
    pub reconnect_interval: Duration,
    /// The interval between probes of routers in other regions.
    pub remote_probe_interval: Duration,
    /// The gap between two events above which the process counts as paused.
    pub pause_threshold: Duration,
    /// How long a router that starts, or was paused, waits for an answer before it acts as
    /// an owner without one.
    pub grace_period: Duration,
    /// How long a router that was declared down waits before it acts as an owner, so that
    /// its return reaches all routers first.
    pub settle_time: Duration,
    /// The age above which the load of a router or a zone is left out of the mean.
    pub load_expiry: Duration,
    /// How long evidence against and for requests is kept.
    pub evidence_expiry: Duration,
    /// How long a router that is down is kept as a tombstone and probed.
    pub tombstone_timeout: Duration,
    /// The number of random routers in each push.
    pub fanout: usize,
    /// The minimum interval between two pushes.
    pub push_min_interval: Duration,
    /// The window in which the joins of one router are counted to detect flapping.
    pub flap_window: Duration,
    /// The number of joins within the window without a hold-down.
    pub flap_limit: u32,
    /// How long a flapping router is first held out of ownership; each further join doubles it.
    pub flap_hold_down: Duration,
    /// The maximum hold-down time.
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
            evidence_expiry: recovery::Settings::default().strike_expiry,
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
