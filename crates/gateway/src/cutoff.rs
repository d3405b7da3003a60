//! When a response that outlasts its deadline is cut.

use std::time::Duration;

use units::time::Instant;

/// How long after the deadline parts of a response are forwarded that have been received already, as
/// after a pause of the process.
const MAX_OVERRUN: Duration = Duration::from_millis(100);

/// The end of the time that a response may take.
///
/// It is asked before each wait for a part. The timeout of the wait does not tell: while a part is
/// there whenever it is looked for, and while the thread always has tasks to run, its timer does not
/// expire.
#[derive(Clone, Copy, Debug)]
pub struct Cutoff {
    deadline: Instant,
    /// When the response is cut; `None` until the deadline has been seen to have passed.
    cut_at: Option<Instant>,
}

impl Cutoff {
    /// The end of a response that is due by `deadline`.
    pub const fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            cut_at: None,
        }
    }

    /// Whether no further part is forwarded at `now`.
    pub fn is_reached(&mut self, now: Instant) -> bool {
        now >= self.deadline && now >= *self.cut_at.get_or_insert(now + MAX_OVERRUN)
    }
}
