//! What a router makes of the heartbeats that it receives.

use std::time::Duration;

use units::{host, time};
use wire::{heartbeat, seal};

use super::{Actions, Fleet, send::Content};
use crate::{
    event::{Action, Received},
    member_list::Change,
    strike,
};

/// The time without a change after which two routers should know the same.
const DIGEST_SETTLE_TIME: Duration = Duration::from_millis(1500);
/// The least time between two exchanges of whole lists.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(2000);

impl Fleet {
    pub(super) fn receive(&mut self, received: &Received, now: time::Instant, out: &mut Actions) {
        let Some(identity) = self.identify(received) else {
            self.request_identity(received, now, out);
            return;
        };
        if identity.host == self.identity.host {
            return;
        }
        if !received.fresh {
            self.answer_introduction(received, &identity, now, out);
            return;
        }
        let same_region = self.region.contains(&identity.zone);
        if same_region && !self.apply_sender(received, &identity, now, out) {
            return;
        }
        self.report_newer_revision(received, &identity, out);
        self.record_strikes(received, now, out);
        if same_region {
            self.apply_updates(received, now, out);
            self.apply_loads(received, now);
            self.run_anti_entropy(received, &identity, now, out);
        }
        self.respond(received, &identity, now, out);
    }

    /// Who the sender is, from the heartbeat or from memory.
    fn identify(&self, received: &Received) -> Option<heartbeat::Identity> {
        if let Some(identity) = &received.frame.identity {
            let authentic = seal::Tag::new(&identity.host) == received.tag;
            return authentic.then(|| identity.clone());
        }
        let member = self.member_list.by_tag(received.tag)?;
        Some(heartbeat::Identity {
            host: member.host.clone(),
            zone: member.zone.clone(),
            address: member.address,
        })
    }

    fn request_identity(&mut self, received: &Received, now: time::Instant, out: &mut Actions) {
        if received.fresh && self.take_introduction_token() {
            let frame = self.frame(heartbeat::Kind::Probe, None, Content::INTRODUCTION, now);
            let audience = seal::Audience::Process(received.tag, received.boot);
            self.send(received.from, audience, frame, out);
        }
    }

    /// Answers a heartbeat that was sealed for anyone, and believes nothing of it.
    ///
    /// It may be a recording. The answer is sealed for the sender's present
    /// boot and costs little; how many are sent is limited.
    fn answer_introduction(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        now: time::Instant,
        out: &mut Actions,
    ) {
        if !self.take_introduction_token() {
            return;
        }
        // A router that restarts too often may join by another fresh one, which
        // does not know; so each router that it asks tells how often it came.
        let hold_down = self.flaps.hold_down(&identity.host, &self.settings);
        let kind = answer_kind(received, hold_down);
        let mut frame = self.frame(kind, None, Content::INTRODUCTION, now);
        let update = self
            .member_list
            .get(&identity.host)
            .map(|member| member.to_update());
        frame.updates.extend(update);
        let audience = seal::Audience::Process(received.tag, received.boot);
        self.send(identity.address, audience, frame, out);
    }

    fn take_introduction_token(&mut self) -> bool {
        let left = self.timers.introduction_tokens.checked_sub(1);
        self.timers.introduction_tokens = left.unwrap_or(0);
        left.is_some()
    }

    /// Takes in what the sender says of itself; false for a process that was replaced.
    fn apply_sender(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        now: time::Instant,
        out: &mut Actions,
    ) -> bool {
        let update = heartbeat::Member {
            host: identity.host.clone(),
            zone: identity.zone.clone(),
            address: identity.address,
            incarnation: heartbeat::Incarnation {
                boot: received.boot,
                refutation: received.frame.refutation,
            },
            phase: received.frame.phase,
        };
        let change = self.apply_update(&update, now, out);
        let Some(member) = self.member_list.get_mut(&identity.host) else {
            return false;
        };
        if member.incarnation.boot != received.boot {
            self.notify_stale_boot(received, identity, now, out);
            return false;
        }
        member.last_heartbeat_at = Some(now);
        member.knows_identity = true;
        let frame = &received.frame;
        if member.apply_report(frame.version, frame.revision, frame.load, now)
            && frame.subtree.is_some()
        {
            member.subtree = frame.subtree.map(|subtree| (subtree, now));
        }
        let answer_follows = matches!(frame.kind, heartbeat::Kind::Probe | heartbeat::Kind::Join);
        if change == Change::None
            && !answer_follows
            && self.overriding_update(received, identity).is_some()
        {
            self.request_refutation(&identity.host, now, out);
        }
        true
    }

    /// What this router holds of the sender, if it overrides what the sender says.
    fn overriding_update(
        &self,
        received: &Received,
        identity: &heartbeat::Identity,
    ) -> Option<heartbeat::Member> {
        let member = self.member_list.get(&identity.host)?;
        let reported = heartbeat::Incarnation {
            boot: received.boot,
            refutation: received.frame.refutation,
        };
        let overriding_update =
            (member.incarnation, member.phase) > (reported, received.frame.phase);
        overriding_update.then(|| member.to_update())
    }

