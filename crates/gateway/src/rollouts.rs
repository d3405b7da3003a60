//! The task that controls roll-outs of versions.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rollout::{
    Controller, Message, Order, Settings, Stage,
    controller::{Actions, Audience, Call, Identity, Recorded, View},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use units::{host, pool};
use xxhash_rust::xxh3;

use crate::{
    clock::Clock,
    dispatch::{self, Progress},
    metrics::Metrics,
    peers::sums,
    source::{Error, Member, Source},
    staleness::Staleness,
    status,
};

/// The interval at which decisions are made while there is an order.
const INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The age of the view of the servers from which on a router does not count as up to date.
///
/// Watchers confirm the view several times per second.
const MAX_VIEW_AGE: Duration = Duration::from_secs(4);

/// An input of the task.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The orders in force.
    Orders(Vec<Order>),
    /// A message of another router.
    Peer(Message),
}

/// The inputs and outputs of the task.
#[derive(Debug)]
pub struct Channels {
    /// The registered routers.
    pub members: watch::Receiver<Arc<Vec<Member>>>,
    /// The task that selects backend servers.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// Messages to other routers.
    pub peers: mpsc::UnboundedSender<(Audience, Message)>,
    /// Whether the stages of all orders are known.
    pub stages_known: watch::Sender<bool>,
    /// The state of the roll-outs, for the status page.
    pub status: watch::Sender<Vec<status::Rollout>>,
    /// The ages of the replicated views.
    pub ages: Arc<Staleness>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// The result of a call to the store for an order.
type Completion = (u64, Result<Recorded, Error>);

/// The state of the task.
#[derive(Debug)]
pub struct Task<S> {
    clock: Clock,
    source: S,
    host: host::Id,
    own: Identity,
    settings: Option<Settings>,
    channels: Channels,
    controllers: BTreeMap<pool::Id, Controller>,
    completions: mpsc::UnboundedSender<Completion>,
    is_up_to_date: bool,
    /// Whether orders have been received. Those that the first configuration holds may be old.
    has_orders: bool,
}

impl<S: Source> Task<S> {
    /// Creates a task without orders, and the channel on which its calls complete. Without
    /// `settings`, orders are ignored.
    pub fn new(
        clock: Clock,
        source: S,
        own: &Member,
        settings: Option<Settings>,
        channels: Channels,
    ) -> (Self, mpsc::UnboundedReceiver<Completion>) {
        let (completions, receiver) = mpsc::unbounded_channel();
        let task = Self {
            clock,
            source,
            host: own.host.clone(),
            own: Identity {
                host: sums::hash(own.host.as_str()),
                zone: sums::hash(own.zone.as_str()),
                reporter: rand::random(),
            },
            settings,
            channels,
            controllers: BTreeMap::new(),
            completions,
            is_up_to_date: true,
            has_orders: false,
        };
        (task, receiver)
    }

