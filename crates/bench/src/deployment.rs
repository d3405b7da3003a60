//! The deployments that the benchmarks simulate.

use std::time;

use crate::engine;

/// Size and traffic of one deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in the figures.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of engines, spread evenly over the zones.
    pub engines: usize,
    /// Number of routers, spread evenly over the zones.
    pub routers: usize,
    /// Number of concurrent chats.
    pub chats: usize,
    /// Relative share of the traffic of each workspace.
    pub workspaces: Vec<f64>,
    /// One-way latency within a zone.
    pub zone_latency: time::Duration,
    /// One-way latency between zones.
    pub cross_zone_latency: time::Duration,
    /// Time over which the traffic rises at the start, in seconds.
    pub ramp: u64,
    /// Parameters of the chats.
    pub chat: Chat,
    /// Settings of the engines.
    pub engine: engine::Settings,
}

/// Parameters of the chats of a deployment.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Median of the short pauses between two turns, in seconds.
    pub pause: f64,
    /// Mean of the long pauses between two turns, in seconds.
    pub long_pause: f64,
    /// Share of the pauses that are long.
    pub long_share: f64,
    /// Median number of tokens that a turn adds to the prompt.
    pub new_tokens: f64,
    /// Median number of output tokens of a turn.
    pub output: f64,
    /// Median number of tokens of a chat's initial context.
    pub context: f64,
    /// Context length at which a chat ends, in tokens.
    pub max_context: u32,
}

/// Ten workspaces, of which a few have most of the traffic.
fn few_large() -> Vec<f64> {
    vec![30.0, 22.0, 14.0, 10.0, 8.0, 6.0, 4.0, 3.0, 2.0, 1.0]
}

/// Lankaclean: short chats of many drivers and site managers.
pub fn lankaclean() -> Deployment {
    Deployment {
        name: "lankaclean",
        zones: 3,
        engines: 12,
        routers: 8,
        chats: 12_000,
        workspaces: few_large(),
        zone_latency: time::Duration::from_micros(200),
        cross_zone_latency: time::Duration::from_millis(1),
        ramp: 60,
        chat: Chat {
            pause: 45.0,
            long_pause: 900.0,
            long_share: 0.15,
            new_tokens: 80.0,
            output: 150.0,
            context: 600.0,
            max_context: 6_000,
        },
        engine: engine::Settings::default(),
    }
}

/// Dagbog: long diaries, activity prompts and short checks in the evening.
pub fn dagbog() -> Deployment {
    Deployment {
        name: "dagbog",
        zones: 3,
        engines: 18,
        routers: 8,
        chats: 12_000,
        workspaces: few_large(),
        zone_latency: time::Duration::from_micros(200),
        cross_zone_latency: time::Duration::from_micros(1_500),
        ramp: 60,
        chat: Chat {
            pause: 40.0,
            long_pause: 1_200.0,
            long_share: 0.12,
            new_tokens: 150.0,
            output: 200.0,
            context: 4_000.0,
            max_context: 24_000,
        },
        engine: engine::Settings {
            cache_tokens: 2_000_000,
            ..engine::Settings::default()
        },
    }
}

/// One availability zone of the planned maximum size.
pub fn planned() -> Deployment {
    Deployment {
        name: "planned",
        zones: 1,
        engines: 455,
        routers: 46,
        chats: 290_000,
        workspaces: (1..=970).map(|rank| 1.0 / f64::from(rank)).collect(),
        zone_latency: time::Duration::from_micros(200),
        cross_zone_latency: time::Duration::from_millis(1),
        ramp: 90,
        chat: Chat {
            pause: 70.0,
            long_pause: 900.0,
            long_share: 0.06,
            new_tokens: 100.0,
            output: 260.0,
            context: 1_500.0,
            max_context: 8_000,
        },
        engine: engine::Settings {
            capacity: 128,
            cache_tokens: 1_500_000,
            ..engine::Settings::default()
        },
    }
}

/// All deployments.
pub fn all() -> [Deployment; 3] {
    [lankaclean(), dagbog(), planned()]
}
