//! Upstreams and what is known of each: registration, load, and recent health.
//!
//! Health is learnt from the work itself: each event or answer marks the upstreams that produced it
//! as live at that moment, and a silent request points at those that nothing has confirmed since.
//! This costs no probes, and finds a dead engine within a few usual pauses between events.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::time::Instant;

use crate::dialect::LayerRange;
use crate::dialect::Stage;
use crate::dialect::UpstreamEntry;
use crate::holdings::Holding;
use crate::holdings::Holdings;

new_key_type! {
    /// Key of an upstream's incarnation; never reused.
    pub struct UpstreamKey;
}

/// First time that an upstream is passed over after a failure. Under the heartbeat interval of
/// discovery (about a second), so that an upstream that recovers is tried again by then.
const FIRST_DOUBT: Duration = Duration::from_millis(800);
/// Longest time that an upstream is passed over after failures in a row: three heartbeats, after
/// which discovery itself has removed one that is dead.
const LONGEST_DOUBT: Duration = Duration::from_secs(4);
/// Events of other streams may come so long after an upstream has died, since they were on their
/// way; they don't show that it lives.
const ON_ITS_WAY: Duration = Duration::from_millis(30);
/// An upstream that nothing has confirmed for so long is suspected by every silent stream on it: some
/// five usual pauses of one stream.
const LATELY: Duration = Duration::from_millis(130);
/// Time for which a request to an upstream that failed before keeps others away from it.
const TRIAL: Duration = Duration::from_millis(400);
/// Moments of failure after which an upstream is presumed lost: one or two may be a slow moment.
const LOST_MOMENTS: u32 = 4;
/// Failures closer together than this count as one moment: all streams on an engine fail together.
const MOMENT: Duration = Duration::from_millis(250);
/// And time without any work passing: two heartbeats of discovery.
const LOST_AFTER: Duration = Duration::from_millis(2_400);
/// First time that an upstream is passed over after it refused a request, doubled with each refusal in
/// a row up to [`LONGEST_DOUBT`]. It may only have been full, and room comes with the next streams
/// that end, some dozens a second.
const FIRST_REFUSAL: Duration = Duration::from_millis(250);
/// Refusals in a row, with nothing accepted in between, after which an engine with room takes no new
/// work at all, as when it leaves and the store can't say so: some two seconds of only refusals.
const CLOSED_REFUSALS: u32 = 4;
/// How long a word on an engine's slowness counts: engines are asked again about once a second
/// while they are slow.
const SLOWNESS_FOR: Duration = Duration::from_secs(3);
/// Slowness from which an engine's streams had better go by others: reading their tokens again takes
/// some 100 ms, as long as a few of its events.
pub const SLOW: f64 = 3.0;
/// Weight of an attempt in the moving share of failures: about the last ten count.
const FAILING_WEIGHT: f64 = 0.1;
/// Weight of a new answer time in its moving average.
const ANSWER_WEIGHT: f64 = 0.2;

/// Requests and memory that are promised.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests under way.
    pub running: f64,
    /// Token-layers of KV cache that they may come to take.
    pub reserved: f64,
}

/// An incarnation of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// As registered.
    pub entry: UpstreamEntry,
    /// Layers that can be used: as registered, or by a later word of the engine itself.
    pub layers: Option<LayerRange>,
    /// Load by this daemon.
    pub own: Load,
    /// Load by all other daemons, as they last told.
    pub others: Load,
    /// When work of any request was last seen to pass.
    pub last_good: Option<Instant>,
    /// Passed over until then where others can do its work.
    pub doubted_until: Option<Instant>,
    /// Passed over until then since it refused requests. Work that passes it meanwhile was accepted
    /// before, so only a new acceptance ends this.
    refused_until: Option<Instant>,
    /// Refusals in a row, as far as each made it passed over for longer.
    refusals: u32,
    /// Failures in a row, as far as each made it passed over for longer.
    failures: u32,
    /// Moments at which it failed since work last passed it, [`MOMENT`] apart at least.
    moments: u32,
    /// The last of them.
    last_moment: Option<Instant>,
    /// How many times longer its work takes than usual, and when it said so.
    slowness: Option<(f64, Instant)>,
    /// Streams of this daemon that are silent now and have it on their path, unconfirmed.
    silent: i32,
    /// Moving average of its answer times, in milliseconds.
    pub answer_ms: Option<f64>,
    /// Moving share of attempts that it failed though it lives, 0 to 1.
    pub failing: f64,
}

