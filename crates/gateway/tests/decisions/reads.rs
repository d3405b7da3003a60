//! What routers know of prompts that servers have read for others.

use std::{sync::Arc, time::Duration};

use gateway::{
    clock::Clock,
    dispatch::{Dispatch, Message, Order, Permit},
    evidence::Ends,
    load::Load,
    metrics::Metrics,
    peers::{FleetTotal, Frame},
    pool::{Outcome, Part, Place, Pool},
    reads::{self, Read, Reads},
    roster,
    settings::{Bounds, Settings},
};
use tokio::sync::{mpsc, oneshot};
use units::{chat, cost::Cost, request::Fingerprint, time::Instant};

use crate::world::{START, bounds, demand, entry, fleet, host, members, pool, pool_of};

fn engines() -> Vec<roster::Entry> {
    let zones = ["a", "b", "c"];
    let named = (0..12).map(|index| entry(&format!("s{index}"), zones[index % 3]));
    named.collect()
}

fn admit(pool: &mut Pool, topic: u64, own: u64) -> Place {
    let place = pool.admit(&demand(topic, own), &fleet(), START);
    place.expect("a place")
}

/// What the pool's router has to tell once the request's first byte has come.
fn run(pool: &mut Pool, topic: u64, own: u64) -> (Place, Vec<Read>) {
    let place = admit(pool, topic, own);
    let parts = demand(topic, own).parts;
    let server = pool.server_mut(&place.server).expect("the server");
    let mut reads = Reads::default();
    let part = reads::shared(&parts).expect("a shared part");
    if !server.has_read(part, START) {
        reads.note(server.hash(), part, START);
    }
    server.read(place.unread);
    server.remember(&parts, START);
    (place, reads.news(START))
}

/// The first server of a prompt is replaced. A router that saw the prompt go to
/// the second one meanwhile goes on there; one that did not sends it to the new
/// first one, which reads all of it anew while its caller waits.
#[test]
fn a_prompt_goes_where_another_router_saw_it_read() {
    let home = run(&mut pool(&engines()), 7, 0).0.server;
    let mut without = engines();
    without.retain(|entry| entry.server != home);
    let (second, told) = run(&mut pool(&without), 7, 1);
    let mut elsewhere = pool_of("b", &engines());
    elsewhere.hear_reads(&told, START);
    assert_eq!(admit(&mut elsewhere, 7, 2).server, second.server);
}

/// The first two servers of a prompt come back anew, and the one that has read it
/// meanwhile has no room. Copied from one that is merely likely to have read it,
/// it would be read anew in full.
#[test]
fn a_prompt_is_copied_from_where_another_router_saw_it_read() {
    let mut rest = engines();
    for _ in 0..2 {
        let next = run(&mut pool(&rest), 7, 0).0.server;
        rest.retain(|entry| entry.server != next);
    }
    let (third, told) = run(&mut pool(&rest), 7, 1);
    let mut here = pool(&engines());
    here.hear_reads(&told, START);
    here.set_elsewhere(|name| if *name == third.server { 40 } else { 1 });
    let place = admit(&mut here, 7, 2);
    assert_ne!(place.server, third.server);
    assert_eq!(place.source, Some(third.address));
}

/// A server starts anew under its name and address. Its cache is empty, and a
/// prompt that is sent there since it once was read there is read anew.
#[test]
fn a_server_that_starts_anew_has_read_nothing() {
    let mut entries = engines();
    let mut here = pool(&entries);
    let (first, told) = run(&mut pool(&entries), 7, 0);
    here.hear_reads(&told, START);
    for entry in &mut entries {
        entry.born += u64::from(entry.server == first.server);
    }
    here.set_servers(entries.iter().map(|entry| (entry, false)));
    let parts = demand(7, 1).parts;
    let server = here.server_mut(&first.server).expect("the server");
    assert!(!server.has_read(&parts[1], START));
}

fn part(key: u64, tokens: u32) -> Part {
    Part {
        key: chat::Key(key << 32),
        tokens,
    }
}

/// Two hundred prompts are read within a moment. Told of whichever came first,
/// others would read the long ones anew.
#[test]
fn the_longest_prompts_are_told_first() {
    let mut reads = Reads::default();
    for index in 0..200 {
        reads.note(1, &part(index, 1_000 + index as u32), START);
    }
    let news = reads.news(START);
    let least = news.iter().map(|read| read.tokens).min();
    assert!(least >= Some(1_130), "{news:?}");
    assert!(news.iter().any(|read| read.tokens == 1_199));
}

/// Each read is told by its router twice, and passed on by two routers of each
/// zone. Were it news each time it is heard, it would go round without end.
#[test]
fn a_read_is_passed_on_once() {
    let mut reads = Reads::default();
    let read = Read {
        server: 1,
        part: 2,
        tokens: 3_000,
    };
    let mut rounds = 0;
    for round in 0..9 {
        let now = START + Duration::from_millis(200) * round;
        reads.pass_on(&[read], now);
        rounds += usize::from(!reads.news(now).is_empty());
    }
    assert!((1..=2).contains(&rounds), "{rounds}");
}

