//! Short questions about the router: whether it is ready, and its metrics.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch};

use crate::{metrics::Metrics, shutdown::Phase, state::Readiness};

/// What the answers are taken from.
#[derive(Clone, Debug)]
pub struct Sources {
    /// What the router knows so far.
    pub readiness: watch::Receiver<Readiness>,
    /// How far the process has come in its life.
    pub phase: watch::Receiver<Phase>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
}

/// Answers questions until the process ends.
pub async fn serve(listener: TcpListener, sources: Sources) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                logging::event!(warn, "accept_failed", reason = error);
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            }
        };
        let sources = sources.clone();
        tokio::spawn(async move {
            let service = service::service_fn(|request| {
                let answer = answer(&request, &sources);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .max_buf_size(8 * 1024)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                logging::event!(debug, "observer_connection_broken", reason = error);
            }
        });
    }
}

fn answer(request: &Request<Incoming>, sources: &Sources) -> Response<Full<Bytes>> {
    let (status, text) = match request.uri().path() {
        "/readyz" => readiness(sources),
        "/metrics" => (StatusCode::OK, sources.metrics.text()),
        _ => (StatusCode::NOT_FOUND, String::from("not found\n")),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn readiness(sources: &Sources) -> (StatusCode, String) {
    if *sources.phase.borrow() > Phase::Serving {
        return (StatusCode::SERVICE_UNAVAILABLE, String::from("leaving\n"));
    }
    match *sources.readiness.borrow() {
        Readiness::Ready => (StatusCode::OK, String::from("ready\n")),
        missing => (StatusCode::SERVICE_UNAVAILABLE, format!("{missing}\n")),
    }
}
