//! The `weir-bench` command.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bench::{bounds::Bounds, suite};
use bpaf::Bpaf;

/// Decision benchmarks in virtual time, one line for each figure.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Shorter periods and fewer policies
    #[bpaf(switch)]
    quick: bool,
    /// Seed of all random draws
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Run only this deployment: lankaclean, dagbog or planned
    #[bpaf(argument("NAME"), optional)]
    deployment: Option<String>,
    /// Run only this scenario: steady, churn, zone, cold, surge, failing or control
    #[bpaf(argument("NAME"), optional)]
    scenario: Option<String>,
    /// Override the placement setting `headroom`
    #[bpaf(argument("SHARE"), optional)]
    headroom: Option<f64>,
    /// Override the queue timeout of placement on servers with a cached prefix, in
    /// milliseconds
    #[bpaf(argument("NUMBER"), optional)]
    patience_ms: Option<u64>,
    /// Override the maximum number of candidate servers of placement
    #[bpaf(argument("NUMBER"), optional)]
    tries: Option<usize>,
    /// Number of past topologies considered for cached prefixes
    #[bpaf(argument("NUMBER"), optional)]
    topologies: Option<usize>,
    /// Fail when a figure is beyond the bounds in this file
    #[bpaf(argument("FILE"), optional)]
    bounds: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let bounds = match options.bounds.as_ref().map(read).transpose() {
        Ok(bounds) => bounds.unwrap_or_default(),
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    let placement = placement(&options);
    let figures = suite::run(&suite::Settings {
        quick: options.quick,
        seed: options.seed,
        deployment: options.deployment,
        placement,
        scenario: options.scenario,
        ..suite::Settings::default()
    });
    for figure in &figures {
        println!("{figure}");
    }
    let regressions = bounds.check(&figures);
    for regression in &regressions {
        eprintln!("{regression}");
    }
    if regressions.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn placement(options: &Options) -> placement::Settings {
    let settings = placement::Settings::default();
    let patience = options.patience_ms.map(Duration::from_millis);
    placement::Settings {
        headroom: options.headroom.unwrap_or(settings.headroom),
        warm_queue_timeout: patience.unwrap_or(settings.warm_queue_timeout),
        max_warm_candidates: options.tries.unwrap_or(settings.max_warm_candidates),
        max_candidates: options.tries.unwrap_or(settings.max_candidates),
        max_past_topologies: options.topologies.unwrap_or(settings.max_past_topologies),
        ..settings
    }
}

fn read(path: &PathBuf) -> Result<Bounds, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("--bounds {}: {error}", path.display()))?;
    Bounds::parse(&text).map_err(|error| format!("--bounds {}: {error}", path.display()))
}
