//! Responses to requests that failed.

use config::{
    check, proposal,
    response::{Code, Error, Failure, Verdict},
};
use salvo::{
    Response,
    http::{StatusCode, header},
    writing::Json,
};

use crate::store;

/// `Retry-After` in seconds when the platform is unavailable.
const RETRY_AFTER_S: u64 = 1;

pub(super) fn invalid(faults: Vec<check::Fault>) -> Error {
    Error {
        faults,
        ..Error::not_run(Code::Invalid, "the change is faulty")
    }
}

pub(super) fn fail_change(response: &mut Response, failure: store::Failure) {
    match failure {
        store::Failure::Refused(proposal::Refusal::Invalid(faults)) => {
            fail(response, StatusCode::UNPROCESSABLE_ENTITY, invalid(faults));
        }
        store::Failure::Refused(proposal::Refusal::Conflict(conflicts)) => {
            let error = Error {
                conflicts,
                ..Error::not_run(Code::Conflict, "another change came first")
            };
            fail(response, StatusCode::CONFLICT, error);
        }
        store::Failure::Unavailable(reason) => unavailable(response, &reason),
        store::Failure::Unknown(reason) => {
            let error = Error {
                verdict: Verdict::MayHaveRun,
                retry_after: Some(RETRY_AFTER_S),
                ..Error::not_run(
                    Code::OutcomeUnknown,
                    format!(
                        "repeat it with the same id to learn whether it was accepted: {reason}"
                    ),
                )
            };
            fail(response, StatusCode::SERVICE_UNAVAILABLE, error);
        }
    }
}

pub(super) fn unavailable(response: &mut Response, reason: &str) {
    let error = Error {
        retry_after: Some(RETRY_AFTER_S),
        ..Error::not_run(Code::PlatformDown, format!("platform: {reason}"))
    };
    fail(response, StatusCode::SERVICE_UNAVAILABLE, error);
}

pub(super) fn fail(response: &mut Response, status: StatusCode, error: Error) {
    response.status_code(status);
    if let Some(seconds) = error.retry_after {
        let value = header::HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response.render(Json(Failure { error }));
}

pub(super) fn not_found(response: &mut Response, message: &str) {
    let error = Error::not_run(Code::NotFound, message);
    fail(response, StatusCode::NOT_FOUND, error);
}

pub(super) fn not_loaded(response: &mut Response) {
    unavailable(response, "no answer so far, and nothing is held");
}
