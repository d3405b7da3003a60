//! Loads of the servers that a report does not name, sent in turns.
//!
//! A report names the busiest servers in each round. The others follow in slices: each
//! covers a range of the servers' hashes, and the ranges of one cycle cover all of them.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use units::time::Instant;

use crate::{
    load::{
        Load,
        buckets::{self, Buckets},
    },
    outlier::OutcomeCounts,
};

/// The most servers in a slice that names them, so that it fits one datagram together with
/// the routers to which it is relayed; each takes up to five bytes.
const MAX_SERVERS: usize = 220;
/// The most bytes of a slice by ranges, likewise.
const MAX_BUCKET_BYTES: usize = 1100;
/// How long a figure is used after it was received: two cycles of one sender and a round, so
/// that the loss of one datagram does not make a server look idle.
pub const FIGURE_TTL: Duration = Duration::from_millis(1800);
/// The number of turns in which a sender that sends in each round covers all servers: less
/// than a second.
pub const TURNS: usize = 4;
/// The end of the range of servers' hashes, which have 24 bits.
const HASH_END: u32 = 1 << 24;

/// The loads of the servers in one range of hashes, except those that the sender's last
/// report names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// The lowest hash in the range.
    pub first: u32,
    /// The highest hash in the range.
    pub last: u32,
    /// Requests in flight; other servers of the range have none.
    pub running: Running,
}

/// Requests in flight in a slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Running {
    /// By server, ordered by hash and delta-encoded. The first hash counts from the start of
    /// the range.
    Servers(Vec<(u32, u16)>),
    /// By range of [`Buckets`], if there are too many servers to name them. The first one
    /// begins where the slice begins.
    Buckets(Vec<u16>),
}

/// The loads that a report does not name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    /// The loads of servers that are known one by one, ordered by hash.
    pub loads: Vec<Load>,
    /// The requests at all others.
    pub buckets: Buckets,
}

impl Rest {
    /// A rest in which all servers are known, ordered by hash.
    pub fn new(loads: Vec<Load>) -> Self {
        Self {
            loads,
            buckets: Buckets::default(),
        }
    }

    fn is_empty(&self) -> bool {
        self.loads.is_empty() && self.buckets.is_empty()
    }

    /// The slice that covers the hashes from `first` to `last`.
    fn slice(&self, first: u32, last: u32) -> Slice {
        let begin = self.loads.partition_point(|load| load.server < first);
        let end = self.loads.partition_point(|load| load.server <= last);
        let loads = &self.loads[begin..end];
        let range = buckets::of(first)..=buckets::of(last);
        let has_buckets = range.clone().any(|bucket| self.buckets.running(bucket) > 0);
        if has_buckets || loads.len() > MAX_SERVERS {
            let mut sums = self.buckets.clone();
            for load in loads {
                sums.add(buckets::of(load.server), u32::from(load.running));
            }
            return bucket_slice(first, last, &sums);
        }
        let mut previous = first;
        let steps = loads.iter().map(|load| {
            let step = load.server - previous;
            previous = load.server;
            (step, load.running)
        });
        Slice {
            first,
            last,
            running: Running::Servers(steps.collect()),
        }
    }
}

/// The slice of `sums` that covers the hashes from `first` to `last`, or as many of them as
/// fit a datagram.
fn bucket_slice(first: u32, last: u32, sums: &Buckets) -> Slice {
    let mut bytes = 0;
    let mut end = last;
    let mut running = Vec::new();
    for bucket in buckets::of(first)..=buckets::of(last) {
        let sum = u16::try_from(sums.running(bucket)).unwrap_or(u16::MAX);
        bytes += encoded_length(sum);
        if bytes > MAX_BUCKET_BYTES {
            end = buckets::first_hash(bucket) - 1;
            break;
        }
        running.push(sum);
    }
    Slice {
        first,
        last: end,
        running: Running::Buckets(running),
    }
}

/// The length of a number in a datagram, in bytes.
const fn encoded_length(number: u16) -> usize {
    match number {
        0..0x80 => 1,
        0x80..0x4000 => 2,
        _ => 3,
    }
}

