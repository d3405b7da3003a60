//! The phases of a graceful shutdown.

use tokio::sync::watch;

/// How far the process has come in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It says that it is not ready, and still serves: the balancer needs time to notice.
    Leaving,
    /// It takes no new connections and finishes what runs.
    Closing,
}

impl Phase {
    /// Waits until `phase` is reached.
    pub async fn reached(receiver: &mut watch::Receiver<Self>, phase: Self) {
        let is_lost = receiver
            .wait_for(|current| *current >= phase)
            .await
            .is_err();
        if is_lost {
            // The sender is gone only at the process's end.
            std::future::pending::<()>().await;
        }
    }
}
