//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// What is wrong with an engine.
///
/// Where there is a `count`, the fault hits so many requests and then ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Fault {
    /// Nothing: all faults end.
    Normal,
    /// The listener and all connections close, or the process ends.
    Crash,
    /// Nothing is answered and no token made until the fault ends.
    Freeze,
    /// A stream's connection ends in the middle.
    CutStream {
        /// How many streams it hits.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// A stream ends in the middle as if it were whole, but for its last event.
    ShortStream {
        /// How many streams it hits.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// The engine is as after a start, with the same boot and without warning.
    TurnCold,
    /// Connections that are open now go silent, while new ones work.
    SilentConnections,
    /// An answer waits before its first byte.
    LateAnswer {
        /// For how long, in milliseconds.
        delay_ms: u64,
        /// How many answers it hits.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// An answer is another request's, and echoes its attempt.
    CrossedAnswer {
        /// How many answers it hits.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// A request is answered 503 and does not run.
    Refuse {
        /// How many answers it hits.
        #[serde(default = "default_count")]
        count: u64,
    },
    /// Everything takes longer.
    Slow {
        /// How many times as long.
        factor: u32,
    },
    /// A message that holds the marker crashes the engine when it runs.
    Poison {
        /// The text.
        marker: String,
    },
}

fn default_count() -> u64 {
    1
}

/// What hits one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Effects {
    pub(super) cut: bool,
    pub(super) short: bool,
    pub(super) late_ms: u64,
    pub(super) crossed: bool,
    pub(super) refused: bool,
}

/// Faults that wait for the requests which they hit.
#[derive(Debug, Default)]
pub(super) struct Pending {
    cut: u64,
    short: u64,
    late: u64,
    late_ms: u64,
    crossed: u64,
    refused: u64,
}

impl Pending {
    /// Adds `fault`, if it is one that hits requests.
    pub(super) fn add(&mut self, fault: &Fault) {
        match *fault {
            Fault::CutStream { count } => self.cut = count,
            Fault::ShortStream { count } => self.short = count,
            Fault::CrossedAnswer { count } => self.crossed = count,
            Fault::Refuse { count } => self.refused = count,
            Fault::LateAnswer { delay_ms, count } => {
                self.late = count;
                self.late_ms = delay_ms;
            }
            _ => {}
        }
    }

    /// What hits the next request, which may be one for a stream.
    pub(super) fn next(&mut self, is_stream: bool) -> Effects {
        Effects {
            cut: is_stream && consume(&mut self.cut),
            short: is_stream && consume(&mut self.short),
            late_ms: if consume(&mut self.late) {
                self.late_ms
            } else {
                0
            },
            crossed: consume(&mut self.crossed),
            refused: consume(&mut self.refused),
        }
    }
}

/// Takes one of `count`, if any is left.
fn consume(count: &mut u64) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}
