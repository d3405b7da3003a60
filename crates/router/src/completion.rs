//! Reports how the response to a request ended.

use std::mem;

use hyper::{StatusCode, header};
use once::Outcome;
use units::{backend, pool};
use verdict::{Code, Refusal};

use crate::{
    claims, entry,
    response::Upstream,
    tracker::{self, Ending},
    view::Target,
};

/// Maximum size of a response body that is stored with a recorded outcome.
const MAX_RECORDED_BODY_BYTES: usize = 8 * 1024;

/// Reports the end of a response to the tracker and to the claim, if any.
///
/// A server that crashes while it streams a response body is detected only
/// here, after the response head was sent to the caller.
#[derive(Debug)]
pub struct Reporter {
    guard: tracker::Guard,
    pool: pool::Id,
    server: backend::Server,
    attempt: tracker::Attempt,
    ended: bool,
    /// Whether the server responds that it does not process the request.
    is_failure: bool,
    record: Option<Record>,
}

/// The outcome of a claimed request, collected while its response is streamed.
#[derive(Debug)]
struct Record {
    claim: claims::Guard,
    status: u16,
    content_type: Option<String>,
    /// The body so far, or `None` once it exceeds [`MAX_RECORDED_BODY_BYTES`].
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
    /// Creates a reporter for an attempt on `target`, which responded with `status`.
    pub fn new(
        guard: tracker::Guard,
        target: &Target,
        attempt: tracker::Attempt,
        status: StatusCode,
    ) -> Self {
        Self {
            guard,
            pool: target.pool.clone(),
            server: target.server.clone(),
            attempt,
            ended: false,
            is_failure: status.is_server_error(),
            record: None,
        }
    }

    /// Also records the outcome of the request under `claim`.
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

    /// Adds a chunk of the response body to the recorded outcome.
    pub fn record_chunk(&mut self, chunk: &[u8]) {
        if let Some(record) = &mut self.record {
            record.push(chunk);
        }
    }

    /// The backend server that runs the request.
    pub fn server(&self) -> &backend::Server {
        &self.server
    }

    /// Reports that the response is complete.
    pub fn completed(&mut self) {
        if mem::replace(&mut self.ended, true) {
            return;
        }
        self.report(if self.is_failure {
            Ending::Failed
        } else {
            Ending::Completed
        });
        if let Some(record) = self.record.take() {
            record.finish();
        }
    }

    /// Reports that the response ended early with `refusal`.
    pub fn failed(&mut self, refusal: &Refusal) {
        self.ended = true;
        if refusal.code != Code::Deadline {
            self.report(entry::ending_of(refusal.code));
        }
    }

    fn report(&self, ending: Ending) {
        let pool = self.pool.clone();
        self.guard
            .attempt_ended(pool, self.server.clone(), self.attempt, ending);
    }
}
