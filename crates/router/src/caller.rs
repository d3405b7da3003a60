//! The HTTP server for callers.

mod discard;
mod pages;
mod parse;

pub use parse::no_memory;

use std::{
    pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::{
    Method, Request, Response, Version, body::Incoming, header, server::conn::http1, service,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time,
};
use units::request;
use verdict::Refusal;

use crate::{
    entry::{self, Entry, Served},
    limits,
    request::Request as Checked,
    response::{self, Body},
    shutdown::Phase,
};

/// The response header with the request id.
const REQUEST_ID: header::HeaderName = header::HeaderName::from_static("x-request-id");

/// Serves callers until the router reaches the closing phase and all connections
/// have ended.
pub async fn serve(
    listener: TcpListener,
    entry: Arc<Entry>,
    max_connections: usize,
    mut phase: watch::Receiver<Phase>,
) {
    let connections = Arc::new(Semaphore::new(max_connections));
    let discards = discard::Room::new(max_connections);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = Phase::reached(&mut phase, Phase::Closing) => break,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        // Close connections above the limit at once: the load balancer then tries
        // another router, whereas a queued connection would only wait here.
        let Ok(slot) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        let entry = Arc::clone(&entry);
        let discards = discards.clone();
        let phase = phase.clone();
        tokio::spawn(async move {
            serve_connection(stream, entry, discards, phase).await;
            drop(slot);
        });
    }
    drop(listener);
    let all = u32::try_from(max_connections).unwrap_or(u32::MAX);
    // The semaphore is never closed, so this waits until all connections have
    // ended.
    let _ = connections.acquire_many(all).await;
}

async fn serve_connection(
    stream: TcpStream,
    entry: Arc<Entry>,
    discards: discard::Room,
    mut phase: watch::Receiver<Phase>,
) {
    // Nagle's algorithm would delay small events of a stream until the previous
    // data is acknowledged.
    let _ = stream.set_nodelay(true);
    let ends_with_connection = Arc::new(AtomicBool::new(false));
    let shared_flag = Arc::clone(&ends_with_connection);
    let service = service::service_fn(move |request: Request<Incoming>| {
        let entry = Arc::clone(&entry);
        let discards = discards.clone();
        let ends_with_connection = Arc::clone(&shared_flag);
        async move {
            let version = request.version();
            let response = handle(request, entry, discards).await?;
            let has_length = response.headers().contains_key(header::CONTENT_LENGTH);
            if version < Version::HTTP_11 && !has_length {
                ends_with_connection.store(true, Ordering::Relaxed);
            }
            Ok::<_, Refusal>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits::HEAD_TIMEOUT)
        .max_headers(limits::MAX_HEADERS_READ)
        .max_buf_size(limits::MAX_HEAD_READ_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        result = &mut connection => result,
        () = Phase::reached(&mut phase, Phase::Closing) => {
            pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = result {
        logging::event!(debug, "connection_broken", error = error);
        if ends_with_connection.load(Ordering::Relaxed) {
            reset(&connection.into_parts().io.into_inner());
        }
    }
}

/// Closes a connection so that the response on it does not look complete.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        logging::event!(debug, "connection_broken", error = error);
    }
}

async fn handle(
    request: Request<Incoming>,
    entry: Arc<Entry>,
    discards: discard::Room,
) -> Result<Response<Body>, Refusal> {
    if let Some(response) = pages::respond(&request, &entry).await {
        return Ok(response);
    }
    let id = parse::id(request.headers());
    let started = entry.clock.now();
    let (parts, mut body) = request.into_parts();
    let mut response = match parse::request(&parts, &mut body, id, &entry).await {
        Ok(checked) => serve_request(checked, &entry).await,
        Err(refusal) => {
            discards.discard(id, &parts.headers, body);
            entry.metrics.refused(&refusal);
            log_refusal(id, &refusal);
            response::refuse(&refusal, id, &entry.clock)
        }
    };
    if let Ok(value) = header::HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    entry
        .metrics
        .responded(response.status(), entry.clock.now().since(started));
    Ok(response)
}

fn log_refusal(id: request::Id, refusal: &Refusal) {
    logging::event!(
        info,
        "request_refused",
        request = id,
        code = refusal.code,
        verdict = refusal.verdict,
        message = refusal.message
    );
}

async fn serve_request(checked: Checked, entry: &Arc<Entry>) -> Response<Body> {
    let id = checked.id;
    let method = checked.method.clone();
    let workspace = checked.workspace.clone();
    let route = checked.route.clone();
    let started = entry.clock.now();
    let result = entry.handle(checked).await;
    let head_ms = entry.clock.now().since(started).as_millis();
    match result {
        Ok(entry::Reply::Recorded(outcome)) => {
            logging::event!(
                info,
                "request_replayed",
                request = id,
                status = outcome.status
            );
            response::replay(outcome)
        }
        Ok(entry::Reply::Served(served)) => {
            logging::event!(
                info,
                "request_answered",
                request = id,
                workspace = workspace,
                route = route,
                server = served.reporter.server(),
                status = served.upstream.status.as_u16(),
                head_ms = head_ms
            );
            stream(*served, &method, id)
        }
        Err(refusal) => {
            log_refusal(id, &refusal);
            entry.metrics.refused(&refusal);
            response::refuse(&refusal, id, &entry.clock)
        }
    }
}

fn stream(served: Served, method: &Method, id: request::Id) -> Response<Body> {
    let Served { upstream, reporter } = served;
    let status = upstream.status;
    let headers = upstream.headers.clone();
    let mut response = Response::new(Body::stream(upstream, method, id, reporter));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
