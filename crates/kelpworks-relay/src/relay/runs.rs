//! The account of the upstreams at which one request may run, for calls and streams.
//!
//! A route bounds at how many upstreams a request runs in one attempt of its caller. Whatever passes the request on takes
//! places in this account first: an attempt one place, a hand-over as many as the receiver may use. A place is free again
//! only on proof that nothing ran. An attempt that is abandoned, or whose future is dropped, keeps it.
//!
//! ```text
//! caller, route allows 3      left
//! attempt at e-1              2     no answer in time: kept
//! hand-over, allotted 1       1     refused, ran at none: free again
//! hand-over, allotted 1       1     lost: kept
//! attempt at e-2              0     awaited to the end, as none is left for another
//! ```
//!
//! Another attempt at an upstream that has a place already takes none.
//!
//! Limits: a receiver of an older build that states no number of runs in its refusal counts as having used all that it was
//! allotted. One that does not read its allotment is bounded for calls alone. Further attempts at the same upstream are not
//! bounded here, but by the number of attempts and the retry budget.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use super::InboundRequest;
use super::handover::HandoverError;
use super::handover::HandoverHead;
use crate::config::Route;
use crate::shared::Shared;
use crate::shared::crashes::Incarnation;

/// Failure reason when the request may have run at as many upstreams as its route allows.
pub(super) const RUNS_USED_UP: &str = "ran at as many engines as allowed";

/// Places of one request.
#[derive(Debug)]
pub(super) struct Runs {
    /// Number of places, with those that were taken before this daemon got the request.
    max: u32,
    /// Upstreams that have a place.
    ran_at: Vec<RanAt>,
    /// Places of upstreams that this daemon does not know by name.
    elsewhere: u32,
    /// Places that were taken before this daemon got the request.
    earlier: u32,
    /// Whether the request may have reached an upstream before this daemon got it.
    reached_before: bool,
    /// Whether an attempt or a hand-over of this daemon may have reached an upstream.
    has_reached: bool,
}

/// An upstream where the request may have run.
#[derive(Clone, Debug)]
pub(super) struct RanAt {
    pub(super) upstream: Incarnation,
    /// Whether it had a place before this daemon got the request.
    is_earlier: bool,
    /// Whether the upstream ended its connection with the last attempt.
    is_broken_off: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Nothing was written.
    Unsent,
    /// The upstream proved that it has not run the request.
    NotRun,
    /// The upstream ended the connection.
    BrokenOff,
    /// It may have run, or still runs.
    MayHaveRun,
}

/// Place of an attempt. The place stays taken unless [`Runs::end`] gets a proof that nothing ran.
#[derive(Debug)]
pub(super) struct Place {
    /// Incarnation that the attempt is sent to.
    instance: Arc<str>,
    /// Whether the upstream had no place before.
    is_new: bool,
    had_reached: bool,
}

/// Places that the receiver of a hand-over may use. They stay taken unless [`Runs::end_handover`] gets a proof that they
/// are unused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allotment {
    pub(super) places: u32,
    had_reached: bool,
}

impl Runs {
    /// Opens the account of a request that was read or handed over.
    pub(super) fn new(shared: &Shared, inbound: &InboundRequest) -> Runs {
        let named = inbound.handover.iter().flat_map(|head| &head.ran_at);
        let known = named.filter_map(|instance| {
            let key = shared.fleet().key_of(instance)?;
            shared.incarnation(key)
        });
        Runs::open(
            max_upstreams(&inbound.route),
            inbound.handover.as_ref(),
            known.collect(),
        )
    }

    /// Opens an account with `max` places. `known` are those of the upstreams named in `head` that this daemon knows.
    fn open(max: u32, head: Option<&HandoverHead>, known: Vec<Incarnation>) -> Runs {
        let earlier_at = |upstream| RanAt {
            is_earlier: true,
            ..RanAt::new(upstream)
        };
        let ran_at: Vec<RanAt> = known.into_iter().map(earlier_at).collect();
        let (earlier, allotted, reached_before) = match head {
            None => (0, u32::MAX, false),
            Some(head) => (
                head.runs.max(head.ran_at.len() as u32),
                head.max_runs.unwrap_or(u32::MAX),
                head.may_have_reached,
            ),
        };
        Runs {
            max: max.min(earlier.saturating_add(allotted)),
            elsewhere: earlier - ran_at.len() as u32,
            ran_at,
            earlier,
            reached_before,
            has_reached: false,
        }
    }

    /// Returns the number of places.
    pub(super) fn max(&self) -> u32 {
        self.max
    }

    /// Returns the number of places that are taken.
    pub(super) fn taken(&self) -> u32 {
        self.ran_at.len() as u32 + self.elsewhere
    }

    /// Returns the number of places that were taken before this daemon got the request.
    pub(super) fn earlier(&self) -> u32 {
        self.earlier
    }

