//! Explanation of a path choice, for the log line of the decision.

use std::fmt;

use crate::fleet::Fleet;
use crate::fleet::UpstreamKey;

/// Reasons for the choice of a path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// Reasons of the hops, in the order of the path.
    pub hops: Vec<HopReason>,
}

/// Reason for the choice of an upstream for a hop.
#[derive(Clone, Debug, PartialEq)]
pub struct HopReason {
    /// The chosen upstream.
    pub upstream: UpstreamKey,
    /// Cost of the path up to the end of this hop, in microseconds over a session; 0 for
    /// [`Reason::Kept`].
    pub cost_us: f64,
    /// Second cheapest candidate for the same layers, if another one was evaluated.
    pub runner_up: Option<RunnerUp>,
    /// Main reason for the choice.
    pub reason: Reason,
}

/// The second cheapest candidate for a hop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerUp {
    /// The upstream that was not chosen.
    pub upstream: UpstreamKey,
    /// Cost of the path up to the end of this hop with this upstream, in microseconds over a
    /// session.
    pub cost_us: f64,
}

/// Main reason for the choice of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Reason {
    /// The upstream ran this stage in the previous attempt and still serves it.
    Kept,
    /// The upstream has the lowest expected cost.
    Cheapest,
    /// No other upstream was evaluated for these layers.
    OnlyCandidate,
    /// The upstream is cooling down, suspect, or failed for this request before, and no preferred
    /// upstream has the layers.
    LastResort,
}

impl Reason {
    /// Value in log lines.
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
    /// Returns the text for the log line. `fleet` is the snapshot that the path was chosen from and
    /// provides the names of the upstreams.
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
