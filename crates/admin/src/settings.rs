//! Settings of the administration.

use std::{net, time};

use audit::settings::Archive;

use units::{host, size::Megabytes};

use crate::access::Operators;

/// The memory of the process if no other is set: what control may take on a host.
const DEFAULT_MEMORY: Megabytes = Megabytes(256);

/// Settings of reading and writing the configuration.
#[derive(Clone, Debug)]
pub struct Store {
    /// Maximum number of attempts to commit a change, for example after conflicts.
    pub max_attempts: u32,
    /// Interval between two reads of the table.
    pub poll_interval: time::Duration,
    /// Interval between two polls of the fleet while no change is being rolled out.
    pub idle_poll_interval: time::Duration,
    /// Interval between two runs of moving old changes to the object store.
    pub compaction_interval: time::Duration,
    /// Timeout of one read of the table or poll of the fleet.
    pub read_timeout: time::Duration,
    /// Timeout of one call to the table on behalf of a change.
    pub call_timeout: time::Duration,
    /// Timeout of a change including its retries.
    pub write_timeout: time::Duration,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            max_attempts: 8,
            poll_interval: time::Duration::from_secs(1),
            idle_poll_interval: time::Duration::from_secs(30),
            compaction_interval: time::Duration::from_secs(60),
            read_timeout: time::Duration::from_secs(1),
            call_timeout: time::Duration::from_secs(1),
            write_timeout: time::Duration::from_secs(4),
        }
    }
}

/// Settings of sending orders to engines.
#[derive(Clone, Debug)]
pub struct Orders {
    /// Durations of leases and orders.
    pub lease: orders::Settings,
    /// How long the lease is kept after the last order was queued.
    pub idle_timeout: time::Duration,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            lease: orders::Settings::default(),
            idle_timeout: time::Duration::from_secs(5),
        }
    }
}

/// The settings of the process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The address of the platform.
    pub platform: net::SocketAddr,
    /// The caller addresses of some routers, which report the state of the others.
    pub routers: Vec<net::SocketAddr>,
    /// The holder name of the lease for orders. `None`: derived from the listen address.
    pub host: Option<host::Id>,
    /// Settings of sending orders to engines.
    pub orders: Orders,
    /// The operators who may read or change the configuration.
    pub operators: Operators,
    /// Settings of reading and writing the configuration.
    pub store: Store,
    /// Settings of moving old changes from the table to the object store.
    pub archive: Archive,
    /// The memory of the process.
    pub memory: Megabytes,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = net::SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: loopback,
            platform: loopback,
            routers: Vec::new(),
            host: None,
            orders: Orders::default(),
            operators: Operators::default(),
            store: Store::default(),
            archive: Archive::default(),
            memory: DEFAULT_MEMORY,
        }
    }
}
