//! Test runs of suspects: one copy of each at a time.
//!
//! Daemons ask one of them, the same for all, before they run a suspect. Its grants are lost with it, so that the daemon
//! that grants runs after it may grant one more copy meanwhile.
//!
//! ```
//! use kelpworks_coord::crash_ledger::*;
//! use kelpworks_coord::poison::Fingerprint;
//! use kelpworks_coord::time::Instant;
//!
//! let mut test_runs = TestRuns::new(Config::default());
//! let now = Instant::ZERO;
//! assert_eq!(test_runs.grant(Fingerprint(1), now), None);
//! let wait = test_runs.grant(Fingerprint(1), now).expect("another copy runs");
//! assert_eq!(test_runs.grant(Fingerprint(1), now + wait), None);
//! ```

use std::collections::HashMap;

use super::Config;
use crate::poison::Fingerprint;
use crate::time::Instant;
use crate::time::Span;

/// The test runs that one daemon has granted.
#[derive(Clone, Debug)]
pub struct TestRuns {
    period: Span,
    max: usize,
    /// Until when no other copy may begin; at most `max`.
    granted: HashMap<Fingerprint, Instant>,
}

impl TestRuns {
    /// Creates a state without grants.
    pub fn new(cfg: Config) -> TestRuns {
        TestRuns {
            period: cfg.test_run,
            max: cfg.max_facts,
            granted: HashMap::new(),
        }
    }

    /// Grants a test run; `None` if it may begin now, else the time until another one may.
    pub fn grant(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<Span> {
        if let Some(&until) = self.granted.get(&fingerprint)
            && now < until
        {
            return Some(until.since(now));
        }
        if self.granted.len() >= self.max {
            self.granted.retain(|_, until| now < *until);
        }
        if self.granted.len() >= self.max {
            return Some(self.period);
        }
        self.granted.insert(fingerprint, now + self.period);
        None
    }
}
