//! Requests for updates that this router has missed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;
use units::{host, time::Instant};

use super::{Part, Versions, fetch, task::Task};
use crate::{
    follow::Event,
    metrics::Distance,
    source::{Source, Topic},
};

/// Store reads of all routers are spread over this time.
const STORE_JITTER: Duration = Duration::from_millis(150);
/// The timeout of such a store read.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum backoff after a peer that is busy, before another request.
const MAX_BUSY_BACKOFF: Duration = Duration::from_millis(140);

/// Which requests are in flight; there is at most one of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlight {
    store: bool,
    configuration: bool,
    rest: bool,
}

impl InFlight {
    fn peer(&mut self, part: Part) -> &mut bool {
        match part {
            Part::Configuration => &mut self.configuration,
            Part::Rest => &mut self.rest,
        }
    }
}

/// The completion of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completion {
    /// A read of the configuration from the store, and whether it returned a newer one.
    Store { is_newer: bool },
    /// A request to a peer.
    Peer(Part, Outcome),
}

/// The outcome of a request to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// All rows were received.
    Received,
    /// The peer is serving other requests.
    Busy,
    /// The peer at this address did not answer, or its response was incomplete.
    Failed(SocketAddr),
}

impl<S: Source> Task<S> {
    /// Requests the updates that this router has missed.
    pub(super) fn catch_up(&mut self) {
        let now = self.clock.now();
        let own = self.versions();
        self.catch_up_with_peer(Part::Configuration, own, now);
        self.catch_up_with_peer(Part::Rest, own, now);
        self.catch_up_with_store(own, now);
        self.repair_divergence(own, now);
    }

    /// Anti-entropy: fetches all rows of a peer that is at the same versions but holds
    /// different rows.
    fn repair_divergence(&mut self, own: Versions, now: Instant) {
        let checksum = self.checksum();
        let Some(address) = self.table.select_diverged(own, checksum, now) else {
            return;
        };
        for part in [Part::Configuration, Part::Rest] {
            if !std::mem::replace(self.in_flight.peer(part), true) {
                self.fetch_from_peer(address, part, Versions::default());
            }
        }
    }

    /// Reads the configuration from the store if that is due and this router does not watch
    /// it anyway.
    fn catch_up_with_store(&mut self, own: Versions, now: Instant) {
        if self.table.newest_configuration() <= own.configuration {
            self.store_fallback.caught_up();
            return;
        }
        let is_watching = *self.outputs.is_watching.borrow();
        let is_transferring = self.in_flight.configuration;
        if !is_watching
            && !self.in_flight.store
            && self.store_fallback.is_store_due(is_transferring, now)
        {
            self.in_flight.store = true;
            self.fetch_from_store(own.configuration);
        }
    }

    /// Requests from a peer the rows that are newer than `known`.
    fn catch_up_with_peer(&mut self, part: Part, known: Versions, now: Instant) {
        if *self.in_flight.peer(part) {
            return;
        }
        let is_watching = *self.outputs.is_watching.borrow();
        let random = rand::random::<u32>() as usize;
        let members = Arc::clone(&self.inputs.members.borrow());
        let zone = &self.inputs.own.zone;
        let is_same_zone = |host: &host::Id| {
            let mut same_zone = members.iter().filter(|member| member.zone == *zone);
            same_zone.any(|member| member.host == *host)
        };
        let table = &mut self.table;
        if let Some(address) =
            table.select_ahead(part, known, is_watching, is_same_zone, random, now)
        {
            *self.in_flight.peer(part) = true;
            self.fetch_from_peer(address, part, known);
        }
    }

    pub(super) fn complete(&mut self, completion: Completion) {
        let now = self.clock.now();
        match completion {
            Completion::Store { is_newer } => {
                self.in_flight.store = false;
                if !is_newer {
                    self.store_fallback.store_failed(now);
                }
            }
            Completion::Peer(part, outcome) => {
                *self.in_flight.peer(part) = false;
                self.complete_peer(part, outcome);
            }
        }
    }

    fn complete_peer(&mut self, part: Part, outcome: Outcome) {
        match outcome {
            Outcome::Received => {}
            Outcome::Busy => self.catch_up(),
            Outcome::Failed(address) => {
                self.table.mark_failed(address);
                if part == Part::Configuration {
                    self.store_fallback.peer_failed();
                }
                self.catch_up();
            }
        }
    }

    fn fetch_from_store(&self, known: u64) {
        let source = self.source.clone();
        let events = self.outputs.events.clone();
        let completions = self.completions_sender.clone();
        tokio::spawn(async move {
            time::sleep(STORE_JITTER.mul_f64(rand::random())).await;
            let deadline = time::Instant::now() + STORE_TIMEOUT;
            let is_newer = match source.read(Topic::Configuration, deadline).await {
                Ok(batch) => {
                    // A stale response counts as a failure.
                    let is_newer = batch.rows.iter().any(|row| row.version > known);
                    let event = Event::Batch(Topic::Configuration, batch);
                    drop(events.send(event).await);
                    is_newer
                }
                Err(error) => {
                    logging::event!(info, "store_read_failed", reason = error);
                    false
                }
            };
            // The receiver lives as long as the process.
            let _ = completions.send(Completion::Store { is_newer }).await;
        });
    }

    fn distance_to(&self, address: SocketAddr) -> Distance {
        let members = self.inputs.members.borrow();
        let mut members = members.iter();
        let zone = members
            .find(|member| member.address == address)
            .map(|member| &member.zone);
        Distance::between(Some(&self.inputs.own.zone), zone)
    }

    /// Fetches the rows that are newer than `known` from a peer.
    fn fetch_from_peer(&self, address: SocketAddr, part: Part, known: Versions) {
        logging::event!(
            info,
            "peer_ahead",
            peer = address,
            part = part,
            configuration = known.configuration,
            servers = known.servers,
            routers = known.routers
        );
        let key = self.seals.key.clone();
        let events = self.outputs.events.clone();
        let completions = self.completions_sender.clone();
        let metrics = Arc::clone(&self.outputs.metrics);
        let distance = self.distance_to(address);
        tokio::spawn(async move {
            let outcome = match fetch::request(address, &key, part.of(known)).await {
                Ok(rows) => {
                    metrics.peer_bytes("rows_received", distance, rows.bytes);
                    for (topic, batch) in rows.batches {
                        // The receiver lives as long as the process.
                        drop(events.send(Event::Relayed(topic, batch)).await);
                    }
                    Outcome::Received
                }
                Err(fetch::Failure::Busy) => {
                    let jitter = rand::random::<f64>() / 2.0;
                    time::sleep(MAX_BUSY_BACKOFF.mul_f64(0.5 + jitter)).await;
                    Outcome::Busy
                }
                Err(fetch::Failure::Link(_)) => Outcome::Failed(address),
            };
            let _ = completions.send(Completion::Peer(part, outcome)).await;
        });
    }
}
