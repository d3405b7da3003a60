//! The status page: a router's current view of the fleet, for operators.

use std::{fmt, time::Duration};

use load_report::Slowdown;
use logging::Value;
use recovery::Moment;
use units::{availability, backend, host, pool, time::Instant};

use crate::{
    dispatch::RefusedParts,
    pool::{Server, Standing},
    readiness::Readiness,
    route::Unusable,
    shutdown::Phase,
    staleness::Staleness,
};

/// The line of refused prompt parts.
pub fn parts_line(refused: &RefusedParts, now: Instant) -> String {
    let last_crash = Moment::from(now).since(refused.entry.last_crash_at);
    format!(
        "parts={} crashes={} last_crash_s={} refusals={} recorded={}",
        refused.parts,
        refused.entry.crashes,
        last_crash.as_secs(),
        refused.refusals,
        if refused.is_recorded { "yes" } else { "no" }
    )
}

/// A router's view of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The server.
    pub server: backend::Server,
    /// The service that it belongs to.
    pub pool: pool::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Requests of this router in flight.
    pub running: u32,
    /// Requests of all routers in flight, as far as known from gossip.
    pub load: u32,
    /// The maximum number of requests in flight that it may have now.
    pub bound: f64,
    /// Whether it is eligible for requests.
    pub standing: Standing,
    /// Whether it is cold, or may have restarted.
    pub is_cold: bool,
    /// Whether it receives no new requests because it is draining or its zone is evacuated.
    pub is_leaving: bool,
    /// The recent response time in excess of what the load explains, in milliseconds.
    pub lag_ms: u64,
    /// How long work takes there, in percent of the usual time; `None` if it has not been
    /// reported recently.
    pub slowdown: Option<Slowdown>,
    /// The age of that report, in milliseconds.
    pub slowdown_age_ms: u128,
    /// Requests that the server has reported as running and waiting.
    pub reported: Option<u32>,
    /// The age of that report, in milliseconds.
    pub reported_age_ms: u128,
}

impl Row {
    /// Creates the row of `server` at `now`.
    pub fn new(
        pool: &pool::Id,
        server: &Server,
        bound: f64,
        standing: Standing,
        now: Instant,
    ) -> Self {
        Self {
            server: server.name().clone(),
            pool: pool.clone(),
            zone: server.zone().clone(),
            running: server.running(),
            load: server.load(),
            bound,
            standing,
            is_cold: server.is_cold(now),
            is_leaving: server.is_leaving(),
            lag_ms: server.lag_us(now) / 1000,
            slowdown: server.slowdown_age(now).map(|_| server.slowdown(now)),
            slowdown_age_ms: millis(server.slowdown_age(now)),
            reported: server
                .report_age(now)
                .map(|_| server.reported_requests(now)),
            reported_age_ms: millis(server.report_age(now)),
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "server={} pool={} zone={} standing={} cold={} leaving={} running={} load={} \
             bound={:.1} lag_ms={}",
            Value(self.server.as_str()),
            Value(self.pool.as_str()),
            Value(self.zone.as_str()),
            self.standing,
            self.is_cold,
            self.is_leaving,
            self.running,
            self.load,
            self.bound,
            self.lag_ms
        )?;
        if let Some(reported) = self.reported {
            write!(
                f,
                " reported={reported} reported_age_ms={}",
                self.reported_age_ms
            )?;
        }
        if let Some(slowdown) = self.slowdown {
            let (percent, age) = (slowdown.percent(), self.slowdown_age_ms);
            write!(f, " slowdown={percent} slowdown_age_ms={age}")?;
        }
        Ok(())
    }
}

fn millis(age: Option<Duration>) -> u128 {
    age.unwrap_or_default().as_millis()
}

/// The state of the dispatch task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The servers, by service and name.
    pub servers: Vec<Row>,
    /// The number of queued requests by service.
    pub queued: Vec<(pool::Id, usize)>,
    /// The number of routers that share the bounds.
    pub members: usize,
    /// The number of other routers that report their requests in flight.
    pub reporting_peers: usize,
}

/// A router's view of one roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The service.
    pub pool: pool::Id,
    /// The ordered version.
    pub to: backend::Version,
    /// The store's version of the order.
    pub revision: u64,
    /// The stage, if known.
    pub stage: Option<rollout::Stage>,
    /// The number of routers whose counts are known.
    pub reporters: u16,
    /// The known counts.
    pub counts: rollout::Counts,
    /// The comparison of the versions.
    pub assessment: rollout::verdict::Assessment,
}

/// Renders the state of a roll-out: a line for the roll-out, and one for each route.
/// `route_name` resolves the hash of a route's name.
pub fn rollout_lines(
    rollout: &Rollout,
    route_name: impl Fn(rollout::counts::Route) -> Option<String>,
) -> Vec<String> {
    let assessment = &rollout.assessment;
    let events = assessment.events;
    let pool = Value(rollout.pool.as_str());
    let name_of = |route| {
        let name = route_name(route).unwrap_or_else(|| String::from("other"));
        Value(&name).to_string()
    };
    let mut lines = vec![format!(
        "rollout={} to={} revision={} stage={} reporters={} score={:.1} evidence={} route={} \
         baseline={}/{} candidate={}/{}",
        pool,
        Value(rollout.to.as_str()),
        rollout.revision,
        rollout.stage.map_or("unknown", rollout::Stage::name),
        rollout.reporters,
        assessment.score,
        assessment.kind,
        assessment
            .route
            .map_or_else(|| String::from("all"), name_of),
        events.baseline,
        events.baseline_total,
        events.candidate,
        events.candidate_total
    )];
    lines.extend(rollout.counts.routes().map(|(route, counts)| {
        format!(
            "rollout={} route={} baseline_answers={} baseline_failures={} candidate_answers={} \
             candidate_failures={}",
            pool,
            name_of(route),
            counts.baseline.outcomes(),
            counts.baseline.failed,
            counts.candidate.outcomes(),
            counts.candidate.failed
        )
    }));
    lines
}

/// The first line of the page.
#[derive(Debug)]
pub struct Header<'a> {
    /// This router.
    pub host: &'a host::Id,
    /// Whether the router can serve requests, and if not, what is missing.
    pub readiness: Readiness,
    /// The shutdown phase of the process.
    pub phase: Phase,
    /// The ages of the replicated views.
    pub ages: &'a Staleness,
    /// What operators have written and is not in force, because it cannot be used.
    pub unusable: &'a [Unusable],
    /// The present instant.
    pub now: Instant,
}

/// Renders the page.
pub fn page(header: &Header<'_>, report: &Report) -> String {
    let mut lines = vec![format!(
        "router={} readiness=\"{}\" phase={:?} config_age_ms={} servers_age_ms={} members={} \
         heard={}",
        Value(header.host.as_str()),
        header.readiness,
        header.phase,
        header.ages.configuration(header.now).as_millis(),
        header.ages.servers(header.now).as_millis(),
        report.members,
        report.reporting_peers
    )];
    lines.extend(header.unusable.iter().map(|entry| {
        format!(
            "unusable={} name={} reason={}",
            entry.kind,
            Value(&entry.name),
            Value(&entry.reason)
        )
    }));
    let queued = report.queued.iter();
    lines.extend(
        queued.map(|(pool, count)| format!("pool={} waiting={count}", Value(pool.as_str()))),
    );
    lines.extend(report.servers.iter().map(Row::to_string));
    lines.push(String::new());
    lines.join("\n")
}
