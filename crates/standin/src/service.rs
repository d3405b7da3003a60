//! A plain service with lookups, which are idempotent, and bookings, which are not.

mod fault;
mod ledger;
mod routes;
mod settings;

use std::{io, net::SocketAddr, sync::Arc};

use crate::server;

pub use fault::Fault;
pub use ledger::{Entry, Ledger};
pub use settings::Settings;

use routes::Application;

/// A running plain service; it stops when this is dropped.
#[derive(Debug)]
pub struct Handle {
    server: server::Server<Application>,
}

/// Starts a plain service.
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

    /// The bookings that ran, and how often.
    pub fn ledger(&self) -> Ledger {
        self.server.application().ledger()
    }

    /// How many calls it has got, without those for the load report.
    pub fn calls(&self) -> u64 {
        self.server.application().calls()
    }

    /// Listens again after a crash, with a new boot and the ledger kept.
    ///
    /// # Errors
    ///
    /// The error of the bind.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.application().reboot();
        self.server.restart().await
    }

    /// Stops it.
    pub fn stop(&self) {
        self.server.stop();
    }
}
