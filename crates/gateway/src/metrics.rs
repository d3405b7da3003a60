//! The metrics of a router, exported in the Prometheus text format.
//!
//! Label values come only from fixed sets, so that callers cannot increase the number of
//! series.

mod held;
mod labels;
mod load_reports;

use std::{sync::atomic::AtomicU64, time::Duration};

use framing::Tracker;
use hyper::StatusCode;
use prometheus_client::{
    encoding::text,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use rollout::Stage;
use units::{availability, time::Instant};
use verdict::Refusal;

use crate::{
    discard,
    pool::{Outcome, Standing},
    serve::Finding,
    silence::Health,
    source::Topic,
    staleness::Staleness,
};

/// The upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 2.0, 5.0];

/// Whether bytes between two routers stay within a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Both routers are in the same zone.
    OwnZone,
    /// They are in different zones, or the zone of one is not known.
    OtherZone,
}

impl Distance {
    /// The distance between two zones.
    pub fn between(own: Option<&availability::Zone>, other: Option<&availability::Zone>) -> Self {
        if own.is_some() && own == other {
            Self::OwnZone
        } else {
            Self::OtherZone
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::OwnZone => "own",
            Self::OtherZone => "other",
        }
    }
}

/// The highest rank that is counted on its own; it stands for all less urgent ones too.
const MAX_RANK_LABEL: u8 = 3;
/// The size of the UDP and IP headers of a datagram, in bytes.
const DATAGRAM_HEADERS: u64 = 28;

