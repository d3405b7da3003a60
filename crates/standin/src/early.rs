//! A server that answers before it has read a request, and resets the connection.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time,
};

use crate::fixed;

/// When a server answers, and what.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The bytes of the answer.
    pub text: &'static str,
    /// What it reads of the body before, in bytes.
    pub reads: usize,
    /// The time between the answer and the reset.
    pub pause: Duration,
}

/// A server that answers POST requests early. It forwards all other requests to another server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server that answers POST requests with `answer`, and forwards the rest to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error if no port can be bound.
    pub async fn start(target: SocketAddr, answer: Answer) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(async move {
                    // The client sees the broken connection.
                    drop(serve(client, target, answer).await);
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

async fn serve(mut client: TcpStream, target: SocketAddr, answer: Answer) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(client.read_u8().await?);
    }
    if !head.starts_with(b"POST ") {
        return fixed::forward(client, target, &head).await;
    }
    let mut body = vec![0; answer.reads];
    client.read_exact(&mut body).await?;
    client.write_all(answer.text.as_bytes()).await?;
    time::sleep(answer.pause).await;
    client.set_zero_linger()
}
