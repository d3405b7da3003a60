//! Handling of a validated request by its entry router.
//!
//! [`Entry`] holds the state that all requests share. `serve` offers a request
//! to one server after another, `attempt` makes a single attempt, and
//! `progress` tracks the attempts made so far.

mod attempt;
mod progress;
mod serve;

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use config::snapshot::Snapshot;
use ingress::{Payload, Pool};
use once::Outcome;
use tokio::sync::watch;
use units::{availability, host, request, workspace};
use verdict::{Code, Refusal};
use wire::seal;

use crate::{
    claims,
    clock::Clock,
    completion::Reporter,
    hop::client,
    members::{Members, Peer},
    metrics::Metrics,
    owner,
    response::{Upstream, retry_instant},
    shutdown::Phase,
    status, tracker,
    view::View,
};
pub use attempt::crash;
pub use progress::ending_of;

/// Delay after which a caller may retry when the router is not ready or no
/// backend server is available.
const NOT_READY_RETRY_MS: u64 = 1000;

/// State shared by all requests.
#[derive(Debug)]
pub struct Entry {
    /// The process's clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// This router's host.
    pub host: host::Id,
    /// This router's availability zone.
    pub zone: availability::Zone,
    /// The applied configuration and the backend servers.
    pub view: watch::Receiver<Arc<View>>,
    /// The known routers.
    pub members: watch::Receiver<Arc<Members>>,
    /// The task that admits requests to owned servers.
    pub owner: owner::Handle,
    /// The task that tracks workspaces, ejected servers and suspect requests.
    pub tracker: tracker::Handle,
    /// The task that claims requests that must not run twice.
    pub claims: claims::Handle,
    /// The idle connections to other routers.
    pub links: client::Links,
    /// The key for request fingerprints.
    pub fingerprint_key: seal::Key,
    /// The memory for the bodies of requests.
    pub bodies: Pool,
    /// Held while a long body is parsed, so that only one at a time takes memory beside its own.
    pub parsing: Mutex<()>,
    /// The phase of the process.
    pub phase: watch::Receiver<Phase>,
}

/// The response to a request.
#[derive(Debug)]
pub enum Reply {
    /// The response of a backend server.
    Served(Box<Served>),
    /// The recorded outcome of an earlier run of the request.
    Recorded(Outcome),
}

/// A response, and the reporter of its end.
#[derive(Debug)]
pub struct Served {
    /// The response.
    pub upstream: Upstream,
    /// Reports the end of the response.
    pub reporter: Reporter,
}

impl Entry {
    /// The applied configuration.
    ///
    /// # Errors
    ///
    /// When no configuration has been applied yet.
    pub fn snapshot(&self) -> Result<Arc<Snapshot>, Refusal> {
        let view = self.view.borrow();
        let snapshot = view.snapshot.clone().filter(|_| view.ready);
        snapshot.ok_or_else(|| {
            Refusal::not_run(Code::NotReady, "The router has no configuration yet.")
                .retry_at(retry_instant(&self.clock, NOT_READY_RETRY_MS))
        })
    }

    /// Whether the load balancer may send requests to this router.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving
            && self.view.borrow().ready
            && self.members.borrow().has_owner()
    }

    /// The keyed hash that identifies a request, to recognize one that crashes
    /// servers.
    pub fn fingerprint(
        &self,
        workspace: &workspace::Id,
        route: &str,
        target: &str,
        body: &Payload,
    ) -> request::Fingerprint {
        let parts = [workspace.as_str(), route, target];
        let mut bytes: Vec<&[u8]> = Vec::new();
        for part in parts {
            bytes.push(part.as_bytes());
            bytes.push(&[0]);
        }
        bytes.extend(body.segments().iter().map(Bytes::as_ref));
        request::Fingerprint(self.fingerprint_key.digest(&bytes))
    }

    /// The content of the page `/weir/status`.
    pub async fn status(&self) -> status::Page {
        let members = Arc::clone(&self.members.borrow());
        let revision = self.view.borrow().revision();
        status::Page {
            host: self.host.clone(),
            zone: self.zone.clone(),
            revision,
            ready: self.is_ready(),
            members: members.peers.iter().map(member).collect(),
            engines: self.owner.status().await,
            refusals: self.metrics.refusals(),
        }
    }
}

fn member(peer: &Peer) -> status::Member {
    status::Member {
        host: peer.host.clone(),
        zone: peer.zone.clone(),
        revision: peer.revision,
        state: peer.phase.clone(),
    }
}
