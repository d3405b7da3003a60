//! The state machine of a lease in one process.

use units::{host, revision, time};

use crate::{
    settings::Settings,
    table::{Fence, Operation, Row, Stored, WriteResult},
};

/// Whether an engine refuses orders with an outdated fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// The engine refuses them.
    Checked,
    /// The engine executes every order, whatever its fencing token.
    Ignored,
}

/// The right to send one order now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fencing token to send with the order.
    pub fence: Fence,
    /// The deadline of the call, by which its connection has to be closed.
    pub deadline: time::Instant,
}

/// Why an order may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The lease is not held, or may have expired.
    NotHeld,
    /// An order of the previous holder may still arrive until this instant.
    Wait(time::Instant),
}

/// The last known state of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RowState {
    /// The row has to be read.
    Unknown,
    Absent,
    /// The row of another holder or of a released lease, unchanged since the instant.
    Other {
        stored: Stored,
        unchanged_since: time::Instant,
    },
    Own(Stored),
}

/// A write whose result is not known, together with earlier writes of the same row.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingWrite {
    row: Row,
    /// When the first write of this row was requested; it may take effect with a delay.
    first_requested_at: time::Instant,
    /// When the last write of this row was requested.
    last_requested_at: time::Instant,
    /// Whether the write takes over an expired lease, whose holder's orders may still arrive.
    is_takeover: bool,
}

/// A lease as seen by one process.
#[derive(Debug)]
pub struct Lease {
    settings: Settings,
    host: host::Id,
    nonce: u64,
    wanted: bool,
    row_state: RowState,
    pending_write: Option<PendingWrite>,
    in_flight: bool,
    not_before: time::Instant,
    /// The instant until which the lease is certainly held.
    held_until: time::Instant,
    /// The instant from which orders may go to engines that ignore fencing tokens.
    predecessor_done_at: time::Instant,
    /// The instant by which all orders of this process have taken effect.
    orders_done_at: time::Instant,
    renew_at: time::Instant,
}

impl Lease {
    /// Creates a lease that is not held, for a process on `host` with the random `nonce`.
    pub fn new(settings: Settings, host: host::Id, nonce: u64) -> Self {
        Self {
            settings,
            host,
            nonce,
            wanted: false,
            row_state: RowState::Unknown,
            pending_write: None,
            in_flight: false,
            not_before: time::Instant::ZERO,
            held_until: time::Instant::ZERO,
            predecessor_done_at: time::Instant::ZERO,
            orders_done_at: time::Instant::ZERO,
            renew_at: time::Instant::ZERO,
        }
    }

    /// Requests the lease and its renewals, until [`Lease::release`].
    pub fn acquire(&mut self) {
        self.wanted = true;
    }

    /// Releases the lease once no order is in flight any more.
    pub fn release(&mut self) {
        self.wanted = false;
    }

    /// The host of the holder of the lease, `None` when unknown or when there is none.
    pub fn holder(&self) -> Option<&host::Id> {
        match &self.row_state {
            RowState::Other { stored, .. } | RowState::Own(stored) => {
                Some(&stored.row.holder).filter(|_| !stored.row.released)
            }
            RowState::Unknown | RowState::Absent => None,
        }
    }

    /// Requests the permit to send one order, immediately before it is sent.
    ///
    /// # Errors
    ///
    /// A [`Denial`]; the order must not be sent.
    pub fn permit(&mut self, fencing: Fencing, now: time::Instant) -> Result<Permit, Denial> {
        let RowState::Own(stored) = &self.row_state else {
            return Err(Denial::NotHeld);
        };
        // After a pause, the row state still says that this process is the holder;
        // the clock shows that the lease may have expired and been taken over.
        if !self.wanted || now >= self.held_until {
            return Err(Denial::NotHeld);
        }
        if fencing == Fencing::Ignored && now < self.predecessor_done_at {
            return Err(Denial::Wait(self.predecessor_done_at));
        }
        let deadline = now + self.settings.order_timeout;
        self.orders_done_at = self.orders_done_at.max(deadline);
        Ok(Permit {
            fence: stored.row.fence,
            deadline,
        })
    }

