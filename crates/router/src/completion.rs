//! What is told when the answer to a request ends.

use std::mem;

use hyper::header;
use once::Outcome;
use units::{backend, pool};
use verdict::{Code, Refusal};

use crate::{
    claims, entry,
    response::Upstream,
    tracker::{self, Ending},
    view::Target,
};

/// The longest body that is kept with an outcome, in bytes.
const MAX_RECORDED_BODY_BYTES: usize = 8 * 1024;

/// Follows an answer to its end.
///
/// A server that dies in the middle of an answer is noticed only here, long
/// after the head of the answer has gone to the caller.
#[derive(Debug)]
pub struct Reporter {
    guard: tracker::Guard,
    pool: pool::Id,
    server: backend::Server,
    crash_id: u64,
    ended: bool,
    record: Option<Record>,
}

/// The outcome of a claimed request while its answer passes.
#[derive(Debug)]
struct Record {
    claim: claims::Guard,
    status: u16,
    content_type: Option<String>,
    /// What has passed of the body; `None` once it is too long to be kept.
    body: Option<Vec<u8>>,
}

impl Record {
    fn push(&mut self, chunk: &[u8]) {
        let Some(body) = &mut self.body else {
            return;
        };
        body.extend_from_slice(chunk);
        if body.len() > MAX_RECORDED_BODY_BYTES {
            self.body = None;
        }
    }

    fn finish(self) {
        let body = self.body.and_then(|body| String::from_utf8(body).ok());
        self.claim.finish(Some(Outcome {
            status: self.status,
            content_type: self.content_type,
            body,
        }));
    }
}

impl Reporter {
    /// A trace of an attempt on `target`; `crash_id` names the server's death, if it dies.
    pub fn new(guard: tracker::Guard, target: &Target, crash_id: u64) -> Self {
        Self {
            guard,
            pool: target.pool.clone(),
            server: target.server.clone(),
            crash_id,
            ended: false,
            record: None,
        }
    }

    /// The trace of an answer whose outcome is recorded under `claim`.
    pub fn with_claim(self, claim: Option<claims::Guard>, upstream: &Upstream) -> Self {
        let content_type = upstream.headers.get(header::CONTENT_TYPE);
        let record = claim.map(|claim| Record {
            claim,
            status: upstream.status.as_u16(),
            content_type: content_type.and_then(|value| value.to_str().ok().map(String::from)),
            body: Some(Vec::new()),
        });
        Self { record, ..self }
    }

    /// Notes a piece of the answer's body.
    pub fn record_chunk(&mut self, chunk: &[u8]) {
        if let Some(record) = &mut self.record {
            record.push(chunk);
        }
    }

    /// The server.
    pub fn server(&self) -> &backend::Server {
        &self.server
    }

    /// The answer is whole.
    pub fn completed(&mut self) {
        if mem::replace(&mut self.ended, true) {
            return;
        }
        self.report(Ending::Completed);
        if let Some(record) = self.record.take() {
            record.finish();
        }
    }

    /// The answer broke off.
    pub fn failed(&mut self, refusal: &Refusal) {
        self.ended = true;
        if refusal.code != Code::Deadline {
            self.report(entry::ending_of(refusal.code));
        }
    }

    fn report(&self, ending: Ending) {
        let pool = self.pool.clone();
        self.guard
            .attempt_ended(pool, self.server.clone(), self.crash_id, ending);
    }
}
