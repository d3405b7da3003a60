//! Registers a router in the store.

use std::sync::Arc;

use tokio::{
    sync::{mpsc, watch},
    time,
};

use super::{STORE_RETRY_INTERVAL, STORE_TIMEOUT};
use crate::{
    follow,
    source::{self, Batch, Member, Source, Topic},
};

/// Registers this router until the store lists it, and again whenever it is missing.
pub(super) async fn run<S: Source>(
    source: S,
    own: Member,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
    events: mpsc::Sender<follow::Event>,
) {
    loop {
        let is_listed = members.borrow_and_update().contains(&own);
        if is_listed {
            if members.changed().await.is_err() {
                return;
            }
            continue;
        }
        match register_once(&source, &own).await {
            Ok(batch) => {
                let event = follow::Event::Batch(Topic::Routers, batch);
                // The receiver lives as long as the process.
                drop(events.send(event).await);
            }
            Err(error) => logging::event!(info, "register_failed", reason = error),
        }
        // The new list takes a moment to be published. Waiting for it avoids a repeated
        // registration.
        let listed = time::timeout(STORE_RETRY_INTERVAL, members.changed()).await;
        drop(listed);
    }
}

/// Registers this router and reads the list of registered routers.
async fn register_once<S: Source>(source: &S, own: &Member) -> Result<Batch, source::Error> {
    let deadline = time::Instant::now() + STORE_TIMEOUT;
    source.register(own, deadline).await?;
    source.read(Topic::Routers, deadline).await
}
