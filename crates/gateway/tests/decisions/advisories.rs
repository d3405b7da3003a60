//! Random sequences of advisories, failures and changes of entries, against a model of what the
//! servers have asked for.

use std::{collections::BTreeMap, time::Duration};

use gateway::{
    advisory::Advisory,
    pool::{Outcome, Placement, Pool},
    roster,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use units::{backend, time::Instant};

use crate::world::{START, admit, entry, pool};

const SEEDS: u64 = 300;
const STEPS: u32 = 1000;
const STEP: Duration = Duration::from_millis(10);
const OUTCOMES: [Outcome; 6] = [
    Outcome::Completed,
    Outcome::Failed,
    Outcome::Broken,
    Outcome::Refused,
    Outcome::Unreachable,
    Outcome::Full,
];

/// What one server has asked for, by the words of its responses alone.
#[derive(Clone, Copy, Debug, Default)]
struct Wish {
    throttled_until: Option<Instant>,
    /// The incarnation that shuts down.
    leaving: Option<u64>,
}

struct World {
    rng: StdRng,
    pool: Pool,
    entries: Vec<roster::Entry>,
    is_listed: Vec<bool>,
    wishes: BTreeMap<backend::Server, Wish>,
    running: Vec<Placement>,
    now: Instant,
}

impl World {
    fn new(seed: u64) -> Self {
        let zones = ["a", "b", "c"];
        let entries: Vec<_> = (0..6)
            .map(|index| entry(&format!("s{index}"), zones[index % 3]))
            .collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            pool: pool(&entries),
            is_listed: vec![true; entries.len()],
            entries,
            wishes: BTreeMap::new(),
            running: Vec::new(),
            now: START,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        match self.rng.random_range(0..40) {
            0 => self.change_entry(),
            1..=4 => self.announce(),
            5..=19 => self.end(),
            _ => self.place(),
        }
    }

    /// A server restarts, or its entry lapses or returns.
    fn change_entry(&mut self) {
        let index = self.rng.random_range(0..self.entries.len());
        if self.is_listed[index] && self.rng.random_bool(0.3) {
            self.entries[index].incarnation += 1;
        } else {
            self.is_listed[index] = !self.is_listed[index];
        }
        let listed = self.entries.iter().zip(&self.is_listed);
        let listed = listed.filter_map(|(entry, is_listed)| is_listed.then_some((entry, false)));
        self.pool.set_servers(listed);
    }

    /// A request in flight is answered with an advisory.
    fn announce(&mut self) {
        let Some(placement) = self.running.last().cloned() else {
            return;
        };
        let advisory = if self.rng.random_bool(0.2) {
            Advisory {
                is_leaving: true,
                ..Advisory::default()
            }
        } else {
            let pause = Duration::from_millis(self.rng.random_range(1..3000));
            Advisory {
                throttled_until: self.now + pause,
                ..Advisory::default()
            }
        };
        let wish = self.wishes.entry(placement.server.clone()).or_default();
        if advisory.is_leaving {
            wish.leaving = wish.leaving.max(Some(placement.incarnation));
        } else {
            wish.throttled_until = wish.throttled_until.max(Some(advisory.throttled_until));
        }
        let (server, incarnation) = (&placement.server, placement.incarnation);
        let now = self.now;
        self.pool
            .record_advisory(server, incarnation, advisory, now);
    }

    fn end(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.running.len());
        let placement = self.running.swap_remove(index);
        let outcome = OUTCOMES[self.rng.random_range(0..OUTCOMES.len())];
        self.pool.ended(&placement.server, outcome, self.now);
    }

    fn place(&mut self) {
        let topic = self.rng.random_range(0..5);
        let Ok(placement) = admit(&mut self.pool, topic, 0, self.now) else {
            return;
        };
        let wish = self.wishes.get(&placement.server).copied();
        let wish = wish.unwrap_or_default();
        let is_throttled = wish.throttled_until.is_some_and(|until| self.now < until);
        assert!(!is_throttled, "placed at {} in its pause", placement.server);
        assert_ne!(
            wish.leaving,
            Some(placement.incarnation),
            "placed at {}, which shuts down",
            placement.server
        );
        self.running.push(placement);
    }
}

/// Guards against orders of events in which a wish of a server is forgotten.
#[test]
fn no_sequence_of_events_makes_a_router_forget_an_advisory() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
    }
}
