//! The servers that a request is offered to, in order.

use smallvec::SmallVec;
use units::{backend, chat, time};

use crate::{history::History, settings::Settings};

/// The terms under which a candidate's owner may accept the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terms {
    /// Only if the server may have the chat cached. If it is known to be cached,
    /// the request may queue for up to [`Settings::warm_queue_timeout`].
    Warm,
    /// Only if the server has capacity within the load bound, without queueing.
    Bounded,
    /// In any case: admission runs the request when the load bound allows it, lets
    /// it queue until then, or refuses it.
    Queued,
}

/// One server to offer the request to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: backend::Server,
    /// The terms of the offer.
    pub terms: Terms,
}

/// The candidates for one request, best first.
///
/// The entry router offers the request to the owner of the server that
/// [`Plan::next`] returns. If the owner reports that the request has not run,
/// the entry router tries the next candidate, until there are none left.
#[derive(Clone, Debug)]
pub struct Plan {
    candidates: SmallVec<[Candidate; 8]>,
    next: usize,
}

impl Plan {
    /// Plans the candidates for a request of `chat`, in this order:
    ///
    /// - [`Terms::Warm`]: servers that may have the chat cached. These are the
    ///   highest-ranked servers, one of which accepted the chat if its home had no
    ///   capacity, and the chat's earlier homes. The offer itself serves as the
    ///   cache lookup, so no extra control traffic is needed.
    /// - [`Terms::Bounded`]: the highest-ranked servers, whether or not they have the
    ///   chat cached.
    /// - [`Terms::Queued`]: the same servers, where the request may queue. An owner
    ///   that cannot start the request in time refuses it immediately; the home may
    ///   be a server that has just started.
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
