//! Invariants that hold for any sequence of events.

use std::{collections::BTreeMap, time::Duration};

use admission::{
    Action, Actions, Bound, Decision, Handover, Outcome, Report, Server, Settings, Standing, State,
    Ticket,
};
use proptest::{prelude::*, test_runner::RngSeed};
use units::{
    cost::Cost,
    request::{Attempt, Priority},
    time::Instant,
};

use crate::ticket_log::{Entry, TicketLog, TicketState};

#[derive(Clone, Debug)]
enum Event {
    Offer {
        workspace: u8,
        cost: u64,
        priority: u8,
        suspect: bool,
        timeout: u64,
    },
    FirstToken(usize),
    Finish(usize, u8),
    Cancel(usize),
    Report {
        boot: u64,
        running: u32,
        waiting: u32,
    },
    Bound(Option<u32>, Option<u64>),
    Weights(u32),
    HandOver(u32, u32),
    Stop,
    Start,
    Tick,
}

fn event() -> impl Strategy<Value = Event> {
    let offer = (
        0..4_u8,
        1..2000_u64,
        0..3_u8,
        prop::bool::weighted(0.2),
        0..20_000_u64,
    );
    prop_oneof![
        30 => offer.prop_map(|(workspace, cost, priority, suspect, timeout)| Event::Offer {
            workspace, cost, priority, suspect, timeout
        }),
        10 => any::<usize>().prop_map(Event::FirstToken),
        15 => (any::<usize>(), 0..6_u8).prop_map(|(nth, outcome)| Event::Finish(nth, outcome)),
        4 => any::<usize>().prop_map(Event::Cancel),
        4 => (0..2_u64, 0..9_u32, 0..3_u32).prop_map(|(boot, running, waiting)| Event::Report {
            boot: boot / 2, running, waiting
        }),
        2 => (prop::option::of(0..6_u32), prop::option::of(0..4000_u64))
            .prop_map(|(requests, cost)| Event::Bound(requests, cost)),
        1 => (0..9_u32).prop_map(Event::Weights),
        1 => (0..9_u32, 0..4_u32).prop_map(|(limit, left)| Event::HandOver(limit, left)),
        1 => Just(Event::Stop),
        2 => Just(Event::Start),
        4 => Just(Event::Tick),
    ]
}

fn has_admission(actions: &Actions) -> bool {
    let admits = |action: &Action| matches!(action, Action::Admit(_));
    actions.iter().any(admits)
}

struct Harness {
    server: Server,
    settings: Settings,
    tickets: TicketLog,
    bound: Bound,
    now: Instant,
    offers: u64,
    reports: u64,
}

impl Harness {
    fn new(takes_over: bool) -> Self {
        let settings = Settings {
            max_concurrency: 6,
            takeover_share: 3,
            max_queued: 8,
            max_queued_per_workspace: 5,
            max_queued_suspects: 2,
            ..Settings::default()
        };
        let now = Instant::from_millis(1000);
        let server = match takes_over {
            true => Server::taking_over(settings.clone(), Instant::from_millis(6000), now),
            false => Server::new(settings.clone(), now),
        };
        let (tickets, bound) = (TicketLog::default(), Bound::default());
        Self {
            server,
            settings,
            tickets,
            bound,
            now,
            offers: 0,
            reports: 0,
        }
    }

