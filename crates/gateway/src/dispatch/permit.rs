//! The right to have one request at one backend server.

use std::net::SocketAddr;

use tokio::sync::mpsc;
use units::backend;

use super::{Message, Ticket};
use crate::pool::Outcome;

/// A place at a backend server. Dropped without an outcome, it counts as cancelled.
#[derive(Debug)]
pub struct Permit {
    ticket: Option<Ticket>,
    server: backend::Server,
    address: SocketAddr,
    handle: mpsc::UnboundedSender<Message>,
}

impl Permit {
    /// The permit for `ticket`, whose server listens at `address`.
    pub fn new(
        ticket: Ticket,
        address: SocketAddr,
        handle: mpsc::UnboundedSender<Message>,
    ) -> Self {
        Self {
            server: ticket.server.clone(),
            ticket: Some(ticket),
            address,
            handle,
        }
    }

    /// The server.
    pub fn server(&self) -> &backend::Server {
        &self.server
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The first byte of the answer has come.
    pub fn first_byte(&mut self) {
        let Some(ticket) = &mut self.ticket else {
            return;
        };
        if !ticket.is_read {
            ticket.is_read = true;
            // The task ends only with the process.
            drop(self.handle.send(Message::FirstByte(ticket.clone())));
        }
    }

    /// Gives the place back.
    pub fn end(mut self, outcome: Outcome) {
        self.give_back(outcome);
    }

    fn give_back(&mut self, outcome: Outcome) {
        if let Some(ticket) = self.ticket.take() {
            // As above.
            drop(self.handle.send(Message::Ended(ticket, outcome)));
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.give_back(Outcome::Cancelled);
    }
}
