//! Follows the store, with one long poll for each topic.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use tokio::{
    sync::{mpsc, watch},
    time,
};

use crate::{
    confirmation,
    metrics::Metrics,
    source::{Batch, Error, Source, Topic},
};

/// How long a long poll may take before its connection counts as dead.
///
/// The store responds to a long poll after [`POLL_WAIT`] at the latest. A connection may
/// stop delivering without being closed, which shows only in the missing response.
const CALL_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long the store holds a long poll open for a change.
///
/// A change that a dead connection hides is found after `CALL_TIMEOUT` at the latest. A
/// longer wait saves calls and extends that time.
pub const POLL_WAIT: Duration = Duration::from_millis(2000);
/// The timeout for reading all rows of a topic.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The backoff after the first failure; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// The maximum backoff while the store is unavailable.
///
/// It bounds how late its return is noticed.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The minimum interval between two calls for changes of the servers, or of the routers.
///
/// A rolling replacement of servers changes several entries a second, and each change would
/// cost one call by every watcher. The first change after a quiet period is received at
/// once, because its long poll has already been open for longer; the following ones are
/// received together. Other watchers call in between and relay what they receive.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// The first reads are spread over this time, since all routers may start at once.
const START_JITTER: Duration = Duration::from_millis(100);

/// What following the store, or a peer, yielded.
#[derive(Debug)]
pub enum Event {
    /// Rows were read from the store.
    Batch(Topic, Batch),
    /// All servers were read from the store, as these requests had asked.
    Confirmed(Batch, Vec<confirmation::Request>),
    /// Another router relayed rows.
    Relayed(Topic, Batch),
    /// The store stopped answering.
    StoreLost(Topic),
    /// The store answers again.
    StoreReturned(Topic),
    /// The store has answered some router without interruption for some time.
    StoreStable,
}

/// The task that follows one topic.
#[derive(Debug)]
pub struct Follow<S> {
    source: S,
    topic: Topic,
    events: mpsc::Sender<Event>,
    metrics: Arc<Metrics>,
    /// Whether this router watches the store or relies on the other watchers.
    is_watching: watch::Receiver<bool>,
    is_store_reachable: watch::Sender<bool>,
    after: Option<u64>,
    /// When the next call for changes may begin.
    call_at: time::Instant,
    failures: u32,
}

impl<S: Source> Follow<S> {
    /// Creates a task that has read nothing yet.
    pub fn new(
        source: S,
        topic: Topic,
        events: mpsc::Sender<Event>,
        metrics: Arc<Metrics>,
        is_watching: watch::Receiver<bool>,
        is_store_reachable: watch::Sender<bool>,
    ) -> Self {
        Self {
            source,
            topic,
            events,
            metrics,
            is_watching,
            is_store_reachable,
            after: None,
            call_at: time::Instant::now(),
            failures: 0,
        }
    }

    /// Runs until the receiver of its events is closed.
    pub async fn run(mut self) {
        time::sleep(jitter(START_JITTER)).await;
        while !self.events.is_closed() {
            // Every router reads all rows once at its start, whether or not it watches the
            // store later.
            if self.after.is_some() && self.is_watching.wait_for(|watches| *watches).await.is_err()
            {
                return;
            }
            time::sleep_until(self.call_at).await;
            let result = self.poll().await;
            self.handle_result(result).await;
        }
    }

    async fn poll(&mut self) -> Result<Batch, Error> {
        let now = time::Instant::now();
        match self.after {
            None => self.source.read(self.topic, now + READ_TIMEOUT).await,
            Some(after) => {
                // Changes of the configuration have no minimum interval, because they are to
                // take effect without delay.
                if self.topic != Topic::Configuration {
                    self.call_at = now + MIN_CALL_INTERVAL;
                }
                let deadline = now + CALL_TIMEOUT;
                self.source.changes(self.topic, after, deadline).await
            }
        }
    }

    async fn handle_result(&mut self, result: Result<Batch, Error>) {
        match result {
            Ok(batch) => {
                self.metrics.store_called(self.topic.name(), "ok");
                self.is_store_reachable.send_replace(true);
                self.record_success().await;
                self.after = self.after.max(Some(batch.version));
                self.emit(Event::Batch(self.topic, batch)).await;
            }
            Err(Error::Compacted) => {
                self.metrics.store_called(self.topic.name(), "history_gone");
                logging::event!(info, "store_history_gone", topic = self.topic);
                self.after = None;
            }
            Err(Error::Unavailable(reason)) => {
                self.metrics.store_called(self.topic.name(), "failed");
                self.record_failure(&reason).await;
            }
        }
    }

    async fn record_success(&mut self) {
        if self.failures == 0 {
            return;
        }
        logging::event!(
            info,
            "store_returned",
            topic = self.topic,
            failures = self.failures
        );
        self.failures = 0;
        self.emit(Event::StoreReturned(self.topic)).await;
    }

    async fn record_failure(&mut self, reason: &str) {
        self.is_store_reachable.send_replace(false);
        if self.failures == 0 {
            logging::event!(warn, "store_lost", topic = self.topic, reason = reason);
            self.emit(Event::StoreLost(self.topic)).await;
        }
        let backoff = MIN_BACKOFF
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        // Without jitter all routers would retry at the same moment.
        time::sleep(backoff / 2 + jitter(backoff / 2)).await;
    }

    async fn emit(&self, event: Event) {
        // The receiver lives as long as the process.
        drop(self.events.send(event).await);
    }
}

fn jitter(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random::<f64>())
}
