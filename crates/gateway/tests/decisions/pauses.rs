//! Servers that are silent for some seconds, look dead meanwhile, and go on.

use std::{thread, time::Duration};

use gateway::{
    clock::Clock,
    crashes::{Sign, Tracker},
    dial::Controls,
    dispatch::{Dispatch, Message, Permit},
    pool::{Outcome, Standing},
    probe::{Liveness, Probe, Purpose},
    status,
};
use tokio::sync::{mpsc, oneshot};
use units::{backend, request::Fingerprint, time::Instant};

use crate::{
    prefixes::{acquire, task},
    world::{START, server},
};

/// More than the clocks of the test and of the task differ by.
const MOMENT: Duration = Duration::from_millis(5);

struct Router {
    clock: Clock,
    task: Dispatch,
    messages: mpsc::UnboundedReceiver<Message>,
}

impl Router {
    fn new() -> Self {
        let clock = Clock::start();
        let (task, messages) = task();
        Self {
            clock,
            task,
            messages,
        }
    }

    fn deliver(&mut self) {
        while let Ok(message) = self.messages.try_recv() {
            self.task.handle_message(message);
        }
        thread::sleep(MOMENT);
    }

    /// Sends a request that waits for the first byte.
    fn send(&mut self) -> Permit {
        let mut permit = acquire(&mut self.task);
        permit.connected(self.clock.now());
        self.deliver();
        permit
    }

    /// Fails to connect to the server of `other` for another request.
    fn fail(&mut self, other: &Permit) {
        let permit = acquire(&mut self.task);
        assert_eq!(permit.placement().server, other.placement().server);
        thread::sleep(MOMENT);
        permit.end(Outcome::Unreachable);
        self.deliver();
    }

    fn receive(&mut self, permit: &mut Permit) {
        permit.received(self.clock.now());
        self.deliver();
    }

    /// Ends the probe of a server.
    fn probed(&mut self, server: &backend::Server, liveness: Liveness) {
        let probe = Probe {
            purpose: Purpose::Crash,
            server: server.clone(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 1).into(),
            controls: Controls::new(),
            is_alone: false,
            egress: None,
        };
        self.task.handle_message(Message::Probed(probe, liveness));
        self.deliver();
    }

    /// The strikes that other routers are told of.
    fn strikes(&mut self) -> usize {
        let (reply, mut update) = oneshot::channel();
        self.task.handle_message(Message::PeerUpdate(reply));
        let update = update.try_recv().expect("an immediate reply");
        update.reports.len()
    }

    /// The state of a server.
    fn row(&mut self, server: &backend::Server) -> status::Row {
        let (reply, mut report) = oneshot::channel();
        self.task.handle_message(Message::Status(reply));
        let report = report.try_recv().expect("an immediate reply");
        let mut rows = report.servers.into_iter();
        let row = rows.find(|row| row.server == *server);
        row.expect("the server")
    }
}

/// Guards against a server that is left out and started slowly for seconds after a pause in which
/// connections to it hung, although it responds to a request from before: it cannot have restarted.
#[test]
fn a_server_that_responds_after_a_pause_is_not_started_slowly() {
    let mut router = Router::new();
    let mut waiting = router.send();
    let server = waiting.placement().server.clone();
    router.fail(&waiting);
    let row = router.row(&server);
    assert!(row.standing == Standing::Away && row.is_cold, "{row}");
    router.receive(&mut waiting);
    let row = router.row(&server);
    assert!(row.standing == Standing::Sound && !row.is_cold, "{row}");
}

/// Guards against a server that restarted unnoticed and gets more than a cold one bears, because a
/// request was sent to its next process before the connection failure was noticed.
#[test]
fn a_server_that_responds_to_a_request_from_after_a_failure_is_cold() {
    let mut router = Router::new();
    let failing = acquire(&mut router.task);
    thread::sleep(MOMENT);
    let mut waiting = router.send();
    let server = waiting.placement().server.clone();
    assert_eq!(failing.placement().server, server);
    failing.end(Outcome::Unreachable);
    router.deliver();
    router.receive(&mut waiting);
    assert!(router.row(&server).is_cold);
}

