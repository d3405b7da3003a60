//! Health, metrics and status endpoints of the router.

use std::sync::Arc;

use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};

use crate::{entry::Entry, response::Body};

/// Responds to a request for one of these endpoints, or returns `None` for any
/// other request.
pub async fn respond(request: &Request<Incoming>, entry: &Arc<Entry>) -> Option<Response<Body>> {
    if request.method() != Method::GET {
        return None;
    }
    match request.uri().path() {
        "/healthz" => Some(text(StatusCode::OK, "ok\n")),
        "/readyz" => Some(ready(entry)),
        "/metrics" => Some(text(StatusCode::OK, &entry.metrics.encode())),
        "/weir/status" => Some(status(entry).await),
        _ => None,
    }
}

fn ready(entry: &Entry) -> Response<Body> {
    if entry.is_ready() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn status(entry: &Entry) -> Response<Body> {
    let page = entry.status().await;
    match serde_json::to_string(&page) {
        Ok(json) => with_content_type(StatusCode::OK, &json, "application/json"),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn text(status: StatusCode, text: &str) -> Response<Body> {
    with_content_type(status, text, "text/plain; charset=utf-8")
}

fn with_content_type(status: StatusCode, text: &str, content_type: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(String::from(text)));
    *response.status_mut() = status;
    let headers: &mut HeaderMap = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}
