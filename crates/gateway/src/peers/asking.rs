//! Questions for what this router has missed.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;
use units::host;

use super::{Versions, fetch, task::Task};
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

/// How a question to the store or to another router ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
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
        if self.is_asking {
            return;
        }
        let own = self.versions();
        let is_watching = *self.outputs.is_watching.borrow();
        let random = rand::random::<u32>() as usize;
        let members = Arc::clone(&self.inputs.members.borrow());
        let zone = &self.inputs.own.zone;
        let is_near = |host: &host::Id| {
            let mut near = members.iter().filter(|member| member.zone == *zone);
            near.any(|member| member.host == *host)
        };
        let ahead = self.roll.ahead(own, is_watching, is_near, random, now);
        let Some(address) = ahead else {
            return;
        };
        self.is_asking = true;
        let newest = self.roll.newest_configuration();
        let is_store_usable = !is_watching && now >= self.store_failed_until;
        if newest > own.configuration && is_store_usable {
            self.ask_store(own.configuration);
        } else {
            self.ask_peer(address, own);
        }
    }

    pub(super) fn ended(&mut self, end: End) {
        self.is_asking = false;
        match end {
            End::Answered => {}
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
                        End::Answered
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
                    End::Answered
                }
                Err(error) => {
                    logging::event!(info, "peer_fetch_failed", peer = address, reason = error);
                    End::PeerFailed(address)
                }
            };
            let _ = done.send(end).await;
        });
    }
}
