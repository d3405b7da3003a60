//! Compares ways to keep the version that began a stream, in virtual time.
//!
//! Routers begin streams at two versions. Every ten seconds there is a fault: a part of the routers
//! end, a zone loses power, connections of callers are reset, all routers end. The callers of
//! broken streams come back to any router that runs. Prints for each size and way how many of
//! their streams went on, and what that costs in datagrams and calls to the store. The faults and
//! streams are the same for all ways.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use gateway::{
    journal::Batch,
    origins::{self, Answer, Key, Record, Table},
    peers::Frame,
    source::Member,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use units::{backend, time::Instant};

/// The simulated time.
const DURATION: Duration = Duration::from_secs(240);
/// The time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(10);
/// The mean duration of a stream.
const MEAN_STREAM: Duration = Duration::from_millis(900);
/// How long a router is down.
const RESTART: Duration = Duration::from_secs(1);
/// The time that the store takes for a row.
const STORE_LATENCY: Duration = Duration::from_millis(5);
/// The fraction of datagrams that are lost.
const LOSS: f64 = 0.01;
/// The bytes of a datagram beside its payload: the seal and the headers of UDP and IP.
const OVERHEAD: usize = 61;
/// The time in which the share of the new version grows from none to all.
const RELEASE: Duration = Duration::from_secs(120);
/// For how long the versions of streams have to be known.
const SPAN: Duration = Duration::from_secs(12);

/// The size of a fleet.
struct Size {
    routers: usize,
    /// Streams that callers may take up, a second at each router.
    rate: f64,
}

const SIZES: [Size; 3] = [
    Size {
        routers: 6,
        rate: 6.0,
    },
    Size {
        routers: 85,
        rate: 2.0,
    },
    Size {
        routers: 300,
        rate: 2.0,
    },
];

/// A way to keep the version of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// The router that began the stream remembers it.
    Own,
    /// The same, and the others ask all routers.
    AskAll,
    /// All routers are told when a stream begins.
    TellAll,
    /// So many keepers are told, and one more is asked.
    Keepers(usize),
    /// The version follows from the id and the shares of the versions.
    Computed,
    /// The same, and routers that start read from the store which shares there were.
    ComputedFromRow,
    /// Four keepers, and each router writes a row of what it began in so many milliseconds.
    OwnRows(u64),
    /// Four keepers, and one router of each zone writes such a row for its zone.
    ZoneRows(u64),
}

const WAYS: [Way; 13] = [
    Way::Own,
    Way::AskAll,
    Way::TellAll,
    Way::Keepers(1),
    Way::Keepers(2),
    Way::Keepers(3),
    Way::Keepers(4),
    Way::Computed,
    Way::ComputedFromRow,
    Way::OwnRows(1000),
    Way::ZoneRows(1000),
    Way::ZoneRows(500),
    Way::ZoneRows(250),
];

/// A stream that breaks off because of a fault.
struct Broken {
    key: Key,
    version: backend::Version,
    /// The router to which its caller comes back, and when.
    router: usize,
    at: Instant,
    fault: Fault,
}

/// What breaks streams off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// About a third of the routers end.
    SomeEnd,
    /// The routers of a zone end.
    ZoneEnds,
    /// Connections of callers are reset at about a third of the routers.
    Resets,
    /// All routers end.
    AllEnd,
}

impl Fault {
    const ALL: [Self; 4] = [Self::SomeEnd, Self::ZoneEnds, Self::Resets, Self::AllEnd];

