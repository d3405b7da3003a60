//! What owners learn and tell: loads, reports, cache events.

use std::time::Duration;

use placement::{TotalLoad, cache, topology};
use units::time::Instant;

use super::{CacheEvent, Chosen, Closed, Event, Told};
use crate::{control, world::Core};

/// How old a report is when it arrives.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// How often a router tells the others of its load.
const BEAT_EVERY: Duration = Duration::from_secs(1);
/// How long the load of a router takes to all others, at most, in seconds.
const BEAT_LAG: f64 = 1.0;
/// The chance that a batch of cache events is lost.
const GAP: f64 = 0.01;

impl Chosen {
    /// Tells `to` the load of the engines that `from` owns, with a message of a request.
    pub(super) fn tell(&mut self, core: &mut Core<Event>, from: usize, to: usize, now: Instant) {
        if from == to {
            return;
        }
        let total = self.own_total(from, self.total(from).mean());
        let latency = self.latency(core, from, to);
        core.push(
            now + latency,
            Event::Hear(to, from, Told { total, at: now }),
        );
    }

    /// The load of the pool as `router` knows it.
    pub(super) fn total(&self, router: usize) -> TotalLoad {
        let heard = self.routers[router].heard.iter().enumerate();
        let others = heard.filter(|(other, _)| *other != router);
        let others: TotalLoad = others.map(|(_, told)| told.total).sum();
        others + self.own_total(router, others.mean())
    }

    /// Takes note of what another router told. A heartbeat may arrive after an
    /// answer that was sent later.
    pub(super) fn hear(&mut self, router: usize, from: usize, told: Told) {
        let heard = &mut self.routers[router].heard[from];
        if heard.at <= told.at {
            *heard = told;
        }
    }

    fn own_total(&self, router: usize, mean: f64) -> TotalLoad {
        let topology = self.routers[router].history.current();
        let engines = self.routers[router].engines.iter();
        engines
            .filter(|engine| topology.members()[**engine].state == topology::State::Eligible)
            .map(|engine| {
                let own = self.owned[*engine].admission.handover();
                TotalLoad::contribution(own.in_flight, 1, own.limit, mean)
            })
            .sum()
    }

    pub(super) fn rebound(&mut self, engine: usize, now: Instant) -> admission::Actions {
        let total = self.total(self.owned[engine].owner);
        let bound = admission::Bound {
            requests: Some(self.bound.limit(1, total)),
            cost: None,
        };
        let owned = &mut self.owned[engine];
        if owned.bounded == bound {
            return admission::Actions::new();
        }
        owned.bounded = bound;
        owned.admission.set_bound(bound, now)
    }

    pub(super) fn ask(&mut self, core: &mut Core<Event>, engine: usize, now: Instant) {
        let fake = &mut core.engines[engine];
        let evicted = fake.take_evicted();
        let owned = &mut self.owned[engine];
        for chat in evicted {
            owned.events += 1;
            owned.pending.push(CacheEvent {
                number: owned.events,
                chat,
                event: cache::Event::Evicted,
            });
        }
        if now < core.until() {
            let owner = &self.routers[owned.owner];
            let every = control::load_every(owner.engines.len());
            core.push(now + every, Event::Ask(engine));
        }
        if !core.engines[engine].is_up() {
            owned.pending.clear();
            return;
        }
        owned.reports += 1;
        let fake = &core.engines[engine];
        let report = admission::Report {
            boot: fake.boot(),
            seq: owned.reports,
            running: fake.running(),
            waiting: fake.waiting(),
            capacity: fake.capacity(),
        };
        let mut events = std::mem::take(&mut owned.pending);
        if core.random.chance(GAP) {
            events.clear();
        }
        core.push(now + REPORT_LAG, Event::Answer(engine, report, events));
    }

    pub(super) fn answered(
        &mut self,
        core: &mut Core<Event>,
        engine: usize,
        report: admission::Report,
        events: Vec<CacheEvent>,
        now: Instant,
    ) {
        let owned = &mut self.owned[engine];
        let boot = cache::BootId(report.boot);
        owned.warmth.observe_boot(boot);
        owned.boot = report.boot;
        for event in events {
            let CacheEvent {
                number,
                chat,
                event,
            } = event;
            owned.warmth.apply_event(boot, number, chat, event, now);
        }
        let actions = owned.admission.report(report, now);
        self.act(core, engine, actions, now);
    }

    /// Admits nothing to an engine any more.
    pub(super) fn close(&mut self, engine: usize) -> admission::Actions {
        let owned = &mut self.owned[engine];
        if owned.closed.is_none() {
            owned.closed = Some(Closed {
                handover: owned.admission.handover(),
                boot: owned.boot,
            });
        }
        owned.admission.stop()
    }

    /// Admits to an engine again.
    ///
    /// An engine that has not restarted since is as warm as it was, so the limit
    /// that was learned still holds. Started from one instead, the engines of a
    /// zone that comes back would stay far below the mean for half a minute,
    /// and the others above the bound.
    pub(super) fn open(&mut self, engine: usize, now: Instant) -> admission::Actions {
        let owned = &mut self.owned[engine];
        let Some(closed) = owned.closed.take() else {
            return admission::Actions::new();
        };
        let mut actions = owned.admission.start(now);
        if closed.boot == owned.boot {
            let handover = admission::Handover {
                in_flight: 0,
                ..closed.handover
            };
            actions.extend(owned.admission.apply_handover(handover, now));
        }
        actions
    }

    /// Notes when the owner first gives a cold engine no more than it bears.
    pub(super) fn note_detection(&mut self, core: &mut Core<Event>, engine: usize, now: Instant) {
        let fake = &core.engines[engine];
        let owned = &mut self.owned[engine];
        if !fake.is_cold(now) || owned.detected == fake.boot() {
            return;
        }
        if owned.admission.handover().limit <= fake.bears(now) {
            owned.detected = fake.boot();
            core.stats.detections.push((now, engine));
        }
    }

    pub(super) fn beat(&mut self, core: &mut Core<Event>, router: usize, now: Instant) {
        let mean = self.total(router).mean();
        let total = self.own_total(router, mean);
        for other in 0..self.routers.len() {
            let lag = Duration::from_secs_f64(BEAT_LAG * core.random.unit());
            core.push(
                now + lag,
                Event::Hear(other, router, Told { total, at: now }),
            );
        }
        if now < core.until() {
            core.push(now + BEAT_EVERY, Event::Beat(router));
        }
    }
}
