//! A model of the store.

use rollout::{
    controller::{Call, Recorded},
    stage::State,
};
use units::time::Millis;

/// The rows of one roll-out.
#[derive(Clone, Debug, Default)]
pub struct Store {
    state: Option<State>,
    began_ms: u64,
    /// The number of final states that were written.
    pub finals: u32,
    /// When the final state was written, in milliseconds.
    pub ended_ms: Option<u64>,
}

impl Store {
    /// The state of the roll-out.
    pub fn state(&self) -> Option<State> {
        self.state
    }

    /// Records a state unless a final one is recorded, as a conditional write does.
    pub fn record(&mut self, call: Call, now_ms: u64) -> Recorded {
        if self.state.is_none() {
            self.began_ms = now_ms - call.elapsed.0.min(now_ms);
        }
        let state = match self.state {
            Some(known) if known.is_final() || !call.state.is_final() => known,
            _ => {
                self.state = Some(call.state);
                if call.state.is_final() {
                    self.finals += 1;
                    self.ended_ms = Some(now_ms);
                }
                call.state
            }
        };
        Recorded {
            state,
            elapsed: Millis(now_ms - self.began_ms),
        }
    }
}
