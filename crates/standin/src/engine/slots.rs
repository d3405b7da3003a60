//! The slots of an engine's batch, granted by priority.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use tokio::sync::oneshot;
use units::request::Priority;

use crate::server::lock;

#[derive(Debug, Default)]
struct State {
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(Reverse<Priority>, u64), oneshot::Sender<Slot>>,
}

/// The slots of a batch.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    capacity: u32,
    state: Arc<Mutex<State>>,
}

/// One slot, which is released when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Option<Slots>,
}

impl Slots {
    pub(super) fn new(capacity: u32) -> Self {
        Self {
            capacity,
            state: Arc::default(),
        }
    }

    /// Waits for a free slot. Requests are served by priority, then in order of arrival.
    pub(super) async fn acquire(&self, priority: Priority) -> Option<Slot> {
        let granted = {
            let mut state = lock(&self.state);
            state.arrivals += 1;
            let position = (Reverse(priority), state.arrivals);
            let (grant, granted) = oneshot::channel();
            state.waiting.insert(position, grant);
            granted
        };
        self.grant();
        granted.await.ok()
    }

    /// The numbers of running and of waiting requests.
    pub(super) fn counts(&self) -> (u32, u32) {
        let mut state = lock(&self.state);
        state.waiting.retain(|_, grant| !grant.is_closed());
        let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        (state.running, waiting)
    }

    /// Grants free slots to waiting requests.
    fn grant(&self) {
        let mut state = lock(&self.state);
        while state.running < self.capacity {
            let Some((_, grant)) = state.waiting.pop_first() else {
                return;
            };
            let slot = Slot {
                slots: Some(self.clone()),
            };
            match grant.send(slot) {
                Ok(()) => state.running += 1,
                // The request was dropped. Its slot was never counted as running, so
                // dropping the slot must not release it.
                Err(mut slot) => slot.slots = None,
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(slots) = self.slots.take() else {
            return;
        };
        lock(&slots.state).running -= 1;
        slots.grant();
    }
}
