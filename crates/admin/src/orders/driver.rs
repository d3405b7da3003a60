//! Executes the reads and writes that the lease state machine requests from the table.

use std::{sync::Arc, time::Duration};

use orders::{Lease, Operation, Row, Stored, WriteResult};
use storage::{
    Error,
    table::{self, Check, Put, Table, Transaction},
};
use tokio::time::Instant;
use units::{revision, time};

use super::LEASE_KEY;

/// Timeout of one call to the table.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which the lease is checked while orders are queued.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Converts between tokio's clock and the instants of the lease state machine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose origin is the current time.
    pub(super) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the current instant.
    pub(super) fn now(self) -> time::Instant {
        time::Instant::ZERO + self.origin.elapsed()
    }

    /// Converts an instant of the lease state machine into one of tokio's clock.
    pub(super) fn to_tokio(self, instant: time::Instant) -> Instant {
        self.origin + instant.since(time::Instant::ZERO)
    }

    /// Like [`Self::to_tokio`], but `None` for [`time::Instant::NEVER`].
    pub(super) fn to_tokio_deadline(self, instant: time::Instant) -> Option<Instant> {
        (instant < time::Instant::NEVER).then(|| self.to_tokio(instant))
    }
}

/// Reads and writes the row that stores the lease.
#[derive(Debug)]
pub(super) struct Driver<T> {
    table: Arc<T>,
    clock: Clock,
}

impl<T: Table> Driver<T> {
    pub(super) fn new(table: Arc<T>, clock: Clock) -> Self {
        Self { table, clock }
    }

    /// Executes the requests of the lease state machine until none is pending.
    ///
    /// # Errors
    ///
    /// Returns an error if the row could not be read. The lease state machine requests
    /// the read again later.
    pub(super) async fn drive(&self, lease: &mut Lease) -> Result<(), Error> {
        while let Some(operation) = lease.next_operation(self.clock.now()) {
            match operation {
                Operation::Read => self.read(lease).await?,
                Operation::Write { generation, row } => self.write(lease, generation, &row).await,
            }
        }
        Ok(())
    }

    async fn read(&self, lease: &mut Lease) -> Result<(), Error> {
        let read = self
            .table
            .read(LEASE_KEY, Instant::now() + CALL_TIMEOUT)
            .await;
        let now = self.clock.now();
        let stored = match read.and_then(|row| row.map(parse).transpose()) {
            Ok(stored) => stored,
            Err(error) => {
                lease.handle_read_failure(now);
                return Err(error);
            }
        };
        lease.handle_read(stored, now);
        Ok(())
    }

    async fn write(&self, lease: &mut Lease, generation: revision::Generation, row: &Row) {
        let result = match serde_json::to_value(row) {
            Ok(value) => self.transact(generation, value).await,
            Err(_) => WriteResult::NotRun,
        };
        lease.handle_write(result, self.clock.now());
    }

    async fn transact(
        &self,
        generation: revision::Generation,
        value: serde_json::Value,
    ) -> WriteResult {
        let transaction = Transaction {
            checks: vec![Check {
                key: String::from(LEASE_KEY),
                generation,
            }],
            puts: vec![Put {
                key: String::from(LEASE_KEY),
                value,
            }],
            deletes: Vec::new(),
        };
        let deadline = Instant::now() + CALL_TIMEOUT;
        match self.table.transact(&transaction, deadline).await {
            Ok(generations) => generations
                .first()
                .map_or(WriteResult::MayHaveRun, |generation| {
                    WriteResult::Committed(*generation)
                }),
            Err(Error::Conflict(_)) => WriteResult::Conflict,
            Err(Error::MayHaveRun(_)) => WriteResult::MayHaveRun,
            Err(Error::NotRun(_) | Error::Rejected(_)) => WriteResult::NotRun,
        }
    }
}

fn parse(row: table::Row) -> Result<Stored, Error> {
    let value = serde_json::from_value(row.value)
        .map_err(|error| Error::Rejected(format!("row {LEASE_KEY}: {error}")))?;
    Ok(Stored {
        row: value,
        generation: row.generation,
    })
}
