//! Starts `weir-bench`.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bench::{bounds::Bounds, suite};
use bpaf::Bpaf;

/// Decision benchmarks in virtual time, one line for each figure.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Shorter stretches and fewer policies
    #[bpaf(switch)]
    quick: bool,
    /// The seed of all draws
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Only this deployment: lankaclean, dagbog or planned
    #[bpaf(argument("NAME"), optional)]
    deployment: Option<String>,
    /// Only measures whose scenario has this name: steady, churn, zone, cold, surge, failing or control
    #[bpaf(argument("NAME"), optional)]
    scenario: Option<String>,
    /// Another `headroom` of placement
    #[bpaf(argument("SHARE"), optional)]
    headroom: Option<f64>,
    /// Another `patience` of placement, in milliseconds
    #[bpaf(argument("NUMBER"), optional)]
    patience_ms: Option<u64>,
    /// Another number of servers that are asked and offered
    #[bpaf(argument("NUMBER"), optional)]
    tries: Option<usize>,
    /// How many topologies are kept for earlier homes
    #[bpaf(argument("NUMBER"), optional)]
    topologies: Option<usize>,
    /// Fails when a figure is beyond the bounds in this file
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
