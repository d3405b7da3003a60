//! Prints how roll-outs end: by kind of version and size of the fleet, and by the way in
//! which they are carried out.
//!
//! ```text
//! cargo run --release -p rollout --example compare -- [RUNS]
//! ```

#[path = "../tests/model/fleet.rs"]
mod fleet;
#[path = "../tests/model/scenario.rs"]
mod scenario;
#[path = "../tests/model/store.rs"]
mod store;

use rollout::stage::State;

use fleet::{Fleet, Report, SLACK};
use scenario::{Kind, Layout, Scenario, Share, Ways};

/// The durations of the orders, in seconds.
const DURATIONS_S: [u64; 3] = [8, 12, 30];

/// The results of some runs.
#[derive(Default)]
struct Summary {
    runs: u64,
    correct: u64,
    /// When the roll-outs ended, in thousandths of their durations.
    ended: Vec<u64>,
    faulty_answers: Vec<u64>,
    /// From the first faulty answer to the first decision, in milliseconds.
    reaction_ms: Vec<u64>,
    /// Faulty versions that received more requests than the bound allows, with the shortest
    /// duration and with longer ones.
    overexposed: [u64; 2],
    violated: u64,
    threshold_ms: Vec<u64>,
    quantile_ms: Vec<u64>,
}

impl Summary {
    fn add(&mut self, scenario: &Scenario, report: &Report) {
        let is_sound = scenario.kind.is_sound();
        let expected = if is_sound {
            State::Completed
        } else {
            State::RolledBack
        };
        self.runs += 1;
        self.correct += u64::from(report.state == Some(expected));
        self.ended
            .extend(report.ended_ms.map(|at| at / scenario.duration_s));
        self.faulty_answers.push(report.faulty_answers);
        let since_first = |at: Option<u64>| Some(at?.saturating_sub(report.first_faulty_ms?));
        self.reaction_ms.extend(since_first(report.rollback_ms));
        self.threshold_ms.extend(since_first(report.threshold_ms));
        self.quantile_ms.extend(since_first(report.quantile_ms));
        let allowed = 0.1 * report.requests as f64 + SLACK as f64;
        let is_over = report.candidate_requests as f64 > allowed;
        let is_short = scenario.duration_s == DURATIONS_S[0];
        self.overexposed[usize::from(!is_short)] += u64::from(is_over && !is_sound);
        self.violated += u64::from(!report.violations.is_empty());
    }

    fn print(mut self, name: &str) {
        println!(
            "| {name} | {}/{} | {} | {} | {} | {} | {}, {} | {} | {} ({}) | {} ({}) |",
            self.correct,
            self.runs,
            tenths(&mut self.ended, 5),
            tenths(&mut self.faulty_answers, 5),
            tenths(&mut self.faulty_answers, 9),
            tenths(&mut self.reaction_ms, 5),
            self.overexposed[0],
            self.overexposed[1],
            self.violated,
            tenths(&mut self.threshold_ms, 5),
            self.threshold_ms.len(),
            tenths(&mut self.quantile_ms, 5),
            self.quantile_ms.len(),
        );
    }
}

/// The value below which so many tenths of a list lie.
fn tenths(list: &mut [u64], part: usize) -> u64 {
    list.sort_unstable();
    list.get(list.len() * part / 10)
        .copied()
        .unwrap_or_default()
}

fn print_head(title: &str) {
    println!("\n{title}\n");
    println!(
        "| | correct | ended, thousandths of the duration | faulty answers p50 | p90 | ms to the \
         decision p50 | overexposed at 8 s, longer | violations | threshold alone, ms (found) | median alone, ms \
         (found) |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
}

fn main() {
    let runs = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let runs: u64 = runs.unwrap_or(200);
    print_head("Kinds of versions, no faults but 1% of messages lost");
    for kind in Kind::ALL {
        for routers in [6, 83, 300] {
            let mut summary = Summary::default();
            // Larger fleets take longer to simulate.
            let runs = if routers > 83 { runs / 10 } else { runs };
            for run in 0..runs {
                let duration_s = DURATIONS_S[run as usize % DURATIONS_S.len()];
                let scenario = Scenario::calm(1_000_000 + run, kind, routers, duration_s);
                summary.add(&scenario, &Fleet::new(scenario.clone()).run());
            }
            summary.print(&format!("{kind:?}, {routers} routers"));
        }
    }
    print_head("Ways, all kinds of versions, with faults");
    for share in [Share::OwnFraction, Share::FewRouters, Share::Random] {
        for layout in [Layout::Concentrated, Layout::Spread] {
            let mut summary = Summary::default();
            for seed in 0..runs * 5 {
                let ways = Ways { share, layout };
                let scenario = Scenario {
                    ways,
                    ..Scenario::draw(seed)
                };
                summary.add(&scenario, &Fleet::new(scenario.clone()).run());
            }
            summary.print(&format!("{share:?}, {layout:?}"));
        }
    }
}
