//! Whether an engine has memory for a request, and whether its prompt may be read there.

use std::time::Duration;

use footprint::{Engine, Footprint, Part, Rate, Request, Tokens, Tolerance, reading};
use units::{backend, time::Instant};

use super::{Demand, Denial, Pool, Server, denial::Oversize};
use crate::route;

/// The rate at which engines are taken to read prompts, as for the cost of a request.
const READ_RATE: Rate = Rate(60);
/// The longest pause between two events that callers are taken to tolerate. The configuration
/// states no such limit; this is the shortest that a deployment has.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

impl Pool {
    /// Whether the memory of the servers is accounted for.
    fn has_accounts(&self) -> bool {
        self.bounds.is_contended && self.service.cache_tokens > 0
    }

    fn engine(&self, slots: u32) -> Engine {
        Engine {
            memory: Tokens(self.service.cache_tokens),
            slots,
        }
    }

    fn footprint(demand: &Demand, engine: Engine) -> Footprint {
        let parts = demand.parts.iter().map(|part| Part {
            key: part.key,
            tokens: Tokens(part.length()),
        });
        Footprint::new(parts, demand.usage, engine)
    }

    /// Why no engine of the service can ever hold the request, if that is so.
    pub(super) fn oversize(&self, demand: &Demand) -> Option<Oversize> {
        if !self.has_accounts() {
            return None;
        }
        let engine = self.engine(1);
        let footprint = Self::footprint(demand, engine);
        (!footprint.fits_alone(engine)).then_some(Oversize {
            needed: footprint.least,
            memory: engine.memory,
        })
    }

    /// Whether `server` has memory for a request with this demand.
    pub(super) fn has_memory(&self, server: &Server, demand: &Demand, now: Instant) -> bool {
        if !self.has_accounts() {
            return true;
        }
        let engine = self.engine(server.slots());
        let footprint = Self::footprint(demand, engine);
        let memory = self.holdings.memory(server);
        let typical = self.holdings.typical();
        memory.fits(&footprint, server.peer_load(), engine, typical, now)
    }

    /// Leaves out the engines where the prompt would delay more urgent requests for too long.
    ///
    /// # Errors
    ///
    /// [`Denial::Reading`] if none is left and the request may still wait.
    pub(super) fn pass_over_readers(
        &self,
        candidates: &mut Vec<&Server>,
        demand: &Demand,
        now: Instant,
    ) -> Result<(), Denial> {
        let Some(bound) = self.reading_bound(demand.route_rank) else {
            return Ok(());
        };
        let may_read = |server: &&Server| {
            let uncached = Tokens(server.uncached(&demand.parts, now));
            reading::may_wait(uncached, self.holdings.memory(server).waiting(), bound)
        };
        if candidates.iter().any(may_read) {
            candidates.retain(may_read);
            return Ok(());
        }
        if now < demand.deferrable_until {
            return Err(Denial::Reading(demand.deferrable_until));
        }
        Ok(())
    }

    /// The most prompt tokens that may wait at an engine for a request of this rank to be sent
    /// there; `None` if there is no bound.
    fn reading_bound(&self, rank: u8) -> Option<Tokens> {
        if !self.has_accounts() {
            return None;
        }
        let tolerance = self.holdings.tolerance_above(rank)?;
        Some(tolerance.bound(READ_RATE))
    }

    /// Records that a request is sent to `name`.
    pub(super) fn hold_memory(&mut self, name: &backend::Server, demand: &Demand, now: Instant) {
        if !self.has_accounts() {
            return;
        }
        let Some(server) = self.servers.get(name) else {
            return;
        };
        let footprint = Self::footprint(demand, self.engine(server.slots()));
        let uncached = Tokens(server.uncached(&demand.parts, now));
        self.holdings
            .start(server, demand.request, &footprint, uncached, now);
    }

    /// Records that the first event of a request has arrived. Returns whether prompts that wait to
    /// be read may have room now.
    pub fn record_first_event(&mut self, name: &backend::Server, request: Request) -> bool {
        self.holdings.first_event(name, request) > Tokens(0)
    }

    /// Records that `pieces` of a response have arrived.
    pub fn record_progress(&mut self, name: &backend::Server, request: Request, pieces: u32) {
        self.holdings.progress(name, request, pieces);
    }

    /// Records that a request at an engine has ended in whatever way, after so many `pieces` if
    /// its response was complete.
    pub fn release_memory(
        &mut self,
        name: &backend::Server,
        request: Request,
        pieces: Option<u32>,
    ) {
        self.holdings.end(name, request, pieces);
    }

    /// The tokens that the requests of this router hold at an engine.
    pub fn held_memory(&self, name: &backend::Server) -> Tokens {
        let server = self.servers.get(name);
        server.map_or(Tokens(0), |server| self.holdings.memory(server).held())
    }

    /// Sets the targets of the routes that lead to the service. A route without one is left out.
    pub fn set_routes<'a>(&mut self, routes: impl Iterator<Item = &'a route::Route>) {
        let tolerances = routes.filter(|route| route.target.0 > 0).map(|route| {
            let tolerance = Tolerance {
                first_event: route.target.duration(),
                pause: LONGEST_PAUSE,
            };
            (route.rank, tolerance)
        });
        self.holdings.set_tolerances(tolerances);
    }
}
