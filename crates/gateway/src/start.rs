//! Startup and graceful shutdown of a router.

mod registration;
mod sockets;

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt as _};
use ingress::Pool;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    task::{JoinHandle, JoinSet},
    time,
};
use wire::seal::Key;

use sockets::Sockets;

use crate::{
    check,
    clock::Clock,
    confirmation,
    connector::Connector,
    discard::Room,
    dispatch::{self, Dispatch},
    follow::{self, Follow},
    gate::Gates,
    held, journal, listener, lost_routers,
    metrics::Metrics,
    observer, origins,
    peers::{
        self,
        introduction::{self, Introduced},
    },
    protocol::Protocol,
    readiness::Readiness,
    recorder, rollouts,
    serve::{self, Context},
    service_versions,
    settings::Settings,
    shutdown::Phase,
    source::{Member, Secret, Source, Topic},
    staleness::Staleness,
    state::{self, State},
    tunnel,
};

/// How long new connections are still accepted after a termination signal.
///
/// The load balancer probes readiness once per second and removes a router after two
/// failed probes.
const LEAVE_PERIOD: Duration = Duration::from_millis(3000);
/// No attempt begins in the last of this many equal parts of the grace period.
const ENDING_SHARE: u32 = 6;
/// How long before the end of the grace period the process exits by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// The timeout of a store call at startup: a read of the fleet key, or a registration.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval between such calls.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// The delay before other routers are asked for the fleet key, and the interval between
/// rounds of such requests.
///
/// A store responds within a few milliseconds; even one that is sixty times slower
/// responds before the first round.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(400);
/// The interval at which the settings are reloaded without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// The most bytes that the kernel holds for a caller and has not sent yet, where there is memory for
/// more.
const MAX_UNSENT: usize = 32 * 1024;

/// What the kernel may hold for each caller that does not read, as much as of what it has sent.
fn unsent(settings: &Settings) -> u32 {
    let buffer = ingress::listener::buffer(settings.socket_memory, settings.connections);
    let buffer = buffer.unwrap_or(MAX_UNSENT).min(MAX_UNSENT);
    u32::try_from(buffer).unwrap_or(u32::MAX)
}

/// Why a router could not start or run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It could not listen for callers.
    Callers,
    /// It could not listen for readiness probes of the load balancer.
    Readiness,
    /// It could not listen for metrics requests.
    Metrics,
    /// It could not listen for other routers.
    Peers,
    /// It could not install signal handlers.
    Signals,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Callers => "cannot listen for callers",
            Self::Readiness => "cannot listen for readiness probes",
            Self::Metrics => "cannot listen for metrics requests",
            Self::Peers => "cannot listen for other routers",
            Self::Signals => "cannot install signal handlers",
        })
    }
}

impl std::error::Error for Error {}

/// A running router. Its tasks end when it is dropped, without a shutdown.
#[derive(Debug)]
pub struct Router<S> {
    source: S,
    settings: Settings,
    phase: watch::Sender<Phase>,
    callers: JoinHandle<()>,
    /// Carries connections to servers for other routers.
    tunnels: JoinHandle<()>,
    /// Registers this router in the store until it leaves.
    registration: JoinHandle<()>,
    members: watch::Receiver<Arc<Vec<Member>>>,
    dispatch: mpsc::UnboundedSender<dispatch::Message>,
    held: Arc<held::Memory>,
    metrics: Arc<Metrics>,
    /// The tasks that end with the router.
    _tasks: JoinSet<()>,
}