/// The metrics of one router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    refusals: Family<labels::Refusal, Counter>,
    slot_refusals: Family<labels::SlotRefusal, Counter>,
    rests: Family<labels::Rest, Counter>,
    discarded_bytes: Counter,
    responses: Family<labels::Response, Counter>,
    response_ends: Family<labels::End, Counter>,
    calls: Family<labels::Call, Counter>,
    head_seconds: Histogram,
    first_byte_seconds: Histogram,
    wait_seconds: Histogram,
    gap_seconds: Histogram,
    attempts: Family<labels::Attempt, Counter>,
    throttled_attempts: Counter,
    oversized: Counter,
    crashes: Family<labels::Crash, Counter>,
    path_changes: Family<labels::Path, Counter>,
    tunnelled_attempts: Counter,
    streams_taken_up: Family<labels::TakenUp, Counter>,
    journal_calls: Family<labels::JournalCall, Counter>,
    journaled: Counter,
    not_journaled: Counter,
    carried_tunnels: Family<labels::Carried, Counter>,
    standings: Family<labels::Standing, Counter>,
    checks: Family<labels::Check, Counter>,
    silences: Family<labels::Silence, Counter>,
    missing_heads: Counter,
    missing_head_bytes: Counter,
    rollout_stages: Family<labels::Stage, Counter>,
    ages: Family<labels::View, Gauge<f64, AtomicU64>>,
    control_bytes: Family<labels::Direction, Counter>,
    peer_bytes: Family<labels::Peer, Counter>,
    config: Gauge,
    config_bytes: Gauge,
    unusable: Gauge,
    unusable_servers: Gauge,
    settings_refused: Gauge,
    servers: Gauge,
    members: Gauge,
    load_reports: Family<load_reports::Labels, Counter>,
    held: held::Held,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::default();
        let refusals = Family::default();
        let slot_refusals = Family::default();
        let rests = Family::default();
        let discarded_bytes = Counter::default();
        let responses = Family::default();
        let response_ends = Family::default();
        let calls = Family::default();
        let head_seconds = Histogram::new(BUCKETS);
        let first_byte_seconds = Histogram::new(BUCKETS);
        let wait_seconds = Histogram::new(BUCKETS);
        let gap_seconds = Histogram::new(BUCKETS);
        let attempts = Family::default();
        let throttled_attempts = Counter::default();
        let oversized = Counter::default();
        let crashes = Family::default();
        let path_changes = Family::default();
        let tunnelled_attempts = Counter::default();
        let streams_taken_up = Family::default();
        let journal_calls = Family::default();
        let journaled = Counter::default();
        let not_journaled = Counter::default();
        let carried_tunnels = Family::default();
        let standings = Family::default();
        let checks = Family::default();
        let silences = Family::default();
        let missing_heads = Counter::default();
        let missing_head_bytes = Counter::default();
        let rollout_stages = Family::default();
        let ages = Family::default();
        let control_bytes = Family::default();
        let peer_bytes = Family::default();
        let config = Gauge::default();
        let config_bytes = Gauge::default();
        let unusable = Gauge::default();
        let unusable_servers = Gauge::default();
        let settings_refused = Gauge::default();
        let servers = Gauge::default();
        let members = Gauge::default();
        registry.register("weir_refusals", "Final refusals", Family::clone(&refusals));
        registry.register(
            "weir_slot_refusals",
            "Requests refused for lack of slots, by rank and by whether their workspace had more than its share",
            Family::clone(&slot_refusals),
        );
        registry.register(
            "weir_discarded_rests",
            "Requests that were refused while their callers still sent, by how reading on ended",
            Family::clone(&rests),
        );
        registry.register(
            "weir_discarded_bytes",
            "Bytes that callers sent after their refusal",
            discarded_bytes.clone(),
        );
        registry.register(
            "weir_answers",
            "Answers by status",
            Family::clone(&responses),
        );
        registry.register(
            "weir_response_ends",
            "Ends of response bodies, by what delimits them and by outcome",
            Family::clone(&response_ends),
        );
        registry.register(
            "weir_store_calls",
            "Calls to the store",
            Family::clone(&calls),
        );
        registry.register(
            "weir_head_seconds",
            "Time to the head of an answer",
            head_seconds.clone(),
        );
        registry.register(
            "weir_first_byte_seconds",
            "Time to the first byte of a body",
            first_byte_seconds.clone(),
        );
        registry.register(
            "weir_wait_seconds",
            "Time until a request got a place at a server, or none",
            wait_seconds.clone(),
        );
        registry.register(
            "weir_gap_seconds",
            "Longest pause between two pieces of an answer",
            gap_seconds.clone(),
        );
        registry.register(
            "weir_attempts",
            "Attempts at servers by outcome",
            Family::clone(&attempts),
        );
        registry.register(
            "weir_throttled_attempts",
            "Attempts at servers that had asked this router to send nothing",
            throttled_attempts.clone(),
        );
        registry.register(
            "weir_oversized_requests",
            "Requests that need more memory than an engine of their service has",
            oversized.clone(),
        );
        registry.register(
            "weir_suspected_requests",
            "Requests of this router in flight at a server that crashed",
            Family::clone(&crashes),
        );
        registry.register(
            "weir_path_changes",
            "Services whose servers this router stopped or started to reach",
            Family::clone(&path_changes),
        );
        registry.register(
            "weir_tunnelled_attempts",
            "Attempts that were sent through another router",
            tunnelled_attempts.clone(),
        );
        registry.register(
            "weir_streams_taken_up",
            "Streams that callers took up, by how the version that began them was found",
            Family::clone(&streams_taken_up),
        );
        registry.register(
            "weir_journal_calls",
            "Calls that write the versions which began streams to the store, by result",
            Family::clone(&journal_calls),
        );
        registry.register(
            "weir_streams_journaled",
            "Streams whose version this router has written to the store",
            journaled.clone(),
        );
        registry.register(
            "weir_streams_not_journaled",
            "Streams whose version was not written because too many waited for the store",
            not_journaled.clone(),
        );
        registry.register(
            "weir_carried_tunnels",
            "Connections to servers that other routers asked for",
            Family::clone(&carried_tunnels),
        );
        registry.register(
            "weir_rollout_stages",
            "Stages of roll-outs that this router has entered",
            Family::clone(&rollout_stages),
        );
        registry.register(
            "weir_server_standings",
            "Times that a server came to stand so",
            Family::clone(&standings),
        );
        registry.register(
            "weir_server_checks",
            "Checks of silent servers on new connections, by result",
            Family::clone(&checks),
        );
        registry.register(
            "weir_silences",
            "Requests whose server was silent for so long that it was checked, by what followed",
            Family::clone(&silences),
        );
        registry.register(
            "weir_missing_heads",
            "Attempts at servers that sent something, but no head of a response",
            missing_heads.clone(),
        );
        registry.register(
            "weir_missing_head_bytes",
            "Bytes that servers sent in these attempts",
            missing_head_bytes.clone(),
        );
        registry.register(
            "weir_view_age_seconds",
            "Time since the store confirmed a view",
            Family::clone(&ages),
        );
        registry.register(
            "weir_peer_bytes",
            "Bytes between routers, by kind and by whether they leave the zone",
            Family::clone(&peer_bytes),
        );
        registry.register(
            "weir_control_bytes",
            "Bytes of datagrams between routers, headers of UDP and IP included",
            Family::clone(&control_bytes),
        );
        registry.register(
            "weir_config_version",
            "Configuration in force",
            config.clone(),
        );
        registry.register(
            "weir_config_bytes",
            "Size of the configuration in force as it is stored",
            config_bytes.clone(),
        );
        registry.register(
            "weir_config_unusable",
            "Rows and entries of the configuration that cannot be used and are not in force",
            unusable.clone(),
        );
        registry.register(
            "weir_servers_unusable",
            "Rows of servers that cannot be used",
            unusable_servers.clone(),
        );
        registry.register(
            "weir_settings_refused",
            "1 while the settings file cannot be used and former settings are in force",
            settings_refused.clone(),
        );
        registry.register("weir_servers", "Registered servers", servers.clone());
        registry.register("weir_members", "Registered routers", members.clone());
        let load_reports = load_reports::register(&mut registry);
        let held = held::Held::register(&mut registry);
        Self {
            registry,
            load_reports,
            refusals,
            slot_refusals,
            rests,
            discarded_bytes,
            responses,
            response_ends,
            calls,
            head_seconds,
            first_byte_seconds,
            wait_seconds,
            gap_seconds,
            attempts,
            throttled_attempts,
            oversized,
            crashes,
            path_changes,
            tunnelled_attempts,
            streams_taken_up,
            journal_calls,
            journaled,
            not_journaled,
            carried_tunnels,
            standings,
            checks,
            silences,
            missing_heads,
            missing_head_bytes,
            rollout_stages,
            ages,
            control_bytes,
            peer_bytes,
            config,
            config_bytes,
            unusable,
            unusable_servers,
            settings_refused,
            servers,
            members,
            held,
        }
    }
}

