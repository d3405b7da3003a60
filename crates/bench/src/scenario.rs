//! The scenarios and the figures computed from them.

use units::time::Instant;

use crate::{
    control,
    deployment::Deployment,
    figure::Figure,
    measure::{self, Window},
    policy::Name,
    run::Case,
    script::{Change, Script},
    stats::{Stats, Status},
    workload,
};

/// The load bound for the share of samples above it.
const LOAD_BOUND: f64 = 1.25;
/// The index of the workspace that surges.
const SURGING_WORKSPACE: u16 = 0;

/// Durations of the periods of a scenario, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Period until the caches are filled.
    pub warm_up: u64,
    /// Measured period of the steady scenario.
    pub steady: u64,
}

/// A deployment with the parameters of its runs.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The deployment.
    pub deployment: Deployment,
    /// Seed of all random draws.
    pub seed: u64,
    /// How long each router takes to apply a revision, in seconds.
    pub apply_delays: Vec<f64>,
    /// Durations of the scenario's periods.
    pub pace: Pace,
    /// Placement settings of the `chosen` policy.
    pub placement: placement::Settings,
}

fn seconds(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1000)
}

impl Setting {
    fn case(&self, until: u64, script: Script, surge: Option<workload::Surge>) -> Case {
        let plan = workload::Plan {
            seed: self.seed,
            until: seconds(until),
            ramp: seconds(self.deployment.ramp),
            surge,
        };
        let case = Case::new(
            self.deployment.clone(),
            &plan,
            script,
            self.apply_delays.clone(),
        );
        Case {
            placement: self.placement.clone(),
            ..case
        }
    }

    fn figure(
        &self,
        measure: &'static str,
        policy: Name,
        value: f64,
        unit: &'static str,
    ) -> Figure {
        Figure {
            measure,
            deployment: self.deployment.name,
            policy,
            value,
            unit,
            seed: self.seed,
        }
    }

    /// Steady: cache reuse, load skew, and messages and latency per request.
    pub fn steady(&self, policy: Name) -> Vec<Figure> {
        let start = self.pace.warm_up;
        let until = start + self.pace.steady;
        let case = self.case(until, Vec::new(), None);
        let window = seconds(start)..seconds(until);
        let stats = case.run(policy);
        let figure = |measure, value, unit| self.figure(measure, policy, value, unit);
        vec![
            figure(
                "reuse_steady",
                measure::reuse(&case, &stats, &window),
                "ratio",
            ),
            figure("skew_max", measure::skew_max(&stats, &window), "ratio"),
            figure(
                "skew_over_share",
                measure::skew_over(&stats, &window, LOAD_BOUND),
                "ratio",
            ),
            figure("mean_load", measure::mean_load(&stats, &window), "requests"),
            figure(
                "refused_share",
                measure::share(&case, &stats, &window, Status::Refused),
                "ratio",
            ),
            figure("hops", measure::hops(&case, &stats, &window), "messages"),
            figure(
                "added_p50",
                measure::added_ms(&case, &stats, &window, 0.5),
                "ms",
            ),
            figure(
                "added_p99",
                measure::added_ms(&case, &stats, &window, 0.99),
                "ms",
            ),
            figure(
                "first_token_p95",
                measure::first_token_ms(&case, &stats, &window, 0.95),
                "ms",
            ),
        ]
    }

