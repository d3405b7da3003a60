//! One attempt at a request on one server.

use std::sync::Arc;

use placement::plan;
use units::{backend, request};
use verdict::Refusal;
use wire::hop;

use super::{Entry, progress::Progress};
use crate::{
    backend as http, claims,
    hop::{client, server},
    owner::{self, Rejected},
    request::{Request, Semantics},
    response::Upstream,
    tracker,
    view::Target,
};

/// An attempt that got a response.
pub(super) struct Success {
    pub(super) upstream: Upstream,
    /// Identifies the crash of the server, if it crashes during the response.
    pub(super) attempt: tracker::Attempt,
}

/// An attempt that got no response.
pub(super) struct Failure {
    pub(super) refusal: Refusal,
    /// Identifies the crash of the server, if it crashed.
    pub(super) attempt: tracker::Attempt,
}

/// A slot on a backend server, granted by this router or by another one.
enum Grant {
    Local(owner::Permit),
    Remote(Box<client::Admitted>),
}

impl Grant {
    /// How the slot was obtained, for the log.
    fn kind(&self) -> &'static str {
        match self {
            Self::Local(_) => "own",
            Self::Remote(_) => "hop",
        }
    }
}

impl Entry {
    /// Offers a request to one server and runs it there if it is admitted.
    pub(super) async fn attempt(
        &self,
        request: &Request,
        target: &Target,
        terms: plan::Terms,
        progress: &Progress,
        claim: &mut Option<claims::Guard>,
    ) -> Result<Success, Failure> {
        let open = self.open(request, target, terms, progress);
        let grant = match self.admit(&open, target).await {
            Ok(grant) => grant,
            Err(rejected) => {
                logging::event!(
                    debug,
                    "offer_refused",
                    request = request.id,
                    server = target.server,
                    terms = format!("{terms:?}"),
                    code = rejected.refusal.code
                );
                return Err(Failure {
                    refusal: rejected.refusal,
                    attempt: tracker::Attempt {
                        crash: recovery::Crash(open.attempt.0),
                        began_at: self.clock.now(),
                    },
                });
            }
        };
        let boot = match &grant {
            Grant::Local(permit) => permit.boot_hash(),
            Grant::Remote(admitted) => admitted.boot,
        };
        let attempt = tracker::Attempt {
            crash: crash(&target.server, boot, open.attempt),
            began_at: self.clock.now(),
        };
        logging::event!(
            debug,
            "attempt_admitted",
            request = request.id,
            attempt = open.attempt,
            server = target.server,
            way = grant.kind()
        );
        if let Some(claim) = claim {
            let started = claim.start().await;
            started.map_err(|refusal| Failure { refusal, attempt })?;
        }
        let ran = match grant {
            Grant::Local(permit) => {
                http::run(permit, &open, &request.body, self.clock, request.deadline).await
            }
            Grant::Remote(admitted) => admitted.send(&request.body, self.clock).await,
        };
        match ran {
            Ok(upstream) => Ok(Success { upstream, attempt }),
            Err(refusal) => Err(Failure { refusal, attempt }),
        }
    }

    async fn admit(&self, open: &hop::Open, target: &Target) -> Result<Grant, Rejected> {
        let members = Arc::clone(&self.members.borrow());
        let Some(owner) = members.owner(&target.server, &target.zone) else {
            return Err(Rejected {
                refusal: Refusal {
                    message: format!("No router owns backend server {}.", target.server),
                    ..self.no_server()
                },
                load: None,
            });
        };
        if owner.host == self.host {
            let clock = self.clock;
            let admitted = self.owner.admit(|reply| server::offer(open, reply, &clock));
            return admitted.await.map(Grant::Local);
        }
        let admitted = client::admit(&self.links, owner.address, open, &self.clock).await;
        let load = match &admitted {
            Ok(admitted) => Some(admitted.load),
            Err(rejected) => rejected.load,
        };
        if let Some(load) = load {
            let pool = target.pool.clone();
            self.owner.record_peer_load(owner.host.clone(), pool, load);
        }
        admitted.map(|admitted| Grant::Remote(Box::new(admitted)))
    }

    fn open(
        &self,
        request: &Request,
        target: &Target,
        terms: plan::Terms,
        progress: &Progress,
    ) -> hop::Open {
        let remaining = self.clock.remaining(request.deadline);
        hop::Open {
            id: request.id,
            attempt: request::Attempt(rand::random()),
            workspace: request.workspace.clone(),
            chat: request.chat,
            pool: request.pool.clone(),
            server: target.server.clone(),
            cost: request.cost,
            priority: request.priority,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            terms: match terms {
                plan::Terms::Warm => hop::Terms::Warm,
                plan::Terms::Bounded => hop::Terms::Bounded,
                plan::Terms::Queued => hop::Terms::Queued,
            },
            fingerprint: request.fingerprint,
            crashes: progress.reports(self.clock.now()),
            suspect: progress.standing == admission::Standing::Suspect,
            // A request that no other server can take is not given up for a retry.
            idempotent: request.semantics == Semantics::Idempotent && progress.can_move,
            events: request.events,
            method: String::from(request.method.as_str()),
            target: request.target.clone(),
            headers: request.headers.clone(),
            length: request.body.len() as u64,
        }
    }
}

/// Identifies the crash of a server that has an attempt in flight.
///
/// All routers derive the same id, so that a crash counts once against a
/// request, no matter how many routers notice it. Crashes of a server without a
/// boot id are identified by the attempt.
pub fn crash(server: &backend::Server, boot: u64, attempt: request::Attempt) -> recovery::Crash {
    match boot {
        0 => recovery::Crash(attempt.0),
        boot => recovery::Crash::new(server, boot),
    }
}
