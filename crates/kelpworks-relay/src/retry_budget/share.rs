//! This daemon's part of the fixed number of retries.
//!
//! All daemons take equal parts. A part is usable only while the daemon is in contact with the fleet, and
//! after a probation within which every other daemon either counts this one or loses its own part. So the
//! parts of all daemons are never more than the whole, whichever daemons start, stop or are cut off.

use std::time::Duration;

use tokio::time::Instant;

/// Contact of a daemon with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetContact {
    /// No other daemons are expected.
    Alone,
    /// When it was last in contact.
    Last(Instant),
    /// It has not been in contact.
    Never,
}

/// Equal part of an allowance, usable for a limited time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Daemons that share the allowance, at least 1.
    daemons: usize,
    /// Since when the part has been renewed without a gap.
    renewed_since: Instant,
    /// When the part lapses unless it is renewed; `None` if it does not.
    lapses_at: Option<Instant>,
    /// Time for which the part is renewed before it may be used.
    probation: Duration,
}

impl Share {
    /// Returns the part of a process that starts: it has lapsed.
    pub(super) fn new(daemons: usize, started: Instant, probation: Duration) -> Share {
        Share {
            daemons: daemons.max(1),
            renewed_since: started,
            lapses_at: Some(started),
            probation,
        }
    }

    pub(super) fn daemons(&self) -> usize {
        self.daemons
    }

    /// Sets the number of daemons and renews the part until `validity` after the contact. A later contact
    /// is not replaced by an earlier one.
    pub(super) fn renew(
        &mut self,
        daemons: usize,
        contact: FleetContact,
        validity: Duration,
        now: Instant,
    ) {
        self.daemons = daemons.max(1);
        if self.has_lapsed(now) {
            self.renewed_since = now;
            self.lapses_at = Some(now);
        }
        self.lapses_at = match (contact, self.lapses_at) {
            (FleetContact::Alone, _) => None,
            (FleetContact::Last(at), Some(lapses_at)) => Some(lapses_at.max(at + validity)),
            (FleetContact::Last(at), None) => Some(at + validity),
            (FleetContact::Never, lapses_at) => lapses_at.or(Some(now)),
        };
    }

    fn has_lapsed(&self, now: Instant) -> bool {
        self.lapses_at.is_some_and(|at| now >= at)
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        let has_passed_probation = now >= self.renewed_since + self.probation;
        has_passed_probation && !self.has_lapsed(now)
    }

    /// Returns this daemon's part of an allowance.
    pub(super) fn of(&self, allowance: f64, now: Instant) -> f64 {
        match self.is_usable(now) {
            true => allowance / self.daemons as f64,
            false => 0.0,
        }
    }
}
