//! The log lines of a request.

use verdict::Refusal;

use super::Exchange;
use crate::{attempt::End, parts, pool::Placement, protocol::Protocol};

impl<P> Exchange<P> {
    /// The parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> parts::Chain {
        parts::shared(&self.plan.pool, &self.plan.demand.parts)
    }

    /// Logs that the caller disconnected before a response began.
    pub(super) fn log_abandoned(&self) {
        let now = self.context.clock.now();
        let waited = now.since(self.plan.arrived);
        logging::event!(
            info,
            "request_abandoned",
            request = self.plan.head.id,
            route = self.plan.route.name,
            pool = self.plan.pool,
            workspace = self.workspace(),
            sends = self.sent_attempts,
            unreachable = self.failed_connects,
            waited_ms = waited.as_millis(),
            config = self.plan.version
        );
    }
}

impl<P: Protocol> Exchange<P> {
    /// Counts an attempt and logs it if it failed.
    pub(super) fn log_attempt(&self, placement: &Placement, end: &End) {
        let (outcome, reason) = match end {
            End::Responded(response) if response.is_failure => {
                ("failed", response.head.status.as_str())
            }
            End::Responded(_) => {
                self.context.metrics.attempt_ended("answered");
                return;
            }
            End::Unsent(reason) => ("unsent", reason.as_str()),
            End::NoPath(reason) => ("no_path", reason.as_str()),
            End::NoSlot => ("no_slot", ""),
            End::Full => ("full", ""),
            End::Withdrawn => ("withdrawn", ""),
            End::Moved => ("moved", ""),
            End::Broken(reason) => ("broken", reason.as_str()),
            End::TimedOut => ("late", ""),
        };
        self.context.metrics.attempt_ended(outcome);
        let now = self.context.clock.now();
        let waited = now.since(self.plan.arrived);
        logging::event!(
            info,
            "attempt_failed",
            request = self.plan.head.id,
            route = self.plan.route.name,
            pool = self.plan.pool,
            workspace = self.workspace(),
            fingerprint = self.plan.fingerprint,
            parts = parts::List(&self.shared_parts()),
            server = placement.server,
            version = placement.version,
            zone = placement.zone,
            path = placement.path,
            load = placement.load,
            bound = format!("{:.1}", placement.bound),
            outcome = outcome,
            reason = reason,
            waited_ms = waited.as_millis(),
            servers_age_ms = self.context.ages.servers(now).as_millis(),
            config = self.plan.version
        );
    }

    /// Logs the final refusal of the request.
    pub fn log_refusal(&self, refusal: &Refusal) {
        let now = self.context.clock.now();
        let waited = now.since(self.plan.arrived);
        logging::event!(
            info,
            "request_refused",
            request = self.plan.head.id,
            route = self.plan.route.name,
            pool = self.plan.pool,
            workspace = self.workspace(),
            fingerprint = self.plan.fingerprint,
            parts = parts::List(&self.shared_parts()),
            code = refusal.code,
            verdict = refusal.verdict,
            sends = self.sent_attempts,
            unreachable = self.failed_connects,
            waited_ms = waited.as_millis(),
            servers_age_ms = self.context.ages.servers(now).as_millis(),
            config = self.plan.version,
            config_age_ms = self.context.ages.configuration(now).as_millis()
        );
    }
}
