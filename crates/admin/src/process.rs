//! The background tasks and the HTTP server of the administration.

use std::{io, net, sync::Arc};

use audit::{archive, refusals};
use ingress::listener;
use salvo::{
    Server,
    conn::{Acceptor, tcp::TcpAcceptor},
    server::ServerHandle,
};
use storage::{hosts, objects, table};
use tokio::{task, time};
use units::host;

use crate::{
    api,
    fleet::Fleet,
    orders::Orders,
    responses,
    settings::Settings,
    store::{Health, Store},
};

/// Maximum number of open connections. There are few operators, so more connections
/// would indicate a leak or an attack.
const MAX_CONNECTIONS: usize = 256;

/// Maximum size of a request head in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Timeout of receiving a request head.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The share of the memory that the kernel may hold of what clients have sent, as a divisor.
const SOCKET_DIVISOR: usize = 8;

/// How long requests in flight may take after shutdown was requested.
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A running administration. Dropping it aborts its tasks.
#[derive(Debug)]
pub struct Process {
    address: net::SocketAddr,
    handle: ServerHandle,
    server: task::JoinSet<()>,
    _tasks: task::JoinSet<()>,
}

impl Process {
    /// Returns the address on which the administration listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops listening and waits until the requests in flight are finished or the
    /// shutdown timeout expires.
    pub async fn stop(mut self) {
        self.handle.stop_graceful(SHUTDOWN_TIMEOUT);
        while self.server.join_next().await.is_some() {}
    }
}

/// Starts the administration.
///
/// # Errors
///
/// Returns an error if the listen address cannot be bound.
pub async fn start(settings: &Settings) -> io::Result<Process> {
    let table = table::Client::new(settings.platform);
    let store = Arc::new(Store::new(table, settings.store.clone()));
    let fleet = Arc::new(Fleet::new(&settings.routers));
    let objects = Arc::new(objects::Client::new(settings.platform));
    let buffer = listener::buffer(settings.memory.bytes() / SOCKET_DIVISOR, MAX_CONNECTIONS);
    let socket = listener::bind(settings.listen, buffer)?;
    let acceptor = TcpAcceptor::try_from(socket).map_err(io::Error::other)?;
    let address = address(&acceptor)?;
    let mut tasks = task::JoinSet::new();
    tasks.spawn(poll_table(Arc::clone(&store)));
    tasks.spawn(poll_fleet(Arc::clone(&store), Arc::clone(&fleet)));
    tasks.spawn(compact(
        Arc::clone(&store),
        Arc::clone(&objects),
        settings.archive.clone(),
    ));
    let dispatcher = api::Dispatcher {
        orders: Orders::start(
            Arc::new(table::Client::new(settings.platform)),
            settings
                .host
                .clone()
                .unwrap_or_else(|| default_host(address)),
            settings.orders.clone(),
            &mut tasks,
        ),
        hosts: Arc::new(hosts::Client::new(settings.platform)),
    };
    let router = api::router(
        store,
        objects,
        fleet,
        dispatcher,
        settings.operators.clone(),
        api::Bodies::new(settings.memory),
    );
    let mut listener = Server::new(acceptor).max_connections(MAX_CONNECTIONS);
    listener
        .http1_mut()
        .max_buf_size(MAX_HEAD)
        .header_read_timeout(HEAD_TIMEOUT);
    let handle = listener.handle();
    let mut server = task::JoinSet::new();
    server.spawn(listener.serve(router));
    Ok(Process {
        address,
        handle,
        server,
        _tasks: tasks,
    })
}

/// Returns the host name of a process without a configured one. It is derived from
/// the listen address; characters that are not allowed in a name become `-`.
fn default_host(address: net::SocketAddr) -> host::Id {
    let text: String = address
        .to_string()
        .chars()
        .map(|c| {
            if c.is_ascii_alphanumeric() || c == '.' {
                c
            } else {
                '-'
            }
        })
        .collect();
    format!("admin-{text}")
        .parse()
        .expect("an address is shorter than a name may be")
}

fn address(acceptor: &impl Acceptor) -> io::Result<net::SocketAddr> {
    acceptor
        .holdings()
        .iter()
        .find_map(|holding| holding.local_addr.clone().into_std())
        .ok_or_else(|| io::Error::other("the listener has no address"))
}

/// Refreshes the cached configuration from the table periodically.
async fn poll_table(store: Arc<Store<table::Client>>) {
    let mut ticks = time::interval(store.settings().poll_interval);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let deadline = time::Instant::now() + store.settings().read_timeout;
        let health_before = store.view().health;
        // The store keeps the result; here only changes of health are logged.
        let result = store.refresh(deadline).await;
        match (health_before, result) {
            (Health::Down(_), Ok(_)) => logging::event!(info, "platform_up"),
            (Health::Up | Health::Unchecked, Err(error)) => {
                logging::event!(warn, "platform_down", reason = error);
            }
            _ => {}
        }
    }
}

/// Refreshes the view of the fleet: frequently while a change is being rolled out,
/// otherwise rarely, since the size of a response grows with the number of routers.
async fn poll_fleet(store: Arc<Store<table::Client>>, fleet: Arc<Fleet>) {
    let settings = store.settings().clone();
    let mut changes = store.subscribe();
    loop {
        fleet.poll(settings.read_timeout).await;
        if responses::is_rolled_out(&store.view(), &fleet.view()) {
            let revision = store.view().version.snapshot.revision();
            let changed = changes.wait_for(|view| view.version.snapshot.revision() != revision);
            drop(
                time::timeout(
                    settings.idle_poll_interval.max(fleet.min_poll_interval()),
                    changed,
                )
                .await,
            );
        } else {
            time::sleep(settings.poll_interval.max(fleet.min_poll_interval())).await;
        }
    }
}

/// Moves old changes to the object store and trims recorded refusals periodically.
async fn compact(
    store: Arc<Store<table::Client>>,
    objects: Arc<objects::Client>,
    settings: audit::settings::Archive,
) {
    let mut ticks = time::interval(store.settings().compaction_interval);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let deadline = time::Instant::now() + store.settings().write_timeout;
        match archive::compact(store.table(), &*objects, &settings, deadline).await {
            Ok(0) => {}
            Ok(archived) => logging::event!(info, "changes_archived", changes = archived),
            Err(error) => logging::event!(warn, "archive_failed", reason = error),
        }
        if let Err(error) = refusals::trim(store.table(), deadline).await {
            logging::event!(warn, "archive_failed", reason = error);
        }
    }
}
