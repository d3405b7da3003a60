//! Concurrency limit of one backend server.

use std::time::Duration;

use units::time::Instant;

use crate::{Report, Settings};

/// The limit of a server that is cold.
const COLD_LIMIT: f64 = 1.0;
/// The weight of the newest first token in the typical one.
const BASELINE_GAIN: f64 = 0.02;
/// The same while the server may be cold, and for a sudden one.
const SLOW_BASELINE_GAIN: f64 = 0.005;
/// How many mean deviations a first token is above the typical one to be sudden.
const SPIKE_DEVIATIONS: f64 = 3.0;
/// Below this part of its target no first token is a sign of load.
const GROWTH_RATIO_FLOOR: f64 = 0.1;
/// Below this part of its target no first token is sudden.
const SPIKE_RATIO_FLOOR: f64 = 0.3;

/// How the limit moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It grows fast from one until a sign of load, while first tokens come easily.
    Cold,
    /// It grows slowly and falls on a sign of load.
    Warm,
}

/// When the first token of a request arrived.
#[derive(Clone, Copy, Debug)]
pub struct FirstToken {
    /// When the request was admitted.
    pub admitted_at: Instant,
    /// When its first token was due.
    pub due: Instant,
    /// When it arrived, or the present instant while it has not.
    pub arrived_at: Instant,
}

impl FirstToken {
    /// The time it took over the time it was allowed.
    fn ratio(&self) -> f64 {
        let allowed = self
            .due
            .since(self.admitted_at)
            .max(Duration::from_micros(1));
        self.arrived_at.since(self.admitted_at).as_secs_f64() / allowed.as_secs_f64()
    }
}

/// How many requests a backend server may run at once.
///
/// The limit starts at one after a start or a detected restart and grows with
/// work that completed in time. It falls at once on late first tokens, errors
/// and restarts, without a warning and without a timer. In between it settles
/// where a set share of first tokens is late.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    phase: Phase,
    /// Logarithm of first token time over its target on the warm server, smoothed.
    baseline: f64,
    /// Its mean deviation.
    deviation: f64,
    /// When the server was last found to be cold.
    cold_since: Instant,
    /// Late first tokens in a row.
    consecutive_late: u32,
    /// First tokens in a row that are late by the inflation factor.
    consecutive_inflated: u32,
    /// First tokens in a row that took much longer than the typical one.
    consecutive_spikes: u32,
    /// Requests admitted before this instant say nothing about the present limit.
    decreased_at: Instant,
    has_decreased: bool,
    /// When the server was last known to be the one that the limit was learned on.
    confirmed_at: Instant,
    boot: Option<u64>,
    seq: u64,
    capacity: u32,
}

