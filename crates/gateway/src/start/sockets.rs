//! The sockets of a router.

use std::net::SocketAddr;

use error_stack::{Report, ResultExt as _};
use ingress::listener;
use tokio::net::{TcpListener, UdpSocket};

use super::Error;
use crate::{peers, settings::Settings};

/// How many ports of the operating system's choice are tried for other routers.
const MAX_PORTS: u32 = 8;

/// The sockets on which a router listens.
pub(super) struct Sockets {
    pub callers: TcpListener,
    pub readiness: TcpListener,
    pub metrics: TcpListener,
    pub tunnels: TcpListener,
    pub peers: peers::Sockets,
}

impl Sockets {
    /// Binds the addresses of the settings and stores the ports that the operating system
    /// assigned.
    ///
    /// # Errors
    ///
    /// When an address is in use or not one of this host.
    pub async fn bind(settings: &mut Settings) -> Result<Self, Report<Error>> {
        let buffer = listener::buffer(settings.socket_memory, settings.connections);
        let callers = bind(&mut settings.callers, buffer, Error::Callers)?;
        let buffer = Some(listener::MIN_BUFFER);
        let readiness = bind(&mut settings.readiness, buffer, Error::Readiness)?;
        let metrics = bind(&mut settings.metrics, buffer, Error::Metrics)?;
        let tunnels = listen(&mut settings.tunnels, Error::Peers).await?;
        let (rows, digests) = listen_for_peers(&mut settings.peers).await?;
        let introductions = listen(&mut settings.introductions, Error::Peers).await?;
        Ok(Self {
            callers,
            readiness,
            metrics,
            tunnels,
            peers: peers::Sockets {
                digests,
                rows,
                introductions,
            },
        })
    }
}

/// Binds the port for other routers by TCP and UDP. A port that the operating system assigned for
/// one may be in use for the other, so another one is tried then.
async fn listen_for_peers(
    address: &mut SocketAddr,
) -> Result<(TcpListener, UdpSocket), Report<Error>> {
    let wanted = *address;
    let mut attempts = if wanted.port() == 0 { MAX_PORTS } else { 1 };
    loop {
        attempts -= 1;
        let rows = listen(address, Error::Peers).await?;
        match UdpSocket::bind(*address).await {
            Ok(digests) => return Ok((rows, digests)),
            Err(error) if attempts > 0 => {
                logging::event!(info, "port_in_use", address = address, reason = error);
                *address = wanted;
            }
            Err(error) => return Err(error).change_context(Error::Peers),
        }
    }
}

/// Listens for clients, for each of which the kernel holds `buffer` bytes if it is given.
fn bind(
    address: &mut SocketAddr,
    buffer: Option<usize>,
    error: Error,
) -> Result<TcpListener, Report<Error>> {
    let listener = listener::bind(*address, buffer).change_context(error)?;
    *address = listener.local_addr().change_context(error)?;
    Ok(listener)
}

async fn listen(address: &mut SocketAddr, error: Error) -> Result<TcpListener, Report<Error>> {
    let listener = TcpListener::bind(*address).await.change_context(error)?;
    *address = listener.local_addr().change_context(error)?;
    Ok(listener)
}
