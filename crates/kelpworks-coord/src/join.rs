//! Readiness of a starting daemon: decides when enough answers about the config head have come in.
//!
//! An API replica or a peer may lag, so a starting daemon queries the API and several peers and
//! takes the highest generation in the answers. It waits for all answers until a deadline. After
//! the deadline one answer suffices, so that a daemon can start during an API outage or while
//! peers are unreachable.
//!
//! ```
//! use kelpworks_coord::join::Joining;
//! use kelpworks_coord::join::Source;
//! use kelpworks_coord::time::Instant;
//!
//! let deadline = Instant::from_millis(2_000);
//! let mut joining = Joining::new(deadline, 2);
//! joining.on_answer(Source::Peer);
//! joining.on_answer(Source::Peer);
//! assert!(!joining.is_ready(Instant::from_millis(10)), "the API has not answered");
//! assert!(joining.is_ready(deadline), "the API may be down; the answers of peers suffice");
//! ```
//!
//! A daemon that gets no answer does not become ready. One that gets only stale answers starts with
//! an older generation, and catches up at the first heartbeat of a peer that has a newer one.

use crate::time::Instant;

/// Source of an answer about the config head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The object API.
    Api,
    /// A peer. Drivers report each peer once.
    Peer,
}

/// Answers that a starting daemon has got and still waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Joining {
    deadline: Instant,
    api_answered: bool,
    /// At most `peers_queried`.
    peers_answered: usize,
    peers_queried: usize,
}

impl Joining {
    /// Creates the state of a daemon that has queried the API and `peers` peers, and waits for all
    /// answers until `deadline`.
    pub fn new(deadline: Instant, peers: usize) -> Joining {
        Joining {
            deadline,
            api_answered: false,
            peers_answered: 0,
            peers_queried: peers,
        }
    }

    /// Records an answer, also one that says that there is no head.
    pub fn on_answer(&mut self, source: Source) {
        match source {
            Source::Api => self.api_answered = true,
            Source::Peer => self.peers_answered = (self.peers_answered + 1).min(self.peers_queried),
        }
    }

    /// Returns whether the daemon may serve with the highest generation in the answers so far.
    pub fn is_ready(&self, now: Instant) -> bool {
        let all = self.api_answered && self.peers_answered == self.peers_queried;
        let any = self.api_answered || self.peers_answered > 0;
        all || (any && now >= self.deadline)
    }
}
