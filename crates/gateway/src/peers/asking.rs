//! Questions for what this router has missed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;
use units::{host, time::Instant};

use super::{
    Versions, fetch,
    task::{End, Task},
};
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

impl<S: Source> Task<S> {
    /// Asks for what this router has missed.
    ///
    /// The configuration may be large, and its bytes over many slow links
    /// between routers take longer than one call to the store. What is small
    /// comes from another router, and everything does while the store is away.
    ///
    /// The two are asked apart. Were there one question at a time, a series of
    /// configurations would leave no time to ask for servers, and callers would
    /// be sent to one that has left for as long as the series lasts.
    pub(super) fn catch_up(&mut self) {
        let now = self.clock.now();
        let is_watching = *self.outputs.is_watching.borrow();
        let own = self.versions();
        let newest = self.roll.newest_configuration();
        let is_store_usable = !is_watching && now >= self.store_failed_until;
        if newest <= own.configuration || !is_store_usable {
            self.catch_up_with_peer(own, is_watching, now);
            return;
        }
        if !self.is_asking_store {
            self.is_asking_store = true;
            self.ask_store(own.configuration);
        }
        let rest = Versions {
            configuration: newest,
            ..own
        };
        self.catch_up_with_peer(rest, is_watching, now);
    }

    /// Asks another router for what is newer than `known`.
    fn catch_up_with_peer(&mut self, known: Versions, is_watching: bool, now: Instant) {
        if self.is_asking_peer {
            return;
        }
        let random = rand::random::<u32>() as usize;
        let members = Arc::clone(&self.inputs.members.borrow());
        let zone = &self.inputs.own.zone;
        let is_near = |host: &host::Id| {
            let mut near = members.iter().filter(|member| member.zone == *zone);
            near.any(|member| member.host == *host)
        };
        let ahead = self.roll.ahead(known, is_watching, is_near, random, now);
        if let Some(address) = ahead {
            self.is_asking_peer = true;
            self.ask_peer(address, known);
        }
    }

    pub(super) fn ended(&mut self, end: End) {
        match end {
            End::StoreAnswered | End::StoreFailed => self.is_asking_store = false,
            End::PeerAnswered | End::PeerFailed(_) => self.is_asking_peer = false,
        }
        match end {
            End::StoreAnswered | End::PeerAnswered => {}
            End::StoreFailed => self.store_failed_until = self.clock.now() + STORE_PAUSE,
            End::PeerFailed(address) => self.roll.forget(address),
        }
    }

    fn ask_store(&self, known: u64) {
        let source = self.source.clone();
        let events = self.outputs.events.clone();
        let done = self.done.clone();
        tokio::spawn(async move {
            time::sleep(STORE_SPREAD.mul_f64(rand::random())).await;
            let deadline = time::Instant::now() + STORE_LIMIT;
            let end = match source.read(Topic::Configuration, deadline).await {
                Ok(batch) => {
                    let is_news = batch.rows.iter().any(|row| row.version > known);
                    drop(
                        events
                            .send(Event::Relayed(Topic::Configuration, batch))
                            .await,
                    );
                    // A stale answer is no better than none.
                    if is_news {
                        End::StoreAnswered
                    } else {
                        End::StoreFailed
                    }
                }
                Err(error) => {
                    logging::event!(info, "store_read_failed", reason = error);
                    End::StoreFailed
                }
            };
            // The task ends only with the process.
            let _ = done.send(end).await;
        });
    }

    /// Asks a router that knows more than this one.
    fn ask_peer(&self, address: SocketAddr, versions: Versions) {
        logging::event!(
            info,
            "peer_ahead",
            peer = address,
            configuration = versions.configuration,
            servers = versions.servers,
            routers = versions.routers
        );
        let key = self.seals.key.clone();
        let events = self.outputs.events.clone();
        let done = self.done.clone();
        tokio::spawn(async move {
            let end = match fetch::ask(address, &key, versions).await {
                Ok(batches) => {
                    for (topic, batch) in batches {
                        // The task ends only with the process.
                        drop(events.send(Event::Relayed(topic, batch)).await);
                    }
                    End::PeerAnswered
                }
                Err(_) => End::PeerFailed(address),
            };
            let _ = done.send(end).await;
        });
    }
}
