//! Tests of who may hold bytes when not all can.

use buffers::{Budget, Charge, Limits, Share, Usage};
use proptest::{prelude::*, test_runner::Config};
use yare::parameterized;

const FLOOR: usize = 10;

fn budget(bytes: usize) -> Budget {
    Budget::new(Limits {
        bytes,
        requests: 0,
        floor: FLOOR,
        responses: 2,
    })
}

/// Takes steps of `FLOOR` bytes until one is denied.
fn fill(share: &Share) -> Vec<Charge> {
    std::iter::from_fn(|| {
        let mut charge = share.take(FLOOR).ok()?;
        charge.settle(FLOOR);
        Some(charge)
    })
    .collect()
}

/// Guards against one response that takes the whole budget, so that the next slow caller's response
/// is cut off.
#[test]
fn a_response_leaves_as_much_free_as_it_holds() {
    let budget = budget(1000);
    let first = budget.open();
    let held = fill(&first);
    assert!(!held.is_empty());
    let limits = budget.limits();
    let free = limits.bytes - budget.usage().held;
    assert!(free + 2 * FLOOR >= first.taken(), "{free} are free");
    assert!(!fill(&budget.open()).is_empty());
}

/// Guards against a response that is denied bytes while one that holds more gets them.
#[test]
fn the_response_that_holds_the_most_stops_first() {
    let budget = budget(1000);
    let (large, small) = (budget.open(), budget.open());
    let large_held = fill(&large);
    let _small_held = small.take(5 * FLOOR).expect("room for a small response");
    assert!(large.take(FLOOR).is_err());
    assert!(small.take(FLOOR).is_ok());
    drop(large_held);
    assert!(large.take(FLOOR).is_ok());
}

/// Guards against responses that come to a stop for good because others have spent the budget.
#[parameterized(
    all_floors = { 100, 9 },
    more_responses_than_floors = { 30, 8 },
    no_budget_at_all = { 0, 3 },
)]
fn each_response_may_hold_its_floor(bytes: usize, others: usize) {
    let budget = budget(bytes);
    let others: Vec<Share> = (0..others).map(|_| budget.open()).collect();
    let _held: Vec<_> = others.iter().map(fill).collect();
    let share = budget.open();
    let charge = share.take(FLOOR);
    assert!(charge.is_ok());
    assert!(share.take(1).is_err());
    drop(charge);
    assert!(share.take(FLOOR).is_ok());
}

/// Guards against responses that take the room of request bodies, so that requests are refused.
#[test]
fn responses_leave_the_part_of_requests_free() {
    let budget = Budget::new(Limits {
        bytes: 1000,
        requests: 900,
        floor: FLOOR,
        responses: 9,
    });
    let shares: Vec<Share> = (0..9).map(|_| budget.open()).collect();
    let _held: Vec<_> = shares.iter().map(fill).collect();
    assert!(budget.usage().held <= 100);
    let request = budget.hold_request(900);
    assert!(budget.usage().held <= 1000);
    drop(request);
    assert!(budget.usage().held <= 100);
}

/// Guards against a second line in the log, and a second count, for the same response.
#[test]
fn a_response_yields_once() {
    let budget = budget(100);
    let share = budget.open();
    let _held = fill(&share);
    assert!(share.take(FLOOR).is_err_and(|denied| !denied.is_first));
    assert_eq!(budget.usage().yielded, 1);
}

/// Guards against bytes that count as held before they have been read.
#[test]
fn bytes_that_are_set_aside_are_not_held() {
    let budget = budget(100);
    let share = budget.open();
    let mut charge = share.take(FLOOR).expect("the floor");
    assert_eq!(budget.usage().held, 0);
    charge.settle(3);
    assert_eq!((budget.usage().held, share.taken()), (3, 3));
}

/// What happens to the responses of a run. Numbers choose a response or a charge.
#[derive(Clone, Debug)]
enum Step {
    Open,
    Take(usize, usize),
    Settle(usize, usize),
    Drop(usize),
    Leave(usize),
    Request(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Open),
        8 => (0..32_usize, 0..60_usize).prop_map(|(share, bytes)| Step::Take(share, bytes)),
        4 => (0..64_usize, 0..60_usize).prop_map(|(charge, bytes)| Step::Settle(charge, bytes)),
        4 => (0..64_usize).prop_map(Step::Drop),
        1 => (0..32_usize).prop_map(Step::Leave),
        1 => (0..40_usize).prop_map(Step::Request),
    ]
}

/// The budget of a run and the most responses in it, whose floors fit the part of responses.
const LIMITS: Limits = Limits {
    bytes: 1000,
    requests: 200,
    floor: FLOOR,
    responses: MAX_SHARES,
};
const MAX_SHARES: usize = 32;

/// What is held by a run.
struct Run {
    budget: Budget,
    shares: Vec<Share>,
    charges: Vec<Charge>,
    requests: Vec<Charge>,
}

impl Run {
    fn play(&mut self, step: &Step) {
        let requests: usize = self.requests.iter().map(Charge::bytes).sum();
        match *step {
            // Charges keep the responses that were left open.
            Step::Open if self.budget.usage().open < MAX_SHARES => {
                self.shares.push(self.budget.open());
            }
            Step::Take(share, bytes) if !self.shares.is_empty() => self.take(share, bytes),
            Step::Settle(charge, bytes) if !self.charges.is_empty() => {
                let index = charge % self.charges.len();
                self.charges[index].settle(bytes);
            }
            Step::Drop(charge) if !self.charges.is_empty() => {
                drop(self.charges.swap_remove(charge % self.charges.len()));
            }
            Step::Leave(share) if !self.shares.is_empty() => {
                drop(self.shares.swap_remove(share % self.shares.len()));
            }
            Step::Request(bytes) if requests + bytes <= LIMITS.requests => {
                self.requests.push(self.budget.hold_request(bytes));
            }
            Step::Request(_) => self.requests.clear(),
            _ => {}
        }
    }

    /// Takes bytes. Then no response that holds less may be denied as many.
    fn take(&mut self, share: usize, bytes: usize) {
        let index = share % self.shares.len();
        let Ok(charge) = self.shares[index].take(bytes) else {
            return;
        };
        drop(charge);
        let taken = self.shares[index].taken();
        for share in &self.shares {
            assert!(share.taken() >= taken || share.take(bytes).is_ok());
        }
        self.charges.extend(self.shares[index].take(bytes));
    }
}

/// The most that a single response may take.
fn most(budget: &Budget) -> usize {
    let share = budget.open();
    let steps = 0..=LIMITS.bytes;
    steps
        .rev()
        .find(|bytes| share.take(*bytes).is_ok())
        .unwrap_or(0)
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against bytes that are never given back, and against more than the limit.
    #[test]
    fn held_bytes_stay_within_the_limit_and_return(steps in prop::collection::vec(step(), 1..300)) {
        let budget = Budget::new(LIMITS);
        let mut run = Run {
            budget: budget.clone(),
            shares: Vec::new(),
            charges: Vec::new(),
            requests: Vec::new(),
        };
        for step in &steps {
            run.play(step);
            let usage = budget.usage();
            prop_assert!(usage.held <= LIMITS.bytes);
            let set_aside: usize = run.charges.iter().chain(&run.requests).map(Charge::bytes).sum();
            prop_assert!(usage.held <= set_aside && set_aside <= LIMITS.bytes);
        }
        drop(run);
        let left = budget.usage();
        let none = Usage { held: 0, open: 0, ..left };
        prop_assert_eq!(left, none);
        // All of it can be taken again.
        prop_assert_eq!(most(&budget), most(&Budget::new(LIMITS)));
    }
}
