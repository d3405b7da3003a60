//! Periodic work: failure detection, heartbeats, gossip and expiry.

use rand::{RngExt, seq::IndexedRandom};
use smallvec::SmallVec;
use units::{host, time};
use wire::heartbeat;

use super::{Actions, Fleet, send::Content};
use crate::{Settings, event::Action, load, tree::Position};

/// The burst size of the rate limiter of introductions.
const INTRODUCTION_BURST: u32 = 20;
/// The tokens that the rate limiter of introductions gains in each tick.
const INTRODUCTIONS_PER_TICK: u32 = 2;
/// The interval between two removals of expired entries, in ticks.
const EXPIRE_TICKS: u32 = 10;
/// The number of unwatched members probed in each tick while an outage is suspected.
const OUTAGE_PROBES: usize = 2;
/// The number of suspicions raised by this router after which it assumes an outage.
const OUTAGE_SUSPICIONS: u32 = 2;
/// How long members are probed after an outage was assumed, and lost routers are probed
/// at the fast rate after a router returned, in ticks.
const FAST_PROBE_TICKS: u32 = 50;
/// How many ticks later than its watchers the other routers declare a suspected router down.
const NON_WATCHER_DELAY_TICKS: u32 = 3;
/// The inverse of the smallest relative change of the mean load that is reported.
const LOAD_STEP: u64 = 50;

/// The due times and counters of a router's periodic work.
#[derive(Clone, Debug)]
pub(crate) struct Timers {
    expire_at: time::Instant,
    beat_at: time::Instant,
    gossip_at: time::Instant,
    pub(super) reconnect_at: time::Instant,
    pub(super) remote_probe_at: time::Instant,
    push_at: time::Instant,
    pushed_at: time::Instant,
    push_remote: bool,
    pub(super) join_at: time::Instant,
    /// The version of the first join that was sealed for the receiver's process.
    join_version: Option<u32>,
    pub(crate) joined: bool,
    pub(crate) hold_down_until: time::Instant,
    pub(crate) introduction_tokens: u32,
    suspicions: u32,
    outage_until: time::Instant,
    pub(super) fast_reconnect_until: time::Instant,
    /// Whether the watchers have to be recomputed because an outage probe ended.
    watchers_stale: bool,
    /// When the state of a member last changed.
    pub(crate) changed_at: time::Instant,
    /// The earliest time of the next anti-entropy exchange.
    pub(crate) anti_entropy_at: time::Instant,
}

impl Timers {
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            expire_at: now,
            beat_at: now,
            gossip_at: now,
            reconnect_at: now,
            remote_probe_at: now,
            push_at: time::Instant::NEVER,
            pushed_at: time::Instant::ZERO,
            push_remote: false,
            join_at: now,
            join_version: None,
            joined: false,
            hold_down_until: time::Instant::ZERO,
            introduction_tokens: INTRODUCTION_BURST,
            suspicions: 0,
            outage_until: time::Instant::ZERO,
            fast_reconnect_until: time::Instant::ZERO,
            watchers_stale: false,
            changed_at: now,
            anti_entropy_at: now,
        }
    }

    /// Schedules a push of queued updates and reports for the next tick.
    pub(crate) fn push(&mut self, now: time::Instant) {
        self.push_at = self.push_at.min(now);
    }

    /// Schedules a push of the applied revision, to a router of another region as well.
    pub(crate) fn push_revision(&mut self, now: time::Instant) {
        self.push(now);
        self.push_remote = true;
    }

    pub(crate) fn reconnect_fast(&mut self, now: time::Instant, settings: &Settings) {
        self.fast_reconnect_until = now + settings.tick * FAST_PROBE_TICKS;
    }

    pub(crate) fn rejoin(&mut self, now: time::Instant) {
        self.joined = false;
        self.join_version = None;
        self.join_at = now;
    }

    /// Records that a join sealed for its receiver's process is sent as `version`.
    pub(crate) fn join_sent(&mut self, version: u32) {
        self.join_version.get_or_insert(version);
    }

    pub(crate) fn join_answered(&mut self, echo: u32) {
        if self.join_version.is_some_and(|version| echo >= version) {
            self.joined = true;
        }
    }
}