    /// Churn: a tenth of the engines restart one after the other, then a zone is out of
    /// service for a minute.
    pub fn churn(&self, policy: Name) -> Vec<Figure> {
        let start = self.pace.warm_up;
        let mut script = Script::new();
        let restarted = self.deployment.engines.div_ceil(10);
        for index in 0..restarted {
            let at = start + 20 * index as u64;
            let engine = index * (self.deployment.zones + 1);
            script.push((seconds(at), Change::Crash(engine)));
            script.push((seconds(at + 8), Change::Start(engine)));
        }
        let excluded_at = start + 20 * restarted as u64 + 20;
        script.push((seconds(excluded_at), Change::ZoneOut(1)));
        script.push((seconds(excluded_at + 60), Change::ZoneIn(1)));
        let until = excluded_at + 60 + 60;
        let case = self.case(until, script, None);
        let window = seconds(start)..seconds(until);
        let stats = case.run(policy);
        let figure = |measure, value, unit| self.figure(measure, policy, value, unit);
        vec![
            figure(
                "reuse_churn",
                measure::reuse(&case, &stats, &window),
                "ratio",
            ),
            figure(
                "skew_max_churn",
                measure::skew_max(&stats, &window),
                "ratio",
            ),
            figure(
                "skew_over_share_churn",
                measure::skew_over(&stats, &window, 1.5),
                "ratio",
            ),
            figure(
                "churn_refused_share",
                measure::share(&case, &stats, &window, Status::Refused),
                "ratio",
            ),
            figure(
                "churn_lost",
                measure::count(&case, &stats, &window, Status::Lost) as f64,
                "requests",
            ),
        ]
    }

    /// Zone: operators take a zone out of service and return it after a minute.
    pub fn zone(&self, policy: Name) -> Vec<Figure> {
        let excluded_at = self.pace.warm_up;
        let script = vec![
            (seconds(excluded_at), Change::ZoneOut(1)),
            (seconds(excluded_at + 60), Change::ZoneIn(1)),
        ];
        let until = excluded_at + 120;
        let case = self.case(until, script, None);
        let window = seconds(excluded_at)..seconds(until);
        let stats = case.run(policy);
        let last = stats.last_excluded_zone_arrival.unwrap_or(Instant::ZERO);
        let figure = |measure, value, unit| self.figure(measure, policy, value, unit);
        vec![
            figure(
                "zone_out_s",
                last.since(seconds(excluded_at)).as_secs_f64(),
                "s",
            ),
            figure(
                "zone_lost_answers",
                measure::count(&case, &stats, &window, Status::Lost) as f64,
                "requests",
            ),
            figure(
                "zone_refused_share",
                measure::share(&case, &stats, &window, Status::Refused),
                "ratio",
            ),
            figure("zone_skew_max", measure::skew_max(&stats, &window), "ratio"),
        ]
    }

    /// Cold: two engines turn cold without notice and one restarts.
    pub fn cold(&self, policy: Name) -> Vec<Figure> {
        let at = self.pace.warm_up;
        let script = vec![
            (seconds(at), Change::TurnCold(0)),
            (seconds(at + 30), Change::TurnCold(1)),
            (seconds(at + 60), Change::Crash(2)),
            (seconds(at + 66), Change::Start(2)),
        ];
        let case = self.case(at + 100, script, None);
        let stats = case.run(policy);
        let (before, after) = overloads(&stats);
        let figure = |measure, value, unit| self.figure(measure, policy, value, unit);
        vec![
            figure("cold_overload_before", before as f64, "requests"),
            figure("cold_overload", after as f64, "requests"),
            figure("cold_crashes", f64::from(stats.overload_crashes), "engines"),
        ]
    }

    /// Surge: one workspace sends ten times its usual traffic for a minute.
    pub fn surge(&self, policy: Name) -> Vec<Figure> {
        let start = self.pace.warm_up;
        let until = start + 60;
        let window = seconds(start)..seconds(until);
        let surge = workload::Surge {
            workspace: SURGING_WORKSPACE,
            factor: 10,
            from: seconds(start),
            until: seconds(until),
        };
        let baseline = self.case(until, Vec::new(), None);
        let surged = self.case(until, Vec::new(), Some(surge));
        let before = other_workspaces_p95(&baseline, &baseline.run(policy), &window);
        let stats = surged.run(policy);
        let during = other_workspaces_p95(&surged, &stats, &window);
        let figure = |measure, value, unit| self.figure(measure, policy, value, unit);
        vec![
            figure("fairness", during / before.max(f64::MIN_POSITIVE), "ratio"),
            figure("quiet_p95", during, "ms"),
            figure("quiet_p95_calm", before, "ms"),
            figure(
                "quiet_refused_share",
                other_workspaces_refused(&surged, &stats, &window),
                "ratio",
            ),
        ]
    }

