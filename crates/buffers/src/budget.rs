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
    /// The most responses at once. Their floors are set aside, unless they take more than half of
    /// what is left for responses.
    pub responses: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 16 * 1024 * 1024,
            requests: 0,
            floor: 16 * 1024,
            responses: 256,
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
    /// What responses have taken beyond their floors.
    excess: usize,
    requests: usize,
    usage: Usage,
}

impl State {
    /// What responses may still take beyond their floors.
    fn free(&self) -> usize {
        let limits = self.limits;
        let requests = self.requests.max(limits.requests);
        let responses = limits.bytes.saturating_sub(requests);
        let floors = limits.floor.saturating_mul(limits.responses);
        let floors = floors
            .min(responses / 2)
            .max(limits.floor * self.usage.open);
        responses.saturating_sub(floors).saturating_sub(self.excess)
    }

    /// The part of `taken` bytes that is beyond the floor.
    fn excess(&self, taken: usize) -> usize {
        taken.saturating_sub(self.limits.floor)
    }

    fn hold(&mut self, bytes: usize) {
        self.usage.held += bytes;
        self.usage.most = self.usage.most.max(self.usage.held);
    }

    /// Changes what a response has taken.
    fn set_taken(&mut self, account: &mut Account, taken: usize) {
        self.excess -= self.excess(account.taken);
        self.excess += self.excess(taken);
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
/// As long as the floors of the open responses fit what is set aside for them, the held bytes never
/// exceed the limit.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<State>>);

impl Budget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(State {
            limits,
            excess: 0,
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
        self.state().usage.open += 1;
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
        self.budget.state().usage.open -= 1;
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
        let excess = state.excess(taken);
        let added = excess - state.excess(account.taken);
        let free = state.free();
        if excess > 0 && free.checked_sub(added).is_none_or(|left| excess > left) {
            let is_first = !std::mem::replace(&mut account.has_yielded, true);
            state.usage.yielded += u64::from(is_first);
            let held = account.taken;
            return Err(Denied {
                held,
                free,
                is_first,
            });
        }
        state.set_taken(&mut account, taken);
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
                state.set_taken(&mut account, total);
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
