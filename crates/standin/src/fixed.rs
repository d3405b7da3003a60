//! A server that answers with fixed bytes and then closes the connection.

use std::{io, net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _, copy_bidirectional},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// A server that answers each request of one method with the same bytes, so that a response may
/// have any framing and break off anywhere. It forwards all other requests to another server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server that answers requests of `method` with `response` and forwards the rest to
    /// `target`.
    ///
    /// # Errors
    ///
    /// Returns the error if no port can be bound.
    pub async fn start(
        target: SocketAddr,
        method: &'static str,
        response: &[u8],
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let response: Arc<[u8]> = response.into();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let response = Arc::clone(&response);
                tokio::spawn(async move {
                    // The client sees the broken connection.
                    drop(serve(client, target, method, &response).await);
                });
            }
        });
        Ok(Self { address, task })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut client: TcpStream,
    target: SocketAddr,
    method: &str,
    response: &[u8],
) -> io::Result<()> {
    let Some(request) = read_request(&mut client).await? else {
        return Ok(());
    };
    if request.starts_with(format!("{method} ").as_bytes()) {
        client.write_all(response).await?;
        return client.shutdown().await;
    }
    forward(client, target, &request).await
}

/// Reads a request with all of its body, `None` if the client closes the connection before.
pub(crate) async fn read_request(client: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut request = Vec::new();
    while !is_whole(&request) {
        if client.read_buf(&mut request).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(request))
}

/// Forwards `request`, which was read from `client`, and what follows to the server at `target`.
pub(crate) async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    request: &[u8],
) -> io::Result<()> {
    let mut server = TcpStream::connect(target).await?;
    server.write_all(request).await?;
    copy_bidirectional(&mut client, &mut server).await?;
    Ok(())
}

/// Whether a request has been received with all of its body.
fn is_whole(request: &[u8]) -> bool {
    let Some(end) = request.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&request[..end]).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|length| length.trim().parse().ok());
    request.len() >= end + 4 + length.unwrap_or(0_usize)
}
