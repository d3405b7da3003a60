//! The resident memory of cache indexes and topologies.

use std::{fs, hint};

use placement::{CacheIndex, Settings, Topology, topology};
use units::{chat, time::Instant};

const ENGINES: usize = 40;
const CHATS: u64 = 16_384;
const TOPOLOGIES: usize = 200;
const SERVERS: usize = 1_000;

/// The resident memory of the process, in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = value
        .and_then(|value| value.parse().ok())
        .expect("VmRSS in kilobytes");
    kilobytes * 1024
}

fn report(measure: &str, bytes: u64, count: u64) {
    println!(
        "measure={measure} value={} unit=bytes count={count}",
        bytes / count
    );
}

fn main() {
    let before = resident_bytes();
    let indexes: Vec<CacheIndex> = (0..ENGINES as u64)
        .map(|engine| {
            let mut index = CacheIndex::new(Settings::default());
            for number in 0..CHATS {
                let key = (engine * CHATS + number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                index.record_served(chat::Key(key), 1000, Instant::from_millis(number));
            }
            index
        })
        .collect();
    let after = resident_bytes();
    report("memory_per_chat", after - before, ENGINES as u64 * CHATS);
    let topologies: Vec<Topology> = (0..TOPOLOGIES)
        .map(|_| {
            let members = (0..SERVERS).map(|number| topology::Member {
                id: format!("engine-{number}").parse().expect("a valid name"),
                zone: format!("zone-{}", number % 3)
                    .parse()
                    .expect("a valid name"),
                weight: 1,
                state: topology::State::Eligible,
            });
            Topology::new(members.collect())
        })
        .collect();
    let with_topologies = resident_bytes();
    report(
        "memory_per_server",
        with_topologies - after,
        (TOPOLOGIES * SERVERS) as u64,
    );
    hint::black_box((indexes, topologies));
}
