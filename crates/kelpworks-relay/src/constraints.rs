//! What an upstream announces in its answers about what may be sent to it.
//!
//! There are three constraints. A rate limit holds for all daemons together, see
//! [`limits`](crate::limits). A backoff is the time for which an overloaded upstream wants nothing
//! from the daemon that it answers. A notice that the upstream is leaving holds for new work from
//! all daemons, until its process ends. All of them belong to one incarnation of the upstream.
//!
//! | message | rate limit | backoff | leaving |
//! |---|---|---|---|
//! | request, as the first or only upstream | binds | binds | binds |
//! | request, as a later engine of its path | the first engine counts it | binds | binds |
//! | order to load layers | no request | binds | binds: it would unload them soon |
//! | order to change the path of a request | no request | binds | it serves what runs there |
//! | query of its state | no request | binds | it serves what runs there |
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks_relay::constraints::Constraints;
//! use kelpworks_relay::constraints::MessageKind;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let mut constraints = Constraints::default();
//! assert!(constraints.allows(MessageKind::Request, now));
//!
//! constraints.request_backoff(Duration::from_secs(3), now);
//! let wait = constraints.wait(MessageKind::Query, now);
//! assert_eq!(wait, Some(Duration::from_secs(3)));
//!
//! constraints.announce_leaving(now);
//! assert_eq!(constraints.wait(MessageKind::LayerOrder, now), None, "never");
//! ```
//!
//! Limits: a backoff binds only the daemon that was asked for it, and is not reported to others.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::limits::Limiter;

/// Longest backoff that is kept. A longer one is more likely a mistake than a plan, and would take
/// an upstream out of use until it restarts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3_600);
/// Maximum number of removed incarnations whose constraints are kept.
const MAX_REMOVED: usize = 4_096;

/// A value that an answer may announce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Announced<T> {
    /// The answer has no such field.
    #[default]
    Absent,
    /// The announced value.
    Value(T),
    /// The field can't be parsed, which changes nothing.
    Unreadable,
}

impl<T: Copy> Announced<T> {
    /// Returns the value, if the answer has one that can be parsed.
    pub fn value(&self) -> Option<T> {
        match *self {
            Announced::Value(value) => Some(value),
            Announced::Absent | Announced::Unreadable => None,
        }
    }
}

/// Kinds of messages that a daemon sends to upstreams, or makes others send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request for which the upstream is the first or only one on its path: a first attempt, a
    /// retry, or the resumption of a stream.
    Request,
    /// A request that reaches the upstream as a later engine of its path, from the start or after
    /// a change of the path.
    LaterHop,
    /// An order to load layers.
    LayerOrder,
    /// An order that changes the path of a running request.
    RerouteOrder,
    /// A query of the upstream's state.
    Query,
}

impl MessageKind {
    /// Returns the name for logs and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            MessageKind::Request => "request",
            MessageKind::LaterHop => "later hop",
            MessageKind::LayerOrder => "layer order",
            MessageKind::RerouteOrder => "reroute order",
            MessageKind::Query => "query",
        }
    }

    /// Returns whether the message brings the upstream new work, which one that is leaving does
    /// not accept.
    fn is_new_work(self) -> bool {
        match self {
            MessageKind::Request | MessageKind::LaterHop | MessageKind::LayerOrder => true,
            MessageKind::RerouteOrder | MessageKind::Query => false,
        }
    }
}

/// The constraints of one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Constraints {
    /// Its limit on the requests of all daemons.
    pub limiter: Limiter,
    /// End of the last backoff that it requested from this daemon.
    backoff_until: Option<Instant>,
    /// When it first stated that it is leaving; never reset.
    leaving_since: Option<Instant>,
    /// Whether its last answer had a backoff or notice that could not be parsed.
    unreadable: bool,
}

impl Constraints {
    /// Returns the time until a message may be sent; `None` if none ever may, or if this daemon
    /// has no share of the rate limit.
    pub fn wait(&self, kind: MessageKind, now: Instant) -> Option<Duration> {
        if self.is_leaving() && kind.is_new_work() {
            return None;
        }
        let limit = match kind {
            MessageKind::Request => self.limiter.wait(now)?,
            _ => Duration::ZERO,
        };
        Some(limit.max(self.backoff(now)))
    }

    /// Returns whether a message may be sent now.
    pub fn allows(&self, kind: MessageKind, now: Instant) -> bool {
        self.wait(kind, now).is_some_and(|wait| wait.is_zero())
    }

    /// Returns the time left of the requested backoff; zero without one.
    pub fn backoff(&self, now: Instant) -> Duration {
        let left = |until: Instant| until.saturating_duration_since(now);
        self.backoff_until.map(left).unwrap_or_default()
    }

    /// Returns whether the upstream stated that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns when the upstream first stated that it is leaving.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.leaving_since
    }

    /// Applies a request for a backoff; returns whether it lasts longer than the one before. A
    /// shorter one, or an answer without one, does not end it: answers may overtake each other.
    pub fn request_backoff(&mut self, backoff: Duration, now: Instant) -> bool {
        let until = now + backoff.min(MAX_BACKOFF);
        let is_longer = until > now && self.backoff_until.is_none_or(|known| known < until);
        if is_longer {
            self.backoff_until = Some(until);
        }
        is_longer
    }

    /// Records a notice of leaving that was given at `at`; returns whether it is the first.
    pub fn announce_leaving(&mut self, at: Instant) -> bool {
        let is_first = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(at);
        is_first
    }

    /// Returns whether an announcement can't be parsed and those of the answer before could, so
    /// that each series of unreadable ones is logged once.
    pub fn is_first_unreadable(&mut self, is_unreadable: bool) -> bool {
        let was_unreadable = std::mem::replace(&mut self.unreadable, is_unreadable);
        is_unreadable && !was_unreadable
    }

    /// Returns whether anything was announced that outlasts the removal of its entry.
    fn is_worth_keeping(&self) -> bool {
        let is_limited = self.limiter.latest_announcement().is_some();
        is_limited || self.backoff_until.is_some() || self.is_leaving()
    }
}

/// Constraints of incarnations whose entries were removed. The store may lose entries and regain
/// them, while the upstreams are the same.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovedConstraints {
    by_instance: HashMap<Arc<str>, Constraints>,
    /// Incarnations in the order of their removal. May name some that were taken out since.
    order: VecDeque<Arc<str>>,
}

impl RemovedConstraints {
    /// Keeps the constraints of an incarnation that is removed, in place of the oldest if there
    /// are too many.
    pub(crate) fn keep(&mut self, instance: &Arc<str>, constraints: Constraints) {
        if !constraints.is_worth_keeping() {
            return;
        }
        self.by_instance.insert(Arc::clone(instance), constraints);
        self.order.push_back(Arc::clone(instance));
        if self.order.len() > MAX_REMOVED
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_instance.remove(&oldest);
        }
    }

    /// Takes out the constraints of an incarnation that is registered again; none if it was not
    /// known.
    pub(crate) fn take(&mut self, instance: &str) -> Constraints {
        self.by_instance.remove(instance).unwrap_or_default()
    }
}