/// Totals over many servers fill a datagram. What servers have read gives way,
/// since a bound on load hangs on the rest.
#[test]
fn loads_come_before_reads_in_a_datagram() {
    let loads = (0..105).map(|server| Load {
        server: (server << 14) + 5,
        running: 300,
        ends: Ends {
            failed: 300,
            completed: 30_000,
        },
    });
    let mut reads = Reads::default();
    for index in 0..60 {
        reads.note(u32::MAX, &part(u64::from(u32::MAX) - index, 30_000), START);
    }
    let total = FleetTotal {
        aggregator: u32::MAX,
        routers: u16::MAX,
        loads: gateway::load::Report::Whole(loads.collect()),
        reads: reads.news(START),
        relay_to: vec![u32::MAX; 10],
    };
    let frame = Frame::FleetTotal(total);
    assert!(frame.encode().is_err());
    let Ok(Frame::FleetTotal(told)) = Frame::decode(&frame.encode_truncated().expect("it fits"))
    else {
        panic!("another frame");
    };
    let gateway::load::Report::Whole(loads) = told.loads else {
        panic!("another report");
    };
    assert_eq!(loads.len(), 105);
}

/// A fourth of the servers crash, and hundreds of prompts are read at others in a
/// second. Told of a few, routers have the rest read at yet another server.
#[test]
fn a_datagram_tells_of_as_many_reads_as_its_loads_leave_room_for() {
    let mut reads = Reads::default();
    for index in 0..60 {
        reads.note(index << 18, &part(u64::from(index), 10_000), START);
    }
    let total = FleetTotal {
        aggregator: u32::MAX,
        routers: 39,
        loads: gateway::load::Report::Change {
            running: vec![(1 << 17, 5); 105],
            ends: Vec::new(),
        },
        reads: reads.news(START),
        relay_to: vec![u32::MAX; 6],
    };
    let bytes = Frame::FleetTotal(total)
        .encode_truncated()
        .expect("it fits");
    let Ok(Frame::FleetTotal(told)) = Frame::decode(&bytes) else {
        panic!("another frame");
    };
    assert!(told.reads.len() >= 50, "{}", told.reads.len());
}

fn settings() -> Settings {
    let nowhere = ([127, 0, 0, 1], 1).into();
    Settings {
        host: host("r0"),
        zone: "a".parse().expect("a name"),
        callers: nowhere,
        readiness: nowhere,
        peers: nowhere,
        introductions: nowhere,
        introducers: Vec::new(),
        metrics: nowhere,
        anonymous: "anonymous".parse().expect("a name"),
        bounds: Bounds { ..bounds() },
        connections: 10,
        body_memory: 1 << 20,
        grace: units::time::Millis(1_000),
    }
}

/// The task of one router that knows the engines, and what it is told.
fn task() -> (Dispatch, mpsc::UnboundedReceiver<Message>) {
    let metrics = Arc::new(Metrics::default());
    let (mut task, _handle, messages) = Dispatch::new(Clock::start(), metrics, settings());
    let mut roster = roster::Roster::default();
    for entry in engines() {
        roster.apply(roster::Change::Present(entry), START);
    }
    task.take(Message::Members(members(6)));
    task.take(Message::Roster(Arc::new(roster)));
    (task, messages)
}

fn acquire(task: &mut Dispatch) -> Permit {
    let order = Order {
        pool: "llm".parse().expect("a name"),
        workspace: "w".parse().expect("a name"),
        cost: Cost(1),
        rank: 0,
        latest_start: Instant::NEVER,
        demand: demand(7, 0),
        is_repeat: false,
        fingerprint: Fingerprint(1),
    };
    let (reply, mut answer) = oneshot::channel();
    task.take(Message::Acquire(order, reply));
    let answer = answer.try_recv().expect("an answer at once");
    answer.expect("a place")
}

/// What a router tells right after the first byte of a request.
fn told() -> Vec<Read> {
    let (mut task, mut messages) = task();
    let mut permit = acquire(&mut task);
    permit.first_byte();
    permit.end(Outcome::Completed);
    while let Ok(message) = messages.try_recv() {
        task.take(message);
    }
    let (reply, mut answer) = oneshot::channel();
    task.take(Message::News(reply));
    answer.try_recv().expect("an answer at once").reads
}

/// A server has read a prompt, and its router tells no one. All others learn it
/// only by sending such requests there themselves.
#[test]
fn a_read_is_told_with_the_loads() {
    // News is told for a moment only, and the machine may stand still for longer.
    let told = (0..10).map(|_| told()).find(|told| !told.is_empty());
    let told = told.expect("news");
    let [read] = told.as_slice() else {
        panic!("one read, not {told:?}");
    };
    assert_eq!(read.tokens, 10_000);
}
