//! Compares ways to share a budget among slow callers, in virtual time.
//!
//! Callers with responses of 1 MB come first, then some with responses of a chat's size. All read
//! 1 KB per second. A server delivers 64 KB in each step of 100 ms and cuts a response off that is
//! not read for 2 s. Run with `cargo run -p buffers --example policies`.

use std::collections::VecDeque;

use buffers::{Budget, Charge, Limits, Share};

const STEP_MS: usize = 100;
const STEPS: usize = 600;
const PIECE: usize = 16 * 1024;
const PIECES_PER_STEP: usize = 4;
const CUT_AFTER_STEPS: usize = 2000 / STEP_MS;
const LIMITS: Limits = Limits {
    bytes: 20 * 1024 * 1024,
    requests: 0,
    // Half of the budget, divided by the connections of callers.
    floor: 33 * 1024,
    responses: 317,
};
const LARGE: usize = 1024 * 1024;
const SMALL: usize = 32 * 1024;

/// Who may take a piece.
#[derive(Clone, Copy, Debug)]
enum Policy {
    /// Any response, while the budget has room.
    First,
    /// Each response up to the same part of the budget, by the number of connections.
    Equal,
    /// A response that holds no more than is left free.
    Free,
}

struct Response {
    share: Share,
    length: usize,
    received: usize,
    held: VecDeque<Charge>,
    unread_steps: usize,
    is_cut: bool,
}

impl Response {
    fn may_take(&self, policy: Policy, total: usize) -> bool {
        let taken: usize = self.held.iter().map(Charge::bytes).sum();
        match policy {
            _ if taken + PIECE <= LIMITS.floor => true,
            Policy::First => total + PIECE <= LIMITS.bytes,
            Policy::Equal => taken + PIECE <= LIMITS.bytes / LIMITS.responses,
            Policy::Free => self.share.take(PIECE).is_ok(),
        }
    }

    fn read(&mut self, policy: Policy, budget: &Budget) {
        if self.is_cut || self.received >= self.length {
            return;
        }
        self.unread_steps += 1;
        for _ in 0..PIECES_PER_STEP {
            if self.received >= self.length || !self.may_take(policy, budget.usage().held) {
                break;
            }
            // Other policies only count here: the budget denies them nothing.
            let mut charge = match policy {
                Policy::Free => match self.share.take(PIECE) {
                    Ok(charge) => charge,
                    Err(_) => break,
                },
                _ => budget.hold_request(PIECE),
            };
            charge.settle(PIECE);
            self.held.push_back(charge);
            self.received += PIECE;
            self.unread_steps = 0;
        }
        self.is_cut = self.unread_steps > CUT_AFTER_STEPS;
    }
}

fn play(policy: Policy, large: usize, small: usize) {
    let budget = Budget::new(LIMITS);
    let mut responses: Vec<Response> = Vec::new();
    let start = |length| Response {
        share: budget.open(),
        length,
        received: 0,
        held: VecDeque::new(),
        unread_steps: 0,
        is_cut: false,
    };
    responses.extend((0..large).map(|_| start(LARGE)));
    for step in 0..STEPS {
        // The others begin over 10 s, from the second one on.
        if step >= 10 && responses.len() < large + small {
            responses.extend((0..small.div_ceil(100)).map(|_| start(SMALL)));
        }
        for response in &mut responses {
            response.read(policy, &budget);
            // A caller that reads 1 KB per second takes a piece in 16 s.
            if step % (16_000 / STEP_MS) == 0 {
                response.held.pop_front();
            }
        }
    }
    let cut = |length| {
        let of_length = responses
            .iter()
            .filter(|response| response.length == length);
        of_length.filter(|response| response.is_cut).count()
    };
    println!(
        "{policy:?}: {large} large, {small} small: {} large and {} small cut off, {} bytes held at the most",
        cut(LARGE),
        cut(SMALL),
        budget.usage().most
    );
}

fn main() {
    for (large, small) in [(10, 100), (40, 200), (100, 200)] {
        for policy in [Policy::First, Policy::Equal, Policy::Free] {
            play(policy, large, small);
        }
    }
}
