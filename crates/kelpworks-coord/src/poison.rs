//! Detection of poison requests: requests that crash the upstreams that run them.
//!
//! When an upstream dies, every request that it was running is suspected. Suspects are rerun in
//! isolation from each other, at most one on an upstream, so that a second crash identifies one of
//! them. Its fingerprint is then refused for a time; the others are cleared when they finish.
//!
//! ```
//! use kelpworks_coord::id::UpstreamId;
//! use kelpworks_coord::poison::*;
//! use kelpworks_coord::time::Instant;
//!
//! let now = Instant::ZERO;
//! let (bad, good) = (Fingerprint(1), Fingerprint(2));
//! let mut poison = PoisonTracker::new(Config::default());
//! poison.on_event(now, Event::Crashed { upstream: UpstreamId(1), running: vec![bad, good] });
//! assert_eq!(poison.check(now, bad), Admission::Isolated);
//! assert!(poison.try_start(now, bad, UpstreamId(2)));
//! assert!(!poison.try_start(now, good, UpstreamId(2)), "another suspect runs there");
//! let crash = Event::Crashed { upstream: UpstreamId(2), running: vec![bad, Fingerprint(3)] };
//! poison.on_event(now, crash);
//! assert!(matches!(poison.check(now, bad), Admission::Refused { .. }));
//! assert_eq!(poison.check(now, good), Admission::Isolated);
//! poison.on_event(now, Event::Finished(good));
//! assert_eq!(poison.check(now, good), Admission::Normal);
//! ```
//!
//! Limits: a request that was running on two upstreams that died of other causes is refused by
//! mistake. Suspects of different daemons may run on one upstream before the daemons have exchanged
//! their reports; when that upstream dies, none of them is refused, and they run exclusively from
//! then on, which may cost a third upstream.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::UpstreamId;
use crate::time::Instant;
use crate::time::Span;

/// Limits of poison detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// How long a poison request is refused. Default 10 min.
    pub refusal_ttl: Span,
    /// How long a suspicion lasts after the last crash. Default 10 min.
    pub suspicion_ttl: Span,
    /// Most suspects and refused requests that are tracked; above it the oldest suspect is dropped,
    /// or without suspects the refusal that ends first. Default 4,096.
    pub max_tracked: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            refusal_ttl: Span::from_secs(600),
            suspicion_ttl: Span::from_secs(600),
            max_tracked: 4_096,
        }
    }
}

/// Hash of what stays the same when a caller retries a request, such as its team and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An input of [`PoisonTracker`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An upstream died while it ran requests.
    Crashed {
        /// Upstream that died.
        upstream: UpstreamId,
        /// Requests that it ran for this daemon.
        running: Vec<Fingerprint>,
    },
    /// A request finished, which clears it.
    Finished(Fingerprint),
    /// A request ended without finishing while its upstream lives; it stays suspected.
    Ended(Fingerprint),
    /// Another daemon reported that an upstream died while it ran a request.
    PeerSuspects {
        /// Request that is suspected.
        fingerprint: Fingerprint,
        /// Upstream that died.
        upstream: UpstreamId,
    },
    /// Another daemon identified a poison request and refuses it.
    PeerConfirmed {
        /// Poison request.
        fingerprint: Fingerprint,
        /// Remaining time of the refusal.
        remaining: Span,
    },
}

/// Something for the driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Rerun a suspect where [`PoisonTracker::try_start`] allows it, and report the suspicion to
    /// peers.
    RerunIsolated {
        /// Request to rerun.
        fingerprint: Fingerprint,
        /// Upstream that died.
        upstream: UpstreamId,
    },
    /// Fail a poison request, refuse it from now on, and report it to peers.
    Refuse(Fingerprint),
    /// Withdraw the suspicion that was reported to peers.
    Clear(Fingerprint),
}

/// Whether and where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// On any upstream; the request is not suspected.
    Normal,
    /// Only where [`PoisonTracker::try_start`] allows it.
    Isolated,
    /// Not at all; the request is refused as poison.
    Refused {
        /// Remaining time of the refusal.
        retry_after: Span,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Suspect {
    /// First upstream that died while it ran this request.
    first_crash: UpstreamId,
    /// Time of the last crash.
    since: Instant,
    /// Upstream on which it runs now; no two suspects share one.
    running_on: Option<UpstreamId>,
    /// Set after it was one of several suspects in a second crash: it runs only while no other
    /// suspect runs.
    exclusive: bool,
}

/// One daemon's record of suspected and refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoisonTracker {
    cfg: Config,
    /// Together with `refused` at most [`Config::max_tracked`].
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// End of the refusal of each poison request; disjoint from `suspects`.
    refused: BTreeMap<Fingerprint, Instant>,
}

