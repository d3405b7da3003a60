//! The side of a tunnel at the router that the caller is connected to.

use std::{net::SocketAddr, time::Duration};

use tokio::{sync::watch, time};
use wire::{hop::Frame, seal::Key};

use super::{Error, Open, Reply, Stream};
use crate::{connection, link, link::Link};

/// The timeout for opening a tunnel: the connections to the egress router and from there to
/// the server.
pub const TIMEOUT: Duration = Duration::from_millis(600);
/// The timeout for connecting to the egress router, after which another one is asked.
const LINK_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens tunnels through other routers.
#[derive(Clone, Debug)]
pub struct Client {
    key: watch::Receiver<Option<Key>>,
}

impl Client {
    /// Creates a client that uses the key of the fleet as soon as it is known.
    pub fn new(key: watch::Receiver<Option<Key>>) -> Self {
        Self { key }
    }

    /// Creates a client of a router without a fleet, which opens no tunnels.
    pub fn without_fleet() -> Self {
        Self::new(watch::channel(None).1)
    }

    /// Opens a tunnel through the egress router at `egress`.
    ///
    /// # Errors
    ///
    /// When the egress router or the server does not accept the connection in time.
    pub async fn open(&self, egress: SocketAddr, open: &Open) -> Result<Stream, Error> {
        let key = self.key.borrow().clone().ok_or(Error::NoKey)?;
        let connected = Link::connect(egress, &key);
        let mut link = time::timeout(LINK_TIMEOUT, connected)
            .await
            .map_err(|_| link::Error::Timeout)??;
        let remaining = open.remaining.duration();
        connection::set_timeout(link.socket(), remaining).map_err(link::Error::from)?;
        link.writer.send(open).await?;
        let reply = link.reader.receive_within::<Reply>(TIMEOUT - LINK_TIMEOUT);
        match reply.await? {
            Frame::Message(Reply::Opened) => Ok(Stream::new(link).map_err(link::Error::from)?),
            Frame::Message(Reply::Refused(rejection)) => Err(Error::Refused(rejection)),
            Frame::Data(_) => Err(Error::Link(link::Error::Closed)),
        }
    }
}
