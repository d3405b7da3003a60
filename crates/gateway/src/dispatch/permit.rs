//! The right to have one request at one backend server.

use tokio::sync::mpsc;
use units::time::Instant;

use super::{Message, Ticket};
use crate::pool::{Outcome, Place};

/// A place at a backend server. Dropped without an outcome, it counts as cancelled.
#[derive(Debug)]
pub struct Permit {
    ticket: Option<Ticket>,
    place: Place,
    sender: mpsc::UnboundedSender<Message>,
}

impl Permit {
    /// The permit for `ticket`, whose request goes to `place`.
    pub fn new(ticket: Ticket, place: Place, sender: mpsc::UnboundedSender<Message>) -> Self {
        Self {
            ticket: Some(ticket),
            place,
            sender,
        }
    }

    /// Where the request goes, and why.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// The connection to the server came about.
    pub fn connected(&mut self, now: Instant) {
        if let Some(ticket) = &mut self.ticket {
            ticket.connected_at = Some(now);
        }
    }

    /// The first byte of the answer has come.
    pub fn first_byte(&mut self) {
        let Some(ticket) = &mut self.ticket else {
            return;
        };
        if !ticket.has_first_byte {
            ticket.has_first_byte = true;
            // The task ends only with the process.
            drop(self.sender.send(Message::FirstByte(ticket.clone())));
        }
    }

    /// Gives the place back.
    pub fn end(mut self, outcome: Outcome) {
        self.give_back(outcome);
    }

    fn give_back(&mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            // The task ends only with the process.
            drop(self.sender.send(Message::Ended(ticket, outcome)));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.give_back(Outcome::Cancelled);
    }
}
