//! A fleet of routers that roll out a version, in virtual time over the real decisions.

use std::{collections::BTreeMap, time::Duration};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rollout::{
    Controller, Counts, Message, Order, Settings, Stage, Trial,
    controller::{Audience, Call, Identity, View},
    counts::{Arm, Route, TIME_CLASSES, Tally},
    stage::State,
};
use units::time::{Instant, Millis};

use crate::{
    scenario::{Kind, Layout, SECOND, STEP_MS, Scenario, Share},
    store::Store,
};

/// The requests that a faulty version may receive in addition to its share.
pub const SLACK: u64 = 50;
/// Servers of each version.
const SERVERS: usize = 60;
/// The routes, by their share of the requests.
const ROUTES: [(Route, f64); 5] = [
    (Route(1), 0.2),
    (Route(2), 0.4),
    (Route(3), 0.2),
    (Route(4), 0.15),
    (Route(5), 0.05),
];
/// The expected time to first byte of a request.
const EXPECTED: Duration = Duration::from_millis(100);
/// The longest response of a sound version.
const LONGEST_RESPONSE: Millis = Millis(3000);
/// The number of answers after which a faulty version is known to be faulty.
const FAULTY_ANSWERS: u64 = 50;
/// Zones of routers.
const ZONES: usize = 3;
/// How long a router that is connected again may be missing from the loads that others
/// know, in steps.
const RECONNECT_TIME: u64 = SECOND;
/// How long requests wait for a router that has just started, in steps.
const START_TIMEOUT: u64 = 4;
/// How long a disconnected router may take to be up to date again, in steps.
const CATCH_UP: u64 = 4 * SECOND;

struct Router {
    zone: usize,
    has_started_before_order: bool,
    weight: f64,
    /// The step from which the process runs and knows the order.
    active_from: u64,
    reporter: u32,
    controller: Option<Controller>,
    trial: Option<Trial>,
    running: [u32; 2],
    offset: usize,
}

enum Event {
    Deliver(usize, Message),
    StoreCall(usize, u32, Call),
    FirstByte(usize, u32, Request, Duration),
    End(usize, u32, Request, bool),
}

#[derive(Clone, Copy)]
struct Request {
    route: Route,
    arm: Arm,
    server: u64,
    /// Whether the request was sent during the trial.
    is_counted: bool,
}

/// How a run ended.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The final state.
    pub state: Option<State>,
    /// When it was recorded, in milliseconds after the order.
    pub ended_ms: Option<u64>,
    /// Faulty answers of the new version: failures and slow responses.
    pub faulty_answers: u64,
    /// Requests at the new version until the first promotion.
    pub canary_requests: u64,
    /// Requests at the new version until the deadline.
    pub candidate_requests: u64,
    /// Requests at the service until the deadline.
    pub requests: u64,
    /// When the first router decided to roll back.
    pub rollback_ms: Option<u64>,
    /// When the first faulty answer came.
    pub first_faulty_ms: Option<u64>,
    /// When simpler tests of the same counts would have found the version faulty.
    pub threshold_ms: Option<u64>,
    /// The same for a comparison of medians.
    pub quantile_ms: Option<u64>,
    /// Violations of invariants.
    pub violations: Vec<String>,
}

/// The model.
pub struct Fleet {
    scenario: Scenario,
    settings: Settings,
    order: Order,
    rng: ChaCha8Rng,
    routers: Vec<Router>,
    store: Store,
    events: BTreeMap<u64, Vec<Event>>,
    step: u64,
    /// Requests in flight by version, as routers hear of them.
    heard_running: [u32; 2],
    faulty_known_at: Option<u64>,
    has_promoted: bool,
    report: Report,
}