    /// Runs until all senders of events are dropped.
    pub async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut completions: mpsc::UnboundedReceiver<Completion>,
    ) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                Some(completion) = completions.recv() => self.complete(completion),
                _ = ticks.tick(), if !self.controllers.is_empty() => {}
            }
            if !self.controllers.is_empty() {
                self.advance().await;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Orders(orders) => self.set_orders(orders),
            Event::Peer(message) => {
                let now = self.clock.now();
                let mut controllers = self.controllers.values_mut();
                let revision = message.revision();
                let controller =
                    controllers.find(|controller| controller.order().revision == revision);
                if let Some(controller) = controller {
                    controller.receive(message, now);
                }
            }
        }
    }

    fn set_orders(&mut self, orders: Vec<Order>) {
        let Some(settings) = self.settings else {
            for order in orders {
                logging::event!(
                    warn,
                    "rollout_ignored",
                    pool = order.pool,
                    to = order.to,
                    reason = "the settings bound no exposure"
                );
            }
            self.channels.stages_known.send_replace(true);
            return;
        };
        let now = self.clock.now();
        let has_just_started = !std::mem::replace(&mut self.has_orders, true);
        let mut known = std::mem::take(&mut self.controllers);
        for order in orders {
            let is_same = |known: &Controller| known.order().revision == order.revision;
            let controller = known.remove(&order.pool).filter(is_same);
            let pool = order.pool.clone();
            let controller = controller.unwrap_or_else(|| {
                let controller = Controller::new(order, settings, self.own, now);
                if has_just_started {
                    controller.with_immediate_call()
                } else {
                    controller
                }
            });
            self.controllers.insert(pool, controller);
        }
        self.publish_knowledge();
        self.publish_status();
    }

    fn publish_status(&self) {
        let status = self.controllers.values().map(status_of);
        self.channels.status.send_replace(status.collect());
    }

    /// Publishes whether the stages of all orders are known.
    fn publish_knowledge(&self) {
        let mut controllers = self.controllers.values();
        let are_known = controllers.all(|controller| controller.stage().is_some());
        self.channels.stages_known.send_replace(are_known);
    }

    fn complete(&mut self, (revision, result): Completion) {
        let now = self.clock.now();
        let mut controllers = self.controllers.values_mut();
        let Some(controller) =
            controllers.find(|controller| controller.order().revision == revision)
        else {
            return;
        };
        match result {
            Ok(recorded) => controller.complete_call(Some(recorded), now),
            Err(error) => {
                logging::event!(
                    info,
                    "rollout_call_failed",
                    pool = controller.order().pool,
                    revision = revision,
                    reason = error
                );
                controller.complete_call(None, now);
            }
        }
    }

    /// Lets each roll-out decide, and carries out what it decides.
    async fn advance(&mut self) {
        self.publish_age();
        for progress in self.progress().await {
            self.advance_one(progress);
        }
        self.publish_knowledge();
        self.publish_status();
    }

    async fn progress(&self) -> Vec<Progress> {
        let (reply, progress) = oneshot::channel();
        self.notify_dispatch(dispatch::Message::Progress(reply));
        // The dispatch task lives as long as the process.
        progress.await.unwrap_or_default()
    }

    fn advance_one(&mut self, progress: Progress) {
        let now = self.clock.now();
        let members = Arc::clone(&self.channels.members.borrow());
        let Some(controller) = self.controllers.get_mut(&progress.pool) else {
            return;
        };
        let order = controller.order().clone();
        let view = View {
            members: members.len(),
            rank: rank(&members, &self.host, order.revision),
            baseline_load: progress.loads.baseline,
            total_load: progress.loads.total,
            candidate_servers: progress.loads.candidate_servers,
            is_serving: progress.is_serving,
            longest_response: progress.longest_response,
        };
        let Actions {
            stage,
            call,
            messages,
        } = controller.tick(progress.counts, &view, now);
        if let Some(stage) = stage {
            log_stage(controller, &view, stage);
            self.channels.metrics.rollout_stage_reached(stage);
            let message = dispatch::Message::Stage(order.pool.clone(), order.revision, stage);
            self.notify_dispatch(message);
        }
        if let Some(call) = call {
            self.call(order, call);
        }
        for message in messages {
            // The receiver lives as long as the process.
            drop(self.channels.peers.send(message));
        }
    }

    fn call(&self, order: Order, call: Call) {
        let source = self.source.clone();
        let completions = self.completions.clone();
        tokio::spawn(async move {
            let deadline = time::Instant::now() + CALL_TIMEOUT;
            let result = source.record_rollout(&order, call, deadline).await;
            if let Ok(recorded) = result {
                logging::event!(
                    info,
                    "rollout_recorded",
                    pool = order.pool,
                    to = order.to,
                    revision = order.revision,
                    wanted = call.state,
                    state = recorded.state,
                    elapsed_ms = recorded.elapsed
                );
            }
            // The task may have ended.
            drop(completions.send((order.revision, result)));
        });
    }

    /// Publishes whether the view of the servers is current.
    fn publish_age(&mut self) {
        let age = self.channels.ages.servers(self.clock.now());
        let is_up_to_date = age < MAX_VIEW_AGE;
        if is_up_to_date != self.is_up_to_date {
            self.is_up_to_date = is_up_to_date;
            self.notify_dispatch(dispatch::Message::UpToDate(is_up_to_date));
        }
    }

    fn notify_dispatch(&self, message: dispatch::Message) {
        // The receiver lives as long as the process.
        drop(self.channels.dispatch.send(message));
    }
}

/// The position of a router in the order in which routers call the store for a roll-out.
/// Routers that are not registered come last.
fn rank(members: &[Member], own: &host::Id, revision: u64) -> usize {
    let score = |host: &host::Id| xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), revision);
    let own_score = score(own);
    if !members.iter().any(|member| member.host == *own) {
        return members.len();
    }
    let before = members
        .iter()
        .filter(|member| score(&member.host) < own_score);
    before.count()
}

fn status_of(controller: &Controller) -> status::Rollout {
    let order = controller.order();
    let (reporters, counts) = controller.reports().total();
    status::Rollout {
        pool: order.pool.clone(),
        to: order.to.clone(),
        revision: order.revision,
        stage: controller.stage(),
        reporters,
        counts,
        assessment: controller.assessment(),
    }
}

fn log_stage(controller: &Controller, view: &View, stage: Stage) {
    let order = controller.order();
    let (reporters, counts) = controller.reports().total();
    let total = counts.total();
    let assessment = controller.assessment();
    logging::event!(
        info,
        "rollout_stage",
        pool = order.pool,
        to = order.to,
        revision = order.revision,
        stage = stage,
        reporters = reporters,
        baseline_answers = total.baseline.outcomes(),
        baseline_failures = total.baseline.failed,
        candidate_answers = total.candidate.outcomes(),
        candidate_failures = total.candidate.failed,
        score = format!("{:.1}", assessment.score),
        evidence = assessment.kind,
        events = assessment.events.candidate,
        events_of = assessment.events.candidate_total,
        baseline_load = view.baseline_load,
        candidate_servers = view.candidate_servers
    );
}
