//! The platform: a transactional table, an object store and a list of hosts.

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

/// How many calls reached the platform, refused ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counters {
    /// Reads of rows, ranges, objects and the list of hosts.
    pub reads: u64,
    /// Transactions and writes of objects.
    pub writes: u64,
}

/// A running platform; it stops when this is dropped.
#[derive(Debug)]
pub struct Handle {
    server: server::Server<Application>,
}

/// Starts a platform.
///
/// # Errors
///
/// The error of the bind.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let control = Arc::new(server::Control::new(settings.crash));
    let listen = settings.listen;
    let application = Arc::new(Application::new(settings, Arc::clone(&control)));
    let server = server::Server::start(listen, application, control).await?;
    Ok(Handle { server })
}

impl Handle {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches a fault on, or all off with [`Fault::Normal`].
    pub fn set_fault(&self, fault: Fault) {
        self.server.application().set_fault(fault, None);
    }

    /// How many calls it has got.
    pub fn counters(&self) -> Counters {
        self.server.application().counters()
    }

    /// Sets the list of hosts; callers see it after the lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        lock(&self.server.application().hosts).set(hosts);
    }

    /// Listens again after a crash. The table and the objects are kept.
    ///
    /// # Errors
    ///
    /// The error of the bind.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Stops it.
    pub fn stop(&self) {
        self.server.stop();
    }
}
