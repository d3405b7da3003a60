//! The topologies of the last while, and the homes that chats had in them.

use std::{collections::VecDeque, sync::Arc};

use smallvec::SmallVec;
use units::{backend, chat, time};

use crate::{settings::Settings, topology::Topology};

/// A topology that is no longer in force.
#[derive(Clone, Debug)]
struct PastTopology {
    topology: Arc<Topology>,
    replaced_at: time::Instant,
}

/// The topology in force and the last few before it.
#[derive(Clone, Debug)]
pub struct History {
    settings: Settings,
    current: Arc<Topology>,
    /// Newest first.
    past: VecDeque<PastTopology>,
}

/// The earlier homes of a chat, latest first.
pub type Homes = SmallVec<[backend::Server; 4]>;

impl History {
    /// A history that starts with `topology`.
    pub fn new(settings: Settings, topology: impl Into<Arc<Topology>>) -> Self {
        Self {
            settings,
            current: topology.into(),
            past: VecDeque::new(),
        }
    }

    /// The topology in force.
    pub fn current(&self) -> &Arc<Topology> {
        &self.current
    }

    /// Puts `topology` in force. Nothing happens if its members are the same.
    pub fn replace(&mut self, topology: impl Into<Arc<Topology>>, now: time::Instant) {
        let topology = topology.into();
        if topology.members() == self.current.members() {
            return;
        }
        let old = std::mem::replace(&mut self.current, topology);
        self.past.push_front(PastTopology {
            topology: old,
            replaced_at: now,
        });
        self.past.truncate(self.settings.max_past_topologies);
        self.prune(now);
    }

    /// The servers, other than its present home, that were the home of `chat`
    /// within its part of the return window and still get new work.
    pub fn earlier_homes(&self, chat: chat::Key, now: time::Instant) -> Homes {
        let mut homes = Homes::new();
        let Some(home) = self.current.home(chat) else {
            return homes;
        };
        for past in &self.past {
            if now >= past.replaced_at + self.return_delay(chat) {
                break;
            }
            let Some(earlier) = past.topology.home(chat) else {
                continue;
            };
            let repeated = earlier.id == home.id || homes.contains(&earlier.id);
            if !repeated && self.current.is_eligible(&earlier.id) {
                homes.push(earlier.id.clone());
            }
        }
        homes
    }

    /// How long `chat` may stay at an earlier home after a change.
    fn return_delay(&self, chat: chat::Key) -> std::time::Duration {
        // The hash is mixed again so that the chats of one server are spread
        // over the whole window.
        let rehashed = crate::score::pair_hash(chat, 0);
        let fraction = f64::from((rehashed >> 32) as u32) / f64::from(u32::MAX);
        self.settings.return_window.mul_f64(fraction)
    }

    /// Drops the topologies whose return window is over.
    fn prune(&mut self, now: time::Instant) {
        let window = self.settings.return_window;
        self.past.retain(|past| now < past.replaced_at + window);
    }
}
