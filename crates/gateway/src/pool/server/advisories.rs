//! What the server has announced to this router.

use tokio::sync::watch;
use units::time::Instant;

use super::Server;
use crate::{advisory::Advisory, roster};

impl Server {
    /// Whether the server must get no new requests because it is draining or shutting down,
    /// or its zone is out of service.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving || self.advisory.is_leaving
    }

    /// What the server has announced to this router.
    pub fn advisory(&self) -> Advisory {
        self.advisory
    }

    /// When the server announced its shutdown, if it did.
    pub fn shutdown_announced_at(&self) -> Instant {
        self.shutdown.announced_at()
    }

    /// Receives what the server announces from now on.
    pub fn announcements(&self) -> watch::Receiver<Advisory> {
        self.announcements.subscribe()
    }

    pub(super) fn restarted(&mut self, reading: roster::Reading) {
        self.shutdown.restarted(reading);
        let is_leaving = self.advisory.is_leaving && self.shutdown.may_be_of_present_process();
        let advisory = self.advisory.after_restart();
        self.set_advisory(Advisory {
            is_leaving,
            ..advisory
        });
    }

    /// Ends a shutdown that may have been of a former process, if its time is up. Returns
    /// whether there was one.
    pub fn expire_shutdown(&mut self, now: Instant) -> bool {
        let is_over = self.advisory.is_leaving && self.shutdown.is_over(now);
        if is_over {
            self.set_advisory(Advisory {
                is_leaving: false,
                ..self.advisory
            });
        }
        is_over
    }

    /// Records what an incarnation of the server has announced. Returns whether that was
    /// news.
    pub fn record_advisory(&mut self, incarnation: u64, advisory: Advisory, now: Instant) -> bool {
        let is_present = incarnation == self.entry.incarnation;
        if advisory.is_leaving && !self.advisory.is_leaving {
            self.shutdown.announce(now);
        }
        if advisory.is_leaving && is_present {
            self.shutdown.confirm();
        }
        let advisory = if is_present {
            advisory
        } else {
            let is_leaving = advisory.is_leaving && self.shutdown.may_be_of_present_process();
            Advisory {
                is_leaving,
                ..advisory.after_restart()
            }
        };
        let merged = self.advisory.merge(advisory);
        let is_news = merged != self.advisory;
        if is_news {
            self.set_advisory(merged);
        }
        is_news
    }

    fn set_advisory(&mut self, advisory: Advisory) {
        self.advisory = advisory;
        self.announcements.send_replace(advisory);
    }

    /// Whether the server has asked this router to send nothing at `now`.
    pub fn is_throttled(&self, now: Instant) -> bool {
        self.advisory.is_throttled(now)
    }
}