impl Metrics {
    /// Counts a final refusal.
    pub fn refused(&self, refusal: &Refusal) {
        let labels = labels::Refusal {
            code: refusal.code.to_string(),
            verdict: refusal.verdict.to_string(),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts the rest of a refused request, of which `bytes` were read.
    pub fn rest_discarded(&self, end: discard::End, bytes: u64) {
        let labels = labels::Rest { end: end.name() };
        self.rests.get_or_create(&labels).inc();
        self.discarded_bytes.inc_by(bytes);
    }

    /// Records that the head of a response was sent after `waited`.
    pub fn response_started(&self, status: StatusCode, waited: Duration) {
        let labels = labels::Response {
            status: status.as_u16(),
        };
        self.responses.get_or_create(&labels).inc();
        self.head_seconds.observe(waited.as_secs_f64());
    }

    /// Records that the first byte of a response body was sent after `waited`.
    pub fn first_byte(&self, waited: Duration) {
        self.first_byte_seconds.observe(waited.as_secs_f64());
    }

    /// Counts the end of the body that `tracker` has followed.
    pub fn response_ended(&self, tracker: &Tracker, outcome: Outcome) {
        let labels = labels::End {
            delimiter: tracker.delimiter().name(),
            format: tracker.format().name(),
            inside_event: tracker.is_inside_event().to_string(),
            outcome: outcome.to_string(),
        };
        self.response_ends.get_or_create(&labels).inc();
    }

    /// Records that a request was placed at a server or refused after `waited`.
    pub fn queue_wait(&self, waited: Duration) {
        self.wait_seconds.observe(waited.as_secs_f64());
    }

    /// Counts a request that was refused for lack of slots.
    pub fn slot_refused(&self, rank: u8, is_over_share: bool) {
        let labels = labels::SlotRefusal {
            rank: rank.min(MAX_RANK_LABEL),
            over_share: if is_over_share { "yes" } else { "no" },
        };
        self.slot_refusals.get_or_create(&labels).inc();
    }

    /// Records the longest gap between two chunks of a response.
    pub fn longest_gap(&self, gap: Duration) {
        self.gap_seconds.observe(gap.as_secs_f64());
    }

    /// Counts an attempt that ended with `outcome`.
    pub fn attempt_ended(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&labels::Attempt { outcome })
            .inc();
    }

    /// Counts a check of a silent server.
    pub fn server_checked(&self, health: Health) {
        let labels = labels::Check {
            result: health.name(),
        };
        self.checks.get_or_create(&labels).inc();
    }

    /// Counts a request whose server was silent.
    pub fn silence_ended(&self, outcome: &'static str) {
        self.silences
            .get_or_create(&labels::Silence { outcome })
            .inc();
    }

    /// Counts an attempt whose server sent so many bytes, but no head of a response.
    pub fn head_missing(&self, bytes: u64) {
        self.missing_heads.inc();
        self.missing_head_bytes.inc_by(bytes);
    }

    /// Counts an attempt at a server that had asked this router to send nothing.
    pub fn sent_while_throttled(&self) {
        self.throttled_attempts.inc();
    }

    /// Counts a request that needs more memory than an engine of its service has.
    pub fn oversized(&self) {
        self.oversized.inc();
    }

    /// Counts a request that was in flight at a server that crashed, and whether the crash
    /// adds a strike against it.
    pub fn crash_confirmed(&self, is_counted: bool) {
        let counted = if is_counted { "yes" } else { "no" };
        self.crashes.get_or_create(&labels::Crash { counted }).inc();
    }

    /// Counts that this router has lost its paths to the servers of a service, or has reached
    /// them again.
    pub fn path_changed(&self, is_restored: bool) {
        let state = if is_restored { "restored" } else { "lost" };
        self.path_changes
            .get_or_create(&labels::Path { state })
            .inc();
    }

    /// Counts an attempt that is sent through another router.
    pub fn tunnelled(&self) {
        self.tunnelled_attempts.inc();
    }

    /// Counts a stream that its caller takes up.
    pub fn stream_taken_up(&self, finding: Finding) {
        let labels = labels::TakenUp {
            finding: finding.name(),
        };
        self.streams_taken_up.get_or_create(&labels).inc();
    }

    /// Counts a connection to a server that another router asked for.
    pub fn tunnel_carried(&self, result: &'static str) {
        let labels = labels::Carried { result };
        self.carried_tunnels.get_or_create(&labels).inc();
    }

    /// Counts a change of a server to `standing`.
    pub fn standing_changed(&self, standing: Standing) {
        let labels = labels::Standing {
            standing: standing.name(),
        };
        self.standings.get_or_create(&labels).inc();
    }

    /// Counts a stage of a roll-out that this router enters.
    pub fn rollout_stage_reached(&self, stage: Stage) {
        let labels = labels::Stage {
            stage: stage.name(),
        };
        self.rollout_stages.get_or_create(&labels).inc();
    }

    /// Sets the ages of the replicated views at `now`.
    pub fn set_ages(&self, ages: &Staleness, now: Instant) {
        let views = [
            (Topic::Configuration, ages.configuration(now)),
            (Topic::Servers, ages.servers(now)),
        ];
        for (topic, age) in views {
            let labels = labels::View {
                topic: topic.name(),
            };
            self.ages.get_or_create(&labels).set(age.as_secs_f64());
        }
    }

    /// Counts a datagram of `length` bytes sent to another router.
    pub fn datagram_sent(&self, kind: &'static str, distance: Distance, length: usize) {
        self.add_control_bytes("sent", length);
        self.peer_bytes(kind, distance, length as u64);
    }

    /// Counts bytes between this router and another, without headers.
    pub fn peer_bytes(&self, kind: &'static str, distance: Distance, bytes: u64) {
        let labels = labels::Peer {
            kind,
            zone: distance.name(),
        };
        self.peer_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts a datagram of `length` bytes received from another router.
    pub fn datagram_received(&self, length: usize) {
        self.add_control_bytes("received", length);
    }

    fn add_control_bytes(&self, direction: &'static str, length: usize) {
        let bytes = DATAGRAM_HEADERS + length as u64;
        let labels = labels::Direction { direction };
        self.control_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// The bytes of datagrams sent to and received from other routers so far.
    pub fn control_bytes(&self) -> (u64, u64) {
        let total = |direction| {
            let labels = labels::Direction { direction };
            self.control_bytes.get_or_create(&labels).get()
        };
        (total("sent"), total("received"))
    }

    /// Counts a store call that ended with `result`.
    pub fn store_called(&self, topic: &'static str, result: &'static str) {
        let labels = labels::Call { topic, result };
        self.calls.get_or_create(&labels).inc();
    }

    /// Sets the version and size of the configuration in force.
    pub fn set_config(&self, version: u64, bytes: usize) {
        self.config.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.config_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the number of rows and entries of the configuration that cannot be used.
    pub fn set_unusable(&self, count: usize) {
        self.unusable.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a call that writes the journal.
    pub fn journal_called(&self, is_applied: bool) {
        let call = labels::JournalCall::new(is_applied);
        self.journal_calls.get_or_create(&call).inc();
    }

    /// Counts streams whose version was written to the journal.
    pub fn journal_written(&self, count: usize) {
        self.journaled.inc_by(count as u64);
    }

    /// Counts streams whose version is not written to the journal.
    pub fn journal_dropped(&self, count: usize) {
        self.not_journaled.inc_by(count as u64);
    }

    /// Sets the number of rows of servers that cannot be used.
    pub fn set_unusable_servers(&self, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.unusable_servers.set(count);
    }

    /// Sets whether the settings file cannot be used.
    pub fn set_settings_refused(&self, is_refused: bool) {
        self.settings_refused.set(i64::from(is_refused));
    }

    /// Sets the numbers of registered servers and routers.
    pub fn set_sizes(&self, servers: usize, members: usize) {
        self.servers.set(i64::try_from(servers).unwrap_or(i64::MAX));
        self.members.set(i64::try_from(members).unwrap_or(i64::MAX));
    }

    /// Sets what is held for callers and servers that read slowly.
    pub fn set_held(&self, usage: buffers::Usage) {
        self.held.set(usage);
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let mut buffer = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut buffer, &self.registry);
        buffer
    }
}