/// The range that the next slice of a sender covers.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    next: u32,
    /// Until when slices are sent although the reports name every server again, so that
    /// receivers learn that the others have become idle.
    until: Instant,
}

impl Rotation {
    /// The next slice of the loads that the report does not name. All servers are covered
    /// within `turns` calls, which are two to [`TURNS`].
    pub fn next(&mut self, rest: &Rest, turns: usize, now: Instant) -> Option<Slice> {
        if !rest.is_empty() {
            self.until = now + FIGURE_TTL;
        }
        if now >= self.until {
            return None;
        }
        let turns = turns.clamp(2, TURNS).next_power_of_two();
        let width = HASH_END / u32::try_from(turns).unwrap_or(1);
        let first = self.next;
        let last = (first + width).min(HASH_END) - 1;
        let slice = rest.slice(first, last);
        self.next = (slice.last + 1) % HASH_END;
        Some(slice)
    }
}

/// The last known loads of all servers in the reports and slices of one sum.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    by_server: BTreeMap<u32, (u16, Instant)>,
    by_bucket: BTreeMap<u16, (u16, Instant)>,
    /// The loads of the servers with requests in the last report.
    named: Vec<Load>,
    /// Until when servers that a report does not name may have requests.
    until: Instant,
}

impl Figures {
    /// Applies a slice.
    ///
    /// A server in its range that neither the slice nor the last report names is idle.
    pub fn apply(&mut self, slice: &Slice, now: Instant) {
        if slice.first > slice.last || slice.last >= HASH_END {
            return;
        }
        let expires_at = now + FIGURE_TTL;
        if now >= self.until {
            self.by_server.clear();
            self.by_bucket.clear();
        }
        self.until = expires_at;
        let range = slice.first..=slice.last;
        self.by_server.retain(|server, _| !range.contains(server));
        // A server that the next report does not name has its last figure until its turn.
        for load in &self.named {
            self.by_server
                .entry(load.server)
                .or_insert((load.running, expires_at));
        }
        let first = buckets::of(slice.first);
        let covered = first..=buckets::of(slice.last);
        self.by_bucket.retain(|bucket, _| !covered.contains(bucket));
        match &slice.running {
            Running::Servers(steps) => {
                let mut server = slice.first;
                for &(step, running) in steps {
                    // Input from the network may overflow or leave the range.
                    server = server.saturating_add(step);
                    if server > slice.last {
                        return;
                    }
                    self.by_server.insert(server, (running, expires_at));
                }
            }
            Running::Buckets(sums) => {
                let known = covered.zip(sums).filter(|(_, sum)| **sum > 0);
                self.by_bucket
                    .extend(known.map(|(bucket, &sum)| (bucket, (sum, expires_at))));
            }
        }
    }

    /// Whether a slice was received recently.
    pub fn is_current(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Adds to the loads of a report those of the servers that it does not name.
    ///
    /// A report also holds the outcomes of servers without requests. Between full reports these
    /// are servers that it named earlier, so their last figures count.
    pub fn complete(&mut self, mut loads: Vec<Load>, now: Instant) -> Vec<Load> {
        self.named.clone_from(&loads);
        self.named.retain(|load| load.running > 0);
        if !self.is_current(now) {
            return loads;
        }
        self.by_server
            .retain(|_, (_, expires_at)| now < *expires_at);
        let mut others = self.by_server.clone();
        for load in &mut loads {
            let figure = others.remove(&load.server);
            if load.running == 0 {
                load.running = figure.map_or(0, |(running, _)| running);
            }
        }
        for load in &self.named {
            self.by_server
                .insert(load.server, (load.running, now + FIGURE_TTL));
        }
        let others = others.into_iter();
        let others = others.filter(|(_, (running, _))| *running > 0);
        loads.extend(others.map(|(server, (running, _))| Load {
            server,
            running,
            outcomes: OutcomeCounts::default(),
        }));
        loads
    }

    /// Adds the requests at servers that are not known one by one to `sums`.
    pub fn add_buckets(&self, sums: &mut Buckets, now: Instant) {
        for (&bucket, &(running, expires_at)) in &self.by_bucket {
            if now < expires_at {
                sums.add(bucket, u32::from(running));
            }
        }
    }
}
