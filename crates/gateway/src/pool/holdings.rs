//! What the requests of this router hold at the engines of one service.

use std::collections::{BTreeMap, HashMap};

use footprint::{Footprint, Memory, PieceSize, Request, Tokens, Tolerance, Typical};
use smallvec::SmallVec;
use units::{backend, time::Instant};

use super::Server;

/// The requests of this router at one process of an engine.
#[derive(Debug, Default)]
struct Holding {
    incarnation: u64,
    memory: Memory,
}

/// The delays that the requests of one rank tolerate.
#[derive(Clone, Copy, Debug)]
struct Rank {
    rank: u8,
    tolerance: Tolerance,
}

/// The memory of the engines of one service, as far as this router uses it.
///
/// It is kept apart from [`Server`]: the entry of an engine may lapse and return while requests
/// run there.
#[derive(Debug, Default)]
pub(super) struct Holdings {
    engines: HashMap<backend::Server, Holding>,
    typical: Typical,
    piece_size: PieceSize,
    ranks: SmallVec<[Rank; 4]>,
    /// The memory of an engine that has no request of this router.
    none: Memory,
}

impl Holdings {
    /// The memory of the present process of an engine.
    pub fn memory(&self, server: &Server) -> &Memory {
        let holding = self.engines.get(server.name());
        let present = holding.filter(|holding| holding.incarnation == server.incarnation());
        present.map_or(&self.none, |holding| &holding.memory)
    }

    /// The tokens that a typical request adds to an engine.
    pub fn typical(&self) -> &Typical {
        &self.typical
    }

    /// Records that a request is sent to an engine. Requests of a former process of the engine
    /// count no longer.
    pub fn start(
        &mut self,
        server: &Server,
        request: Request,
        footprint: &Footprint,
        uncached: Tokens,
        now: Instant,
    ) {
        let holding = self.engines.entry(server.name().clone()).or_default();
        if holding.incarnation != server.incarnation() {
            *holding = Holding {
                incarnation: server.incarnation(),
                ..Holding::default()
            };
        }
        let typical = &mut self.typical;
        holding
            .memory
            .start(request, footprint, uncached, typical, now);
    }

    /// Records that the prompt of a request has been read. Returns its tokens that waited for
    /// that.
    pub fn first_event(&mut self, server: &backend::Server, request: Request) -> Tokens {
        let holding = self.engines.get_mut(server);
        holding.map_or(Tokens(0), |holding| holding.memory.first_event(request))
    }

    /// Records that `pieces` of a response have arrived.
    pub fn progress(&mut self, server: &backend::Server, request: Request, pieces: u32) {
        let generated = self.piece_size.generated(pieces);
        if let Some(holding) = self.engines.get_mut(server) {
            holding.memory.generated(request, generated);
        }
    }

    /// Records that a request has ended, after so many `pieces` if its response was complete.
    /// Without effect if it was sent to a former process.
    pub fn end(&mut self, server: &backend::Server, request: Request, pieces: Option<u32>) {
        let holding = self.engines.get_mut(server);
        let expected = holding.and_then(|holding| holding.memory.end(request));
        if let (Some(expected), Some(pieces)) = (expected, pieces) {
            self.piece_size.record(expected, pieces);
        }
    }

    /// Forgets engines that are not listed and have no request of this router.
    pub fn retain_listed(&mut self, listed: &BTreeMap<backend::Server, Server>) {
        self.engines
            .retain(|name, holding| listed.contains_key(name) || !holding.memory.is_empty());
    }

    /// Sets what the requests of each rank tolerate.
    pub fn set_tolerances(&mut self, tolerances: impl Iterator<Item = (u8, Tolerance)>) {
        self.ranks = tolerances
            .map(|(rank, tolerance)| Rank { rank, tolerance })
            .collect();
    }

    /// What the requests that are more urgent than `rank` tolerate; `None` if there are none.
    pub fn tolerance_above(&self, rank: u8) -> Option<Tolerance> {
        let urgent = self.ranks.iter().filter(|other| other.rank < rank);
        urgent.map(|other| other.tolerance).reduce(Tolerance::and)
    }
}
