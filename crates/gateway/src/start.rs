//! The start and the end of a router.

use std::{fmt, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt as _};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};

use crate::{
    clock::Clock,
    dispatch::Dispatch,
    follow::Follow,
    listener,
    metrics::Metrics,
    observer,
    protocol::Protocol,
    serve::Context,
    settings::Settings,
    shutdown::Phase,
    source::{Member, Source, Topic},
    state::{self, State},
};

/// How long callers are still taken after the process was told to end.
///
/// The balancer asks once a second and takes a router out after two misses.
const LEAVE: Duration = Duration::from_millis(3000);
/// How long before it would be killed the process ends by itself.
const MARGIN: Duration = Duration::from_millis(300);
/// How long a call that registers a router may take.
const REGISTER_LIMIT: Duration = Duration::from_secs(1);
/// The pause after one that failed.
const REGISTER_PAUSE: Duration = Duration::from_millis(400);
/// The most connections of callers.
const MAX_CONNECTIONS: usize = 1500;

/// A router that could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It could not listen for callers.
    Callers,
    /// It could not listen for the balancer.
    Readiness,
    /// It could not listen for questions about its metrics.
    Metrics,
    /// It cannot be told to end.
    Signals,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Callers => "cannot listen for callers",
            Self::Readiness => "cannot listen for the balancer",
            Self::Metrics => "cannot listen for questions about metrics",
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
}

impl<S: Source> Router<S> {
    /// Starts all tasks of a router.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened on.
    pub async fn start<P: Protocol>(
        settings: Settings,
        protocol: P,
        source: S,
    ) -> Result<Self, Report<Error>> {
        let callers = TcpListener::bind(settings.callers)
            .await
            .change_context(Error::Callers)?;
        let readiness = TcpListener::bind(settings.readiness)
            .await
            .change_context(Error::Readiness)?;
        let questions = TcpListener::bind(settings.metrics)
            .await
            .change_context(Error::Metrics)?;
        let clock = Clock::start();
        let metrics = Arc::new(Metrics::default());
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let (table_sender, table) = watch::channel(None);
        let (readiness_sender, readiness_receiver) = watch::channel(state::Readiness::default());
        let (members_sender, members) = watch::channel(Arc::default());
        let (dispatch, handle, messages) = Dispatch::new(clock, settings.clone());
        tokio::spawn(dispatch.run(messages));
        let outputs = state::Outputs {
            table: table_sender,
            readiness: readiness_sender,
            members: members_sender,
            dispatch: handle.clone(),
            metrics: Arc::clone(&metrics),
        };
        let (events, event_receiver) = mpsc::channel(EVENTS);
        let state = State::new(source.clone(), clock, outputs);
        tokio::spawn(state.run(event_receiver));
        for topic in Topic::ALL {
            let metrics = Arc::clone(&metrics);
            let follow = Follow::new(source.clone(), topic, events.clone(), metrics);
            tokio::spawn(follow.run());
        }
        let sources = observer::Sources {
            readiness: readiness_receiver,
            phase: phase_receiver.clone(),
            metrics: Arc::clone(&metrics),
        };
        tokio::spawn(observer::serve(readiness, sources.clone()));
        tokio::spawn(observer::serve(questions, sources));
        let context = Arc::new(Context {
            protocol,
            clock,
            table,
            dispatch: handle,
            phase: phase_receiver.clone(),
            metrics,
        });
        let callers = listener::serve(callers, context, MAX_CONNECTIONS, phase_receiver);
        tokio::spawn(register(source.clone(), settings.clone(), members.clone()));
        Ok(Self {
            source,
            settings,
            phase,
            callers: tokio::spawn(callers),
            members,
        })
    }

    /// Runs until the process is told to end, then shuts down gracefully.
    ///
    /// # Errors
    ///
    /// When the process cannot be told to end.
    pub async fn run_until_signalled(self) -> Result<(), Report<Error>> {
        let mut terminate = signal(SignalKind::terminate()).change_context(Error::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).change_context(Error::Signals)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
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
        time::sleep(LEAVE).await;
        self.phase.send_replace(Phase::Closing);
        logging::event!(info, "closing");
        let end = started + self.settings.grace.duration().saturating_sub(MARGIN);
        let left = self.source.unregister(&self.settings.host, end);
        let (drained, left) = tokio::join!(time::timeout_at(end, self.callers), left);
        if drained.is_err() {
            logging::event!(warn, "drain_timed_out");
        }
        if let Err(error) = left {
            logging::event!(info, "unregister_failed", reason = error);
        }
        logging::event!(info, "closed");
    }
}

/// How many events of the store may wait to be taken in.
const EVENTS: usize = 64;

/// Registers this router until the store lists it, and again whenever it is missing.
async fn register<S: Source>(
    source: S,
    settings: Settings,
    mut members: watch::Receiver<Arc<Vec<Member>>>,
) {
    let own = Member {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: settings.peers,
    };
    loop {
        let is_listed = members.borrow_and_update().contains(&own);
        if is_listed {
            if members.changed().await.is_err() {
                return;
            }
            continue;
        }
        let deadline = time::Instant::now() + REGISTER_LIMIT;
        if let Err(error) = source.register(&own, deadline).await {
            logging::event!(info, "register_failed", reason = error);
        }
        // The list follows within a moment; until it does, nothing is missing.
        let listed = time::timeout(REGISTER_PAUSE, members.changed()).await;
        drop(listed);
    }
}
