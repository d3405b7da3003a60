//! A protocol without headers of its own.

use gateway::{
    advisory::Advisory,
    protocol::{Attempt, Classification, Head, Protocol},
};
use hyper::{HeaderMap, StatusCode, http::request};
use units::time::Instant;
use verdict::{Code, Refusal};

/// Plain HTTP: all responses count, and requests of callers are not read.
#[derive(Clone, Copy, Debug)]
pub struct Plain;

impl Protocol for Plain {
    fn read(&self, _: &request::Parts) -> Result<Head, Refusal> {
        Err(Refusal::not_run(Code::Internal, "There are no callers."))
    }

    fn compose(&self, _: &mut HeaderMap, _: &Attempt<'_>) {}

    fn classify(&self, _: &str, _: StatusCode, _: &HeaderMap) -> Classification {
        Classification::Response
    }

    fn advisory(&self, _: StatusCode, _: &HeaderMap, _: Instant) -> Advisory {
        Advisory::default()
    }

    fn incarnation(&self, _document: &[u8]) -> Option<u64> {
        None
    }

    fn load_report(&self, _headers: &HeaderMap) -> Option<load_report::Report> {
        None
    }

    fn status(&self, _: &Refusal) -> StatusCode {
        StatusCode::SERVICE_UNAVAILABLE
    }

    fn event_id<'a>(&self, _: &'a str) -> Option<&'a str> {
        None
    }
}
