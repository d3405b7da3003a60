//! How a router that starts during a store outage obtains the fleet key.
//!
//! The key is generated once and kept only in the store, so a router that starts during an
//! outage could not authenticate to any peer until the store is back. Instead it requests
//! the key from a seed router in its settings, which returns it if the request comes from
//! the address of a router that has been registered. The key is then as safe as in the
//! store, which returns it to every host on the same network, and a starting router trusts
//! only the seeds in its settings.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};
use units::time::Instant;
use wire::seal::{Boot, Key};

use super::{Versions, fetch};
use crate::{
    clock::Clock,
    link::Error,
    source::{Batch, Member, Secret, Topic},
};

/// The timeout of a request and its response: a few round trips between zones.
const TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum message size, in bytes; a response takes about 60.
const MAX_MESSAGE: u64 = 256;
/// The pause after `accept` fails, for example because too many files are open.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The response to a key request.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Response {
    key: [u8; 32],
    /// Higher than that of any earlier start of the requesting router.
    boot: Boot,
    /// The address for row requests to the responding router.
    address: SocketAddr,
}

/// Serves the fleet key to routers that start during a store outage.
#[derive(Debug)]
pub struct Introducer {
    clock: Clock,
    secret: Secret,
    /// When the boot number of the secret was current on the store's clock.
    learned_at: Instant,
    address: SocketAddr,
    members: watch::Receiver<Arc<Vec<Member>>>,
    /// The addresses of all routers registered at any time since this one started.
    ///
    /// A router that shut down cleanly is no longer registered, but may start again.
    known_addresses: BTreeSet<IpAddr>,
}

impl Introducer {
    /// Creates an introducer whose router serves rows at `address`.
    pub fn new(
        clock: Clock,
        secret: Secret,
        address: SocketAddr,
        members: watch::Receiver<Arc<Vec<Member>>>,
    ) -> Self {
        Self {
            learned_at: clock.now(),
            clock,
            secret,
            address,
            members,
            known_addresses: BTreeSet::new(),
        }
    }

    /// Serves key requests until the process ends.
    pub async fn serve(mut self, listener: TcpListener) {
        loop {
            self.record_members();
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, from)) => self.respond(stream, from),
                    Err(error) => {
                        logging::event!(warn, "accept_failed", reason = error);
                        time::sleep(ACCEPT_BACKOFF).await;
                    }
                },
                changed = self.members.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    fn record_members(&mut self) {
        let members = self.members.borrow_and_update();
        self.known_addresses
            .extend(members.iter().map(|member| member.address.ip()));
    }

    fn respond(&self, mut stream: TcpStream, from: SocketAddr) {
        if !self.known_addresses.contains(&from.ip()) {
            logging::event!(warn, "introduction_refused", peer = from);
            return;
        }
        logging::event!(info, "peer_introduced", peer = from);
        let response = Response {
            key: self.secret.key.to_bytes(),
            boot: self.boot(),
            address: self.address,
        };
        tokio::spawn(async move {
            if let Err(error) = time::timeout(TIMEOUT, send(&mut stream, &response)).await {
                logging::event!(debug, "peer_question_failed", reason = error);
            }
        });
    }

    /// The estimated time of the store's clock. A later start that reads the clock from the
    /// store gets a later one.
    fn boot(&self) -> Boot {
        let elapsed = self.clock.now().since(self.learned_at).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        Boot(self.secret.boot.0.saturating_add(elapsed))
    }
}

/// What a starting router received from a peer.
#[derive(Clone, Debug)]
pub struct Introduced {
    /// The fleet key and this router's boot number.
    pub secret: Secret,
    /// All rows that the peer holds.
    pub batches: Vec<(Topic, Batch)>,
}

/// Requests the fleet key from the router at `address`, and then all rows that it holds.
///
/// # Errors
///
/// When that router is busy, does not respond, or does not know this router's address.
pub async fn request(address: SocketAddr) -> Result<Introduced, fetch::Failure> {
    let response = time::timeout(TIMEOUT, request_key(address))
        .await
        .map_err(|_| Error::Timeout)??;
    let key = Key::from_bytes(response.key);
    let rows = fetch::request(response.address, &key, Versions::default()).await?;
    let batches = rows.batches;
    Ok(Introduced {
        secret: Secret {
            key,
            boot: response.boot,
        },
        batches,
    })
}

async fn request_key(address: SocketAddr) -> Result<Response, Error> {
    let stream = TcpStream::connect(address).await?;
    receive(stream).await
}

async fn send<T: Serialize>(stream: &mut TcpStream, message: &T) -> Result<(), Error> {
    let bytes = postcard::to_stdvec(message).map_err(|_| Error::Closed)?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(())
}

/// Reads one message, which ends where the peer closes its side of the connection.
async fn receive<T: DeserializeOwned>(stream: TcpStream) -> Result<T, Error> {
    let mut bytes = Vec::new();
    stream.take(MAX_MESSAGE).read_to_end(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(|_| Error::Closed)
}
