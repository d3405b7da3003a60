//! Runs one policy on one case.

use units::time::Instant;

use crate::{
    deployment::Deployment,
    oracle,
    policy::{
        self,
        choice::{Any, Choice, Modulo, RendezvousLocal, TwoChoices},
        direct::{self, Direct},
        entry::{self, Entry},
        owned::{self, Chosen},
    },
    script::Script,
    simulation::{Core, Simulation},
    stats::Stats,
    workload::{self, Arrival},
};

/// The requests and faults that every policy is measured with.
#[derive(Clone, Debug)]
pub struct Case {
    /// The deployment to simulate.
    pub deployment: Deployment,
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// Prompt tokens of each request that the oracle would have cached.
    pub oracle: Vec<u32>,
    /// Faults and operator changes.
    pub script: Script,
    /// Placement settings of the `chosen` policy.
    pub placement: placement::Settings,
    /// How long each router takes to apply a revision, in seconds.
    pub apply_delays: Vec<f64>,
    /// Seed of all random draws.
    pub seed: u64,
    /// When the run ends.
    pub until: Instant,
}

impl Case {
    /// Draws the requests and computes the cache hits of the oracle.
    pub fn new(
        deployment: Deployment,
        plan: &workload::Plan,
        script: Script,
        apply_delays: Vec<f64>,
    ) -> Self {
        let arrivals = workload::draw(&deployment, plan);
        Self {
            oracle: oracle::cached(&deployment, &arrivals, &script),
            deployment,
            arrivals,
            script,
            apply_delays,
            placement: placement::Settings::default(),
            seed: plan.seed,
            until: plan.until,
        }
    }

    /// Simulates the case with `policy`.
    pub fn run(&self, policy: policy::Name) -> Stats {
        match policy {
            policy::Name::Chosen => self.chosen(),
            policy::Name::Entry => self.entry(),
            policy::Name::Random => self.direct(Any),
            policy::Name::TwoChoices => self.direct(TwoChoices),
            policy::Name::Modulo => self.direct(Modulo),
            policy::Name::RendezvousLocal => self.direct(RendezvousLocal::default()),
        }
    }

    fn chosen(&self) -> Stats {
        let core: Core<owned::Event> = self.core();
        let settings = owned::Settings {
            placement: self.placement.clone(),
            admission: admission::Settings {
                max_concurrency: self.deployment.engine.capacity,
                ..admission::Settings::default()
            },
            ..owned::Settings::default()
        };
        let policy = Chosen::new(&core, settings);
        Simulation::new(core, policy, &self.script).run().0
    }

    fn entry(&self) -> Stats {
        let core: Core<entry::Event> = self.core();
        let policy = Entry::new(&core);
        Simulation::new(core, policy, &self.script).run().0
    }

    fn direct<C: Choice>(&self, choice: C) -> Stats {
        let core: Core<direct::Event> = self.core();
        let policy = Direct::new(choice, self.deployment.routers, self.deployment.engines);
        Simulation::new(core, policy, &self.script).run().0
    }

    fn core<E>(&self) -> Core<E> {
        let deployment = self.deployment.clone();
        let mut core = Core::new(deployment, self.arrivals.clone(), self.seed, self.until);
        core.set_apply_delays(self.apply_delays.clone());
        core
    }
}
