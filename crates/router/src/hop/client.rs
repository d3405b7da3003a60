//! Client side of a link, used by entry routers.

use std::{collections::BTreeMap, net, time::Duration};

use hyper::StatusCode;
use ingress::Payload;
use storage::{hosts, progress::Progress};
use tokio::{
    sync::{mpsc, oneshot},
    time,
};
use units::{backend, revision};
use verdict::{Code, Refusal};
use wire::{
    hop::{Call, Frame, Handover, Open, Reply},
    seal,
};

use super::{
    from_wire, head,
    link::{Error, Link},
    replies::Replies,
};
use crate::{
    clock::Clock,
    follow::update::Update,
    owner::Rejected,
    response::{self, Chunk, Upstream},
};

/// Maximum number of idle links per peer.
const MAX_IDLE: usize = 16;
/// Maximum size of a configuration update or a host list.
///
/// A list of 10,000 hosts takes 1 MB, and so does a configuration. The smallest host of a router has
/// 160 MB of memory.
const MAX_UPDATE_BYTES: usize = 32 * 1024 * 1024;
/// Timeout of a fetch from a peer; a reply that keeps making progress may take longer.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle of the task that holds the idle links to peers.
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
    /// Starts the task that holds the idle links.
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
        // Sending does not fail, since the task runs until the process ends.
        let _ = self.messages.send(Message::Put(address, Box::new(link)));
    }
}

