//! The platform: a transactional table, an object store and the host list.

mod fault;
mod hosts;
mod objects;
mod routes;
mod settings;
mod table;

use std::{io, net::SocketAddr, sync::Arc};

use crate::server::{self, lock};

pub use fault::Fault;
pub use hosts::Host;
pub use settings::Settings;

use routes::Application;

/// Numbers of calls that reached the platform, failed ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counters {
    /// Reads of rows, ranges, objects and the host list.
    pub reads: u64,
    /// Transactions and writes of objects.
    pub writes: u64,
}

/// A running platform, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    server: server::Server<Application>,
}

/// Starts a platform.
///
/// # Errors
///
/// Returns the error if the address cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let control = Arc::new(server::Control::new(settings.crash));
    let listen = settings.listen;
    let application = Arc::new(Application::new(settings, Arc::clone(&control)));
    let server = server::Server::start(listen, application, control).await?;
    Ok(Handle { server })
}

impl Handle {
    /// The address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects `fault` in place of the current one; [`Fault::Normal`] clears it.
    pub fn set_fault(&self, fault: Fault) {
        self.server.application().set_fault(fault, None);
    }

    /// The numbers of received calls.
    pub fn counters(&self) -> Counters {
        self.server.application().counters()
    }

    /// Sets the host list, which callers see after the configured lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.server.application().hosts).set(hosts);
    }

    /// Listens again after a crash. The table and the objects are preserved.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Stops the platform.
    pub fn stop(&self) {
        self.server.stop();
    }
}
