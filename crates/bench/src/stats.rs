//! What is counted during a run.

use units::time::Instant;

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It is under way.
    InFlight,
    /// Its whole answer reached its caller.
    Served,
    /// It was refused and has not run.
    Refused,
    /// It was lost: it may have run, and no answer came.
    Lost,
}

/// What is kept of one request.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// How it ended.
    pub status: Status,
    /// Prompt tokens that were cached where it ran last.
    pub cached: u32,
    /// Whether an engine may have run it.
    pub may_have_run: bool,
    /// Attempts sent to an engine.
    pub attempts_sent: u32,
    /// Attempts made, those included that no owner took.
    pub attempts: u32,
    /// Messages between routers and to engines before it began to run.
    pub hops: u32,
    /// When it was admitted last.
    pub admitted_at: Instant,
    /// When the engine that ran it last began.
    pub begun_at: Instant,
    /// When the engine that ran it put out the first token.
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

/// One look at the loads of all engines.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When.
    pub at: Instant,
    /// The largest load of an engine that gets new work.
    pub largest: u32,
    /// The mean load of the engines that get new work.
    pub mean: f64,
}

impl Sample {
    /// The largest load over the mean.
    pub fn skew(self) -> f64 {
        f64::from(self.largest) / self.mean.max(f64::MIN_POSITIVE)
    }
}

/// What is counted during a run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// One for each request, in the order of arrival.
    pub requests: Vec<Record>,
    /// Looks at the loads.
    pub samples: Vec<Sample>,
    /// The last instant at which work reached an engine of a zone that was out.
    pub last_excluded_zone_arrival: Option<Instant>,
    /// Requests that reached a cold engine beyond what it bears: when, which engine.
    pub cold_overloads: Vec<(Instant, usize)>,
    /// When the owner of an engine that had turned cold noticed: when, which engine.
    pub cold_detections: Vec<(Instant, usize)>,
    /// Engines that crashed since they were given too much.
    pub overload_crashes: u32,
}
