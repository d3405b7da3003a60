//! Single faults, step by step.

use std::time::Duration;

use orders::{Denial, Fence, Fencing, Lease, Operation, Row, Settings, Stored, WriteResult};
use units::{revision::Generation, time::Instant};

const START: Instant = Instant::from_millis(1000);

fn lease() -> Lease {
    let mut lease = Lease::new(Settings::default(), "host-1".parse().unwrap(), 11);
    lease.acquire();
    lease
}

fn after(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn lease_of_other_host(released: bool) -> Stored {
    let row = Row {
        holder: "host-2".parse().unwrap(),
        nonce: 22,
        fence: Fence(4),
        renewals: 9,
        released,
    };
    Stored {
        row,
        generation: Generation(7),
    }
}

fn next_write(lease: &mut Lease, now: Instant) -> Row {
    let Some(Operation::Write { row, .. }) = lease.next_operation(now) else {
        panic!("expected a write");
    };
    row
}

// The holder of the lease has crashed. The next one must not send orders before the
// lease has expired and, where the engine ignores fencing tokens, before the last
// order of the crashed holder can no longer arrive.
#[test]
fn a_takeover_waits_for_expiry_and_for_orders_in_flight() {
    let settings = Settings::default();
    let mut lease = lease();
    assert_eq!(lease.next_operation(START), Some(Operation::Read));
    lease.handle_read(Some(lease_of_other_host(false)), START);
    assert_eq!(lease.permit(Fencing::Checked, START), Err(Denial::NotHeld));
    let expired_at = START + settings.duration + settings.clock_margin;
    let row = next_write(&mut lease, expired_at);
    assert_eq!(row.fence, Fence(5));
    lease.handle_write(WriteResult::Committed(Generation(8)), expired_at);
    assert_eq!(
        lease.permit(Fencing::Checked, expired_at).unwrap().fence,
        Fence(5)
    );
    let predecessor_done_at = expired_at + settings.order_timeout + settings.clock_margin;
    assert_eq!(
        lease.permit(Fencing::Ignored, expired_at),
        Err(Denial::Wait(predecessor_done_at))
    );
}

// The previous holder released the lease after its last order had taken effect, so
// the next one need not wait. Otherwise every change of holder would take half a
// minute.
#[test]
fn a_released_lease_is_acquired_immediately() {
    let mut lease = lease();
    lease.next_operation(START);
    lease.handle_read(Some(lease_of_other_host(true)), START);
    next_write(&mut lease, START);
    lease.handle_write(WriteResult::Committed(Generation(8)), START);
    assert!(lease.permit(Fencing::Ignored, START).is_ok());
}

// The response to the write of the lease is lost, and the row holds the nonce of
// this process. The lease counts from the write, not from the read of the row.
#[test]
fn a_lost_write_response_is_resolved_by_the_nonce() {
    let mut lease = lease();
    lease.next_operation(START);
    lease.handle_read(None, START);
    let row = next_write(&mut lease, START);
    lease.handle_write(WriteResult::MayHaveRun, after(2000));
    assert_eq!(
        lease.permit(Fencing::Checked, after(2000)),
        Err(Denial::NotHeld)
    );
    assert_eq!(lease.next_operation(after(2000)), Some(Operation::Read));
    let stored = Stored {
        row,
        generation: Generation(1),
    };
    lease.handle_read(Some(stored), after(4000));
    assert!(lease.permit(Fencing::Ignored, after(4000)).is_ok());
    assert!(lease.permit(Fencing::Ignored, after(9999)).is_ok());
    assert_eq!(
        lease.permit(Fencing::Ignored, after(10_000)),
        Err(Denial::NotHeld)
    );
}

// A write of the lease is delayed, is repeated, and then the first one takes effect.
// Other processes count the lease from then on; a holder that counts from its second
// write could send orders after another process has taken over.
#[test]
fn a_delayed_write_holds_the_lease_from_its_first_request() {
    let mut lease = lease();
    lease.next_operation(START);
    lease.handle_read(None, START);
    let row = next_write(&mut lease, START);
    lease.handle_write(WriteResult::MayHaveRun, after(1000));
    lease.next_operation(after(1000));
    lease.handle_read(None, after(1000));
    assert_eq!(next_write(&mut lease, after(3000)), row);
    lease.handle_write(WriteResult::Conflict, after(3000));
    lease.next_operation(after(3000));
    let stored = Stored {
        row,
        generation: Generation(1),
    };
    lease.handle_read(Some(stored), after(3000));
    assert!(lease.permit(Fencing::Ignored, after(9999)).is_ok());
    assert_eq!(
        lease.permit(Fencing::Ignored, after(10_000)),
        Err(Denial::NotHeld)
    );
}

// A holder is paused for longer than its lease and resumes. It must not send its
// next order, since another process may have taken over.
#[test]
fn a_paused_holder_gets_no_permit() {
    let mut lease = lease();
    lease.next_operation(START);
    lease.handle_read(None, START);
    next_write(&mut lease, START);
    lease.handle_write(WriteResult::Committed(Generation(1)), START);
    assert!(lease.permit(Fencing::Ignored, after(100)).is_ok());
    assert_eq!(
        lease.permit(Fencing::Ignored, after(60_000)),
        Err(Denial::NotHeld)
    );
}

// A holder releases the lease while its last order is in flight. If the row were
// marked as released immediately, the next holder's orders would overlap with it.
#[test]
fn a_lease_is_released_after_the_last_order_completed() {
    let settings = Settings::default();
    let mut lease = lease();
    lease.next_operation(START);
    lease.handle_read(None, START);
    next_write(&mut lease, START);
    lease.handle_write(WriteResult::Committed(Generation(1)), START);
    lease.permit(Fencing::Ignored, after(500)).unwrap();
    lease.release();
    assert_eq!(
        lease.permit(Fencing::Ignored, after(500)),
        Err(Denial::NotHeld)
    );
    assert_eq!(lease.next_operation(after(500)), None);
    let orders_done_at = after(500) + settings.order_timeout;
    assert_eq!(lease.wake_at(), orders_done_at);
    assert!(next_write(&mut lease, orders_done_at).released);
}
