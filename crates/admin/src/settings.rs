//! Settings of the administration.

use std::{net, time};

use audit::settings::Archive;

use units::host;

use crate::access::Operators;

/// How the configuration is read and written.
#[derive(Clone, Debug)]
pub struct Store {
    /// How often a change is tried when others come first.
    pub max_attempts: u32,
    /// The time between two reads of the table.
    pub poll_interval: time::Duration,
    /// The time between two looks at the fleet while nothing is on its way.
    pub idle_poll_interval: time::Duration,
    /// The time between two looks for changes that move to the object store.
    pub compaction_interval: time::Duration,
    /// How long one look at the table or the fleet may take.
    pub read_timeout: time::Duration,
    /// How long one call that serves a change may take.
    pub call_timeout: time::Duration,
    /// How long a change may take in all.
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

/// How orders are given to engines.
#[derive(Clone, Debug)]
pub struct Orders {
    /// How long leases last and orders take.
    pub lease: orders::Settings,
    /// How long the lease is kept after the last order.
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
    /// Where it listens.
    pub listen: net::SocketAddr,
    /// Where the platform is.
    pub platform: net::SocketAddr,
    /// The caller addresses of some routers, which know the others.
    pub routers: Vec<net::SocketAddr>,
    /// The name under which it holds the lease for orders. Unset: from its address.
    pub host: Option<host::Id>,
    /// How orders are given.
    pub orders: Orders,
    /// Who may read and change the configuration.
    pub operators: Operators,
    /// How the configuration is read and written.
    pub store: Store,
    /// How many changes stay in the table.
    pub archive: Archive,
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
        }
    }
}
