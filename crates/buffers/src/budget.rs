//! The budget of all held bytes.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// The limits of a [`Budget`], in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// All bytes, towards callers and towards servers.
    pub bytes: usize,
    /// The part of them that responses leave to request bodies.
    pub requests: usize,
    /// What each response may hold in any case.
    pub floor: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 16 * 1024 * 1024,
            requests: 0,
            floor: 16 * 1024,
        }
    }
}

/// The bytes that are held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The bytes held now.
    pub held: usize,
    /// The most bytes that were held at any time.
    pub most: usize,
    /// The responses that may hold bytes.
    pub open: usize,
    /// The responses that were denied bytes so far.
    pub yielded: u64,
}

/// Why a response may not hold more bytes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// What the response holds.
    pub held: usize,
    /// What is left free of the budget.
    pub free: usize,
    /// Whether the response was never denied bytes before.
    pub is_first: bool,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes are held and {} free", self.held, self.free)
    }
}

impl std::error::Error for Denied {}

#[derive(Debug)]
struct State {
    limits: Limits,
    /// What is set aside for responses: for each the floor, or what it has taken if that is more.
    committed: usize,
    requests: usize,
    usage: Usage,
}

impl State {
    /// What responses may take beside what is set aside for them already.
    fn free(&self) -> usize {
        let requests = self.requests.max(self.limits.requests);
        let responses = self.limits.bytes.saturating_sub(requests);
        responses.saturating_sub(self.committed)
    }

    /// What is set aside for a response that has taken `bytes`.
    fn commitment(&self, bytes: usize) -> usize {
        bytes.max(self.limits.floor)
    }

    fn hold(&mut self, bytes: usize) {
        self.usage.held += bytes;
        self.usage.most = self.usage.most.max(self.usage.held);
    }

    /// Changes what a response has taken.
    fn recommit(&mut self, account: &mut Account, taken: usize) {
        self.committed -= self.commitment(account.taken);
        self.committed += self.commitment(taken);
        account.taken = taken;
    }
}

/// What one response has taken.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    taken: usize,
    has_yielded: bool,
}

/// All bytes that may be held.
///
/// As long as the floors of all open responses fit, the held bytes never exceed the limit. If they
/// do not, each response holds its floor at most.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<State>>);

impl Budget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(State {
            limits,
            committed: 0,
            requests: 0,
            usage: Usage::default(),
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The bytes that are held.
    pub fn usage(&self) -> Usage {
        self.state().usage
    }

    /// The limits.
    pub fn limits(&self) -> Limits {
        self.state().limits
    }

    /// Adds a response, which holds nothing yet.
    pub fn open(&self) -> Share {
        let mut state = self.state();
        state.usage.open += 1;
        state.committed += state.commitment(0);
        Share(Arc::new(Opened {
            budget: self.clone(),
            account: Mutex::default(),
        }))
    }

    /// Records the body of a request, which is held until its server has responded. Its admission
    /// is decided elsewhere, within [`Limits::requests`].
    pub fn hold_request(&self, bytes: usize) -> Charge {
        let mut state = self.state();
        state.requests += bytes;
        state.hold(bytes);
        Charge {
            owner: Owner::Request(self.clone()),
            taken: bytes,
            held: bytes,
        }
    }
}

/// A response as long as it, or any charge of it, exists.
#[derive(Debug)]
struct Opened {
    budget: Budget,
    /// Locked after the budget.
    account: Mutex<Account>,
}

impl Opened {
    fn account(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.usage.open -= 1;
        state.committed -= state.commitment(0);
    }
}

/// The share of one response.
#[derive(Debug)]
pub struct Share(Arc<Opened>);

impl Share {
    /// Sets `bytes` aside that are about to be read.
    ///
    /// # Errors
    ///
    /// When the response would hold more than its floor, and beyond it more than is left free.
    pub fn take(&self, bytes: usize) -> Result<Charge, Denied> {
        let mut state = self.0.budget.state();
        let mut account = self.0.account();
        let taken = account.taken + bytes;
        let added = state.commitment(taken) - state.commitment(account.taken);
        let free = state.free();
        let beyond_floor = taken.saturating_sub(state.limits.floor);
        if beyond_floor > 0
            && free
                .checked_sub(added)
                .is_none_or(|left| beyond_floor > left)
        {
            let is_first = !std::mem::replace(&mut account.has_yielded, true);
            state.usage.yielded += u64::from(is_first);
            let held = account.taken;
            return Err(Denied {
                held,
                free,
                is_first,
            });
        }
        state.recommit(&mut account, taken);
        Ok(Charge {
            owner: Owner::Response(Arc::clone(&self.0)),
            taken: bytes,
            held: 0,
        })
    }

    /// What the response has taken.
    pub fn taken(&self) -> usize {
        self.0.account().taken
    }
}

#[derive(Debug)]
enum Owner {
    Response(Arc<Opened>),
    Request(Budget),
}

/// Bytes that are set aside or held, until this is dropped.
#[derive(Debug)]
pub struct Charge {
    owner: Owner,
    taken: usize,
    /// The part of them that has been read.
    held: usize,
}

impl Charge {
    /// Records that `bytes` of those that are set aside are held, and gives the others back.
    pub fn settle(&mut self, bytes: usize) {
        let bytes = bytes.min(self.taken);
        self.change(bytes, bytes);
    }

    /// The bytes that are set aside or held.
    pub fn bytes(&self) -> usize {
        self.taken
    }

    fn change(&mut self, taken: usize, held: usize) {
        let budget = match &self.owner {
            Owner::Response(opened) => &opened.budget,
            Owner::Request(budget) => budget,
        };
        let mut state = budget.state();
        state.usage.held -= self.held;
        state.hold(held);
        match &self.owner {
            Owner::Response(opened) => {
                let mut account = opened.account();
                let total = account.taken - self.taken + taken;
                state.recommit(&mut account, total);
            }
            Owner::Request(_) => state.requests = state.requests - self.taken + taken,
        }
        (self.taken, self.held) = (taken, held);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.change(0, 0);
    }
}
