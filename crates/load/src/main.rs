//! `weir-load`: load generator that simulates callers of a fleet of routers and reports results.

mod arguments;
mod value;

use std::{io, process::ExitCode};

use load::{compare, run};

fn main() -> io::Result<ExitCode> {
    let task = settings::load(arguments::ABOUT, arguments::command(), arguments::check);
    logging::init("weir-load");
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(execute(task))
}

async fn execute(task: arguments::Task) -> io::Result<ExitCode> {
    match task {
        arguments::Task::Run {
            settings,
            has_timeline,
        } => Ok(run_callers(settings, has_timeline).await),
        arguments::Task::Compare(comparison) => {
            let report = compare::run(&comparison).await;
            println!("{report}");
            Ok(exit_code(report.has_passed()))
        }
    }
}

async fn run_callers(settings: load::settings::Settings, has_timeline: bool) -> ExitCode {
    let report = match run::run(settings).await {
        Ok(report) => report,
        Err(error) => {
            logging::event!(error, "run_failed", reason = error);
            return ExitCode::FAILURE;
        }
    };
    if has_timeline {
        print!("{}", report.timeline());
    }
    println!("{report}");
    exit_code(report.has_passed())
}

fn exit_code(has_passed: bool) -> ExitCode {
    if has_passed {
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
