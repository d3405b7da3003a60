//! The stages of one roll-out, as one router sees and advances them.

mod messages;
mod schedule;

use std::time::Duration;

use units::time::{Instant, Millis};

use crate::{
    Counts, Message, Order, Reports, Settings, Stage,
    stage::State,
    verdict::{self, Assessment},
};

/// The time in which a stage reaches all routers.
const SPREAD_TIME: Duration = Duration::from_millis(1200);
/// How long the old servers must be idle before the completion is announced.
const IDLE_TIME: Duration = Duration::from_millis(300);
/// How long a completion is announced before it is recorded, so that a rollback that another
/// router has decided at the same time takes precedence.
const COMPLETION_NOTICE: Duration = Duration::from_millis(400);
/// How long a rollback is announced before it is recorded.
const ROLLBACK_NOTICE: Duration = Duration::from_millis(500);
/// How long each router leaves a call to the store to the router ranked before it.
const TAKEOVER_DELAY: Duration = Duration::from_millis(250);
/// The delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// How long a router without any counts of others waits for one with all counts to
/// promote the version.
const COVERAGE_DELAY: Duration = Duration::from_millis(1500);
/// The smallest part of the routers whose counts permit a decision to promote.
const MIN_COVERAGE: f64 = 0.2;
/// How long a router may hear no stage before it asks another for it, and the interval at
/// which it does so.
///
/// It may have been cut off when a rollback was announced.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// How long a router that has just started waits for others to tell the stage of a roll-out
/// that is in progress. If none does, all of them have restarted, and the canary begins anew.
const PEER_GRACE: Duration = Duration::from_millis(1000);
/// The time within which another router answers.
const RESPONSE_TIME: Duration = Duration::from_millis(200);

/// The state of the service and the fleet on which decisions are based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// The number of routers.
    pub members: usize,
    /// The position of this router in the order in which routers call the store.
    pub rank: usize,
    /// Requests in flight at servers of the old version, from all routers.
    pub baseline_load: u32,
    /// Requests in flight at all servers of the service.
    pub total_load: u32,
    /// Servers of the new version that may receive requests.
    pub candidate_servers: usize,
    /// Whether the ordered version already is the version in service.
    pub is_serving: bool,
    /// The longest time that a response has taken recently.
    pub longest_response: Millis,
}

/// A call to the store that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The state to record.
    pub state: State,
    /// The time since the roll-out began.
    pub elapsed: Millis,
}

/// What the store holds after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The state of the roll-out.
    pub state: State,
    /// The time since it began.
    pub elapsed: Millis,
}

/// Whom a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// The routers that add up the counts of this zone: one of them in turn, or all.
    Collectors {
        /// Whether the message is for all of them.
        all: bool,
    },
    /// One of the routers that add up the counts of all zones, in turn; or all.
    Judges {
        /// Whether the message is for all of them.
        all: bool,
    },
    /// The router on the host with this hash of its name.
    Router(u32),
    /// Any other router.
    One,
    /// As many routers as an update is usually sent to.
    Many,
}

/// What a router has to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// The stage that begins now.
    pub stage: Option<Stage>,
    /// A call to the store.
    pub call: Option<Call>,
    /// Messages to other routers.
    pub messages: Vec<(Audience, Message)>,
}

/// The router that controls a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The hash of the name of its host.
    pub host: u32,
    /// The hash of the name of its zone.
    pub zone: u32,
    /// Identifies this start of the router.
    pub reporter: u32,
}

/// One roll-out.
#[derive(Clone, Debug)]
pub struct Controller {
    order: Order,
    settings: Settings,
    own: Identity,
    reports: Reports,
    began_at: Instant,
    /// The stage; `None` until the store or another router has told it.
    stage: Option<Stage>,
    stage_since: Instant,
    /// Since when the old servers have been idle.
    idle_since: Option<Instant>,
    is_calling: bool,
    call_at: Instant,
    /// Until when a router that has just started relies on others for the stage, since the
    /// store does not tell a canary from a promotion.
    peers_answer_until: Instant,
    /// Whether the router leaves the first call to the store to routers ranked before it.
    waits_for_turn: bool,
    report_at: Instant,
    /// When a report may be sent early because of further failures.
    urgent_report_at: Instant,
    /// The number of suspicious responses in the last report of this router, and of its
    /// zone.
    reported: (u32, u32),
    stage_message_at: Instant,
    has_new_stage: bool,
    /// The hosts whose routers have asked for the stage.
    queries: Vec<u32>,
    query_at: Instant,
    /// From when on this router counts as cut off from the others.
    cut_off_at: Instant,
}

