//! The state of one request over its attempts.

use placement::plan;
use recovery::{Evidence, Interval, Report, Strike};
use smallvec::SmallVec;
use units::{backend, request::Fingerprint, time::Instant};
use verdict::{Code, Refusal, Verdict};

use crate::{
    request::Request,
    tracker::{self, Ending},
};

/// The results of the attempts at a request so far.
pub(super) struct Progress {
    pub(super) refusal: Refusal,
    pub(super) standing: admission::Standing,
    pub(super) attempts: u32,
    /// Whether another server can take the request if the current attempt fails.
    pub(super) can_move: bool,
    /// Servers that may have run the request or cannot be reached.
    pub(super) failed: SmallVec<[backend::Server; 4]>,
    /// The first server that was at its limit.
    pub(super) busy: Option<backend::Server>,
    /// The crashes of servers that had the request in flight.
    pub(super) crashes: SmallVec<[Strike; 2]>,
}

impl Progress {
    /// Starts without attempts; `refusal` is returned to the caller if none is
    /// made.
    pub(super) fn new(refusal: Refusal, standing: admission::Standing) -> Self {
        Self {
            refusal,
            standing,
            attempts: 0,
            can_move: false,
            failed: SmallVec::new(),
            busy: None,
            crashes: SmallVec::new(),
        }
    }

    /// Records the refusal of a failed attempt.
    ///
    /// A server at its limit is more informative to the caller than an
    /// unreachable one, and the caller can do nothing about a change of
    /// ownership. The verdict covers all attempts so far.
    pub(super) fn record_refusal(&mut self, refusal: Refusal) {
        let verdict = self.refusal.verdict.and(refusal.verdict);
        let may_have_run = refusal.verdict == Verdict::MayHaveRun;
        let is_less_informative = match refusal.code {
            Code::Moved => true,
            Code::NoServer => self.busy.is_some(),
            _ => false,
        };
        if may_have_run || !is_less_informative {
            self.refusal = refusal;
        }
        self.refusal.verdict = verdict;
    }

    /// Records that a server crashed with the request in flight.
    pub(super) fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        attempt: tracker::Attempt,
        now: Instant,
    ) {
        self.standing = admission::Standing::Suspect;
        self.crashes.push(Strike {
            fingerprint,
            crash: attempt.crash,
            interval: Interval::new(attempt.began_at, now),
        });
    }

    /// The crashes with the request in flight, as reported to an owner at `now`.
    pub(super) fn reports(&self, now: Instant) -> SmallVec<[Report; 2]> {
        let strikes = self.crashes.iter();
        strikes
            .map(|strike| Report::new(&Evidence::Strike(*strike), now))
            .collect()
    }

    /// The final refusal, without a retry time if the request must not be
    /// repeated.
    pub(super) fn final_refusal(&self, refusal: Refusal, request: &Request) -> Refusal {
        // Two servers crashed with the request in flight; sending it again
        // would probably crash more.
        if self.crashes.len() > 1 {
            return Refusal {
                code: Code::Suspect,
                retry_at: None,
                ..refusal
            };
        }
        if request.is_unsafe_to_retry() {
            return Refusal {
                retry_at: None,
                ..refusal
            };
        }
        refusal
    }

    /// Records a server that refused the request without running it.
    pub(super) fn record_not_run(&mut self, server: backend::Server, code: Code) {
        match code {
            Code::Busy if self.busy.is_none() => self.busy = Some(server),
            Code::Busy => {}
            _ => self.failed.push(server),
        }
    }

    /// Records whether one of the candidates after `server` can take the request
    /// if the attempt on it fails.
    pub(super) fn record_alternatives(
        &mut self,
        server: &backend::Server,
        rest: &[plan::Candidate],
        max_attempts: u32,
    ) {
        let is_other = |candidate: &plan::Candidate| {
            candidate.server != *server && !self.failed.contains(&candidate.server)
        };
        self.can_move = self.attempts + 1 < max_attempts && rest.iter().any(is_other);
    }

    /// The server to offer the request to for a candidate.
    ///
    /// The last candidate is the home server, where the request may wait in the
    /// queue. If the home server is unreachable, the request would be refused
    /// although other servers were only at their limit at that moment. So it
    /// waits at the first of those instead.
    pub(super) fn server<'a>(&'a self, candidate: &'a plan::Candidate) -> &'a backend::Server {
        let is_queued = candidate.terms == plan::Terms::Queued;
        match &self.busy {
            Some(busy) if is_queued && self.failed.contains(&candidate.server) => busy,
            _ => &candidate.server,
        }
    }
}

/// How an attempt that failed with this code counts for its server.
pub fn ending_of(code: Code) -> Ending {
    match code {
        Code::BackendDied => Ending::Crashed,
        Code::Deadline => Ending::TimedOut,
        _ => Ending::Failed,
    }
}
