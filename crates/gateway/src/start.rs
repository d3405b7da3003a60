//! The start and the end of a router.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt as _};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::{Semaphore, mpsc, watch},
    task::JoinHandle,
    time,
};

use crate::{
    ages::Ages,
    clock::Clock,
    dispatch::{self, Dispatch},
    follow::{self, Follow},
    listener,
    metrics::Metrics,
    observer,
    peers::{
        self,
        introduction::{self, Introduced},
    },
    protocol::Protocol,
    readiness::Readiness,
    serve::{self, BODY_UNIT, Context},
    settings::Settings,
    shutdown::Phase,
    source::{self, Batch, Member, Secret, Source, Topic},
    state::{self, State},
};

/// How long callers are still taken after the process was told to end.
///
/// The balancer asks once a second and takes a router out after two misses.
const LEAVE_PERIOD: Duration = Duration::from_millis(3000);
/// How long before it would be killed the process ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// How long a call that registers a router may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after one that failed.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// How long the store alone is asked for the key, and the pause between two rounds of others.
///
/// A store that answers does so within some milliseconds; one that is slowed to
/// sixty times that still answers first.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(400);
/// How often the settings are read again without being told.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// A router that could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It could not listen for callers.
    Callers,
    /// It could not listen for the balancer.
    Readiness,
    /// It could not listen for questions about its metrics.
    Metrics,
    /// It could not listen for other routers.
    Peers,
    /// It cannot be told to end.
    Signals,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Callers => "cannot listen for callers",
            Self::Readiness => "cannot listen for the balancer",
            Self::Metrics => "cannot listen for questions about metrics",
            Self::Peers => "cannot listen for other routers",
            Self::Signals => "cannot receive signals",
        })
    }
}

impl std::error::Error for Error {}

/// A running router.
#[derive(Debug)]
pub struct Router<S> {
    source: S,
    settings: Settings,
    phase: watch::Sender<Phase>,
    callers: JoinHandle<()>,
    members: watch::Receiver<Arc<Vec<Member>>>,
    dispatch: mpsc::UnboundedSender<dispatch::Message>,
}

impl<S: Source> Router<S> {
    /// Starts all tasks of a router.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened on.
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
        let metrics = Arc::new(Metrics::default());
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let (table_sender, table) = watch::channel(None);
        let (readiness_sender, readiness_receiver) = watch::channel(Readiness::default());
        let (members_sender, members) = watch::channel(Arc::default());
        let (replicas_sender, replicas) = watch::channel(Arc::default());
        let (dispatch, handle, messages) =
            Dispatch::new(clock, Arc::clone(&metrics), settings.clone());
        tokio::spawn(dispatch.run(messages));
        let ages = Arc::new(Ages::default());
        let outputs = state::Outputs {
            ages: Arc::clone(&ages),
            table: table_sender,
            readiness: readiness_sender,
            members: members_sender,
            replicas: replicas_sender,
            dispatch: handle.clone(),
            metrics: Arc::clone(&metrics),
        };
        let (events, event_receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let state = State::new(source.clone(), clock, outputs);
        tokio::spawn(state.run(event_receiver));
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
            tokio::spawn(follow.run());
        }
        let own = Member {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.peers,
        };
        let event_sender = events.clone();
        let inputs = peers::Inputs {
            own: own.clone(),
            members: members.clone(),
            replicas,
            is_store_reachable,
        };
        let outputs = peers::Outputs {
            dispatch: handle.clone(),
            events,
            is_watching: watching_sender,
            ages: Arc::clone(&ages),
            metrics: Arc::clone(&metrics),
        };
        tokio::spawn(run_gossip(
            clock,
            source.clone(),
            settings.introducers.clone(),
            sockets.peers,
            inputs,
            outputs,
        ));
        let sources = observer::Sources {
            readiness: readiness_receiver.clone(),
            phase: phase_receiver.clone(),
            metrics: Arc::clone(&metrics),
            host: settings.host.clone(),
            clock,
            ages: Arc::clone(&ages),
            dispatch: handle.clone(),
        };
        tokio::spawn(observer::serve(sockets.readiness, sources.clone()));
        tokio::spawn(observer::serve(sockets.metrics, sources));
        let context = Arc::new(Context {
            anonymous: settings.anonymous.clone(),
            protocol,
            clock,
            table,
            dispatch: handle.clone(),
            phase: phase_receiver.clone(),
            body_memory: Arc::new(Semaphore::new(settings.body_memory / BODY_UNIT)),
            metrics,
            ages,
            readiness: readiness_receiver,
            start_deadline: clock.now() + serve::START_TIMEOUT,
        });
        let callers = listener::serve(
            sockets.callers,
            context,
            settings.connections,
            phase_receiver,
        );
        tokio::spawn(register(source.clone(), own, members.clone(), event_sender));
        Ok(Self {
            source,
            settings,
            phase,
            callers: tokio::spawn(callers),
            members,
            dispatch: handle,
        })
    }

    /// The settings, with the addresses that it listens on.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes over settings that may change while the process runs: its bounds
    /// and its grace period. Addresses stay as they are.
    pub fn reload(&mut self, settings: &Settings) {
        if settings.bounds == self.settings.bounds && settings.grace == self.settings.grace {
            return;
        }
        logging::event!(info, "settings_reloaded", grace_ms = settings.grace);
        self.settings.bounds = settings.bounds;
        self.settings.grace = settings.grace;
        let message = dispatch::Message::Bounds(settings.bounds);
        // The task ends only with the process.
        drop(self.dispatch.send(message));
    }

    /// Runs until the process is told to end, then shuts down gracefully.
    ///
    /// `read` reads the settings again: when the process is told that they
    /// have changed, and now and then, since they may change in silence.
    ///
    /// # Errors
    ///
    /// When the process cannot be told to end.
    pub async fn run_until_signalled<F>(mut self, read: F) -> Result<(), Report<Error>>
    where
        F: Fn() -> Option<Settings>,
    {
        let mut terminate = signal(SignalKind::terminate()).change_context(Error::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Signals)?;
        let mut hangup = signal(SignalKind::hangup()).change_context(Error::Signals)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => {}
                () = time::sleep(RELOAD_INTERVAL) => {}
            }
            if let Some(settings) = read() {
                self.reload(&settings);
            }
        }
        self.shut_down().await;
        Ok(())
    }

    /// Shuts down without cutting off a request.
    ///
    /// The balancer takes a while to notice that the router is not ready, and
    /// sends callers until then. They are still served; only after that the
    /// listener closes. The process ends with the last answer, or just before
    /// it would be killed.
    pub async fn shut_down(self) {
        let started = time::Instant::now();
        logging::event!(info, "leaving", routers = self.members.borrow().len());
        self.phase.send_replace(Phase::Leaving);
        time::sleep(LEAVE_PERIOD).await;
        self.phase.send_replace(Phase::Closing);
        logging::event!(info, "closing");
        let deadline = started + self.settings.grace.duration().saturating_sub(KILL_MARGIN);
        let unregistered = self.source.unregister(&self.settings.host, deadline);
        let (drained, unregistered) =
            tokio::join!(time::timeout_at(deadline, self.callers), unregistered);
        if drained.is_err() {
            logging::event!(warn, "drain_timed_out");
        }
        if let Err(error) = unregistered {
            logging::event!(info, "unregister_failed", reason = error);
        }
        logging::event!(info, "closed");
    }
}

