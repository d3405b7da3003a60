//! The load of a day, and what it is served by.

use std::{ops::Range, time::Duration};

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub rank: u8,
    /// Requests per second of the whole deployment on a usual day.
    pub per_s: f64,
    /// The time for which a request holds a slot.
    pub run: Duration,
    /// The time from the start to the first event.
    pub first: Duration,
    pub target: Duration,
    pub deadline: Duration,
    pub shared_tokens: u32,
    pub own_tokens: u32,
    pub output_tokens: u64,
}

/// The engines of the deployment whose rates the classes have.
pub const ENGINES: usize = 140;
pub const SLOTS: usize = 12;

const STEP_US: u64 = 3_820;
const TOKENS_PER_EVENT: u64 = 9;
const TOKENS_PER_MS: f64 = 68.2;

const fn class(rank: u8, per_s: f64, shared: u32, own: u32, events: u64) -> Class {
    let read_us = (own as f64 / TOKENS_PER_MS * 1_000.0) as u64;
    Class {
        rank,
        per_s,
        run: Duration::from_micros(read_us + events * TOKENS_PER_EVENT * STEP_US),
        first: Duration::from_micros(read_us + TOKENS_PER_EVENT * STEP_US),
        target: Duration::from_millis(400),
        deadline: Duration::from_secs(10),
        shared_tokens: shared,
        own_tokens: own,
        output_tokens: events * TOKENS_PER_EVENT,
    }
}

pub const CHAT: usize = 0;
pub const TAG: usize = 1;
pub const DRAFT: usize = 2;

/// Chats, tags and drafts: the more urgent first.
pub const CLASSES: [Class; 3] = [
    class(0, 196.0, 699, 130, 32),
    Class {
        deadline: Duration::from_millis(2_500),
        ..class(1, 207.0, 2_041, 360, 3)
    },
    Class {
        deadline: Duration::from_secs(12),
        target: Duration::from_millis(1_500),
        ..class(2, 109.0, 10_512, 1_300, 42)
    },
];

/// What routers hear from each other.
#[derive(Clone, Debug, Default)]
pub enum Exchange {
    /// All of them hear the sums of all.
    #[default]
    Whole,
    /// Nobody hears anything.
    Silent,
    /// Routers of zone 0 hear nothing from the others for a time, which hear them.
    OneWay(Range<u64>),
    /// Routers of zone 0 and the others hear only from their own side for a time, in
    /// milliseconds.
    Partition(Range<u64>),
}

/// A day.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub routers: usize,
    /// The engines that are left.
    pub engines: usize,
    /// The part of the engines that is lost.
    pub lost: f64,
    pub is_contended: bool,
    /// The rate of each class relative to a usual day with all engines.
    pub surge: [f64; 3],
    /// When the surge begins and ends, in milliseconds.
    pub surge_ms: Range<u64>,
    /// The rate of one workspace relative to its usual one during the surge.
    pub hot_rate: f64,
    pub hot: usize,
    pub workspaces: usize,
    pub skew: f64,
    /// Whether one router gets all requests.
    pub is_uneven: bool,
    pub exchange: Exchange,
    /// When a router dies, in milliseconds.
    pub death_ms: Option<u64>,
    /// How many times a caller asks again.
    pub retries: u32,
    /// The arrivals that are counted, in milliseconds.
    pub counted_ms: Range<u64>,
    pub duration_ms: u64,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            routers: 67,
            engines: 24,
            lost: 1.0 / 3.0,
            is_contended: true,
            surge: [1.0; 3],
            surge_ms: 0..u64::MAX,
            hot_rate: 1.0,
            hot: 6,
            workspaces: 24,
            skew: 1.2,
            is_uneven: false,
            exchange: Exchange::Whole,
            death_ms: None,
            retries: 3,
            counted_ms: 0..u64::MAX,
            duration_ms: 12_000,
            seed: 1,
        }
    }
}

impl Scenario {
    /// Drafts at five times and all classes at three times their rate, one workspace at eight
    /// times, a third of the engines lost, and callers that ask again.
    pub fn overloaded(routers: usize) -> Self {
        Self {
            routers,
            surge: [3.0, 3.0, 15.0],
            surge_ms: 2_000..12_000,
            counted_ms: 2_000..10_000,
            hot_rate: 8.0,
            ..Self::default()
        }
    }

    /// A day with all engines on which the largest workspace sends eight times as much as usual,
    /// and one router gets all requests.
    pub fn hot(routers: usize) -> Self {
        Self {
            routers,
            lost: 0.0,
            surge_ms: 1_000..8_000,
            counted_ms: 1_000..7_000,
            duration_ms: 8_000,
            hot_rate: 8.0,
            hot: 0,
            is_uneven: true,
            ..Self::default()
        }
    }

    /// The day with the switch off.
    pub fn off(&self) -> Self {
        Self {
            is_contended: false,
            ..self.clone()
        }
    }

    /// Requests per second of a class at usual rates, for the engines of this day.
    pub fn per_s(&self, class: usize) -> f64 {
        CLASSES[class].per_s * self.engines as f64 / (ENGINES as f64 * (1.0 - self.lost))
    }
}
