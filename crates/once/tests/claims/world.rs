//! Simulation of routers, a table and a backend server in virtual time, with faults.

use std::{collections::BTreeMap, time::Duration};

use once::{
    Batch, Bucket, Claim, Decision, Key, Ledger, Operation, Outcome, Settings, Stored, WriteResult,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{request, revision, time::Instant};
use verdict::Verdict;

/// The probability of each fault, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_response: u32,
    pub delayed_write: u32,
    pub failed_write: u32,
    pub lost_read: u32,
    pub crash: u32,
    pub long_pause: u32,
}

pub struct Router {
    pub ledger: Ledger,
    pub incarnation: u32,
    granted: Vec<request::Attempt>,
    sent: Vec<request::Attempt>,
    busy: bool,
}

struct Call {
    router: usize,
    incarnation: u32,
    operation: Operation,
}

pub struct World {
    pub now: Instant,
    pub routers: Vec<Router>,
    pub rows: BTreeMap<Key, Stored>,
    pub index: Vec<String>,
    pub writes: u32,
    /// The attempts that ran at the backend server, by key.
    pub runs: BTreeMap<Key, Vec<request::Attempt>>,
    /// The decisions that callers got.
    pub decisions: Vec<(request::Attempt, Key, Decision)>,
    /// How long each granted claim waited for its decision.
    pub waits: Vec<Duration>,
    submitted: BTreeMap<request::Attempt, Instant>,
    keys: BTreeMap<request::Attempt, Key>,
    calls: Vec<Call>,
    delayed: Vec<Batch>,
    generation: u64,
    attempts: u64,
    faults: Faults,
    pub rng: ChaCha8Rng,
}

