//! Runs the selected scenarios for the selected deployments.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use crate::{
    control, deployment,
    figure::Figure,
    policy::Name,
    scenario::{Pace, Setting},
};

/// Settings of a benchmark run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether to use shorter periods and fewer policies.
    pub quick: bool,
    /// Seed of all random draws.
    pub seed: u64,
    /// Runs only this deployment. All by default.
    pub deployment: Option<String>,
    /// Runs only this scenario. All by default.
    pub scenario: Option<String>,
    /// Placement settings of the `chosen` policy.
    pub placement: placement::Settings,
    /// Number of worker threads.
    pub threads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quick: false,
            seed: 1,
            deployment: None,
            scenario: None,
            placement: placement::Settings::default(),
            threads: 4,
        }
    }
}

/// One scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    Steady,
    Churn,
    Zone,
    Cold,
    Surge,
    Failing,
}

impl Scenario {
    const ALL: [Self; 6] = [
        Self::Steady,
        Self::Churn,
        Self::Zone,
        Self::Cold,
        Self::Surge,
        Self::Failing,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Churn => "churn",
            Self::Zone => "zone",
            Self::Cold => "cold",
            Self::Surge => "surge",
            Self::Failing => "failing",
        }
    }

    fn run(self, setting: &Setting, policy: Name) -> Vec<Figure> {
        match self {
            Self::Steady => setting.steady(policy),
            Self::Churn => setting.churn(policy),
            Self::Zone => setting.zone(policy),
            Self::Cold => setting.cold(policy),
            Self::Surge => setting.surge(policy),
            Self::Failing => setting.failing(policy),
        }
    }
}

/// Runs the selected scenarios. The order of the figures does not depend on the number
/// of threads.
pub fn run(settings: &Settings) -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut jobs = Vec::new();
    for deployment in deployment::all() {
        let chosen = settings.deployment.as_deref();
        if chosen.is_some_and(|name| name != deployment.name) {
            continue;
        }
        let traffic = control::measure(&deployment, settings.seed);
        let setting = Setting {
            pace: pace(&deployment, settings.quick),
            seed: settings.seed,
            placement: settings.placement.clone(),
            apply_delays: traffic.applied.clone(),
            deployment,
        };
        if is_selected(settings, "control") {
            figures.extend(setting.control(&traffic));
        }
        jobs.extend(jobs_of(settings, &setting));
    }
    figures.extend(run_jobs(&jobs, settings.threads));
    figures
}

fn is_selected(settings: &Settings, scenario: &str) -> bool {
    let chosen = settings.scenario.as_deref();
    chosen.is_none_or(|name| name == scenario)
}

fn pace(deployment: &deployment::Deployment, quick: bool) -> Pace {
    let large = deployment.engines > 100;
    match (large, quick) {
        (true, true) => Pace {
            warm_up: 150,
            steady: 20,
        },
        (true, false) => Pace {
            warm_up: 180,
            steady: 60,
        },
        (false, true) => Pace {
            warm_up: 200,
            steady: 120,
        },
        (false, false) => Pace {
            warm_up: 300,
            steady: 300,
        },
    }
}

type Job = (Scenario, Setting, Name);

/// The jobs of one deployment. A large deployment runs only the steady scenario: it has
/// a single zone, and its other scenarios take too long.
fn jobs_of(settings: &Settings, setting: &Setting) -> Vec<Job> {
    let large = setting.deployment.engines > 100;
    let mut jobs = Vec::new();
    for scenario in Scenario::ALL {
        if !is_selected(settings, scenario.name()) || (large && scenario != Scenario::Steady) {
            continue;
        }
        for policy in Name::ALL {
            let compared = matches!(scenario, Scenario::Steady | Scenario::Churn);
            if policy == Name::Chosen || compared || !settings.quick {
                jobs.push((scenario, setting.clone(), policy));
            }
        }
    }
    jobs
}

/// Runs `jobs` on several threads, starting with the most expensive ones.
fn run_jobs(jobs: &[Job], threads: usize) -> Vec<Figure> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&index| {
        let (_, setting, policy) = &jobs[index];
        let chosen = *policy == Name::Chosen;
        std::cmp::Reverse((setting.deployment.chats, chosen))
    });
    let next = AtomicUsize::new(0);
    let run_next_jobs = || {
        let mut done = Vec::new();
        while let Some(&index) = order.get(next.fetch_add(1, Ordering::Relaxed)) {
            let (scenario, setting, policy) = &jobs[index];
            done.push((index, scenario.run(setting, *policy)));
        }
        done
    };
    let mut done: Vec<(usize, Vec<Figure>)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1))
            .map(|_| scope.spawn(run_next_jobs))
            .collect();
        let joined = workers.into_iter().map(|worker| worker.join());
        joined
            .flat_map(|done| done.expect("a worker thread that does not panic"))
            .collect()
    });
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().flat_map(|(_, figures)| figures).collect()
}
