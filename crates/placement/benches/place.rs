//! The duration of one placement decision, by number of servers and indexed chats.

use std::{hint, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use placement::{
    Bound, CacheIndex, Capacity, History, Offer, Plan, Settings, Topology, TotalLoad, cache, plan,
    topology,
};
use units::{chat, time::Instant};

fn topology(servers: usize, weight: u32) -> Topology {
    let members = (0..servers).map(|number| topology::Member {
        id: format!("engine-{number}").parse().expect("a valid name"),
        zone: format!("zone-{}", number % 3)
            .parse()
            .expect("a valid name"),
        weight: if number == 0 { weight } else { 1 },
        state: topology::State::Eligible,
    });
    Topology::new(members.collect())
}

fn chat(number: u64) -> chat::Key {
    chat::Key(number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn rank(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rank");
    for (name, weight) in [("equal", 1), ("weighted", 2)] {
        for servers in [12, 100, 455, 1000, 10_000] {
            let topology = topology(servers, weight);
            let mut number = 0;
            group.bench_function(BenchmarkId::new(name, servers), |bencher| {
                bencher.iter(|| {
                    number += 1;
                    hint::black_box(topology.rank(chat(number), 4).len())
                });
            });
        }
    }
    group.finish();
}

fn plan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for servers in [12, 455, 1000] {
        let settings = Settings::default();
        let mut history = History::new(settings.clone(), topology(servers, 1));
        history.replace(topology(servers - 1, 1), Instant::ZERO);
        let mut number = 0;
        group.bench_function(BenchmarkId::new("after_a_change", servers), |bencher| {
            bencher.iter(|| {
                number += 1;
                let now = Instant::from_millis(1);
                hint::black_box(Plan::new(&settings, &history, chat(number), now).count())
            });
        });
    }
    group.finish();
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("answer");
    for chats in [1_000, 16_384] {
        let settings = Settings::default();
        let bound = Bound::new(settings.clone());
        let mut index = CacheIndex::new(settings.clone());
        for number in 0..chats {
            index.record_served(chat(number), 1000, Instant::from_millis(number));
        }
        let mut number = 0;
        group.bench_function(BenchmarkId::new("chats", chats), |bencher| {
            bencher.iter(|| {
                number = (number + 1) % (2 * chats);
                let now = Instant::from_millis(chats);
                let offer = Offer {
                    terms: plan::Terms::Warm,
                    cache_status: index.status(chat(number), now),
                    capacity: Capacity {
                        load: 20,
                        limit: 30,
                        queued: 0,
                    },
                    weight: 1,
                    total: TotalLoad {
                        requests: 9_000,
                        weight: 455,
                    },
                };
                hint::black_box(offer.decide(&settings, &bound, now))
            });
        });
        group.bench_function(BenchmarkId::new("served", chats), |bencher| {
            bencher.iter(|| {
                number += 1;
                index.record_served(chat(number), 1000, Instant::from_millis(chats + number));
            });
        });
    }
    group.finish();
    let event = cache::Event::Stored { tokens: 1 };
    hint::black_box(event);
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(600))
        .sample_size(20);
    targets = rank, plan, decide
}
criterion_main!(benches);
