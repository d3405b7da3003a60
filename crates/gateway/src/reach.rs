//! Detects that this router has lost its paths to the backend servers of a service.

use std::time::Duration;

use units::{backend, time::Instant};

/// The number of servers whose connections have to fail one after the other before the paths
/// to all servers count as lost. A service with fewer servers needs all of them.
///
/// Two crashed servers look the same. Probes then correct the mistake within a round trip.
const MIN_FAILED_SERVERS: usize = 2;
/// The interval between two rounds of probes while the paths are lost, for a single router.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of rounds of probes that follow each other without an interval.
const MAX_FAST_ROUNDS: usize = 4;
/// How long no probe may succeed before a loss is certain.
const CERTAIN_AFTER: Duration = Duration::from_millis(250);
/// The interval between two requests that try to connect while no other router provides a path.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// The fleet size by which the interval grows by [`PROBE_INTERVAL`], since all routers probe a
/// service whose servers have all ended.
const ROUTERS_PER_INTERVAL: usize = 32;

/// Whether connections of this router to the servers of one service are established.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// Servers whose connections have failed since one was last established.
    failed: Vec<backend::Server>,
    reached_at: Instant,
    lost: Option<Lost>,
}

/// The state while the paths to all servers are lost.
#[derive(Clone, Copy, Debug)]
struct Lost {
    at: Instant,
    probe_at: Instant,
    /// When the next request may try to connect.
    trial_at: Instant,
    /// When the loss is certain, if no probe has succeeded until then.
    certain_at: Instant,
    rounds: usize,
}

impl Tracker {
    /// Whether the paths to all servers count as lost.
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// When a connection of this router to a server was last established.
    pub fn reached_at(&self) -> Instant {
        self.reached_at
    }

    /// Records that a connection was established at `now`. Returns when the paths were lost, if
    /// they were until now.
    pub fn record_reached(&mut self, now: Instant) -> Option<Instant> {
        self.reached_at = self.reached_at.max(now);
        self.failed.clear();
        self.lost.take().map(|lost| lost.at)
    }

    /// Records that a connection to `server`, one of `servers`, has failed, which was attempted
    /// at `begun_at`. Returns whether the paths to all servers count as lost from now on.
    pub fn record_failure(
        &mut self,
        server: &backend::Server,
        servers: usize,
        begun_at: Instant,
        now: Instant,
    ) -> bool {
        if begun_at < self.reached_at {
            return false;
        }
        self.record_probe_failure(server);
        if self.is_lost() || self.failed.len() < MIN_FAILED_SERVERS.min(servers) {
            return false;
        }
        self.lost = Some(Lost {
            at: now,
            probe_at: now,
            trial_at: now,
            certain_at: now + CERTAIN_AFTER,
            rounds: 0,
        });
        true
    }

    /// Records that a probe of `server` has failed. The next round follows at once, as often as
    /// several servers may be down together.
    pub fn record_probe_failure(&mut self, server: &backend::Server) {
        if self.failed.contains(server) {
            return;
        }
        self.failed.push(server.clone());
        if let Some(lost) = &mut self.lost
            && lost.rounds < MAX_FAST_ROUNDS
        {
            lost.probe_at = lost.at;
        }
    }

    /// Servers whose connections have failed since one was last established.
    pub fn failed(&self) -> &[backend::Server] {
        &self.failed
    }

    /// Whether the loss has become certain. Returns true once for each loss.
    pub fn take_certainty(&mut self, now: Instant) -> bool {
        let Some(lost) = &mut self.lost else {
            return false;
        };
        let is_certain = now >= lost.certain_at;
        if is_certain {
            lost.certain_at = Instant::NEVER;
        }
        is_certain
    }

    /// Lets one request try to connect although the paths are lost.
    ///
    /// # Errors
    ///
    /// When another request has tried a moment ago: the instant of the next try.
    pub fn take_trial(&mut self, now: Instant) -> Result<(), Instant> {
        let Some(lost) = &mut self.lost else {
            return Ok(());
        };
        if now < lost.trial_at {
            return Err(lost.trial_at);
        }
        lost.trial_at = now + TRIAL_INTERVAL;
        Ok(())
    }

    /// When the next request may try to connect, if the paths are lost.
    pub fn next_trial(&self) -> Option<Instant> {
        self.lost.map(|lost| lost.trial_at)
    }

    /// Starts a round of probes if one is due. Returns the number of rounds before it.
    pub fn start_probes(&mut self, routers: usize, now: Instant) -> Option<usize> {
        let lost = self.lost.as_mut()?;
        if now < lost.probe_at {
            return None;
        }
        let intervals = 1 + routers / ROUTERS_PER_INTERVAL;
        let intervals = u32::try_from(intervals).unwrap_or(u32::MAX);
        lost.probe_at = now + PROBE_INTERVAL.saturating_mul(intervals);
        lost.rounds += 1;
        Some(lost.rounds - 1)
    }
}
