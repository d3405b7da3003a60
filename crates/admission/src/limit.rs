//! Adaptive concurrency limit of one backend server.
//!
//! The ratio of a first token is its time to first token (TTFT) divided by its
//! target. A ratio above one is late.

use std::time::Duration;

use units::time::Instant;

use crate::{Report, Settings};

/// Limit of a cold server.
const COLD_LIMIT: f64 = 1.0;
/// Weight of the newest sample in the baseline.
const BASELINE_GAIN: f64 = 0.02;
/// Weight of the newest sample while the limit is near that of a cold server, and
/// of a spike.
const SLOW_BASELINE_GAIN: f64 = 0.005;
/// Mean deviations above the baseline from which a first token is a spike.
const SPIKE_DEVIATIONS: f64 = 3.0;
/// The limit may always grow on first tokens below this ratio.
const GROWTH_RATIO_FLOOR: f64 = 0.1;
/// A first token below this ratio is never a spike.
const SPIKE_RATIO_FLOOR: f64 = 0.3;

/// Growth phase of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Slow start: the limit grows by the growth step from one until the first
    /// sign of load, as long as first tokens are fast.
    Cold,
    /// The limit grows slowly and decreases on signs of load.
    Warm,
}

/// Timing of the first token of a request.
#[derive(Clone, Copy, Debug)]
pub struct FirstToken {
    /// When the request was admitted.
    pub admitted_at: Instant,
    /// When its first token was due, by its target.
    pub due: Instant,
    /// When the first token arrived, or the current instant while it has not.
    pub arrived_at: Instant,
}

impl FirstToken {
    /// Time to first token divided by its target.
    fn ratio(&self) -> f64 {
        let allowed = self
            .due
            .since(self.admitted_at)
            .max(Duration::from_micros(1));
        self.arrived_at.since(self.admitted_at).as_secs_f64() / allowed.as_secs_f64()
    }
}

/// How many requests a backend server may run concurrently.
///
/// The limit is one after a start or a detected restart and grows with requests
/// that complete in time. It decreases immediately on late first tokens, failed
/// requests and restarts, without waiting for a control interval. In steady state
/// it converges to the value at which `late_share` of the first tokens are late.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    phase: Phase,
    /// Moving average of the logarithm of the first-token ratio of the warm server.
    baseline: f64,
    /// Mean deviation from `baseline`.
    deviation: f64,
    /// When the server was last detected as cold.
    cold_since: Instant,
    /// Consecutive late first tokens.
    consecutive_late: u32,
    /// Consecutive first tokens that exceed their target by the inflation factor.
    consecutive_inflated: u32,
    /// Consecutive first tokens far above the baseline.
    consecutive_spikes: u32,
    /// Time of the last decrease. Requests admitted earlier ran under a higher
    /// limit and are not evidence about the current one.
    decreased_at: Instant,
    has_decreased: bool,
    /// When a completed request or a report last confirmed that the limit still
    /// applies to the server.
    confirmed_at: Instant,
    boot: Option<u64>,
    seq: u64,
    capacity: u32,
}

impl Limit {
    /// The limit of a server without history.
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

    /// Requests that may run concurrently; at least one.
    pub fn get(&self, settings: &Settings) -> u32 {
        let max = match self.capacity {
            0 => settings.max_concurrency,
            capacity => capacity.min(settings.max_concurrency),
        };
        (self.value as u32).clamp(1, max.max(1))
    }

    /// Whether the last first token was late or a spike.
    pub fn has_recent_delay(&self) -> bool {
        self.consecutive_late > 0 || self.consecutive_spikes > 0
    }

    /// The current growth phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Continues with the limit of an earlier owner.
    pub fn inherit(&mut self, limit: u32, now: Instant) {
        self.value = f64::from(limit.max(1));
        self.confirmed_at = now;
    }