impl PoisonTracker {
    /// Creates an empty tracker.
    pub fn new(cfg: Config) -> PoisonTracker {
        PoisonTracker {
            cfg,
            suspects: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// Returns whether and where a request may run now.
    pub fn check(&self, now: Instant, fingerprint: Fingerprint) -> Admission {
        if let Some(until) = self.refused.get(&fingerprint).filter(|&&until| until > now) {
            return Admission::Refused {
                retry_after: until.since(now),
            };
        }
        match self.suspects.get(&fingerprint) {
            Some(s) if now.since(s.since) < self.cfg.suspicion_ttl => Admission::Isolated,
            _ => Admission::Normal,
        }
    }

    /// Records that a suspect starts on an upstream, if it may, and returns whether it may.
    ///
    /// Returns false while another suspect runs on the upstream, for the upstream of the suspect's
    /// first crash, while any other suspect runs if one of the two is exclusive, and for refused
    /// requests. Always returns true for requests that are neither suspected nor refused.
    pub fn try_start(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
    ) -> bool {
        if self.check(now, fingerprint) != Admission::Isolated {
            return self.check(now, fingerprint) == Admission::Normal;
        }
        let Some(&own) = self.suspects.get(&fingerprint) else {
            return true;
        };
        let mut others = self
            .suspects
            .iter()
            .filter(|&(&f, s)| f != fingerprint && s.running_on.is_some());
        let clash =
            others.any(|(_, s)| s.running_on == Some(upstream) || s.exclusive || own.exclusive);
        if clash || own.first_crash == upstream {
            return false;
        }
        self.suspects.insert(
            fingerprint,
            Suspect {
                running_on: Some(upstream),
                ..own
            },
        );
        true
    }

    /// Handles an input and returns what the driver has to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        self.expire(now);
        match event {
            Event::Crashed { upstream, running } => self.on_crash(now, upstream, running),
            Event::Finished(fingerprint) => match self.suspects.remove(&fingerprint) {
                Some(_) => vec![Action::Clear(fingerprint)],
                None => Vec::new(),
            },
            Event::Ended(fingerprint) => {
                if let Some(s) = self.suspects.get_mut(&fingerprint) {
                    s.running_on = None;
                }
                Vec::new()
            }
            Event::PeerSuspects {
                fingerprint,
                upstream,
            } => {
                if !self.refused.contains_key(&fingerprint) {
                    self.suspect(now, fingerprint, upstream);
                }
                Vec::new()
            }
            Event::PeerConfirmed {
                fingerprint,
                remaining,
            } => {
                self.confirm(now, fingerprint, remaining.min(self.cfg.refusal_ttl));
                Vec::new()
            }
        }
    }

    fn on_crash(
        &mut self,
        now: Instant,
        upstream: UpstreamId,
        mut running: Vec<Fingerprint>,
    ) -> Vec<Action> {
        running.sort_unstable();
        running.dedup();
        let is_repeated = |f: &&Fingerprint| {
            self.suspects
                .get(f)
                .is_some_and(|s| s.first_crash != upstream)
        };
        let repeated: Vec<Fingerprint> = running.iter().filter(is_repeated).copied().collect();
        let confirmed = match repeated[..] {
            [only] => Some(only),
            _ => None,
        };
        running
            .into_iter()
            .map(|f| self.on_crashed_request(now, upstream, f, &repeated, confirmed))
            .collect()
    }

    fn on_crashed_request(
        &mut self,
        now: Instant,
        upstream: UpstreamId,
        fingerprint: Fingerprint,
        repeated: &[Fingerprint],
        confirmed: Option<Fingerprint>,
    ) -> Action {
        if confirmed == Some(fingerprint) {
            self.confirm(now, fingerprint, self.cfg.refusal_ttl);
            return Action::Refuse(fingerprint);
        }
        self.suspect(now, fingerprint, upstream);
        if let Some(s) = self.suspects.get_mut(&fingerprint) {
            s.running_on = None;
            s.since = now;
            s.exclusive |= repeated.contains(&fingerprint);
        }
        Action::RerunIsolated {
            fingerprint,
            upstream,
        }
    }

    fn suspect(&mut self, now: Instant, fingerprint: Fingerprint, upstream: UpstreamId) {
        let new = Suspect {
            first_crash: upstream,
            since: now,
            running_on: None,
            exclusive: false,
        };
        self.suspects.entry(fingerprint).or_insert(new);
        self.shrink();
    }

    fn confirm(&mut self, now: Instant, fingerprint: Fingerprint, refusal_ttl: Span) {
        self.suspects.remove(&fingerprint);
        self.refused.insert(fingerprint, now + refusal_ttl);
        self.shrink();
    }

    fn expire(&mut self, now: Instant) {
        let suspicion_ttl = self.cfg.suspicion_ttl;
        self.suspects
            .retain(|_, s| s.running_on.is_some() || now.since(s.since) < suspicion_ttl);
        self.refused.retain(|_, until| *until > now);
    }

    fn shrink(&mut self) {
        while self.suspects.len() + self.refused.len() > self.cfg.max_tracked {
            let suspect = self
                .suspects
                .iter()
                .min_by_key(|(_, s)| s.since)
                .map(|(&f, _)| f);
            let refusal = self
                .refused
                .iter()
                .min_by_key(|(_, until)| **until)
                .map(|(&f, _)| f);
            if let Some(f) = suspect {
                self.suspects.remove(&f);
            } else if let Some(f) = refusal {
                self.refused.remove(&f);
            }
        }
    }
}
