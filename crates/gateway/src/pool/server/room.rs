//! The slots of a server and the requests that take them.

use super::Server;

/// One slot in this many is reserved for workspaces that use less than their share, as
/// in `admission`.
const RESERVE_DIVISOR: u32 = 4;

impl Server {
    /// Requests of this router in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests of all routers in flight; peers' counts may be stale.
    pub fn load(&self) -> u32 {
        self.running + self.peer_load
    }

    /// Requests of peers in flight, which may be stale.
    pub fn peer_load(&self) -> u32 {
        self.peer_load
    }

    /// Sets the number of requests that peers have in flight.
    pub fn set_peer_load(&mut self, load: u32) {
        self.peer_load = load;
    }

    /// Begins a round of the exchange between routers.
    pub fn begin_round(&mut self) {
        self.running_before = self.running;
    }

    /// By how many this router's requests in flight have grown in the present round.
    pub fn growth(&self) -> u32 {
        self.running.saturating_sub(self.running_before)
    }

    /// The number of requests that the server runs concurrently.
    pub fn slots(&self) -> u32 {
        self.entry.slots
    }

    /// Whether a slot is free, not counting the reserved ones if `leaves_reserve`.
    /// Requests of peers occupy slots only if `counts_peers`.
    pub fn has_room(&self, leaves_reserve: bool, counts_peers: bool) -> bool {
        let used = if counts_peers {
            self.load()
        } else {
            self.running
        };
        let reserved = if leaves_reserve {
            self.entry.slots / RESERVE_DIVISOR
        } else {
            0
        };
        used + reserved < self.entry.slots
    }
}
