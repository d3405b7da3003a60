//! Checks on new connections whether backend servers respond.

use std::{collections::HashMap, sync::Arc, time::Duration};

use hyper::{Request, header};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time,
};
use units::{backend, time::Millis};

use crate::{
    clock::Clock,
    connector::Connector,
    metrics::Metrics,
    pool::{Outcome, Placement},
    protocol::Protocol,
    silence::{CHECK_TIMEOUT, Health},
};

/// The time after which a response to a check shows that the server was silent until then.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// A server to check.
#[derive(Debug)]
pub struct Check {
    /// The server and the way to it.
    pub placement: Placement,
    /// The path that a server responds to although it is busy.
    pub path: String,
    /// Where the result goes.
    pub reply: oneshot::Sender<Health>,
}

/// A server and its incarnation.
type Key = (backend::Server, u64);

/// The task that checks servers. Requests that ask about the same server share a check.
#[derive(Debug)]
pub struct Task<P> {
    connector: Connector<P>,
    clock: Clock,
    metrics: Arc<Metrics>,
    waiting: HashMap<Key, Vec<oneshot::Sender<Health>>>,
}

impl<P: Protocol> Task<P> {
    /// Creates a task without checks.
    pub fn new(connector: Connector<P>, clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self {
            connector,
            clock,
            metrics,
            waiting: HashMap::new(),
        }
    }

    /// Runs until the sender of `checks` is dropped.
    pub async fn run(mut self, mut checks: mpsc::UnboundedReceiver<Check>) {
        let mut running = JoinSet::new();
        loop {
            tokio::select! {
                check = checks.recv() => match check {
                    Some(check) => self.start(check, &mut running),
                    None => return,
                },
                Some(finished) = running.join_next() => match finished {
                    Ok((key, health)) => self.finish(&key, health),
                    Err(error) => logging::event!(error, "check_failed", reason = error),
                },
            }
        }
    }

    fn start(&mut self, check: Check, running: &mut JoinSet<(Key, Health)>) {
        let placement = check.placement;
        let key = (placement.server.clone(), placement.incarnation);
        let waiting = self.waiting.entry(key.clone()).or_default();
        waiting.push(check.reply);
        if waiting.len() > 1 {
            return;
        }
        let (connector, clock) = (self.connector.clone(), self.clock);
        running.spawn(async move {
            let begun_at = clock.now();
            let health = run(&connector, &placement, &check.path).await;
            let health = match health {
                Health::Responds if clock.now() >= begun_at + MAX_DELAY => Health::Resumed,
                other => other,
            };
            logging::event!(
                info,
                "server_checked",
                server = placement.server,
                incarnation = placement.incarnation,
                path = placement.path,
                result = health,
                waited_ms = clock.now().since(begun_at).as_millis()
            );
            (key, health)
        });
    }

    fn finish(&mut self, key: &Key, health: Health) {
        self.metrics.server_checked(health);
        for reply in self.waiting.remove(key).unwrap_or_default() {
            // The request may have ended meanwhile.
            let _ = reply.send(health);
        }
    }
}

/// Checks a server once.
async fn run<P: Protocol>(connector: &Connector<P>, placement: &Placement, path: &str) -> Health {
    let checked = time::timeout(CHECK_TIMEOUT, respond(connector, placement, path)).await;
    checked.unwrap_or(Health::Silent)
}

async fn respond<P: Protocol>(
    connector: &Connector<P>,
    placement: &Placement,
    path: &str,
) -> Health {
    let remaining = Millis::from(CHECK_TIMEOUT);
    let connected = connector.connect(placement, remaining, CHECK_TIMEOUT).await;
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) if error.outcome() == Outcome::Refused => return Health::Refuses,
        Err(_) => return Health::Silent,
    };
    let request = Request::get(path)
        .header(header::HOST, placement.address.to_string())
        .body(ingress::Body::default());
    let Ok(request) = request else {
        logging::event!(warn, "check_path_invalid", path = path);
        return Health::Silent;
    };
    match connection.send(request).await {
        Ok(_) => Health::Responds,
        Err(_) => Health::Silent,
    }
}
