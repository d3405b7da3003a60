//! A permit to send one request to one backend server.

use std::{collections::BTreeSet, sync::Arc};

use recovery::quarantine::Combination;

use tokio::sync::{mpsc, oneshot, watch};
use units::{host, request::Fingerprint, time::Instant};

use super::{Announcement, LoadReport, Message, ResponseProgress, Ticket};
use crate::{
    advisory::Advisory,
    pool::{Outcome, Placement},
};

/// The requests that are refused because they crash servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// The fingerprints of single requests.
    pub requests: BTreeSet<Fingerprint>,
    /// Prompt parts. A request is refused if it holds all of one combination.
    pub parts: BTreeSet<Combination>,
}

impl Refused {
    /// Whether the request of `ticket` is refused.
    pub fn contains(&self, ticket: &Ticket) -> bool {
        if self.requests.contains(&ticket.fingerprint) {
            return true;
        }
        if ticket.is_part_trial {
            return false;
        }
        let chain = ticket.request().chain();
        self.parts.iter().any(|parts| parts.is_held_by(&chain))
    }
}

/// What may show, until a request is sent, that it must not be sent any more.
#[derive(Debug)]
pub struct Withdrawals {
    /// What the server announces.
    pub announcements: watch::Receiver<Advisory>,
    /// The requests that are refused because they crash servers.
    pub refused: watch::Receiver<Arc<Refused>>,
}

/// The number of pieces of a response from which on its progress is reported, each time that the
/// number has doubled. Shorter responses stay within what is set aside for them.
const MIN_PROGRESS: u32 = 64;

/// A slot at a backend server. If it is dropped without an outcome, the request counts
/// as cancelled.
#[derive(Debug)]
pub struct Permit {
    ticket: Option<Ticket>,
    placement: Placement,
    withdrawals: Withdrawals,
    sender: mpsc::UnboundedSender<Message>,
    sent: Option<oneshot::Sender<()>>,
}

impl Permit {
    /// Creates the permit for the request of `ticket`, which is sent to `placement`.
    pub fn new(
        ticket: Ticket,
        placement: Placement,
        withdrawals: Withdrawals,
        sender: mpsc::UnboundedSender<Message>,
    ) -> Self {
        Self {
            ticket: Some(ticket),
            placement,
            withdrawals,
            sender,
            sent: None,
        }
    }

    /// Signals when the request is being sent; the signal is dropped if it is not.
    pub fn signal_sent(&mut self) -> oneshot::Receiver<()> {
        let (sent, is_sent) = oneshot::channel();
        self.sent = Some(sent);
        is_sent
    }

    /// Records that the request is being sent.
    pub fn sent(&mut self) {
        if let Some(sent) = self.sent.take() {
            // Nobody may wait for it any more.
            let _ = sent.send(());
        }
    }

    /// Whether the server has asked for a pause or announced its shutdown since the request
    /// was placed, or the request is refused by now.
    pub fn is_withdrawn(&self, now: Instant) -> bool {
        let advisory = *self.withdrawals.announcements.borrow();
        let refused = self.withdrawals.refused.borrow();
        let ticket = self.ticket.as_ref();
        let is_refused = ticket.is_some_and(|ticket| refused.contains(ticket));
        is_refused || advisory.is_leaving || advisory.is_throttled(now)
    }

    /// The chosen server and the state the choice was based on.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Records that the connection to the server was established.
    pub fn connected(&mut self, now: Instant) {
        if let Some(ticket) = &mut self.ticket {
            ticket.connected_at = Some(now);
        }
    }

    /// Records a router that provides connections, as the egress router of the request said.
    pub fn set_provider(&mut self, provider: Option<host::Id>) {
        if let Some(ticket) = &mut self.ticket {
            ticket.provider = provider;
        }
    }

    /// Records that a part of the response has arrived.
    pub fn received(&mut self, now: Instant) {
        let Some(ticket) = &mut self.ticket else {
            return;
        };
        ticket.last_byte_at = Some(now);
        ticket.pieces = ticket.pieces.saturating_add(1);
        if !ticket.parts.is_empty()
            && ticket.pieces >= MIN_PROGRESS
            && ticket.pieces.is_power_of_two()
        {
            let progress = ResponseProgress {
                pool: ticket.pool.clone(),
                server: ticket.server.clone(),
                request: ticket.request,
                pieces: ticket.pieces,
            };
            // The dispatch task runs as long as the process.
            drop(self.sender.send(Message::ResponseProgress(progress)));
        }
        if !ticket.has_first_byte {
            ticket.has_first_byte = true;
            // The dispatch task runs as long as the process.
            drop(self.sender.send(Message::FirstByte(ticket.clone())));
        }
    }

    /// Records that the server has sent nothing for some time.
    pub fn stalled(&self) {
        if let Some(ticket) = &self.ticket {
            // The dispatch task runs as long as the process.
            drop(self.sender.send(Message::Stalled(ticket.clone())));
        }
    }

    /// Records what the server has announced in its response to the request `id`.
    pub fn record_advisory(&self, id: &str, advisory: Advisory) {
        if advisory.is_empty() {
            return;
        }
        if let Some(ticket) = &self.ticket {
            let announcement = Announcement {
                request: String::from(id),
                pool: ticket.pool.clone(),
                server: ticket.server.clone(),
                incarnation: ticket.incarnation,
                advisory,
            };
            // The dispatch task runs as long as the process.
            drop(self.sender.send(Message::Announcement(announcement)));
        }
    }

    /// Records what the server has reported of its load.
    pub fn record_load_report(&self, report: load_report::Report) {
        if let Some(ticket) = &self.ticket {
            let report = LoadReport {
                pool: ticket.pool.clone(),
                server: ticket.server.clone(),
                incarnation: ticket.incarnation,
                report,
            };
            // The dispatch task runs as long as the process.
            drop(self.sender.send(Message::LoadReport(report)));
        }
    }

    /// Records that the server has responded with success.
    pub fn succeeded(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            ticket.has_succeeded = true;
        }
    }

    /// Records that the server has responded that it failed.
    pub fn failed(&mut self) {
        if let Some(ticket) = &mut self.ticket {
            ticket.has_failed = true;
        }
    }

    /// Frees the slot and records the outcome of the request.
    pub fn end(mut self, outcome: Outcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            // The dispatch task runs as long as the process.
            drop(self.sender.send(Message::Ended(ticket, outcome)));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(Outcome::Cancelled);
    }
}
