//! The output of a whole operator session, compared byte by byte with a golden file.
//!
//! `WEIR_GOLDEN=write cargo test -p ctl` rewrites the file.

use std::{
    env, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use admin::{
    process,
    settings::{self, Settings},
};
use config::{response::List, state::State};
use serde_json::json;
use standin::platform::{self as platform_standin, Fault};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task, time,
};

/// A fake router that reports itself, another router and two engines.
#[derive(Clone, Default)]
struct Router {
    first: Arc<AtomicU64>,
    second: Arc<AtomicU64>,
}

impl Router {
    fn apply(&self, first: u64, second: u64) {
        self.first.store(first, Ordering::SeqCst);
        self.second.store(second, Ordering::SeqCst);
    }

    fn page(&self) -> String {
        json!({
            "host": "router-1", "zone": "lk-west-a", "ready": true,
            "revision": self.first.load(Ordering::SeqCst),
            "members": [{"host": "router-2", "zone": "lk-west-b", "state": "ready",
                         "revision": self.second.load(Ordering::SeqCst)}],
            "engines": [
                {"name": "runner-a1", "zone": "lk-west-a", "in_flight": 3, "limit": 16,
                 "queued": 0, "state": "warm"},
                {"name": "runner-b1", "zone": "lk-west-b", "in_flight": 1, "limit": 2,
                 "queued": 4, "state": "cold"}],
            "refusals": [{"code": "busy", "verdict": "not_run", "count": 12}],
        })
        .to_string()
    }

    /// Responds to every request with the status page.
    async fn serve(self, listener: TcpListener) {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 2048];
            if stream.read(&mut request).await.is_err() {
                continue;
            }
            let page = self.page();
            let length = page.len();
            let response = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{page}"
            );
            drop(stream.write_all(response.as_bytes()).await);
        }
    }
}

/// The recorded session.
struct Session {
    admin: SocketAddr,
    text: String,
}

impl Session {
    /// Runs `weirctl` and records its output and exit code.
    async fn run(&mut self, arguments: &str) {
        let (output, code) = weirctl(self.admin, arguments).await;
        self.text.push_str(&format!("$ weirctl {arguments}\n"));
        self.text.push_str(&mask(&output));
        if code != 0 {
            self.text.push_str(&format!("[exit code {code}]\n"));
        }
        self.text.push('\n');
    }

