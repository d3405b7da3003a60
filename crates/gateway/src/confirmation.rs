//! Confirms on request that the view of the servers is up to date.
//!
//! A router that stood still, or is cut off, does not know it: its view counts as current until the
//! next answer of the store is overdue. What may only be concluded from all servers waits for a read
//! that begins after the conclusion is wanted.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{
    follow::Event,
    source::{Source, Topic},
};

/// The timeout of a read.
const TIMEOUT: Duration = Duration::from_millis(600);
/// The minimum interval between two reads. Requests that come meanwhile share the next one, so that
/// the store bears some hundred routers that lose their connections at once.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Answered when a read that began after it was sent has been applied, and dropped if the read failed.
pub type Request = oneshot::Sender<()>;

/// Serves requests until their sender is closed.
pub async fn run<S: Source>(
    source: S,
    events: mpsc::Sender<Event>,
    mut requests: mpsc::UnboundedReceiver<Request>,
) {
    while let Some(first) = requests.recv().await {
        let mut waiting = vec![first];
        while let Ok(next) = requests.try_recv() {
            waiting.push(next);
        }
        let begun_at = time::Instant::now();
        match source.read(Topic::Servers, begun_at + TIMEOUT).await {
            Ok(batch) => {
                // The receiver lives as long as the process.
                drop(events.send(Event::Confirmed(batch, waiting)).await);
            }
            Err(error) => {
                let requests = waiting.len();
                logging::event!(
                    info,
                    "servers_unconfirmed",
                    requests = requests,
                    reason = error
                );
            }
        }
        time::sleep_until(begun_at + MIN_INTERVAL).await;
    }
}
