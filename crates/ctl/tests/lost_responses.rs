//! Behavior of the client when responses of the administration are lost.

use std::sync::{Arc, Mutex};

use config::proposal::Proposal;
use ctl::{client::Client, exit::Code};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task,
};

/// How the fake administration replies to one request.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// Closes the connection without a response.
    Disconnect,
    /// Reports that the change was accepted.
    Accept,
    /// Reports that the platform is down and that the change has not run.
    PlatformDown,
    /// Reports that the outcome is unknown.
    OutcomeUnknown,
    /// Reports that another change was committed first.
    Conflict,
}

impl Reply {
    fn response(self) -> Option<(u16, Value)> {
        let error = |code: &str, verdict: &str| json!({"error": {"code": code, "message": "m", "verdict": verdict}});
        match self {
            Self::Disconnect => None,
            Self::Accept => Some((
                200,
                json!({"id": "x", "outcome": "repeated", "revision": 7}),
            )),
            Self::PlatformDown => Some((503, error("platform_down", "not_run"))),
            Self::OutcomeUnknown => Some((503, error("outcome_unknown", "may_have_run"))),
            Self::Conflict => Some((409, error("conflict", "not_run"))),
        }
    }
}

/// Reads one request and returns its body.
async fn read(stream: &mut TcpStream) -> Option<Value> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes);
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body);
        if let Some(Ok(value)) = body.map(serde_json::from_str) {
            return Some(value);
        }
    }
}

/// Replies to each request with the next of `replies`, repeating the last one, and
/// records the change ids.
async fn serve(listener: TcpListener, replies: Vec<Reply>, ids: Arc<Mutex<Vec<String>>>) {
    let mut index = 0;
    while let Ok((mut stream, _)) = listener.accept().await {
        let Some(body) = read(&mut stream).await else {
            continue;
        };
        let id = body["id"].as_str().unwrap_or_default();
        ids.lock().expect("ids").push(String::from(id));
        let reply = replies[index.min(replies.len() - 1)];
        index += 1;
        let Some((status, body)) = reply.response() else {
            continue;
        };
        let (body, length) = (body.to_string(), body.to_string().len());
        let response = format!(
            "HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        drop(stream.write_all(response.as_bytes()).await);
    }
}

// The response to a change is lost. The client must not report that nothing was
// changed, and must not send the same change under a second id.
#[yare::parameterized(
    accepted = { &[Reply::Accept], Code::Success, 1 },
    lost_then_accepted = { &[Reply::Disconnect, Reply::Accept], Code::Success, 2 },
    unknown_then_accepted = { &[Reply::OutcomeUnknown, Reply::Accept], Code::Success, 2 },
    platform_down = { &[Reply::PlatformDown], Code::Unavailable, 1 },
    lost_then_platform_down = { &[Reply::Disconnect, Reply::PlatformDown], Code::Unknown, 4 },
    always_lost = { &[Reply::Disconnect], Code::Unknown, 4 },
    lost_then_conflict = { &[Reply::Disconnect, Reply::Conflict], Code::Conflict, 2 },
)]
#[test_macro(tokio::test)]
async fn retries_reuse_the_change_id_until_the_outcome_is_known(
    replies: &[Reply],
    code: Code,
    calls: usize,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = Client::new(listener.local_addr().unwrap(), None);
    let ids = Arc::new(Mutex::new(Vec::new()));
    task::spawn(serve(listener, replies.to_vec(), Arc::clone(&ids)));
    let proposal = json!({"id": "one", "puts": [{"type": "zone", "name": "a"}]});
    let proposal = Proposal::read(&proposal).unwrap();
    let result = client.propose(&proposal).await;
    let actual = result.map_or_else(|error| error.code, |_| Code::Success);
    assert_eq!(code, actual);
    assert_eq!(vec!["one"; calls], *ids.lock().unwrap());
}