    /// Waits until the list of resources satisfies `expected`.
    async fn wait_until(&self, expected: impl Fn(&List) -> bool) {
        loop {
            let (output, _) = weirctl(self.admin, "list -o json").await;
            if serde_json::from_str(&output).is_ok_and(|list| expected(&list)) {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn note(&mut self, text: &str) {
        self.text.push_str(&format!("# {text}\n"));
    }
}

async fn weirctl(admin: SocketAddr, arguments: &str) -> (String, i32) {
    let arguments: Vec<String> = arguments.split(' ').map(String::from).collect();
    let run = move || {
        Command::new(env!("CARGO_BIN_EXE_weirctl"))
            .args(arguments)
            .current_dir(root())
            .env("WEIR_ADMIN", admin.to_string())
            .stdin(Stdio::null())
            .output()
            .expect("weirctl")
    };
    let output = task::spawn_blocking(run).await.expect("weirctl");
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).expect("text");
    (text, output.status.code().unwrap_or(-1))
}

/// Returns the exit code of `weirctl list` if its output pipe is closed before it prints.
async fn exit_code_after_broken_pipe(admin: SocketAddr) -> Option<i32> {
    let run = move || {
        let mut child = Command::new(env!("CARGO_BIN_EXE_weirctl"))
            .args(["list"])
            .env("WEIR_ADMIN", admin.to_string())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("weirctl");
        drop(child.stdout.take());
        child.wait().expect("weirctl").code()
    };
    task::spawn_blocking(run).await.expect("weirctl")
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Masks values that differ between runs: random ids, ages and times.
fn mask(text: &str) -> String {
    let masked = text.lines().map(|line| {
        let words: Vec<String> = line.split(' ').map(mask_word).collect();
        words.join(" ") + "\n"
    });
    masked.collect()
}

fn mask_word(word: &str) -> String {
    let is_id = |text: &str| text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    if is_id(word) {
        return String::from("0123456789abcdef");
    }
    if word.len() == 20 && word.ends_with('Z') && word.starts_with("20") {
        return String::from("2026-01-01T00:00:00Z");
    }
    match word.split_once('=') {
        Some(("id", _)) => String::from("id=ID"),
        Some((name @ ("age" | "fleet_age"), _)) => format!("{name}=N"),
        _ => String::from(word),
    }
}

fn in_state(list: &List, key: &str, state: State) -> bool {
    let listed = list.resources.iter();
    let mut listed = listed.filter(|listed| listed.resource.key().to_string() == key);
    listed.any(|listed| listed.state == state)
}

fn missing_zones_are(list: &List, count: usize) -> bool {
    let zones = list
        .resources
        .iter()
        .flat_map(|listed| listed.zones.values());
    zones.filter(|zone| !zone.missing.is_empty()).count() == count
}

// An operator declares resources, takes a zone out of service, drains a server, works
// through an outage of the platform, applies an invalid file and reads the history.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn session_output_matches_the_golden_file() {
    let platform = platform_standin::start(platform_standin::Settings::default())
        .await
        .unwrap();
    let router = Router::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = Settings {
        platform: platform.address(),
        routers: vec![listener.local_addr().unwrap()],
        store: settings::Store {
            poll_interval: Duration::from_millis(20),
            ..settings::Store::default()
        },
        ..Settings::default()
    };
    task::spawn(router.clone().serve(listener));
    let process = process::start(&settings).await.unwrap();
    let mut session = Session {
        admin: process.address(),
        text: String::new(),
    };
    session
        .wait_until(|list| list.freshness.fleet_age_ms.is_some())
        .await;
    session.run("list").await;
    session.run("diff -f examples/lankaclean.toml").await;
    session.run("apply -f examples/lankaclean.toml").await;
    session.run("diff -f examples/lankaclean.toml").await;

    session.note("router-1 has applied revision 1, router-2 has not");
    router.apply(1, 0);
    session.wait_until(|list| missing_zones_are(list, 11)).await;
    session.run("list route").await;
    router.apply(1, 1);
    let (_, code) = weirctl(session.admin, "watch --until-in-force --timeout 60").await;
    assert_eq!(0, code);
    session.run("list").await;

    session.run("zone out lk-west-a").await;
    session.run("drain runner-b1").await;
    router.apply(3, 2);
    session
        .wait_until(|list| {
            in_state(list, "zone/lk-west-a", State::InForce) && missing_zones_are(list, 1)
        })
        .await;
    session.run("list zone").await;
    session.run("get drain/runner-b1").await;
    router.apply(3, 3);
    session
        .wait_until(|list| in_state(list, "drain/runner-b1", State::InForce))
        .await;
    session.run("status").await;

    session.note("the platform is down");
    platform.set_fault(Fault::Down);
    session
        .wait_until(|list| list.freshness.platform == "down")
        .await;
    session.run("list zone").await;
    session.run("zone in lk-west-a").await;
    session.run("history").await;

    session.note("the platform is up again");
    platform.set_fault(Fault::Normal);
    session
        .wait_until(|list| list.freshness.platform == "up")
        .await;
    session.run("zone in lk-west-a").await;
    session.run("undrain runner-b1").await;
    session.run("undrain runner-b1").await;
    session.run("delete pool/collect-api").await;
    session.run("delete route/bookings").await;
    session.run("list route").await;
    router.apply(6, 6);
    session
        .wait_until(|list| in_state(list, "zone/lk-west-a", State::InForce))
        .await;
    session
        .wait_until(|list| {
            list.removed
                .iter()
                .all(|removed_resource| removed_resource.state == State::Withdrawn)
        })
        .await;
    session.run("list route").await;
    session
        .run("apply -f crates/ctl/tests/golden/faulty.toml")
        .await;
    session.run("history").await;
    assert_eq!(Some(141), exit_code_after_broken_pipe(session.admin).await);
    compare(&session.text);
    process.stop().await;
}

fn compare(text: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if env::var("WEIR_GOLDEN").as_deref() == Ok("write") {
        fs::write(&file, text).expect("golden file");
    }
    let golden = fs::read_to_string(&file).expect("golden file");
    assert!(golden == text, "{text}\ndiffers from {}", file.display());
}
