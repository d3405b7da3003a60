//! What a router believes, as a page for people on call.

use std::fmt;

use units::{availability, backend, host, pool, time::Instant};

use crate::{
    ages::Ages,
    pool::{Server, Standing},
    readiness::Readiness,
    shutdown::Phase,
};

/// What a router believes of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The server.
    pub server: backend::Server,
    /// Its service.
    pub pool: pool::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Requests of this router in flight.
    pub running: u32,
    /// Requests of all routers in flight, as far as known.
    pub load: u32,
    /// The most requests that it may hold now.
    pub bound: f64,
    /// Whether it takes requests.
    pub standing: Standing,
    /// Whether it is cold, or may have started anew.
    pub is_cold: bool,
    /// Whether it gets nothing new: it drains, or its zone is out.
    pub is_leaving: bool,
    /// How much longer than its load explains it lately took, in milliseconds.
    pub lag_ms: u64,
}

impl Row {
    /// The row of `server` at `now`.
    pub fn new(
        pool: &pool::Id,
        server: &Server,
        bound: f64,
        standing: Standing,
        now: Instant,
    ) -> Self {
        Self {
            server: server.name().clone(),
            pool: pool.clone(),
            zone: server.zone().clone(),
            running: server.running(),
            load: server.load(),
            bound,
            standing,
            is_cold: server.is_cold(now),
            is_leaving: server.is_leaving(),
            lag_ms: server.lag_us(now) / 1000,
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "server={} pool={} zone={} standing={} cold={} leaving={} running={} load={} \
             bound={:.1} lag_ms={}",
            self.server,
            self.pool,
            self.zone,
            self.standing,
            self.is_cold,
            self.is_leaving,
            self.running,
            self.load,
            self.bound,
            self.lag_ms
        )
    }
}

/// What the task that knows the servers believes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The servers, by service and name.
    pub servers: Vec<Row>,
    /// Requests that wait, by service.
    pub queued: Vec<(pool::Id, usize)>,
    /// How many routers share bounds.
    pub members: usize,
    /// How many other routers told of their requests in flight.
    pub reporting_peers: usize,
}

/// What the first line of the page says.
#[derive(Debug)]
pub struct Header<'a> {
    /// This router.
    pub host: &'a host::Id,
    /// What it misses to serve requests.
    pub readiness: Readiness,
    /// How far its process has come in its life.
    pub phase: Phase,
    /// How old its views are.
    pub ages: &'a Ages,
    /// The present instant.
    pub now: Instant,
}

/// Writes the page.
pub fn page(header: &Header<'_>, report: &Report) -> String {
    let mut lines = vec![format!(
        "router={} readiness=\"{}\" phase={:?} config_age_ms={} servers_age_ms={} members={} \
         heard={}",
        header.host,
        header.readiness,
        header.phase,
        header.ages.configuration(header.now).as_millis(),
        header.ages.servers(header.now).as_millis(),
        report.members,
        report.reporting_peers
    )];
    let queued = report.queued.iter();
    lines.extend(queued.map(|(pool, count)| format!("pool={pool} waiting={count}")));
    lines.extend(report.servers.iter().map(Row::to_string));
    lines.push(String::new());
    lines.join("\n")
}