impl Fleet {
    pub(super) fn tick(&mut self, now: time::Instant, out: &mut Actions) {
        self.expire(now);
        self.settle_phase(now);
        self.member_list.recompute_watchers(&self.settings, now);
        self.join(now, out);
        self.end_outage_probes(now);
        self.detect_failures(now, out);
        self.probe_for_outage(now, out);
        self.beat(now, out);
        self.gossip(now, out);
        self.push(now, out);
        self.reconnect(now, out);
        self.probe_remote_if_due(now, out);
        self.report_load(now, out);
    }

    fn expire(&mut self, now: time::Instant) {
        let introduction_tokens = self.timers.introduction_tokens + INTRODUCTIONS_PER_TICK;
        self.timers.introduction_tokens = introduction_tokens.min(INTRODUCTION_BURST);
        if now >= self.timers.outage_until {
            self.timers.suspicions = 0;
        }
        if now < self.timers.expire_at {
            return;
        }
        self.timers.expire_at = now + self.settings.tick * EXPIRE_TICKS;
        self.member_list.remove_expired(now);
        self.reports.expire(self.settings.evidence_expiry, now);
        self.zone_totals.expire(self.settings.load_expiry, now);
        self.flaps.expire(now);
    }

    /// Probes and suspects watched routers that are silent, and declares suspects down.
    fn detect_failures(&mut self, now: time::Instant, out: &mut Actions) {
        let mut probes: SmallVec<[host::Id; 4]> = SmallVec::new();
        let mut updates: SmallVec<[heartbeat::Member; 4]> = SmallVec::new();
        for member in self.member_list.live() {
            let delay_ticks = if member.watched_since.is_some() {
                0
            } else {
                NON_WATCHER_DELAY_TICKS
            };
            if member.down_at + self.settings.tick * delay_ticks <= now {
                updates.push(with_phase(member.to_update(), heartbeat::Phase::Down));
                continue;
            }
            let Some(since) = member.silent_since() else {
                continue;
            };
            let silence = now.since(since);
            if silence < self.settings.probe_after {
                continue;
            }
            probes.push(member.host.clone());
            if silence < self.settings.suspect_after {
                continue;
            }
            match member.phase {
                heartbeat::Phase::Starting | heartbeat::Phase::Ready => {
                    updates.push(with_phase(member.to_update(), heartbeat::Phase::Suspect));
                }
                heartbeat::Phase::Leaving
                    if silence >= self.settings.suspect_after + self.settings.suspicion_timeout =>
                {
                    updates.push(with_phase(member.to_update(), heartbeat::Phase::Down));
                }
                _ => {}
            }
        }
        for update in &updates {
            self.count_suspicion(update, now);
            self.apply_update(update, now, out);
        }
        for host in &probes {
            self.send_to(heartbeat::Kind::Probe, host, Content::default(), now, out);
        }
    }

    fn count_suspicion(&mut self, update: &heartbeat::Member, now: time::Instant) {
        if update.phase != heartbeat::Phase::Suspect {
            return;
        }
        self.timers.suspicions += 1;
        if self.timers.suspicions >= OUTAGE_SUSPICIONS {
            self.timers.outage_until = now + self.settings.tick * FAST_PROBE_TICKS;
        }
    }

    fn end_outage_probes(&mut self, now: time::Instant) {
        let unset = time::Instant::ZERO;
        let members = self.member_list.iter_mut();
        for member in
            members.filter(|m| m.outage_probe_until != unset && m.outage_probe_until <= now)
        {
            member.outage_probe_until = unset;
            self.timers.watchers_stale = true;
        }
        if std::mem::take(&mut self.timers.watchers_stale) {
            self.member_list.mark_watchers_stale();
        }
    }