    /// Advances the time as an owner does, with a tick whenever one is due.
    fn advance(&mut self, until: Instant) {
        while let Some(due) = self.server.next_tick().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            let actions = self.server.tick(self.now);
            self.apply(&actions);
        }
        self.now = until;
    }

    fn apply(&mut self, actions: &Actions) {
        self.tickets.apply(actions, self.now);
        self.check(has_admission(actions));
    }

    fn nth(&self, state: TicketState, nth: usize) -> Option<Attempt> {
        let attempts = self.tickets.in_state(state);
        attempts.get(nth % attempts.len().max(1)).copied()
    }

    fn offer(&mut self, workspace: u8, cost: u64, priority: u8, suspect: bool, timeout: u64) {
        let attempt = Attempt(self.offers);
        self.offers += 1;
        let priorities = [Priority::Batch, Priority::Normal, Priority::Interactive];
        let ticket = Ticket {
            attempt,
            workspace: format!("w{workspace}").parse().expect("a valid name"),
            cost: Cost(cost),
            priority: priorities[usize::from(priority)],
            standing: if suspect {
                Standing::Suspect
            } else {
                Standing::Clear
            },
            deadline: self.now + Duration::from_millis(timeout),
        };
        let deadline = ticket.deadline;
        let entry = Entry {
            state: TicketState::Queued,
            suspect,
            offered_at: self.now,
            deadline,
        };
        let offered = self.server.offer(ticket, self.now);
        self.tickets.offered(attempt, entry, &offered, self.now);
        let admitted = offered.decision == Decision::Admitted;
        self.check(admitted || has_admission(&offered.others));
    }

    fn finish(&mut self, nth: usize, outcome: u8) {
        let Some(attempt) = self.nth(TicketState::Admitted, nth) else {
            return;
        };
        self.tickets.set_state(attempt, TicketState::Finished);
        let first_token_at = self.tickets.entries[&attempt].offered_at + Duration::from_millis(100);
        let outcome = match outcome {
            0 => Outcome::Failed,
            1 => Outcome::Cancelled,
            _ => Outcome::Completed {
                first_token_at: first_token_at.min(self.now),
                ended_at: self.now,
            },
        };
        let actions = self.server.finish(attempt, outcome, self.now);
        self.apply(&actions);
    }

    fn cancel(&mut self, nth: usize) {
        let queued = self.nth(TicketState::Queued, nth);
        let Some(attempt) = queued.or(self.nth(TicketState::Admitted, nth)) else {
            return;
        };
        self.tickets.set_state(attempt, TicketState::Cancelled);
        let actions = self.server.cancel(attempt, self.now);
        self.apply(&actions);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let actions = match event {
            Event::Offer {
                workspace,
                cost,
                priority,
                suspect,
                timeout,
            } => {
                return self.offer(workspace, cost, priority, suspect, timeout);
            }
            Event::Finish(nth, outcome) => return self.finish(nth, outcome),
            Event::Cancel(nth) => return self.cancel(nth),
            Event::FirstToken(nth) => {
                let Some(attempt) = self.nth(TicketState::Admitted, nth) else {
                    return;
                };
                self.server.first_token(attempt, now)
            }
            Event::Report {
                boot,
                running,
                waiting,
            } => {
                self.reports += 1;
                let seq = self.reports;
                self.server.report(
                    Report {
                        boot,
                        seq,
                        running,
                        waiting,
                        capacity: 0,
                    },
                    now,
                )
            }
            Event::Bound(requests, cost) => {
                self.bound = Bound {
                    requests,
                    cost: cost.map(Cost),
                };
                self.server.set_bound(self.bound, now)
            }
            Event::Weights(weight) => {
                self.server.set_weights(BTreeMap::from([(
                    "w0".parse().expect("a valid name"),
                    weight,
                )]));
                Actions::new()
            }
            Event::HandOver(limit, in_flight) => self
                .server
                .apply_handover(Handover { limit, in_flight }, now),
            Event::Stop => self.server.stop(),
            Event::Start => self.server.start(now),
            Event::Tick => self.server.tick(now),
        };
        self.apply(&actions);
    }

    fn check(&self, has_admitted: bool) {
        let snapshot = self.server.snapshot(self.now);
        let running = self.tickets.in_state(TicketState::Admitted);
        assert_eq!(snapshot.in_flight as usize, running.len());
        let total = snapshot.in_flight + snapshot.foreign;
        if has_admitted {
            assert!(
                total <= snapshot.limit,
                "{total} requests exceed the limit of {}",
                snapshot.limit
            );
            let bound = self.bound.requests.unwrap_or(u32::MAX).max(1);
            assert!(
                total <= bound,
                "{total} requests exceed the bound of {bound}"
            );
            let cost = self.bound.cost.unwrap_or(Cost(u64::MAX));
            assert!(
                total == 1 || snapshot.in_flight_cost <= cost,
                "the cost in flight exceeds the cost bound"
            );
        }
        let is_suspect = |attempt: &Attempt| self.tickets.entries[attempt].suspect;
        let suspects = running.iter().filter(|attempt| is_suspect(attempt)).count();
        assert!(suspects <= 1, "{suspects} suspects run concurrently");

        let queued = self.tickets.in_state(TicketState::Queued);
        assert_eq!(snapshot.queued as usize, queued.len());
        let waiting = queued.iter().filter(|attempt| !is_suspect(attempt)).count();
        assert!(waiting <= self.settings.max_queued);
        assert!(queued.len() - waiting <= self.settings.max_queued_suspects);
        let headroom = self.settings.max_concurrency / self.settings.headroom;
        let idle = total + headroom < snapshot.limit
            && snapshot.state != State::Doubt
            && self.bound.cost.is_none();
        let may_run = waiting > 0 || (suspects == 0 && !queued.is_empty());
        assert!(
            !(idle && may_run),
            "{} tickets are queued though there is capacity",
            queued.len()
        );
        if snapshot.state == State::Stopped {
            assert!(
                queued.is_empty() && !has_admitted,
                "tickets queued or admitted on a stopped server"
            );
        }
    }

    /// Finishes all running attempts. Queued tickets must be admitted or refused by
    /// then.
    fn drain(&mut self) {
        while !self.tickets.in_state(TicketState::Admitted).is_empty() {
            self.finish(0, 2);
        }
        self.advance(self.now + Duration::from_secs(60));
        while !self.tickets.in_state(TicketState::Admitted).is_empty() {
            self.finish(0, 2);
        }
        let lost = self.tickets.in_state(TicketState::Queued);
        assert!(
            lost.is_empty(),
            "tickets never admitted or refused: {lost:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5e5a_0001),
        ..ProptestConfig::default()
    })]

    // Guards against engines that are overloaded, requests that are answered twice
    // or never, and requests that run after a refusal that says they have not run.
    // Offers, completions, cancellations, late reports, restarts, bounds, drains
    // and a takeover occur in random order.
    #[test]
    fn every_ticket_ends_exactly_once_within_limit_and_bound(
        takes_over in any::<bool>(),
        events in prop::collection::vec((0..1500_u64, event()), 1..120),
    ) {
        let mut harness = Harness::new(takes_over);
        for (delay, event) in events {
            harness.advance(harness.now + Duration::from_millis(delay / 3));
            harness.handle(event);
        }
        harness.drain();
    }
}
