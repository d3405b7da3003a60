//! Processing of received heartbeats.

use std::time::Duration;

use units::{host, time};
use wire::{heartbeat, seal};

use super::{Actions, Fleet, send::Content};
use crate::{
    event::{Action, Received},
    member_list::Change,
};

/// The time without a membership change after which the digests of two routers
/// should be equal.
const DIGEST_SETTLE_TIME: Duration = Duration::from_millis(1500);
/// The minimum interval between two full exchanges of member lists.
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
        self.receive_reports(received, now, out);
        if same_region {
            self.apply_updates(received, now, out);
            self.apply_loads(received, now);
            self.run_anti_entropy(received, &identity, now, out);
        }
        self.respond(received, &identity, now, out);
    }

    /// The sender's identity, from the heartbeat or from the member list.
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

    /// Answers a heartbeat that was sealed for any process, without applying its contents.
    ///
    /// It may be a replay. The answer is sealed for the boot in the heartbeat and is
    /// small; the rate of such answers is limited.
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
        // A flapping router may join through a router that has just started itself and
        // has not counted its joins, so every router that it contacts sends a hold-down.
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

    /// Takes a token from the rate limiter of introductions.
    fn take_introduction_token(&mut self) -> bool {
        let left = self.timers.introduction_tokens.checked_sub(1);
        self.timers.introduction_tokens = left.unwrap_or(0);
        left.is_some()
    }

    /// Applies the sender's state; false for a process that a later boot has replaced.
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

    /// This router's update about the sender, if it overrides the state in the heartbeat.
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
        let overrides = (member.incarnation, member.phase) > (reported, received.frame.phase);
        overrides.then(|| member.to_update())
    }

    /// Sends the known boot number to a process whose boot number is too low.
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

    fn receive_reports(&mut self, received: &Received, now: time::Instant, out: &mut Actions) {
        for report in &received.frame.reports {
            let evidence = report.evidence(now);
            if self.record_evidence(&evidence, now) {
                out.push(Action::Evidence(evidence));
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
            if heartbeat::Summary::low_bytes(member.incarnation.boot) == summary.boot {
                member.apply_report(summary.version, summary.revision, summary.load, now);
            }
        }
        for total in &received.frame.totals {
            self.zone_totals.update(total, now);
        }
    }

    /// Exchanges full member lists with a router whose digest differs.
    ///
    /// Updates are gossiped to random routers and may miss one, whose view would
    /// then differ for good. Once no more updates are on their way, its digest
    /// shows that.
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
        // A router that was paused trusts its view again once it receives an answer.
        // The same answer has to say that it was declared down: in a separate
        // datagram, the router would act as an owner beside its successor until
        // that datagram arrives.
        frame
            .updates
            .extend(self.overriding_update(received, identity));
        let audience = seal::Audience::Process(received.tag, received.boot);
        self.send(identity.address, audience, frame, out);
    }

    /// Answers a router that joins, and sends it the member list.
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
