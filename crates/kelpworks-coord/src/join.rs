//! When a daemon that just started may serve: once it has asked widely enough for the config head.
//!
//! An API replica or a peer may lag, so a new daemon asks the API and several peers and takes the
//! highest generation that any of them names. It waits for all, but only so long: during an API
//! outage, or while peers are gone, one answer must do.
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
//! assert!(joining.is_ready(deadline), "it may be down; the peers' word must do");
//! ```
//!
//! A daemon that no one answers does not become ready. One that only laggards answer begins with an
//! older generation, and goes up with the first heartbeat of a peer that knows better.

use crate::time::Instant;

/// Who answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The object API.
    Api,
    /// A peer; count each once.
    Peer,
}

/// Answers that a starting daemon waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Joining {
    deadline: Instant,
    api_answered: bool,
    /// At most `asked`.
    peers_answered: usize,
    peers_queried: usize,
}

impl Joining {
    /// A daemon that asked the API and so many peers, and waits for all until the deadline.
    pub fn new(deadline: Instant, peers: usize) -> Joining {
        Joining {
            deadline,
            api_answered: false,
            peers_answered: 0,
            peers_queried: peers,
        }
    }

    /// Notes an answer, also one that says that there is no head.
    pub fn on_answer(&mut self, source: Source) {
        match source {
            Source::Api => self.api_answered = true,
            Source::Peer => self.peers_answered = (self.peers_answered + 1).min(self.peers_queried),
        }
    }

    /// Whether the daemon may serve what it holds.
    pub fn is_ready(&self, now: Instant) -> bool {
        let all = self.api_answered && self.peers_answered == self.peers_queried;
        let any = self.api_answered || self.peers_answered > 0;
        all || (any && now >= self.deadline)
    }
}
