//! Server side of a link, used by owners.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use ingress::{Collector, Payload, Pool};
use storage::hosts;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch},
    time,
};
use units::revision;
use verdict::{Code, Refusal};
use wire::{
    hop::{Call, Frame, Head, Open, Reply, Slot},
    seal,
};

use super::{
    KEEPALIVE_INTERVAL, head,
    link::{Error, Link, Reader, Writer},
    to_wire,
};
use crate::{
    backend,
    caller::no_memory,
    clock::Clock,
    entry, follow,
    limits::MAX_BODY_BYTES,
    owner::{self, Offer, Rejected, Reply as OfferReply},
    response::{Chunk, Upstream},
    tracker,
};

/// Timeout for the next frame of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Dependencies of the link server.
#[derive(Clone, Debug)]
pub struct Context {
    /// The clock of the process.
    pub clock: Clock,
    /// The key that the routers share.
    pub key: seal::Key,
    /// The task that admits requests to owned servers.
    pub owner: owner::Handle,
    /// The task that tracks suspect requests.
    pub tracker: tracker::Handle,
    /// The most recently read host list.
    pub hosts: watch::Receiver<Arc<Vec<hosts::Host>>>,
    /// The memory for the bodies of requests.
    pub bodies: Pool,
    /// The task that keeps the configuration up to date.
    pub follow: mpsc::Sender<follow::Message>,
}

/// Accepts and serves links from peers until the task is aborted.
pub async fn serve(listener: TcpListener, context: Context) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_link(stream, context.clone()));
            }
            Err(error) => {
                logging::event!(warn, "accept_failed", error = error);
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, context: Context) {
    let mut link = match Link::accept(stream, &context.key).await {
        Ok(link) => link,
        Err(error) => return logging::event!(warn, "link_refused", error = error),
    };
    loop {
        let served = match link.reader.receive().await {
            Ok(Frame::Message(Call::Open(open))) => serve_request(&mut link, *open, &context).await,
            Ok(Frame::Message(Call::Changes(since))) => {
                let json = changes(since, &context).await;
                serve_json(&mut link, json, &context).await
            }
            Ok(Frame::Message(Call::Handover(server))) => {
                let handover = context.owner.handover(server).await;
                link.writer.send(&Reply::Handover(handover)).await
            }
            Ok(Frame::Message(Call::Hosts)) => {
                let hosts = Arc::clone(&context.hosts.borrow());
                let json = serde_json::to_vec(&*hosts).ok();
                serve_json(&mut link, json, &context).await
            }
            Ok(_) => Err(Error::Frame(wire::Error::Malformed)),
            Err(error) => Err(error),
        };
        match served {
            Ok(()) => {}
            Err(Error::Closed) => return,
            Err(error) => return logging::event!(debug, "link_broken", error = error),
        }
    }
}

/// Waits for `work` and sends keepalive frames to the entry router meanwhile.
///
/// # Errors
///
/// If the entry router closes the link. This cancels `work`.
async fn with_keepalives<T>(
    reader: &mut Reader,
    writer: &mut Writer,
    work: impl Future<Output = T>,
) -> Result<T, Error> {
    tokio::pin!(work);
    let mut interval = time::interval(KEEPALIVE_INTERVAL);
    interval.reset();
    loop {
        tokio::select! {
            done = &mut work => return Ok(done),
            _ = interval.tick() => writer.send(&Reply::Alive).await?,
            frame = reader.receive::<Call>() => {
                frame?;
                return Err(Error::Frame(wire::Error::Malformed));
            }
        }
    }
}

async fn serve_request(link: &mut Link, open: Open, context: &Context) -> Result<(), Error> {
    let clock = context.clock;
    let deadline = clock.now() + Duration::from_millis(open.remaining_ms);
    // The entry router may not know the crashes that other routers recorded, and
    // this router may not know those that the entry router recorded.
    if let Err(refusal) = context.tracker.check(open.fingerprint, &open.crashes).await {
        return refuse(&mut link.writer, &refusal, &clock).await;
    }
    let admitted = context.owner.admit(|reply| offer(&open, reply, &clock));
    let permit = match with_keepalives(&mut link.reader, &mut link.writer, admitted).await? {
        Ok(permit) => permit,
        Err(Rejected { refusal, load }) => {
            let refused = to_wire(&refusal, load, &clock);
            return link.writer.send(&Reply::Refused(refused)).await;
        }
    };
    logging::event!(
        debug,
        "slot_given",
        request = open.id,
        attempt = open.attempt,
        server = open.server
    );
    let slot = Slot {
        load: permit.load(),
        boot: permit.boot_hash(),
    };
    let collector = match reserve(&context.bodies, open.length) {
        Ok(collector) => collector,
        Err(refusal) => return refuse(&mut link.writer, &refusal, &clock).await,
    };
    link.writer.send(&Reply::Ready(slot)).await?;
    let reader = &mut link.reader;
    let body = receive_body(reader, collector, open.length, clock.at(deadline)).await?;
    let attempt = tracker::Attempt {
        crash: entry::crash(&open.server, permit.boot_hash(), open.attempt),
        began_at: clock.now(),
    };
    let run = backend::run(permit, &open, &body, clock, deadline);
    let result = with_keepalives(&mut link.reader, &mut link.writer, run).await?;
    let refusal = match result {
        Ok(upstream) => match forward(link, upstream).await? {
            Some(refusal) => refusal,
            None => return Ok(()),
        },
        Err(refusal) => refusal,
    };
    if refusal.code == Code::BackendDied {
        context.tracker.record_crash(open.fingerprint, attempt);
    }
    refuse(&mut link.writer, &refusal, &clock).await
}

