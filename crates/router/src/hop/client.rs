//! The entry's side of a hop.

use std::{collections::BTreeMap, net, time::Duration};

use bytes::Bytes;
use hyper::StatusCode;
use storage::hosts;
use tokio::sync::{mpsc, oneshot};
use units::{backend, revision};
use verdict::{Code, Refusal};
use wire::{
    hop::{Call, Frame, Handover, Open, Reply},
    seal,
};

use super::{
    KEEPALIVE_TIMEOUT, from_wire, head,
    link::{Error, Link},
};
use crate::{
    clock::Clock,
    follow::update::Update,
    owner::Rejected,
    response::{self, Chunk, Upstream},
};

/// The most idle links that are kept for one peer.
const MAX_IDLE: usize = 16;
/// The longest update of the configuration, in bytes.
const MAX_UPDATE_BYTES: usize = 64 * 1024 * 1024;
/// How long a peer may take to send the next piece of an update.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes and keeps idle links; a task owns them.
#[derive(Clone, Debug)]
pub struct Links {
    messages: mpsc::UnboundedSender<Message>,
    key: seal::Key,
}

#[derive(Debug)]
enum Message {
    Take(net::SocketAddr, oneshot::Sender<Option<Link>>),
    Put(net::SocketAddr, Box<Link>),
}

impl Links {
    /// Starts the task that owns the idle links.
    pub fn start(key: seal::Key) -> Self {
        let (messages, receiver) = mpsc::unbounded_channel();
        tokio::spawn(run(receiver));
        Self { messages, key }
    }

    async fn take(&self, address: net::SocketAddr) -> Option<Link> {
        let (reply, receiver) = oneshot::channel();
        self.messages.send(Message::Take(address, reply)).ok()?;
        receiver.await.ok()?
    }

    fn put(&self, address: net::SocketAddr, link: Link) {
        // The task ends with the process.
        let _ = self.messages.send(Message::Put(address, Box::new(link)));
    }
}

async fn run(mut messages: mpsc::UnboundedReceiver<Message>) {
    let mut idle: BTreeMap<net::SocketAddr, Vec<Link>> = BTreeMap::new();
    while let Some(message) = messages.recv().await {
        match message {
            Message::Take(address, reply) => {
                let link = idle.get_mut(&address).and_then(Vec::pop);
                // The asker may have gone; the link is closed then.
                let _ = reply.send(link);
            }
            Message::Put(address, link) => {
                let links = idle.entry(address).or_default();
                if links.len() < MAX_IDLE {
                    links.push(*link);
                }
            }
        }
    }
}

/// A request that its owner admitted and that waits for its body.
#[derive(Debug)]
pub struct Admitted {
    link: Link,
    links: Links,
    address: net::SocketAddr,
    /// What the owner's servers of the pool carry.
    pub load: wire::hop::Load,
    /// The hash of the server's boot id, zero if it is not known.
    pub boot: u64,
}

/// Asks the owner at `address` for a slot.
///
/// # Errors
///
/// When the owner does not give one. The request has not run, since its body
/// was not sent.
pub async fn admit(
    links: &Links,
    address: net::SocketAddr,
    open: &Open,
    clock: &Clock,
) -> Result<Admitted, Rejected> {
    // An idle link may have been closed, or have gone silent, while nobody
    // used it. No body was sent, so a fresh link can be tried.
    if let Some(link) = links.take(address).await {
        match request_admission(link, open, clock).await {
            Ok(admission) => return admission.into_result(links, address),
            Err(error) => logging::event!(debug, "link_stale", peer = address, error = error),
        }
    }
    let admission = match Link::connect(address, &links.key).await {
        Ok(link) => request_admission(link, open, clock).await,
        Err(error) => Err(error),
    };
    match admission {
        Ok(admission) => admission.into_result(links, address),
        Err(error) => {
            logging::event!(warn, "owner_unreachable", peer = address, error = error);
            Err(Rejected {
                refusal: Refusal::not_run(
                    Code::NoServer,
                    "The router that owns the backend server cannot be reached.",
                )
                .retry_at(response::retry_instant(clock, 1000)),
                load: None,
            })
        }
    }
}

/// What an owner said.
enum Admission {
    Ready(Link, wire::hop::Slot),
    Refused(Link, Rejected),
}

impl Admission {
    fn into_result(self, links: &Links, address: net::SocketAddr) -> Result<Admitted, Rejected> {
        match self {
            Self::Ready(link, slot) => Ok(Admitted {
                link,
                links: links.clone(),
                address,
                load: slot.load,
                boot: slot.boot,
            }),
            Self::Refused(link, rejected) => {
                links.put(address, link);
                Err(rejected)
            }
        }
    }
}

async fn request_admission(mut link: Link, open: &Open, clock: &Clock) -> Result<Admission, Error> {
    link.writer
        .send(&Call::Open(Box::new(open.clone())))
        .await?;
    loop {
        match link.reader.receive_within(KEEPALIVE_TIMEOUT).await? {
            Frame::Message(Reply::Alive) => {}
            Frame::Message(Reply::Ready(slot)) => return Ok(Admission::Ready(link, slot)),
            Frame::Message(Reply::Refused(refused)) => {
                let load = refused.load;
                let refusal = from_wire(refused, clock);
                return Ok(Admission::Refused(link, Rejected { refusal, load }));
            }
            _ => return Err(Error::Frame(wire::Error::Malformed)),
        }
    }
}

