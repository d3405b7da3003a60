//! Counters and records of a simulation run.

use units::time::Instant;

/// Status of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The request has not ended.
    InFlight,
    /// The caller received the complete response.
    Served,
    /// The request was refused and no engine ran it.
    Refused,
    /// An engine may have run the request, and the caller received no response.
    Lost,
}

/// Record of one request.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Status of the request.
    pub status: Status,
    /// Prompt tokens cached on the engine that last ran the request.
    pub cached: u32,
    /// Whether an engine may have run the request.
    pub may_have_run: bool,
    /// Attempts sent to an engine.
    pub attempts_sent: u32,
    /// Attempts made, including those that were never sent to an engine.
    pub attempts: u32,
    /// Messages between routers and to engines before the request started on an engine.
    pub hops: u32,
    /// When the request last reached an engine.
    pub admitted_at: Instant,
    /// When an engine last started to run the request.
    pub begun_at: Instant,
    /// When that engine produced the first token.
    pub first_token_at: Instant,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            status: Status::InFlight,
            cached: 0,
            may_have_run: false,
            attempts_sent: 0,
            attempts: 0,
            hops: 0,
            admitted_at: Instant::NEVER,
            begun_at: Instant::NEVER,
            first_token_at: Instant::NEVER,
        }
    }
}

/// A sample of the loads of all engines.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When the sample was taken.
    pub at: Instant,
    /// Highest load among the engines that receive new requests.
    pub largest: u32,
    /// Mean load of the engines that receive new requests.
    pub mean: f64,
}

impl Sample {
    /// Ratio of the highest load to the mean.
    pub fn skew(self) -> f64 {
        f64::from(self.largest) / self.mean.max(f64::MIN_POSITIVE)
    }
}

/// Counters and records of a simulation run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// One record per request, in order of arrival.
    pub requests: Vec<Record>,
    /// Samples of the loads.
    pub samples: Vec<Sample>,
    /// When a request last reached an engine of an excluded zone.
    pub last_excluded_zone_arrival: Option<Instant>,
    /// Requests that reached a cold engine above its safe load: instant and engine.
    pub cold_overloads: Vec<(Instant, usize)>,
    /// When the owner of a cold engine lowered its limit to the safe load: instant and
    /// engine.
    pub cold_detections: Vec<(Instant, usize)>,
    /// Engines that crashed from overload.
    pub overload_crashes: u32,
}
