//! Options of connections, which decide when the kernel gives them up.

use std::time::Duration;

use gateway::connection;
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// Guards against a connection to a server that is given up before the time that its request has,
/// while its host is silent for some seconds; against one that the kernel keeps for a quarter of an
/// hour; and against keep-alive probes, whose end a user timeout decides, too.
#[parameterized(
    long = { Duration::from_secs(20), Duration::from_secs(20) },
    short = { Duration::from_secs(1), Duration::from_secs(3) },
    no_time = { Duration::ZERO, Duration::from_secs(3) },
    without_limit = { Duration::MAX, Duration::from_secs(3600) },
)]
fn a_connection_to_a_server_lasts_as_long_as_its_request(remaining: Duration, expected: Duration) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(address).await.expect("a connection");
        connection::configure(&stream, remaining).expect("options");
        let options = socket2::SockRef::from(&stream);
        let timeout = options.tcp_user_timeout().expect("an option");
        assert_eq!(timeout, Some(expected));
        assert!(!options.keepalive().expect("an option"));
    });
}
