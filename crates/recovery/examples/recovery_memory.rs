//! Prints the memory per strike, workspace, server and connection.

use std::{fs, hint};

use recovery::{
    Connection, Crash, Interval, OutlierDetector, RetryBudget, Settings, Strike, Suspects,
};
use units::{request::Fingerprint, time::Instant};

/// The resident memory of the process, in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .expect("VmRSS with a value")
        .parse::<u64>()
        .expect("VmRSS in kilobytes")
        * 1024
}

fn main() {
    let now = Instant::from_millis(1);
    let count = 200_000;
    let settings = Settings {
        max_suspects: usize::MAX,
        ..Settings::default()
    };
    let before = resident_bytes();
    let mut suspects = Suspects::new(settings.clone());
    for number in 0..count {
        let strike = Strike {
            fingerprint: Fingerprint(number),
            crash: Crash(number / 10),
            interval: Interval::new(Instant::ZERO, now),
        };
        suspects.apply_strike(strike, now);
    }
    println!("strike_bytes={}", (resident_bytes() - before) / count);
    let before = resident_bytes();
    let mut budget = RetryBudget::new(settings.clone(), now);
    for number in 0..count {
        let workspace = format!("workspace-{number}").parse().expect("a valid name");
        budget.record_request(&workspace, now);
    }
    println!("workspace_bytes={}", (resident_bytes() - before) / count);
    let before = resident_bytes();
    let mut detector = OutlierDetector::new(settings);
    detector.set_servers((0..count).map(|number| {
        let server = format!("server-{number}").parse().expect("a valid name");
        (server, "zone-a".parse().expect("a valid name"))
    }));
    println!("server_bytes={}", (resident_bytes() - before) / count);
    println!("connection_bytes={}", std::mem::size_of::<Connection>());
    hint::black_box((suspects, budget, detector));
}
