//! Claims a request if needed, and offers it to one server after another.

use std::{sync::Arc, time::Duration};

use placement::plan;
use units::chat;
use verdict::{Code, Refusal, Verdict};

use super::{
    Entry, NOT_READY_RETRY_MS, Reply, Served,
    attempt::Failure,
    progress::{Progress, ending_of},
};
use crate::{
    claims::{self, Claimed},
    completion::Reporter,
    request::{Request, Semantics},
    response::retry_instant,
    tracker::{self, Ending},
    view::{Pool, Target},
};

impl Entry {
    /// Serves a request, and claims it first if it must not run twice.
    ///
    /// # Errors
    ///
    /// The final refusal, whose verdict covers all attempts.
    pub async fn handle(&self, request: Request) -> Result<Reply, Refusal> {
        let key = request.idempotency_key.as_ref();
        let key = key.filter(|_| request.semantics == Semantics::AtMostOnce);
        let Some(key) = key else {
            let served = self.dispatch(request, &mut None).await?;
            return Ok(Reply::Served(Box::new(served)));
        };
        let mut claim = match self.claims.claim(&request, key).await? {
            Claimed::Granted(guard) => Some(guard),
            Claimed::Recorded(outcome) => return Ok(Reply::Recorded(outcome)),
        };
        match self.dispatch(request, &mut claim).await {
            Ok(served) => {
                let reporter = served.reporter.with_claim(claim.take(), &served.upstream);
                Ok(Reply::Served(Box::new(Served { reporter, ..served })))
            }
            Err(refusal) => {
                if let Some(claim) = claim.filter(|_| refusal.verdict == Verdict::NotRun) {
                    claim.not_run();
                }
                Err(refusal)
            }
        }
    }

    /// Offers a request to one server after another, until one of them responds
    /// or no further attempt is allowed.
    async fn dispatch(
        &self,
        request: Request,
        claim: &mut Option<claims::Guard>,
    ) -> Result<Served, Refusal> {
        let view = Arc::clone(&self.view.borrow());
        let Some(pool) = view.pools.get(&request.pool) else {
            let message = "The route's pool is not declared.";
            return Err(Refusal::not_run(Code::NoServer, message));
        };
        let limit = view
            .snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.workspace(&request.workspace)?.max_in_flight);
        let begun = self
            .tracker
            .begin(request.workspace.clone(), limit, request.fingerprint)
            .await?;
        let mut progress = Progress::new(self.no_server(), begun.standing);
        let candidates = self.candidates(&request, pool);
        for (index, candidate) in candidates.iter().enumerate() {
            let server = progress.server(candidate);
            let Some(target) = view.targets.get(server) else {
                continue;
            };
            if progress.failed.contains(server) {
                continue;
            }
            let max_attempts = recovery::Settings::default().max_attempts;
            progress.record_alternatives(&target.server, &candidates[index + 1..], max_attempts);
            if self.clock.now() >= request.deadline {
                return Err(self.deadline_exceeded(progress.refusal.verdict));
            }
            let attempted = self
                .attempt(&request, target, candidate.terms, &progress, claim)
                .await;
            let failed = match attempted {
                Ok(attempted) => {
                    let reporter = Reporter::new(
                        begun.guard,
                        target,
                        attempted.attempt,
                        attempted.upstream.status,
                    );
                    return Ok(Served {
                        upstream: attempted.upstream,
                        reporter,
                    });
                }
                Err(failed) => failed,
            };
            let remaining = candidates.len() - index - 1;
            self.handle_failure(
                &mut progress,
                failed,
                &request,
                target,
                &begun.guard,
                remaining,
            )
            .await?;
        }
        Err(progress.refusal)
    }

    /// Records a failed attempt and decides whether another one follows.
    ///
    /// # Errors
    ///
    /// The final refusal, if no other attempt follows.
    async fn handle_failure(
        &self,
        progress: &mut Progress,
        failed: Failure,
        request: &Request,
        target: &Target,
        guard: &tracker::Guard,
        remaining: usize,
    ) -> Result<(), Refusal> {
        let code = failed.refusal.code;
        let verdict = failed.refusal.verdict;
        progress.record_refusal(failed.refusal);
        let server = target.server.clone();
        if verdict == Verdict::NotRun && code == Code::Suspect {
            // The owner knows of crashes that have not been reported to this
            // router yet.
            return Err(progress.refusal.clone());
        }
        if verdict == Verdict::NotRun {
            self.metrics.spilled();
            progress.record_not_run(server, code);
            return Ok(());
        }
        let ending = ending_of(code);
        guard.attempt_ended(target.pool.clone(), server.clone(), failed.attempt, ending);
        if ending == Ending::Crashed {
            progress.record_crash(request.fingerprint, failed.attempt, self.clock.now());
        }
        progress.attempts += 1;
        progress.failed.push(server);
        let failure = tracker::Failure {
            workspace: request.workspace.clone(),
            cause: recovery::Cause::Failed,
            refusal: progress.refusal.clone(),
            idempotent: request.semantics == Semantics::Idempotent,
            attempts: progress.attempts,
            refusals: 0,
            candidates: remaining,
            deadline: request.deadline,
        };
        match self.tracker.decide(failure).await {
            recovery::Retry::Next => {
                self.metrics.retried();
                Ok(())
            }
            recovery::Retry::GiveUp(refusal) => Err(progress.final_refusal(refusal, request)),
        }
    }

    /// The servers to offer a request to, in order, without the ejected ones.
    fn candidates(&self, request: &Request, pool: &Pool) -> Vec<plan::Candidate> {
        let settings = crate::view::placement_settings(&pool.declared);
        // Requests without a chat are spread evenly.
        let chat = request.chat.unwrap_or(chat::Key(request.id.0));
        let ejected = self.tracker.ejected();
        let plan = placement::Plan::new(&settings, &pool.history, chat, self.clock.now());
        plan.filter(|candidate| request.chat.is_some() || candidate.terms != plan::Terms::Warm)
            .filter(|candidate| !ejected.contains(&candidate.server))
            .collect()
    }

    pub(super) fn no_server(&self) -> Refusal {
        Refusal::not_run(Code::NoServer, "No backend server is available.")
            .retry_at(retry_instant(&self.clock, NOT_READY_RETRY_MS))
    }

    fn deadline_exceeded(&self, verdict: Verdict) -> Refusal {
        let refusal = Refusal::not_run(
            Code::Deadline,
            "The deadline passed before the request ran.",
        )
        .retry_at(self.clock.now() + Duration::from_secs(1));
        Refusal { verdict, ..refusal }
    }
}
