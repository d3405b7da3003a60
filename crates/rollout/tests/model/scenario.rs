//! Roll-outs to sound and faulty versions, under faults of routers, network and store.

use std::ops::Range;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

/// The length of a step of the model, in milliseconds.
pub const STEP_MS: u64 = 100;
/// The number of steps in one second.
pub const SECOND: u64 = 1000 / STEP_MS;

/// How the new version behaves, compared with the old one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Both versions are sound.
    Good,
    /// The new version is sound, and the old one fails a fifth of its requests for a while.
    GoodWhileOldFails,
    /// Both versions fail a third of their requests.
    BothFail,
    /// The new version is sound, and one of its servers fails half of its requests.
    OneServerFails,
    /// The new version fails this share of its requests.
    Fails(f64),
    /// The new version takes four times as long.
    Slow,
    /// The new version fails a third of its requests from the fifth second on.
    FailsLater,
    /// The new version fails a third of its requests at servers with more than half of the
    /// load of an old server.
    FailsUnderLoad,
    /// The new version fails half of the requests of one of five routes.
    FailsOnOneRoute,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 11] = [
        Self::Good,
        Self::GoodWhileOldFails,
        Self::BothFail,
        Self::OneServerFails,
        Self::Fails(0.05),
        Self::Fails(0.15),
        Self::Fails(0.5),
        Self::Slow,
        Self::FailsLater,
        Self::FailsUnderLoad,
        Self::FailsOnOneRoute,
    ];

    /// Whether the new version is no worse than the old one.
    pub const fn is_sound(self) -> bool {
        matches!(
            self,
            Self::Good | Self::GoodWhileOldFails | Self::BothFail | Self::OneServerFails
        )
    }
}

/// How the requests of the canary are shared among the routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Share {
    /// Each router selects a fraction of its own requests.
    #[default]
    OwnFraction,
    /// A tenth of the routers select ten times that fraction.
    FewRouters,
    /// Each request is selected with the same probability.
    Random,
}

/// Which servers of the new version receive the requests of the canary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Layout {
    /// As few as bear the load of an old server each.
    #[default]
    Concentrated,
    /// All of them.
    Spread,
}

/// The ways in which a roll-out may be carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ways {
    /// How the requests are shared among the routers.
    pub share: Share,
    /// Which servers receive them.
    pub layout: Layout,
}

/// A period, in steps.
pub type Period = Range<u64>;

/// One roll-out and the faults during it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of everything random in the run.
    pub seed: u64,
    /// How the new version behaves.
    pub kind: Kind,
    /// The number of routers.
    pub routers: usize,
    /// The duration of the order, in seconds.
    pub duration_s: u64,
    /// Requests for the service per second.
    pub requests_per_s: f64,
    /// The probability that a message is lost.
    pub loss: f64,
    /// When all routers are killed. They start again within a second.
    pub kill_all: Option<u64>,
    /// When half of the routers are killed.
    pub kill_half: Option<u64>,
    /// When the first zone is disconnected from the others and from the store.
    pub cut: Period,
    /// When the store does not respond.
    pub store_down: Period,
    /// The probability that the response to a write is lost.
    pub lost_responses: f64,
    /// How the roll-out is carried out.
    pub ways: Ways,
}

impl Scenario {
    /// A scenario without faults.
    pub fn calm(seed: u64, kind: Kind, routers: usize, duration_s: u64) -> Self {
        Self {
            seed,
            kind,
            routers,
            duration_s,
            requests_per_s: 320.0,
            loss: 0.01,
            kill_all: None,
            kill_half: None,
            cut: 0..0,
            store_down: 0..0,
            lost_responses: 0.0,
            ways: Ways::default(),
        }
    }

    /// Draws a scenario.
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let kind = *Kind::ALL.choose(&mut rng).expect("a kind");
        let routers = *[6, 6, 12, 20, 20, 83].choose(&mut rng).expect("a size");
        let duration_s = *[8, 12, 12, 30].choose(&mut rng).expect("a duration");
        let steps = duration_s * SECOND;
        let mut calm = Self::calm(seed, kind, routers, duration_s);
        calm.loss = *[0.0, 0.02, 0.1].choose(&mut rng).expect("a loss");
        calm.requests_per_s = *[120.0, 320.0, 320.0].choose(&mut rng).expect("a rate");
        if rng.random_bool(0.15) {
            calm.kill_all = Some(rng.random_range(0..steps));
        }
        if rng.random_bool(0.15) {
            calm.kill_half = Some(rng.random_range(0..steps));
        }
        if rng.random_bool(0.2) {
            calm.cut = period(&mut rng, steps, 40);
        }
        if rng.random_bool(0.2) {
            calm.store_down = period(&mut rng, steps, 40);
        }
        if rng.random_bool(0.2) {
            calm.lost_responses = 0.5;
        }
        calm
    }

    /// Whether nothing disturbs the run but the loss of some messages.
    pub fn is_calm(&self) -> bool {
        self.kill_all.is_none()
            && self.kill_half.is_none()
            && self.cut.is_empty()
            && self.store_down.is_empty()
            && self.lost_responses == 0.0
    }
}

fn period(rng: &mut ChaCha8Rng, steps: u64, max_length: u64) -> Period {
    let begin = rng.random_range(0..steps);
    begin..begin + rng.random_range(5..=max_length)
}
