//! Holders that compete, pause and lose responses, with engines that ignore fencing tokens.

use std::time::Duration;

use orders::{Fence, Fencing, Lease, Operation, Row, Settings, Stored, WriteResult};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{revision, time::Instant};

/// The probability of each fault, in percent.
#[derive(Clone, Copy, Debug)]
struct Faults {
    lost_response: u32,
    delayed_write: u32,
    failed_call: u32,
    pause: u32,
    /// The probability, in parts per thousand, that an operator requests or releases the lease in a step.
    toggle_permille: u32,
}

/// One process, with a clock of its own origin and rate.
struct Operator {
    lease: Lease,
    origin: u64,
    /// By how many parts per thousand the clock is fast.
    drift_permille: i64,
    paused_until: u64,
    call: Option<Operation>,
}

impl Operator {
    fn clock(&self, now: u64) -> Instant {
        let skew = i64::try_from(now).unwrap() * self.drift_permille / 1000;
        Instant::from_micros(self.origin + now.checked_add_signed(skew).unwrap())
    }
}

/// An order in flight to the engine.
struct InFlight {
    fence: Fence,
    operator: usize,
    arrives_at: u64,
}

struct World {
    now: u64,
    operators: Vec<Operator>,
    row: Option<Stored>,
    generation: u64,
    delayed: Vec<(u64, revision::Generation, Row)>,
    in_flight: Vec<InFlight>,
    orders: usize,
    takeovers: usize,
    overlap: Option<String>,
    faults: Faults,
    rng: ChaCha8Rng,
}