impl World {
    pub fn new(seed: u64, routers: usize, faults: Faults) -> Self {
        let mut world = Self {
            now: Instant::from_millis(1000),
            routers: Vec::new(),
            rows: BTreeMap::new(),
            index: Vec::new(),
            writes: 0,
            runs: BTreeMap::new(),
            decisions: Vec::new(),
            waits: Vec::new(),
            submitted: BTreeMap::new(),
            keys: BTreeMap::new(),
            calls: Vec::new(),
            delayed: Vec::new(),
            generation: 0,
            attempts: 0,
            faults,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..routers {
            let ledger = Ledger::new(Settings::default(), host(index));
            world.routers.push(Router {
                ledger,
                incarnation: 0,
                granted: Vec::new(),
                sent: Vec::new(),
                busy: false,
            });
        }
        world
    }

    /// Runs one random step of a router, the table, the backend server or the clock.
    pub fn step(&mut self, keys: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        match self.rng.random_range(0..100) {
            0..15 => {
                let key = key(self.rng.random_range(0..keys));
                self.submit(router, key);
            }
            15..40 => self.poll(router),
            40..65 => self.complete_call(),
            65..70 => self.deliver_delayed_write(),
            70..82 => self.send(router),
            82..92 => self.answer(router),
            92..94 => self.maybe_crash(router),
            _ => self.advance_time(),
        }
    }

    /// Runs without faults for long enough that no operation is left.
    pub fn run_until_idle(&mut self) {
        self.faults = Faults::default();
        for _ in 0..400 {
            self.now = self.now + Duration::from_millis(100);
            while !self.delayed.is_empty() {
                self.deliver_delayed_write();
            }
            for router in 0..self.routers.len() {
                self.poll(router);
            }
            while !self.calls.is_empty() {
                self.complete_call();
            }
            for router in 0..self.routers.len() {
                self.send(router);
                self.answer(router);
            }
        }
    }

    pub fn submit(&mut self, router: usize, key: Key) -> request::Attempt {
        self.attempts += 1;
        let attempt = request::Attempt(self.rng.random::<u64>() << 16 | self.attempts);
        self.keys.insert(attempt, key.clone());
        self.submitted.insert(attempt, self.now);
        let claim = Claim {
            fingerprint: request::Fingerprint(7),
            deadline: self.now + Duration::from_secs(10),
            bucket: self.bucket(),
            attempt,
            key: key.clone(),
        };
        if let Err(refusal) = self.routers[router].ledger.claim(claim, self.now) {
            self.decisions
                .push((attempt, key, Decision::Refused(refusal)));
        }
        attempt
    }

    /// The current bucket, of one minute so that a run spans several.
    pub fn bucket(&self) -> Bucket {
        Bucket(self.now.as_micros() / 60_000_000)
    }

    pub fn poll(&mut self, router: usize) {
        let now = self.now;
        let resolutions = self.routers[router].ledger.expire(now);
        self.record_resolutions(router, resolutions);
        let target = &mut self.routers[router];
        if let Some(operation) = target.ledger.next_operation(now) {
            assert!(!target.busy, "only one operation may be in flight");
            target.busy = true;
            let incarnation = target.incarnation;
            self.calls.push(Call {
                router,
                incarnation,
                operation,
            });
        }
    }

    /// Completes a random pending call to the table, possibly with a fault.
    pub fn complete_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.calls.len());
        let call = self.calls.swap_remove(index);
        let alive = self.routers[call.router].incarnation == call.incarnation;
        if alive {
            self.routers[call.router].busy = false;
        }
        match call.operation {
            Operation::Write(batch) => {
                let result = self.write(batch);
                if alive {
                    let resolutions = self.routers[call.router]
                        .ledger
                        .handle_write(result, self.now);
                    self.record_resolutions(call.router, resolutions);
                }
            }
            Operation::Read(keys) => {
                let lost = self.chance(self.faults.lost_read);
                let rows = keys.iter().map(|key| self.rows.get(key).cloned()).collect();
                if alive {
                    let rows = (!lost).then_some(rows);
                    let resolutions = self.routers[call.router].ledger.handle_read(rows, self.now);
                    self.record_resolutions(call.router, resolutions);
                }
            }
        }
    }

    fn write(&mut self, batch: Batch) -> WriteResult {
        if self.chance(self.faults.failed_write) {
            return WriteResult::NotRun;
        }
        if self.chance(self.faults.delayed_write) {
            self.delayed.push(batch);
            return WriteResult::MayHaveRun;
        }
        let result = self.transact(&batch);
        if self.chance(self.faults.lost_response) {
            return WriteResult::MayHaveRun;
        }
        result
    }

    fn transact(&mut self, batch: &Batch) -> WriteResult {
        self.writes += 1;
        let current = |key: &Key| {
            let row = self.rows.get(key);
            row.map_or(revision::Generation(0), |stored| stored.generation)
        };
        let conflicts = batch.checks.iter();
        let conflicts = conflicts.filter(|(key, generation)| current(key) != *generation);
        let conflicts: Vec<Key> = conflicts.map(|(key, _)| key.clone()).collect();
        if !conflicts.is_empty() {
            return WriteResult::Conflict(conflicts);
        }
        self.index.extend(batch.index_keys.iter().cloned());
        let generations = batch.puts.iter();
        let generations = generations.map(|(key, row)| {
            self.generation += 1;
            let stored = Stored {
                row: row.clone(),
                generation: revision::Generation(self.generation),
            };
            self.rows.insert(key.clone(), stored);
            revision::Generation(self.generation)
        });
        WriteResult::Committed(generations.collect())
    }

    /// Applies a random delayed write to the table.
    fn deliver_delayed_write(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.delayed.len());
        let batch = self.delayed.swap_remove(index);
        self.transact(&batch);
    }

    fn record_resolutions(
        &mut self,
        router: usize,
        resolutions: impl IntoIterator<Item = once::Resolution>,
    ) {
        for resolution in resolutions {
            if matches!(resolution.decision, Decision::Granted { .. }) {
                self.routers[router].granted.push(resolution.attempt);
                self.waits
                    .push(self.now.since(self.submitted[&resolution.attempt]));
            } else {
                let key = self.keys[&resolution.attempt].clone();
                self.decisions
                    .push((resolution.attempt, key, resolution.decision));
            }
        }
    }

    /// Sends a granted request of a router.
    fn send(&mut self, router: usize) {
        let target = &mut self.routers[router];
        let Some(attempt) = target.granted.pop() else {
            return;
        };
        let key = self.keys[&attempt].clone();
        match target.ledger.start(attempt, self.now) {
            Ok(()) => {
                target.sent.push(attempt);
                self.runs.entry(key).or_default().push(attempt);
            }
            Err(refusal) => self
                .decisions
                .push((attempt, key, Decision::Refused(refusal))),
        }
    }

    /// Finishes a sent request: the backend server responds or the connection breaks.
    fn answer(&mut self, router: usize) {
        let broken = self.rng.random_ratio(1, 4);
        let target = &mut self.routers[router];
        let Some(attempt) = target.sent.pop() else {
            return;
        };
        let outcome = (!broken).then(|| outcome(attempt));
        target.ledger.finish(attempt, outcome);
    }

    fn maybe_crash(&mut self, router: usize) {
        if !self.chance(self.faults.crash) {
            return;
        }
        let target = &mut self.routers[router];
        target.ledger = Ledger::new(Settings::default(), host(router));
        target.incarnation += 1;
        target.granted.clear();
        target.sent.clear();
        target.busy = false;
    }

    fn advance_time(&mut self) {
        let pause = if self.chance(self.faults.long_pause) {
            60_000
        } else {
            300
        };
        let passed = self.rng.random_range(0..pause);
        self.now = self.now + Duration::from_millis(passed);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    /// The attempts that were refused as not run.
    pub fn refused_as_not_run(&self) -> impl Iterator<Item = (&request::Attempt, &Key)> {
        self.decisions
            .iter()
            .filter_map(|(attempt, key, answer)| match answer {
                Decision::Refused(refusal) if refusal.verdict == Verdict::NotRun => {
                    Some((attempt, key))
                }
                _ => None,
            })
    }
}

/// The outcome of `attempt`, with the attempt as its body.
pub fn outcome(attempt: request::Attempt) -> Outcome {
    Outcome {
        status: 200,
        content_type: None,
        body: Some(attempt.to_string()),
    }
}

pub fn key(index: usize) -> Key {
    Key::new(
        &"lankaclean".parse().unwrap(),
        "book",
        &format!("key-{index}"),
    )
}

pub fn host(index: usize) -> units::host::Id {
    format!("router-{index}").parse().unwrap()
}
