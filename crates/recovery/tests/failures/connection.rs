//! Silent connections, dead servers and slow requests.

use recovery::{Action, Connection, ProbeResult, Settings};
use units::time::Instant;
use yare::parameterized;

/// An event, with its time in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    Bytes(u64),
    Tick(u64),
    ProbeDone(u64, ProbeResult),
}

use Event::{Bytes, ProbeDone, Tick};

// A device on the path loses its state of a connection, and no more bytes arrive
// on it, while the server is healthy. Its caller must not wait forever, the healthy
// server must not be ejected, and a request that is merely slow must not be
// aborted. The cases include late and missing probe results.
#[parameterized(
    silent_connection = {
        &[Bytes(500), Tick(2000), Tick(2600), ProbeDone(2700, ProbeResult::Ahead), Tick(9000)],
        &[Action::Wait, Action::Probe, Action::CloseConnection, Action::Wait],
    },
    attempt_unknown_to_server = {
        &[Tick(2000), ProbeDone(2100, ProbeResult::Unknown)],
        &[Action::Probe, Action::CloseConnection],
    },
    dead_server = {
        &[Tick(2000), ProbeDone(2400, ProbeResult::Failed), Tick(9000)],
        &[Action::Probe, Action::ServerFailed, Action::Wait],
    },
    dead_server_with_probe_timeout = {
        &[Tick(2000), Tick(2900), Tick(3000), ProbeDone(3100, ProbeResult::CaughtUp)],
        &[Action::Probe, Action::Wait, Action::ServerFailed, Action::Wait],
    },
    slow_request = {
        &[
            Tick(2000), ProbeDone(2100, ProbeResult::CaughtUp), Tick(6000), Tick(6100),
            ProbeDone(6200, ProbeResult::CaughtUp), Tick(14_000), Tick(14_200), Bytes(14_300), Tick(14_400),
        ],
        &[
            Action::Probe, Action::Wait, Action::Wait, Action::Probe,
            Action::Wait, Action::Wait, Action::Probe, Action::Wait,
        ],
    },
    bytes_arrive_before_the_probe_result = {
        &[Tick(2000), Bytes(2050), ProbeDone(2100, ProbeResult::Ahead), Tick(4000), Tick(4050)],
        &[Action::Probe, Action::Wait, Action::Wait, Action::Probe],
    },
    bytes_after_close = {
        &[Tick(2000), ProbeDone(2100, ProbeResult::Ahead), Bytes(2200), Tick(9000)],
        &[Action::Probe, Action::CloseConnection, Action::Wait],
    },
)]
fn silent_connections_are_distinguished_from_dead_servers(events: &[Event], expected: &[Action]) {
    let mut connection = Connection::new(Settings::default(), Instant::ZERO);
    let mut actions = Vec::new();
    for event in events {
        match *event {
            Bytes(at) => connection.record_progress(Instant::from_millis(at)),
            Tick(at) => actions.push(connection.tick(Instant::from_millis(at))),
            ProbeDone(at, result) => {
                actions.push(connection.record_probe(result, Instant::from_millis(at)))
            }
        }
    }
    assert_eq!(actions, expected);
}
