//! All processes are killed at the same moment while two versions serve side by side, and clients take
//! their streams up again.

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    engine::Engine,
    fleet::{self, Machines, Ports, Record, Router},
    store::Store,
    versions::{self, Stream},
};

const STREAMS: usize = 24;
/// When the processes are killed after the streams began, and how much later they start again.
const KILL: Duration = Duration::from_millis(1500);
const RESTART: Duration = Duration::from_millis(500);
/// `stable_window_ms` after the start, with a margin.
const IN_TOUCH: Duration = Duration::from_millis(3300);
/// When clients come back whose streams were not taken up before; the machines are in touch then.
const LATE: Duration = Duration::from_millis(5600);
/// The tries before that.
const EARLY_TRIES: usize = 2;
const DEADLINE: Duration = Duration::from_millis(12_000);

/// What came of one request of a client.
struct Try {
    is_new: bool,
    at: Instant,
    went_on: bool,
}

pub fn run(record: &str, has_trouble: bool) -> io::Result<Verdict> {
    let folder = env::temp_dir().join(format!("all-killed-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let record = Record::create(record)?;
    let verdict = play(&record, has_trouble, &folder);
    fs::remove_dir_all(&folder)?;
    verdict
}

fn play(record: &Record, has_trouble: bool, folder: &Path) -> io::Result<Verdict> {
    let ports = Ports::free();
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 55, 0, 1)), ports.store());
    let store = Store::start(address)?;
    store.put("op", "config", &versions::configuration());
    let places = [("i-a1", "west-a", "v1"), ("i-a2", "west-b", "v1"), ("i-b1", "west-a", "v2"), ("i-b2", "west-b", "v2")];
    let mut engines = Vec::new();
    for (index, (id, zone, version)) in places.into_iter().enumerate() {
        let ip = Ipv4Addr::new(127, 56, 0, index as u8 + 1);
        let address = SocketAddr::new(IpAddr::V4(ip), ports.store() - 1);
        let engine = Engine::start(id, zone, address, version, record)?;
        engine.register(&store, 1);
        engines.push(engine);
    }
    let ip = |index| Ipv4Addr::new(127, 57, 0, index as u8 + 1);
    let machines = Machines {
        folder: folder.to_path_buf(),
        ports,
        store: store.address,
        seeds: (0..3).map(ip).collect(),
    };
    let mut routers = Vec::new();
    for (index, zone) in ["west-a", "west-b", "west-c"].into_iter().enumerate() {
        routers.push(machines.start(&format!("edge-{zone}-1"), zone, ip(index), &[])?);
    }
    if !fleet::wait(Duration::from_secs(8), || routers.iter().all(Router::is_ready)) {
        return Ok(Verdict::NotRun);
    }
    record.line("three routers are ready; two runners of v1 and two of v2 serve side by side");
    thread::sleep(Duration::from_secs(5));
    let frontends: Vec<SocketAddr> = routers.iter().map(|router| router.frontend).collect();
    let tries = Mutex::new(Vec::new());
    let began = Instant::now();
    let mut in_touch_at = began;
    thread::scope(|scope| -> io::Result<()> {
        for index in 0..STREAMS {
            let (tries, frontends) = (&tries, &frontends);
            scope.spawn(move || client(index, frontends, began, has_trouble, record, tries));
            scope.spawn(move || new_client(index, frontends, began, record, tries));
        }
        thread::sleep(KILL.saturating_sub(began.elapsed()));
        if has_trouble {
            routers.iter_mut().for_each(Router::kill);
            record.line("all routers are killed");
            thread::sleep(RESTART);
            for router in &mut routers {
                machines.restart(router)?;
            }
            in_touch_at = Instant::now() + IN_TOUCH;
            record.line("all routers are started again");
        }
        Ok(())
    })?;
    drop(engines);
    Ok(judge(&tries.into_inner().unwrap(), in_touch_at, record))
}

/// A stream that breaks off and is taken up.
fn client(index: usize, routers: &[SocketAddr], began: Instant, has_trouble: bool, record: &Record, tries: &Mutex<Vec<Try>>) {
    let mut stream = Stream::new(format!("s{index}"));
    // Without trouble, the connections of the clients break.
    stream.stop_at = (!has_trouble).then_some(began + KILL);
    let origin = format!("{}-0", stream.name);
    let router = routers[index % routers.len()];
    let _ = stream.read(router, &origin, None, began + DEADLINE);
    stream.stop_at = None;
    record.line(&format!("{origin} at {router} broke off after event {}", stream.versions.len()));
    for number in 1..=EARLY_TRIES + 1 {
        if number > EARLY_TRIES {
            thread::sleep(LATE.saturating_sub(began.elapsed()));
        }
        let (at, before) = (Instant::now(), stream.versions.len());
        let attempt = format!("{}-{number}", stream.name);
        let router = routers[(index + number) % routers.len()];
        let ended = stream.read(router, &attempt, Some(&origin), began + DEADLINE);
        let (status, wait) = ended.unwrap_or((0, Duration::from_millis(200)));
        let went_on = stream.versions.len() > before;
        let (after, from, to) = (at.duration_since(began).as_millis(), before + 1, stream.versions.len());
        record.line(&format!("{attempt} sent {after} ms after the begin at {router}: {status}, events {from} to {to}"));
        tries.lock().unwrap().push(Try { is_new: false, at, went_on });
        if stream.is_whole {
            return;
        }
        thread::sleep(wait);
    }
}

/// A stream that begins when the others are taken up for the last time.
fn new_client(index: usize, routers: &[SocketAddr], began: Instant, record: &Record, tries: &Mutex<Vec<Try>>) {
    thread::sleep(LATE.saturating_sub(began.elapsed()));
    let mut stream = Stream::new(format!("n{index}"));
    let at = Instant::now();
    let attempt = format!("{}-0", stream.name);
    let ended = stream.read(routers[index % routers.len()], &attempt, None, at + DEADLINE);
    let status = ended.map_or(0, |(status, _)| status);
    record.line(&format!("{attempt}, a new stream: {status}, {} events", stream.versions.len()));
    let went_on = !stream.versions.is_empty();
    tries.lock().unwrap().push(Try { is_new: true, at, went_on });
}

fn judge(tries: &[Try], in_touch_at: Instant, record: &Record) -> Verdict {
    let count = |is_new: bool| {
        let counted = tries.iter().filter(|one| one.is_new == is_new && one.at >= in_touch_at);
        (counted.clone().count(), counted.filter(|one| one.went_on).count())
    };
    let ((taken_up, went_on), (new, begun)) = (count(false), count(true));
    let text = format!(
        "at machines in touch: {went_on} of {taken_up} streams that were taken up went on; {begun} of {new} new ones began"
    );
    record.line(&text);
    println!("{text}");
    if taken_up < 12 || begun * 2 < new {
        return Verdict::NotRun;
    }
    // The share that goes on is under half of the share of new streams that begin.
    if went_on * new * 2 < begun * taken_up { Verdict::Broken } else { Verdict::Held }
}
