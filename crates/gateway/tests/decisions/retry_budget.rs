//! Shares in the retry budget of a service.

use std::time::Duration;

use gateway::retry_budget::{Allowance, Budget};
use yare::parameterized;

use crate::world::START;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    burst: 52.0,
    window: Duration::from_secs(10),
};

/// Every server fails every request, and all routers retry as much as they may. Without
/// a fleet-wide limit, the retries would keep the servers overloaded.
#[parameterized(one = { 1 }, six = { 6 }, eighty_five = { 85 })]
fn retries_of_all_routers_stay_within_the_allowance(routers: usize) {
    let mut budgets: Vec<_> = (0..routers)
        .map(|_| Budget::new(ALLOWANCE, routers, START))
        .collect();
    // First attempts and retries, by second.
    let mut history: Vec<(u32, u32)> = Vec::new();
    for second in 0..40 {
        let now = START + Duration::from_secs(second);
        let (mut first, mut retried) = (0, 0);
        for budget in &mut budgets {
            for _ in 0..10 {
                budget.deposit(routers);
                first += 1;
                retried += u32::from(budget.withdraw(routers, now));
            }
        }
        history.push((first, retried));
    }
    for window in history.windows(10) {
        let first: u32 = window.iter().map(|(first, _)| first).sum();
        let retried: u32 = window.iter().map(|(_, retried)| retried).sum();
        let limit = ALLOWANCE.ratio * f64::from(first) + ALLOWANCE.burst;
        assert!(
            f64::from(retried) <= limit,
            "{retried} retries, limit {limit}"
        );
        assert!(
            retried > first / 8,
            "only {retried} retries of {first} first attempts"
        );
    }
}

/// Guards against retries that find no place and use the budget up all the same.
#[test]
fn retries_that_were_not_sent_are_given_back() {
    let mut budget = Budget::new(ALLOWANCE, 1, START);
    for _ in 0..1000 {
        assert!(budget.withdraw(1, START));
        budget.refund();
    }
}