async fn refuse(writer: &mut Writer, refusal: &Refusal, clock: &Clock) -> Result<(), Error> {
    let refused = to_wire(refusal, None, clock);
    writer.send(&Reply::Refused(refused)).await
}

/// Creates the offer to the owner task for a forwarded request.
pub fn offer(open: &Open, reply: OfferReply, clock: &Clock) -> Offer {
    Offer {
        server: open.server.clone(),
        ticket: admission::Ticket {
            attempt: open.attempt,
            workspace: open.workspace.clone(),
            cost: open.cost,
            priority: open.priority,
            standing: if open.suspect {
                admission::Standing::Suspect
            } else {
                admission::Standing::Clear
            },
            deadline: clock.now() + Duration::from_millis(open.remaining_ms),
        },
        chat: open.chat,
        delivery: if open.events {
            owner::Delivery::Streamed
        } else {
            owner::Delivery::Buffered
        },
        terms: open.terms,
        reply,
    }
}

/// Reserves memory for a body of `length` bytes, which the entry router holds whole.
fn reserve(memory: &Pool, length: u64) -> Result<Collector, Refusal> {
    let expected = usize::try_from(length).unwrap_or(usize::MAX);
    if expected > MAX_BODY_BYTES {
        let message = "The body is over the limit of the router that owns the backend server.";
        return Err(Refusal::not_run(Code::TooLarge, message));
    }
    let mut share = memory.open();
    share.grow(expected).map_err(|_| no_memory())?;
    Ok(Collector::within(share, expected))
}

async fn receive_body(
    reader: &mut Reader,
    mut collector: Collector,
    length: u64,
    deadline: time::Instant,
) -> Result<Payload, Error> {
    let malformed = || Error::Frame(wire::Error::Malformed);
    loop {
        let next = time::Instant::now() + BODY_TIMEOUT;
        let received = collector.len() as u64;
        match reader.receive_by(next.min(deadline)).await? {
            Frame::Data(data) if !data.is_empty() && received + data.len() as u64 <= length => {
                // All of it is reserved.
                collector.push(&data).map_err(|_| malformed())?;
            }
            Frame::Message(Call::End) if received == length => return Ok(collector.finish()),
            _ => return Err(malformed()),
        }
    }
}

/// Forwards a response to the entry router. Returns a refusal if the response
/// ended early.
async fn forward(link: &mut Link, mut upstream: Upstream) -> Result<Option<Refusal>, Error> {
    let head = Head {
        status: upstream.status.as_u16(),
        headers: head::from_map(&upstream.headers),
    };
    link.writer.send(&Reply::Head(head)).await?;
    loop {
        let chunk =
            with_keepalives(&mut link.reader, &mut link.writer, upstream.body.recv()).await?;
        match chunk {
            Some(Chunk::Data(data)) => link.writer.send_data(&data).await?,
            Some(Chunk::Broken(refusal)) => return Ok(Some(refusal)),
            Some(Chunk::End) => {
                link.writer.send(&Reply::End).await?;
                return Ok(None);
            }
            // Closing the link tells the entry router that the response broke off.
            None => return Err(Error::Closed),
        }
    }
}

/// Returns the configuration changes after the revision `since`, as JSON.
async fn changes(since: revision::Id, context: &Context) -> Option<Vec<u8>> {
    let (reply, receiver) = oneshot::channel();
    let message = follow::Message::Changes { since, reply };
    context.follow.send(message).await.ok()?;
    let update = receiver.await.ok().flatten()?;
    update.to_json().ok()
}

async fn serve_json(
    link: &mut Link,
    json: Option<Vec<u8>>,
    context: &Context,
) -> Result<(), Error> {
    let Some(json) = json else {
        let refusal = Refusal::not_run(Code::NotReady, "This router has no configuration.");
        return refuse(&mut link.writer, &refusal, &context.clock).await;
    };
    link.writer.send(&Reply::Json).await?;
    link.writer.send_data(&Bytes::from(json)).await?;
    link.writer.send(&Reply::End).await
}