impl Upstream {
    /// Whether new work may go there by registration.
    pub fn is_open(&self) -> bool {
        self.entry.stage == Stage::Ready
    }

    /// Whether it failed so recently that others are preferred.
    pub fn is_doubted(&self, now: Instant) -> bool {
        let is_before = |until: Option<Instant>| until.is_some_and(|u| now < u);
        is_before(self.doubted_until) || is_before(self.refused_until)
    }

    /// Whether it refused more than one request since it accepted any.
    pub fn is_refusing(&self) -> bool {
        self.refusals > 1
    }

    /// Whether it takes no new work, though it has room.
    pub fn is_closed(&self) -> bool {
        self.refusals >= CLOSED_REFUSALS
    }

    /// Whether it failed again and again with nothing passing in between: dead, or leaving without
    /// its entry saying so, as while the store is down.
    pub fn is_presumed_lost(&self, now: Instant) -> bool {
        let idle = self
            .last_good
            .is_none_or(|at| now.duration_since(at) > LOST_AFTER);
        self.moments >= LOST_MOMENTS && idle
    }

    /// How many times longer its work takes than usual, by its own word of late; 1 as a rule.
    pub fn slowness(&self, now: Instant) -> f64 {
        match self.slowness {
            Some((times, at)) if now.duration_since(at) < SLOWNESS_FOR => times.max(1.0),
            _ => 1.0,
        }
    }

    /// When it last said how slow it is.
    pub fn slowness_told(&self) -> Option<(f64, Instant)> {
        self.slowness
    }

    /// Load by all daemons.
    pub fn load(&self) -> Load {
        Load {
            running: self.own.running + self.others.running,
            reserved: self.own.reserved + self.others.reserved,
        }
    }
}

/// What changed by a new registration list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// Incarnations that came.
    pub added: Vec<Arc<str>>,
    /// Incarnations that went.
    pub removed: Vec<Arc<str>>,
    /// Incarnations that began to leave.
    pub leaving: Vec<Arc<str>>,
    /// Incarnations that hold other layers than before.
    pub layers: Vec<(Arc<str>, Option<LayerRange>)>,
}

impl Changes {
    /// Whether anything changed.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.removed.is_empty()
            && self.leaving.is_empty()
            && self.layers.is_empty()
    }
}

/// All upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_instance: HashMap<Arc<str>, UpstreamKey>,
    by_service: HashMap<Arc<str>, Vec<UpstreamKey>>,
    holdings: Holdings,
    /// Revision of the store that the registrations are of; never falls.
    revision: u64,
}