impl Fleet {
    /// Creates the fleet of a scenario.
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed ^ 0x5eed);
        let order = Order {
            pool: "llm".parse().expect("a name"),
            to: "v2".parse().expect("a version"),
            duration: Millis(scenario.duration_s * 1000),
            revision: 77,
        };
        let routers = (0..scenario.routers).map(|index| Router {
            zone: index % ZONES,
            has_started_before_order: true,
            weight: rng.random_range(0.2..1.8),
            active_from: rng.random_range(0..3),
            reporter: rng.random(),
            controller: None,
            trial: None,
            running: [0; 2],
            offset: index,
        });
        Self {
            routers: routers.collect(),
            settings: Settings::default(),
            order,
            rng,
            store: Store::default(),
            events: BTreeMap::new(),
            step: 0,
            heard_running: [0; 2],
            faulty_known_at: None,
            has_promoted: false,
            report: Report::default(),
            scenario,
        }
    }

    /// Runs past the deadline and returns how the roll-out ended.
    pub fn run(mut self) -> Report {
        let deadline = self.scenario.duration_s * SECOND;
        for step in 0..deadline + 5 * SECOND {
            self.step = step;
            self.advance(step <= deadline);
        }
        self.report.state = self.store.state();
        self.report.ended_ms = self.store.ended_ms;
        self.check_end();
        self.report
    }

    fn now(&self) -> Instant {
        Instant::from_millis(10_000 + self.step * STEP_MS)
    }

    fn advance(&mut self, is_before_deadline: bool) {
        self.kill_routers();
        for event in self.events.remove(&self.step).unwrap_or_default() {
            self.handle(event);
        }
        self.send_requests(is_before_deadline);
        for index in 0..self.routers.len() {
            if (self.step + index as u64).is_multiple_of(2) && self.is_active(index) {
                self.tick(index);
            }
        }
        if self.step.is_multiple_of(3) {
            self.heard_running = [0, 1].map(|arm| {
                let routers = self.routers.iter();
                routers.map(|router| router.running[arm]).sum()
            });
        }
        self.check_exposure();
        self.evaluate_simpler_tests();
    }

    /// Evaluates two simpler tests on the counts of all routers: at least three failures
    /// at twice the ratio of the old version, and a median time of twice the old one.
    fn evaluate_simpler_tests(&mut self) {
        if self.has_promoted || !self.step.is_multiple_of(2) {
            return;
        }
        let mut counts = Counts::default();
        for trial in self
            .routers
            .iter()
            .filter_map(|router| router.trial.as_ref())
        {
            counts.add(trial.counts());
        }
        let total = counts.total();
        let ratio = |tally: &Tally| f64::from(tally.failed) / f64::from(tally.outcomes().max(1));
        let at = self.step * STEP_MS;
        if total.candidate.failed >= 3 && ratio(&total.candidate) > 2.0 * ratio(&total.baseline) {
            self.report.threshold_ms.get_or_insert(at);
        }
        let is_above = |tally: &Tally, class| tally.slower(class) * 2 > tally.timed();
        let has_many = total.candidate.timed() >= 10;
        let is_slower = |class: usize| {
            is_above(&total.candidate, class) && !is_above(&total.baseline, class - 1)
        };
        if has_many && (1..TIME_CLASSES).any(is_slower) {
            self.report.quantile_ms.get_or_insert(at);
        }
    }

    fn kill_routers(&mut self) {
        let kills_all = self.scenario.kill_all == Some(self.step);
        let kills_half = self.scenario.kill_half == Some(self.step);
        for index in 0..self.routers.len() {
            if kills_all || (kills_half && index % 2 == 0) {
                let active_from = self.step + self.rng.random_range(3..10);
                let reporter = self.rng.random();
                let router = &mut self.routers[index];
                router.active_from = active_from;
                router.has_started_before_order = false;
                router.reporter = reporter;
                router.controller = None;
                router.trial = None;
                router.running = [0; 2];
            }
        }
    }

    fn is_active(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let knows_order = router.controller.is_some() || !self.is_cut(index);
        self.step >= router.active_from && knows_order
    }

    fn is_cut(&self, index: usize) -> bool {
        self.routers[index].zone == 0 && self.scenario.cut.contains(&self.step)
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        let events = self.events.entry(self.step + delay.max(1)).or_default();
        events.push(event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Deliver(index, message) => {
                if let Some(controller) = &mut self.routers[index].controller {
                    controller.receive(message, now);
                    self.tick(index);
                }
            }
            Event::StoreCall(index, reporter, call) => self.call_store(index, reporter, call),
            Event::FirstByte(index, reporter, request, time) => {
                let router = &mut self.routers[index];
                let is_counted = request.is_counted && router.reporter == reporter;
                if let (true, Some(trial)) = (is_counted, &mut router.trial) {
                    let Request {
                        route, arm, server, ..
                    } = request;
                    trial.record_time(route, arm, server, time, EXPECTED);
                    trial.record_success(route, arm, server);
                }
            }
            Event::End(index, reporter, request, has_failed) => {
                self.end(index, reporter, request, has_failed);
            }
        }
    }

    fn call_store(&mut self, index: usize, reporter: u32, call: Call) {
        let now = self.now();
        let is_up = !self.scenario.store_down.contains(&self.step) && !self.is_cut(index);
        let recorded = is_up.then(|| {
            if call.state == State::Completed && self.store.state() == Some(State::InProgress) {
                self.check_old_servers_are_idle();
            }
            self.store.record(call, self.step * STEP_MS)
        });
        let is_lost = self.rng.random_bool(self.scenario.lost_responses);
        let router = &mut self.routers[index];
        if let (true, Some(controller)) = (router.reporter == reporter, &mut router.controller) {
            controller.complete_call(recorded.filter(|_| !is_lost), now);
        }
    }

    fn end(&mut self, index: usize, reporter: u32, request: Request, has_failed: bool) {
        if request.arm == Arm::Candidate && has_failed {
            self.record_faulty_answer();
        }
        let router = &mut self.routers[index];
        if router.reporter != reporter {
            return;
        }
        router.running[request.arm as usize] -= 1;
        if let (true, Some(trial)) = (request.is_counted && has_failed, &mut router.trial) {
            trial.record_failure(request.route, request.arm, request.server);
        }
    }

    fn record_faulty_answer(&mut self) {
        self.report.faulty_answers += 1;
        self.report
            .first_faulty_ms
            .get_or_insert(self.step * STEP_MS);
        if self.report.faulty_answers == FAULTY_ANSWERS {
            self.faulty_known_at = Some(self.step);
        }
    }

    fn send_requests(&mut self, is_before_deadline: bool) {
        let weights: f64 = self.routers.iter().map(|router| router.weight).sum();
        for index in 0..self.routers.len() {
            let share = self.routers[index].weight / weights;
            let mean = self.scenario.requests_per_s * share / SECOND as f64;
            let mut count = mean as u64;
            count += u64::from(self.rng.random_bool(mean.fract()));
            for _ in 0..count {
                if self.accepts_requests(index) {
                    self.send(index, is_before_deadline);
                }
            }
        }
    }

    /// Whether a router runs, and knows the stage or has waited for it.
    fn accepts_requests(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let knows_stage = router.trial.is_some() || router.has_started_before_order;
        let waits_until = router.active_from + START_TIMEOUT;
        self.step >= router.active_from && (knows_stage || self.step >= waits_until)
    }

    fn send(&mut self, index: usize, is_before_deadline: bool) {
        let now = self.now();
        let route = ROUTES
            .choose_weighted(&mut self.rng, |(_, weight)| *weight)
            .expect("a route")
            .0;
        let router = &mut self.routers[index];
        let mut arm = Arm::Baseline;
        if let Some(trial) = &mut router.trial {
            let is_random = self.scenario.ways.share == Share::Random;
            let is_selected = if is_random && trial.stage() == Stage::Canary {
                self.rng.random_bool(self.settings.canary_share())
            } else {
                trial.prefers_candidate(route, now)
            };
            if is_selected {
                arm = Arm::Candidate;
            }
            trial.record_admission(route, arm, now);
        }
        let is_completed = self.store.state() == Some(State::Completed);
        let knows_end = router.controller.as_ref().and_then(Controller::stage);
        if knows_end == Some(Stage::Completed) {
            arm = Arm::Candidate;
        }
        router.running[arm as usize] += 1;
        self.report.requests += u64::from(is_before_deadline);
        if arm == Arm::Candidate && !is_completed {
            self.count_candidate_request(index, is_before_deadline);
        }
        let request = Request {
            route,
            arm,
            server: self.server(arm),
            is_counted: self.routers[index].trial.is_some(),
        };
        self.schedule_response(index, request);
    }

    fn count_candidate_request(&mut self, index: usize, is_before_deadline: bool) {
        self.report.candidate_requests += u64::from(is_before_deadline);
        self.report.canary_requests += u64::from(!self.has_promoted);
        let is_late = self
            .faulty_known_at
            .is_some_and(|known_at| self.step > known_at + 5 * SECOND);
        if is_late && !self.scenario.kind.is_sound() && self.is_in_touch(index) {
            self.violate("a faulty version received a request after the rollback time");
        }
    }

    /// Whether a router was up and connected for some time.
    fn is_in_touch(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let cut_ended = self.scenario.cut.end + CATCH_UP;
        let was_cut = router.zone == 0
            && !self.scenario.cut.is_empty()
            && (self.scenario.cut.start..cut_ended).contains(&self.step);
        self.step >= router.active_from + CATCH_UP && !was_cut
    }

    fn server(&mut self, arm: Arm) -> u64 {
        let in_use = match arm {
            Arm::Candidate if !self.has_promoted => self.canary_servers(),
            _ => SERVERS as u64,
        };
        self.rng.random_range(0..in_use)
    }

    /// The number of servers that receive the requests of the canary.
    fn canary_servers(&self) -> u64 {
        match self.scenario.ways.layout {
            Layout::Concentrated => (self.settings.canary_share() * SERVERS as f64).ceil() as u64,
            Layout::Spread => SERVERS as u64,
        }
    }

    /// The bounds by which one router selects requests.
    fn settings_of(&self, index: usize) -> Settings {
        let few = (self.routers.len() / 10).max(1);
        let exposure_share = match self.scenario.ways.share {
            Share::OwnFraction | Share::Random => self.settings.exposure_share,
            Share::FewRouters if index < few => {
                self.settings.exposure_share * (self.routers.len() / few) as f64
            }
            Share::FewRouters => 0.0,
        };
        Settings {
            exposure_share,
            ..self.settings
        }
    }

    fn schedule_response(&mut self, index: usize, request: Request) {
        let kind = self.scenario.kind;
        let is_candidate = request.arm == Arm::Candidate;
        let is_slow = is_candidate && kind == Kind::Slow;
        let factor = if is_slow { 4.0 } else { 1.0 };
        let tail = if self.rng.random_bool(0.02) { 4.0 } else { 1.0 };
        let ratio = self.rng.random_range(0.25..0.9) * tail * factor;
        let length = self
            .rng
            .random_range(0.1..LONGEST_RESPONSE.0 as f64 / 1000.0)
            * factor;
        let has_failed = self.rng.random_bool(self.failure_ratio(request));
        let reporter = self.routers[index].reporter;
        let time = EXPECTED.mul_f64(ratio);
        let first_byte = 1 + time.as_millis() as u64 / STEP_MS;
        let end = first_byte
            + if has_failed {
                0
            } else {
                (length * SECOND as f64) as u64
            };
        if !has_failed {
            self.schedule(first_byte, Event::FirstByte(index, reporter, request, time));
        }
        self.schedule(end, Event::End(index, reporter, request, has_failed));
        if is_slow {
            self.record_faulty_answer();
        }
    }

    fn failure_ratio(&self, request: Request) -> f64 {
        const ORDINARY: f64 = 0.001;
        let is_candidate = request.arm == Arm::Candidate;
        let seconds = self.step / SECOND;
        match self.scenario.kind {
            Kind::BothFail => 0.33,
            Kind::GoodWhileOldFails if !is_candidate && (2..6).contains(&seconds) => 0.2,
            Kind::OneServerFails if is_candidate && request.server == 0 => 0.5,
            Kind::Fails(ratio) if is_candidate => ratio,
            Kind::FailsLater if is_candidate && seconds >= 5 => 0.33,
            Kind::FailsUnderLoad if is_candidate && self.is_loaded() => 0.33,
            Kind::FailsOnOneRoute if is_candidate && request.route == ROUTES[0].0 => 0.5,
            _ => ORDINARY,
        }
    }

    /// Whether a server of the new version has more than half of the load that an old
    /// server usually has.
    fn is_loaded(&self) -> bool {
        let running: u32 = self.routers.iter().map(|router| router.running[1]).sum();
        let in_use = if self.has_promoted {
            SERVERS as f64
        } else {
            self.canary_servers() as f64
        };
        let usual = self.scenario.requests_per_s * 1.5 / SERVERS as f64;
        f64::from(running) / in_use > usual / 2.0
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        let members = self.routers.len();
        let view = View {
            members,
            rank: (index + 5) % members,
            baseline_load: self.heard_running[0],
            total_load: self.heard_running.iter().sum(),
            candidate_servers: SERVERS,
            is_serving: false,
            longest_response: LONGEST_RESPONSE,
        };
        let (order, settings) = (self.order.clone(), self.settings_of(index));
        let router = &mut self.routers[index];
        let own = Identity {
            host: index as u32,
            zone: router.zone as u32,
            reporter: router.reporter,
        };
        let has_restarted = !router.has_started_before_order;
        let controller = router.controller.get_or_insert_with(|| {
            let controller = Controller::new(order.clone(), settings, own, now);
            if has_restarted {
                controller.with_immediate_call()
            } else {
                controller
            }
        });
        let own = router.trial.as_ref().map(|trial| trial.counts().clone());
        let actions = controller.tick(own.unwrap_or_default(), &view, now);
        if let Some(stage) = actions.stage {
            let seed = u64::from(router.reporter);
            let trial = router
                .trial
                .get_or_insert_with(|| Trial::new(order.revision, settings, stage, seed));
            trial.set_stage(stage, now);
            self.note_stage(stage);
        }
        let reporter = self.routers[index].reporter;
        if let Some(call) = actions.call {
            self.schedule(1, Event::StoreCall(index, reporter, call));
        }
        for (audience, message) in actions.messages {
            self.deliver(index, audience, &message);
        }
    }

    fn note_stage(&mut self, stage: Stage) {
        match stage {
            Stage::Promoting => self.has_promoted = true,
            Stage::RollingBack => {
                self.report.rollback_ms.get_or_insert(self.step * STEP_MS);
            }
            Stage::Canary | Stage::Completing | Stage::RolledBack | Stage::Completed => {}
        }
    }

    fn deliver(&mut self, index: usize, audience: Audience, message: &Message) {
        for target in self.targets(index, audience) {
            let is_lost = self.rng.random_bool(self.scenario.loss);
            let is_apart = self.is_cut(index) != self.is_cut(target)
                && self.routers[index].zone != self.routers[target].zone;
            if target != index && !is_lost && !is_apart {
                self.schedule(1, Event::Deliver(target, message.clone()));
            }
        }
    }

    /// The receivers of a message: the first two routers of each zone collect its counts,
    /// and those of two zones judge.
    fn targets(&mut self, index: usize, audience: Audience) -> Vec<usize> {
        let members = self.routers.len();
        let turn = (self.step / SECOND) as usize % 2;
        let zone = self.routers[index].zone;
        let in_turn = |all: bool, choices: Vec<usize>| {
            let chosen = choices.into_iter().enumerate();
            let chosen = chosen.filter(|(position, _)| all || *position % 2 == turn);
            chosen.map(|(_, target)| target).collect()
        };
        match audience {
            Audience::Collectors { all } => in_turn(all, vec![zone, zone + ZONES]),
            Audience::Judges { all } => in_turn(all, vec![1, 2, 1 + ZONES, 2 + ZONES]),
            Audience::Router(host) => vec![host as usize],
            Audience::One => vec![self.rng.random_range(0..members)],
            Audience::Many => {
                self.routers[index].offset += 8;
                (0..8).map(|_| self.rng.random_range(0..members)).collect()
            }
        }
    }

    fn check_exposure(&mut self) {
        let allowed = self.settings.exposure_share * self.report.requests as f64 + SLACK as f64;
        if self.report.canary_requests as f64 > allowed {
            self.violate("the canary exceeded its exposure");
        }
    }

    /// Checks that no requests are lost when the old servers stop.
    ///
    /// Routers that are cut off, or were a moment ago, keep to the old version if they
    /// started meanwhile, and nobody knows of their requests.
    fn check_old_servers_are_idle(&mut self) {
        let reconnected = self.scenario.cut.end + RECONNECT_TIME;
        let cut = self.scenario.cut.start..reconnected;
        let is_cut = |index: &usize| self.routers[*index].zone == 0 && cut.contains(&self.step);
        let connected = (0..self.routers.len()).filter(|index| !is_cut(index));
        let running: u32 = connected.map(|index| self.routers[index].running[0]).sum();
        let total: u32 = self.routers.iter().map(|router| router.running[1]).sum();
        if f64::from(running) > 0.01 * f64::from(total) + 2.0 {
            self.violate("the old servers were stopped while requests ran there");
        }
    }

    fn check_end(&mut self) {
        if self.store.finals > 1 {
            self.violate("more than one final state was recorded");
        }
        if self.store.finals == 0 && self.scenario.is_calm() {
            self.violate("no final state was recorded");
        }
    }

    fn violate(&mut self, rule: &str) {
        let known = self
            .report
            .violations
            .iter()
            .any(|known| known.contains(rule));
        if !known {
            let at = self.step * STEP_MS;
            self.report.violations.push(format!("{rule} at {at} ms"));
        }
    }
}
