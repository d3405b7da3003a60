//! Listeners of which the kernel holds little for each connection.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpSocket};

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The least bytes that the kernel may hold of what one client has sent.
pub const MIN_BUFFER: usize = 8 * 1024;
/// The size of a buffer from which the kernel sizes it by itself: a fixed one of this size, or a
/// smaller one, slows callers with large segments down.
const MAX_BUFFER: usize = 64 * 1024;

/// The receive buffer of each connection, in bytes, if `connections` share `memory` bytes. `None` if
/// there is enough memory to leave it to the kernel.
pub fn buffer(memory: usize, connections: usize) -> Option<usize> {
    let share = memory / connections.max(1);
    (share < MAX_BUFFER).then(|| share.max(MIN_BUFFER))
}

/// Listens on `address`.
///
/// The kernel holds at most about `buffer` bytes that were received on a connection and not read, if
/// it is given. By itself it holds some megabytes for a client that writes faster than it is read.
///
/// # Errors
///
/// When the address is in use, or not one of this host.
pub fn bind(address: SocketAddr, buffer: Option<usize>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(buffer) = buffer {
        // Connections inherit it.
        socket.set_recv_buffer_size(u32::try_from(buffer).unwrap_or(u32::MAX))?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
