//! The settings of a router.

use std::net::SocketAddr;

use bpaf::{Parser, construct};
use settings::{Faults, Raw};
use units::{availability, host, size::Megabytes};
use wire::seal;

/// Allowed values of a name, as shown in error messages.
const NAME: &str = "1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'";
/// Allowed values of a list of routers.
const SEEDS: &str = "HOST/ZONE/IP:PORT, more of them after commas";
/// Allowed values of the fleet key.
const KEY: &str = "64 hex digits, the same on all routers";

/// The settings of one router.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host name of the router.
    pub host: host::Id,
    /// The availability zone of the router.
    pub zone: availability::Zone,
    /// The listen address for callers.
    pub listen: SocketAddr,
    /// The listen address for other routers, over UDP and TCP.
    pub peer: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Routers to contact at the start if the platform is down.
    pub seeds: Vec<fleet::Seed>,
    /// The secret key shared by all routers.
    pub key: seal::Key,
    /// Time between reporting not ready and closing the listener at shutdown, in
    /// milliseconds.
    pub leave_ms: u64,
    /// The memory of the process.
    pub memory: Megabytes,
    /// The most connections of callers.
    pub connections: usize,
}

/// The memory of the process if no other is set: what control may take on a host.
const DEFAULT_MEMORY: Megabytes = Megabytes(256);
/// The least memory with which a router starts: a few times what an idle process takes.
const MIN_MEMORY: Megabytes = Megabytes(32);
/// The most memory that a host may have, so that its number of bytes is one of the machine.
const MAX_MEMORY: Megabytes = Megabytes(1024 * 1024);
/// The most connections of callers if no other number is set.
const DEFAULT_CONNECTIONS: usize = 8192;

struct Arguments {
    host: Raw,
    zone: Raw,
    listen: Raw,
    peer: Raw,
    platform: Raw,
    seeds: Raw,
    key: Raw,
    leave_ms: Raw,
    memory: Raw,
    connections: Raw,
}

impl Settings {
    /// Loads the settings, or exits the process if they are invalid.
    pub fn load() -> Self {
        settings::load(
            "Routes requests of callers to backend servers",
            arguments(),
            check,
        )
    }
}

fn arguments() -> impl Parser<Arguments> {
    let host = settings::text("host", "WEIR_HOST", "NAME", "Name of this host");
    let zone = settings::text(
        "zone",
        "WEIR_ZONE",
        "ZONE",
        "Availability zone of this host",
    );
    let listen = settings::text("listen", "WEIR_LISTEN", "IP:PORT", "Address for callers");
    let peer = settings::text("peer", "WEIR_PEER", "IP:PORT", "Address for other routers");
    let platform = settings::text(
        "platform",
        "WEIR_PLATFORM",
        "IP:PORT",
        "Address of the platform",
    );
    let seeds = settings::text(
        "seeds",
        "WEIR_SEEDS",
        "HOST/ZONE/IP:PORT,...",
        "Routers to contact at the start if the platform is down",
    );
    let key = settings::secret("WEIR_FLEET_KEY");
    let leave_ms = settings::text(
        "leave-ms",
        "WEIR_LEAVE_MS",
        "MS",
        "Time between reporting not ready and closing, in milliseconds",
    );
    let memory = settings::text(
        "memory-mb",
        "WEIR_MEMORY_MB",
        "MB",
        "Memory of the process, in megabytes",
    );
    let connections = settings::text(
        "connections",
        "WEIR_CONNECTIONS",
        "COUNT",
        "Most connections of callers",
    );
    construct!(Arguments {
        host,
        zone,
        listen,
        peer,
        platform,
        seeds,
        key,
        leave_ms,
        memory,
        connections
    })
}

fn check(arguments: Arguments, faults: &mut Faults) -> Option<Settings> {
    let host = faults.required(&arguments.host, NAME);
    let zone = faults.required(&arguments.zone, NAME);
    let listen = faults.required(&arguments.listen, settings::ADDRESS);
    let peer = faults.required(&arguments.peer, settings::ADDRESS);
    let platform = faults.required(&arguments.platform, settings::ADDRESS);
    let seeds = match arguments.seeds.as_str() {
        None => Some(Vec::new()),
        Some(text) => {
            let seeds: Option<Vec<_>> = text.split(',').map(seed).collect();
            if seeds.is_none() {
                faults.add(&arguments.seeds, SEEDS);
            }
            seeds
        }
    };
    let key = faults.required(&arguments.key, KEY);
    let leave_ms = faults.within(&arguments.leave_ms, 3000, 0..=600_000);
    let memory = faults.within(&arguments.memory, DEFAULT_MEMORY, MIN_MEMORY..=MAX_MEMORY);
    let connections = &arguments.connections;
    let connections = faults.within(connections, DEFAULT_CONNECTIONS, 1..=1_000_000);
    Some(Settings {
        host: host?,
        zone: zone?,
        listen: listen?,
        peer: peer?,
        platform: platform?,
        seeds: seeds?,
        key: key?,
        leave_ms: leave_ms?,
        memory: memory?,
        connections: connections?,
    })
}

/// Parses one router of a list.
fn seed(text: &str) -> Option<fleet::Seed> {
    let mut parts = text.split('/');
    let seed = fleet::Seed {
        host: parts.next()?.parse().ok()?,
        zone: parts.next()?.parse().ok()?,
        address: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(seed)
}
