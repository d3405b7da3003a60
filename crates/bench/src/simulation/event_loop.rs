//! Runs a policy and the simulated engines on the event queue.

use std::time::Duration;

use units::{request, time::Instant};
use verdict::Verdict;

use super::{Core, Event, Failure, Policy, Source};
use crate::{
    engine::{Job, Submission},
    script::{Change, Script},
    stats::{Stats, Status},
};

/// A simulation of one policy with one script.
#[derive(Debug)]
pub struct Simulation<P: Policy> {
    core: Core<P::Event>,
    policy: P,
}

impl<P: Policy> Simulation<P> {
    /// Schedules the arrivals and the script and starts the policy.
    pub fn new(mut core: Core<P::Event>, mut policy: P, script: &Script) -> Self {
        for index in 0..core.arrivals.len() {
            core.queue
                .push(core.arrivals[index].at, Event::Arrive(index));
        }
        for (at, apply_change) in script {
            core.queue.push(*at, Event::Change(*apply_change));
        }
        core.queue.push(Instant::ZERO, Event::Sample);
        policy.start(&mut core);
        Self { core, policy }
    }

    /// Processes all events and returns the statistics and the policy.
    pub fn run(mut self) -> (Stats, P) {
        while let Some((now, event)) = self.core.queue.pop() {
            self.handle(event, now);
        }
        (self.core.stats, self.policy)
    }

    fn handle(&mut self, event: Event<P::Event>, now: Instant) {
        match event {
            Event::Arrive(request) => self.policy.arrive(&mut self.core, request, now),
            Event::Deliver(attempt, engine) => self.deliver(attempt, engine, now),
            Event::Done(attempt, engine) => self.done(attempt, engine, now),
            Event::ApplyTopology(router, version) => self.apply_topology(router, version, now),
            Event::Change(apply_change) => self.apply_change(apply_change, now),
            Event::Sample => self.core.sample(now),
            Event::Policy(event) => self.policy.handle(&mut self.core, event, now),
        }
    }

    fn apply_topology(&mut self, router: usize, version: usize, now: Instant) {
        if version > self.core.router_versions[router] {
            self.core.router_versions[router] = version;
            self.policy.topology_changed(&mut self.core, router, now);
        }
    }

    fn deliver(&mut self, attempt: request::Attempt, engine: usize, now: Instant) {
        let core = &mut self.core;
        if core.is_excluded(engine) {
            core.stats.last_excluded_zone_arrival = Some(now);
        }
        let request = Core::<P::Event>::request(attempt);
        core.stats.requests[request].admitted_at = now;
        if core.engine_states[engine].failing {
            self.fail(vec![attempt], engine, Verdict::MayHaveRun, now);
            return;
        }
        let target = &core.engines[engine];
        if target.is_cold(now) && target.is_up() && target.load() >= target.safe_load(now) {
            core.stats.cold_overloads.push((now, engine));
        }
        let was_up = target.is_up();
        let arrival = core.arrivals[request];
        let job = Job {
            attempt,
            chat: arrival.chat,
            prompt: arrival.prompt,
            output: arrival.output,
        };
        match core.engines[engine].submit(job, now) {
            Submission::Running => {
                if let Some(run) = core.engines[engine].run(attempt) {
                    core.record_run(run, engine);
                    self.policy.started(core, engine, run, now);
                }
            }
            Submission::Waiting => {}
            Submission::Lost(lost) if was_up => {
                core.stats.overload_crashes += 1;
                self.restart_after_overload(engine, now);
                self.fail(lost, engine, Verdict::MayHaveRun, now);
            }
            Submission::Lost(lost) => self.fail(lost, engine, Verdict::NotRun, now),
        }
    }

    /// Schedules the restart of an engine that crashed from overload, and removes it
    /// from the host list.
    fn restart_after_overload(&mut self, engine: usize, now: Instant) {
        let start = now + Duration::from_secs(10);
        self.core
            .queue
            .push(start, Event::Change(Change::Start(engine)));
        self.core.engine_states[engine].listed = false;
        self.core.publish(Source::Hosts, now);
    }

    fn done(&mut self, attempt: request::Attempt, engine: usize, now: Instant) {
        let core = &mut self.core;
        let Some(run) = core.engines[engine].run(attempt) else {
            return;
        };
        for started in core.engines[engine].finish(attempt, now) {
            core.record_run(started, engine);
            self.policy.started(core, engine, started, now);
        }
        core.set_status(Core::<P::Event>::request(attempt), Status::Served);
        self.policy.finished(core, engine, run, now);
    }

    fn fail(
        &mut self,
        attempts: Vec<request::Attempt>,
        engine: usize,
        verdict: Verdict,
        now: Instant,
    ) {
        for attempt in attempts {
            let request = Core::<P::Event>::request(attempt);
            self.core.stats.requests[request].may_have_run |= verdict == Verdict::MayHaveRun;
            let failure = Failure {
                attempt,
                engine,
                verdict,
            };
            self.policy.failed(&mut self.core, failure, now);
        }
    }

    fn apply_change(&mut self, apply_change: Change, now: Instant) {
        let core = &mut self.core;
        match apply_change {
            Change::Crash(engine) => {
                let lost = core.engines[engine].crash();
                core.engine_states[engine].listed = false;
                core.publish(Source::Hosts, now);
                self.fail(lost, engine, Verdict::MayHaveRun, now);
            }
            Change::Start(engine) => {
                core.engines[engine].start(now);
                core.engine_states[engine].listed = true;
                core.engine_states[engine].since = now;
                core.publish(Source::Hosts, now);
            }
            Change::TurnCold(engine) => core.engines[engine].turn_cold(now),
            Change::ZoneOut(zone) => {
                core.excluded_zones[zone] = true;
                core.publish(Source::Config, now);
            }
            Change::ZoneIn(zone) => {
                core.excluded_zones[zone] = false;
                for engine in 0..core.engines.len() {
                    if core.engine_zone(engine) == zone {
                        core.engine_states[engine].since = now;
                    }
                }
                core.publish(Source::Config, now);
            }
            Change::Fail(engine) => core.engine_states[engine].failing = true,
            Change::Serve(engine) => core.engine_states[engine].failing = false,
        }
    }
}
