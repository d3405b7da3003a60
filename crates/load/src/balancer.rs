//! Simulation of the platform's load balancer: distributes requests over the ready routers.

use std::{
    net::SocketAddr,
    num::NonZeroUsize,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, Uri};
use tokio::time;

use crate::client::Pool;

/// Interval between two readiness probes of a router.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Load balancer over the ready routers: round-robin, or skewed towards one of them.
#[derive(Debug)]
pub struct Balancer {
    routers: Vec<Router>,
    next: AtomicUsize,
    skew: Option<NonZeroUsize>,
    /// Pool of connections to the routers.
    pub pool: Pool,
}

#[derive(Debug)]
struct Router {
    address: SocketAddr,
    is_ready: AtomicBool,
}

impl Balancer {
    /// A balancer over `addresses`. Each router counts as not ready until its first probe.
    ///
    /// With a `skew` of N, all but one in N requests go to the first router that is ready.
    pub fn new(addresses: &[SocketAddr], skew: Option<NonZeroUsize>) -> Self {
        let routers = addresses.iter().map(|address| Router {
            address: *address,
            is_ready: AtomicBool::new(false),
        });
        Self {
            routers: routers.collect(),
            next: AtomicUsize::new(0),
            skew,
            pool: Pool::default(),
        }
    }

    /// Picks the next ready router.
    pub fn pick(&self) -> Option<SocketAddr> {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.routers.len();
        let first = match self.skew {
            Some(skew) if turn % skew != 0 => 0,
            Some(skew) => turn / skew,
            None => turn,
        };
        let candidates = (0..count).map(|offset| &self.routers[(first + offset) % count]);
        let mut ready = candidates.filter(|router| router.is_ready.load(Ordering::Relaxed));
        ready.next().map(|router| router.address)
    }

    /// Probes the readiness of every router once.
    pub async fn probe(&self) {
        let probes = self.routers.iter().map(|router| self.probe_router(router));
        futures_util::future::join_all(probes).await;
    }

    async fn probe_router(&self, router: &Router) {
        let response = time::timeout(PROBE_TIMEOUT, self.is_ready(router.address)).await;
        let is_ready = response.unwrap_or(false);
        let was_ready = router.is_ready.swap(is_ready, Ordering::Relaxed);
        if was_ready != is_ready {
            logging::event!(
                info,
                "router_readiness",
                router = router.address,
                ready = is_ready
            );
        }
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static("/readyz");
        let Ok(exchange) = self.pool.send(address, request).await else {
            return false;
        };
        let (response, connection) = exchange.split();
        let is_ready = response.status() == StatusCode::OK;
        if response.into_body().collect().await.is_ok() {
            self.pool.release(connection);
        }
        is_ready
    }

    /// Probes all routers periodically until the task is aborted.
    pub async fn probe_periodically(self: Arc<Self>) {
        loop {
            self.probe().await;
            time::sleep(PROBE_INTERVAL).await;
        }
    }
}
