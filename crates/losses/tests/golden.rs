//! Compares complete reports with golden files byte by byte.
//!
//! `UPDATE_GOLDEN=1 cargo test --workspace golden` rewrites the golden files.

use std::{env, fs, path::PathBuf};

use losses::{plot, render, report::Report};

fn golden_path(name: &str) -> PathBuf {
    let tests = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    tests.join(name)
}

fn assert_golden(name: &str, text: &str) {
    if env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(golden_path(name), text).expect("the golden file is writable");
    }
    let golden = fs::read_to_string(golden_path(name)).expect("the golden file is readable");
    assert_eq!(text, golden, "report differs from the golden file {name}");
}

fn report() -> Report {
    let mut report = Report::default();
    let day = fs::read(golden_path("day.log")).expect("the log file is readable");
    report
        .add(day.as_slice(), "day")
        .expect("the log is readable");
    report
}

/// The log covers five seconds of two routers, one of them in a partitioned availability zone.
#[test]
fn golden_text_report() {
    assert_golden("day.txt", &render::text(&report()));
}

#[test]
fn golden_json_report() {
    let json = format!("{:#}\n", render::json(&report()));
    assert_golden("day.json", &json);
}

#[test]
fn plot_shows_both_curves() {
    let picture = plot::svg(&report()).expect("the report can be plotted");
    assert!(picture.starts_with("<svg"));
    assert!(picture.contains("requests lost"));
    assert!(picture.contains("first byte"));
}

#[test]
fn empty_report_has_no_plot() {
    assert!(plot::svg(&Report::default()).is_err());
}
