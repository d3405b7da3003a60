//! The membership task: it tracks the other routers and owns the UDP socket for
//! heartbeats.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use fleet::{Action, Event, Fleet, Received, Seed};
use recovery::Evidence;
use storage::hosts;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time,
};
use units::{host, revision};
use wire::{heartbeat, seal};

use crate::{
    clock::Clock,
    follow,
    members::{Members, Peer, Role},
    metrics::{Direction, Metrics},
    tracker,
};

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Size of the IP and UDP headers of a datagram, which count as control traffic
/// too.
const HEADER_BYTES: usize = 28;

/// A message to the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// This router applied a revision of the configuration.
    Applied(revision::Id),
    /// This router is ready to serve.
    Ready,
    /// This router has learned whether a request crashes backend servers.
    Evidence(Evidence),
    /// This router starts its graceful shutdown.
    Leaving,
    /// This router has drained and is about to exit.
    Left,
}

/// The channels on which the task publishes.
#[derive(Debug)]
pub struct Outputs {
    /// The known routers.
    pub members: watch::Sender<Arc<Members>>,
    /// The task that keeps the configuration up to date.
    pub follow: mpsc::Sender<follow::Message>,
    /// The task that tracks which requests may crash backend servers.
    pub tracker: tracker::Handle,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// Whether the other routers have been notified that this router serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    /// It is not ready to serve.
    Starting,
    /// It is ready, but has not announced it.
    Pending,
    /// It has announced that it serves.
    Announced,
}

/// How the polling of the table is shared, as last published.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Polls {
    routers: usize,
    duty: bool,
}

/// State of the task.
#[derive(Debug)]
pub struct Gossip {
    clock: Clock,
    socket: UdpSocket,
    key: seal::Key,
    own: heartbeat::Identity,
    sealer: seal::Sealer,
    opener: seal::Opener,
    fleet: Fleet,
    applied: revision::Id,
    readiness: Readiness,
    polls: Polls,
    outputs: Outputs,
}

impl Gossip {
    /// Creates a task that knows no other routers yet.
    pub fn new(
        clock: Clock,
        socket: UdpSocket,
        key: seal::Key,
        own: heartbeat::Identity,
        outputs: Outputs,
    ) -> Self {
        let boot = incarnation();
        let settings = fleet::Settings::default();
        Self {
            clock,
            socket,
            sealer: seal::Sealer::new(&key, &own.host, boot),
            opener: seal::Opener::new(&key, &own.host, boot),
            fleet: Fleet::new(settings, own.clone(), boot, rand::random(), clock.now()),
            key,
            own,
            applied: revision::Id::default(),
            readiness: Readiness::Starting,
            polls: Polls::default(),
            outputs,
        }
    }

