//! Admission to servers by the one router through which all others reach them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use units::backend;

/// How long a request waits for a slot. Its caller's router tries another server afterwards.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// The share of the slots that stays free, as a divisor: connections of other origin may hold
/// one for a moment.
const RESERVE_DIVISOR: u32 = 6;
/// The number of gates from which those without a request are removed.
const MAX_IDLE: usize = 64;

/// A server and its incarnation.
type Key = (backend::Server, u64);

/// Counts the slots in use at servers that must not be overloaded.
#[derive(Clone, Debug, Default)]
pub struct Gates {
    gates: Arc<Mutex<BTreeMap<Key, Gate>>>,
}

#[derive(Clone, Debug)]
struct Gate {
    slots: u32,
    semaphore: Arc<Semaphore>,
}

impl Gates {
    /// Waits for one of the `slots` of a server, in the order of the requests. The slot is in use
    /// until the permit is dropped. `None` if none becomes free in time.
    pub async fn enter(
        &self,
        server: &backend::Server,
        incarnation: u64,
        slots: u32,
    ) -> Option<OwnedSemaphorePermit> {
        let slots = slots - slots / RESERVE_DIVISOR;
        let semaphore = self.semaphore((server.clone(), incarnation), slots);
        let acquired = time::timeout(MAX_WAIT, semaphore.acquire_owned()).await;
        // The semaphore is never closed.
        acquired.ok()?.ok()
    }

    fn semaphore(&self, key: Key, slots: u32) -> Arc<Semaphore> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        if gates.len() > MAX_IDLE {
            gates.retain(|_, gate| gate.semaphore.available_permits() < gate.slots as usize);
        }
        let gate = gates.entry(key).or_insert_with(|| Gate {
            slots,
            semaphore: Arc::new(Semaphore::new(slots as usize)),
        });
        Arc::clone(&gate.semaphore)
    }
}
