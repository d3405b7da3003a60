//! Look-ups in the routing table.

use gateway::route::{Kind, Route, Split, Table};
use smallvec::smallvec;
use units::time::Millis;
use yare::parameterized;

fn route(name: &str) -> Route {
    let split = |pool: &str, weight| Split {
        pool: pool.parse().expect("a valid name"),
        weight,
    };
    Route {
        name: String::from(name),
        kind: Kind::Once,
        timeout: Millis(1000),
        target: Millis(100),
        rank: 0,
        splits: smallvec![split("big", 90), split("small", 10)],
        max_attempts: 1,
        is_anonymous: false,
    }
}

fn table() -> Table {
    let mut table = Table::default();
    table.add_route("a.example", "/", route("root"));
    table.add_route("a.example", "/x/", route("x"));
    table.add_route("a.example", "/x/y/", route("xy"));
    table.add_route("b.example", "/x/", route("other"));
    table
}

#[parameterized(
    longest = { "a.example", "/x/y/z", Some("xy") },
    prefix_itself = { "a.example", "/x/y/", Some("xy") },
    without_trailing_slash = { "a.example", "/x/y", Some("x") },
    partial_path_segment = { "a.example", "/xy/z", Some("root") },
    other_host = { "b.example", "/x/1", Some("other") },
    other_case = { "A.Example", "/x/1", Some("x") },
    no_route = { "b.example", "/y/1", None },
    no_host = { "c.example", "/x/1", None },
)]
fn the_longest_prefix_wins(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    let found = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn splits_are_weighted_and_stable_per_request() {
    let route = route("r");
    let hashes = 0..10_000_u64;
    let small = hashes.filter(|hash| route.pool(hash * 7919).unwrap().as_str() == "small");
    assert_eq!(small.count(), 1000);
    assert_eq!(route.pool(42), route.pool(42));
}
