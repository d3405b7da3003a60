//! Reads the journal for callers that take up streams which no router knows.

use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use super::{Batch, READ_INTERVAL, Snapshot, TIMEOUT};
use crate::{
    origins::{Answer, Key},
    source::{Error, Row, Source},
};

/// Asks for the version that began a stream.
#[derive(Debug)]
pub struct Request {
    /// The stream.
    pub key: Key,
    /// Receives what the journal tells of it.
    pub reply: oneshot::Sender<Answer>,
}

impl Request {
    fn answer(self, answer: Answer) {
        // The caller may have left.
        drop(self.reply.send(answer));
    }
}

/// Answers requests until their sender is closed.
///
/// A stream that is not found is looked for in the store once in [`READ_INTERVAL`] at most, so that the
/// store bears all routers that start at once. Requests in between are answered by the last read.
pub async fn read<S: Source>(source: S, mut requests: mpsc::UnboundedReceiver<Request>) {
    let mut snapshot = Snapshot::default();
    let mut next_read_at = time::Instant::now();
    while let Some(first) = requests.recv().await {
        let mut missing = Vec::new();
        let mut next = Some(first);
        while let Some(request) = next {
            match snapshot.find(request.key) {
                Answer::Unknown => missing.push(request),
                answer => request.answer(answer),
            }
            next = requests.try_recv().ok();
        }
        let now = time::Instant::now();
        if !missing.is_empty() && now >= next_read_at {
            next_read_at = now + READ_INTERVAL;
            match source.read_journal(now + TIMEOUT).await {
                Ok(rows) => snapshot = decode(&rows, now),
                Err(error) => log_failure(&error, missing.len()),
            }
        }
        for request in missing {
            let answer = snapshot.find(request.key);
            request.answer(answer);
        }
    }
}

/// Takes the records of all rows; one that cannot be read does not affect the others.
fn decode(rows: &[Row], begun_at: time::Instant) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for row in rows {
        match Batch::decode(row.value.as_deref().unwrap_or_default()) {
            Ok(batch) => snapshot.insert(&batch),
            Err(error) => {
                logging::event!(warn, "row_malformed", key = row.key, reason = error);
            }
        }
    }
    logging::event!(
        info,
        "journal_read",
        rows = rows.len(),
        streams = snapshot.len(),
        ms = begun_at.elapsed().as_millis()
    );
    snapshot
}

fn log_failure(error: &Error, requests: usize) {
    logging::event!(info, "journal_unread", requests = requests, reason = error);
}
