//! The right to run one request on one backend server.

use std::net;

use tokio::sync::mpsc;
use units::{backend, request, time};
use wire::hop;

use super::message::{Ended, Message, Outcome, Usage};
use crate::{backend::Connection, clock::Clock};

/// What the owner knows of a slot that it gives.
#[derive(Debug)]
pub struct Slot {
    /// The server.
    pub server: backend::Server,
    /// The attempt.
    pub attempt: request::Attempt,
    /// Where the server listens.
    pub address: net::SocketAddr,
    /// The server's boot id as last reported.
    pub boot: Option<String>,
    /// What the owner's servers of the pool carry.
    pub load: hop::Load,
}

/// Holds a slot of a backend server until it is finished or dropped.
///
/// A slot that is never given back would shrink the server's limit for good.
/// So a permit that is dropped on any path counts as cancelled.
#[derive(Debug)]
pub struct Permit {
    slot: Slot,
    idle: Option<Connection>,
    clock: Clock,
    first_byte_at: Option<time::Instant>,
    usage: Option<Usage>,
    owner: Option<mpsc::UnboundedSender<Message>>,
}

impl Permit {
    /// A permit that reports to `owner`.
    pub fn new(
        slot: Slot,
        idle: Option<Connection>,
        clock: Clock,
        owner: mpsc::UnboundedSender<Message>,
    ) -> Self {
        Self {
            slot,
            idle,
            clock,
            first_byte_at: None,
            usage: None,
            owner: Some(owner),
        }
    }

    /// The server.
    pub fn server(&self) -> &backend::Server {
        &self.slot.server
    }

    /// The attempt.
    pub fn attempt(&self) -> request::Attempt {
        self.slot.attempt
    }

    /// Where the server listens.
    pub fn address(&self) -> net::SocketAddr {
        self.slot.address
    }

    /// The server's boot id as last reported.
    pub fn boot(&self) -> Option<&str> {
        self.slot.boot.as_deref()
    }

    /// The hash of the boot id, zero if it is not known.
    pub fn boot_hash(&self) -> u64 {
        self.boot()
            .map_or(0, |boot| xxhash_rust::xxh3::xxh3_64(boot.as_bytes()))
    }

    /// What the owner's servers of the pool carried when the slot was given.
    pub fn load(&self) -> hop::Load {
        self.slot.load
    }

    /// An idle connection to the server, if there is one.
    pub fn take_connection(&mut self) -> Option<Connection> {
        self.idle.take()
    }

    /// Notes that a byte of the answer's body arrived.
    pub fn record_first_byte(&mut self) {
        if self.first_byte_at.is_some() {
            return;
        }
        self.first_byte_at = Some(self.clock.now());
        if let Some(owner) = &self.owner {
            let message = Message::FirstByte(self.slot.server.clone(), self.slot.attempt);
            // As in `report`.
            let _ = owner.send(message);
        }
    }

    /// Notes what the engine says of its use of tokens.
    pub fn set_usage(&mut self, usage: Option<Usage>) {
        self.usage = usage;
    }

    /// Gives the slot back, and the connection where it can be used again.
    pub fn finish(mut self, outcome: Outcome, connection: Option<Connection>) {
        self.report(outcome, connection);
    }

    fn report(&mut self, outcome: Outcome, connection: Option<Connection>) {
        let Some(owner) = self.owner.take() else {
            return;
        };
        let now = self.clock.now();
        let ended = Ended {
            server: self.slot.server.clone(),
            attempt: self.slot.attempt,
            outcome,
            first_byte_at: self.first_byte_at.unwrap_or(now),
            ended_at: now,
            usage: self.usage,
            connection,
        };
        // The owner task outlives all permits but at the process's end, when
        // nobody needs the slot any more.
        let _ = owner.send(Message::Ended(ended));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let idle = self.idle.take();
        self.report(Outcome::Cancelled, idle);
    }
}
