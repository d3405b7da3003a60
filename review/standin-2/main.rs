//! Stand-ins of the platform, runners and clients, and the cases that use them.

mod all_killed;
mod engine;
mod fleet;
mod fraction;
mod http;
mod json;
mod lost_machines;
mod moved;
mod recorded;
mod store;
mod versions;

use std::{env, process::ExitCode};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "all-killed" => all_killed::run(record, has_trouble),
        "fraction" => fraction::run(record, has_trouble),
        "moved" => moved::run(record, has_trouble),
        "recorded" => recorded::run(record, has_trouble),
        "versions" => versions::run(record, has_trouble),
        "lost-machines" => lost_machines::run(record, has_trouble),
        _ => Ok(Verdict::NotRun),
    };
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
