//! Faults and operator changes applied during a run.

use units::time::Instant;

/// One fault or operator change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The engine stops and loses its requests.
    Crash(usize),
    /// The engine starts again, cold.
    Start(usize),
    /// The engine turns cold without notice; its running requests continue.
    TurnCold(usize),
    /// Operators take the zone out of service; its engines finish their running
    /// requests.
    ZoneOut(usize),
    /// Operators return the zone to service.
    ZoneIn(usize),
    /// The engine fails every request that it receives.
    Fail(usize),
    /// The engine stops failing requests.
    Serve(usize),
}

/// Changes with the instants at which they apply.
pub type Script = Vec<(Instant, Change)>;
