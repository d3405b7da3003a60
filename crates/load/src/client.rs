//! HTTP client with a pool of persistent connections.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why a request received no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, for example because the connection could not be established.
    Unreached(String),
    /// The connection broke after at least a part of the request was sent.
    Broken(String),
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Sender>>>,
}

/// A response and its connection, to be released once the body has been read.
pub struct Exchange {
    /// The response, whose body has not been read yet.
    pub response: Response<body::Incoming>,
    address: SocketAddr,
    sender: Sender,
}

impl Exchange {
    /// Separates the response from its connection.
    pub fn split(self) -> (Response<body::Incoming>, Connection) {
        let connection = Connection {
            address: self.address,
            sender: self.sender,
        };
        (self.response, connection)
    }
}

/// A connection that can be reused.
pub struct Connection {
    address: SocketAddr,
    sender: Sender,
}

impl Pool {
    /// Sends `request` to `address` over an idle connection or a new one.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], which shows whether anything was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(exchange(address, response, sender)),
                // The connection was closed while idle; hyper returned the unsent request.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut sender = connect(address).await.map_err(Failure::Unreached)?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(exchange(address, response, sender)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unsent {
                    Failure::Unreached(reason)
                } else {
                    Failure::Broken(reason)
                })
            }
        }
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn release(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(connection.address)
            .or_default()
            .push(connection.sender);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

fn exchange(address: SocketAddr, response: Response<body::Incoming>, sender: Sender) -> Exchange {
    Exchange {
        response,
        address,
        sender,
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            logging::event!(debug, "connection_ended", error = error);
        }
    });
    Ok(sender)
}
