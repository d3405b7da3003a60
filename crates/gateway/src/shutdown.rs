//! The phases of a graceful shutdown.

use tokio::sync::watch;

/// The shutdown phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process serves requests.
    Serving,
    /// The process reports that it is not ready but still serves requests, since the load
    /// balancer needs time to detect it.
    Leaving,
    /// The process accepts no new connections and requests, and finishes those in flight.
    Closing,
    /// The process is about to end: no attempt begins, since it would be cut.
    Ending,
}

impl Phase {
    /// Waits until `phase` is reached.
    pub async fn reached(receiver: &mut watch::Receiver<Self>, phase: Self) {
        let is_lost = receiver
            .wait_for(|current| *current >= phase)
            .await
            .is_err();
        if is_lost {
            // The sender is dropped only at the end of the process.
            std::future::pending::<()>().await;
        }
    }
}