/// Guards against a server that is taken for sound because of the end of a response that began
/// before its connections failed: what its buffers held may arrive long after it has crashed.
#[test]
fn a_server_whose_response_only_ends_after_a_failure_is_cold() {
    let mut router = Router::new();
    let mut waiting = router.send();
    let server = waiting.placement().server.clone();
    router.receive(&mut waiting);
    router.fail(&waiting);
    waiting.received(router.clock.now());
    waiting.end(Outcome::Completed);
    router.deliver();
    assert!(router.row(&server).is_cold);
}

/// Guards against a server that is left out for seconds and started slowly, and against requests
/// that get a strike, because connections to it hung for so long in a pause that it was taken for
/// crashed. A real crash looks the same until then: its strikes count at once.
#[test]
fn a_server_that_was_taken_for_crashed_in_a_pause_is_in_service_after_it() {
    let mut router = Router::new();
    let mut waiting = router.send();
    let server = waiting.placement().server.clone();
    waiting.stalled();
    router.deliver();
    router.probed(&server, Liveness::Ended);
    let row = router.row(&server);
    assert!(row.standing == Standing::Away && row.is_cold, "{row}");
    assert_eq!(router.strikes(), 1);
    router.receive(&mut waiting);
    let row = router.row(&server);
    assert!(row.standing == Standing::Sound && !row.is_cold, "{row}");
    assert_eq!(router.strikes(), 0);
}

const PAUSED: Fingerprint = Fingerprint(7);
const PAUSE: Duration = Duration::from_secs(4);

/// A request waits at a server that falls silent at `at`, looks dead and goes on after a pause of
/// four seconds. Returns the end of the pause.
fn pause(tracker: &mut Tracker, server: &backend::Server, at: Instant) -> Instant {
    let signed_at = at + Duration::from_millis(1500);
    tracker.record_sign(Sign::Silent, PAUSED, server, 1, at, signed_at);
    let dead_at = at + Duration::from_millis(2900);
    assert_eq!(tracker.record_death(server, 1, dead_at).len(), 1);
    at + PAUSE
}

/// Pauses `count` servers one after the other. Each ends with a response to a request from before.
fn pauses(tracker: &mut Tracker, count: u64) -> Instant {
    let mut now = START;
    for index in 0..count {
        let name = server(&format!("s{index}"));
        let end = pause(tracker, &name, now);
        tracker.record_survival(&name, 1, now, end);
        now = end + Duration::from_secs(1);
    }
    now
}

/// Guards against a harmless request that is refused because the servers at which it waited were
/// silent for some seconds, one after the other.
#[test]
fn pauses_are_no_strikes() {
    let mut tracker = Tracker::default();
    let now = pauses(&mut tracker, 5);
    assert!(!tracker.is_refused(PAUSED, now));
    assert!(tracker.reports(now).is_empty());
}

/// Guards against strikes that other routers have told, and tell again, after a pause.
#[test]
fn pauses_that_others_took_for_crashes_are_no_strikes() {
    let (mut other, mut tracker) = (Tracker::default(), Tracker::default());
    let mut now = START;
    for index in 0..5 {
        let name = server(&format!("s{index}"));
        let end = pause(&mut other, &name, now);
        let reports = other.reports(end);
        assert_eq!(reports.len().min(1), 1);
        tracker.merge(&reports, now + Duration::from_millis(3000));
        tracker.record_survival(&name, 1, now, end);
        tracker.merge(&reports, end + Duration::from_millis(200));
        now = end + Duration::from_secs(1);
        assert!(!tracker.is_refused(PAUSED, now), "{index}");
    }
    assert!(other.is_refused(PAUSED, now));
}

/// Guards against a real crash that is overlooked because its server was silent before and went
/// on then, or because of a byte from before the crash.
#[test]
fn a_crash_after_a_pause_is_a_strike() {
    let mut tracker = Tracker::default();
    let mut now = pauses(&mut tracker, 3);
    for index in 0..3 {
        let name = server(&format!("s{index}"));
        assert!(!tracker.is_refused(PAUSED, now));
        let end = pause(&mut tracker, &name, now);
        // It arrived before the silence, and from a process after it.
        tracker.record_survival(&name, 1, now, now);
        tracker.record_survival(&name, 1, end, end);
        now = end + Duration::from_secs(1);
    }
    assert!(tracker.is_refused(PAUSED, now));
}
