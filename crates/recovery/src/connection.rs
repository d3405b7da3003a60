//! Connections that go silent while their server is well.

use units::time::Instant;

use crate::Settings;

/// What a probe over a fresh connection to the same server found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The server has produced more of the answer than arrived here.
    Ahead,
    /// The server runs the attempt and has produced no more than arrived here.
    CaughtUp,
    /// The server answers but knows nothing of the attempt, or cannot say.
    Unknown,
    /// No fresh connection came about, or it went unanswered.
    Failed,
}

/// What is to be done about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Ask the same server about the attempt over a fresh connection.
    Probe,
    /// Close this connection only, and resume the answer over the fresh one
    /// where the server can; the attempt may have run.
    CloseConnection,
    /// Treat the server as failed.
    ServerFailed,
}

/// How a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Progress is due by the instant.
    Open(Instant),
    /// The answer to a probe is due by the instant.
    Probing(Instant),
    /// It has been given up.
    Closed,
}

/// One connection with a request in flight, judged apart from its server.
///
/// Something between the two ends may lose track of a connection: it stays open
/// and nothing arrives any more. The server is well and new connections to it
/// work. Judged by the silence alone, one would eject a healthy server, or wait
/// for ever. So silence leads to a question over a fresh connection, and its
/// answer tells a silent connection, a slow request and a dead server apart.
#[derive(Clone, Debug)]
pub struct Connection {
    settings: Settings,
    state: State,
    /// Probes since the last progress that found the attempt running.
    probes_without_progress: u32,
}

impl Connection {
    /// A connection on which a request was sent just now.
    pub fn new(settings: Settings, now: Instant) -> Self {
        let state = State::Open(now + settings.progress_timeout);
        Self {
            settings,
            state,
            probes_without_progress: 0,
        }
    }

    /// Bytes of the answer arrived.
    pub fn record_progress(&mut self, now: Instant) {
        if self.state == State::Closed {
            return;
        }
        self.probes_without_progress = 0;
        self.state = State::Open(now + self.settings.progress_timeout);
    }

    /// When [`Self::tick`] has something to say.
    pub fn next_tick(&self) -> Option<Instant> {
        match self.state {
            State::Open(instant) | State::Probing(instant) => Some(instant),
            State::Closed => None,
        }
    }

    /// Lets time pass.
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

    /// A probe was answered. Answers that come after progress or after the
    /// connection was given up are ignored.
    pub fn record_probe(&mut self, result: ProbeResult, now: Instant) -> Action {
        let State::Probing(_) = self.state else {
            return Action::Wait;
        };
        match result {
            ProbeResult::CaughtUp => {
                // The request is slow: ask again, each time later.
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
