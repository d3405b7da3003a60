//! The state of one router's membership.

mod join;
mod receive;
mod send;
mod timers;
mod view;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use units::{host, revision, time};
use wire::{heartbeat, seal};

use crate::{
    Region, Settings,
    event::{Action, Event, Seed},
    flap::Flaps,
    load::ZoneTotals,
    member_list::{Change, MemberList},
    pause::PauseDetector,
    reports::Reports,
    update_queue::UpdateQueue,
};

/// The actions that result from one event.
pub type Actions = SmallVec<[Action; 4]>;

/// One router's view of the other routers of its region.
#[derive(Debug)]
pub struct Fleet {
    settings: Settings,
    region: Region,
    identity: heartbeat::Identity,
    zone_tag: heartbeat::ZoneTag,
    incarnation: heartbeat::Incarnation,
    phase: heartbeat::Phase,
    /// Whether [`Event::Ready`] was received.
    ready: bool,
    revision: revision::Id,
    load: heartbeat::Load,
    /// The version of the heartbeat that was built last.
    version: u32,
    member_list: MemberList,
    zone_totals: ZoneTotals,
    update_queue: UpdateQueue,
    reports: Reports,
    flaps: Flaps,
    pause_detector: PauseDetector,
    /// The last value of [`Action::ViewTrusted`].
    was_trusted: bool,
    /// The last value of [`Action::Load`].
    reported_load: heartbeat::Load,
    /// The region's other routers on the platform's host list.
    listed: BTreeMap<host::Id, Seed>,
    /// The routers of other regions on the platform's host list.
    remote: BTreeMap<host::Id, Seed>,
    rng: ChaCha8Rng,
    timers: timers::Timers,
}

impl Fleet {
    /// The initial view of the router `identity`; `boot` must be higher than at its last start.
    pub fn new(
        settings: Settings,
        identity: heartbeat::Identity,
        boot: seal::Boot,
        seed: u64,
        now: time::Instant,
    ) -> Self {
        Self {
            region: Region::of(&identity.zone),
            zone_tag: heartbeat::ZoneTag::new(&identity.zone),
            member_list: MemberList::new(identity.host.clone(), identity.zone.clone()),
            pause_detector: PauseDetector::new(
                now,
                settings.pause_threshold,
                settings.grace_period,
            ),
            timers: timers::Timers::new(now),
            settings,
            identity,
            incarnation: heartbeat::Incarnation {
                boot,
                refutation: 0,
            },
            phase: heartbeat::Phase::Starting,
            ready: false,
            revision: revision::Id::default(),
            load: heartbeat::Load::default(),
            version: 0,
            zone_totals: ZoneTotals::default(),
            update_queue: UpdateQueue::default(),
            reports: Reports::default(),
            flaps: Flaps::default(),
            was_trusted: false,
            reported_load: heartbeat::Load::default(),
            listed: BTreeMap::new(),
            remote: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: time::Instant) -> Actions {
        let mut out = Actions::new();
        if self.pause_detector.observe(now) {
            self.handle_resume(now);
        }
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Heartbeat(received) => self.receive(&received, now, &mut out),
            Event::Hosts(seeds) => self.set_hosts(seeds),
            Event::Applied(revision) => self.set_revision(revision, now),
            Event::Ready => self.set_ready(now),
            Event::Load(load) => self.load = load,
            Event::Evidence(evidence) => {
                self.record_evidence(&evidence, now);
            }
            Event::Leaving => self.enter(heartbeat::Phase::Leaving, now),
            Event::Left => self.leave(now, &mut out),
        }
        self.report_trust(now, &mut out);
        out
    }

    fn set_hosts(&mut self, seeds: Vec<Seed>) {
        let local = self.identity.host.clone();
        let others = seeds.into_iter().filter(|seed| seed.host != local);
        let (listed, remote) = others.partition::<Vec<_>, _>(|s| self.region.contains(&s.zone));
        let by_host = |seed: Seed| (seed.host.clone(), seed);
        self.listed = listed.into_iter().map(by_host).collect();
        self.remote = remote.into_iter().map(by_host).collect();
    }