impl Fleet {
    /// Revision of the store that the registrations are of.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes the whole list of registrations as of a revision; an older one changes nothing.
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, revision: u64) -> Changes {
        let mut changes = Changes::default();
        if revision < self.revision {
            return changes;
        }
        self.revision = revision;
        let known: HashMap<Arc<str>, ()> = entries
            .iter()
            .map(|e| (Arc::clone(&e.instance), ()))
            .collect();
        let gone = self.by_instance.keys().filter(|i| !known.contains_key(*i));
        for instance in gone.cloned().collect::<Vec<_>>() {
            self.remove(&instance);
            changes.removed.push(instance);
        }
        for entry in entries {
            self.upsert(entry, &mut changes);
        }
        changes
    }

    fn upsert(&mut self, entry: UpstreamEntry, changes: &mut Changes) {
        self.holdings.registered(&entry.instance, entry.layers);
        let layers = self.holdings.usable(&entry);
        if let Some(&key) = self.by_instance.get(&entry.instance) {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                if upstream.is_open() && entry.stage == Stage::Leaving {
                    changes.leaving.push(Arc::clone(&entry.instance));
                }
                if upstream.entry.layers != entry.layers {
                    changes
                        .layers
                        .push((Arc::clone(&entry.instance), entry.layers));
                }
                upstream.layers = layers;
                upstream.entry = entry;
            }
            return;
        }
        let instance = Arc::clone(&entry.instance);
        let service = Arc::clone(&entry.service);
        let key = self.upstreams.insert(Upstream {
            entry,
            layers,
            own: Load::default(),
            others: Load::default(),
            last_good: None,
            doubted_until: None,
            refused_until: None,
            refusals: 0,
            failures: 0,
            moments: 0,
            last_moment: None,
            slowness: None,
            silent: 0,
            answer_ms: None,
            failing: 0.0,
        });
        self.by_instance.insert(Arc::clone(&instance), key);
        self.by_service.entry(service).or_default().push(key);
        changes.added.push(instance);
    }

    fn remove(&mut self, instance: &str) {
        self.holdings.forget(instance);
        let Some(key) = self.by_instance.remove(instance) else {
            return;
        };
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        if let Some(keys) = self.by_service.get_mut(&upstream.entry.service) {
            keys.retain(|&k| k != key);
        }
    }

    /// Takes an engine's own word on its layers, true `age` ago; whether it is news.
    pub fn tell_holding(
        &mut self,
        instance: &Arc<str>,
        holding: Holding,
        age: Duration,
        now: Instant,
    ) -> bool {
        let Some(&key) = self.by_instance.get(instance) else {
            return false;
        };
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        if !self.holdings.tell(instance, holding, age, now) {
            return false;
        }
        self.holdings.registered(instance, upstream.entry.layers);
        upstream.layers = self.holdings.usable(&upstream.entry);
        true
    }

    /// Goes back to the registrations of engines whose own word was not confirmed in time.
    pub fn expire_holdings(&mut self, registrations_come: bool, now: Instant) -> Vec<Arc<str>> {
        let over = self.holdings.expire(registrations_come, now);
        for instance in &over {
            let key = self.by_instance.get(instance).copied();
            if let Some(upstream) = key.and_then(|k| self.upstreams.get_mut(k)) {
                upstream.layers = upstream.entry.layers;
            }
        }
        over
    }

    /// What engines said of their layers beyond their registrations.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// An upstream; `None` once its incarnation is gone.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// An upstream, to change.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// The upstream of an incarnation.
    pub fn key_of(&self, instance: &str) -> Option<UpstreamKey> {
        self.by_instance.get(instance).copied()
    }

    /// Upstreams of a service, in the order in which they came.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|&k| Some((k, self.upstreams.get(k)?)))
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// All registrations.
    pub fn entries(&self) -> Vec<UpstreamEntry> {
        self.upstreams.values().map(|u| u.entry.clone()).collect()
    }

    /// Forgets what other daemons told of their load.
    pub fn clear_others(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.others = Load::default();
        }
    }

    /// Adds to the load of an upstream by this daemon.
    pub fn take(&mut self, key: UpstreamKey, reserved: f64) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.own.running += 1.0;
            u.own.reserved += reserved;
        }
    }

    /// Undoes [`Fleet::take`].
    pub fn release(&mut self, key: UpstreamKey, reserved: f64) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.own.running = (u.own.running - 1.0).max(0.0);
            u.own.reserved = (u.own.reserved - reserved).max(0.0);
        }
    }

    /// Notes that work passed an upstream.
    pub fn good(&mut self, key: UpstreamKey, now: Instant) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.last_good = Some(now);
            u.doubted_until = None;
            u.failures = 0;
            u.moments = 0;
        }
    }

    /// Notes the time that an answer took.
    pub fn answered(&mut self, key: UpstreamKey, took: Duration) {
        if let Some(u) = self.upstreams.get_mut(key) {
            let ms = took.as_secs_f64() * 1e3;
            let old = u.answer_ms.unwrap_or(ms);
            u.answer_ms = Some(old + ANSWER_WEIGHT * (ms - old));
        }
    }

    /// Notes whether an upstream that lives failed an attempt.
    pub fn outcome(&mut self, key: UpstreamKey, failed: bool) {
        if let Some(u) = self.upstreams.get_mut(key) {
            let now = if failed { 1.0 } else { 0.0 };
            u.failing += FAILING_WEIGHT * (now - u.failing);
        }
    }

    /// Notes a failure: the upstream is passed over for a while, longer with each one in a row.
    pub fn doubt(&mut self, key: UpstreamKey, now: Instant) {
        let Some(u) = self.upstreams.get_mut(key) else {
            return;
        };
        if u.last_moment
            .is_none_or(|at| now.duration_since(at) >= MOMENT)
        {
            u.moments += 1;
            u.last_moment = Some(now);
        }
        if u.is_doubted(now) {
            return;
        }
        let doublings = u.failures.min(4);
        u.failures += 1;
        let span = (FIRST_DOUBT * 2u32.pow(doublings)).min(LONGEST_DOUBT);
        u.doubted_until = Some(now + span);
    }

    /// Notes that an upstream refused a request: it is passed over for a while, longer with each
    /// refusal in a row.
    pub fn refused(&mut self, key: UpstreamKey, now: Instant) {
        let Some(u) = self.upstreams.get_mut(key) else {
            return;
        };
        if u.refused_until.is_some_and(|until| now < until) {
            return;
        }
        let span = FIRST_REFUSAL * 2u32.pow(u.refusals.min(4));
        u.refusals += 1;
        u.refused_until = Some(now + span.min(LONGEST_DOUBT));
    }

    /// Takes an engine's word on its slowness at a moment; whether it is news.
    pub fn tell_slowness(&mut self, key: UpstreamKey, times: f64, at: Instant) -> bool {
        let Some(u) = self.upstreams.get_mut(key) else {
            return false;
        };
        if u.slowness.is_some_and(|(_, known)| known >= at) {
            return false;
        }
        u.slowness = Some((times, at));
        true
    }

    /// Notes that an upstream accepted a request.
    pub fn accepted(&mut self, key: UpstreamKey) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.refusals = 0;
            u.refused_until = None;
        }
    }

    /// Takes another daemon's doubt of an upstream over, unless work has passed it since.
    pub fn doubt_told(&mut self, key: UpstreamKey, since: Instant, until: Instant) {
        let Some(u) = self.upstreams.get_mut(key) else {
            return;
        };
        let confirmed = u.last_good.is_some_and(|at| at > since);
        if !confirmed && u.doubted_until.is_none_or(|d| d < until) {
            u.doubted_until = Some(until);
        }
    }

    /// Counts a silent stream against an upstream, or takes that back.
    pub fn note_silent(&mut self, key: UpstreamKey, change: i32) {
        if let Some(u) = self.upstreams.get_mut(key) {
            u.silent += change;
        }
    }

    /// Those of some upstreams that the most silent streams have in common: the one that stopped is
    /// on all of their paths, the others only on some.
    pub fn most_silent(&self, keys: &[UpstreamKey]) -> Vec<UpstreamKey> {
        let silent = |key: &UpstreamKey| self.upstreams.get(*key).map_or(0, |u| u.silent);
        let most = keys.iter().map(silent).max().unwrap_or(0);
        keys.iter().copied().filter(|k| silent(k) == most).collect()
    }

    /// Notes that a request goes to an upstream. One that failed and is due again gets this request
    /// only, until the request tells how it is.
    pub fn tried(&mut self, key: UpstreamKey, now: Instant) {
        let Some(u) = self.upstreams.get_mut(key) else {
            return;
        };
        if u.failures > 0 && !u.is_doubted(now) {
            u.doubted_until = Some(now + TRIAL);
        }
    }

    /// Upstreams of a path that nothing has confirmed since a stream on it fell silent, or lately if
    /// that was long ago.
    pub fn unconfirmed(
        &self,
        path: &[(UpstreamKey, LayerRange)],
        silent_since: Instant,
        now: Instant,
    ) -> Vec<UpstreamKey> {
        let lately = now.checked_sub(LATELY).unwrap_or(silent_since);
        let since = (silent_since + ON_ITS_WAY).max(lately);
        let unconfirmed = |key: &UpstreamKey| {
            let upstream = self.upstreams.get(*key);
            upstream.is_none_or(|u| u.last_good.is_none_or(|at| at <= since))
        };
        path.iter().map(|&(k, _)| k).filter(unconfirmed).collect()
    }
}
