//! Stand-ins of the platform, its runners and its clients, and the cases that use them.

mod client;
mod endless;
mod fleet;
mod http;
mod json;
mod names;
mod record;
mod runner;
mod store;
mod takeups;
mod unordered;
mod versions;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let verdict = match case.as_str() {
        "endless" => endless::run(has_trouble, &record),
        "names" => names::run(has_trouble, &record),
        "take-ups" => takeups::rolling(has_trouble, &record),
        "versions" => versions::run(has_trouble, &record),
        "unordered" => unordered::run(has_trouble, &record),
        "take-ups-long" => takeups::long(has_trouble, &record),
        "take-ups-lost" => takeups::lost(has_trouble, &record),
        other => Verdict::CouldNotRun(format!("there is no case {other}")),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
