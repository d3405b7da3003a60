//! Options of connections, which decide when the kernel gives them up.

use std::time::Duration;

use gateway::connection;
use tokio::net::{TcpListener, TcpStream};

/// Guards against a connection to a server that is given up while its host is silent for a second
/// or so, and against keep-alive probes, whose end a user timeout decides, too.
#[tokio::test]
async fn a_connection_to_a_server_outlasts_a_silent_second() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    connection::configure(&stream).expect("options");
    let options = socket2::SockRef::from(&stream);
    let timeout = options.tcp_user_timeout().expect("an option");
    let timeout = timeout.expect("a user timeout");
    assert!((Duration::from_secs(2)..=Duration::from_secs(5)).contains(&timeout));
    assert!(!options.keepalive().expect("an option"));
}
