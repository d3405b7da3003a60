//! The choice among servers of a plain service.
//!
//! Routers that all choose the server which looks best overload it before they learn of each
//! other's requests. Load interpretation (M. Dahlin, Interpreting Stale Load Information, 1999)
//! takes the requests into account that arrive within the age of the information: the choice is
//! random, weighted so that these requests even the expected completion times out. With fresh
//! information, the best server gets nearly all requests; with old information, each server
//! gets a share in proportion to its capacity.

use smallvec::SmallVec;

use crate::Slowdown;

/// A server that may receive a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The time that a request takes beside its processing, in microseconds.
    pub overhead_us: u64,
    /// The usual time that the server takes for one request, in microseconds.
    pub service_us: u64,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// How long work takes there now.
    pub slowdown: Slowdown,
    /// The known requests there.
    pub load: u32,
}

impl Candidate {
    /// The expected time to the completion of one more request, in microseconds.
    pub fn completion_us(&self) -> u64 {
        let processing_us = self.slowdown.scale(self.service_us);
        let delay_us = self.request_us() * f64::from(self.load);
        let fixed_us = self.overhead_us.saturating_add(processing_us);
        fixed_us.saturating_add(delay_us as u64)
    }

    /// The delay that each request there adds to others, in microseconds.
    fn request_us(&self) -> f64 {
        let processing_us = self.slowdown.scale(self.service_us).max(1);
        processing_us as f64 / f64::from(self.slots.max(1))
    }
}

/// The index of the server for a request, where about `arrivals` requests of all routers have
/// arrived since the information on the servers; `None` if there is no server. `random` is
/// uniform over all values.
pub fn choose(candidates: &[Candidate], arrivals: f64, random: u64) -> Option<usize> {
    let weights = weights(candidates, arrivals);
    let total: f64 = weights.iter().sum();
    let mut rest = total * (random as f64 / u64::MAX as f64);
    let chosen = weights.iter().position(|weight| {
        rest -= weight;
        rest < 0.0
    });
    // The sum is subject to rounding.
    chosen.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
}

/// The expected number of the arrivals, and of the request itself, that go to each server.
///
/// They fill the servers up to one level of the expected completion time, as water would: a
/// server above the level gets none.
pub fn weights(candidates: &[Candidate], arrivals: f64) -> SmallVec<[f64; 8]> {
    let requests = 1.0 + arrivals.max(0.0);
    let mut ordered: SmallVec<[(f64, f64); 8]> = candidates
        .iter()
        .map(|candidate| (candidate.completion_us() as f64, candidate.request_us()))
        .collect();
    ordered.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    // The level L fulfills the sum of (L - completion) / delay over the servers below it.
    let (mut capacity, mut filled) = (0.0, 0.0);
    let mut level = 0.0;
    for (completion_us, request_us) in ordered {
        if capacity > 0.0 && completion_us >= level {
            break;
        }
        capacity += 1.0 / request_us;
        filled += completion_us / request_us;
        level = (requests + filled) / capacity;
    }
    let weight = |candidate: &Candidate| {
        let room_us = level - candidate.completion_us() as f64;
        room_us.max(0.0) / candidate.request_us()
    };
    candidates.iter().map(weight).collect()
}
