//! Periodic load probes of one backend server.

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

/// Minimum interval between two probes of the same server.
const MIN_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two probes by one router, whichever of its servers they go
/// to.
///
/// A probe and its response take about 220 bytes. The interval keeps probes to
/// a small part of a router's budget for control traffic, however many servers
/// it owns.
const INTERVAL_PER_SERVER: Duration = Duration::from_millis(1500);
/// Interval between probes of a server that does not accept connections.
const UNREACHABLE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes a server for its load until dropped.
#[derive(Debug)]
pub struct Probe {
    task: JoinHandle<()>,
}

impl Probe {
    /// Starts probing `server` at `address`, and reports the results to
    /// `owner`.
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

/// Probe interval and traffic counter shared by all probes of one router.
#[derive(Debug)]
pub struct Schedule {
    traffic: Arc<Traffic>,
    interval: watch::Sender<Duration>,
}

impl Schedule {
    /// Creates a schedule for probes whose bytes are counted in `traffic`.
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            traffic,
            interval: watch::Sender::new(MIN_INTERVAL),
        }
    }

    /// Sets the number of servers that share this router's rate of probes.
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

/// Probes over one persistent connection, since opening a new one for each
/// probe costs more bytes than the probe itself.
async fn poll(
    server: backend::Server,
    mut client: load::Client,
    interval: watch::Receiver<Duration>,
    owner: mpsc::UnboundedSender<Message>,
) {
    loop {
        let polled = time::timeout(load::TIMEOUT, client.poll()).await;
        let report = polled.unwrap_or_else(|_| {
            client.disconnect();
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
