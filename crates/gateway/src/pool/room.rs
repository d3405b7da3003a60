//! Whether a server has a free slot for a request.

use super::{Demand, Pool, Server};

impl Pool {
    /// Whether `server` has a free slot that a request with this demand may take.
    pub(super) fn has_slot(&self, server: &Server, demand: &Demand) -> bool {
        // Requests to a plain service complete before peers report them. Counting the
        // reported ones would queue requests although slots are free. A server that is
        // full rejects the request itself.
        let counts_peers = self.service.cache_tokens > 0;
        server.has_room(demand.leaves_reserve, counts_peers)
    }
}
