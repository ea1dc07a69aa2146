//! The part of a fleet-wide bound on repeats that this daemon may use.
//!
//! A repeat is an arrival at a service beyond the first of its request. In any window, all daemons
//! together may cause a fixed number of repeats and a share of the requests. Each daemon keeps to
//! that share of its own requests and to an equal part of the fixed number, so that the bound holds
//! without a message between them, also while daemons can't hear each other. A process that starts
//! has no equal part for one window, since the one before it may have spent it up to its end.
//!
//! Nothing is sent to an upstream without a [`Permit`]. One whose request was not written to a
//! connection goes back: while engines that are gone still stand in the registration, a good part of the
//! attempts that fail are not.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::sync::lock;

/// Part of what is allowed that is used: a window here begins a little earlier than at the
/// service, where the repeat arrives.
const SAFETY: f64 = 0.85;

/// The bound, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Length of the window.
    pub window: Duration,
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
}

/// Leave to send a request to an upstream once.
#[derive(Debug)]
#[must_use]
pub struct Permit {
    /// Where a repeat goes back to that was not sent; none for a first arrival.
    taken: Option<(Arc<Mutex<Repeats>>, Arc<str>)>,
}

impl Permit {
    /// For a request that has reached no upstream yet.
    pub fn first() -> Permit {
        Permit { taken: None }
    }

    /// For one that may have; `None` when the bound allows no more.
    pub fn repeat(
        repeats: &Arc<Mutex<Repeats>>,
        service: &Arc<str>,
        now: Instant,
    ) -> Option<Permit> {
        let mut counts = lock(repeats);
        let taken = counts.try_take(service, now);
        drop(counts);
        taken.then(|| Permit {
            taken: Some((Arc::clone(repeats), Arc::clone(service))),
        })
    }

    /// The request is written now, and counts even if its sending is given up half way.
    pub fn spend(self) -> Spent {
        let mut permit = self;
        Spent {
            taken: permit.taken.take(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some((repeats, service)) = self.taken.take() {
            let mut counts = lock(&repeats);
            counts.give_back(&service);
        }
    }
}

/// A permit that was used.
#[derive(Debug)]
pub struct Spent {
    taken: Option<(Arc<Mutex<Repeats>>, Arc<str>)>,
}

impl Spent {
    /// It came out that nothing was written.
    pub fn undo(self) -> Permit {
        Permit { taken: self.taken }
    }
}

/// Requests and repeats of one service in the last window.
#[derive(Clone, Debug, Default)]
struct Service {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// Counts of this daemon.
#[derive(Clone, Debug)]
pub struct Repeats {
    bound: Bound,
    /// Daemons that share the bound, at least 1.
    daemons: usize,
    /// When this process began to count.
    started: Instant,
    services: HashMap<Arc<str>, Service>,
}

impl Repeats {
    /// Nothing counted yet. `daemons` is how many share the bound.
    pub fn new(bound: Bound, daemons: usize, started: Instant) -> Repeats {
        Repeats {
            bound,
            daemons: daemons.max(1),
            started,
            services: HashMap::new(),
        }
    }

    /// Sets how many daemons share the bound.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Counts a request.
    pub fn requested(&mut self, service: &Arc<str>, now: Instant) {
        let counts = self.service(service, now);
        counts.requests.push_back(now);
    }

    /// Takes a repeat, if there is one left.
    pub fn try_take(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let Bound {
            window,
            ratio,
            slack,
        } = self.bound;
        let fixed = match now.duration_since(self.started) < window {
            true => 0.0,
            false => slack / self.daemons as f64,
        };
        let counts = self.service(service, now);
        let allowed = (fixed + ratio * counts.requests.len() as f64) * SAFETY;
        if counts.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    /// Gives a repeat back that was not sent.
    fn give_back(&mut self, service: &Arc<str>) {
        if let Some(counts) = self.services.get_mut(service) {
            counts.repeats.pop_back();
        }
    }

    fn service(&mut self, service: &Arc<str>, now: Instant) -> &mut Service {
        let window = self.bound.window;
        let counts = self.services.entry(Arc::clone(service)).or_default();
        for queue in [&mut counts.requests, &mut counts.repeats] {
            while queue
                .front()
                .is_some_and(|&at| now.duration_since(at) > window)
            {
                queue.pop_front();
            }
        }
        counts
    }
}