impl Limit {
    /// The limit of a server of which nothing is known.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        Self {
            value: COLD_LIMIT,
            phase: Phase::Cold,
            baseline: settings.initial_baseline.ln(),
            deviation: 0.0,
            cold_since: now,
            consecutive_late: 0,
            consecutive_inflated: 0,
            consecutive_spikes: 0,
            decreased_at: now,
            has_decreased: false,
            confirmed_at: now,
            boot: None,
            seq: 0,
            capacity: 0,
        }
    }

    /// Requests that may run at once, at least one.
    pub fn get(&self, settings: &Settings) -> u32 {
        let max = match self.capacity {
            0 => settings.max_concurrency,
            capacity => capacity.min(settings.max_concurrency),
        };
        (self.value as u32).clamp(1, max.max(1))
    }

    /// Whether the last first token was late or sudden.
    pub fn has_recent_delay(&self) -> bool {
        self.consecutive_late > 0 || self.consecutive_spikes > 0
    }

    /// How the limit moves at present.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes over the limit that an earlier owner learned.
    pub fn inherit(&mut self, limit: u32, now: Instant) {
        self.value = f64::from(limit.max(1));
        self.confirmed_at = now;
    }

    /// Judges a first token, or its absence so far.
    ///
    /// One late token costs as much as it takes `1 / late_share` tokens in time
    /// to regain, so that the limit settles where that share is late. Several
    /// in a row are no chance any more.
    pub fn first_token(&mut self, token: FirstToken, settings: &Settings, now: Instant) {
        let predates_decrease = token.admitted_at < self.decreased_at;
        if predates_decrease && self.value <= COLD_LIMIT {
            return;
        }
        let ratio = token.ratio();
        if self.update_baseline(ratio, settings) {
            self.halve_on_spikes(now);
        }
        if ratio <= 1.0 {
            self.consecutive_late = 0;
            self.consecutive_inflated = 0;
            return;
        }
        self.consecutive_inflated = if ratio >= f64::from(settings.inflation_factor) {
            self.consecutive_inflated + 1
        } else {
            0
        };
        if self.consecutive_inflated >= settings.consecutive_inflated_threshold {
            self.reset(now);
        } else if !predates_decrease {
            self.decrease_on_late(settings, now);
        }
    }

    fn decrease_on_late(&mut self, settings: &Settings, now: Instant) {
        self.consecutive_late += 1;
        if self.consecutive_late >= settings.consecutive_late_threshold {
            return self.halve(now);
        }
        let on_time_per_late = (1.0 - settings.late_share) / settings.late_share;
        self.value = (self.value - on_time_per_late / self.value).max(COLD_LIMIT);
        self.leave_cold_phase(now);
    }

    /// How long a first token that is allowed `target` may take before it is
    /// doubtful that the server is still warm.
    pub fn slow_after(&self, target: Duration, settings: &Settings) -> Duration {
        target.mul_f64(self.spike_ratio(settings).min(1.0))
    }

    /// A request completed whose first token was judged before. The limit grows
    /// if it was `in_use` and the first token came easily.
    ///
    /// While the server may be cold, a request counts by the time it ran. Short
    /// ones would otherwise raise the limit faster than a server warms up.
    pub fn completed(
        &mut self,
        token: FirstToken,
        in_use: bool,
        settings: &Settings,
        now: Instant,
    ) {
        let ratio = token.ratio();
        if token.admitted_at < self.decreased_at || ratio > 1.0 {
            return;
        }
        self.confirmed_at = now;
        if !in_use {
            return;
        }
        if ratio > self.max_growth_ratio(settings, now) {
            return;
        }
        let run_fraction = now.since(token.admitted_at).as_secs_f64()
            / settings.full_growth_run_time.as_secs_f64();
        self.value += match self.phase {
            Phase::Cold => settings.growth_step * run_fraction.min(1.0),
            Phase::Warm => settings.growth_step.min(1.0 / self.value),
        };
        self.value = self.value.min(f64::from(settings.max_concurrency.max(1)));
    }

    /// The server failed a request.
    ///
    /// A crash fails all requests in flight, so that the limit is at one after
    /// a few of them; a single failure costs half.
    pub fn failed(&mut self, now: Instant) {
        self.halve(now);
    }

    /// A new owner finds the server carrying `foreign` requests of others.
    ///
    /// Those run already; the limit starts above them as it starts above none
    /// on an idle server. Once it has fallen it is raised by own work alone.
    pub fn raise_above_foreign(&mut self, foreign: u32) {
        if self.phase == Phase::Cold && !self.has_decreased {
            self.value = self.value.max(f64::from(foreign) + COLD_LIMIT);
        }
    }

    /// Takes in a load report. Returns whether it shows a restart.
    ///
    /// A server that restarts between two reports does not say so: another boot
    /// shows it, or counters that went back.
    pub fn report(&mut self, report: &Report, now: Instant) -> bool {
        let restarted = self.boot.is_some_and(|boot| boot != report.boot)
            || (self.boot == Some(report.boot) && report.seq < self.seq);
        self.boot = Some(report.boot);
        self.seq = report.seq;
        self.capacity = report.capacity;
        if restarted {
            self.reset(now);
            return true;
        }
        self.confirmed_at = now;
        if report.waiting > 0 {
            // The server queues inside: it is given more than it runs.
            self.value = self.value.min(f64::from(report.running.max(1)));
            self.phase = Phase::Warm;
        }
        false
    }

    /// Halves the limit for each period in which nothing confirmed it.
    ///
    /// A server may restart while it is idle and does not report. Nobody would
    /// notice before the next surge, which would hit it at the old limit.
    pub fn decay(&mut self, settings: &Settings, now: Instant) {
        if settings.unconfirmed_half_life.is_zero() {
            return;
        }
        while self.value > COLD_LIMIT
            && now.since(self.confirmed_at) >= settings.unconfirmed_half_life
        {
            self.value = (self.value / 2.0).max(COLD_LIMIT);
            self.confirmed_at = self.confirmed_at + settings.unconfirmed_half_life;
        }
    }

    /// The ratio up to which a first token came easily.
    ///
    /// A cold server is slow, though perhaps within the target, and bears
    /// little. So the limit waits for first tokens as quick as on the warm
    /// server. What is slow for long is slow by nature and lets the limit grow.
    fn max_growth_ratio(&self, settings: &Settings, now: Instant) -> f64 {
        let cold_seconds = now.since(self.cold_since).as_secs_f64();
        let doublings = cold_seconds / settings.tolerance_doubling_time.as_secs_f64();
        (self.baseline.exp() * settings.growth_tolerance).max(GROWTH_RATIO_FLOOR) * doublings.exp2()
    }

    /// The ratio above which a first token is sudden.
    fn spike_ratio(&self, settings: &Settings) -> f64 {
        let spread = (self.deviation * SPIKE_DEVIATIONS).max(settings.spike_factor.ln());
        (self.baseline + spread).exp().max(SPIKE_RATIO_FLOOR)
    }

    /// Learns what is typical, and returns whether first tokens have jumped.
    ///
    /// A target that leaves room for long queues hides a server that turned
    /// cold: its tokens take many times longer and still come in time. What
    /// shows it is the jump. A server that stays slow becomes the typical one.
    fn update_baseline(&mut self, ratio: f64, settings: &Settings) -> bool {
        let is_spike = ratio > self.spike_ratio(settings);
        let is_near_cold = self.value < 2.0 * COLD_LIMIT;
        let gain = if is_spike || is_near_cold {
            SLOW_BASELINE_GAIN
        } else {
            BASELINE_GAIN
        };
        let error = ratio.max(f64::MIN_POSITIVE).ln() - self.baseline;
        self.baseline += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        self.consecutive_spikes = if is_spike {
            self.consecutive_spikes + 1
        } else {
            0
        };
        self.consecutive_spikes >= settings.consecutive_spike_threshold
    }

    fn halve(&mut self, now: Instant) {
        self.value = (self.value / 2.0).max(COLD_LIMIT);
        self.leave_cold_phase(now);
        self.record_decrease(now);
    }

    /// Halves the limit for each sudden first token after a run of them. Unlike
    /// a late one, it does not wait for requests admitted since the last fall.
    fn halve_on_spikes(&mut self, now: Instant) {
        self.value = (self.value / 2.0).max(COLD_LIMIT);
        self.cold_since = now;
        self.has_decreased = true;
    }

    /// Ends the fast growth, unless the server is still cold.
    fn leave_cold_phase(&mut self, now: Instant) {
        if self.value > COLD_LIMIT {
            self.phase = Phase::Warm;
        } else {
            self.cold_since = now;
        }
    }

    fn reset(&mut self, now: Instant) {
        self.value = COLD_LIMIT;
        self.phase = Phase::Cold;
        self.cold_since = now;
        self.record_decrease(now);
    }

    fn record_decrease(&mut self, now: Instant) {
        self.decreased_at = now;
        self.has_decreased = true;
        self.consecutive_late = 0;
        self.consecutive_inflated = 0;
        self.consecutive_spikes = 0;
    }
}
