//! The right to run one request on one backend server.

use std::net;

use tokio::sync::mpsc;
use units::{backend, request, time};
use wire::hop;

use super::message::{Ended, Message, Outcome, Usage};
use crate::{backend::Connection, clock::Clock};

/// A granted slot on a backend server.
#[derive(Debug)]
pub struct Slot {
    /// The server.
    pub server: backend::Server,
    /// The attempt.
    pub attempt: request::Attempt,
    /// The address on which the server listens.
    pub address: net::SocketAddr,
    /// The server's boot id as last reported.
    pub boot: Option<String>,
    /// Total load of the owner's servers in the pool.
    pub load: hop::Load,
}

/// Holds a slot on a backend server until it is finished or dropped.
///
/// A slot that is never released would reduce the server's usable limit for
/// good. So a permit that is dropped on any path is reported as cancelled.
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

    /// The address on which the server listens.
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

    /// Total load of the owner's servers in the pool when the slot was granted.
    pub fn load(&self) -> hop::Load {
        self.slot.load
    }

    /// Takes the idle connection to the server, if there is one.
    pub fn take_connection(&mut self) -> Option<Connection> {
        self.idle.take()
    }

    /// Records that the first byte of the response body arrived; later calls
    /// have no effect.
    pub fn record_first_byte(&mut self) {
        if self.first_byte_at.is_some() {
            return;
        }
        self.first_byte_at = Some(self.clock.now());
        if let Some(owner) = &self.owner {
            let message = Message::FirstByte(self.slot.server.clone(), self.slot.attempt);
            // The owner task may have ended, as in `report`.
            let _ = owner.send(message);
        }
    }

    /// Records the token usage reported by the engine.
    pub fn set_usage(&mut self, usage: Option<Usage>) {
        self.usage = usage;
    }

    /// Releases the slot, and returns the connection to the owner if it can be
    /// reused.
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
            address: self.slot.address,
            attempt: self.slot.attempt,
            outcome,
            first_byte_at: self.first_byte_at.unwrap_or(now),
            ended_at: now,
            usage: self.usage,
            connection,
        };
        // The owner task outlives all permits except at process exit, when the
        // slots are no longer needed.
        let _ = owner.send(Message::Ended(ended));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let idle = self.idle.take();
        self.report(Outcome::Cancelled, idle);
    }
}
