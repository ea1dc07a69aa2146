//! Requests that crash the upstreams that run them.
//!
//! When an upstream dies, every request that it was running is a suspect. Suspects are run again
//! apart from each other, at most one on an upstream, so a second crash points at one of them.
//! Its fingerprint is then refused for a while; all the others are cleared by finishing.
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
//! Limits: a request that was running on two upstreams that died of something else is refused
//! though innocent. Suspects of different daemons may meet on one upstream before the reports have
//! spread; when that one dies no one is convicted, and those suspects run alone from then on, which
//! may cost a third upstream.

use std::collections::BTreeMap;

use crate::id::UpstreamId;
use crate::time::Instant;
use crate::time::Span;

/// Bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// How long a convicted request is refused. Default 10 min.
    pub refusal_ttl: Span,
    /// How long a suspicion is remembered. Default 10 min.
    pub suspicion_ttl: Span,
    /// Suspects and convicts tracked at most; beyond it the oldest suspect is forgotten.
    /// Default 4,096.
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

/// Hash of team and body; the same when a caller sends a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// An input.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An upstream died while it ran these.
    Crashed {
        /// The upstream.
        upstream: UpstreamId,
        /// What it ran for this daemon.
        running: Vec<Fingerprint>,
    },
    /// A request finished.
    Finished(Fingerprint),
    /// A request ended otherwise, with its upstream alive; it stays under suspicion.
    Ended(Fingerprint),
    /// Another daemon saw an upstream die that ran this.
    PeerSuspects {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream that died.
        upstream: UpstreamId,
    },
    /// Another daemon convicted this, with so much of the refusal left.
    PeerConfirmed {
        /// The request.
        fingerprint: Fingerprint,
        /// Time left.
        remaining: Span,
    },
}

/// Something for the driver to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Run it again, where [`PoisonTracker::try_start`] allows; tell peers of the suspicion.
    RerunIsolated {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream that died.
        upstream: UpstreamId,
    },
    /// Fail it, refuse it from now on, and tell peers.
    Refuse(Fingerprint),
    /// Withdraw the suspicion from peers.
    Clear(Fingerprint),
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Admission {
    /// Like any other.
    Normal,
    /// Only where [`PoisonTracker::try_start`] allows.
    Isolated,
    /// Not at all.
    Refused {
        /// Until then.
        retry_after: Span,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Suspect {
    /// First upstream that died with it.
    first_crash: UpstreamId,
    /// Since the last crash.
    since: Instant,
    /// Where it runs now, if anywhere; no two suspects share one.
    running_on: Option<UpstreamId>,
    /// Set when it shared a second crash with another suspect: runs while no other suspect does.
    exclusive: bool,
}

/// What one daemon holds of suspects and convicts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoisonTracker {
    cfg: Config,
    /// Together with `convicts` at most [`Config::max_tracked`].
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Refused until then; disjoint from `suspects`.
    refused: BTreeMap<Fingerprint, Instant>,
}

impl PoisonTracker {
    /// No suspects.
    pub fn new(cfg: Config) -> PoisonTracker {
        PoisonTracker {
            cfg,
            suspects: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    /// How a request may be run now.
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

    /// Asks to run a suspect on an upstream, and notes that it does.
    ///
    /// False while another suspect runs there, on the upstream with which it first crashed, or
    /// while one of the two must run alone. Always true for those that are no suspects.
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

    /// Takes an input.
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
