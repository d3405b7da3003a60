//! The question to the earlier owner of a server.

use std::{net, time::Duration};

use tokio::{sync::mpsc, time};
use units::backend;
use wire::seal;

use super::Message;
use crate::hop::client;

/// The pauses before the questions. The earlier owner may not know at first
/// that it lost the server, and says nothing until it has stopped.
const DELAYS: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(600),
];

/// Asks the router at `address` what it learned of `server`, and tells `owner`.
///
/// Without it a new owner learns the server's limit from one again, which takes
/// half a minute in which the server stands almost idle.
pub async fn request(
    server: backend::Server,
    address: net::SocketAddr,
    key: seal::Key,
    owner: mpsc::UnboundedSender<Message>,
) {
    for delay in DELAYS {
        time::sleep(delay).await;
        match client::handover(address, &key, server.clone()).await {
            Ok(Some(handover)) => {
                logging::event!(
                    info,
                    "server_handed_over",
                    server = server,
                    limit = handover.limit,
                    in_flight = handover.in_flight
                );
                // The task ends only with the process.
                let _ = owner.send(Message::HandoverReceived(server, handover));
                return;
            }
            Ok(None) => {}
            Err(error) => {
                logging::event!(debug, "handover_failed", server = server, error = error);
            }
        }
    }
}