    /// The instant at which to call [`Lease::next_operation`] next.
    pub fn wake_at(&self) -> time::Instant {
        let idle = !self.wanted && !self.is_own() && self.pending_write.is_none();
        if self.in_flight || idle {
            return time::Instant::NEVER;
        }
        let wake_at = match &self.row_state {
            RowState::Unknown | RowState::Absent => time::Instant::ZERO,
            RowState::Other {
                stored,
                unchanged_since,
            } => self.expires_at(stored, *unchanged_since).min(self.renew_at),
            RowState::Own(_) if self.wanted => self.renew_at,
            RowState::Own(_) => self.orders_done_at,
        };
        wake_at.max(self.not_before)
    }

    fn is_own(&self) -> bool {
        matches!(self.row_state, RowState::Own(_))
    }

    /// The next operation to run; `None` when there is none or one is in flight.
    pub fn next_operation(&mut self, now: time::Instant) -> Option<Operation> {
        if now < self.wake_at() {
            return None;
        }
        let operation = match &self.row_state {
            RowState::Unknown => Some(Operation::Read),
            RowState::Absent => {
                let row = self.initial_row();
                Some(self.write(row, revision::Generation(0), now, false))
            }
            RowState::Other {
                stored,
                unchanged_since,
            } if now < self.expires_at(stored, *unchanged_since) => Some(Operation::Read),
            RowState::Other { stored, .. } => {
                let (row, generation) = (self.takeover_row(&stored.row), stored.generation);
                let is_takeover = !stored.row.released;
                Some(self.write(row, generation, now, is_takeover))
            }
            RowState::Own(stored) => {
                let (row, generation) = (self.renewed_row(&stored.row), stored.generation);
                Some(self.write(row, generation, now, false))
            }
        };
        self.in_flight = operation.is_some();
        operation
    }

    /// The instant by which another holder's lease has certainly expired.
    ///
    /// The clocks of two processes are not comparable. The holder requested the
    /// lease before this process read its row, so the lease expires before its
    /// duration has passed since that read.
    fn expires_at(&self, stored: &Stored, unchanged_since: time::Instant) -> time::Instant {
        if stored.row.released {
            return unchanged_since;
        }
        unchanged_since + self.settings.duration + self.settings.clock_margin
    }

    fn initial_row(&self) -> Row {
        Row {
            holder: self.host.clone(),
            nonce: self.nonce,
            fence: Fence(1),
            renewals: 0,
            released: false,
        }
    }

    fn takeover_row(&self, previous: &Row) -> Row {
        Row {
            fence: Fence(previous.fence.0 + 1),
            ..self.initial_row()
        }
    }

    fn renewed_row(&self, current: &Row) -> Row {
        Row {
            renewals: current.renewals + 1,
            released: !self.wanted,
            ..current.clone()
        }
    }

    fn write(
        &mut self,
        row: Row,
        generation: revision::Generation,
        now: time::Instant,
        is_takeover: bool,
    ) -> Operation {
        let repeated = self
            .pending_write
            .take()
            .filter(|pending_write| pending_write.row == row);
        let first_requested_at =
            repeated.map_or(now, |pending_write| pending_write.first_requested_at);
        self.pending_write = Some(PendingWrite {
            row: row.clone(),
            first_requested_at,
            last_requested_at: now,
            is_takeover,
        });
        Operation::Write { generation, row }
    }

    /// Handles the result of the write in flight.
    pub fn handle_write(&mut self, result: WriteResult, now: time::Instant) {
        self.in_flight = false;
        match result {
            WriteResult::Committed(generation) => self.committed(generation, now),
            WriteResult::Conflict | WriteResult::MayHaveRun => self.invalidate_row(),
            WriteResult::NotRun => self.not_before = now + self.settings.retry_delay,
        }
    }

