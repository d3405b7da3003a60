//! Servers and requests for tests.

use std::cmp::Reverse;

use gateway::{
    pool::{Demand, Denial, Fleet, Part, Placement, Pool},
    roster, route,
    settings::Bounds,
    source::Member,
};
use placement::score;
use units::{backend, chat, host, time::Instant, workspace};
use xxhash_rust::xxh3;

/// The instant at which tests begin.
pub const START: Instant = Instant::from_millis(1_000);

/// Parses the name of a server.
pub fn server(name: &str) -> backend::Server {
    name.parse().expect("a valid name")
}

/// Parses the name of a host.
pub fn host(name: &str) -> host::Id {
    name.parse().expect("a valid name")
}

/// Parses the name of a workspace.
pub fn workspace(name: &str) -> workspace::Id {
    name.parse().expect("a valid name")
}

/// The routers `r0` to `r(count - 1)`.
pub fn members(count: usize) -> Vec<host::Id> {
    (0..count).map(|index| host(&format!("r{index}"))).collect()
}

/// The same routers as registered members, all in one zone.
pub fn registered(count: usize) -> Vec<Member> {
    let members = members(count).into_iter();
    members
        .map(|host| Member {
            host,
            zone: "a".parse().expect("a valid name"),
            address: ([127, 0, 0, 1], 1).into(),
            tunnels: Some(([127, 0, 0, 1], 2).into()),
        })
        .collect()
}

/// A fleet of six routers, seen from `r0`.
pub fn fleet() -> Fleet {
    Fleet {
        own: host("r0"),
        members: members(6),
    }
}

/// An entry of the service `llm` in `zone`.
pub fn entry(name: &str, zone: &str) -> roster::Entry {
    let port = 1000 + name.bytes().map(u16::from).sum::<u16>();
    roster::Entry {
        server: server(name),
        pool: "llm".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], port).into(),
        version: "v1".parse().expect("a valid version"),
        zone: zone.parse().expect("a valid name"),
        slots: 64,
        is_draining: false,
        cold_until: Instant::ZERO,
        incarnation: 1,
        revision: 1,
    }
}

/// The configuration of an engine service whose cold servers can handle eleven requests
/// per second.
pub fn engine() -> route::Service {
    route::Service {
        cold_per_s: 11.0,
        cache_tokens: 480_000,
        health_path: String::new(),
    }
}

/// Bounds as in a typical deployment.
pub fn bounds() -> Bounds {
    Bounds {
        load_multiple: 2.0,
        cold_multiple: 1.5,
        cold_extra: 5.0,
        ..Bounds::default()
    }
}

/// A pool in zone `a` with the servers of `entries`.
pub fn pool(entries: &[roster::Entry]) -> Pool {
    pool_of("a", entries)
}

/// A pool with the servers of `entries` for a router in `zone`.
pub fn pool_of(zone: &str, entries: &[roster::Entry]) -> Pool {
    let mut pool = Pool::new(zone.parse().expect("a valid name"), bounds());
    pool.set_service(engine());
    pool.set_servers(entries.iter().map(|entry| (entry, entry.is_draining)));
    pool
}

/// A request of three parts; all requests of one `topic` share the first two.
pub fn demand(topic: u64, own: u64) -> Demand {
    let part = |key, tokens| Part {
        key: chat::Key(key),
        tokens,
    };
    Demand {
        parts: [
            part(1, 500),
            part(1_000 + topic, 10_000),
            part(1_000_000 + own, 1_000),
        ]
        .into_iter()
        .collect(),
        ..Demand::default()
    }
}

/// Places a request of a topic.
pub fn admit(pool: &mut Pool, topic: u64, own: u64, now: Instant) -> Result<Placement, Denial> {
    pool.admit(&demand(topic, own), &fleet(), now)
}

/// Places a request and records its first byte.
pub fn run(pool: &mut Pool, topic: u64, own: u64, now: Instant) -> Placement {
    let placement = admit(pool, topic, own, now).expect("a placement");
    let server = pool.server_mut(&placement.server).expect("the server");
    server.end_prefill(placement.uncached);
    server.record_cached(&demand(topic, own).parts, now);
    placement
}

/// Twelve servers in three zones.
pub fn twelve_servers() -> Vec<roster::Entry> {
    let zones = ["a", "b", "c"];
    let named = (0..12).map(|index| entry(&format!("s{index}"), zones[index % 3]));
    named.collect()
}

/// The servers ranked for prompts whose longest shared part is `anchor`.
pub fn ranked_servers(anchor: u64, entries: &[roster::Entry]) -> Vec<backend::Server> {
    let mut servers: Vec<_> = entries.iter().map(|entry| entry.server.clone()).collect();
    servers.sort_by_cached_key(|server| {
        let hash = xxh3::xxh3_64(server.as_str().as_bytes());
        Reverse(score::pair_hash(chat::Key(anchor), hash))
    });
    servers
}