    /// Runs until the senders of messages are dropped.
    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        mut hosts: watch::Receiver<Arc<Vec<hosts::Host>>>,
        initial: Vec<Seed>,
    ) {
        self.handle(Event::Hosts(initial)).await;
        let mut tick = time::interval(fleet::Settings::default().tick);
        // With delayed ticks, a pause of the process shows as a gap before the
        // next tick. A burst of missed ticks would hide it.
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let event = tokio::select! {
                message = messages.recv() => match message {
                    Some(Message::Ready) => {
                        self.readiness = Readiness::Pending;
                        continue;
                    }
                    Some(message) => self.event(message),
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => match self.open(&buffer[..length], from) {
                        Some(heard) => Event::Heartbeat(Box::new(heard)),
                        None => continue,
                    },
                    Err(error) => {
                        logging::event!(debug, "heartbeat_failed", error = error);
                        continue;
                    }
                },
                changed = hosts.changed() => match changed {
                    Ok(()) => Event::Hosts(seeds(&hosts.borrow_and_update())),
                    Err(_) => return,
                },
                _ = tick.tick() => Event::Tick,
            };
            self.handle(event).await;
            self.announce_ready().await;
        }
    }

    /// Announces that this router serves, once it can trust its own view.
    ///
    /// A router that announces itself earlier is treated as an owner, but
    /// refuses the requests sent to it, since it does not know yet which
    /// servers it owns.
    async fn announce_ready(&mut self) {
        if self.readiness == Readiness::Pending && self.fleet.is_view_trusted(self.clock.now()) {
            self.readiness = Readiness::Announced;
            self.handle(Event::Ready).await;
        }
    }

    fn event(&mut self, message: Message) -> Event {
        match message {
            Message::Applied(revision) => {
                self.applied = revision;
                Event::Applied(revision)
            }
            // Announced later, see `announce_ready`.
            Message::Ready => Event::Tick,
            Message::Evidence(evidence) => Event::Evidence(evidence),
            Message::Leaving => Event::Leaving,
            Message::Left => Event::Left,
        }
    }

    fn open(&mut self, datagram: &[u8], from: SocketAddr) -> Option<Received> {
        let metrics = &self.outputs.metrics;
        metrics.control_traffic(Direction::Received, datagram.len() + HEADER_BYTES);
        let opened = match self.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                logging::event!(debug, "heartbeat_refused", peer = from, error = error);
                return None;
            }
        };
        let frame = heartbeat::Frame::decode(opened.payload).ok()?;
        Some(Received {
            from,
            tag: opened.tag,
            boot: opened.boot,
            fresh: opened.fresh,
            frame,
        })
    }

    async fn handle(&mut self, event: Event) {
        let may_change = !matches!(event, Event::Heartbeat(_));
        let actions = self.fleet.handle(event, self.clock.now());
        let mut changed = false;
        for action in actions {
            changed |= matches!(action, Action::Phase { .. } | Action::ViewTrusted(_));
            self.execute(action).await;
        }
        if changed || may_change {
            self.publish();
        }
    }

    async fn execute(&mut self, action: Action) {
        match action {
            Action::Send(send) => self.send(&send).await,
            Action::Phase { host, phase } => {
                logging::event!(info, "router_phase", router = host, phase = phase);
            }
            Action::ViewTrusted(trusted) => logging::event!(info, "own_view", sure = trusted),
            Action::NewerRevision {
                revision,
                host,
                address,
            } => {
                let message = follow::Message::NewerRevision {
                    host,
                    address,
                    revision,
                };
                // If the channel is full, the task is already working on
                // updates; the next heartbeat carries the revision again.
                let _ = self.outputs.follow.try_send(message);
            }
            // The load of a pool is carried by the replies of owners.
            // Heartbeats can carry only sums over all pools, which would mix
            // the pools.
            Action::Load(_) => {}
            Action::Evidence(evidence) => self.outputs.tracker.record_evidence(evidence),
            Action::BootChanged(boot) => {
                self.sealer = seal::Sealer::new(&self.key, &self.own.host, boot);
                self.opener = seal::Opener::new(&self.key, &self.own.host, boot);
            }
        }
    }

    async fn send(&mut self, send: &fleet::Send) {
        let Ok(payload) = send.frame.encode() else {
            return logging::event!(error, "heartbeat_too_long", peer = send.to);
        };
        let datagram = self.sealer.seal(&payload, send.audience);
        let metrics = &self.outputs.metrics;
        metrics.control_traffic(Direction::Sent, datagram.len() + HEADER_BYTES);
        if let Err(error) = self.socket.send_to(&datagram, send.to).await {
            logging::event!(debug, "heartbeat_failed", peer = send.to, error = error);
        }
    }

    /// Publishes the known routers and how the polling of the table is shared,
    /// if they changed.
    fn publish(&mut self) {
        let members = self.members();
        self.outputs.members.send_if_modified(|present| {
            if **present == members {
                return false;
            }
            *present = Arc::new(members);
            true
        });
        let polls = Polls {
            routers: self.fleet.live_count(&self.own.zone),
            duty: self.fleet.is_designated_poller(),
        };
        if polls == self.polls {
            return;
        }
        let message = follow::Message::Polls {
            routers: polls.routers,
            duty: polls.duty,
        };
        // If the channel is full, the next tick sends it again.
        if self.outputs.follow.try_send(message).is_ok() {
            self.polls = polls;
        }
    }

    fn members(&self) -> Members {
        let now = self.clock.now();
        let own_role = if self.fleet.is_view_trusted(now) {
            role(self.fleet.phase())
        } else {
            Role::Ineligible
        };
        let own = Peer {
            host: self.own.host.clone(),
            zone: self.own.zone.clone(),
            address: self.own.address,
            revision: self.applied,
            phase: self.fleet.phase().to_string(),
            role: own_role,
        };
        let others = self.fleet.members().map(|member| Peer {
            host: member.host.clone(),
            zone: member.zone.clone(),
            address: member.address,
            revision: member.revision,
            phase: member.phase.to_string(),
            role: role(member.phase),
        });
        Members {
            own: self.own.host.clone(),
            peers: std::iter::once(own).chain(others).collect(),
        }
    }
}

fn role(phase: heartbeat::Phase) -> Role {
    match phase {
        phase if phase.may_own() => Role::Owner,
        heartbeat::Phase::Leaving => Role::Leaving,
        _ => Role::Ineligible,
    }
}

/// An incarnation number that is higher at each start of the process.
fn incarnation() -> seal::Boot {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    seal::Boot(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn seeds(list: &[hosts::Host]) -> Vec<Seed> {
    list.iter()
        .filter(|host| host.role == hosts::Role::Router)
        .filter_map(|listed| {
            Some(Seed {
                host: listed.name.parse::<host::Id>().ok()?,
                zone: listed.zone.clone(),
                address: listed.address,
            })
        })
        .collect()
}
