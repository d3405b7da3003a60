//! Single faults, step by step.

use std::time::Duration;

use once::{
    Batch, Bucket, Claim, Decision, Key, Ledger, Operation, Row, Settings, State, Stored,
    WriteResult, sweep,
};
use units::{request, revision, time::Instant};
use verdict::{Code, Verdict};

use crate::world::{host, key, outcome};

const NOW: Instant = Instant::from_millis(5000);

fn ledger() -> Ledger {
    Ledger::new(Settings::default(), host(0))
}

fn claim(attempt: u64) -> Claim {
    Claim {
        key: key(0),
        attempt: request::Attempt(attempt),
        fingerprint: request::Fingerprint(7),
        deadline: NOW + Duration::from_secs(10),
        bucket: Bucket(100),
    }
}

fn next_write(ledger: &mut Ledger, now: Instant) -> Batch {
    match ledger.next_operation(now) {
        Some(Operation::Write(batch)) => batch,
        other => panic!("expected a write, got {other:?}"),
    }
}

fn next_read(ledger: &mut Ledger, now: Instant) -> Vec<Key> {
    match ledger.next_operation(now) {
        Some(Operation::Read(keys)) => keys,
        other => panic!("expected a read, got {other:?}"),
    }
}

fn stored(attempt: u64, bucket: u64, state: State) -> Stored {
    let row = Row {
        attempt: request::Attempt(attempt),
        router: host(1),
        fingerprint: request::Fingerprint(7),
        bucket: Bucket(bucket),
        state,
    };
    Stored {
        row,
        generation: revision::Generation(3),
    }
}

// The table is down. The caller has to be refused immediately, as not run and with
// an instant to retry at, while it can still book by other means.
#[test]
fn claims_are_refused_immediately_while_the_platform_is_down() {
    let mut ledger = ledger();
    ledger.claim(claim(1), NOW).unwrap();
    next_write(&mut ledger, NOW);
    let resolutions = ledger.handle_write(WriteResult::NotRun, NOW);
    let Decision::Refused(refusal) = &resolutions[0].decision else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert_eq!(refusal.code, Code::ClaimUnavailable);
    assert!(refusal.retry_at > Some(NOW));
    let again = ledger.claim(claim(2), NOW).unwrap_err();
    assert_eq!(
        (again.verdict, again.code),
        (Verdict::NotRun, Code::ClaimUnavailable)
    );
    let later = NOW + Duration::from_secs(2);
    assert!(ledger.claim(claim(3), later).is_ok());
}

// A caller repeats a key that is already in the table, because the response to its
// first request was lost or the router of that request crashed.
#[yare::parameterized(
    running = { State::Claimed, 100, Some(Verdict::MayHaveRun), true },
    claimed_long_ago = { State::Claimed, 90, Some(Verdict::MayHaveRun), false },
    unknown = { State::Unknown, 100, Some(Verdict::MayHaveRun), false },
    done = { State::Done(outcome(request::Attempt(9))), 100, None, false },
)]
fn a_repeated_key_gets_the_state_of_the_existing_claim(
    state: State,
    bucket: u64,
    verdict: Option<Verdict>,
    may_retry: bool,
) {
    let mut ledger = ledger();
    ledger.claim(claim(1), NOW).unwrap();
    next_write(&mut ledger, NOW);
    ledger.handle_write(WriteResult::Conflict(vec![key(0)]), NOW);
    next_read(&mut ledger, NOW);
    let resolutions = ledger.handle_read(Some(vec![Some(stored(9, bucket, state))]), NOW);
    match &resolutions[0].decision {
        Decision::Refused(refusal) => {
            assert_eq!(Some(refusal.verdict), verdict);
            assert_eq!(refusal.retry_at.is_some(), may_retry);
        }
        Decision::Recorded(recorded) => {
            assert_eq!(*recorded, outcome(request::Attempt(9)));
            assert_eq!(verdict, None);
        }
        Decision::Granted { .. } => panic!("the repeat must not be granted"),
    }
}

// The response to the write of the claim is lost, and the row names this router's
// attempt. If the claim were refused, the caller could not book although no other
// attempt holds the key.
#[test]
fn a_lost_write_response_is_resolved_by_the_attempt() {
    let mut ledger = ledger();
    ledger.claim(claim(1), NOW).unwrap();
    next_write(&mut ledger, NOW);
    assert!(ledger.handle_write(WriteResult::MayHaveRun, NOW).is_empty());
    next_read(&mut ledger, NOW);
    let resolutions = ledger.handle_read(Some(vec![Some(stored(1, 100, State::Claimed))]), NOW);
    assert!(matches!(resolutions[0].decision, Decision::Granted { .. }));
    assert!(ledger.start(request::Attempt(1), NOW).is_ok());
    assert!(ledger.start(request::Attempt(1), NOW).is_err());
}

// A router is paused between the grant and the send. By then an operator may have
// resolved the claim, and another router may have sent the booking.
#[test]
fn a_paused_router_does_not_send_after_the_send_timeout() {
    let mut ledger = ledger();
    ledger.claim(claim(1), NOW).unwrap();
    next_write(&mut ledger, NOW);
    ledger.handle_write(WriteResult::Committed(vec![revision::Generation(1)]), NOW);
    let late = NOW + Settings::default().send_timeout;
    let refusal = ledger.start(request::Attempt(1), late).unwrap_err();
    assert_eq!(refusal.verdict, Verdict::NotRun);
    let batch = next_write(&mut ledger, late);
    assert_eq!(batch.puts[0].1.state, State::Released);
}

// A key is reused with another body. The recorded outcome belongs to another request.
#[test]
fn a_key_reused_for_another_request_is_refused() {
    let mut ledger = ledger();
    let other = Claim {
        fingerprint: request::Fingerprint(8),
        ..claim(1)
    };
    ledger.claim(other, NOW).unwrap();
    next_write(&mut ledger, NOW);
    ledger.handle_write(WriteResult::Conflict(vec![key(0)]), NOW);
    next_read(&mut ledger, NOW);
    let row = stored(9, 100, State::Done(outcome(request::Attempt(9))));
    let resolutions = ledger.handle_read(Some(vec![Some(row)]), NOW);
    let Decision::Refused(refusal) = &resolutions[0].decision else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.code, Code::Malformed);
}

// Outcomes that are never deleted fill the table; an outcome that is deleted too
// early lets a late repeat of its request run again.
#[test]
fn outcomes_are_deleted_after_the_retention_period() {
    let claim = key(0);
    let index = [claim.index(Bucket(10)), claim.index(Bucket(90))];
    let expired_rows = sweep::expired_rows(index.iter().map(String::as_str), Bucket(100), 72);
    assert_eq!(expired_rows, [claim.to_string(), index[0].clone()]);
    assert!(sweep::expired_rows(["once-outcome/x/y/z", "other"], Bucket(100), 72).is_empty());
    let rows = index
        .iter()
        .map(|key| (key.as_str(), revision::Generation(6)));
    let plan = sweep::plan(rows, Bucket(100), 72);
    assert_eq!(plan.checks, [(index[0].clone(), revision::Generation(6))]);
    assert_eq!(plan.deletes, expired_rows);
}
