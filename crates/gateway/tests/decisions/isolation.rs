//! Ways to serve callers of routers that have lost their paths to all servers, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use gateway::{egress::Egresses, reach::Tracker};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{backend, host, time::Instant};
use yare::parameterized;

use crate::world::{START, registered, server};

/// The time that a connection to a server, or to another router, takes.
const CONNECT: Duration = Duration::from_millis(2);
/// The timeout of a connection that hangs.
const TIMEOUT: Duration = Duration::from_millis(50);
/// The connections that are attempted for a request before it is refused.
const MAX_ATTEMPTS: u32 = 4;
/// The mean time between two requests at a router of a fleet of up to 16; larger fleets have
/// fewer requests a router.
const GAP: Duration = Duration::from_millis(40);
/// The share of requests on connections that stay with their router.
const KEPT: f64 = 0.5;
const CUT_AT: Duration = Duration::from_secs(2);
const CUT_FOR: Duration = Duration::from_secs(8);
/// From when on callers of cut routers are to be served as others are.
const NOTICED: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(13);
const SERVERS: usize = 9;

/// What a router does once its paths are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It tries one server after the other for each request.
    TryAll,
    /// It refuses requests.
    Refuse,
    /// It refuses requests and is not ready.
    LeaveRotation,
    /// It sends requests through other routers.
    Tunnel,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    way: Way,
    routers: usize,
    cut: usize,
    /// Whether connections hang instead of being refused.
    is_silent: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    /// Requests at cut routers from [`NOTICED`] on, and how many of them were served at the first
    /// try.
    at_cut: (u32, u32),
    /// The same within three seconds after the cut.
    afterwards: (u32, u32),
    /// The most requests that a sound router served, as a multiple of its own.
    most_carried: f64,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    entry: usize,
    attempts: u32,
    sent_at: Instant,
}

#[derive(Clone, Debug)]
enum Event {
    Caller(usize),
    /// The result of a direct connection of a router for a request, begun at this instant.
    Direct(Request, usize, bool, Instant),
    /// The result of a connection through another router.
    Carried(Request, usize, bool),
    /// Another router has refused, and names one that provides connections for it.
    Hint(usize, host::Id),
    Probe(usize),
    Ready,
}

struct Router {
    reach: Tracker,
    egresses: Egresses,
    misses: u32,
    own: u32,
    carried: u32,
}

struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    routers: Vec<Router>,
    hosts: Vec<host::Id>,
    servers: Vec<backend::Server>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    serial: u64,
    summary: Summary,
}

impl World {
    fn run(scenario: Scenario, seed: u64) -> Summary {
        let mut world = Self::new(scenario, seed);
        for router in 0..scenario.routers {
            world.schedule_caller(router);
        }
        world.schedule(Duration::from_secs(1), Event::Ready);
        while let Some(Reverse((at, serial))) = world.events.pop() {
            if at > START + LENGTH {
                break;
            }
            world.now = at;
            if let Some(event) = world.scheduled.remove(&serial) {
                world.handle(event);
            }
        }
        let sound = world.routers.iter().skip(scenario.cut);
        let carried = sound.map(|router| f64::from(router.carried) / f64::from(router.own.max(1)));
        world.summary.most_carried = carried.fold(0.0, f64::max);
        world.summary
    }

