//! Requests from their arrival to their end.

use std::time::Duration;

use gateway::{
    pool::{Demand, Outcome, Part},
    queue::{Admission, Dequeued, Request},
};
use units::{backend, chat, cost::Cost, request::Attempt, time::Instant};

use super::{Event, World};
use crate::{
    urgency_fleet::{engine::Arrival, scenario::CLASSES},
    world,
};

impl World {
    pub(super) fn arrive(&mut self, call: usize) {
        let router = self.calls[call].router;
        if self.is_dead[router] {
            // Callers find another router.
            self.calls[call].router = (router + 1) % self.routers.len();
        }
        if self.now >= self.deadline(call) {
            return;
        }
        self.calls[call].tries += 1;
        self.calls[call].tried.clear();
        self.submit(call);
    }

    pub(super) fn submit(&mut self, call: usize) {
        self.calls[call].attempt += 1;
        self.calls[call].submitted_at = self.now;
        let state = &self.calls[call];
        let class = &CLASSES[state.class];
        let key = state.class as u64 * 100;
        let demand = Demand {
            parts: [
                Part {
                    key: chat::Key(key + 1),
                    tokens: class.shared_tokens,
                },
                Part {
                    key: chat::Key(1_000_000 + call as u64),
                    tokens: class.own_tokens,
                },
            ]
            .into_iter()
            .collect(),
            tried: state.tried.iter().cloned().collect(),
            ..Demand::default()
        };
        let half_left = self.deadline(call).since(self.now) / 2;
        let request = Request {
            attempt: Attempt(call as u64),
            workspace: self.workspaces[state.workspace].clone(),
            cost: Cost(u64::from(class.own_tokens) + class.output_tokens),
            rank: class.rank,
            latest_start: self.now + half_left.min(class.target * 2),
            demand,
        };
        let router = state.router;
        match self.routers[router].submit(request, &self.fleets[router], self.now) {
            Admission::Placed(placement) => self.send(call, &placement.server, placement.uncached),
            Admission::Refused(refusal) => self.refuse(call, refusal.retry_at),
            Admission::Queued => {}
        }
        self.schedule_wake(router);
    }

    pub(super) fn refuse(&mut self, call: usize, retry_at: Instant) {
        self.report.refused += 1;
        if self.calls[call].tries > self.scenario.retries {
            return;
        }
        // Half of the callers retry at once.
        let at = if call.is_multiple_of(2) {
            self.now + Duration::from_millis(20)
        } else {
            retry_at
        };
        let tenth = at.since(world::START).as_millis() as u64 / 100;
        if !call.is_multiple_of(2) {
            *self.report.returns.entry(tenth).or_default() += 1;
        }
        self.push(at, Event::Arrive(call));
    }

    pub(super) fn send(&mut self, call: usize, server: &backend::Server, uncached: Cost) {
        let found = self.names.iter().position(|name| name == server);
        let engine = found.expect("a known engine");
        let router = self.calls[call].router;
        self.own[router][engine] += 1;
        let state = &mut self.calls[call];
        state.engine = Some(engine);
        state.sent_at = self.now;
        state.uncached = uncached;
        state.tried.push(server.clone());
        let rank = CLASSES[state.class].rank;
        match self.engines[engine].arrive(call, rank) {
            Arrival::Started => self.start(call),
            Arrival::Waiting => {
                let second = self.now_ms() as usize / 1_000;
                let waiting = self.engines[engine].waiting_count();
                if self.report.waiting.len() <= second {
                    self.report.waiting.resize(second + 1, 0);
                }
                let most = &mut self.report.waiting[second];
                *most = waiting.max(*most);
            }
            Arrival::Rejected => {
                self.report.rejected += 1;
                self.ended(call, Outcome::Full);
                if self.calls[call].tried.len() < 3 {
                    self.submit(call);
                } else {
                    let at = self.now + Duration::from_millis(200);
                    self.refuse(call, at);
                }
            }
        }
    }

