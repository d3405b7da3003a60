//! State of the owners: loads, load reports and cache events.

use std::time::Duration;

use placement::{TotalLoad, cache, topology};
use units::time::Instant;

use super::{CacheEvent, Chosen, Closed, Event, PeerLoad};
use crate::{control, simulation::Core};

/// Age of a load report on arrival.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time between two heartbeats of a router.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum delay of a heartbeat, in seconds.
const MAX_HEARTBEAT_DELAY_S: f64 = 1.0;
/// Probability that a batch of cache events is lost.
const EVENT_LOSS_PROBABILITY: f64 = 0.01;

impl Chosen {
    /// Sends the load of the engines that `from` owns to `to`, along with a message
    /// about a request.
    pub(super) fn send_load(
        &mut self,
        core: &mut Core<Event>,
        from: usize,
        to: usize,
        now: Instant,
    ) {
        if from == to {
            return;
        }
        let total = self.owned_load(from, self.total_load(from).mean());
        let latency = self.latency(core, from, to);
        core.push(
            now + latency,
            Event::ReceiveLoad(to, from, PeerLoad { total, at: now }),
        );
    }

    /// The total load of the pool as known to `router`.
    pub(super) fn total_load(&self, router: usize) -> TotalLoad {
        let peer_loads = self.routers[router].peer_loads.iter().enumerate();
        let others = peer_loads.filter(|(other, _)| *other != router);
        let others: TotalLoad = others.map(|(_, peer_load)| peer_load.total).sum();
        others + self.owned_load(router, others.mean())
    }

    /// Records the load that another router sent, unless a newer one is recorded. A
    /// heartbeat may arrive after a response that was sent later.
    pub(super) fn record_peer_load(&mut self, router: usize, from: usize, peer_load: PeerLoad) {
        let stored = &mut self.routers[router].peer_loads[from];
        if stored.at <= peer_load.at {
            *stored = peer_load;
        }
    }

    fn owned_load(&self, router: usize, mean: f64) -> TotalLoad {
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

    pub(super) fn update_bound(&mut self, engine: usize, now: Instant) -> admission::Actions {
        let total = self.total_load(self.owned[engine].owner);
        let bound = admission::Bound {
            requests: Some(self.bound.limit(1, total)),
            cost: None,
        };
        let owned = &mut self.owned[engine];
        if owned.applied_bound == bound {
            return admission::Actions::new();
        }
        owned.applied_bound = bound;
        owned.admission.set_bound(bound, now)
    }

    pub(super) fn poll_load(&mut self, core: &mut Core<Event>, engine: usize, now: Instant) {
        let engine_state = &mut core.engines[engine];
        let evicted = engine_state.take_evicted();
        let owned = &mut self.owned[engine];
        for chat in evicted {
            owned.last_event_number += 1;
            owned.pending.push(CacheEvent {
                number: owned.last_event_number,
                chat,
                event: cache::Event::Evicted,
            });
        }
        if now < core.until() {
            let owner = &self.routers[owned.owner];
            let every = control::load_interval(owner.engines.len());
            core.push(now + every, Event::PollLoad(engine));
        }
        if !core.engines[engine].is_up() {
            owned.pending.clear();
            return;
        }
        owned.last_report_seq += 1;
        let engine_state = &core.engines[engine];
        let report = admission::Report {
            boot: engine_state.boot(),
            seq: owned.last_report_seq,
            running: engine_state.running(),
            waiting: engine_state.waiting(),
            capacity: engine_state.capacity(),
        };
        let mut events = std::mem::take(&mut owned.pending);
        if core.random.chance(EVENT_LOSS_PROBABILITY) {
            events.clear();
        }
        core.push(
            now + REPORT_DELAY,
            Event::LoadReport(engine, report, events),
        );
    }

    pub(super) fn apply_load_report(
        &mut self,
        core: &mut Core<Event>,
        engine: usize,
        report: admission::Report,
        events: Vec<CacheEvent>,
        now: Instant,
    ) {
        let owned = &mut self.owned[engine];
        let boot = cache::BootId(report.boot);
        owned.cache_index.observe_boot(boot);
        owned.boot = report.boot;
        for event in events {
            let CacheEvent {
                number,
                chat,
                event,
            } = event;
            owned
                .cache_index
                .apply_event(boot, number, chat, event, now);
        }
        let actions = owned.admission.report(report, now);
        self.apply_actions(core, engine, actions, now);
    }

    /// Stops admission to an engine.
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

    /// Resumes admission to an engine.
    ///
    /// If the engine has not restarted, it is as warm as before and the learned limit
    /// is restored. With an initial limit of one, the engines of a zone that returns to
    /// service would stay far below the mean load for half a minute, and the others
    /// above the bound.
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

    /// Records when the owner first limits a cold engine to its safe load.
    pub(super) fn record_cold_detection(
        &mut self,
        core: &mut Core<Event>,
        engine: usize,
        now: Instant,
    ) {
        let engine_state = &core.engines[engine];
        let owned = &mut self.owned[engine];
        if !engine_state.is_cold(now) || owned.detected_boot == engine_state.boot() {
            return;
        }
        if owned.admission.handover().limit <= engine_state.safe_load(now) {
            owned.detected_boot = engine_state.boot();
            core.stats.cold_detections.push((now, engine));
        }
    }

    pub(super) fn send_heartbeat(&mut self, core: &mut Core<Event>, router: usize, now: Instant) {
        let mean = self.total_load(router).mean();
        let total = self.owned_load(router, mean);
        for other in 0..self.routers.len() {
            let delay = Duration::from_secs_f64(MAX_HEARTBEAT_DELAY_S * core.random.unit());
            core.push(
                now + delay,
                Event::ReceiveLoad(other, router, PeerLoad { total, at: now }),
            );
        }
        if now < core.until() {
            core.push(now + HEARTBEAT_INTERVAL, Event::Heartbeat(router));
        }
    }
}