    fn set_revision(&mut self, revision: revision::Id, now: time::Instant) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.timers.push_revision(now);
    }

    /// Records evidence and schedules a push of it. Returns whether it is new.
    fn record_evidence(&mut self, evidence: &recovery::Evidence, now: time::Instant) -> bool {
        let is_new = self
            .reports
            .record(evidence, self.settings.evidence_expiry, now);
        if is_new {
            self.timers.push(now);
        }
        is_new
    }

    fn set_ready(&mut self, now: time::Instant) {
        self.ready = true;
        self.settle_phase(now);
    }

    /// Switches between starting and ready, according to readiness and hold-down.
    fn settle_phase(&mut self, now: time::Instant) {
        if !matches!(
            self.phase,
            heartbeat::Phase::Starting | heartbeat::Phase::Ready
        ) {
            return;
        }
        if self.timers.hold_down_until > now && !self.zone_has_owner() {
            // When all routers of a zone flap, one of them still has to serve.
            self.timers.hold_down_until = time::Instant::ZERO;
        }
        let phase = if self.ready && self.timers.hold_down_until <= now {
            heartbeat::Phase::Ready
        } else {
            heartbeat::Phase::Starting
        };
        self.enter(phase, now);
    }

    /// Whether another router of the zone may own engines while this one is held down.
    fn zone_has_owner(&self) -> bool {
        self.member_list
            .live_in_zone()
            .any(|member| member.phase.may_own())
    }

    fn enter(&mut self, phase: heartbeat::Phase, now: time::Instant) {
        if phase == self.phase {
            return;
        }
        if phase < self.phase {
            // Other routers accept a lower phase only with a higher incarnation.
            self.incarnation.refutation += 1;
        }
        self.phase = phase;
        self.queue_local_update(now);
    }

    fn queue_local_update(&mut self, now: time::Instant) {
        let host = self.identity.host.clone();
        self.update_queue.enqueue(&host);
        self.timers.push(now);
    }

    /// The number of live routers of the region, this one included.
    fn size(&self) -> usize {
        self.member_list.live().count() + 1
    }

    /// Applies a membership update about another router.
    fn apply_update(
        &mut self,
        update: &heartbeat::Member,
        now: time::Instant,
        out: &mut Actions,
    ) -> Change {
        let before = self.member_list.get(&update.host);
        let was_live = before.is_some_and(|member| member.phase.is_live());
        let boot = before.map(|member| member.incarnation.boot);
        let change = self.member_list.apply_update(update, &self.settings, now);
        if change == Change::None {
            return change;
        }
        let returned =
            update.phase.is_live() && (!was_live || boot != Some(update.incarnation.boot));
        if returned {
            self.flaps.record_join(&update.host, &self.settings, now);
            self.timers.reconnect_fast(now, &self.settings);
        }
        self.update_queue.enqueue(&update.host);
        self.timers.changed_at = now;
        self.timers.push(now);
        if change == Change::Phase {
            out.push(Action::Phase {
                host: update.host.clone(),
                phase: update.phase,
            });
        }
        change
    }

    /// Refutes an update that contradicts this router's own phase or boot number.
    fn refute(&mut self, update: &heartbeat::Member, now: time::Instant, out: &mut Actions) {
        if update.incarnation.boot > self.incarnation.boot {
            // A clock went back, or another process ran under this host name. The
            // other routers ignore this one's heartbeats until its boot is higher.
            self.incarnation = heartbeat::Incarnation {
                boot: seal::Boot(update.incarnation.boot.0 + 1),
                refutation: 0,
            };
            out.push(Action::BootChanged(self.incarnation.boot));
            self.queue_local_update(now);
            return;
        }
        let update_order = (update.incarnation, update.phase);
        if update_order <= (self.incarnation, self.phase) {
            return;
        }
        self.incarnation.refutation = update.incarnation.refutation + 1;
        if update.phase == heartbeat::Phase::Down {
            self.handle_declared_down(now);
        }
        self.queue_local_update(now);
    }

    /// Handles that this router was declared down and its engines were taken over.
    ///
    /// It delays acting as an owner until its return has reached all routers.
    fn handle_declared_down(&mut self, now: time::Instant) {
        self.pause_detector
            .delay_until(now + self.settings.settle_time);
        let host = self.identity.host.clone();
        self.flaps.record_join(&host, &self.settings, now);
        let hold_down = self.flaps.hold_down(&host, &self.settings);
        self.timers.hold_down_until = self.timers.hold_down_until.max(now + hold_down);
        self.settle_phase(now);
    }

    /// Marks the view as untrusted after a pause of this process.
    ///
    /// The other routers seem silent because this process did not run. Without
    /// restarting all silence timeouts it would suspect all of them at once.
    fn handle_resume(&mut self, now: time::Instant) {
        self.pause_detector
            .distrust(now, self.settings.grace_period, self.version + 1);
        for member in self.member_list.iter_mut() {
            if member.watched_since.is_some() {
                member.watched_since = Some(now);
            }
            if member.phase == heartbeat::Phase::Suspect {
                member.down_at = now + self.settings.suspicion_timeout;
            }
        }
        self.timers.rejoin(now);
    }

    /// Reports when [`Self::is_view_trusted`] changed, through an event or the passage of time.
    fn report_trust(&mut self, now: time::Instant, out: &mut Actions) {
        let trusted = self.is_view_trusted(now);
        if trusted != self.was_trusted {
            self.was_trusted = trusted;
            out.push(Action::ViewTrusted(trusted));
        }
    }
}