    pub(super) fn start(&mut self, call: usize) {
        if self.calls[call].class == 0 {
            let state = &self.calls[call];
            let submitted = state.submitted_at.since(world::START).as_secs_f64();
            let sent = state.sent_at.since(world::START).as_secs_f64();
            let waits = &mut self.report.chat_waits;
            waits.0 += sent - submitted;
            waits.1 += self.now.since(state.sent_at).as_secs_f64();
            waits.2 += 1;
        }
        self.calls[call].is_running = true;
        let state = &self.calls[call];
        let (class, attempt) = (&CLASSES[state.class], state.attempt);
        let first = self.now + class.first;
        let end = self.now + class.run;
        self.push(first, Event::Begin(call, attempt));
        self.push(end, Event::End(call, attempt));
    }

    pub(super) fn first_event(&mut self, call: usize, attempt: u32) {
        let deadline = self.deadline(call);
        let state = &mut self.calls[call];
        let Some(engine) = state.engine.filter(|_| state.attempt == attempt) else {
            return;
        };
        if self.now <= deadline && state.first_at.is_none() {
            state.first_at = Some(self.now);
        }
        let name = self.names[engine].clone();
        let pool = self.routers[state.router].pool_mut();
        if let Some(server) = pool.server_mut(&name) {
            server.end_prefill(state.uncached);
            let shared = Part {
                key: chat::Key(state.class as u64 * 100 + 1),
                tokens: CLASSES[state.class].shared_tokens,
            };
            server.record_cached(&[shared], self.now);
        }
    }

    pub(super) fn end(&mut self, call: usize, attempt: u32) {
        let Some(engine) = self.calls[call].engine else {
            return;
        };
        if self.calls[call].attempt != attempt {
            return;
        }
        self.engines[engine].end();
        self.calls[call].is_running = false;
        self.ended(call, Outcome::Completed);
        self.run_next(engine);
    }

    /// Runs the next requests of an engine's queue, unless their callers have left.
    pub(super) fn run_next(&mut self, engine: usize) {
        while let Some(next) = self.engines[engine].next() {
            if self.now >= self.deadline(next) || self.is_dead[self.calls[next].router] {
                self.ended(next, Outcome::Cancelled);
            } else {
                self.engines[engine].start();
                self.start(next);
            }
        }
    }

    /// Tells the router that its request has ended.
    pub(super) fn ended(&mut self, call: usize, outcome: Outcome) {
        let state = &mut self.calls[call];
        let Some(engine) = state.engine.take() else {
            return;
        };
        let router = state.router;
        let workspace = self.workspaces[state.workspace].clone();
        let had_first = state.first_at.is_some();
        let uncached = state.uncached;
        self.own[router][engine] = self.own[router][engine].saturating_sub(1);
        let name = self.names[engine].clone();
        let queue = &mut self.routers[router];
        if !had_first && let Some(server) = queue.pool_mut().server_mut(&name) {
            server.end_prefill(uncached);
        }
        // The standing of the server does not matter here.
        let _ = queue.ended(&name, &workspace, outcome, self.now);
        self.dequeue(router);
    }

    pub(super) fn dequeue(&mut self, router: usize) {
        if self.is_dead[router] {
            return;
        }
        let dequeued: Vec<Dequeued> = self.routers[router].dequeue(&self.fleets[router], self.now);
        for (attempt, result) in dequeued {
            let call = attempt.0 as usize;
            match result {
                Ok(placement) => self.send(call, &placement.server, placement.uncached),
                Err(refusal) => self.refuse(call, refusal.retry_at),
            }
        }
        self.schedule_wake(router);
    }

    pub(super) fn schedule_wake(&mut self, router: usize) {
        if let Some(at) = self.routers[router].next_wake() {
            let at = at.max(self.now + Duration::from_millis(1));
            if self.wakes[router].is_none_or(|scheduled| at < scheduled) {
                self.wakes[router] = Some(at);
                self.push(at, Event::Wake(router));
            }
        }
    }

    pub(super) fn wake(&mut self, router: usize) {
        if self.wakes[router] == Some(self.now) {
            self.wakes[router] = None;
            self.dequeue(router);
        }
    }

    pub(super) fn die(&mut self) {
        let router = 1 % self.routers.len();
        self.is_dead[router] = true;
        self.own[router].fill(0);
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.router != router {
                continue;
            }
            // Its connections break, so its engines stop running its requests.
            if let Some(engine) = state.engine
                && state.first_at.is_some()
            {
                self.calls[call].engine = None;
                self.engines[engine].end();
                self.run_next(engine);
            }
        }
    }
}