    /// Returns the number of places that this daemon, and those that it handed the request over to, have taken.
    pub(super) fn own(&self) -> u32 {
        self.taken().saturating_sub(self.earlier)
    }

    /// Returns the number of further upstreams where the request may run.
    pub(super) fn left(&self) -> u32 {
        self.max.saturating_sub(self.taken())
    }

    /// Returns the upstreams that have a place.
    pub(super) fn ran_at(&self) -> &[RanAt] {
        &self.ran_at
    }

    /// Whether the request may have reached an upstream, so that any further attempt is a retry.
    pub(super) fn may_have_reached(&self) -> bool {
        self.reached_before || self.has_reached
    }

    /// Whether it may have reached an upstream by this daemon.
    pub(super) fn has_reached(&self) -> bool {
        self.has_reached
    }

    /// Takes the place of an attempt that is about to be sent; `None` if there is none left.
    pub(super) fn take(&mut self, upstream: &Incarnation) -> Option<Place> {
        let is_left = self.left() > 0;
        let known = self.find(&upstream.instance);
        let is_new = known.is_none();
        match known {
            Some(known) => {
                // Its entry may have come back under another key.
                known.upstream = upstream.clone();
                known.is_broken_off = false;
            }
            None if is_left => self.ran_at.push(RanAt::new(upstream.clone())),
            None => return None,
        }
        let had_reached = std::mem::replace(&mut self.has_reached, true);
        Some(Place {
            instance: Arc::clone(&upstream.instance),
            is_new,
            had_reached,
        })
    }

    /// Records how an attempt ended.
    pub(super) fn end(&mut self, place: Place, end: End) {
        if end == End::Unsent {
            self.has_reached = place.had_reached;
        }
        match end {
            End::Unsent | End::NotRun if place.is_new => {
                self.ran_at
                    .retain(|r| r.upstream.instance != place.instance);
            }
            End::BrokenOff => self.record_broken_off(&place.instance),
            End::Unsent | End::NotRun | End::MayHaveRun => {}
        }
    }

    /// Records that an upstream ended its connection with an attempt that it had begun to answer.
    pub(super) fn record_broken_off(&mut self, instance: &str) {
        if let Some(ran_at) = self.find(instance) {
            ran_at.is_broken_off = true;
        }
    }

    fn find(&mut self, instance: &str) -> Option<&mut RanAt> {
        let mut ran_at = self.ran_at.iter_mut();
        ran_at.find(|r| *r.upstream.instance == *instance)
    }

    /// Takes places for a hand-over. If the receiver is lost all of them count as used, so one is kept back where there
    /// are several.
    pub(super) fn allot(&mut self) -> Allotment {
        let places = match self.left() {
            left @ (0 | 1) => left,
            left => left - 1,
        };
        self.elsewhere += places;
        let had_reached = std::mem::replace(&mut self.has_reached, true);
        Allotment {
            places,
            had_reached,
        }
    }

    /// Returns the number of places that a receiver counts as taken: the others, free ones included. So a receiver that
    /// reads this number alone uses no more than it is allotted.
    pub(super) fn not_left_to(&self, allotment: Allotment) -> u32 {
        self.max.saturating_sub(allotment.places)
    }

    /// Records that a hand-over failed.
    pub(super) fn end_handover(&mut self, allotment: Allotment, error: HandoverError) {
        if error.is_unsent() {
            self.has_reached = allotment.had_reached;
        }
        let used = error.runs().unwrap_or(allotment.places);
        self.elsewhere = self.elsewhere - allotment.places + used;
    }

    /// Frees the places of upstreams that are known to have ended. A place that was taken before this daemon got the
    /// request is left to the sender, which may free it as well.
    pub(super) fn free(&mut self, has_ended: impl Fn(&RanAt) -> bool) {
        self.ran_at.retain(|r| r.is_earlier || !has_ended(r));
    }
}

impl Drop for Runs {
    fn drop(&mut self) {
        metrics::histogram!("kelpworks_request_upstreams").record(self.taken());
        if self.taken() > self.max {
            metrics::counter!("kelpworks_requests_over_max_upstreams_total").increment(1);
        }
    }
}

impl RanAt {
    fn new(upstream: Incarnation) -> RanAt {
        RanAt {
            upstream,
            is_earlier: false,
            is_broken_off: false,
        }
    }

    /// Whether the upstream ended its connection with the last attempt.
    pub(super) fn is_broken_off(&self) -> bool {
        self.is_broken_off
    }

    /// Returns the incarnation's id.
    pub(super) fn instance(&self) -> Arc<str> {
        Arc::clone(&self.upstream.instance)
    }
}

/// Returns the number of upstreams where a route's requests may run.
fn max_upstreams(route: &Route) -> u32 {
    match route.kind.is_retryable() {
        true => route.max_attempts.max(1),
        false => 1,
    }
}
