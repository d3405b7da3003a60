//! Recent topologies, and the home servers that chats had in them.

use std::{collections::VecDeque, sync::Arc};

use smallvec::SmallVec;
use units::{backend, chat, time};

use crate::{settings::Settings, topology::Topology};

/// A topology that has been replaced.
#[derive(Clone, Debug)]
struct PastTopology {
    topology: Arc<Topology>,
    replaced_at: time::Instant,
}

/// The current topology and the most recent ones before it.
///
/// A chat's home is the first server in its ranking.
#[derive(Clone, Debug)]
pub struct History {
    settings: Settings,
    current: Arc<Topology>,
    /// Newest first.
    past: VecDeque<PastTopology>,
}

/// The earlier homes of a chat, most recent first.
pub type Homes = SmallVec<[backend::Server; 4]>;

impl History {
    /// Creates a history whose current topology is `topology`.
    pub fn new(settings: Settings, topology: impl Into<Arc<Topology>>) -> Self {
        Self {
            settings,
            current: topology.into(),
            past: VecDeque::new(),
        }
    }

    /// The current topology.
    pub fn current(&self) -> &Arc<Topology> {
        &self.current
    }

    /// Makes `topology` the current one, unless it has the same members.
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

    /// The eligible servers, other than the current home, that were the home of
    /// `chat` in a topology replaced less than the chat's return delay ago.
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

    /// How long after a topology change `chat` may still be sent to its earlier home.
    fn return_delay(&self, chat: chat::Key) -> std::time::Duration {
        // Hashed again, so that the delays of the chats of one server are spread
        // over the whole return window.
        let rehashed = crate::score::pair_hash(chat, 0);
        let fraction = f64::from((rehashed >> 32) as u32) / f64::from(u32::MAX);
        self.settings.return_window.mul_f64(fraction)
    }

    /// Drops topologies that were replaced longer ago than the return window.
    fn prune(&mut self, now: time::Instant) {
        let window = self.settings.return_window;
        self.past.retain(|past| now < past.replaced_at + window);
    }
}
