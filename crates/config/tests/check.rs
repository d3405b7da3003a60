//! Validation of proposals and files.

use std::collections::BTreeMap;

use config::{
    check::{self, Fault},
    file, key,
    proposal::{Evaluation, Proposal, Refusal},
    snapshot::Snapshot,
};
use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::{Value, json};
use units::revision;
use yare::parameterized;

const FIELDS: [&str; 20] = [
    "type",
    "name",
    "kind",
    "path",
    "pool",
    "model",
    "servers",
    "zone",
    "address",
    "weight",
    "service",
    "key_hashes",
    "idempotent",
    "timeout_ms",
    "priority",
    "load_bound",
    "id",
    "puts",
    "deletes",
    "expect",
];

const TEXTS: [&str; 16] = [
    "workspace",
    "pool",
    "route",
    "zone",
    "drain",
    "engine",
    "service",
    "out",
    "a",
    "b",
    "/v1",
    "/v1/chat",
    "127.0.0.1:1",
    "127.0.0.1:2",
    "pool/a",
    "interactive",
];

fn leaf() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (0_u64..9).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        prop::sample::select(TEXTS.as_slice()).prop_map(Value::from),
        ".{0,40}".prop_map(Value::from),
    ]
}

fn any_json() -> impl Strategy<Value = Value> {
    leaf().prop_recursive(5, 60, 8, |inner| {
        let name = prop_oneof![
            9 => prop::sample::select(FIELDS.as_slice()).prop_map(String::from),
            1 => ".{0,80}",
        ];
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(name, inner, 0..8)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// A mostly well-formed resource. Names come from a small set, so that resources refer to and
/// conflict with each other.
fn resource() -> impl Strategy<Value = Value> {
    let name = prop::sample::select(["a", "b", "c"].as_slice());
    let path = prop::sample::select(["/v1", "/v1/chat"].as_slice());
    let server = (0_u8..4, 1_u16..5).prop_map(|(name, port)| {
        json!({"name": format!("s{name}"), "zone": "z", "address": format!("127.0.0.1:{port}")})
    });
    prop_oneof![
        (name.clone(), 1_u32..3)
            .prop_map(|(name, weight)| json!({"type": "workspace", "name": name, "weight": weight})),
        (name.clone(), prop::collection::vec(server, 0..3)).prop_map(
            |(name, servers)| json!({"type": "pool", "name": name, "kind": "engine", "servers": servers})
        ),
        (name.clone(), path, name.clone()).prop_map(
            |(name, path, pool)| json!({"type": "route", "name": name, "path": path, "pool": pool})
        ),
        name.prop_map(|name| json!({"type": "drain", "name": name})),
    ]
}

fn proposal() -> impl Strategy<Value = Value> {
    let deletes = prop::sample::select(["pool/a", "route/a", "drain/a", "pool/b"].as_slice());
    (
        prop::collection::vec(resource(), 1..4),
        prop::collection::vec(deletes, 0..2),
    )
        .prop_map(|(puts, deletes)| json!({"id": "x", "puts": puts, "deletes": deletes}))
}

/// Asserts the limits on the size of reported faults, which hold for any input.
fn assert_bounded(faults: &[Fault]) -> Result<(), TestCaseError> {
    prop_assert!(faults.len() <= check::MAX_FAULTS);
    for fault in faults {
        prop_assert!(fault.message.chars().count() <= 200);
        prop_assert!(fault.path.chars().count() <= 400, "{}", fault.path);
    }
    Ok(())
}

fn evaluate(proposal: &Proposal, snapshot: &Snapshot) -> Result<Evaluation, Refusal> {
    proposal.evaluate(snapshot, &"ann".parse().expect("name"), 0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    // A client sends arbitrary JSON. A panic, or a response that grows with the
    // request, would make the administration process unavailable to other clients.
    #[test]
    fn any_json_is_checked_without_panic_in_bounded_memory(value in any_json()) {
        match Proposal::read(&value) {
            Ok(proposal) => drop(evaluate(&proposal, &Snapshot::default())),
            Err(faults) => {
                prop_assert!(!faults.is_empty());
                assert_bounded(&faults)?;
            }
        }
    }

    // A file is damaged, or is not a resource file at all.
    #[test]
    fn any_file_is_checked_without_panic_in_bounded_memory(
        replacements in prop::collection::vec((any::<prop::sample::Index>(), ".{0,3}"), 0..8),
        text in "[\\[\\]{}a-z\"=\\.,\n0-9 ]{0,200}",
    ) {
        let example = include_str!("../../../examples/dagbog.toml");
        let mut damaged: Vec<char> = example.chars().collect();
        for (index, insert) in replacements {
            let position = index.index(damaged.len());
            damaged.splice(position..=position, insert.chars());
        }
        let damaged = String::from_iter(damaged);
        for text in [damaged, text] {
            if let Err(faults) = file::parse(&text) {
                assert_bounded(&faults)?;
            }
        }
    }

    // Operators propose valid and invalid changes in sequence. The accepted
    // resources must be consistent, because routers could not resolve a conflict.
    #[test]
    fn accepted_resources_are_consistent(values in prop::collection::vec(proposal(), 1..12)) {
        let mut snapshot = Snapshot::default();
        for value in values {
            let Ok(proposal) = Proposal::read(&value) else { continue };
            let sent = serde_json::to_value(&proposal)?;
            prop_assert_eq!(Ok(proposal.clone()), Proposal::read(&sent));
            let before = snapshot.clone();
            match evaluate(&proposal, &snapshot) {
                Ok(Evaluation::Change(change)) => prop_assert_eq!(Ok(()), snapshot.apply(&change)),
                Ok(Evaluation::Unchanged) | Err(_) => prop_assert_eq!(&before, &snapshot),
            }
            let mut served = BTreeMap::new();
            for route in snapshot.routes() {
                prop_assert!(snapshot.pool(&route.pool).is_some(), "{} has no pool", route.name);
                let duplicate = served.insert((&route.path, &route.model), &route.name);
                prop_assert_eq!(None, duplicate);
            }
            let servers: Vec<_> = snapshot.pools().flat_map(|pool| &pool.servers).collect();
            for (index, one) in servers.iter().enumerate() {
                for other in &servers[index + 1..] {
                    prop_assert!(one.name != other.name && one.address != other.address);
                }
            }
        }
    }
}

// A file nests values so deeply that a recursive parser would overflow the stack,
// which aborts the process instead of returning an error.
#[parameterized(
    arrays = { "a = ", "[", "", 100_000 },
    tables = { "a = ", "{a=", "", 100_000 },
    dotted_keys = { "", "a.", "a = 1", 100_000 },
    dotted_header = { "[", "a.", "a]", 100_000 },
    dotted_pool = { "[[pool]]\n", "a.", "a = 1", 100_000 },
)]
fn deeply_nested_file_is_a_fault(start: &str, level: &str, end: &str, depth: usize) {
    let text = format!("{start}{}{end}", level.repeat(depth));
    assert!(file::parse(&text).is_err());
}

// Every element of a change is invalid. The number of reported faults must not
// grow with the change.
#[test]
fn number_of_reported_faults_is_bounded() {
    let value = json!({"id": "x", "puts": vec![json!({"type": "zone"}); 5_000]});
    let faults = Proposal::read(&value).unwrap_err();
    assert_eq!(check::MAX_FAULTS, faults.len());
    assert_eq!("puts[0].name: is missing", faults[0].to_string());
}

#[test]
fn examples_are_valid() {
    for text in [
        include_str!("../../../examples/lankaclean.toml"),
        include_str!("../../../examples/dagbog.toml"),
    ] {
        let proposal = Proposal {
            id: "x".parse().unwrap(),
            puts: file::parse(text).unwrap(),
            deletes: Vec::new(),
            expect: BTreeMap::new(),
        };
        assert!(evaluate(&proposal, &Snapshot::default()).is_ok());
    }
}

#[test]
fn conflict_reports_current_generation() {
    let mut snapshot = Snapshot::default();
    let value = json!({"id": "x", "puts": [{"type": "zone", "name": "a"}],
        "expect": {"zone/a": 0}});
    let proposal = Proposal::read(&value).unwrap();
    let Ok(Evaluation::Change(change)) = evaluate(&proposal, &snapshot) else {
        panic!("refused");
    };
    snapshot.apply(&change).unwrap();
    let Err(Refusal::Conflict(conflicts)) = evaluate(&proposal, &snapshot) else {
        panic!("accepted");
    };
    let zone: key::Key = "zone/a".parse().unwrap();
    assert_eq!(zone, conflicts[0].resource);
    assert_eq!(revision::Generation(1), conflicts[0].generation);
}