    fn committed(&mut self, generation: revision::Generation, now: time::Instant) {
        if let Some(pending_write) = self.pending_write.take() {
            let stored = Stored {
                row: pending_write.row,
                generation,
            };
            self.hold(
                stored,
                pending_write.last_requested_at,
                pending_write.is_takeover,
                now,
            );
        }
    }

    /// Makes a read of the row the next operation.
    fn invalidate_row(&mut self) {
        self.row_state = RowState::Unknown;
    }

    /// Handles the row that was read; `None` when it is absent.
    pub fn handle_read(&mut self, stored: Option<Stored>, now: time::Instant) {
        self.in_flight = false;
        self.renew_at = now + self.settings.renewal_interval;
        let Some(stored) = stored else {
            self.row_state = RowState::Absent;
            self.pending_write = self.pending_write.take().filter(|_| self.wanted);
            return;
        };
        if stored.row.nonce == self.nonce {
            self.found_own_row(stored, now);
        } else {
            self.found_other_row(stored, now);
        }
    }

    /// Handles a failed read of the row.
    pub fn handle_read_failure(&mut self, now: time::Instant) {
        self.in_flight = false;
        self.not_before = now + self.settings.retry_delay;
    }

    /// Handles a row of this process: a write whose response was lost took effect.
    fn found_own_row(&mut self, stored: Stored, now: time::Instant) {
        let matches_row = |pending_write: &PendingWrite| pending_write.row == stored.row;
        if let Some(pending_write) = self
            .pending_write
            .take_if(|pending_write| matches_row(pending_write))
        {
            // Of several writes of the same row, the first one may have taken
            // effect. Counted from the last one, the lease would be assumed to
            // expire later than it does for other processes.
            return self.hold(
                stored,
                pending_write.first_requested_at,
                pending_write.is_takeover,
                now,
            );
        }
        if stored.row.released {
            return self.found_released_row(stored, now);
        }
        // This is the row of an earlier write, which `held_until` already counts.
        // The pending write is kept, since it may take effect later.
        self.renew_at = now;
        self.row_state = RowState::Own(stored);
    }

    fn found_other_row(&mut self, stored: Stored, now: time::Instant) {
        let unchanged_since = match &self.row_state {
            RowState::Other {
                stored: previous,
                unchanged_since,
            } if *previous == stored => *unchanged_since,
            _ => now,
        };
        self.held_until = time::Instant::ZERO;
        self.row_state = RowState::Other {
            stored,
            unchanged_since,
        };
        self.pending_write = self.pending_write.take().filter(|_| self.wanted);
    }

    fn found_released_row(&mut self, stored: Stored, now: time::Instant) {
        self.held_until = time::Instant::ZERO;
        self.row_state = RowState::Other {
            stored,
            unchanged_since: now,
        };
    }

    /// Records that this process holds the lease, by a write that was requested at `requested_at`.
    fn hold(
        &mut self,
        stored: Stored,
        requested_at: time::Instant,
        is_takeover: bool,
        now: time::Instant,
    ) {
        if stored.row.released {
            return self.found_released_row(stored, now);
        }
        if stored.row.renewals == 0 {
            self.predecessor_done_at = if is_takeover {
                self.predecessor_deadline(now)
            } else {
                now
            };
        }
        self.held_until = requested_at + self.settings.duration;
        self.renew_at = (requested_at + self.settings.renewal_interval).max(now);
        self.row_state = RowState::Own(stored);
    }

    /// The instant from which no order of the previous holder can arrive any more.
    ///
    /// Its lease had expired before this one was written. An order that it sent at
    /// the last moment may be in flight for at most the order timeout from now on.
    fn predecessor_deadline(&self, now: time::Instant) -> time::Instant {
        now + self.settings.order_timeout + self.settings.clock_margin
    }
}
