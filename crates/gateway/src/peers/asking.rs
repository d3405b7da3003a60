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
/// How long other routers are asked after a read of the store failed.
const STORE_PAUSE: Duration = Duration::from_millis(1500);

/// Which parts are being asked for; there is one question for each at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Asking {
    configuration: bool,
    rest: bool,
}

impl Asking {
    fn of(&mut self, part: Part) -> &mut bool {
        match part {
            Part::Configuration => &mut self.configuration,
            Part::Rest => &mut self.rest,
        }
    }
}

/// The end of a question to the store or to another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct End {
    part: Part,
    outcome: Outcome,
}

/// How a question ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The rows have come.
    Answered,
    /// The store did not answer, or knew nothing new.
    StoreFailed,
    /// The router at this address did not answer.
    PeerFailed(SocketAddr),
}

impl<S: Source> Task<S> {
    /// Asks for what this router has missed.
    ///
    /// The configuration may be large, and its bytes over many slow links
    /// between routers take longer than one call to the store. What is small
    /// comes from another router, and everything does while the store is away.
    pub(super) fn catch_up(&mut self) {
        let now = self.clock.now();
        let is_watching = *self.outputs.is_watching.borrow();
        let own = self.versions();
        let is_store_usable = !is_watching && now >= self.store_failed_until;
        if !is_store_usable {
            self.catch_up_with_peer(Part::Configuration, own, now);
        } else if !self.is_asking.configuration
            && self.roll.newest_configuration() > own.configuration
        {
            self.is_asking.configuration = true;
            self.ask_store(own.configuration);
        }
        self.catch_up_with_peer(Part::Rest, own, now);
    }

    /// Asks another router for what is newer than `known`.
    fn catch_up_with_peer(&mut self, part: Part, known: Versions, now: Instant) {
        if *self.is_asking.of(part) {
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
            *self.is_asking.of(part) = true;
            self.ask_peer(address, part, known);
        }
    }

    pub(super) fn ended(&mut self, end: End) {
        *self.is_asking.of(end.part) = false;
        match end.outcome {
            Outcome::Answered => {}
            Outcome::StoreFailed => self.store_failed_until = self.clock.now() + STORE_PAUSE,
            Outcome::PeerFailed(address) => self.roll.forget(address),
        }
    }

    fn ask_store(&self, known: u64) {
        let source = self.source.clone();
        let events = self.outputs.events.clone();
        let done = self.done.clone();
        tokio::spawn(async move {
            time::sleep(STORE_SPREAD.mul_f64(rand::random())).await;
            let deadline = time::Instant::now() + STORE_LIMIT;
            let outcome = match source.read(Topic::Configuration, deadline).await {
                Ok(batch) => {
                    let is_news = batch.rows.iter().any(|row| row.version > known);
                    drop(
                        events
                            .send(Event::Relayed(Topic::Configuration, batch))
                            .await,
                    );
                    // A stale answer is no better than none.
                    if is_news {
                        Outcome::Answered
                    } else {
                        Outcome::StoreFailed
                    }
                }
                Err(error) => {
                    logging::event!(info, "store_read_failed", reason = error);
                    Outcome::StoreFailed
                }
            };
            let end = End {
                part: Part::Configuration,
                outcome,
            };
            // The task ends only with the process.
            let _ = done.send(end).await;
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
                Err(_) => Outcome::PeerFailed(address),
            };
            let _ = done.send(End { part, outcome }).await;
        });
    }
}
