//! The task that knows the other routers: it owns the UDP socket of heartbeats.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use fleet::{Action, Event, Fleet, Heard, Seed};
use storage::hosts;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time,
};
use units::{host, request, revision};
use wire::{heartbeat, seal};

use crate::{
    clock::Clock,
    follow,
    members::{Members, Peer, Role},
    metrics::{Direction, Metrics},
    tracker,
};

/// The longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Bytes of the headers of a UDP datagram over IP, which count as traffic too.
const HEADER_BYTES: usize = 28;
/// How long a strike against a request is remembered.
const STRIKE_TTL: Duration = Duration::from_secs(600);

/// What the task is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A revision of the configuration is in force here.
    Applied(revision::Id),
    /// This router may serve.
    Ready,
    /// A backend server died with a request in flight.
    Strike {
        /// The request.
        fingerprint: request::Fingerprint,
        /// Names the death.
        crash_id: u64,
    },
    /// This router starts its graceful shutdown.
    Leaving,
    /// This router ends.
    Left,
}

/// What the task tells the others.
#[derive(Debug)]
pub struct Outputs {
    /// The routers.
    pub members: watch::Sender<Arc<Members>>,
    /// The task that follows the configuration.
    pub follow: mpsc::Sender<follow::Message>,
    /// The task that holds strikes.
    pub tracker: tracker::Handle,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// Whether the others know that this router serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    /// It does not serve yet.
    Starting,
    /// It could serve.
    Pending,
    /// They know.
    Announced,
}

/// Who polls the table, as last told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Polls {
    routers: usize,
    duty: bool,
}

/// The task's state.
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
    /// A task that knows nobody yet.
    pub fn new(
        clock: Clock,
        socket: UdpSocket,
        key: seal::Key,
        own: heartbeat::Identity,
        outputs: Outputs,
    ) -> Self {
        let boot = boot();
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

    /// Runs until the senders of messages are gone.
    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<Message>,
        mut hosts: watch::Receiver<Arc<Vec<hosts::Host>>>,
        initial: Vec<Seed>,
    ) {
        self.handle(Event::Hosts(initial)).await;
        let mut tick = time::interval(fleet::Settings::default().tick);
        // After a pause of the process one tick shows the gap; a burst of
        // missed ticks would hide it.
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
                        Some(heard) => Event::Heard(Box::new(heard)),
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

    /// Tells the others that this router serves, once it is sure of its own view.
    ///
    /// A router that says so earlier is taken for an owner and then refuses
    /// what it is sent, since it does not yet know what it owns.
    async fn announce_ready(&mut self) {
        if self.readiness == Readiness::Pending && self.fleet.is_sure(self.clock.now()) {
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
            // It is told in its own time, see `announce_ready`.
            Message::Ready => Event::Tick,
            Message::Strike {
                fingerprint,
                crash_id,
            } => Event::Strike {
                fingerprint,
                attempt: request::Attempt(crash_id),
                expires_at: self.clock.now() + STRIKE_TTL,
            },
            Message::Leaving => Event::Leaving,
            Message::Left => Event::Left,
        }
    }

    fn open(&mut self, datagram: &[u8], from: SocketAddr) -> Option<Heard> {
        let metrics = &self.outputs.metrics;
        metrics.control(Direction::Received, datagram.len() + HEADER_BYTES);
        let opened = match self.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                logging::event!(debug, "heartbeat_refused", peer = from, error = error);
                return None;
            }
        };
        let frame = heartbeat::Frame::decode(opened.payload).ok()?;
        Some(Heard {
            from,
            tag: opened.tag,
            boot: opened.boot,
            fresh: opened.fresh,
            frame,
        })
    }

    async fn handle(&mut self, event: Event) {
        let may_change = !matches!(event, Event::Heard(_));
        let actions = self.fleet.handle(event, self.clock.now());
        let mut changed = false;
        for action in actions {
            changed |= matches!(action, Action::Phase { .. } | Action::Sure(_));
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
            Action::Sure(sure) => logging::event!(info, "own_view", sure = sure),
            Action::Newer {
                revision,
                host,
                address,
            } => {
                let message = follow::Message::NewerRevision {
                    host,
                    address,
                    revision,
                };
                // A full channel means that the task is at it already; the
                // next heartbeat tells of the revision again.
                let _ = self.outputs.follow.try_send(message);
            }
            // The mean of a pool rides on the answers of owners; the sums over
            // all pools that heartbeats can carry would mix them.
            Action::Load(_) => {}
            Action::Strike(strike) => self.publish_strikes(strike.fingerprint),
            Action::Reboot(boot) => {
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
        metrics.control(Direction::Sent, datagram.len() + HEADER_BYTES);
        if let Err(error) = self.socket.send_to(&datagram, send.to).await {
            logging::event!(debug, "heartbeat_failed", peer = send.to, error = error);
        }
    }

    fn publish_strikes(&self, fingerprint: request::Fingerprint) {
        let crash_ids = self.fleet.strike_causes(fingerprint, self.clock.now());
        let crashes = crash_ids.into_iter().map(u32::from_le_bytes).collect();
        self.outputs.tracker.record_strikes(fingerprint, crashes);
    }

    /// Publishes the routers, and who polls the table, if that changed.
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
            routers: self.fleet.live(&self.own.zone),
            duty: self.fleet.has_poll_duty(),
        };
        if polls == self.polls {
            return;
        }
        let message = follow::Message::Polls {
            routers: polls.routers,
            duty: polls.duty,
        };
        // A full channel: the next tick tells it.
        if self.outputs.follow.try_send(message).is_ok() {
            self.polls = polls;
        }
    }

    fn members(&self) -> Members {
        let now = self.clock.now();
        let own_role = if self.fleet.is_sure(now) {
            role(self.fleet.phase())
        } else {
            Role::Bystander
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
        _ => Role::Bystander,
    }
}

/// A number that is higher at each start of the process.
fn boot() -> seal::Boot {
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
