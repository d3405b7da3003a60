//! The endpoint that accepts proposed changes.

use std::{sync::Arc, time};

use audit::refusals;
use config::{
    proposal,
    refused::Refused,
    response::{Accepted, Code, Error, Outcome},
};
use salvo::{Depot, Request, Response, handler, http::StatusCode, writing::Json};
use serde_json::Value;
use storage::table::Table;
use tokio::time::Instant;
use units::{change, operator};

use super::{
    auth::{Caller, deny},
    body::Bodies,
    failure::{fail, fail_change, invalid},
};
use crate::{
    access::Denial,
    metrics::Metrics,
    store::{self, Author, Store},
};

/// `POST /v1/changes`.
pub(super) struct Propose<T>(
    pub(super) Arc<Store<T>>,
    pub(super) Arc<Metrics>,
    pub(super) Bodies,
);

#[handler]
impl<T: Table + 'static> Propose<T> {
    async fn handle(&self, request: &mut Request, depot: &mut Depot, response: &mut Response) {
        let Ok(Caller(who)) = depot.get_typed::<Caller>().cloned() else {
            return deny(response, Denial::Unauthenticated);
        };
        // The memory of the body covers the proposal until it has been decided.
        let body = match self.2.receive(request).await {
            Ok(body) => body,
            Err(error) => return fail(response, status(&error), error),
        };
        let read = |value: Value| proposal::Proposal::read(&value).map_err(invalid);
        match self.2.parse(&body, read) {
            Ok(proposal) => self.submit(proposal, who, response).await,
            Err(error) => fail(response, status(&error), error),
        }
    }
}

impl<T: Table + 'static> Propose<T> {
    async fn submit(
        &self,
        proposal: proposal::Proposal,
        who: operator::Id,
        response: &mut Response,
    ) {
        let author = Author {
            who,
            when: unix_millis(),
        };
        let deadline = Instant::now() + self.0.settings().write_timeout;
        let result = self.0.submit(&proposal, &author, deadline).await;
        if let Err(store::Failure::Refused(refusal)) = &result {
            self.record_refusal(&proposal, refusal, &author).await;
        }
        self.1.count_outcome(&result);
        log_outcome(&proposal.id, &author.who, &result);
        match result {
            Ok(outcome) => response.render(Json(accepted(proposal.id, outcome))),
            Err(failure) => fail_change(response, failure),
        }
    }
}

impl<T: Table + 'static> Propose<T> {
    /// Records a refused proposal in the audit trail. A failure is only logged.
    async fn record_refusal(
        &self,
        proposal: &proposal::Proposal,
        refusal: &proposal::Refusal,
        author: &Author,
    ) {
        let revision = self.0.view().version.snapshot.revision();
        let refused = Refused::new(proposal, refusal, &author.who, author.when, revision);
        let deadline = Instant::now() + self.0.settings().call_timeout;
        if let Err(error) = refusals::record(self.0.table(), &refused, deadline).await {
            logging::event!(warn, "trail_failed", change = refused.id, reason = error);
        }
    }
}

/// The status of a request whose body cannot be used.
pub(super) fn status(error: &Error) -> StatusCode {
    match error.code {
        Code::Malformed => StatusCode::BAD_REQUEST,
        Code::Busy => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

pub(super) fn accepted(id: change::Id, outcome: store::Outcome) -> Accepted {
    let (outcome, revision) = match outcome {
        store::Outcome::Accepted(revision) => (Outcome::Accepted, revision),
        store::Outcome::Repeated(revision) => (Outcome::Repeated, revision),
        store::Outcome::Unchanged(revision) => (Outcome::Unchanged, revision),
    };
    Accepted {
        id,
        outcome,
        revision,
    }
}

pub(super) fn log_outcome(
    id: &change::Id,
    who: &operator::Id,
    result: &Result<store::Outcome, store::Failure>,
) {
    match result {
        Ok(store::Outcome::Accepted(revision)) => {
            logging::event!(
                info,
                "change_accepted",
                change = id,
                operator = who,
                revision = revision
            );
        }
        Ok(store::Outcome::Repeated(revision)) => {
            logging::event!(
                info,
                "change_repeated",
                change = id,
                operator = who,
                revision = revision
            );
        }
        Ok(store::Outcome::Unchanged(revision)) => {
            logging::event!(
                info,
                "change_unchanged",
                change = id,
                operator = who,
                revision = revision
            );
        }
        Err(failure) => {
            let reason = failure.reason();
            logging::event!(
                warn,
                "change_failed",
                change = id,
                operator = who,
                reason = reason
            );
        }
    }
}

pub(super) fn unix_millis() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
