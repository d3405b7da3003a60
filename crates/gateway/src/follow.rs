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
const CALL_LIMIT: Duration = Duration::from_millis(2600);
/// How long a call waits for a change.
///
/// A change that a silent connection hides is found after [`CALL_LIMIT`] at
/// the latest. A longer wait saves calls and makes that time longer.
pub const WAIT: Duration = Duration::from_millis(2000);
/// How long reading everything may take.
const READ_LIMIT: Duration = Duration::from_millis(1500);
/// The pause after a first failure; it doubles up to [`MAX_PAUSE`].
const PAUSE: Duration = Duration::from_millis(60);
/// The longest pause between calls while the store is away.
///
/// Its return is noticed this late at most.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// The least time between two calls for changes of the servers, or of the routers.
///
/// Servers that are replaced one after the other change several entries a
/// second, and each change would be a call of every router that watches. The
/// first one after a quiet time is heard at once, since its call has waited
/// longer; those that follow come together. Of the routers that watch, some
/// call in between, and tell the others.
const LEAST_GAP: Duration = Duration::from_millis(500);
/// The start is spread over this time, since all routers may start at once.
const START_SPREAD: Duration = Duration::from_millis(100);

/// What following a topic brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Rows were read.
    Batch(Topic, Batch),
    /// Another router passed rows on.
    Relayed(Topic, Batch),
    /// The store cannot be reached.
    Lost(Topic),
    /// The store answers again.
    Returned(Topic),
    /// The store has answered another router all the while.
    Steady,
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
    is_served: watch::Sender<bool>,
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
        is_served: watch::Sender<bool>,
    ) -> Self {
        Self {
            source,
            topic,
            events,
            metrics,
            is_watching,
            is_served,
            after: None,
            call_at: time::Instant::now(),
            failures: 0,
        }
    }

    /// Follows until nobody listens any more.
    pub async fn run(mut self) {
        time::sleep(spread(START_SPREAD)).await;
        while !self.events.is_closed() {
            // Everything is read once at the start, whoever watches later.
            if self.after.is_some() && self.is_watching.wait_for(|watches| *watches).await.is_err()
            {
                return;
            }
            time::sleep_until(self.call_at).await;
            let result = self.call().await;
            self.take(result).await;
        }
    }

    async fn call(&mut self) -> Result<Batch, Error> {
        let now = time::Instant::now();
        match self.after {
            None => self.source.read(self.topic, now + READ_LIMIT).await,
            Some(after) => {
                // A configuration that is not in force yet is waited for.
                if self.topic != Topic::Configuration {
                    self.call_at = now + LEAST_GAP;
                }
                let deadline = now + CALL_LIMIT;
                self.source.changes(self.topic, after, deadline).await
            }
        }
    }

    async fn take(&mut self, result: Result<Batch, Error>) {
        match result {
            Ok(batch) => {
                self.metrics.called(self.topic.name(), "ok");
                self.is_served.send_replace(true);
                self.returned().await;
                self.after = self.after.max(Some(batch.version));
                self.tell(Event::Batch(self.topic, batch)).await;
            }
            Err(Error::HistoryGone) => {
                self.metrics.called(self.topic.name(), "history_gone");
                logging::event!(info, "store_history_gone", topic = self.topic);
                self.after = None;
            }
            Err(Error::Away(reason)) => {
                self.metrics.called(self.topic.name(), "failed");
                self.lost(&reason).await;
            }
        }
    }

    async fn returned(&mut self) {
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
        self.tell(Event::Returned(self.topic)).await;
    }

    async fn lost(&mut self, reason: &str) {
        self.is_served.send_replace(false);
        if self.failures == 0 {
            logging::event!(warn, "store_lost", topic = self.topic, reason = reason);
            self.tell(Event::Lost(self.topic)).await;
        }
        let pause = PAUSE
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_PAUSE);
        self.failures = self.failures.saturating_add(1);
        // Without the spread all routers would call again at the same moment.
        time::sleep(pause / 2 + spread(pause / 2)).await;
    }

    async fn tell(&self, event: Event) {
        // The receiver ends only with the process.
        drop(self.events.send(event).await);
    }
}

fn spread(most: Duration) -> Duration {
    most.mul_f64(rand::rng().random::<f64>())
}
