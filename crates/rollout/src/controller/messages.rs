//! The messages of one router about a roll-out.

use std::time::Duration;

use units::time::{Instant, Millis};

use super::{Audience, Controller, MAX_SILENCE};
use crate::{Message, Stage};

/// The interval between regular reports, as a part of the time in which a faulty version
/// must stop receiving requests: a report passes two routers, and each may be lost once.
const REPORT_INTERVAL_DIVISOR: u32 = 5;
/// The interval between two reports if the new version has failed further requests.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The interval at which a router that does not know the stage asks for it.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// The interval at which the stage is repeated to other routers while the roll-out runs.
const STAGE_INTERVAL: Duration = Duration::from_millis(2000);
/// The same interval once the roll-out has ended.
const FINAL_STAGE_INTERVAL: Duration = Duration::from_millis(5000);

impl Controller {
    /// Answers routers that ask for the stage, and asks others if this router does not know
    /// it or has not been told for some time.
    ///
    /// A router that has just started sends its requests to the old version, whose servers
    /// are about to stop if the new one is being promoted.
    pub(super) fn answer_queries(&mut self, messages: &mut Vec<(Audience, Message)>, now: Instant) {
        let queries = std::mem::take(&mut self.queries);
        if now >= self.query_at && !self.stage.is_some_and(Stage::is_final) {
            let (audience, interval) = match self.stage {
                None => (Audience::Many, QUERY_INTERVAL),
                Some(_) => (Audience::One, MAX_SILENCE),
            };
            self.query_at = now + interval;
            let query = Message::Query {
                revision: self.order.revision,
                host: self.own.host,
            };
            messages.push((audience, query));
        }
        for host in queries {
            messages.extend(self.stage_message(Audience::Router(host), now));
        }
    }

    pub(super) fn stage_message(
        &mut self,
        audience: Audience,
        now: Instant,
    ) -> Option<(Audience, Message)> {
        let stage = self.stage?;
        let interval = if stage.is_final() {
            FINAL_STAGE_INTERVAL
        } else {
            STAGE_INTERVAL
        };
        self.stage_message_at = now + interval;
        let elapsed = now.since(self.began_at).as_millis();
        let message = Message::Stage {
            revision: self.order.revision,
            stage,
            elapsed: Millis(u64::try_from(elapsed).unwrap_or(u64::MAX)),
        };
        Some((audience, message))
    }

    /// Reports this router's counts to the collectors of its zone. A router that receives
    /// such reports is a collector, and reports their sum to the judges.
    pub(super) fn report(&mut self, messages: &mut Vec<(Audience, Message)>, now: Instant) {
        let is_open = matches!(self.stage, Some(Stage::Canary | Stage::Promoting));
        if !is_open || now < self.urgent_report_at {
            return;
        }
        let (reporters, sum) = self.reports.zone_sum();
        let own = self.reports.own();
        let suspicious = (own.suspicious(), sum.suspicious());
        let is_urgent = (
            suspicious.0 > self.reported.0,
            suspicious.1 > self.reported.1,
        );
        let is_regular = now >= self.report_at;
        let revision = self.order.revision;
        if !own.is_empty() && (is_regular || is_urgent.0) {
            let audience = Audience::Collectors { all: is_urgent.0 };
            let message = Message::Report {
                revision,
                reporter: self.own.reporter,
                counts: own.clone(),
            };
            messages.push((audience, message));
        }
        if reporters > 1 && (is_regular || is_urgent.1) {
            let audience = Audience::Judges { all: is_urgent.1 };
            let message = Message::Zone {
                revision,
                zone: self.own.zone,
                reporters,
                counts: sum,
            };
            messages.push((audience, message));
        }
        self.reported = suspicious;
        self.urgent_report_at = now + MIN_REPORT_INTERVAL;
        if is_regular {
            self.report_at = now + self.settings.rollback.duration() / REPORT_INTERVAL_DIVISOR;
        }
    }
}
