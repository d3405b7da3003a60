//! The host list, whose changes become visible after a lag.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host, unique in the deployment.
    pub name: String,
    /// The availability zone of the host.
    pub zone: String,
    /// `IP:PORT`; for a router, its peer address.
    pub address: String,
    /// `router` or `backend`.
    pub role: String,
    /// The pool of a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// `live` or `leaving`.
    #[serde(default = "live")]
    pub state: String,
}

fn live() -> String {
    String::from("live")
}

/// The body of `GET /hosts` and `PUT /hosts`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// All hosts.
    pub hosts: Vec<Host>,
}

/// The versions of the list that are visible now or later.
#[derive(Debug)]
pub struct Hosts {
    lag: Duration,
    versions: VecDeque<(Instant, List)>,
}

impl Hosts {
    /// An empty list whose changes become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            versions: VecDeque::new(),
        }
    }

    /// Replaces the list.
    pub fn set(&mut self, hosts: Vec<Host>) {
        let visible_at = Instant::now() + self.lag;
        self.versions.push_back((visible_at, List { hosts }));
    }

    /// The list that is visible to callers now.
    pub fn visible(&mut self) -> List {
        let now = Instant::now();
        while self.versions.get(1).is_some_and(|(at, _)| *at <= now) {
            self.versions.pop_front();
        }
        let first = self.versions.front();
        let visible = first.filter(|(at, _)| *at <= now);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
