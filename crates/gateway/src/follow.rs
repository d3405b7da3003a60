//! Follows the store: one waiting call for each topic.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use tokio::{
    sync::{mpsc, watch},
    time,
};

use crate::{
    metrics::Metrics,
    source::{Batch, Error, Source, Topic},
};

/// How long a waiting call may take before its connection counts as lost.
///
/// The store answers a call that waits after [`WAIT`]. A connection can go
/// silent for good, and then only the missing answer shows it.
const CALL_TIMEOUT: Duration = Duration::from_millis(2600);
/// How long a call waits for a change.
///
/// A change that a silent connection hides is found after [`CALL_LIMIT`] at
/// the latest. A longer wait saves calls and makes that time longer.
pub const POLL_WAIT: Duration = Duration::from_millis(2000);
/// How long reading everything may take.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause after a first failure; it doubles up to [`MAX_PAUSE`].
const MIN_BACKOFF: Duration = Duration::from_millis(60);
/// The longest pause between calls while the store is away.
///
/// Its return is noticed this late at most.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The least time between two calls for changes of the servers, or of the routers.
///
/// Servers that are replaced one after the other change several entries a
/// second, and each change would be a call of every router that watches. The
/// first one after a quiet time is heard at once, since its call has waited
/// longer; those that follow come together. Of the routers that watch, some
/// call in between, and tell the others.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(500);
/// The start is spread over this time, since all routers may start at once.
const START_JITTER: Duration = Duration::from_millis(100);

/// What following a topic brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Rows were read.
    Batch(Topic, Batch),
    /// Another router passed rows on.
    Relayed(Topic, Batch),
    /// The store cannot be reached.
    StoreLost(Topic),
    /// The store answers again.
    StoreReturned(Topic),
    /// The store has answered another router all the while.
    StoreStable,
}

/// Follows one topic.
#[derive(Debug)]
pub struct Follow<S> {
    source: S,
    topic: Topic,
    events: mpsc::Sender<Event>,
    metrics: Arc<Metrics>,
    /// Whether this router watches the store, or leaves it to others.
    is_watching: watch::Receiver<bool>,
    is_store_reachable: watch::Sender<bool>,
    after: Option<u64>,
    /// When the next call for changes may begin.
    call_at: time::Instant,
    failures: u32,
}

impl<S: Source> Follow<S> {
    /// A task that has read nothing yet.
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

    /// Follows until nobody listens any more.
    pub async fn run(mut self) {
        time::sleep(jitter(START_JITTER)).await;
        while !self.events.is_closed() {
            // Everything is read once at the start, whoever watches later.
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
                // A configuration that is not in force yet is waited for.
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
                self.metrics.called(self.topic.name(), "ok");
                self.is_store_reachable.send_replace(true);
                self.record_success().await;
                self.after = self.after.max(Some(batch.version));
                self.emit(Event::Batch(self.topic, batch)).await;
            }
            Err(Error::Compacted) => {
                self.metrics.called(self.topic.name(), "history_gone");
                logging::event!(info, "store_history_gone", topic = self.topic);
                self.after = None;
            }
            Err(Error::Unavailable(reason)) => {
                self.metrics.called(self.topic.name(), "failed");
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
        // Without the spread all routers would call again at the same moment.
        time::sleep(backoff / 2 + jitter(backoff / 2)).await;
    }

    async fn emit(&self, event: Event) {
        // The receiver ends only with the process.
        drop(self.events.send(event).await);
    }
}

fn jitter(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random::<f64>())
}
