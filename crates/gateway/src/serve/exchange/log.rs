//! The log lines of a request.

use verdict::{Code, Refusal};

use super::Exchange;
use crate::{
    attempt::End,
    parts,
    pool::{Oversize, Part, Placement},
    protocol::Protocol,
};

/// Logs a decision on a request, with what it was based on.
macro_rules! decision {
    (
        $exchange:expr, $now:expr, $name:literal,
        { $($key:ident = $value:expr),* $(,)? } $(, $age:ident = $age_value:expr)? $(,)?
    ) => {
        logging::event!(
            info,
            $name,
            request = $exchange.plan.head.id,
            route = $exchange.plan.route.name,
            pool = $exchange.plan.pool,
            workspace = $exchange.workspace(),
            fingerprint = $exchange.plan.fingerprint,
            parts = parts::List(&$exchange.shared_parts()),
            $($key = $value,)*
            waited_ms = $now.since($exchange.plan.arrived).as_millis(),
            servers_age_ms = $exchange.context.ages.servers($now).as_millis(),
            config = $exchange.plan.version
            $(, $age = $age_value)?
        );
    };
}

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

/// The text of a figure that may be missing.
fn figure(tokens: Option<footprint::Tokens>) -> String {
    tokens.map_or_else(|| String::from("none"), |tokens| tokens.to_string())
}

impl<P: Protocol> Exchange<P> {
    /// Refuses a request that fits no engine of its service. It gets no time for a retry.
    pub(super) fn refuse_oversized(&self, oversize: Oversize) -> Refusal {
        let usage = self.plan.demand.usage;
        let parts = &self.plan.demand.parts;
        self.context.metrics.oversized();
        logging::event!(
            info,
            "request_oversized",
            request = self.plan.head.id,
            route = self.plan.route.name,
            pool = self.plan.pool,
            needed = oversize.needed,
            memory = oversize.memory,
            parts_tokens = parts.iter().map(Part::length).sum::<u64>(),
            prompt = figure(usage.prompt),
            hint = figure(usage.hint),
            most = figure(usage.most),
            config = self.plan.version
        );
        let message = "The request needs more memory than a server of the service has.";
        self.refusal(Code::TooLarge, message)
    }

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
        decision!(
            self,
            now,
            "attempt_failed",
            {
                server = placement.server,
                version = placement.version,
                zone = placement.zone,
                path = placement.path,
                load = placement.load,
                bound = format!("{:.1}", placement.bound),
                outcome = outcome,
                reason = reason,
            }
        );
    }

    /// Logs the final refusal of the request.
    pub fn log_refusal(&self, refusal: &Refusal) {
        let now = self.context.clock.now();
        decision!(
            self,
            now,
            "request_refused",
            {
                code = refusal.code,
                verdict = refusal.verdict,
                sends = self.sent_attempts,
                unreachable = self.failed_connects,
            },
            config_age_ms = self.context.ages.configuration(now).as_millis()
        );
    }
}