async fn run(mut messages: mpsc::UnboundedReceiver<Message>) {
    let mut idle: BTreeMap<net::SocketAddr, Vec<Link>> = BTreeMap::new();
    while let Some(message) = messages.recv().await {
        match message {
            Message::Take(address, reply) => {
                let link = idle.get_mut(&address).and_then(Vec::pop);
                // If the requester was cancelled, the link is closed.
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

/// A request that was admitted by the owner and whose body was not sent yet.
#[derive(Debug)]
pub struct Admitted {
    replies: Replies,
    links: Links,
    address: net::SocketAddr,
    /// The total load of the owner's servers in the pool.
    pub load: wire::hop::Load,
    /// The hash of the server's boot id, or zero if unknown.
    pub boot: u64,
}

/// Requests admission from the owner at `address`.
///
/// # Errors
///
/// If the owner refuses the request or cannot be reached. The request has not
/// run, since its body was not sent.
pub async fn admit(
    links: &Links,
    address: net::SocketAddr,
    open: &Open,
    clock: &Clock,
) -> Result<Admitted, Rejected> {
    // An idle link may have been closed or may have stalled while unused. No
    // body was sent, so the request can be repeated over a new link.
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

/// The owner's decision on a request for admission.
enum Admission {
    Ready(Replies, wire::hop::Slot),
    Refused(Link, Rejected),
}

impl Admission {
    fn into_result(self, links: &Links, address: net::SocketAddr) -> Result<Admitted, Rejected> {
        match self {
            Self::Ready(replies, slot) => Ok(Admitted {
                replies,
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
    let mut replies = Replies::new(link, Duration::from_millis(open.remaining_ms));
    match replies.next().await? {
        Frame::Message(Reply::Ready(slot)) => Ok(Admission::Ready(replies, slot)),
        Frame::Message(Reply::Refused(refused)) => {
            let load = refused.load;
            let refusal = from_wire(refused, clock);
            let link = replies.into_link();
            Ok(Admission::Refused(link, Rejected { refusal, load }))
        }
        _ => Err(Error::Frame(wire::Error::Malformed)),
    }
}

impl Admitted {
    /// Sends the body and waits for the response head.
    ///
    /// # Errors
    ///
    /// The refusal of the owner, or a refusal of the entry router if the link
    /// failed. Once the complete body was sent, the request may have run.
    pub async fn send(mut self, body: &Payload, clock: Clock) -> Result<Upstream, Refusal> {
        if let Err(error) = self.send_body(body).await {
            logging::event!(warn, "hop_broken", peer = self.address, error = error);
            return Err(Refusal::not_run(
                Code::NoServer,
                "The router that owns the backend server went away.",
            ));
        }
        if let Err(error) = self.replies.writer().send(&Call::End).await {
            return Err(self.link_failure(&error));
        }
        match self.replies.next().await {
            Ok(Frame::Message(Reply::Head(head))) => self.into_response(head, clock),
            Ok(Frame::Message(Reply::Refused(refused))) => {
                let refusal = from_wire(refused, &clock);
                self.links.put(self.address, self.replies.into_link());
                Err(refusal)
            }
            Ok(_) => Err(self.link_failure(&Error::Frame(wire::Error::Malformed))),
            Err(error) => Err(self.link_failure(&error)),
        }
    }

    async fn send_body(&mut self, body: &Payload) -> Result<(), Error> {
        for segment in body.segments() {
            self.replies.writer().send_data(segment).await?;
        }
        Ok(())
    }

    /// Returns the refusal for a link that failed after the body was sent.
    ///
    /// The owner may have forwarded the request to the backend server before the
    /// failure, so the request may have run.
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

    /// Forwards the response body.
    async fn forward(mut self, chunks: mpsc::Sender<Chunk>, clock: Clock) {
        loop {
            let frame = tokio::select! {
                frame = self.replies.next() => frame,
                // Dropping the link makes the owner cancel the request.
                () = chunks.closed() => return,
            };
            match frame {
                Ok(Frame::Data(data)) => {
                    let sent = chunks.send(Chunk::Data(data));
                    match time::timeout_at(self.replies.deadline(), sent).await {
                        Ok(Ok(())) => {}
                        Ok(Err(_)) => return,
                        Err(_) => {
                            let refusal = self.link_failure(&Error::Timeout);
                            // The owner need not wait for a caller that does not read.
                            drop(self.replies);
                            // As below.
                            let _ = chunks.send(Chunk::Broken(refusal)).await;
                            return;
                        }
                    }
                }
                Ok(Frame::Message(Reply::End)) => {
                    self.links.put(self.address, self.replies.into_link());
                    // The receiver is dropped if the caller disconnected.
                    drop(chunks.send(Chunk::End).await);
                    return;
                }
                Ok(Frame::Message(Reply::Refused(refused))) => {
                    let refusal = from_wire(refused, &clock);
                    self.links.put(self.address, self.replies.into_link());
                    // As above.
                    let _ = chunks.send(Chunk::Broken(refusal)).await;
                    return;
                }
                Ok(Frame::Message(_)) => {
                    let error = Error::Frame(wire::Error::Malformed);
                    // As above.
                    let _ = chunks.send(Chunk::Broken(self.link_failure(&error))).await;
                    return;
                }
                Err(error) => {
                    // As above.
                    let _ = chunks.send(Chunk::Broken(self.link_failure(&error))).await;
                    return;
                }
            }
        }
    }
}

/// Fetches the configuration changes after the revision `since` from a peer.
///
/// # Errors
///
/// If the peer cannot be reached or has no configuration.
pub async fn fetch_changes(
    address: net::SocketAddr,
    key: &seal::Key,
    since: revision::Id,
) -> Result<Update, Error> {
    let json = fetch_json(address, key, &Call::Changes(since)).await?;
    Update::from_json(&json).map_err(|_| Error::Frame(wire::Error::Malformed))
}

/// Fetches the host list that a peer read most recently.
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

/// Fetches the state that the previous owner of a server learned about it.
/// Returns `None` while the previous owner may still admit requests.
///
/// # Errors
///
/// If the peer cannot be reached.
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

/// Sends a call to a peer and reads the JSON reply.
async fn fetch_json(
    address: net::SocketAddr,
    key: &seal::Key,
    call: &Call,
) -> Result<Vec<u8>, Error> {
    let malformed = Error::Frame(wire::Error::Malformed);
    let mut link = Link::connect(address, key).await?;
    link.writer.send(call).await?;
    let now = time::Instant::now();
    let deadline = now + UPDATE_TIMEOUT;
    let mut progress = Progress::new(now);
    match link.reader.receive_by(deadline).await? {
        Frame::Message(Reply::Json) => {}
        _ => return Err(malformed),
    }
    let mut bytes = Vec::new();
    loop {
        let deadline = progress.extended_deadline(deadline);
        match link.reader.receive_by(deadline).await? {
            Frame::Data(data) if is_acceptable(&bytes, &data) => {
                progress.received(data.len(), time::Instant::now());
                bytes.extend_from_slice(&data);
            }
            Frame::Message(Reply::End) => break,
            _ => return Err(malformed),
        }
    }
    Ok(bytes)
}

/// Whether `data` may follow the `received` bytes of an update.
fn is_acceptable(received: &[u8], data: &[u8]) -> bool {
    !data.is_empty() && received.len() + data.len() <= MAX_UPDATE_BYTES
}