impl Controller {
    /// Creates the state of an order that is first seen at `now`.
    pub fn new(order: Order, settings: Settings, own: Identity, now: Instant) -> Self {
        Self {
            order,
            settings,
            own,
            reports: Reports::default(),
            began_at: now,
            stage: None,
            stage_since: now,
            idle_since: None,
            is_calling: false,
            call_at: now,
            peers_answer_until: now,
            waits_for_turn: true,
            report_at: now,
            urgent_report_at: now,
            reported: (0, 0),
            stage_message_at: now,
            has_new_stage: false,
            queries: Vec::new(),
            query_at: now,
            cut_off_at: now + MAX_SILENCE + RESPONSE_TIME,
        }
    }

    /// Lets the router ask the store for the stage without waiting for its turn, because the
    /// router has just started and the roll-out may be about to end, or may have ended.
    pub fn with_immediate_call(self) -> Self {
        Self {
            waits_for_turn: false,
            peers_answer_until: self.call_at + PEER_GRACE,
            ..self
        }
    }

    /// The order.
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// The stage, if known.
    pub const fn stage(&self) -> Option<Stage> {
        self.stage
    }

    /// The counts of all routers, as far as reported.
    pub const fn reports(&self) -> &Reports {
        &self.reports
    }

    /// The comparison of the two versions by the reported counts.
    pub fn assessment(&self) -> Assessment {
        verdict::assess(&self.reports.total().1)
    }

    /// Applies a message of another router.
    pub fn receive(&mut self, message: Message, now: Instant) {
        match message {
            Message::Report {
                reporter, counts, ..
            } => {
                self.reports.record_router(reporter, counts);
            }
            Message::Zone {
                zone,
                reporters,
                counts,
                ..
            } => {
                if zone != self.own.zone {
                    self.reports.record_zone(zone, reporters, counts);
                }
            }
            Message::Stage { stage, elapsed, .. } => {
                self.query_at = now + MAX_SILENCE;
                self.cut_off_at = now + MAX_SILENCE + RESPONSE_TIME;
                self.set_began(elapsed, now);
                self.advance(stage, now);
            }
            Message::Query { host, .. } => self.queries.push(host),
        }
    }

    /// Applies the result of a call to the store; `None` if it failed.
    pub fn complete_call(&mut self, recorded: Option<Recorded>, now: Instant) {
        self.is_calling = false;
        self.waits_for_turn = true;
        self.call_at = now + RETRY_DELAY;
        let Some(recorded) = recorded else {
            return;
        };
        self.set_began(recorded.elapsed, now);
        if recorded.state.is_final() || now >= self.peers_answer_until {
            self.advance(recorded.state.stage(), now);
        } else {
            self.call_at = self.peers_answer_until;
        }
    }

    /// Routers learn of the order at different times; the earliest is closest to its
    /// acknowledgement.
    fn set_began(&mut self, elapsed: Millis, now: Instant) {
        self.began_at = self.began_at.min(now - elapsed.duration());
    }

    fn advance(&mut self, stage: Stage, now: Instant) {
        if self.stage.is_some_and(|known| known >= stage) {
            return;
        }
        self.stage = Some(stage);
        self.stage_since = now;
        self.idle_since = None;
        self.has_new_stage = true;
        self.call_at = now;
    }