    /// Updates the limit from a first token, or from its absence so far.
    ///
    /// A late first token decreases the limit by as much as the on-time first
    /// tokens expected per late one (`(1 - late_share) / late_share`) increase
    /// it, so that the limit converges to the value at which `late_share` of
    /// them are late. Several late ones in a row are unlikely to be chance and
    /// halve it.
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

    /// Time after which a missing first token with this `target` is slow, so that
    /// the server may no longer be warm.
    pub fn slow_after(&self, target: Duration, settings: &Settings) -> Duration {
        target.mul_f64(self.spike_ratio(settings).min(1.0))
    }

    /// Updates the limit from a completed request whose first token has been
    /// judged before. The limit grows if it was `in_use` and the first token was
    /// fast.
    ///
    /// In the cold phase the growth is proportional to the run time of the request,
    /// up to a maximum. Otherwise short requests would raise the limit faster than
    /// the server warms up.
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

    /// Halves the limit after a failed request.
    ///
    /// A crash fails all requests in flight, so the limit reaches one after a
    /// few of them.
    pub fn failed(&mut self, now: Instant) {
        self.halve(now);
    }

    /// Raises the limit of a new owner to one above the `foreign` requests that
    /// the server already runs.
    ///
    /// This corresponds to the limit of one on an idle server. After the first
    /// decrease, only completed own requests raise the limit.
    pub fn raise_above_foreign(&mut self, foreign: u32) {
        if self.phase == Phase::Cold && !self.has_decreased {
            self.value = self.value.max(f64::from(foreign) + COLD_LIMIT);
        }
    }

    /// Updates the limit from a load report. Returns whether the report shows a
    /// restart.
    ///
    /// A server does not announce a restart between two reports. It is detected
    /// by a new boot id or by a sequence number that went back.
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
            // Requests queue inside the server, so the limit exceeds what it runs.
            self.value = self.value.min(f64::from(report.running.max(1)));
            self.phase = Phase::Warm;
        }
        false
    }

    /// Halves the limit for each `unconfirmed_half_life` without confirmation.
    ///
    /// A server may restart unnoticed while it is idle and sends no reports. The
    /// next surge would then reach the cold server with the old limit.
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

    /// Highest first-token ratio at which the limit may grow.
    ///
    /// A cold server is slow, though possibly within the target, and has little
    /// capacity, so the limit grows only on first tokens close to the baseline of
    /// the warm server. The threshold doubles with time since the cold start: a
    /// server that stays slow is not cold, and its limit may grow.
    fn max_growth_ratio(&self, settings: &Settings, now: Instant) -> f64 {
        let cold_seconds = now.since(self.cold_since).as_secs_f64();
        let doublings = cold_seconds / settings.tolerance_doubling_time.as_secs_f64();
        (self.baseline.exp() * settings.growth_tolerance).max(GROWTH_RATIO_FLOOR) * doublings.exp2()
    }

    /// First-token ratio above which a first token is a spike.
    fn spike_ratio(&self, settings: &Settings) -> f64 {
        let spread = (self.deviation * SPIKE_DEVIATIONS).max(settings.spike_factor.ln());
        (self.baseline + spread).exp().max(SPIKE_RATIO_FLOOR)
    }

    /// Updates the baseline and returns whether enough consecutive first tokens
    /// were spikes.
    ///
    /// If the target allows for long queues, the first tokens of a server that
    /// turned cold take many times longer and are still within the target. Only
    /// the sudden increase over the baseline shows it. If the server stays slow,
    /// the baseline follows.
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

    /// Halves the limit for each spike once enough of them were consecutive.
    /// Unlike a late first token, a spike counts even if its request was admitted
    /// before the last decrease.
    fn halve_on_spikes(&mut self, now: Instant) {
        self.value = (self.value / 2.0).max(COLD_LIMIT);
        self.cold_since = now;
        self.has_decreased = true;
    }

    /// Ends slow start, unless the limit is still that of a cold server.
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