    /// Failing: a third of the engines fail every request for half a minute.
    pub fn failing(&self, policy: Name) -> Vec<Figure> {
        let start = self.pace.warm_up;
        let failing = self.deployment.engines / 3;
        let mut script = Script::new();
        for engine in 0..failing {
            script.push((seconds(start), Change::Fail(engine)));
            script.push((seconds(start + 30), Change::Serve(engine)));
        }
        let until = start + 30;
        let case = self.case(until + 10, script, None);
        let window = seconds(start)..seconds(until);
        let stats = case.run(policy);
        let (mut sent, mut requests) = (0, 0);
        for (_, record) in measure::requests_in(&case, &stats, &window) {
            sent += u64::from(record.attempts_sent);
            requests += u64::from(record.attempts_sent > 0);
        }
        let figure = |measure, value, unit| self.figure(measure, policy, value, unit);
        vec![
            figure(
                "retry_amplification",
                measure::ratio(sent, requests),
                "ratio",
            ),
            figure(
                "failing_lost_share",
                measure::share(&case, &stats, &window, Status::Lost),
                "ratio",
            ),
        ]
    }

    /// Control: control traffic of the busiest router.
    pub fn control(&self, traffic: &control::Traffic) -> Vec<Figure> {
        let deployment = &self.deployment;
        let owned = deployment.engines.div_ceil(deployment.routers);
        let common = traffic.polls + control::hosts_rate();
        let figure = |measure, policy, value, unit| self.figure(measure, policy, value, unit);
        let all = control::poll_all_rate(deployment.engines);
        vec![
            figure(
                "control_bytes",
                Name::Chosen,
                traffic.heartbeats + common + control::load_rate(owned),
                "bytes/s",
            ),
            figure(
                "control_heartbeat_bytes",
                Name::Chosen,
                traffic.heartbeats,
                "bytes/s",
            ),
            figure(
                "control_load_bytes",
                Name::Chosen,
                control::load_rate(owned),
                "bytes/s",
            ),
            figure("control_poll_bytes", Name::Chosen, traffic.polls, "bytes/s"),
            figure(
                "control_hosts_bytes",
                Name::Chosen,
                control::hosts_rate(),
                "bytes/s",
            ),
            figure("control_frame_bytes", Name::Chosen, traffic.frame, "bytes"),
            figure("control_bytes", Name::Random, common, "bytes/s"),
            figure("control_bytes", Name::TwoChoices, common + all, "bytes/s"),
            figure("control_bytes", Name::Modulo, common, "bytes/s"),
            figure("control_bytes", Name::RendezvousLocal, common, "bytes/s"),
            figure(
                "spread_s",
                Name::Chosen,
                traffic.applied.iter().copied().fold(0.0, f64::max),
                "s",
            ),
        ]
    }
}

/// The number of requests above the safe load of a cold engine, before and after its
/// owner detected that it is cold.
fn overloads(stats: &Stats) -> (usize, usize) {
    let detected = |at: Instant, engine: usize| {
        stats.cold_detections.iter().any(|(detected, which)| {
            *which == engine && *detected <= at && at.since(*detected).as_secs() < 30
        })
    };
    let after = stats
        .cold_overloads
        .iter()
        .filter(|(at, engine)| detected(*at, *engine));
    let after = after.count();
    (stats.cold_overloads.len() - after, after)
}

fn other_workspaces_p95(case: &Case, stats: &Stats, window: &Window) -> f64 {
    let quiet = measure::requests_in(case, stats, window).filter(|(arrival, record)| {
        arrival.workspace != SURGING_WORKSPACE && record.status == Status::Served
    });
    let waits = quiet.map(|(arrival, record)| record.begun_at.since(arrival.at));
    measure::quantile_value(waits.map(|wait| wait.as_secs_f64() * 1e3).collect(), 0.95)
}

fn other_workspaces_refused(case: &Case, stats: &Stats, window: &Window) -> f64 {
    let quiet = || {
        measure::requests_in(case, stats, window)
            .filter(|(arrival, _)| arrival.workspace != SURGING_WORKSPACE)
    };
    let refused = quiet().filter(|(_, record)| record.status != Status::Served);
    measure::ratio(refused.count() as u64, quiet().count() as u64)
}
