//! The task that asks one backend server for its load.

use std::{net, sync::Arc, time::Duration};

use storage::traffic::Traffic;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};
use units::backend;

use super::Message;
use crate::backend::load;

/// The least time between two questions to a server.
const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// The time between two questions of one router to any of its servers.
///
/// A question and its answer take about 220 bytes, so that probes stay at a
/// small part of what a router may spend on control, however many servers it owns.
const INTERVAL_PER_SERVER: Duration = Duration::from_millis(1500);
/// How often a server is asked that does not accept connections.
const UNREACHABLE_INTERVAL: Duration = Duration::from_millis(500);

/// Asks a server for its load until it is dropped.
#[derive(Debug)]
pub struct Probe {
    task: JoinHandle<()>,
}

impl Probe {
    /// Asks `server` at `address` and tells `owner`.
    pub fn start(
        server: backend::Server,
        address: net::SocketAddr,
        schedule: &Schedule,
        owner: mpsc::UnboundedSender<Message>,
    ) -> Self {
        let client = load::Client::new(address, Arc::clone(&schedule.traffic));
        let interval = schedule.interval.subscribe();
        Self {
            task: tokio::spawn(poll(server, client, interval, owner)),
        }
    }
}

/// What the probes of one router share.
#[derive(Debug)]
pub struct Schedule {
    traffic: Arc<Traffic>,
    interval: watch::Sender<Duration>,
}

impl Schedule {
    /// A pace for probes whose bytes are counted in `traffic`.
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            traffic,
            interval: watch::Sender::new(MIN_INTERVAL),
        }
    }

    /// Sets how many servers share the questions of this router.
    pub fn set_server_count(&self, servers: usize) {
        let servers = u32::try_from(servers).unwrap_or(u32::MAX);
        let interval = INTERVAL_PER_SERVER.saturating_mul(servers);
        self.interval.send_replace(interval.max(MIN_INTERVAL));
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Asks over one kept connection, since a new one for each question costs more
/// bytes than the question.
async fn poll(
    server: backend::Server,
    mut client: load::Client,
    interval: watch::Receiver<Duration>,
    owner: mpsc::UnboundedSender<Message>,
) {
    loop {
        let polled = time::timeout(load::TIMEOUT, client.ask()).await;
        let report = polled.unwrap_or_else(|_| {
            client.forget();
            Err(load::Error::Closed)
        });
        let delay = match report {
            Err(load::Error::Connect(_)) => UNREACHABLE_INTERVAL,
            _ => *interval.borrow(),
        };
        if owner
            .send(Message::Reported(server.clone(), report))
            .is_err()
        {
            return;
        }
        time::sleep(delay).await;
    }
}
