//! Time to look up a route, apply a change and evaluate a proposal, by number of resources.

use std::{collections::BTreeMap, hint::black_box};

use config::{
    change::Change,
    proposal::Proposal,
    resource::{Resource, Route, Service, Workspace, Zone},
    snapshot::Snapshot,
};
use criterion::{Criterion, criterion_group, criterion_main};
use units::{request, revision};

/// One pool and `count` workspaces and routes.
fn resources(count: usize) -> Vec<Resource> {
    let pool = r#"{"type":"pool","name":"engines","kind":"engine"}"#;
    let mut resources = vec![serde_json::from_str(pool).expect("pool")];
    for number in 0..count {
        resources.push(Resource::Workspace(Workspace {
            name: format!("workspace-{number}").parse().expect("name"),
            weight: 1,
            max_in_flight: None,
            key_hashes: vec!["0".repeat(64)],
        }));
        resources.push(Resource::Route(Route {
            name: format!("route-{number}"),
            path: format!("/v1/{number}"),
            model: None,
            pool: "engines".parse().expect("name"),
            idempotent: None,
            timeout_ms: 60_000,
            priority: request::Priority::Normal,
        }));
    }
    resources
}

fn zone(service: Service) -> Resource {
    Resource::Zone(Zone {
        name: "zone-a".parse().expect("name"),
        service,
    })
}

fn change(from: revision::Id, puts: Vec<Resource>) -> Change {
    Change {
        id: "bench".parse().expect("name"),
        who: "bench".parse().expect("name"),
        when: 0,
        from,
        to: from.next(),
        puts,
        deletes: Vec::new(),
    }
}

fn snapshot(count: usize) -> Snapshot {
    let mut snapshot = Snapshot::default();
    let first = change(snapshot.revision(), resources(count));
    snapshot.apply(&first).expect("first change");
    snapshot
}

fn bench(criterion: &mut Criterion) {
    for count in [100, 1_000, 10_000] {
        let snapshot = snapshot(count);
        let next = change(snapshot.revision(), vec![zone(Service::Out)]);
        let last = format!("/v1/{}", count - 1);
        criterion.bench_function(&format!("route/{count}"), |bencher| {
            bencher.iter(|| black_box(snapshot.route(&last, Some("weir"))));
        });
        criterion.bench_function(&format!("clone_and_apply/{count}"), |bencher| {
            bencher.iter(|| {
                let mut copy = snapshot.clone();
                copy.apply(&next).expect("next change");
                copy
            });
        });
        let proposal = Proposal {
            id: "bench".parse().expect("name"),
            puts: vec![zone(Service::Out)],
            deletes: Vec::new(),
            expect: BTreeMap::new(),
        };
        let who = "bench".parse().expect("name");
        criterion.bench_function(&format!("judge/{count}"), |bencher| {
            bencher.iter(|| black_box(proposal.evaluate(&snapshot, &who, 0)));
        });
    }
}

criterion_group!(benches, bench);
criterion_main!(benches);
