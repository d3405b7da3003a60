//! Detection of connections that stop responding while their server is healthy.

use units::time::Instant;

use crate::Settings;

/// The result of a probe over a new connection to the same server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server has produced more of the response than was received here.
    Ahead,
    /// The server is running the attempt, and all that it has produced was received.
    CaughtUp,
    /// The server responds, but the attempt is unknown to it or it cannot report on
    /// attempts.
    Unknown,
    /// The new connection could not be established, or the probe got no response.
    Failed,
}

/// What the caller has to do about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Probe the same server about the attempt over a new connection.
    Probe,
    /// Close only this connection, and resume the response over the new one if the
    /// server supports it. The attempt may have run.
    CloseConnection,
    /// Treat the server as failed.
    ServerFailed,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waiting for response bytes until the deadline.
    Open(Instant),
    /// Waiting for the result of a probe until the deadline.
    Probing(Instant),
    /// The connection was given up.
    Closed,
}

/// A connection with a request in flight, whose health is tracked separately from
/// that of its server.
///
/// A device on the path may lose its state of a connection: the connection stays
/// open, but no more bytes arrive, while the server is healthy and accepts new
/// connections. Judging by the silence alone, the router would either eject a
/// healthy server or wait forever. Instead, a connection without progress triggers
/// a probe over a new connection, whose result distinguishes a silent connection, a
/// slow request and a dead server.
#[derive(Clone, Debug)]
pub struct Connection {
    settings: Settings,
    state: State,
    /// Probes since the last progress that found the attempt running.
    probes_without_progress: u32,
}

impl Connection {
    /// Creates the state of a connection on which a request was sent at `now`.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let state = State::Open(now + settings.progress_timeout);
        Self {
            settings,
            state,
            probes_without_progress: 0,
        }
    }

    /// Records that bytes of the response were received.
    pub fn record_progress(&mut self, now: Instant) {
        if self.state == State::Closed {
            return;
        }
        self.probes_without_progress = 0;
        self.state = State::Open(now + self.settings.progress_timeout);
    }

    /// When [`Self::tick`] has to be called next; `None` if the connection is closed.
    pub fn next_tick(&self) -> Option<Instant> {
        match self.state {
            State::Open(instant) | State::Probing(instant) => Some(instant),
            State::Closed => None,
        }
    }

    /// Handles a deadline that has passed.
    pub fn tick(&mut self, now: Instant) -> Action {
        match self.state {
            State::Open(deadline) if now >= deadline => {
                self.state = State::Probing(now + self.settings.probe_timeout);
                Action::Probe
            }
            State::Probing(deadline) if now >= deadline => {
                self.record_probe(ProbeResult::Failed, now)
            }
            State::Open(_) | State::Probing(_) | State::Closed => Action::Wait,
        }
    }

    /// Handles the result of a probe. It is ignored if progress was made since the
    /// probe was sent or the connection was given up.
    pub fn record_probe(&mut self, result: ProbeResult, now: Instant) -> Action {
        let State::Probing(_) = self.state else {
            return Action::Wait;
        };
        match result {
            ProbeResult::CaughtUp => {
                // The request is slow: probe again, with exponential backoff.
                self.probes_without_progress =
                    self.probes_without_progress.saturating_add(1).min(5);
                let timeout = self.settings.progress_timeout * (1 << self.probes_without_progress);
                self.state = State::Open(now + timeout);
                Action::Wait
            }
            ProbeResult::Ahead | ProbeResult::Unknown => {
                self.state = State::Closed;
                Action::CloseConnection
            }
            ProbeResult::Failed => {
                self.state = State::Closed;
                Action::ServerFailed
            }
        }
    }
}
