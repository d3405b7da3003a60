//! A model engine: chat completions, a prefix cache and orders.

mod cache;
mod completion;
mod fault;
mod generation;
mod orders;
mod report;
mod routes;
mod settings;
mod simulator;
mod slots;
mod state;

use std::{io, net::SocketAddr, sync::Arc};

use crate::server;

pub use fault::Fault;
pub use orders::{Fenced, Kind, Order};
pub use settings::Settings;
pub use simulator::Counters;

use simulator::Simulator;

/// A running engine; it stops when this is dropped.
#[derive(Debug)]
pub struct Handle {
    server: server::Server<Simulator>,
}

/// Starts an engine.
///
/// # Errors
///
/// The error of the bind.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let control = Arc::new(server::Control::new(settings.crash));
    let listen = settings.listen;
    let simulator = Arc::new(Simulator::new(settings, Arc::clone(&control)));
    let server = server::Server::start(listen, Arc::clone(&simulator), control).await?;
    Arc::clone(&simulator).report_load();
    Ok(Handle { server })
}

impl Handle {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches a fault on, or all off with [`Fault::Normal`].
    pub fn set_fault(&self, fault: Fault) {
        self.simulator().set_fault(fault, None);
    }

    /// What it has done since the first start.
    pub fn counters(&self) -> Counters {
        self.simulator().counters()
    }

    /// The orders that it carried out since the first start.
    pub fn orders(&self) -> Vec<Fenced> {
        self.simulator().executed()
    }

    /// Starts again after a crash: cold, with a new boot and an empty cache.
    ///
    /// # Errors
    ///
    /// The error of the bind.
    pub async fn restart(&self) -> io::Result<()> {
        self.simulator().reboot();
        self.server.restart().await?;
        Arc::clone(self.simulator()).report_load();
        Ok(())
    }

    /// Stops it.
    pub fn stop(&self) {
        self.server.stop();
    }

    fn simulator(&self) -> &Arc<Simulator> {
        self.server.application()
    }
}
