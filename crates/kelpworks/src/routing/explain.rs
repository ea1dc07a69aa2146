//! Why a path was chosen, for the log line of the decision.

use std::fmt;

use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;

/// Why a path was chosen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// One a hop, in order.
    pub hops: Vec<HopReason>,
}

/// Why an upstream was chosen for a hop.
#[derive(Clone, Debug, PartialEq)]
pub struct HopReason {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Cost of the path up to the end of this hop, in microseconds over a session; 0 when kept.
    pub cost_us: f64,
    /// The next best for the same layers, if any was weighed.
    pub runner_up: Option<RunnerUp>,
    /// What decided.
    pub reason: Reason,
}

/// The next best candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerUp {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Cost of the path up to the end of this hop, had it been taken.
    pub cost_us: f64,
}

/// What decided the choice of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// It ran the session's stage before and still serves it.
    Kept,
    /// Least expected cost.
    Cheapest,
    /// No other was weighed for these layers.
    OnlyCandidate,
    /// Cooling, suspect or failed before, and nobody in good standing holds the layers.
    LastResort,
}

impl Reason {
    /// The word for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Kept => "kept",
            Reason::Cheapest => "cheapest",
            Reason::OnlyCandidate => "only-candidate",
            Reason::LastResort => "last-resort",
        }
    }
}

impl Explanation {
    /// Text for the log line, with the names of the snapshot that the path was chosen from.
    pub fn display<'a>(&'a self, fleet: &'a Fleet) -> impl fmt::Display + 'a {
        Display {
            explanation: self,
            fleet,
        }
    }
}

struct Display<'a> {
    explanation: &'a Explanation,
    fleet: &'a Fleet,
}

impl fmt::Display for Display<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |key| self.fleet.upstreams.get(key).map_or("?", |u| &*u.name);
        for (i, hop) in self.explanation.hops.iter().enumerate() {
            if i > 0 {
                f.write_str("; ")?;
            }
            let reason = hop.reason.as_str();
            write!(
                f,
                "{} {reason} cost={:.0}us",
                name(hop.upstream),
                hop.cost_us
            )?;
            if let Some(next) = &hop.runner_up {
                write!(f, " over {} {:.0}us", name(next.upstream), next.cost_us)?;
            }
        }
        Ok(())
    }
}
