//! Log of the state of each ticket.

use std::collections::BTreeMap;

use admission::{Action, Decision, Offered};
use units::{request::Attempt, time::Instant};
use verdict::{Refusal, Verdict};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketState {
    Queued,
    Admitted,
    Finished,
    Refused,
    Cancelled,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub state: TicketState,
    pub suspect: bool,
    pub offered_at: Instant,
    pub deadline: Instant,
}

/// Checks that each ticket is admitted or refused exactly once, in time, and that
/// refused tickets have not run.
#[derive(Default)]
pub struct TicketLog {
    pub entries: BTreeMap<Attempt, Entry>,
}

impl TicketLog {
    pub fn offered(&mut self, attempt: Attempt, entry: Entry, offered: &Offered, now: Instant) {
        self.entries.insert(attempt, entry);
        match &offered.decision {
            Decision::Admitted => self.admit(attempt, now),
            Decision::Queued => {}
            Decision::Refused(refusal) => self.refuse(attempt, refusal, now),
        }
        self.apply(&offered.others, now);
    }

    pub fn apply(&mut self, actions: &[Action], now: Instant) {
        for action in actions {
            match action {
                Action::Admit(attempt) => self.admit(*attempt, now),
                Action::Refuse(attempt, refusal) => self.refuse(*attempt, refusal, now),
            }
        }
    }

    fn admit(&mut self, attempt: Attempt, now: Instant) {
        self.transition(attempt, TicketState::Admitted, now);
        assert!(
            now < self.entries[&attempt].deadline,
            "attempt {attempt} admitted after its deadline"
        );
    }

    fn refuse(&mut self, attempt: Attempt, refusal: &Refusal, now: Instant) {
        self.transition(attempt, TicketState::Refused, now);
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_at.is_none_or(|instant| instant >= now));
    }

    fn transition(&mut self, attempt: Attempt, state: TicketState, now: Instant) {
        let entry = self.entries.get_mut(&attempt).expect("an offered ticket");
        assert_eq!(
            entry.state,
            TicketState::Queued,
            "attempt {attempt} became {state:?} when it was no longer queued"
        );
        let max_wait = entry.deadline.since(entry.offered_at) / 2;
        let waited = now.since(entry.offered_at);
        assert!(
            waited <= max_wait,
            "attempt {attempt} waited {waited:?}, more than {max_wait:?}"
        );
        entry.state = state;
    }

    pub fn set_state(&mut self, attempt: Attempt, state: TicketState) {
        self.entries
            .get_mut(&attempt)
            .expect("an offered ticket")
            .state = state;
    }

    pub fn in_state(&self, state: TicketState) -> Vec<Attempt> {
        let entries = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.state == state);
        entries.map(|(attempt, _)| *attempt).collect()
    }
}
