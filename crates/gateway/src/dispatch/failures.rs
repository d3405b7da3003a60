//! Failures that are held back until it is known whether the server or the path to it is the
//! reason.

use units::time::Instant;

use super::{Dispatch, Ticket};
use crate::{
    pool::Outcome,
    probe::{Liveness, Probe},
};

/// The most failures that are held back.
const MAX_HELD: usize = 1024;

/// A failure that is held back.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    ticket: Ticket,
    outcome: Outcome,
}

impl Dispatch {
    /// Holds back a failure that a lost path may have caused, and returns the outcome that counts
    /// for now.
    ///
    /// A router that loses its paths sees the connections to many servers break. If it counted
    /// and told these failures, healthy servers would be ejected by the others, too.
    pub(super) fn hold_failure(&mut self, ticket: &Ticket, outcome: Outcome) -> Outcome {
        let preliminary = match outcome {
            Outcome::Broken => Outcome::Interrupted,
            Outcome::Refused => Outcome::Unreachable,
            other => return other,
        };
        let key = (ticket.server.clone(), ticket.incarnation);
        // Without a probe nothing would settle the failure.
        if !self.probed.contains(&key) || self.held_failures.len() >= MAX_HELD {
            return outcome;
        }
        self.held_failures.push(Failure {
            ticket: ticket.clone(),
            outcome,
        });
        preliminary
    }

    /// Counts the failures at a probed server, or drops them if the path or a pause of the host was
    /// the reason.
    pub(super) fn settle_failures(&mut self, probe: &Probe, liveness: Liveness, now: Instant) {
        let is_settled = |failure: &mut Failure| {
            failure.ticket.server == probe.server && failure.ticket.incarnation == probe.incarnation
        };
        let settled: Vec<_> = self.held_failures.extract_if(.., is_settled).collect();
        match liveness {
            Liveness::Accepts | Liveness::Ended => {}
            // The whole host was silent, which is no failure of the requests there.
            Liveness::Resumed => return,
            Liveness::AcceptsOthers | Liveness::Unknown => return,
        }
        for failure in settled {
            self.rollouts.settled(&failure.ticket, failure.outcome);
            let Some(queue) = self.queues.get_mut(&failure.ticket.pool) else {
                continue;
            };
            let pool = queue.pool_mut();
            let standing = pool.record_late_failure(&failure.ticket.server, failure.outcome, now);
            self.log_standing(&failure.ticket, standing, failure.outcome);
        }
    }
}
