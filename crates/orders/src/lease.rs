//! One process's part in a lease.

use units::{host, revision, time};

use crate::{
    settings::Settings,
    table::{Fence, Operation, Row, Stored, WriteResult},
};

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It does.
    Checked,
    /// It obeys whoever sends an order.
    Ignored,
}

/// The right to send one order now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fencing number to send with it.
    pub fence: Fence,
    /// When the call has to be given up and its connection closed.
    pub deadline: time::Instant,
}

/// Why an order may not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The lease is not held, or not surely.
    NotHeld,
    /// An order of the former holder may still arrive, until this instant.
    Wait(time::Instant),
}

/// What is known of the row.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RowState {
    /// It has to be read.
    Unknown,
    Absent,
    /// Another's lease, unchanged since the instant.
    Other {
        stored: Stored,
        unchanged_since: time::Instant,
    },
    Own(Stored),
}

/// A write whose end is not known, and equal ones before it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingWrite {
    row: Row,
    /// When the first write of this row was asked for: a late one may take effect.
    first_requested_at: time::Instant,
    /// When the last write of this row was asked for.
    last_requested_at: time::Instant,
    /// Whether a former holder's orders may still arrive.
    is_takeover: bool,
}

/// One process's part in a lease.
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
    /// Until when the lease is surely held.
    held_until: time::Instant,
    /// From when on engines that ignore fencing numbers may be given orders.
    predecessor_done_at: time::Instant,
    /// By when all orders of this process have had their effect.
    orders_done_at: time::Instant,
    renew_at: time::Instant,
}

impl Lease {
    /// A lease that is not held, for a process on `host` that drew `token` at random.
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

    /// Says that the lease is wanted, until [`Lease::release`].
    pub fn acquire(&mut self) {
        self.wanted = true;
    }

    /// Gives the lease back once no order is in flight any more.
    pub fn release(&mut self) {
        self.wanted = false;
    }

    /// Who holds the lease, as far as is known.
    pub fn holder(&self) -> Option<&host::Id> {
        match &self.row_state {
            RowState::Other { stored, .. } | RowState::Own(stored) => {
                Some(&stored.row.holder).filter(|_| !stored.row.released)
            }
            RowState::Unknown | RowState::Absent => None,
        }
    }

    /// Asks for the right to send one order, right before it is sent.
    ///
    /// # Errors
    ///
    /// A [`Denial`]; the order must not be sent.
    pub fn permit(&mut self, fencing: Fencing, now: time::Instant) -> Result<Permit, Denial> {
        let RowState::Own(stored) = &self.row_state else {
            return Err(Denial::NotHeld);
        };
        // A process that was paused still takes itself for the holder; its
        // clock tells that the lease may have lapsed and gone to another.
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

    /// When [`Lease::next_operation`] is to be called next.
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

    /// The next read or write, if there is any and none is outstanding.
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

    /// When another's lease is over for sure.
    ///
    /// Clocks of two processes are not comparable. The lease was asked for
    /// before its row was seen here, so it ends before its duration passed here.
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

    /// Takes in how the outstanding write ended.
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

    /// Has the row read before anything else.
    fn invalidate_row(&mut self) {
        self.row_state = RowState::Unknown;
    }

    /// Takes in the row that was read, `None` when it is absent.
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

    /// Takes in that the row could not be read.
    pub fn handle_read_failure(&mut self, now: time::Instant) {
        self.in_flight = false;
        self.not_before = now + self.settings.retry_delay;
    }

    /// A write whose answer was lost took effect after all.
    fn found_own_row(&mut self, stored: Stored, now: time::Instant) {
        let matches_row = |pending_write: &PendingWrite| pending_write.row == stored.row;
        if let Some(pending_write) = self
            .pending_write
            .take_if(|pending_write| matches_row(pending_write))
        {
            // Of equal writes the first one may have taken effect; counted
            // from the last one, the lease would seem to end later than it does.
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
        // It is the row of an earlier write, whose instant is known already.
        // The attempt is kept, since it may take effect later.
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

    /// The row is this process's, by a write that was first asked for at `asked_at`.
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

    /// When nothing of the former holder can arrive any more.
    ///
    /// Its lease was over before this one was written. What it sent at the
    /// last moment may be on its way for one flight from now on.
    fn predecessor_deadline(&self, now: time::Instant) -> time::Instant {
        now + self.settings.order_timeout + self.settings.clock_margin
    }
}