    /// Probes all unwatched members, a few per tick, when several watched ones fell silent.
    ///
    /// An isolated router watches only two others, besides its neighbours in the load
    /// tree, and would otherwise detect the loss of the rest of the region two by two.
    fn probe_for_outage(&mut self, now: time::Instant, out: &mut Actions) {
        if now >= self.timers.outage_until {
            return;
        }
        let unwatched: Vec<host::Id> = self
            .member_list
            .live()
            .filter(|member| member.watched_since.is_none())
            .map(|member| member.host.clone())
            .collect();
        let until = self.timers.outage_until + self.settings.suspect_after;
        for host in unwatched.sample(&mut self.rng, OUTAGE_PROBES) {
            if let Some(member) = self.member_list.get_mut(host) {
                member.watched_since = Some(now - self.settings.probe_after);
                member.outage_probe_until = until;
            }
            self.send_to(heartbeat::Kind::Probe, host, Content::default(), now, out);
        }
    }

    /// Sends the periodic heartbeat to the watchers of this router.
    fn beat(&mut self, now: time::Instant, out: &mut Actions) {
        if now < self.timers.beat_at {
            return;
        }
        self.timers.beat_at = now + self.settings.heartbeat_interval;
        let position = self.member_list.tree_position().clone();
        let hosts = self.member_list.watchers().to_vec();
        for host in &hosts {
            let content = self.beat_content(host, &position);
            self.send_to(heartbeat::Kind::Beat, host, content, now, out);
        }
    }

    fn beat_content(&self, host: &host::Id, position: &Position) -> Content {
        if position.parent.as_ref() == Some(host) {
            return Content::TO_PARENT;
        }
        if position.children.contains(host) {
            return Content::TO_CHILD;
        }
        let member = self.member_list.get(host);
        if member.is_some_and(|member| member.zone != self.identity.zone) {
            return Content::OTHER_ZONE;
        }
        Content::BEAT
    }

    /// Sends summaries of other routers to a random router of the zone.
    fn gossip(&mut self, now: time::Instant, out: &mut Actions) {
        if now < self.timers.gossip_at {
            return;
        }
        let jitter = self.rng.random_range(0.9..1.1);
        self.timers.gossip_at = now + self.settings.gossip_interval.mul_f64(jitter);
        let zone: Vec<host::Id> = self
            .member_list
            .live_in_zone()
            .map(|m| m.host.clone())
            .collect();
        if let Some(host) = zone.choose(&mut self.rng) {
            let host = host.clone();
            self.send_to(heartbeat::Kind::Beat, &host, Content::GOSSIP, now, out);
        }
    }

    /// Pushes queued updates and reports to random routers, which push them on.
    fn push(&mut self, now: time::Instant, out: &mut Actions) {
        let ready_at = self.timers.pushed_at + self.settings.push_min_interval;
        if now < self.timers.push_at || now < ready_at {
            return;
        }
        self.timers.push_at = time::Instant::NEVER;
        self.timers.pushed_at = now;
        let live: Vec<host::Id> = self.member_list.live().map(|m| m.host.clone()).collect();
        let targets: Vec<host::Id> = live
            .sample(&mut self.rng, self.settings.fanout)
            .cloned()
            .collect();
        for host in &targets {
            self.send_to(heartbeat::Kind::Beat, host, Content::PUSH, now, out);
        }
        let fanout = self.settings.fanout;
        if self.update_queue.needs_push(fanout) || self.reports.needs_push(fanout) {
            self.timers.push(now);
        }
        if std::mem::take(&mut self.timers.push_remote) {
            self.probe_remote(now, out);
        }
    }

    fn report_load(&mut self, now: time::Instant, out: &mut Actions) {
        let current = self.region_load(now);
        let (before, after) = (load::mean(self.reported_load).0, load::mean(current).0);
        let changed = self.reported_load.engines != current.engines
            || before.abs_diff(after) > before / LOAD_STEP;
        if changed {
            self.reported_load = current;
            out.push(Action::Load(current));
        }
    }
}

fn with_phase(member: heartbeat::Member, phase: heartbeat::Phase) -> heartbeat::Member {
    heartbeat::Member { phase, ..member }
}
