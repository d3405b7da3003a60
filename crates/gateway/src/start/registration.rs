//! Registers a router in the store.

use std::sync::Arc;

use tokio::{
    sync::{mpsc, watch},
    time,
};

use super::{STORE_RETRY_INTERVAL, STORE_TIMEOUT};
use crate::{
    follow,
    shutdown::Phase,
    source::{self, Batch, Member, Source, Topic},
};

/// Registers this router until the store lists it, and again whenever it is missing, until the router
/// leaves. A call that is under way then is waited for, so that the row is not written again after its
/// removal.
pub(super) async fn run<S: Source>(
    source: S,
    own: Member,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
    events: mpsc::Sender<follow::Event>,
    mut phase: watch::Receiver<Phase>,
) {
    while *phase.borrow() == Phase::Serving {
        let is_listed = members.borrow_and_update().contains(&own);
        if is_listed {
            tokio::select! {
                changed = members.changed() => if changed.is_err() {
                    return;
                },
                () = Phase::reached(&mut phase, Phase::Leaving) => {}
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
        tokio::select! {
            _ = time::timeout(STORE_RETRY_INTERVAL, members.changed()) => {}
            () = Phase::reached(&mut phase, Phase::Leaving) => {}
        }
    }
}

/// Registers this router and reads the list of registered routers.
async fn register_once<S: Source>(source: &S, own: &Member) -> Result<Batch, source::Error> {
    let deadline = time::Instant::now() + STORE_TIMEOUT;
    source.register(own, deadline).await?;
    source.read(Topic::Routers, deadline).await
}