impl<S: Source> Router<S> {
    /// Starts all tasks of a router.
    ///
    /// # Errors
    ///
    /// When a listener cannot be bound.
    pub async fn start<P: Protocol>(
        mut settings: Settings,
        protocol: P,
        source: S,
    ) -> Result<Self, Report<Error>> {
        let sockets = Sockets::bind(&mut settings).await?;
        logging::event!(
            info,
            "listening",
            callers = settings.callers,
            readiness = settings.readiness,
            metrics = settings.metrics,
            peers = settings.peers
        );
        let clock = Clock::start();
        let mut tasks = JoinSet::new();
        let metrics = Arc::new(Metrics::default());
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let (table_sender, table) = watch::channel(None);
        let (readiness_sender, readiness_receiver) = watch::channel(Readiness::default());
        let (members_sender, members) = watch::channel(Arc::default());
        let (replicas_sender, replicas) = watch::channel(Arc::default());
        let (dispatch, handle, messages) =
            Dispatch::new(clock, Arc::clone(&metrics), settings.clone());
        let crash_news = dispatch.crash_news();
        let (host, backlog) = (settings.host.clone(), dispatch.backlog());
        tasks.spawn(recorder::run(source.clone(), host.clone(), backlog));
        let (version_backlog, backlog) = watch::channel(Arc::default());
        tasks.spawn(recorder::run::<_, service_versions::Backlog>(
            source.clone(),
            host,
            backlog,
        ));
        let (lost_routers, backlog) = watch::channel(Arc::default());
        tasks.spawn(recorder::run::<_, lost_routers::Backlog>(
            source.clone(),
            settings.host.clone(),
            backlog,
        ));
        let (key_sender, key) = watch::channel(None);
        let connector = Connector {
            protocol: protocol.clone(),
            tunnels: tunnel::Client::new(key.clone()),
        };
        tasks.spawn(dispatch.run(connector.clone(), messages));
        let (checks, check_receiver) = mpsc::unbounded_channel();
        let checker = check::Task::new(connector.clone(), clock, Arc::clone(&metrics));
        tasks.spawn(checker.run(check_receiver));
        let ages = Arc::new(Staleness::default());
        let (rollouts_sender, rollout_events) = mpsc::unbounded_channel();
        let (rollout_messages, rollout_receiver) = mpsc::unbounded_channel();
        let (stages_sender, stages_known) = watch::channel(false);
        let (rollout_status_sender, rollout_status) = watch::channel(Vec::new());
        let (history_sender, history) = watch::channel(origins::History::default());
        let (origins_sender, origins_receiver) = mpsc::unbounded_channel();
        let (confirmations, confirmation_requests) = mpsc::unbounded_channel();
        let (journal_reads, journal_requests) = mpsc::unbounded_channel();
        tasks.spawn(journal::read(source.clone(), journal_requests));
        let (journal_writes, journal_records) = mpsc::unbounded_channel();
        tasks.spawn(journal::write(
            source.clone(),
            clock,
            settings.host.clone(),
            Arc::clone(&metrics),
            journal_records,
        ));
        let (unusable_sender, unusable) = watch::channel(Vec::new());
        let outputs = state::Outputs {
            history: history_sender,
            version_backlog,
            rollouts: rollouts_sender.clone(),
            ages: Arc::clone(&ages),
            table: table_sender,
            readiness: readiness_sender,
            members: members_sender,
            replicas: replicas_sender,
            dispatch: handle.clone(),
            unusable: unusable_sender,
            metrics: Arc::clone(&metrics),
        };
        let (events, event_receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let state = State::new(source.clone(), clock, outputs);
        tasks.spawn(state.run(event_receiver));
        let confirming = confirmation::run(source.clone(), events.clone(), confirmation_requests);
        tasks.spawn(confirming);
        let (watching_sender, is_watching) = watch::channel(false);
        let (store_reachable_sender, is_store_reachable) = watch::channel(false);
        for topic in Topic::ALL {
            let follow = Follow::new(
                source.clone(),
                topic,
                events.clone(),
                Arc::clone(&metrics),
                is_watching.clone(),
                store_reachable_sender.clone(),
            );
            tasks.spawn(follow.run());
        }
        let own = Member {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.peers,
            tunnels: Some(settings.tunnels),
        };
        let channels = rollouts::Channels {
            members: members.clone(),
            dispatch: handle.clone(),
            peers: rollout_messages,
            stages_known: stages_sender,
            status: rollout_status_sender,
            ages: Arc::clone(&ages),
            metrics: Arc::clone(&metrics),
        };
        let bounds = settings.bounds.rollouts;
        let (task, completions) =
            rollouts::Task::new(clock, source.clone(), &own, bounds, channels);
        tasks.spawn(task.run(rollout_events, completions));
        let event_sender = events.clone();
        let inputs = peers::Inputs {
            crash_news,
            origins: origins_receiver,
            history: history.clone(),
            rollouts: rollout_receiver,
            own: own.clone(),
            members: members.clone(),
            replicas,
            is_store_reachable,
        };
        let outputs = peers::Outputs {
            rollouts: rollouts_sender,
            dispatch: handle.clone(),
            events,
            is_watching: watching_sender,
            journal: journal_writes,
            lost_routers,
            ages: Arc::clone(&ages),
            metrics: Arc::clone(&metrics),
        };
        tasks.spawn(run_gossip(
            clock,
            source.clone(),
            settings.introducers.clone(),
            sockets.peers,
            key_sender,
            inputs,
            outputs,
        ));
        let server = tunnel::Server {
            protocol,
            key,
            dispatch: handle.clone(),
            clock,
            metrics: Arc::clone(&metrics),
            gates: Gates::default(),
            phase: phase_receiver.clone(),
        };
        let tunnels = tunnel::serve(sockets.tunnels, server, settings.max_tunnels);
        let held = Arc::new(held::Memory::new(&settings));
        let sources = observer::Sources {
            held: Arc::clone(&held),
            readiness: readiness_receiver.clone(),
            phase: phase_receiver.clone(),
            metrics: Arc::clone(&metrics),
            host: settings.host.clone(),
            clock,
            ages: Arc::clone(&ages),
            dispatch: handle.clone(),
            rollouts: rollout_status,
            table: table.clone(),
            unusable,
        };
        tasks.spawn(observer::serve(sockets.readiness, sources.clone()));
        tasks.spawn(observer::serve(sockets.metrics, sources));
        let context = Arc::new(Context {
            anonymous: settings.anonymous.clone(),
            connector,
            clock,
            table,
            dispatch: handle.clone(),
            checks,
            phase: phase_receiver.clone(),
            body_memory: Pool::new(ingress::Limits::new(settings.body_memory)),
            held: Arc::clone(&held),
            unsent: unsent(&settings),
            discards: Room::new(settings.connections),
            max_event_bytes: settings.max_event_bytes,
            metrics: Arc::clone(&metrics),
            ages,
            origins: origins_sender,
            journal: journal_reads,
            confirmations,
            history,
            readiness: readiness_receiver,
            stages_known,
            start_deadline: clock.now() + serve::START_TIMEOUT,
        });
        let callers = listener::serve(
            sockets.callers,
            context,
            settings.connections,
            phase_receiver,
        );
        let registration = registration::run(
            source.clone(),
            own,
            members.clone(),
            event_sender,
            phase.subscribe(),
        );
        Ok(Self {
            source,
            settings,
            phase,
            callers: tokio::spawn(callers),
            tunnels: tokio::spawn(tunnels),
            registration: tokio::spawn(registration),
            members,
            dispatch: handle,
            held,
            metrics,
            _tasks: tasks,
        })
    }

    /// The settings, with the addresses that were actually bound.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies the settings that may change while the process runs: the bounds and the
    /// grace period. Addresses remain unchanged.
    pub fn reload(&mut self, settings: &Settings) {
        if settings.bounds == self.settings.bounds && settings.grace == self.settings.grace {
            return;
        }
        logging::event!(info, "settings_reloaded", grace_ms = settings.grace);
        self.settings.bounds = settings.bounds;
        self.held.set_on(settings.bounds.is_contended);
        self.settings.grace = settings.grace;
        let message = dispatch::Message::Bounds(settings.bounds);
        // The receiver lives as long as the process.
        drop(self.dispatch.send(message));
    }

    /// Runs until a termination signal, then shuts down gracefully.
    ///
    /// `read` reloads the settings. It is called on SIGHUP, and periodically because they
    /// may change without a signal. What it returns at the termination signal holds until the
    /// process ends.
    ///
    /// # Errors
    ///
    /// When a signal handler cannot be installed.
    pub async fn run_until_signalled<F>(mut self, mut read: F) -> Result<(), Report<Error>>
    where
        F: FnMut() -> Option<Settings>,
    {
        let mut terminate = signal(SignalKind::terminate()).change_context(Error::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).change_context(Error::Signals)?;
        let mut is_ending = false;
        while !is_ending {
            tokio::select! {
                _ = terminate.recv() => is_ending = true,
                _ = interrupt.recv() => is_ending = true,
                _ = hangup.recv() => {}
                () = time::sleep(RELOAD_INTERVAL) => {}
            }
            let settings = read();
            self.metrics.set_settings_refused(settings.is_none());
            if let Some(settings) = settings {
                self.reload(&settings);
            }
        }
        self.shut_down().await;
        Ok(())
    }

    /// Shuts down without interrupting requests.
    ///
    /// The load balancer takes some time to detect that the router is not ready and sends
    /// callers until then. They are still served, and the listener closes only afterwards.
    /// The process exits after the last response, or shortly before it would be killed.
    pub async fn shut_down(self) {
        let started = time::Instant::now();
        logging::event!(info, "leaving", routers = self.members.borrow().len());
        self.phase.send_replace(Phase::Leaving);
        time::sleep(LEAVE_PERIOD).await;
        self.phase.send_replace(Phase::Closing);
        logging::event!(info, "closing");
        let grace = self.settings.grace.duration();
        let ending = tokio::spawn(end_at(started + grace - grace / ENDING_SHARE, self.phase));
        let deadline = started + grace.saturating_sub(KILL_MARGIN);
        let unregistered = async {
            // It ends with the call that is under way.
            drop(time::timeout_at(deadline, self.registration).await);
            self.source.unregister(&self.settings.host, deadline).await
        };
        let (drained, carried, unregistered) = tokio::join!(
            time::timeout_at(deadline, self.callers),
            time::timeout_at(deadline, self.tunnels),
            unregistered
        );
        ending.abort();
        if drained.is_err() || carried.is_err() {
            logging::event!(warn, "drain_timed_out");
        }
        if let Err(error) = unregistered {
            logging::event!(info, "unregister_failed", reason = error);
        }
        logging::event!(info, "closed");
    }
}

/// Begins the last phase of the shutdown at `at`.
async fn end_at(at: time::Instant, phase: watch::Sender<Phase>) {
    time::sleep_until(at).await;
    phase.send_replace(Phase::Ending);
    logging::event!(info, "ending");
    phase.closed().await;
}

/// Obtains the fleet key, then runs the gossip task.
async fn run_gossip<S: Source>(
    clock: Clock,
    source: S,
    introducers: Vec<SocketAddr>,
    sockets: peers::Sockets,
    key: watch::Sender<Option<Key>>,
    inputs: peers::Inputs,
    outputs: peers::Outputs,
) {
    let secret = tokio::select! {
        secret = read_secret(&source) => secret,
        introduced = request_introduction(&introducers) => {
            for (topic, batch) in introduced.batches {
                // The receiver lives as long as the process.
                drop(outputs.events.send(follow::Event::Relayed(topic, batch)).await);
            }
            introduced.secret
        }
    };
    key.send_replace(Some(secret.key.clone()));
    peers::run(clock, source, sockets, secret, inputs, outputs).await;
}

/// Reads the fleet key from the store, and retries until it is available.
async fn read_secret<S: Source>(source: &S) -> Secret {
    loop {
        let deadline = time::Instant::now() + STORE_TIMEOUT;
        match source.secret(deadline).await {
            Ok(secret) => return secret,
            Err(error) => logging::event!(info, "secret_unavailable", reason = error),
        }
        time::sleep(STORE_RETRY_INTERVAL).await;
    }
}

/// Requests the fleet key and all rows from other routers until one responds.
async fn request_introduction(introducers: &[SocketAddr]) -> Introduced {
    loop {
        time::sleep(INTRODUCTION_INTERVAL).await;
        for &address in introducers {
            match introduction::request(address).await {
                Ok(introduced) => {
                    logging::event!(info, "introduced", peer = address);
                    return introduced;
                }
                Err(error) => {
                    logging::event!(info, "introduction_failed", peer = address, reason = error);
                }
            }
        }
    }
}

/// The capacity of the channel of store events.
const EVENT_CHANNEL_CAPACITY: usize = 64;
