//! The labels of metrics, whose values come only from fixed sets.

use prometheus_client::encoding::EncodeLabelSet;

/// The labels of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Refusal {
    pub(super) code: String,
    pub(super) verdict: String,
}

/// The labels of a request that was refused for lack of slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct SlotRefusal {
    pub(super) rank: u8,
    pub(super) over_share: &'static str,
}

/// The labels of the discarded rest of a refused request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Rest {
    pub(super) end: &'static str,
}

/// The labels of a response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Response {
    pub(super) status: u16,
}

/// The labels of the end of a response's body.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct End {
    pub(super) delimiter: &'static str,
    pub(super) format: &'static str,
    pub(super) inside_event: String,
    pub(super) outcome: String,
}

/// The labels of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Attempt {
    pub(super) outcome: &'static str,
}

/// The labels of a server's standing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Standing {
    pub(super) standing: &'static str,
}

/// The labels of a check of a silent server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Check {
    pub(super) result: &'static str,
}

/// The labels of a request whose server was silent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Silence {
    pub(super) outcome: &'static str,
}

/// The labels of a stage of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Stage {
    pub(super) stage: &'static str,
}

/// The labels of a replicated view.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct View {
    pub(super) topic: &'static str,
}

/// The labels of gossip traffic between routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Direction {
    pub(super) direction: &'static str,
}

/// The labels of bytes between routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Peer {
    pub(super) kind: &'static str,
    pub(super) zone: &'static str,
}

/// The labels of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Call {
    pub(super) topic: &'static str,
    pub(super) result: &'static str,
}

/// The labels of a confirmed crash with a request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Crash {
    pub(super) counted: &'static str,
}

/// The labels of a change of the paths to the servers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Path {
    pub(super) state: &'static str,
}

/// The labels of a connection that another router asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Carried {
    pub(super) result: &'static str,
}

/// The labels of a call that writes the journal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct JournalCall {
    pub(super) result: &'static str,
}

impl JournalCall {
    pub(super) const fn new(is_applied: bool) -> Self {
        Self {
            result: if is_applied { "ok" } else { "error" },
        }
    }
}

/// The labels of a stream that its caller took up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TakenUp {
    pub(super) finding: &'static str,
}
