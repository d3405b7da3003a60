//! Criteria of a passed run, and reconciliation of the callers' outcomes with the ledgers.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use load::{
    outcome::{Outcome, Refusal, Sample, Usage},
    report::{Kind, Record, Report},
};
use yare::parameterized;

fn served() -> Outcome {
    Outcome::Served(Usage::default())
}

fn record(kind: Kind, outcome: Outcome) -> Record {
    Record {
        kind,
        name: String::from("b"),
        sample: Sample {
            id: String::from("1"),
            outcome,
            started: Instant::now(),
            first_token: None,
            total: Duration::ZERO,
            sends: 1,
        },
    }
}

fn refused(verdict: &str) -> Outcome {
    Outcome::Refused(Refusal {
        code: String::from("busy"),
        verdict: String::from(verdict),
        retry_after: None,
    })
}

// Every chat is refused immediately, for example because a limit was computed as zero. No request
// is lost, so a check for lost requests alone would let the run pass.
#[parameterized(
    all_refused = { &[Kind::Booking], &[Kind::Chat, Kind::Booking], false },
    some_refused = { &[Kind::Chat], &[Kind::Chat], true },
    nothing_sent = { &[], &[], true },
)]
fn run_with_an_unserved_kind_does_not_pass(
    was_served: &[Kind],
    was_refused: &[Kind],
    has_passed: bool,
) {
    let mut report = Report::new(Instant::now(), &[]);
    for kind in was_served {
        report.add(record(*kind, served()));
    }
    for kind in was_refused {
        report.add(record(*kind, refused("not_run")));
    }
    assert_eq!(report.has_passed(), has_passed);
}

// Parameters: the outcomes that the callers of one booking received, the number of times it ran,
// and the expected counts (duplicated, wrong).
#[parameterized(
    confirmed = { vec![served()], 1, (0, 0) },
    confirmed_to_both = { vec![served(), served()], 1, (0, 0) },
    ran_twice = { vec![served()], 2, (1, 0) },
    ran_twice_unconfirmed = { vec![refused("may_have_run")], 2, (1, 0) },
    confirmed_but_never_ran = { vec![served()], 0, (0, 1) },
    may_have_run_and_ran = { vec![refused("may_have_run")], 1, (0, 0) },
    may_have_run_and_did_not = { vec![refused("may_have_run")], 0, (0, 0) },
    refused_as_not_run_but_ran = { vec![refused("not_run")], 1, (0, 1) },
    one_copy_ran = { vec![refused("not_run"), served()], 1, (0, 0) },
)]
fn bookings_are_reconciled_with_the_ledger(
    outcomes: Vec<Outcome>,
    runs: u64,
    expected: (u64, u64),
) {
    let mut report = Report::new(Instant::now(), &[]);
    for outcome in outcomes {
        report.add(record(Kind::Booking, outcome));
    }
    report.reconcile(&BTreeMap::from([(String::from("b"), runs)]));
    assert_eq!((report.counts.duplicated, report.counts.wrong), expected);
}
