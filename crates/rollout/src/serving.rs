//! The versions of a service that may receive requests.

use units::backend;

use crate::{Order, Stage};

/// What a server's version may receive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// The version in service.
    #[default]
    Serving,
    /// The version of an order, which receives as much as the stage of the roll-out allows.
    Candidate,
    /// A version that no order allows to receive requests, or no longer does.
    Idle,
}

/// A server, as far as its version is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server<'a> {
    /// Its version.
    pub version: &'a backend::Version,
    /// Distinguishes its starts; a later start has a higher value.
    pub incarnation: u64,
    /// When its version was first recorded, as a number that grows; `None` if it is not.
    pub recorded_at: Option<u64>,
}

impl Server<'_> {
    /// Orders versions by their age: those on record first, in the order in which they were recorded.
    fn age(&self) -> impl Ord {
        let recorded_at = self.recorded_at.unwrap_or(u64::MAX);
        (recorded_at, self.incarnation, self.version.clone())
    }
}

/// Which versions of one service may receive requests.
///
/// Without an order, the version in service is the one that was recorded first, or, if none is on
/// record, that of the server that has run longest: servers of another version are started beside the
/// old ones ahead of an order, and must receive nothing before it. How long servers have run says
/// little by itself, since those in service may have crashed and started again. Once chosen, the
/// version stays in service until a roll-out is completed or none of its servers is registered any
/// more. So a service whose servers are all replaced without an order is not refused.
#[derive(Clone, Debug, Default)]
pub struct Serving {
    baseline: Option<backend::Version>,
    /// Whether the baseline was chosen while no version was known to be on record.
    is_guessed: bool,
    order: Option<Order>,
    /// The stage of the ordered roll-out; `None` until it is known.
    stage: Option<Stage>,
}

impl Serving {
    /// Applies the registered servers, including those that are draining.
    pub fn set_servers<'a>(&mut self, servers: impl Iterator<Item = Server<'a>>) {
        let servers: Vec<Server<'a>> = servers.collect();
        let is_registered = |version: &backend::Version| {
            let mut registered = servers.iter();
            registered.any(|server| server.version == version)
        };
        let is_ordered = |server: &&Server<'a>| self.ordered() == Some(server.version);
        let is_rolled_back = self
            .stage
            .is_some_and(|stage| matches!(stage, Stage::RollingBack | Stage::RolledBack));
        let others = servers.iter().filter(|server| !is_ordered(server));
        let oldest = others.min_by_key(|server| server.age());
        let is_refuted = self.has_untried_baseline() && (oldest.is_some() || is_rolled_back);
        let is_on_record = servers.iter().any(|server| server.recorded_at.is_some());
        let is_checked = !self.is_guessed || !is_on_record;
        if is_checked && !is_refuted && self.baseline.as_ref().is_some_and(is_registered) {
            return;
        }
        // If only servers of the ordered version are left, they serve, unless they are
        // known to be faulty.
        let ordered = || servers.iter().find(is_ordered).filter(|_| !is_rolled_back);
        let chosen = oldest.or_else(ordered).map(|server| server.version.clone());
        if chosen.is_some() || is_refuted {
            self.baseline = chosen;
        }
        self.is_guessed = !is_on_record;
    }

    /// Applies the order in force. The stage of a new order is not known yet.
    pub fn set_order(&mut self, order: Option<&Order>) {
        let revision = |order: &Order| order.revision;
        if self.order.as_ref().map(revision) != order.map(revision) {
            self.order = order.cloned();
            self.stage = None;
        }
    }

    /// Applies the stage of the order with this revision.
    pub fn set_stage(&mut self, revision: u64, stage: Stage) {
        let Some(order) = self
            .order
            .as_ref()
            .filter(|order| order.revision == revision)
        else {
            return;
        };
        if stage == Stage::Completed {
            self.baseline = Some(order.to.clone());
            self.is_guessed = false;
        }
        self.stage = Some(stage);
    }

    /// The version in service; `None` while no server is known.
    pub const fn baseline(&self) -> Option<&backend::Version> {
        self.baseline.as_ref()
    }

    /// The order in force.
    pub const fn order(&self) -> Option<&Order> {
        self.order.as_ref()
    }

    /// The stage of the order in force, if known.
    pub const fn stage(&self) -> Option<Stage> {
        self.stage
    }

    /// Whether the version taken for the one in service is on trial, or failed it.
    ///
    /// A router that starts knows neither the order nor how long the servers in service have run
    /// if they have started again since.
    fn has_untried_baseline(&self) -> bool {
        let is_on_trial = self.stage.is_some_and(|stage| stage != Stage::Completed);
        is_on_trial && self.baseline.as_ref() == self.ordered()
    }

    fn ordered(&self) -> Option<&backend::Version> {
        self.order.as_ref().map(|order| &order.to)
    }

    /// What servers of a version may receive.
    pub fn role(&self, version: &backend::Version) -> Role {
        if self.baseline.as_ref() == Some(version) {
            return Role::Serving;
        }
        let is_open = self
            .stage
            .is_some_and(|stage| stage == Stage::Canary || stage.is_promoted());
        if is_open && self.ordered() == Some(version) {
            Role::Candidate
        } else {
            Role::Idle
        }
    }
}