    /// Decides what to do at `now`. `own` are the counts of this router.
    pub fn tick(&mut self, own: Counts, view: &View, now: Instant) -> Actions {
        self.reports.set_own(own);
        self.decide(view, now);
        let mut actions = Actions {
            call: self.next_call(view, now),
            ..Actions::default()
        };
        if std::mem::take(&mut self.has_new_stage) {
            actions.stage = self.stage;
            actions
                .messages
                .extend(self.stage_message(Audience::Many, now));
        } else if now >= self.stage_message_at {
            actions
                .messages
                .extend(self.stage_message(Audience::One, now));
        }
        self.answer_queries(&mut actions.messages, now);
        self.report(&mut actions.messages, now);
        actions
    }

    fn decide(&mut self, view: &View, now: Instant) {
        match self.stage {
            Some(Stage::Canary) => self.decide_canary(view, now),
            Some(Stage::Promoting) => self.decide_promotion(view, now),
            None
            | Some(Stage::Completing | Stage::RollingBack | Stage::RolledBack | Stage::Completed) =>
                {}
        }
    }

    fn decide_canary(&mut self, view: &View, now: Instant) {
        if view.is_serving {
            self.advance(Stage::Promoting, now);
            return;
        }
        let (reporters, counts) = self.reports.total();
        let assessment = verdict::assess(&counts);
        let is_too_late = now >= self.finish_at() && !self.is_cut_off(view, now);
        if assessment.is_faulty() || is_too_late {
            self.advance(Stage::RollingBack, now);
            return;
        }
        let coverage = (f64::from(reporters) / view.members.max(1) as f64).min(1.0);
        let delay = COVERAGE_DELAY.mul_f64(1.0 - coverage);
        let promote_at = if assessment.is_sound {
            self.promote_at(view)
        } else {
            self.latest_promotion(view)
        };
        let is_due = now >= promote_at + delay && coverage >= MIN_COVERAGE;
        if is_due && view.candidate_servers > 0 && assessment.permits_promotion() {
            self.advance(Stage::Promoting, now);
        }
    }

    fn decide_promotion(&mut self, view: &View, now: Instant) {
        if self.assessment().is_faulty() && !view.is_serving {
            self.advance(Stage::RollingBack, now);
            return;
        }
        if view.baseline_load == 0 {
            self.idle_since.get_or_insert(now);
        } else {
            self.idle_since = None;
        }
        if self.is_complete(view, now) {
            self.advance(Stage::Completing, now);
            return;
        }
        let is_too_late = now >= self.last_call_at() && !self.is_cut_off(view, now);
        if is_too_late && !self.may_stop_old_servers(view) {
            self.advance(Stage::RollingBack, now);
        }
    }

    /// Whether this router has not heard of others for some time. It does not know how far
    /// the roll-out has progressed, and does not end it because of the time.
    fn is_cut_off(&self, view: &View, now: Instant) -> bool {
        view.members > 1 && now >= self.cut_off_at
    }

    /// Whether a completion that was announced may be recorded. A zone that was cut off may
    /// have been connected again meanwhile, with requests at old servers.
    fn may_complete(&self, view: &View, now: Instant) -> bool {
        let is_announced = now >= self.stage_since + COMPLETION_NOTICE;
        is_announced && (view.is_serving || self.may_stop_old_servers(view))
    }

    fn next_call(&mut self, view: &View, now: Instant) -> Option<Call> {
        let state = match self.stage {
            None => State::InProgress,
            Some(Stage::Completing) if self.may_complete(view, now) => State::Completed,
            Some(Stage::RollingBack) if now >= self.stage_since + ROLLBACK_NOTICE => {
                State::RolledBack
            }
            Some(_) => {
                // Each router counts its turn from when the call becomes due.
                self.call_at = self.call_at.max(now);
                return None;
            }
        };
        let rank = if self.waits_for_turn {
            u32::try_from(view.rank).unwrap_or(u32::MAX)
        } else {
            0
        };
        if self.is_calling || now < self.call_at + TAKEOVER_DELAY.saturating_mul(rank) {
            return None;
        }
        self.is_calling = true;
        let elapsed = now.since(self.began_at).as_millis();
        Some(Call {
            state,
            elapsed: Millis(u64::try_from(elapsed).unwrap_or(u64::MAX)),
        })
    }
}
