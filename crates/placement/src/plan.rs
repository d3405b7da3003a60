//! The servers that one request is offered to, one after the other.

use smallvec::SmallVec;
use units::{backend, chat, time};

use crate::{history::History, settings::Settings};

/// Under which terms a candidate's owner may accept the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terms {
    /// Only if the owner remembers the chat as cached there. The request may
    /// wait for room as long as [`Settings::warm_queue_timeout`] says.
    Warm,
    /// If the bound admits it at once.
    Bounded,
    /// If the bound admits it, at once or after a wait in the owner's queue.
    Queued,
}

/// One server to offer the request to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: backend::Server,
    /// Under which terms.
    pub terms: Terms,
}

/// The candidates for one request, best first.
///
/// An entry router offers the request to the owner of [`Plan::next`]'s server.
/// If the owner says that it has not run, the next candidate follows, until
/// there is none.
#[derive(Clone, Debug)]
pub struct Plan {
    candidates: SmallVec<[Candidate; 8]>,
    next: usize,
}

impl Plan {
    /// The plan for a request of `chat`.
    ///
    /// First come those that may have the chat cached, on the terms that they
    /// do: the first in rank, one of which took the chat if its home had no
    /// room, and the earlier homes. The offer itself is the question, and costs
    /// no control traffic. Then the first in rank may take the chat uncached,
    /// and last they may let it wait: an owner that cannot start it in time says
    /// so at once, and the home may be one that has just started.
    pub fn new(
        settings: &Settings,
        history: &History,
        chat: chat::Key,
        now: time::Instant,
    ) -> Self {
        let count = settings
            .max_candidates
            .max(settings.max_warm_candidates)
            .max(1);
        let ranked = history.current().rank(chat, count);
        let servers = ranked.iter().map(|member| &member.id);
        let mut plan = Self {
            candidates: SmallVec::new(),
            next: 0,
        };
        for server in servers.clone().take(settings.max_warm_candidates) {
            plan.add_candidate(server, Terms::Warm);
        }
        for server in &history.earlier_homes(chat, now) {
            if !plan
                .candidates
                .iter()
                .any(|existing| existing.server == *server)
            {
                plan.add_candidate(server, Terms::Warm);
            }
        }
        for server in servers.clone().take(settings.max_candidates) {
            plan.add_candidate(server, Terms::Bounded);
        }
        for server in servers.take(settings.max_candidates) {
            plan.add_candidate(server, Terms::Queued);
        }
        plan
    }

    fn add_candidate(&mut self, server: &backend::Server, terms: Terms) {
        self.candidates.push(Candidate {
            server: server.clone(),
            terms,
        });
    }
}

impl Iterator for Plan {
    type Item = Candidate;

    fn next(&mut self) -> Option<Candidate> {
        let candidate = self.candidates.get(self.next)?.clone();
        self.next += 1;
        Some(candidate)
    }
}
