//! How far the offers of one request have come.

use placement::plan;
use smallvec::SmallVec;
use units::backend;
use verdict::{Code, Refusal, Verdict};

use crate::{request::Request, tracker::Ending};

/// How far the attempts at a request have come.
pub(super) struct Progress {
    pub(super) refusal: Refusal,
    pub(super) standing: admission::Standing,
    pub(super) attempts: u32,
    /// Servers that may have run the request, or cannot be reached.
    pub(super) failed: SmallVec<[backend::Server; 4]>,
    /// The first server that had no room.
    pub(super) busy: Option<backend::Server>,
    /// The deaths of servers that had the request in flight.
    pub(super) crashes: SmallVec<[u64; 2]>,
}

impl Progress {
    /// A progress without attempts; `refusal` is told if there is none.
    pub(super) fn new(refusal: Refusal, standing: admission::Standing) -> Self {
        Self {
            refusal,
            standing,
            attempts: 0,
            failed: SmallVec::new(),
            busy: None,
            crashes: SmallVec::new(),
        }
    }

    /// Takes over the refusal of a failed attempt.
    ///
    /// A server with no room says more to the caller than one that is gone, and
    /// who owns a server is nothing that a caller can act on. The verdict
    /// covers all attempts so far.
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

    /// Notes that a server died with the request in flight.
    pub(super) fn record_crash(&mut self, crash: u64) {
        self.standing = admission::Standing::Suspect;
        self.crashes.push(crash);
    }

    /// The final refusal, given what may follow from it.
    pub(super) fn final_refusal(&self, refusal: Refusal, request: &Request) -> Refusal {
        // Two servers died with it: sending it again helps nobody.
        if self.crashes.len() > 1 {
            return Refusal {
                code: Code::Suspect,
                retry_at: None,
                ..refusal
            };
        }
        if request.is_unsafe_to_repeat() {
            return Refusal {
                retry_at: None,
                ..refusal
            };
        }
        refusal
    }

    /// Notes a server that did not take the request.
    pub(super) fn record_not_run(&mut self, server: backend::Server, code: Code) {
        match code {
            Code::Busy if self.busy.is_none() => self.busy = Some(server),
            Code::Busy => {}
            _ => self.failed.push(server),
        }
    }

    /// The server that a candidate stands for.
    ///
    /// The last candidate is the home, to wait there. A home that cannot be
    /// reached would refuse the request although others only had no room at
    /// that moment, so it waits at the first of those instead.
    pub(super) fn server<'a>(&'a self, candidate: &'a plan::Candidate) -> &'a backend::Server {
        let is_queued = candidate.terms == plan::Terms::Queued;
        match &self.busy {
            Some(busy) if is_queued && self.failed.contains(&candidate.server) => busy,
            _ => &candidate.server,
        }
    }
}

/// How an attempt with this refusal counts for its server.
pub fn ending_of(code: Code) -> Ending {
    match code {
        Code::BackendDied => Ending::Crashed,
        _ => Ending::Failed,
    }
}
