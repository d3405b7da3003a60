//! Failure detection, propagation and control traffic at 8, 46, 138 and 1,000 routers.

use std::time::Duration;

use fleet::Action;
use units::revision;
use wire::heartbeat;

use crate::net::{Conditions, Net};

fn lossy() -> Conditions {
    Conditions {
        loss: 0.01,
        ..Conditions::default()
    }
}

/// 1,000 routers in 22 zones of 10 regions.
fn planned_deployment(seed: u64) -> Net {
    let mut net = Net::new(seed, lossy());
    let zones: Vec<String> = (0..10)
        .flat_map(|region| {
            let count = if region < 2 { 3 } else { 2 };
            (1..=count).map(move |zone| format!("r{region}-{zone}"))
        })
        .collect();
    for index in 0..1000 {
        net.add(&zones[index % zones.len()]);
    }
    net.send_host_list();
    net.logging = false;
    net
}

/// The mean and the maximum over the routers of bytes sent and received per second.
fn traffic(net: &mut Net, seconds: u64) -> (usize, usize) {
    net.reset_counts();
    net.run_for(Duration::from_secs(seconds));
    let seconds = usize::try_from(seconds).unwrap();
    let bytes: Vec<usize> = net
        .nodes
        .iter()
        .map(|n| (n.sent + n.received) / seconds)
        .collect();
    let frames: usize = net.nodes.iter().map(|node| node.frames).sum();
    let sent: usize = net.nodes.iter().map(|node| node.sent).sum();
    println!(
        "measure=frames routers={} sent={:.1} unit=1/s bytes_each={}",
        bytes.len(),
        frames as f64 / (seconds * bytes.len()) as f64,
        sent / frames
    );
    (
        bytes.iter().sum::<usize>() / bytes.len(),
        bytes.iter().copied().max().unwrap(),
    )
}

/// The times until the first and the last router declare the killed `node` down.
fn detection(net: &mut Net, node: usize) -> (Duration, Duration) {
    let host = net.nodes[node].host.clone();
    net.log.clear();
    net.kill(node);
    let killed_at = net.now;
    net.run_for(Duration::from_secs(8));
    let times: Vec<Duration> = net
        .log
        .iter()
        .filter(|(_, _, action)| {
            matches!(action, Action::Phase { host: h, phase } if *h == host && *phase == heartbeat::Phase::Down)
        })
        .map(|(at, _, _)| at.since(killed_at))
        .collect();
    assert_eq!(
        times.len(),
        net.running().count(),
        "every running router has to declare it down once"
    );
    (
        times.iter().min().copied().unwrap(),
        times.iter().max().copied().unwrap(),
    )
}

/// The times until the first and the last router apply a revision new in the table.
fn propagation(net: &mut Net) -> (Duration, Duration) {
    net.table = net.table.next();
    let accepted_at = net.now;
    let mut first = None;
    while net.now.since(accepted_at) < Duration::from_secs(30) {
        net.run_for(Duration::from_millis(10));
        let is_current = |revision: Option<revision::Id>| revision == Some(net.table);
        let count = net
            .nodes
            .iter()
            .filter(|node| is_current(node.sync.applied()))
            .count();
        if count > 0 {
            first.get_or_insert(net.now.since(accepted_at));
        }
        if count == net.nodes.len() {
            return (first.unwrap(), net.now.since(accepted_at));
        }
    }
    panic!("the revision was not applied by all routers within 30 s");
}

// A router crashes. Until the others detect it, requests to it time out and its engines
// have no owner.
#[yare::parameterized(
    current = { 3, 8 },
    zone = { 1, 46 },
    region = { 3, 138 },
)]
fn a_dead_router_is_detected_by_all_within_three_seconds(zones: usize, routers: usize) {
    let mut slowest = Duration::ZERO;
    for seed in 0..6 {
        let mut net = Net::region(seed, lossy(), zones, routers);
        net.run_for(Duration::from_secs(10));
        let (first, last) = detection(&mut net, usize::try_from(seed).unwrap());
        println!("measure=detection routers={routers} seed={seed} first={first:?} last={last:?}");
        slowest = slowest.max(last);
    }
    assert!(slowest <= Duration::from_secs(3), "{slowest:?}");
}

// An operator changes the configuration. Until a router applies it, it acts on the old
// one: a zone that was taken out still gets requests.
#[yare::parameterized(
    current = { 3, 8 },
    zone = { 1, 46 },
    region = { 3, 138 },
)]
fn a_revision_is_applied_everywhere_within_five_seconds(zones: usize, routers: usize) {
    let mut net = Net::region(11, lossy(), zones, routers);
    net.run_for(Duration::from_secs(10));
    let mut slowest = Duration::ZERO;
    for round in 0..20 {
        net.run_for(Duration::from_millis(700));
        let (first, last) = propagation(&mut net);
        println!("measure=spread routers={routers} round={round} first={first:?} last={last:?}");
        slowest = slowest.max(last);
    }
    assert!(slowest <= Duration::from_secs(5), "{slowest:?}");
}

// Control traffic that grows with the fleet would take bandwidth from requests. The
// bounds are the required limits on control traffic minus the share of table polls
// and engine probes.
#[yare::parameterized(
    current = { 3, 8, 800 },
    zone = { 1, 46, 2800 },
    region = { 3, 138, 2800 },
)]
fn control_traffic_is_bounded(zones: usize, routers: usize, bound: usize) {
    let mut net = Net::region(5, lossy(), zones, routers);
    net.run_for(Duration::from_secs(10));
    let (mean, max) = traffic(&mut net, 20);
    println!("measure=control routers={routers} mean={mean} most={max} unit=B/s");
    assert!(max <= bound, "{max}");
}

#[test]
fn the_planned_size_stays_within_its_propagation_and_traffic_bounds() {
    let mut net = planned_deployment(1);
    net.run_for(Duration::from_secs(6));
    let (mean, max) = traffic(&mut net, 4);
    println!("measure=control routers=1000 mean={mean} most={max} unit=B/s");
    let polls: usize = net.nodes.iter().map(|node| node.polls).sum();
    println!("measure=polls routers=1000 value={} unit=1/s", polls / 4);
    let (first, last) = propagation(&mut net);
    println!("measure=spread routers=1000 first={first:?} last={last:?}");
    assert!(max <= 2800, "{max}");
    assert!(last <= Duration::from_secs(5), "{last:?}");
}
