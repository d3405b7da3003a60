//! How a router that starts while the store is silent comes by the key of the fleet.
//!
//! The key is drawn once and kept in the store only, so a router that starts
//! during an outage could talk to nobody until the store is back. Instead it
//! asks a router that its settings name, and that router hands the key over if
//! the question comes from the address of a router that was registered. The key
//! is then as safe as in the store, which hands it to everyone on the same
//! network, and a router believes nobody but those that its settings name.

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

/// How long one question and its answer may take: a few ways between zones.
const TIMEOUT: Duration = Duration::from_millis(500);
/// The longest message, in bytes; the answer takes about 60.
const MAX_MESSAGE: u64 = 256;
/// How long to wait after a failure to accept, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// What a router that knows nothing is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Response {
    key: [u8; 32],
    /// Higher than that of any earlier start of the one who asks.
    boot: Boot,
    /// Where the one who answers is asked for everything else.
    address: SocketAddr,
}

/// A router that has the key, and what it tells those who know nothing.
#[derive(Debug)]
pub struct Introducer {
    clock: Clock,
    secret: Secret,
    /// When the store's clock stood at the boot of the secret.
    learned_at: Instant,
    address: SocketAddr,
    members: watch::Receiver<Arc<Vec<Member>>>,
    /// Where routers were registered at any time since this one started.
    ///
    /// One that ended in order is registered no more, and may start again.
    known_addresses: BTreeSet<IpAddr>,
}

impl Introducer {
    /// A router that answers others at `address`.
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

    /// Answers those who know nothing, until the process ends.
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

    /// The store's clock now, as far as known; a start that reads it later gets a later one.
    fn boot(&self) -> Boot {
        let elapsed = self.clock.now().since(self.learned_at).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        Boot(self.secret.boot.0.saturating_add(elapsed))
    }
}

/// What a router that knew nothing has learned.
#[derive(Clone, Debug)]
pub struct Introduced {
    /// The key of the fleet.
    pub secret: Secret,
    /// All that the other one knows.
    pub batches: Vec<(Topic, Batch)>,
}

/// Asks the router at `address` for the key, and then for all that it knows.
///
/// # Errors
///
/// When it is busy, does not answer, or does not know this router's address.
pub async fn request(address: SocketAddr) -> Result<Introduced, fetch::Failure> {
    let response = time::timeout(TIMEOUT, request_key(address))
        .await
        .map_err(|_| Error::Timeout)??;
    let key = Key::from_bytes(response.key);
    let batches = fetch::request(response.address, &key, Versions::default()).await?;
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

/// Reads one message, which ends with its connection.
async fn receive<T: DeserializeOwned>(stream: TcpStream) -> Result<T, Error> {
    let mut bytes = Vec::new();
    stream.take(MAX_MESSAGE).read_to_end(&mut bytes).await?;
    postcard::from_bytes(&bytes).map_err(|_| Error::Closed)
}
