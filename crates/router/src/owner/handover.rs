//! Requests the state of a server from its previous owner.

use std::{net, time::Duration};

use tokio::{sync::mpsc, time};
use units::backend;
use wire::seal;

use super::Message;
use crate::hop::client;

/// Delays before the attempts. The previous owner may at first not know that it
/// has lost the server, and returns nothing until it has stopped admitting
/// requests to it.
const DELAYS: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(600),
];

/// Requests the handover of `server` from the router at `address`, and passes
/// it to the `owner` task.
///
/// Without a handover, a new owner grows the server's limit from one again,
/// which leaves the server almost idle for half a minute.
pub async fn request(
    server: backend::Server,
    address: net::SocketAddr,
    key: seal::Key,
    owner: mpsc::UnboundedSender<Message>,
) {
    for delay in DELAYS {
        time::sleep(delay).await;
        match client::fetch_handover(address, &key, server.clone()).await {
            Ok(Some(handover)) => {
                logging::event!(
                    info,
                    "server_handed_over",
                    server = server,
                    limit = handover.limit,
                    in_flight = handover.in_flight
                );
                // The owner task runs until the process ends.
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
