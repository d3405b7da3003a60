//! A plain service with idempotent lookups and non-idempotent bookings.

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

/// A running plain service, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    server: server::Server<Application>,
}

/// Starts a plain service.
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
    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects `fault` in place of the current one; [`Fault::Normal`] clears it.
    pub fn set_fault(&self, fault: Fault) {
        self.server.application().set_fault(fault, None);
    }

    /// The executed bookings, with the number of runs of each.
    pub fn ledger(&self) -> Ledger {
        self.server.application().ledger()
    }

    /// The number of received calls, except those for load reports, the ledger and faults.
    pub fn calls(&self) -> u64 {
        self.server.application().calls()
    }

    /// Listens again after a crash, with a new boot id. The ledger is preserved.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.application().reboot();
        self.server.restart().await
    }

    /// Stops the service.
    pub fn stop(&self) {
        self.server.stop();
    }
}