impl Admitted {
    /// Sends the body and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// A refusal by the owner, or the verdict that the request may have run
    /// when the link broke after the whole body had left.
    pub async fn send(mut self, body: &Bytes, clock: Clock) -> Result<Upstream, Refusal> {
        if let Err(error) = self.send_body(body).await {
            logging::event!(warn, "hop_broken", peer = self.address, error = error);
            return Err(Refusal::not_run(
                Code::NoServer,
                "The router that owns the backend server went away.",
            ));
        }
        if let Err(error) = self.link.writer.send(&Call::End).await {
            return Err(self.link_failure(&error));
        }
        loop {
            match self.link.reader.receive_within(KEEPALIVE_TIMEOUT).await {
                Ok(Frame::Message(Reply::Alive)) => {}
                Ok(Frame::Message(Reply::Head(head))) => return self.into_response(head, clock),
                Ok(Frame::Message(Reply::Refused(refused))) => {
                    let refusal = from_wire(refused, &clock);
                    self.links.put(self.address, self.link);
                    return Err(refusal);
                }
                Ok(_) => return Err(self.link_failure(&Error::Frame(wire::Error::Malformed))),
                Err(error) => return Err(self.link_failure(&error)),
            }
        }
    }

    async fn send_body(&mut self, body: &Bytes) -> Result<(), Error> {
        self.link.writer.send_data(body).await
    }

    /// The verdict on a link that broke after the body had left.
    ///
    /// The owner may have passed the request on before it died, so nobody can
    /// say that it has not run.
    fn link_failure(&self, error: &Error) -> Refusal {
        logging::event!(warn, "hop_broken", peer = self.address, error = error);
        Refusal::may_have_run(
            Code::BackendFailed,
            "The router that owns the backend server went away.",
        )
    }

    fn into_response(self, head: wire::hop::Head, clock: Clock) -> Result<Upstream, Refusal> {
        let status = StatusCode::from_u16(head.status)
            .map_err(|_| self.link_failure(&Error::Frame(wire::Error::Malformed)))?;
        let headers = head::to_map(head.headers);
        let (chunks, body) = response::channel();
        tokio::spawn(self.forward(chunks, clock));
        Ok(Upstream {
            status,
            headers,
            body,
        })
    }

    /// Passes the body of the answer on.
    async fn forward(mut self, chunks: mpsc::Sender<Chunk>, clock: Clock) {
        loop {
            let frame = tokio::select! {
                frame = self.link.reader.receive_within(KEEPALIVE_TIMEOUT) => frame,
                // Dropping the link tells the owner that the caller has gone.
                () = chunks.closed() => return,
            };
            match frame {
                Ok(Frame::Data(data)) => {
                    if chunks.send(Ok(data)).await.is_err() {
                        return;
                    }
                }
                Ok(Frame::Message(Reply::Alive)) => {}
                Ok(Frame::Message(Reply::End)) => {
                    self.links.put(self.address, self.link);
                    return;
                }
                Ok(Frame::Message(Reply::Refused(refused))) => {
                    let refusal = from_wire(refused, &clock);
                    self.links.put(self.address, self.link);
                    // The receiver may have gone meanwhile; then nobody waits.
                    let _ = chunks.send(Err(refusal)).await;
                    return;
                }
                Ok(Frame::Message(_)) => {
                    let error = Error::Frame(wire::Error::Malformed);
                    // As above.
                    let _ = chunks.send(Err(self.link_failure(&error))).await;
                    return;
                }
                Err(error) => {
                    // As above.
                    let _ = chunks.send(Err(self.link_failure(&error))).await;
                    return;
                }
            }
        }
    }
}

/// Asks a peer for what changed in the configuration after `since`.
///
/// # Errors
///
/// When the peer cannot be reached or holds nothing.
pub async fn fetch_changes(
    address: net::SocketAddr,
    key: &seal::Key,
    since: revision::Id,
) -> Result<Update, Error> {
    let json = fetch_json(address, key, &Call::Changes(since)).await?;
    Update::from_json(&json).map_err(|_| Error::Frame(wire::Error::Malformed))
}

/// Asks a peer for the host list that it last read.
///
/// # Errors
///
/// As [`fetch_changes`].
pub async fn fetch_hosts(
    address: net::SocketAddr,
    key: &seal::Key,
) -> Result<Vec<hosts::Host>, Error> {
    let json = fetch_json(address, key, &Call::Hosts).await?;
    serde_json::from_slice(&json).map_err(|_| Error::Frame(wire::Error::Malformed))
}

/// Asks the earlier owner of a server what it learned of it; `None` while it
/// may still admit work.
///
/// # Errors
///
/// When the peer cannot be reached.
pub async fn fetch_handover(
    address: net::SocketAddr,
    key: &seal::Key,
    server: backend::Server,
) -> Result<Option<Handover>, Error> {
    let mut link = Link::connect(address, key).await?;
    link.writer.send(&Call::Handover(server)).await?;
    match link.reader.receive_within(UPDATE_TIMEOUT).await? {
        Frame::Message(Reply::Handover(handover)) => Ok(handover),
        _ => Err(Error::Frame(wire::Error::Malformed)),
    }
}

/// Asks a question whose answer is JSON.
async fn fetch_json(
    address: net::SocketAddr,
    key: &seal::Key,
    call: &Call,
) -> Result<Vec<u8>, Error> {
    let malformed = Error::Frame(wire::Error::Malformed);
    let mut link = Link::connect(address, key).await?;
    link.writer.send(call).await?;
    match link.reader.receive_within(UPDATE_TIMEOUT).await? {
        Frame::Message(Reply::Json) => {}
        _ => return Err(malformed),
    }
    let mut bytes = Vec::new();
    loop {
        match link.reader.receive_within(UPDATE_TIMEOUT).await? {
            Frame::Data(data) if bytes.len() + data.len() <= MAX_UPDATE_BYTES => {
                bytes.extend_from_slice(&data);
            }
            Frame::Message(Reply::End) => break,
            _ => return Err(malformed),
        }
    }
    Ok(bytes)
}
