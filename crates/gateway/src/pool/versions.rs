//! Placement during a roll-out: which version's servers may receive a request.

use std::cmp::Reverse;

use placement::score;
use rollout::{Order, Role, Serving, Stage, serving};
use smallvec::SmallVec;
use units::{backend, chat};

use super::{Demand, Pool, Server};

/// The version that a request goes to during a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preference {
    /// The version in service.
    #[default]
    Baseline,
    /// The new version, if one of its servers can take the request.
    Candidate,
}

/// A set of servers that are tried together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tier {
    /// The servers of the version in service.
    Serving,
    /// The servers of the new version that receive the requests of the canary.
    Canary,
    /// All servers of the new version.
    Candidates,
    /// The servers of all versions that may receive requests.
    Open,
}

/// The fewest servers that receive the requests of the canary, so that a fault of one
/// server can be told from one of the version.
const MIN_CANARY_SERVERS: usize = 2;

/// The load that a roll-out puts on the servers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionLoads {
    /// Requests in flight at servers of the version in service.
    pub baseline: u32,
    /// Requests in flight at all servers.
    pub total: u32,
    /// Servers of the new version that may receive requests.
    pub candidate_servers: usize,
}

impl Pool {
    /// Applies the order of a roll-out, or its withdrawal.
    pub fn set_order(&mut self, order: Option<&Order>) {
        self.serving.set_order(order);
        self.update_versions();
    }

    /// Applies the stage of the roll-out that the order with this revision started.
    pub fn set_stage(&mut self, revision: u64, stage: Stage) {
        self.serving.set_stage(revision, stage);
        self.update_versions();
    }

    /// Applies whether this router is up to date with the store.
    pub fn set_up_to_date(&mut self, is_up_to_date: bool) {
        self.is_up_to_date = is_up_to_date;
    }

    /// The versions that may receive requests.
    pub fn serving(&self) -> &Serving {
        &self.serving
    }

    /// The mean load of the servers that bear nearly all requests during a roll-out; `None`
    /// if there is none.
    pub(super) fn mean_load_of_bearing_version(&self) -> Option<f64> {
        let tier = match self.serving.stage()? {
            Stage::Canary | Stage::RollingBack => Tier::Serving,
            Stage::Promoting | Stage::Completing => Tier::Candidates,
            Stage::RolledBack | Stage::Completed => return None,
        };
        Some(super::mean(self.tier(tier)))
    }

    /// The load of the versions.
    pub fn version_loads(&self) -> VersionLoads {
        let load_of = |server: &Server| server.load();
        let serving = self
            .servers
            .values()
            .filter(|server| server.role() == Role::Serving);
        VersionLoads {
            baseline: serving.map(load_of).sum(),
            total: self.servers.values().map(load_of).sum(),
            candidate_servers: self.tier(Tier::Candidates).count(),
        }
    }

    /// Assigns the servers their roles.
    pub(super) fn update_versions(&mut self) {
        let Some(settings) = self.bounds.rollouts else {
            return;
        };
        let records = &self.records;
        let servers = self.servers.values().map(|server| serving::Server {
            version: server.version(),
            incarnation: server.incarnation(),
            recorded_at: records.get(server.version()).copied(),
        });
        self.serving.set_servers(servers);
        for server in self.servers.values_mut() {
            let role = self.serving.role(server.version());
            server.set_role(role);
        }
        self.choose_canary_servers(settings.canary_share());
    }

    /// Chooses the servers of the canary: as few as bear the load of an old server each, so
    /// that a version that fails under load is noticed. All routers choose the same ones.
    fn choose_canary_servers(&mut self, share: f64) {
        let count = (self.tier(Tier::Serving).count() as f64 * share).ceil() as usize;
        let count = count.max(MIN_CANARY_SERVERS);
        let revision = self.serving.order().map_or(0, |order| order.revision);
        let rank =
            |server: &Server| Reverse(score::pair_hash(chat::Key(revision), server.name_hash()));
        let mut ranked: Vec<_> = self
            .tier(Tier::Candidates)
            .map(|server| (rank(server), server.name().clone()))
            .collect();
        ranked.sort_unstable();
        let chosen: Vec<backend::Server> = ranked
            .into_iter()
            .take(count)
            .map(|(_, name)| name)
            .collect();
        for server in self.servers.values_mut() {
            let is_chosen = chosen.contains(server.name());
            server.set_in_canary(is_chosen);
        }
    }

    /// The tiers that a request may go to, in the order in which they are tried.
    pub(super) fn tiers(&self, demand: &Demand) -> SmallVec<[Tier; 3]> {
        if demand.version.is_some() {
            return SmallVec::from_slice(&[Tier::Open]);
        }
        let stage = self.serving.stage();
        let is_promoting = stage.is_some_and(Stage::is_promoted);
        let is_cut_off = stage == Some(Stage::Canary) && !self.is_up_to_date;
        let tiers: &[Tier] = match demand.preference {
            Preference::Candidate if is_promoting => &[Tier::Candidates, Tier::Serving],
            Preference::Candidate => &[Tier::Canary, Tier::Candidates, Tier::Serving],
            Preference::Baseline if is_promoting => &[Tier::Serving, Tier::Candidates],
            // A router that is cut off is not told that the old servers have stopped.
            Preference::Baseline if is_cut_off => &[Tier::Serving, Tier::Candidates],
            Preference::Baseline => &[Tier::Serving],
        };
        SmallVec::from_slice(tiers)
    }

    /// The servers of a tier that are not leaving.
    pub(super) fn tier(&self, tier: Tier) -> impl Iterator<Item = &Server> {
        let servers = self.servers.values().filter(|server| !server.is_leaving());
        servers.filter(move |server| match tier {
            Tier::Serving => server.role() == Role::Serving,
            Tier::Canary => server.is_in_canary(),
            Tier::Candidates => server.role() == Role::Candidate,
            Tier::Open => server.role() != Role::Idle,
        })
    }

    /// The servers of a tier that may process a request.
    pub(super) fn eligible<'a>(
        &'a self,
        tier: Tier,
        demand: &'a Demand,
    ) -> impl Iterator<Item = &'a Server> {
        let version = demand.version.as_ref();
        let servers = self.tier(tier);
        servers.filter(move |server| version.is_none_or(|version| server.version() == version))
    }

    /// Whether there is a server of the version that has to process a request.
    pub(super) fn has_version(&self, demand: &Demand) -> bool {
        demand.version.is_none() || self.eligible(Tier::Open, demand).next().is_some()
    }
}
