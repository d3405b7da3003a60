//! What a backend server asks of this router in the heads of its responses.

use units::time::Instant;

/// What a server has announced about further requests of this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advisory {
    /// Whether the server is shutting down.
    pub is_leaving: bool,
    /// Until when the server asks this router to send nothing; [`Instant::ZERO`] if it
    /// does not ask.
    pub throttled_until: Instant,
    /// The most requests that the server can reject in a second without failing, if it says
    /// so.
    pub max_rejections: Option<u32>,
}

impl Advisory {
    /// Whether the server announces nothing.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }

    /// Whether the server asks this router to send nothing at `now`.
    pub fn is_throttled(self, now: Instant) -> bool {
        now < self.throttled_until
    }

    /// What remains of the advisory once the server has restarted.
    ///
    /// The new process does not shut down. A pause remains: the host may be as busy as before.
    #[must_use]
    pub fn after_restart(self) -> Self {
        Self {
            is_leaving: false,
            max_rejections: None,
            ..self
        }
    }

    /// Both advisories together.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            is_leaving: self.is_leaving || other.is_leaving,
            throttled_until: self.throttled_until.max(other.throttled_until),
            max_rejections: other.max_rejections.or(self.max_rejections),
        }
    }
}
