//! Servers that are silent for some seconds, look dead meanwhile, and go on.

use std::{thread, time::Duration};

use gateway::{
    clock::Clock,
    dispatch::{Dispatch, Message, Permit},
    pool::{Outcome, Standing},
    status,
};
use tokio::sync::{mpsc, oneshot};
use units::backend;

use crate::prefixes::{acquire, task};

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
