//! Reads and discards what callers still send after their refusal.
//!
//! When a connection is closed while bytes on it are unread, the kernel resets it, and a caller
//! that still sends loses the refusal.

use std::sync::Arc;

use http_body_util::BodyExt as _;
use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
    header,
};
use tokio::{sync::Semaphore, time};
use units::request;

use crate::limits;

/// How many refused requests may be read on at once.
#[derive(Clone, Debug)]
pub struct Room(Arc<Semaphore>);

impl Room {
    /// The room of a router with `connections` connections of callers.
    pub fn new(connections: usize) -> Self {
        let readers = (connections / limits::CONNECTIONS_PER_DISCARD).max(1);
        Self(Arc::new(Semaphore::new(readers)))
    }

    /// Discards the rest of a refused request with `headers` while its refusal is sent.
    pub fn discard(&self, id: request::Id, headers: &HeaderMap, body: Incoming) {
        // A caller that asks before it sends has not begun, and may not begin after its refusal.
        if body.is_end_stream() || headers.contains_key(header::EXPECT) {
            return;
        }
        let Ok(permit) = Arc::clone(&self.0).try_acquire_owned() else {
            logging::event!(debug, "rest_not_read", request = id, bytes = 0);
            return;
        };
        tokio::spawn(async move {
            let rest = Rest::read(body).await;
            drop(permit);
            if !rest.is_whole {
                logging::event!(debug, "rest_not_read", request = id, bytes = rest.bytes);
            }
        });
    }
}

/// What was read of the rest of a refused request.
#[derive(Debug, Default)]
struct Rest {
    bytes: usize,
    /// Whether it was read to its end.
    is_whole: bool,
}

impl Rest {
    /// Reads the rest of `body` within its bounds.
    async fn read(mut body: Incoming) -> Self {
        let until = time::Instant::now() + limits::DISCARD_TIMEOUT;
        let mut rest = Self::default();
        while rest.bytes <= limits::MAX_DISCARDED_BYTES {
            let silent = time::Instant::now() + limits::DISCARD_SILENCE;
            match time::timeout_at(until.min(silent), body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    rest.bytes += frame.into_data().map_or(0, |data| data.len());
                }
                Ok(None) => {
                    rest.is_whole = true;
                    break;
                }
                Ok(Some(Err(_))) | Err(_) => break,
            }
        }
        rest
    }
}