impl World {
    fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let operators = (0..count)
            .map(|index| {
                let host = format!("host-{index}").parse().unwrap();
                let mut lease = Lease::new(Settings::default(), host, rng.random());
                lease.acquire();
                Operator {
                    lease,
                    origin: rng.random_range(0..1_000_000_000),
                    drift_permille: rng.random_range(-5..=5),
                    paused_until: 0,
                    call: None,
                }
            })
            .collect();
        Self {
            now: 0,
            operators,
            row: None,
            generation: 0,
            delayed: Vec::new(),
            in_flight: Vec::new(),
            orders: 0,
            takeovers: 0,
            overlap: None,
            faults,
            rng,
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += self.rng.random_range(1_000..300_000);
            self.deliver_due();
            let index = self.rng.random_range(0..self.operators.len());
            if self.operators[index].paused_until > self.now {
                continue;
            }
            if self.chance(self.faults.pause) && self.chance(10) {
                let pause = self.rng.random_range(1_000_000..60_000_000);
                self.operators[index].paused_until = self.now + pause;
                continue;
            }
            self.toggle_wanted(index);
            self.step(index);
        }
    }

    fn step(&mut self, index: usize) {
        if let Some(operation) = self.operators[index].call.take() {
            return self.complete_call(index, operation);
        }
        let now = self.operators[index].clock(self.now);
        let operator = &mut self.operators[index];
        operator.call = operator.lease.next_operation(now);
        self.order(index);
    }

    fn toggle_wanted(&mut self, index: usize) {
        if !self.rng.random_ratio(self.faults.toggle_permille, 1000) {
            return;
        }
        if self.rng.random() {
            self.operators[index].lease.acquire();
        } else {
            self.operators[index].lease.release();
        }
    }

    /// Sends an order if it is permitted, and checks that no order of another operator is in flight.
    fn order(&mut self, index: usize) {
        let now = self.operators[index].clock(self.now);
        let Ok(permit) = self.operators[index].lease.permit(Fencing::Ignored, now) else {
            return;
        };
        let longest = Settings::default().order_timeout.as_micros();
        let transit = self
            .rng
            .random_range(1_000..u64::try_from(longest).unwrap());
        assert_eq!(permit.deadline, now + Settings::default().order_timeout);
        self.orders += 1;
        if let Some(other) = self.in_flight.iter().find(|order| order.operator != index) {
            let text = format!(
                "operator {index} sends an order with fence {} while an order of operator {} with fence {} is in flight",
                permit.fence, other.operator, other.fence
            );
            self.overlap.get_or_insert(text);
        }
        self.in_flight.push(InFlight {
            fence: permit.fence,
            operator: index,
            arrives_at: self.now + transit,
        });
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        self.in_flight.retain(|order| order.arrives_at > now);
        let is_due = |delayed: &(u64, revision::Generation, Row)| delayed.0 <= now;
        let due: Vec<_> = self
            .delayed
            .extract_if(.., |delayed| is_due(delayed))
            .collect();
        for (_, generation, row) in due {
            self.transact(generation, row);
        }
    }

    fn complete_call(&mut self, index: usize, operation: Operation) {
        let now = self.operators[index].clock(self.now);
        let failed = self.chance(self.faults.failed_call);
        match operation {
            Operation::Read if failed => self.operators[index].lease.handle_read_failure(now),
            Operation::Read => {
                let row = self.row.clone();
                self.operators[index].lease.handle_read(row, now);
            }
            Operation::Write { .. } if failed => {
                self.operators[index]
                    .lease
                    .handle_write(WriteResult::NotRun, now);
            }
            Operation::Write { generation, row } => {
                let result = self.write(generation, row);
                self.operators[index].lease.handle_write(result, now);
            }
        }
    }

    fn write(&mut self, generation: revision::Generation, row: Row) -> WriteResult {
        if self.chance(self.faults.delayed_write) {
            let arrives_at = self.now + self.rng.random_range(0..40_000_000);
            self.delayed.push((arrives_at, generation, row));
            return WriteResult::MayHaveRun;
        }
        let result = self.transact(generation, row);
        if self.chance(self.faults.lost_response) {
            return WriteResult::MayHaveRun;
        }
        result
    }

    fn transact(&mut self, generation: revision::Generation, row: Row) -> WriteResult {
        let current = self.row.as_ref();
        if current.map_or(revision::Generation(0), |stored| stored.generation) != generation {
            return WriteResult::Conflict;
        }
        let is_takeover = current.is_some_and(|stored| stored.row.nonce != row.nonce);
        self.takeovers += usize::from(is_takeover);
        self.generation += 1;
        let generation = revision::Generation(self.generation);
        self.row = Some(Stored { row, generation });
        WriteResult::Committed(generation)
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    let percent = || prop_oneof![Just(0u32), 1..40u32];
    (percent(), percent(), percent(), 0..100u32, 0..20u32).prop_map(
        |(lost_response, delayed_write, failed_call, pause, toggle_permille)| Faults {
            lost_response,
            delayed_write,
            failed_call,
            pause,
            toggle_permille,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Two operators order the same engine, which executes every order. One of them
    // is paused while it holds the lease, or its renewal is lost, and the other
    // takes over. If the orders of both overlapped, the engine would load the model
    // of one and then that of the other, and chats would reach the wrong model.
    #[test]
    fn orders_of_two_holders_never_overlap(
        seed: u64,
        operators in 2..5usize,
        faults in faults(),
    ) {
        let mut world = World::new(seed, operators, faults);
        world.run(3000);
        prop_assert_eq!(world.overlap, None);
    }

    // A holder fails permanently. Another operator has to get the lease, or the
    // models of the engines could not be changed any more.
    #[test]
    fn a_failed_holder_is_replaced(seed: u64) {
        let faults = Faults { lost_response: 10, delayed_write: 0, failed_call: 10, pause: 0, toggle_permille: 0 };
        let mut world = World::new(seed, 3, faults);
        world.run(400);
        let holder = world.row.as_ref().unwrap().row.holder.clone();
        let index: usize = holder.as_str().trim_start_matches("host-").parse().unwrap();
        world.operators[index].paused_until = u64::MAX;
        let (takeovers, orders) = (world.takeovers, world.orders);
        world.run(1000);
        prop_assert!(world.takeovers > takeovers && world.orders > orders);
        prop_assert_eq!(world.overlap, None);
    }
}

// Guards against vacuous properties: operators must often send orders and take over.
#[test]
fn the_simulation_issues_orders_and_takeovers() {
    let faults = Faults {
        lost_response: 10,
        delayed_write: 10,
        failed_call: 10,
        pause: 30,
        toggle_permille: 5,
    };
    let mut world = World::new(1, 3, faults);
    world.run(20_000);
    println!(
        "measure=leases orders={} takeovers={}",
        world.orders, world.takeovers
    );
    assert!(world.orders > 500, "{}", world.orders);
    assert!(world.takeovers > 20, "{}", world.takeovers);
    let settings = Settings::default();
    assert!(
        settings.order_timeout > Duration::ZERO
            && settings.duration > settings.renewal_interval * 2
    );
}
