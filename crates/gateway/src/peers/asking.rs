//! Questions for what this router has missed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;
use units::{host, time::Instant};

use super::{Part, Versions, fetch, task::Task};
use crate::{
    follow::Event,
    source::{Source, Topic},
};

/// The reads of the store by all routers are spread over this time.
const STORE_SPREAD: Duration = Duration::from_millis(150);
/// How long such a read may take.
const STORE_LIMIT: Duration = Duration::from_millis(800);
/// The longest pause after a router that is busy, which another question follows.
const BUSY_PAUSE: Duration = Duration::from_millis(140);

/// Which questions are open; there is one of each kind at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Asking {
    store: bool,
    configuration: bool,
    rest: bool,
}

impl Asking {
    fn peer(&mut self, part: Part) -> &mut bool {
        match part {
            Part::Configuration => &mut self.configuration,
            Part::Rest => &mut self.rest,
        }
    }
}

/// The end of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The store was asked for the configuration, and whether it knew a newer one.
    Store { is_news: bool },
    /// Another router was asked.
    Peer(Part, Outcome),
}

/// How a question to another router ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The rows have come.
    Answered,
    /// It is answering others.
    Busy,
    /// The router at this address did not answer.
    Failed(SocketAddr),
}

impl<S: Source> Task<S> {
    /// Asks for what this router has missed.
    pub(super) fn catch_up(&mut self) {
        let now = self.clock.now();
        let own = self.versions();
        self.catch_up_with_peer(Part::Configuration, own, now);
        self.catch_up_with_peer(Part::Rest, own, now);
        self.catch_up_with_store(own, now);
        self.compare(own, now);
    }

    /// Asks for all rows of a router that holds others at the same versions.
    fn compare(&mut self, own: Versions, now: Instant) {
        let sum = self.sum();
        let Some(address) = self.roll.differing(own, sum, now) else {
            return;
        };
        for part in [Part::Configuration, Part::Rest] {
            if !std::mem::replace(self.is_asking.peer(part), true) {
                self.ask_peer(address, part, Versions::default());
            }
        }
    }

    /// Asks the store for the configuration, unless this router watches it anyway.
    fn catch_up_with_store(&mut self, own: Versions, now: Instant) {
        if self.roll.newest_configuration() <= own.configuration {
            self.origin.caught_up();
            return;
        }
        let is_watching = *self.outputs.is_watching.borrow();
        let is_answering = self.is_asking.configuration;
        if !is_watching && !self.is_asking.store && self.origin.is_store_due(is_answering, now) {
            self.is_asking.store = true;
            self.ask_store(own.configuration);
        }
    }

    /// Asks another router for what is newer than `known`.
    fn catch_up_with_peer(&mut self, part: Part, known: Versions, now: Instant) {
        if *self.is_asking.peer(part) {
            return;
        }
        let is_watching = *self.outputs.is_watching.borrow();
        let random = rand::random::<u32>() as usize;
        let members = Arc::clone(&self.inputs.members.borrow());
        let zone = &self.inputs.own.zone;
        let is_near = |host: &host::Id| {
            let mut near = members.iter().filter(|member| member.zone == *zone);
            near.any(|member| member.host == *host)
        };
        let roll = &mut self.roll;
        if let Some(address) = roll.ahead(part, known, is_watching, is_near, random, now) {
            *self.is_asking.peer(part) = true;
            self.ask_peer(address, part, known);
        }
    }

    pub(super) fn ended(&mut self, end: End) {
        let now = self.clock.now();
        match end {
            End::Store { is_news } => {
                self.is_asking.store = false;
                if !is_news {
                    self.origin.store_failed(now);
                }
            }
            End::Peer(part, outcome) => {
                *self.is_asking.peer(part) = false;
                self.peer_ended(part, outcome);
            }
        }
    }

    fn peer_ended(&mut self, part: Part, outcome: Outcome) {
        match outcome {
            Outcome::Answered => {}
            Outcome::Busy => self.catch_up(),
            Outcome::Failed(address) => {
                self.roll.forget(address);
                if part == Part::Configuration {
                    self.origin.peer_failed();
                }
                self.catch_up();
            }
        }
    }

    fn ask_store(&self, known: u64) {
        let source = self.source.clone();
        let events = self.outputs.events.clone();
        let done = self.done.clone();
        tokio::spawn(async move {
            time::sleep(STORE_SPREAD.mul_f64(rand::random())).await;
            let deadline = time::Instant::now() + STORE_LIMIT;
            let is_news = match source.read(Topic::Configuration, deadline).await {
                Ok(batch) => {
                    // A stale answer is no better than none.
                    let is_news = batch.rows.iter().any(|row| row.version > known);
                    let event = Event::Batch(Topic::Configuration, batch);
                    drop(events.send(event).await);
                    is_news
                }
                Err(error) => {
                    logging::event!(info, "store_read_failed", reason = error);
                    false
                }
            };
            // The task ends only with the process.
            let _ = done.send(End::Store { is_news }).await;
        });
    }

    /// Asks a router that knows more than this one.
    fn ask_peer(&self, address: SocketAddr, part: Part, known: Versions) {
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
        let done = self.done.clone();
        tokio::spawn(async move {
            let outcome = match fetch::ask(address, &key, part.of(known)).await {
                Ok(batches) => {
                    for (topic, batch) in batches {
                        // The task ends only with the process.
                        drop(events.send(Event::Relayed(topic, batch)).await);
                    }
                    Outcome::Answered
                }
                Err(fetch::Failure::Busy) => {
                    let spread = rand::random::<f64>() / 2.0;
                    time::sleep(BUSY_PAUSE.mul_f64(0.5 + spread)).await;
                    Outcome::Busy
                }
                Err(fetch::Failure::Link(_)) => Outcome::Failed(address),
            };
            let _ = done.send(End::Peer(part, outcome)).await;
        });
    }
}
