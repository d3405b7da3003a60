//! Benchmarks the time of one placement by the number of servers.

use std::hint;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gateway::{
    pool::{Demand, Fleet, Outcome, Part, Pool},
    roster, route,
    settings::Bounds,
};
use units::{chat, host, time::Instant};

/// The time of all requests.
const NOW: Instant = Instant::from_millis(1_000);
/// The number of distinct shared prompts.
const TOPICS: u64 = 512;

fn entry(number: usize) -> roster::Entry {
    roster::Entry {
        server: format!("engine-{number}").parse().expect("a valid name"),
        pool: "llm".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        version: "v1".parse().expect("a valid version"),
        zone: format!("zone-{}", number % 5)
            .parse()
            .expect("a valid name"),
        slots: 24,
        is_draining: false,
        cold_until: Instant::ZERO,
        incarnation: 1,
        revision: 1,
    }
}

fn pool(servers: usize) -> Pool {
    let bounds = Bounds {
        load_multiple: 2.0,
        ..Bounds::default()
    };
    let mut pool = Pool::new("zone-0".parse().expect("a valid name"), bounds);
    pool.set_service(route::Service {
        cold_per_s: 9.0,
        cache_tokens: 450_000,
        health_path: String::new(),
    });
    let entries: Vec<_> = (0..servers).map(entry).collect();
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
    pool
}

fn fleet() -> Fleet {
    let own: host::Id = "router-0".parse().expect("a valid name");
    Fleet {
        members: vec![own.clone()],
        own,
    }
}

/// A prompt of three parts; all requests of a topic share the first two.
fn demand(number: u64) -> Demand {
    let part = |key: u64, tokens| Part {
        key: chat::Key(key.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        tokens,
    };
    let topic = number % TOPICS;
    Demand {
        parts: [
            part(1, 500),
            part(1_000 + topic, 10_000),
            part(1_000_000 + number, 1_000),
        ]
        .into_iter()
        .collect(),
        ..Demand::default()
    }
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    let fleet = fleet();
    for servers in [12, 117, 1_000, 10_000] {
        let mut pool = pool(servers);
        let mut number = 0;
        group.bench_function(BenchmarkId::new("engine", servers), |bencher| {
            bencher.iter(|| {
                number += 1;
                let demand = demand(number);
                let placement = pool.admit(&demand, &fleet, NOW).expect("a placement");
                if let Some(server) = pool.server_mut(&placement.server) {
                    server.end_prefill(placement.uncached);
                    server.record_cached(&demand.parts, NOW);
                }
                pool.ended(&placement.server, Outcome::Completed, NOW);
                hint::black_box(placement.load)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place);
criterion_main!(benches);
