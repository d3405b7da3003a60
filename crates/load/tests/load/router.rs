//! A fake router without backend servers, which follows the script of a test.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use hyper::StatusCode;
use serde_json::json;
use standin::{
    http,
    server::{self, Application},
};

/// How the router answers requests.
#[derive(Clone, Copy, Debug)]
pub enum Script {
    /// Refuses every request with this verdict and this retry delay.
    Refuse {
        verdict: &'static str,
        retry_after: Option<u64>,
    },
    /// Refuses the first `refused` requests as not run, with a retry delay of zero, then confirms.
    RefuseThenConfirm { refused: u32 },
    /// Refuses the first `refused` requests as claimed by another request with their key, then
    /// confirms.
    ClaimTakenThenConfirm { refused: u32 },
    /// Answers 502 without a verdict, as an intermediate proxy would.
    BadGateway,
    /// Closes the connection without a response.
    CloseConnection,
}

/// A router that follows a script.
pub struct Router {
    script: Script,
    calls: AtomicU32,
}

pub async fn start(script: Script) -> server::Server<Router> {
    let router = Router {
        script,
        calls: AtomicU32::new(0),
    };
    let control = Arc::new(server::Control::default());
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    server::Server::start(address, Arc::new(router), control)
        .await
        .expect("a port is free")
}

impl Application for Router {
    async fn handle(
        self: Arc<Self>,
        request: http::Request,
        _connection: server::ConnectionId,
    ) -> Result<http::Response, http::Disconnected> {
        let path = String::from(request.uri().path());
        if path == "/readyz" {
            return Ok(http::json(StatusCode::OK, &json!({})));
        }
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        match self.script {
            Script::Refuse {
                verdict,
                retry_after,
            } => Ok(refusal("busy", verdict, retry_after)),
            Script::RefuseThenConfirm { refused } if call < refused => {
                Ok(refusal("busy", "not_run", Some(0)))
            }
            Script::ClaimTakenThenConfirm { refused } if call < refused => {
                Ok(refusal("claim_taken", "may_have_run", Some(0)))
            }
            Script::RefuseThenConfirm { .. } | Script::ClaimTakenThenConfirm { .. } => {
                let confirmation = standin::payload::confirmation(&path);
                Ok(http::json(
                    StatusCode::OK,
                    &json!({ "confirmation": confirmation }),
                ))
            }
            Script::BadGateway => Ok(http::json(StatusCode::BAD_GATEWAY, &json!({}))),
            Script::CloseConnection => Err(http::Disconnected),
        }
    }
}

fn refusal(code: &str, verdict: &str, retry_after: Option<u64>) -> http::Response {
    let error =
        json!({"code": code, "message": "", "verdict": verdict, "retry_after": retry_after});
    http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": error }))
}
