//! Trunk reservation: the slots that stay free for more urgent requests.

/// Standard deviations of the slots in use that a reserve covers: enough for 97 of 100 times.
const COVERED_DEVIATIONS: f64 = 2.0;
/// The part of a server's or a service's slots that a reserve takes at most, as a divisor. Without
/// it, less urgent requests would never run on servers of few slots.
const MAX_RESERVE_DIVISOR: u32 = 2;
/// The requests beyond its slots that a server may hold for the most urgent rank, as a divisor of
/// its slots.
const OVERCOMMIT_DIVISOR: u32 = 4;

/// The slots that a request leaves free for more urgent ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserve {
    /// The ranks that are more urgent than the request; one more if its workspace exceeds its
    /// share.
    pub steps: u32,
    /// The more urgent requests of all routers that arrive within the age of the information.
    pub arrivals: f64,
    /// The requests of all routers that are as urgent or more and arrive in that time.
    pub competing: f64,
    /// Whether the request may exceed the slots of a server whose requests are all in use, since
    /// less urgent ones wait there behind it.
    pub may_overcommit: bool,
}

impl Reserve {
    /// Whether the request may go to a server with `slots`, of which `used` are known to be taken,
    /// in a service of `servers`.
    pub fn admits(&self, slots: u32, used: u32, servers: u32) -> bool {
        used.saturating_add(self.on_server(slots, servers)) < slots
    }

    /// Whether the request may go to any of `servers` servers, which have `slots` together, of
    /// which `used` are known to be taken.
    pub fn admits_over_service(&self, slots: u32, used: u32, servers: u32) -> bool {
        used.saturating_add(self.over_service(slots, servers)) < slots
    }

    /// Whether the requests that arrive within the age of the information may take all free slots
    /// of a service.
    ///
    /// About as many end in that time as arrive. Taken by their number alone, slots would be scarce
    /// at half of the load that the service bears, and prompts would leave their caches.
    pub fn is_scarce(&self, slots: u32, used: u32, servers: u32) -> bool {
        let taken = used.saturating_add(self.over_service(slots, servers));
        f64::from(slots.saturating_sub(taken)) < fluctuation(self.competing)
    }

    /// Whether the request may go to a server with `slots`, all of which may be taken.
    pub fn admits_overcommitted(&self, slots: u32, used: u32) -> bool {
        self.may_overcommit && used < slots.saturating_add((slots / OVERCOMMIT_DIVISOR).max(1))
    }

    /// The slots that stay free on a server with `slots`.
    pub fn on_server(&self, slots: u32, servers: u32) -> u32 {
        let taken = (self.taken() / f64::from(servers.max(1))) as u32;
        self.steps.max(taken).min(slots / MAX_RESERVE_DIVISOR)
    }

    /// The slots that stay free over a service of `servers`, which have `slots` together.
    pub fn over_service(&self, slots: u32, servers: u32) -> u32 {
        let taken = self.taken().ceil() as u32;
        let stepped = self.steps.saturating_mul(servers);
        stepped.max(taken).min(slots / MAX_RESERVE_DIVISOR)
    }

    /// The slots that more urgent requests take within the age of the information.
    fn taken(&self) -> f64 {
        if self.steps == 0 {
            return 0.0;
        }
        fluctuation(self.arrivals)
    }
}

/// The slots that `arrivals` requests take beside those that they find taken.
///
/// As many requests end as arrive, so only the difference of two Poisson counts takes slots.
fn fluctuation(arrivals: f64) -> f64 {
    if !arrivals.is_finite() {
        return 0.0;
    }
    COVERED_DEVIATIONS * (2.0 * arrivals.max(0.0)).sqrt()
}
