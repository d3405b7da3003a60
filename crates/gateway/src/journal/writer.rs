//! Writes the rows of one router.

use std::sync::Arc;

use tokio::{sync::mpsc, time};
use units::{host, time::Instant};

use super::{Backlog, Batch, Call, TIMEOUT, WRITE_INTERVAL};
use crate::{
    clock::Clock,
    metrics::Metrics,
    origins::Record,
    source::{Error, Source},
};

/// The task that writes the records which routers of the zone tell this one.
struct Writer<S> {
    source: S,
    clock: Clock,
    metrics: Arc<Metrics>,
    backlog: Backlog,
    /// Whether the rows of earlier processes are known.
    has_read: bool,
    /// Whether the last call failed.
    is_failing: bool,
}

/// Writes records until their sender is closed.
pub async fn write<S: Source>(
    source: S,
    clock: Clock,
    own: host::Id,
    metrics: Arc<Metrics>,
    mut records: mpsc::UnboundedReceiver<Vec<Record>>,
) {
    let process: u64 = rand::random();
    let mut writer = Writer {
        source,
        clock,
        metrics,
        backlog: Backlog::new(format!("{own}/{process:016x}/")),
        has_read: false,
        is_failing: false,
    };
    loop {
        let expires_at = writer.backlog.expires_at().unwrap_or(Instant::NEVER);
        let expiry = time::sleep_until(clock.at(expires_at));
        tokio::select! {
            received = records.recv() => match received {
                Some(received) => writer.add(received),
                None => return,
            },
            () = expiry => {}
        }
        // A call that fails is repeated, also without further records.
        loop {
            while let Ok(received) = records.try_recv() {
                writer.add(received);
            }
            let Some(call) = writer.backlog.next(clock.now()) else {
                break;
            };
            let next_call_at = time::Instant::now() + WRITE_INTERVAL;
            writer.call(&call).await;
            time::sleep_until(next_call_at).await;
        }
    }
}

impl<S: Source> Writer<S> {
    fn add(&mut self, records: Vec<Record>) {
        let dropped = self.backlog.add(records);
        self.metrics.journal_dropped(dropped);
    }

    async fn call(&mut self, call: &Call) {
        let result = self.apply(call).await;
        self.metrics.journal_called(result.is_ok());
        if let Err(error) = &result
            && !self.is_failing
        {
            logging::event!(info, "journal_unwritten", reason = error);
        }
        if result.is_ok() && self.is_failing {
            logging::event!(info, "journal_written_again", records = call.records.len());
        }
        self.is_failing = result.is_err();
    }

    async fn apply(&mut self, call: &Call) -> Result<(), Error> {
        let batch = Batch::new(call.records.iter());
        let value = batch
            .encode()
            .map_err(|error| Error::Unavailable(error.0))?;
        let value = (!call.records.is_empty()).then_some(&value[..]);
        let deadline = time::Instant::now() + TIMEOUT;
        self.source
            .write_journal(&call.key, value, &call.outdated, deadline)
            .await?;
        self.backlog.done(call, self.clock.now());
        self.metrics.journal_written(call.records.len());
        if !self.has_read {
            let rows = self.source.read_journal(deadline).await?;
            let keys = rows.into_iter().map(|row| row.key).collect();
            self.backlog.found(keys, self.clock.now());
            self.has_read = true;
        }
        Ok(())
    }
}