/// All that a router listens on.
struct Sockets {
    callers: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
    peers: peers::Sockets,
}

impl Sockets {
    /// Listens on the addresses of the settings, and puts the ports that the
    /// system chose into them.
    async fn bind(settings: &mut Settings) -> Result<Self, Report<Error>> {
        let callers = listen(&mut settings.callers, Error::Callers).await?;
        let readiness = listen(&mut settings.readiness, Error::Readiness).await?;
        let metrics = listen(&mut settings.metrics, Error::Metrics).await?;
        let rows = listen(&mut settings.peers, Error::Peers).await?;
        let introductions = listen(&mut settings.introductions, Error::Peers).await?;
        let digests = UdpSocket::bind(settings.peers)
            .await
            .change_context(Error::Peers)?;
        Ok(Self {
            callers,
            readiness,
            metrics,
            peers: peers::Sockets {
                digests,
                rows,
                introductions,
            },
        })
    }
}

async fn listen(address: &mut SocketAddr, error: Error) -> Result<TcpListener, Report<Error>> {
    let listener = TcpListener::bind(*address).await.change_context(error)?;
    *address = listener.local_addr().change_context(error)?;
    Ok(listener)
}

/// Learns the key of the fleet, and talks to the other routers from then on.
async fn run_gossip<S: Source>(
    clock: Clock,
    source: S,
    introducers: Vec<SocketAddr>,
    sockets: peers::Sockets,
    inputs: peers::Inputs,
    outputs: peers::Outputs,
) {
    let secret = tokio::select! {
        secret = read_secret(&source) => secret,
        introduced = request_introduction(&introducers) => {
            for (topic, batch) in introduced.batches {
                // The task ends only with the process.
                drop(outputs.events.send(follow::Event::Relayed(topic, batch)).await);
            }
            introduced.secret
        }
    };
    peers::run(clock, source, sockets, secret, inputs, outputs).await;
}

/// Reads the key of the fleet, until it is there.
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

/// Asks other routers for the key, and for all that they know, until one answers.
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

/// How many events of the store may wait to be taken in.
const EVENT_CHANNEL_CAPACITY: usize = 64;

/// Registers this router until the store lists it, and again whenever it is missing.
async fn register<S: Source>(
    source: S,
    own: Member,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
    events: mpsc::Sender<follow::Event>,
) {
    loop {
        let is_listed = members.borrow_and_update().contains(&own);
        if is_listed {
            if members.changed().await.is_err() {
                return;
            }
            continue;
        }
        match register_once(&source, &own).await {
            Ok(batch) => {
                let event = follow::Event::Batch(Topic::Routers, batch);
                // The task ends only with the process.
                drop(events.send(event).await);
            }
            Err(error) => logging::event!(info, "register_failed", reason = error),
        }
        // The list is published within a moment; until it is, nothing is missing.
        let listed = time::timeout(STORE_RETRY_INTERVAL, members.changed()).await;
        drop(listed);
    }
}

/// Registers this router and reads who else is registered.
async fn register_once<S: Source>(source: &S, own: &Member) -> Result<Batch, source::Error> {
    let deadline = time::Instant::now() + STORE_TIMEOUT;
    source.register(own, deadline).await?;
    source.read(Topic::Routers, deadline).await
}
