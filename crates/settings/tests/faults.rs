//! Reporting of invalid settings, and protection of secrets.

use std::net::SocketAddr;

use bpaf::construct;

fn read(arguments: &[&str]) -> Result<(SocketAddr, u32), settings::Exit> {
    let listen = settings::text("listen", "TEST_LISTEN", "IP:PORT", "Address to listen on");
    let parallel = settings::text("parallel", "TEST_PARALLEL", "N", "Requests at once");
    let given = construct!(listen, parallel);
    settings::parse("A test", given, arguments, |(listen, parallel), faults| {
        let listen = faults.required(&listen, settings::ADDRESS);
        let parallel = faults.within(&parallel, 8, 1..=64);
        Some((listen?, parallel?))
    })
}

// An operator mistypes two flags. If only the first fault were reported, the second
// one would fail the next start: one restart per fault.
#[test]
fn all_faults_are_reported_together() {
    let exit = read(&["--listen", "localhost", "--parallel", "65"]).expect_err("both are invalid");
    let expected = "--listen (TEST_LISTEN): got \"localhost\", allowed: an IP address and a port, \
                    such as 127.0.0.1:8080 or [::1]:8080\n\
                    --parallel (TEST_PARALLEL): got \"65\", allowed: 1 to 64";
    assert_eq!((exit.code, exit.text.as_str()), (2, expected));
}

#[test]
fn unknown_flag_exits_with_code_2() {
    let exit = read(&["--listne", "127.0.0.1:0"]).expect_err("unknown flag");
    assert_eq!(exit.code, 2);
    assert!(exit.text.contains("--listne"), "{}", exit.text);
}

#[test]
fn check_exits_with_code_0_and_defaults_apply() {
    assert_eq!(
        read(&["--listen", "127.0.0.1:0"]),
        Ok(("127.0.0.1:0".parse().unwrap(), 8))
    );
    let exit = read(&["--check", "--listen", "127.0.0.1:0"]).expect_err("only validates");
    assert_eq!((exit.code, exit.text.as_str()), (0, "settings=valid"));
}

// A mistyped fleet key that appears in the fault message reaches the log collector.
// Everyone with access to the logs could then join the fleet.
#[test]
fn secret_is_not_shown() {
    // `PATH` serves as the secret, because it is set wherever tests run.
    let given = settings::secret("PATH");
    let none: &[&str] = &[];
    let exit = settings::parse("A test", given, none, |raw, faults| {
        faults.required::<u128>(&raw, "32 hex digits")
    })
    .expect_err("not a number");
    assert_eq!(
        exit.text,
        "PATH: got a hidden value, allowed: 32 hex digits"
    );
}

// `--help` lists environment variables with their current values. An operator who
// pastes the output into a ticket would reveal the fleet key.
#[test]
fn help_hides_the_value_of_a_secret() {
    let path = std::env::var("PATH").unwrap();
    let help: &[&str] = &["--help"];
    let exit = settings::parse("A test", settings::secret("PATH"), help, |raw, faults| {
        faults.required::<u128>(&raw, "32 hex digits")
    })
    .expect_err("only help");
    assert_eq!(exit.code, 0);
    // The help output wraps long values, so whitespace is removed.
    let shown: String = exit.text.split_whitespace().collect();
    assert!(!shown.contains(&path), "{}", exit.text);
}
