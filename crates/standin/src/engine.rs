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

/// A running engine, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    server: server::Server<Simulator>,
}

/// Starts an engine.
///
/// # Errors
///
/// Returns the error if the address cannot be bound.
pub async fn start(settings: Settings) -> io::Result<Handle> {
    let control = Arc::new(server::Control::new(settings.crash));
    let listen = settings.listen;
    let simulator = Arc::new(Simulator::new(settings, Arc::clone(&control)));
    let server = server::Server::start(listen, Arc::clone(&simulator), control).await?;
    Arc::clone(&simulator).report_load();
    Ok(Handle { server })
}

impl Handle {
    /// The address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects `fault`; [`Fault::Normal`] clears all faults.
    pub fn set_fault(&self, fault: Fault) {
        self.simulator().set_fault(fault, None);
    }

    /// The counters since the first start; restarts don't reset them.
    pub fn counters(&self) -> Counters {
        self.simulator().counters()
    }

    /// The orders executed since the first start.
    pub fn orders(&self) -> Vec<Fenced> {
        self.simulator().executed()
    }

    /// Restarts the engine after a crash: cold, with a new boot id and an empty cache.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.simulator().reboot();
        self.server.restart().await?;
        Arc::clone(self.simulator()).report_load();
        Ok(())
    }

    /// Stops the engine.
    pub fn stop(&self) {
        self.server.stop();
    }

    fn simulator(&self) -> &Arc<Simulator> {
        self.server.application()
    }
}