    /// Whether the fault in this place of the sequence hits a router.
    fn hits(self, place: usize, router: usize, random: &mut SmallRng) -> bool {
        match self {
            Self::SomeEnd | Self::Resets => random.random_bool(0.35),
            Self::ZoneEnds => router % 3 == place / 4 % 3,
            Self::AllEnd => true,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// The streams that were taken up, and that went on, by fault.
    taken_up: [u32; 4],
    went_on: [u32; 4],
    joined: u32,
    bytes: u64,
    records: usize,
    /// Rows written to the store and their bytes, and reads of all rows.
    writes: u64,
    stored_bytes: u64,
    reads: u64,
}

/// The rows of one writer.
#[derive(Clone, Debug, Default)]
struct Writer {
    /// When the next row is written; it takes all records until then.
    writes_at: Instant,
    row: Vec<Record>,
}

/// What the store holds of a stream.
#[derive(Clone, Debug)]
struct Stored {
    version: backend::Version,
    written_at: Instant,
}

struct Fleet {
    way: Way,
    members: Vec<Member>,
    tables: Vec<Table>,
    /// When the process of each router began, or will begin.
    started: Vec<Instant>,
    counts: Counts,
    losses: SmallRng,
    writers: BTreeMap<usize, Writer>,
    store: HashMap<Key, Stored>,
    /// The routers that have read the store since the last fault.
    readers: BTreeSet<usize>,
}

impl Fleet {
    fn new(way: Way, routers: usize) -> Self {
        let member = |index: usize| Member {
            host: format!("r{index}").parse().expect("a name"),
            zone: format!("z{}", index % 3).parse().expect("a name"),
            address: ([127, 0, 0, 1], 1).into(),
            tunnels: None,
        };
        Self {
            way,
            members: (0..routers).map(member).collect(),
            tables: vec![Table::default(); routers],
            started: vec![Instant::ZERO; routers],
            counts: Counts::default(),
            losses: SmallRng::seed_from_u64(1),
            writers: BTreeMap::new(),
            store: HashMap::new(),
            readers: BTreeSet::new(),
        }
    }

    /// The routers other than `own` that are told of a stream or asked for it.
    fn others(&self, own: usize, key: Key, is_asked: bool) -> Vec<usize> {
        let all = 0..self.members.len();
        let count = match (self.way, is_asked) {
            (Way::AskAll, true) | (Way::TellAll, false) => {
                return all.filter(|index| *index != own).collect();
            }
            (Way::Keepers(count), is_asked) => count + usize::from(is_asked),
            (Way::OwnRows(_) | Way::ZoneRows(_), is_asked) => {
                origins::COPIES + usize::from(is_asked)
            }
            _ => return Vec::new(),
        };
        let keepers = origins::keepers(&self.members, key, count);
        let is_keeper = |index: &usize| {
            let mut keepers = keepers.iter();
            keepers.any(|keeper| keeper.host == self.members[*index].host)
        };
        all.filter(|index| *index != own && is_keeper(index))
            .collect()
    }

    fn send(&mut self, frame: &Frame) -> bool {
        let payload = frame.encode().expect("a frame");
        self.counts.bytes += (payload.len() + OVERHEAD) as u64;
        !self.losses.random_bool(LOSS)
    }

    fn begin(&mut self, router: usize, key: Key, version: &backend::Version, now: Instant) {
        let version = version.clone();
        let record = Record { key, version };
        if !self.is_computed() {
            self.tables[router].insert(&record, now);
        }
        for other in self.others(router, key, false) {
            let frame = Frame::Origins(vec![record.clone()]);
            if self.send(&frame) && self.started[other] <= now {
                self.tables[other].insert(&record, now);
            }
        }
        self.store(router, &record, now);
    }

    fn is_computed(&self) -> bool {
        matches!(self.way, Way::Computed | Way::ComputedFromRow)
    }

    /// Leaves a record to the router that writes it to the store.
    fn store(&mut self, router: usize, record: &Record, now: Instant) {
        let (writer, interval) = match self.way {
            Way::OwnRows(interval) => (router, interval),
            Way::ZoneRows(interval) => (self.writer_of_zone(router, now), interval),
            _ => return,
        };
        let is_received = writer == router || self.send(&Frame::Journal(vec![record.clone()]));
        if !is_received {
            return;
        }
        let row = self.writers.entry(writer).or_default();
        if row.writes_at <= now {
            // The first row after a pause is written at once.
            let pause_ends = row.writes_at + Duration::from_millis(interval);
            row.writes_at = pause_ends.max(now);
            let bytes = Batch::new(row.row.iter()).encode().expect("a row").len();
            self.counts.stored_bytes += bytes as u64;
            self.counts.writes += 1;
            row.row.clear();
        }
        row.row.push(record.clone());
        let stored = Stored {
            version: record.version.clone(),
            written_at: row.writes_at + STORE_LATENCY,
        };
        self.store.insert(record.key, stored);
    }

    fn writer_of_zone(&self, router: usize, now: Instant) -> usize {
        let running = self.members.iter().zip(&self.started);
        let running = running.filter(|(_, started)| **started <= now);
        let running: Vec<Member> = running.map(|(member, _)| member.clone()).collect();
        let writer = origins::journal_writer(&running, &self.members[router].zone);
        let writer = writer.expect("the router itself runs");
        let mut members = self.members.iter();
        let place = members.position(|member| member.host == writer.host);
        place.expect("a member")
    }

    /// What the store tells of a stream. It is read once by each router that needs it.
    fn read(&mut self, router: usize, key: Key) -> Answer {
        if !matches!(self.way, Way::OwnRows(_) | Way::ZoneRows(_)) {
            return Answer::Unknown;
        }
        self.counts.reads += u64::from(self.readers.insert(router));
        let stored = self.store.get(&key);
        stored.map_or(Answer::Unknown, |stored| {
            Answer::Version(stored.version.clone())
        })
    }

    fn find(&mut self, router: usize, key: Key, now: Instant) -> Answer {
        if self.is_computed() {
            return self.compute(router, key, now);
        }
        let own = self.tables[router].find(key, now);
        if own != Answer::Unknown {
            return own;
        }
        let mut found = Answer::Unknown;
        for other in self.others(router, key, true) {
            if !self.send(&Frame::OriginQuery(key)) || self.started[other] > now {
                continue;
            }
            let answer = self.tables[other].find(key, now);
            if self.send(&Frame::OriginAnswer(key, answer.clone())) && answer != Answer::Unknown {
                found = answer;
            }
        }
        match found {
            Answer::Unknown => self.read(router, key),
            found => found,
        }
    }

    /// The version of a stream that may have begun at any time of the last [`SPAN`].
    fn compute(&self, router: usize, key: Key, now: Instant) -> Answer {
        let since = Instant::ZERO + now.since(Instant::ZERO).saturating_sub(SPAN);
        let is_in_row = self.way == Way::ComputedFromRow;
        let started = self.started[router];
        let knows_shares = is_in_row || started == Instant::ZERO || started <= since;
        let (first, last) = (computed(key, since), computed(key, now));
        if knows_shares && first == last {
            Answer::Version(last)
        } else {
            Answer::Unknown
        }
    }

    fn end(&mut self, router: usize, now: Instant) {
        self.tables[router] = Table::default();
        self.started[router] = now + RESTART;
        // What the router had not written is lost.
        if self.writers.remove(&router).is_some() {
            self.store.retain(|_, stored| stored.written_at <= now);
        }
    }

    fn take_up(&mut self, broken: &Broken) {
        let fault = broken.fault as usize;
        self.counts.taken_up[fault] += 1;
        match self.find(broken.router, broken.key, broken.at) {
            Answer::Version(version) if version == broken.version => {
                self.counts.went_on[fault] += 1;
            }
            Answer::Version(_) => self.counts.joined += 1,
            Answer::Unknown | Answer::Ambiguous => {}
        }
    }
}

/// The version that a stream begins at if it follows from the id and the share of the new one.
fn computed(key: Key, now: Instant) -> backend::Version {
    let share = now.since(Instant::ZERO).as_secs_f64() / RELEASE.as_secs_f64();
    let point = key.0 as f64 / u64::MAX as f64;
    let name = if point < share { "v2" } else { "v1" };
    name.parse().expect("a version")
}

fn simulate(size: &Size, way: Way) -> Counts {
    let mut random = SmallRng::seed_from_u64(size.routers as u64);
    let mut fleet = Fleet::new(way, size.routers);
    let mut broken: BTreeMap<Instant, Vec<Broken>> = BTreeMap::new();
    let faults = DURATION.as_secs() / FAULT_INTERVAL.as_secs();
    for place in 0..faults as usize {
        let fault = Fault::ALL[place % 4];
        let at = Instant::ZERO + FAULT_INTERVAL * (place as u32 + 1);
        let hit: Vec<bool> = (0..size.routers)
            .map(|router| fault.hits(place, router, &mut random))
            .collect();
        let streams = size.rate * FAULT_INTERVAL.as_secs_f64() * size.routers as f64;
        let mut begun = Vec::new();
        for _ in 0..streams as usize {
            let age = FAULT_INTERVAL.mul_f64(random.random());
            let began = at - age;
            let (router, key) = (random.random_range(0..size.routers), Key(random.random()));
            let is_broken = random.random::<f64>() < (-age.div_duration_f64(MEAN_STREAM)).exp();
            let version = match way {
                Way::Computed | Way::ComputedFromRow => computed(key, began),
                _ => computed(Key(random.random()), began),
            };
            begun.push((began, router, key, version, is_broken && hit[router]));
        }
        begun.sort_by_key(|(began, ..)| *began);
        for (began, router, key, version, is_broken) in begun {
            if fleet.started[router] > began {
                continue;
            }
            fleet.begin(router, key, &version, began);
            if is_broken {
                let back = at + Duration::from_millis(random.random_range(20..400));
                let alive: Vec<usize> = (0..size.routers).filter(|index| !hit[*index]).collect();
                let (router, back) = match alive.get(random.random_range(0..alive.len().max(1))) {
                    Some(router) => (*router, back),
                    None => (router, back + RESTART),
                };
                broken.entry(back).or_default().push(Broken {
                    key,
                    version,
                    router,
                    at: back,
                    fault,
                });
            }
        }
        fleet.counts.records = fleet
            .tables
            .iter()
            .map(Table::len)
            .max()
            .unwrap_or_default();
        if fault != Fault::Resets {
            let hit_routers = (0..size.routers).filter(|router| hit[*router]);
            for router in hit_routers {
                fleet.end(router, at);
            }
        }
        fleet.readers.clear();
        for broken in std::mem::take(&mut broken).into_values().flatten() {
            fleet.take_up(&broken);
        }
    }
    fleet.counts
}

fn main() {
    for size in &SIZES {
        for way in WAYS {
            let counts = simulate(size, way);
            let router_seconds = size.routers as u64 * DURATION.as_secs();
            let went_on = counts.went_on.iter().zip(counts.taken_up);
            let shares = went_on.map(|(went_on, taken_up)| {
                format!("{:.3}", f64::from(*went_on) / f64::from(taken_up.max(1)))
            });
            println!(
                "routers={} way={way:?} taken_up={:?} went_on={} joined={} bytes_per_s={} records={} writes_per_s={:.1} stored_bytes_per_s={} reads_per_fault={}",
                size.routers,
                counts.taken_up,
                shares.collect::<Vec<_>>().join(","),
                counts.joined,
                counts.bytes / router_seconds,
                counts.records,
                counts.writes as f64 / DURATION.as_secs_f64(),
                counts.stored_bytes / DURATION.as_secs(),
                counts.reads * 4 / (DURATION.as_secs() / FAULT_INTERVAL.as_secs())
            );
        }
    }
}
