//! Joining, reconnecting to lost routers, and leaving.

use rand::{RngExt, seq::IndexedRandom};
use units::{host, time};
use wire::{heartbeat, seal};

use super::{Actions, Fleet, send::Content};

/// The interval between attempts to join, in ticks.
const JOIN_TICKS: u32 = 3;
/// The number of members, and of hosts that are only listed, contacted in each attempt
/// to join.
const JOIN_FANOUT: usize = 3;

impl Fleet {
    pub(super) fn join(&mut self, now: time::Instant, out: &mut Actions) {
        if self.timers.joined || now < self.timers.join_at {
            return;
        }
        self.timers.join_at = now + self.settings.tick * JOIN_TICKS;
        let live: Vec<host::Id> = self.member_list.live().map(|m| m.host.clone()).collect();
        for host in live.sample(&mut self.rng, JOIN_FANOUT) {
            self.send_join(host, now, out);
        }
        let listed: Vec<host::Id> = self.unknown_hosts();
        for host in listed.sample(&mut self.rng, JOIN_FANOUT) {
            self.send_introduction(heartbeat::Kind::Join, host, now, out);
        }
    }

    /// Leaves: notifies the watchers and some random routers at once, since no tick follows.
    pub(super) fn leave(&mut self, now: time::Instant, out: &mut Actions) {
        self.enter(heartbeat::Phase::Left, now);
        let live: Vec<host::Id> = self.member_list.live().map(|m| m.host.clone()).collect();
        let mut targets: Vec<host::Id> = self.member_list.watchers().to_vec();
        targets.extend(live.sample(&mut self.rng, self.settings.fanout).cloned());
        for host in &targets {
            self.send_to(heartbeat::Kind::Beat, host, Content::PUSH, now, out);
        }
    }

    /// Probes a router that is down, or is listed but not a member, so that the two
    /// sides of a network partition find each other again.
    pub(super) fn reconnect(&mut self, now: time::Instant, out: &mut Actions) {
        if now < self.timers.reconnect_at {
            return;
        }
        let fast = now < self.timers.fast_reconnect_until;
        let interval = if fast {
            self.settings.tick * 2
        } else {
            self.settings.reconnect_interval
        };
        self.timers.reconnect_at = now + interval.mul_f64(self.rng.random_range(0.8..1.2));
        let down = self.member_list.iter();
        let down = down.filter(|member| member.phase == heartbeat::Phase::Down);
        let mut hosts: Vec<host::Id> = down.map(|member| member.host.clone()).collect();
        hosts.extend(self.unknown_hosts());
        if let Some(host) = hosts.choose(&mut self.rng) {
            let host = host.clone();
            self.send_introduction(heartbeat::Kind::Probe, &host, now, out);
        }
    }

    /// The region's listed hosts that are not members.
    fn unknown_hosts(&self) -> Vec<host::Id> {
        let listed = self.listed.keys();
        let unknown = listed.filter(|host| self.member_list.get(host).is_none());
        unknown.cloned().collect()
    }

    pub(super) fn probe_remote_if_due(&mut self, now: time::Instant, out: &mut Actions) {
        if now < self.timers.remote_probe_at {
            return;
        }
        let jitter = self.rng.random_range(0.8..1.2);
        self.timers.remote_probe_at = now + self.settings.remote_probe_interval.mul_f64(jitter);
        self.probe_remote(now, out);
    }

    pub(super) fn probe_remote(&mut self, now: time::Instant, out: &mut Actions) {
        let hosts: Vec<&host::Id> = self.remote.keys().collect();
        let Some(host) = hosts.choose(&mut self.rng) else {
            return;
        };
        let host = (*host).clone();
        self.send_introduction(heartbeat::Kind::Probe, &host, now, out);
    }

    /// Sends this router's identity to a host whose boot number is not known.
    ///
    /// The host is on the platform's list or was a member earlier. The heartbeat is
    /// sealed for any process.
    fn send_introduction(
        &mut self,
        kind: heartbeat::Kind,
        host: &host::Id,
        now: time::Instant,
        out: &mut Actions,
    ) {
        let listed = self.listed.get(host).or_else(|| self.remote.get(host));
        let known = self.member_list.get(host).map(|member| member.address);
        let Some(to) = listed.map(|seed| seed.address).or(known) else {
            return;
        };
        let frame = self.frame(kind, None, Content::INTRODUCTION, now);
        self.send(to, seal::Audience::Anyone, frame, out);
    }
}
