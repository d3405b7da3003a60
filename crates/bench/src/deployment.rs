//! The deployments that are measured.

use std::time;

use crate::engine;

/// The sizes and the traffic of one deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name in the figures.
    pub name: &'static str,
    /// Availability zones.
    pub zones: usize,
    /// Engines, spread evenly over the zones.
    pub engines: usize,
    /// Routers, spread evenly over the zones.
    pub routers: usize,
    /// Chats that are live at any time.
    pub chats: usize,
    /// The share of the traffic that each workspace has.
    pub workspaces: Vec<f64>,
    /// Latency one way inside a zone.
    pub zone_latency: time::Duration,
    /// Latency one way between zones.
    pub cross_zone_latency: time::Duration,
    /// The time over which the traffic rises at the start, in seconds.
    pub ramp: u64,
    /// What the chats are like.
    pub chat: Chat,
    /// What the engines are like.
    pub engine: engine::Settings,
}

/// What the chats of a deployment are like.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Median pause before a chat returns within minutes, in seconds.
    pub pause: f64,
    /// Mean pause of those that return later, in seconds.
    pub long_pause: f64,
    /// The share of pauses that are long.
    pub long_share: f64,
    /// Median tokens that a turn adds to the prompt.
    pub new_tokens: f64,
    /// Median tokens that a turn puts out.
    pub output: f64,
    /// Median tokens of a chat's first context.
    pub context: f64,
    /// The context at which a chat ends, in tokens.
    pub max_context: u32,
}

/// Ten workspaces, a few large.
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

/// One availability zone of the size to design for.
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