    /// Tells a process with too low a boot number which one is known.
    fn notify_stale_boot(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        now: time::Instant,
        out: &mut Actions,
    ) {
        let update = self
            .member_list
            .get(&identity.host)
            .map(|member| member.to_update());
        let mut frame = self.frame(heartbeat::Kind::Beat, None, Content::INTRODUCTION, now);
        frame.updates.extend(update);
        let audience = seal::Audience::Process(received.tag, received.boot);
        self.send(identity.address, audience, frame, out);
    }

    fn report_newer_revision(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        out: &mut Actions,
    ) {
        if received.frame.revision > self.revision {
            out.push(Action::NewerRevision {
                revision: received.frame.revision,
                host: identity.host.clone(),
                address: identity.address,
            });
        }
    }

    fn record_strikes(&mut self, received: &Received, now: time::Instant, out: &mut Actions) {
        for report in &received.frame.strikes {
            let expires_at = strike::expires_at(report, now);
            let recorded = self
                .strikes
                .record(report.fingerprint, report.attempt, expires_at, now);
            if let Some(strike) = recorded {
                self.timers.push(now);
                out.push(Action::Strike(strike));
            }
        }
    }

    fn apply_updates(&mut self, received: &Received, now: time::Instant, out: &mut Actions) {
        for update in &received.frame.updates {
            if update.host == self.identity.host {
                self.refute(update, now, out);
            } else if self.region.contains(&update.zone) {
                self.apply_update(update, now, out);
            }
        }
    }

    fn apply_loads(&mut self, received: &Received, now: time::Instant) {
        for summary in &received.frame.summaries {
            let Some(member) = self.member_list.by_short_tag(summary.tag) else {
                continue;
            };
            if heartbeat::Summary::low(member.incarnation.boot) == summary.boot {
                member.apply_report(summary.version, summary.revision, summary.load, now);
            }
        }
        for total in &received.frame.totals {
            self.zone_totals.update(total, now);
        }
    }

    /// Exchanges the whole lists of members with a router that knows something else.
    ///
    /// News spreads at random and may miss a router, which would disagree with
    /// the others for good. It shows by the digest, once the news has settled.
    fn run_anti_entropy(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        now: time::Instant,
        out: &mut Actions,
    ) {
        let settled = now.since(self.timers.changed_at) >= DIGEST_SETTLE_TIME;
        if received.frame.digest == self.digest() || !settled || now < self.timers.anti_entropy_at {
            return;
        }
        self.timers.anti_entropy_at = now + ANTI_ENTROPY_INTERVAL;
        self.send_members(&identity.host, now, out);
        self.send_to(
            heartbeat::Kind::Join,
            &identity.host,
            Content::default(),
            now,
            out,
        );
    }

    fn respond(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        now: time::Instant,
        out: &mut Actions,
    ) {
        match received.frame.kind {
            heartbeat::Kind::Beat => {}
            heartbeat::Kind::Probe => self.answer(received, identity, Duration::ZERO, now, out),
            heartbeat::Kind::Join => self.answer_join(received, identity, now, out),
            heartbeat::Kind::Answer { echo, hold } => {
                self.handle_answer(&identity.host, echo, hold, now, out);
            }
        }
    }

    fn answer(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        hold_down: Duration,
        now: time::Instant,
        out: &mut Actions,
    ) {
        let kind = answer_kind(received, hold_down);
        let content = if received.frame.identity.is_some() {
            Content::INTRODUCTION
        } else {
            Content::default()
        };
        let mut frame = self.frame(kind, None, content, now);
        // A router that was paused trusts its view again once it is answered. It
        // has to learn by this very answer that it was given up: told apart, it
        // would act as an owner beside its successor until the word arrives.
        frame
            .updates
            .extend(self.overriding_update(received, identity));
        let audience = seal::Audience::Process(received.tag, received.boot);
        self.send(identity.address, audience, frame, out);
    }

    /// Answers a router that joins and tells it of all members.
    fn answer_join(
        &mut self,
        received: &Received,
        identity: &heartbeat::Identity,
        now: time::Instant,
        out: &mut Actions,
    ) {
        let hold_down = self.flaps.hold_down(&identity.host, &self.settings);
        self.answer(received, identity, hold_down, now, out);
        self.send_members(&identity.host, now, out);
    }

    fn handle_answer(
        &mut self,
        host: &host::Id,
        echo: u32,
        hold: u16,
        now: time::Instant,
        out: &mut Actions,
    ) {
        self.pause_detector.handle_answer(now, echo);
        self.timers.join_answered(echo);
        let hold_down = Duration::from_secs(u64::from(hold));
        self.timers.hold_down_until = self.timers.hold_down_until.max(now + hold_down);
        if !self.timers.joined && self.member_list.get(host).is_some() {
            self.send_join(host, now, out);
        }
    }
}

fn answer_kind(received: &Received, hold_down: Duration) -> heartbeat::Kind {
    heartbeat::Kind::Answer {
        echo: received.frame.version,
        hold: u16::try_from(hold_down.as_secs()).unwrap_or(u16::MAX),
    }
}