    fn new(scenario: Scenario, seed: u64) -> Self {
        let members = registered(scenario.routers);
        let router = |index: usize| {
            let mut egresses = Egresses::default();
            let own = &members[index];
            egresses.set_members(&members, &own.host, &own.zone);
            Router {
                reach: Tracker::default(),
                egresses,
                misses: 0,
                own: 0,
                carried: 0,
            }
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            routers: (0..scenario.routers).map(router).collect(),
            hosts: members.iter().map(|member| member.host.clone()).collect(),
            servers: (0..SERVERS)
                .map(|index| server(&format!("s{index}")))
                .collect(),
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            serial: 0,
            summary: Summary::default(),
            scenario,
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + after, self.serial)));
        self.scheduled.insert(self.serial, event);
    }

    fn schedule_caller(&mut self, router: usize) {
        let mean = GAP.mul_f64((self.scenario.routers as f64 / 16.0).max(1.0));
        let gap = mean.mul_f64(-(1.0 - self.rng.random::<f64>()).ln());
        self.schedule(gap, Event::Caller(router));
    }

    fn is_cut(&self, router: usize) -> bool {
        let since = self.now.since(START);
        router < self.scenario.cut && (CUT_AT..CUT_AT + CUT_FOR).contains(&since)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller(home) => {
                self.schedule_caller(home);
                let entry = self.balance(home);
                self.routers[entry].own += 1;
                self.attempt(Request {
                    entry,
                    attempts: 0,
                    sent_at: self.now,
                });
            }
            Event::Direct(request, router, is_established, begun_at) => {
                self.record_direct(router, is_established, begun_at);
                if router != request.entry {
                    // The egress router answers.
                    return self.schedule(CONNECT, Event::Carried(request, router, is_established));
                }
                if is_established {
                    self.end(request, true);
                } else {
                    self.attempt(request);
                }
            }
            Event::Carried(request, egress, is_established) => {
                let host = self.hosts[egress].clone();
                if is_established {
                    self.routers[egress].carried += 1;
                    let entry = &mut self.routers[request.entry];
                    entry.egresses.record_success(&host);
                    return self.end(request, true);
                }
                self.routers[request.entry]
                    .egresses
                    .record_failure(&host, self.now);
                self.attempt(request);
            }
            Event::Hint(router, provider) => {
                self.routers[router].egresses.record_hint(&provider);
            }
            Event::Probe(router) => self.probe(router),
            Event::Ready => self.check_readiness(),
        }
    }

    /// The router that a request of a caller of `home` gets to.
    fn balance(&mut self, home: usize) -> usize {
        let is_in = |router: &Router| router.misses < 2;
        let count = self.routers.iter().filter(|router| is_in(router)).count();
        let stays = self.rng.random_bool(KEPT) || is_in(&self.routers[home]);
        if stays || count * 2 < self.routers.len() {
            return home;
        }
        loop {
            let router = self.rng.random_range(0..self.routers.len());
            if is_in(&self.routers[router]) {
                return router;
            }
        }
    }

    fn check_readiness(&mut self) {
        let leaves = self.scenario.way == Way::LeaveRotation;
        for router in &mut self.routers {
            let is_ready = !(leaves && router.reach.is_lost());
            router.misses = if is_ready { 0 } else { router.misses + 1 };
        }
        self.schedule(Duration::from_secs(1), Event::Ready);
    }

    fn attempt(&mut self, mut request: Request) {
        if request.attempts >= MAX_ATTEMPTS {
            return self.end(request, false);
        }
        request.attempts += 1;
        let (entry, now) = (request.entry, self.now);
        let is_lost = self.routers[entry].reach.is_lost();
        match self.scenario.way {
            Way::Refuse | Way::LeaveRotation if is_lost => return self.end(request, false),
            Way::Tunnel if is_lost => {
                let Some(egress) = self.routers[entry].egresses.choose(now) else {
                    return self.end(request, false);
                };
                let mut hosts = self.hosts.iter();
                let egress = hosts.position(|host| *host == egress.host);
                return self.carry(request, egress.expect("a router"));
            }
            _ => {}
        }
        self.connect(request, entry);
    }

    fn carry(&mut self, request: Request, egress: usize) {
        if self.routers[egress].reach.is_lost() {
            if let Some(provider) = self.routers[egress].egresses.provider(self.now) {
                self.schedule(CONNECT, Event::Hint(request.entry, provider));
            }
            return self.schedule(CONNECT, Event::Carried(request, egress, false));
        }
        self.connect(request, egress);
    }

    fn connect(&mut self, request: Request, router: usize) {
        let is_cut = self.is_cut(router);
        let time = if is_cut && self.scenario.is_silent {
            TIMEOUT
        } else {
            CONNECT
        };
        self.schedule(time, Event::Direct(request, router, !is_cut, self.now));
    }

    fn record_direct(&mut self, router: usize, is_established: bool, begun_at: Instant) {
        let server = self.rng.random_range(0..SERVERS);
        let server = self.servers[server].clone();
        let reach = &mut self.routers[router].reach;
        if is_established {
            reach.record_reached(self.now);
        } else if reach.record_failure(&server, SERVERS, begun_at, self.now) {
            self.probe(router);
        }
    }

    fn probe(&mut self, router: usize) {
        let is_cut = self.is_cut(router);
        let count = self.scenario.routers;
        let reach = &mut self.routers[router].reach;
        if !reach.is_lost() {
            return;
        }
        if reach.start_probes(count, self.now).is_some() && !is_cut {
            reach.record_reached(self.now);
            return;
        }
        self.schedule(Duration::from_millis(50), Event::Probe(router));
    }

    fn end(&mut self, request: Request, is_served: bool) {
        if request.entry >= self.scenario.cut {
            return;
        }
        let sent = request.sent_at.since(START);
        let end = CUT_AT + CUT_FOR;
        let counts = if (CUT_AT + NOTICED..end).contains(&sent) {
            &mut self.summary.at_cut
        } else if (end..end + NOTICED).contains(&sent) {
            &mut self.summary.afterwards
        } else {
            return;
        };
        counts.0 += 1;
        counts.1 += u32::from(is_served);
    }
}

/// The share of first tries that were served; 1 without any.
fn share((sent, served): (u32, u32)) -> f64 {
    if sent == 0 {
        return 1.0;
    }
    f64::from(served) / f64::from(sent)
}

/// Guards against callers of cut routers that are served less often than those of the others,
/// whatever part of the fleet is cut, and against a way that is worse than another.
#[parameterized(
    one_of_six = { 6, 1 },
    five_of_eight = { 8, 5 },
    all_but_one_of_six = { 6, 5 },
    one_of_eighty_five = { 85, 1 },
    half_of_eighty_five = { 85, 42 },
    all_but_one_of_eighty_five = { 85, 84 },
    one_of_three_hundred = { 300, 1 },
    all_but_one_of_three_hundred = { 300, 299 },
)]
fn callers_of_cut_routers_are_served(routers: usize, cut: usize) {
    for is_silent in [true, false] {
        for seed in 0..2 {
            let play = |way| {
                let scenario = Scenario {
                    way,
                    routers,
                    cut,
                    is_silent,
                };
                World::run(scenario, seed)
            };
            let tunnel = play(Way::Tunnel);
            let others = [Way::TryAll, Way::Refuse, Way::LeaveRotation].map(|way| (way, play(way)));
            if std::env::var_os("PRINT").is_some() {
                println!("{cut} of {routers}, silent {is_silent}, seed {seed}: {tunnel:?}");
                for (way, summary) in others {
                    println!("    {way:?}: {summary:?}");
                }
            }
            assert!(share(tunnel.at_cut) >= 0.98, "seed {seed}: {tunnel:?}");
            assert!(share(tunnel.afterwards) >= 0.98, "seed {seed}: {tunnel:?}");
            for (way, summary) in others {
                assert!(share(tunnel.at_cut) >= share(summary.at_cut), "{way:?}");
            }
        }
    }
}
