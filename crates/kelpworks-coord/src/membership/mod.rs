//! Group membership: which daemons are live, by the platform's host list and by probes.
//!
//! The protocol is SWIM: each daemon probes one member at a time, first directly and then through a
//! few others, and piggybacks gossip about members on its messages. Each daemon's probe load is
//! independent of the size of the fleet.
//!
//! - An unresponsive member is suspected first. It counts as dead once other daemons suspect it as
//!   well, or after a long timeout, so that one bad link of one daemon declares no member dead.
//! - A probe carries the target's health as the prober records it. A target that is reported
//!   suspect or dead raises its incarnation, and its answer overrides the report.
//! - Dead members are still probed, at a longer interval, as long as the host list shows them. So a
//!   daemon that is live and reachable does not stay dead forever.
//!
//! ```
//! use kelpworks_coord::id::*;
//! use kelpworks_coord::membership::*;
//! use kelpworks_coord::time::*;
//!
//! let (a, b) = (NodeId::of("a"), NodeId::of("b"));
//! let mut members = Membership::new(Config::default(), a, DomainId(1), Incarnation(1));
//! let now = Instant::ZERO;
//! members.on_event(
//!     now,
//!     Event::HostList(vec![Entry { node: b, domain: DomainId(1), leaving: false }]),
//! );
//! let actions = members.on_event(now, Event::Tick);
//! assert!(matches!(actions[..], [Action::Probe { target, .. }] if target == b));
//! members.on_event(now, Event::Contact { from: b, incarnation: Incarnation(5) });
//! assert_eq!(members.health(b), Some(Health::Alive));
//! ```
//!
//! Limits: a daemon must start with an incarnation above that of its earlier runs, for example its
//! start time. In a network partition each side counts the other as dead, and both continue.

mod messages;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::DomainId;
use crate::id::Incarnation;
use crate::id::NodeId;
use crate::time::Instant;

pub use messages::Action;
pub use messages::Config;
pub use messages::Entry;
pub use messages::Event;
pub use messages::Health;
pub use messages::Update;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    domain: DomainId,
    /// Never decreases while the member is known.
    incarnation: Incarnation,
    health: Health,
    /// When it got its present health.
    since: Instant,
    /// Daemons that suspect it in this incarnation; empty unless it is a suspect.
    suspected_by: BTreeSet<NodeId>,
    listed: bool,
    leaving: bool,
    last_probe: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Probe {
    target: NodeId,
    sent: Instant,
    indirect: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Queued {
    update: Update,
    /// Number of messages that it is still piggybacked on; at least 1.
    sends_left: u32,
}

/// One daemon's view of the other members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    cfg: Config,
    me: NodeId,
    domain: DomainId,
    /// Above every incarnation in which a daemon reported this one suspect or dead.
    incarnation: Incarnation,
    has_left: bool,
    /// The other members; never contains this daemon.
    members: BTreeMap<NodeId, Member>,
    /// The outstanding probe; at most one at a time, so that the load is constant.
    probe: Option<Probe>,
    next_probe: Instant,
    /// Updates to gossip: at most one per member, except for suspicions by different daemons.
    queue: VecDeque<Queued>,
}

impl Membership {
    /// Creates the view of a daemon that knows no other member yet.
    pub fn new(cfg: Config, me: NodeId, domain: DomainId, incarnation: Incarnation) -> Membership {
        Membership {
            cfg,
            me,
            domain,
            incarnation,
            has_left: false,
            members: BTreeMap::new(),
            probe: None,
            next_probe: Instant::ZERO,
            queue: VecDeque::new(),
        }
    }

    /// Handles an input and returns what the driver has to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.on_tick(now),
            Event::HostList(entries) => self.on_host_list(now, &entries),
            Event::Contact { from, incarnation } => self.on_contact(now, from, incarnation),
            Event::Probed {
                from,
                incarnation,
                view,
            } => {
                let mut actions = self.on_contact(now, from, incarnation);
                actions.extend(self.on_update(now, view));
                let view = self.view(from);
                let incarnation = self.incarnation;
                actions.push(Action::Ack {
                    to: from,
                    incarnation,
                    view,
                });
                actions
            }
            Event::Updates(updates) => updates
                .into_iter()
                .flat_map(|u| self.on_update(now, u))
                .collect(),
            Event::Leave => {
                self.has_left = true;
                self.enqueue(self.own_update());
                Vec::new()
            }
        }
    }

    /// Returns the recorded health of a member; `None` for unknown members and for this daemon.
    pub fn health(&self, node: NodeId) -> Option<Health> {
        self.members.get(&node).map(|m| m.health)
    }

    /// Returns this daemon's incarnation, which goes with every message it sends.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the members that count as live, including suspects and without this daemon, with
    /// their failure domains.
    pub fn live(&self) -> impl Iterator<Item = (NodeId, DomainId)> + '_ {
        self.members
            .iter()
            .filter(|(_, m)| m.health <= Health::Suspect)
            .map(|(&node, m)| (node, m.domain))
    }

    /// Returns whether the host list shows the member as leaving.
    pub fn is_leaving(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|m| m.leaving)
    }

    /// Takes up to `max` updates to piggyback on the next message. New updates come first; updates
    /// that have been sent go to the end of the queue.
    pub fn take_updates(&mut self, max: usize) -> Vec<Update> {
        let n = self.queue.len().min(max);
        let mut taken: Vec<Queued> = self.queue.drain(..n).collect();
        let updates = taken.iter().map(|q| q.update).collect();
        for queued in &mut taken {
            queued.sends_left -= 1;
        }
        self.queue
            .extend(taken.into_iter().filter(|q| q.sends_left > 0));
        updates
    }

    /// Returns the health of all members, including this daemon, for a peer that has just joined.
    pub fn snapshot(&self) -> Vec<Update> {
        let others = self.members.keys().filter_map(|&node| self.view(node));
        others.chain([self.own_update()]).collect()
    }

    fn own_update(&self) -> Update {
        let health = if self.has_left {
            Health::Left
        } else {
            Health::Alive
        };
        Update {
            node: self.me,
            domain: self.domain,
            incarnation: self.incarnation,
            health,
            by: self.me,
        }
    }

    fn view(&self, node: NodeId) -> Option<Update> {
        let m = self.members.get(&node)?;
        let (domain, incarnation, health) = (m.domain, m.incarnation, m.health);
        Some(Update {
            node,
            domain,
            incarnation,
            health,
            by: self.me,
        })
    }

    fn on_host_list(&mut self, now: Instant, entries: &[Entry]) -> Vec<Action> {
        for m in self.members.values_mut() {
            m.listed = false;
        }
        for entry in entries.iter().filter(|e| e.node != self.me) {
            let m = self
                .members
                .entry(entry.node)
                .or_insert_with(|| Member::new(now, entry.domain));
            m.listed = true;
            m.domain = entry.domain;
            m.leaving = entry.leaving;
        }
        Vec::new()
    }

    fn on_contact(&mut self, now: Instant, from: NodeId, incarnation: Incarnation) -> Vec<Action> {
        if self.probe.is_some_and(|p| p.target == from) {
            self.probe = None;
        }
        let domain = self.members.get(&from).map_or(DomainId(0), |m| m.domain);
        let health = Health::Alive;
        self.on_update(
            now,
            Update {
                node: from,
                domain,
                incarnation,
                health,
                by: from,
            },
        )
    }

    fn on_update(&mut self, now: Instant, update: Update) -> Vec<Action> {
        if update.node == self.me {
            self.refute(update);
            return Vec::new();
        }
        let is_known = self.members.contains_key(&update.node);
        if !is_known && update.health != Health::Alive {
            return Vec::new();
        }
        let m = self
            .members
            .entry(update.node)
            .or_insert_with(|| Member::new(now, update.domain));
        let (old, new) = (
            (m.incarnation, m.health),
            (update.incarnation, update.health),
        );
        if new == old && update.health == Health::Suspect {
            if m.suspected_by.insert(update.by) {
                self.enqueue(update);
            }
            return Vec::new();
        }
        if new <= old {
            return Vec::new();
        }
        m.incarnation = update.incarnation;
        m.suspected_by.clear();
        if update.health == Health::Suspect {
            m.suspected_by.insert(update.by);
            // Probe the member soon: this daemon may confirm the suspicion, or the probe lets the
            // member refute it.
            m.last_probe = None;
        }
        let changed = m.health != update.health || !is_known;
        if changed {
            m.health = update.health;
            m.since = now;
        }
        self.enqueue(update);
        let health = update.health;
        changed
            .then_some(Action::HealthChanged {
                node: update.node,
                health,
            })
            .into_iter()
            .collect()
    }

    fn refute(&mut self, update: Update) {
        let reported_failed =
            update.health != Health::Alive && update.incarnation >= self.incarnation;
        let newer = update.incarnation > self.incarnation;
        if (reported_failed || newer) && !self.has_left {
            self.incarnation = Incarnation(update.incarnation.0 + 1);
            self.enqueue(self.own_update());
        }
    }

    fn enqueue(&mut self, update: Update) {
        let replaced = |old: &Update| {
            // Suspicions of different daemons add up, so they do not replace each other.
            let both_suspect = old.health == Health::Suspect && update.health == Health::Suspect;
            old.node == update.node && (!both_suspect || old.by == update.by)
        };
        self.queue.retain(|q| !replaced(&q.update));
        let sends_left = 3 * (self.members.len() as u32 + 2).ilog2();
        self.queue.push_front(Queued { update, sends_left });
    }

    fn on_tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.declare_dead(now);
        self.purge(now);
        actions.extend(self.advance_probe(now));
        if self.probe.is_none() && now >= self.next_probe && !self.has_left {
            actions.extend(self.start_probe(now));
        }
        actions
    }

    fn declare_dead(&mut self, now: Instant) -> Vec<Action> {
        let alive = self
            .members
            .values()
            .filter(|m| m.health == Health::Alive)
            .count()
            + 1;
        // One daemon's suspicion never suffices; `max_suspicion` covers the case that no other
        // daemon can confirm it.
        let required = self.cfg.confirmations.min(alive).max(2);
        let due: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, m)| m.is_presumed_dead(&self.cfg, now, required))
            .map(|(&node, _)| node)
            .collect();
        let mut actions = Vec::new();
        for node in due {
            if let Some(view) = self.view(node) {
                actions.extend(self.on_update(
                    now,
                    Update {
                        health: Health::Dead,
                        ..view
                    },
                ));
            }
        }
        actions
    }

    fn purge(&mut self, now: Instant) {
        let keep = self.cfg.retention;
        self.members.retain(|_, m| {
            let is_gone = m.health == Health::Left || (m.health == Health::Dead && !m.listed);
            !is_gone || now.since(m.since) < keep
        });
    }

    fn advance_probe(&mut self, now: Instant) -> Vec<Action> {
        let Some(probe) = self
            .probe
            .filter(|p| now.since(p.sent) >= self.cfg.probe_timeout)
        else {
            return Vec::new();
        };
        let Some(view) = self.view(probe.target) else {
            self.probe = None;
            return Vec::new();
        };
        let indirect_probers = self.indirect_probers(probe.target);
        if !probe.indirect && !indirect_probers.is_empty() {
            self.probe = Some(Probe {
                sent: now,
                indirect: true,
                ..probe
            });
            let probe_via = |via| Action::IndirectProbe {
                via,
                target: probe.target,
                view,
            };
            return indirect_probers.into_iter().map(probe_via).collect();
        }
        self.probe = None;
        match view.health {
            Health::Alive | Health::Suspect => self.on_update(
                now,
                Update {
                    health: Health::Suspect,
                    ..view
                },
            ),
            Health::Dead | Health::Left => Vec::new(),
        }
    }

    fn indirect_probers(&self, target: NodeId) -> Vec<NodeId> {
        let mut live: Vec<NodeId> = self
            .members
            .iter()
            .filter(|&(&node, m)| node != target && m.health == Health::Alive)
            .map(|(&node, _)| node)
            .collect();
        live.sort_by_key(|node| xxh3_64_with_seed(&node.0.to_le_bytes(), target.0 ^ self.me.0));
        live.truncate(self.cfg.indirect_probes);
        live
    }

    fn start_probe(&mut self, now: Instant) -> Vec<Action> {
        self.next_probe = now + self.cfg.probe_interval;
        let cfg = self.cfg;
        // Least recently probed first; members that were never probed precede all others. Ties are
        // broken by a hash that differs between probers, so that daemons that start together do not
        // all probe the same member.
        let me = self.me;
        let target = self
            .members
            .iter()
            .filter(|(_, m)| m.is_due_for_probe(&cfg, now))
            .min_by_key(|&(node, m)| (m.last_probe, xxh3_64_with_seed(&node.0.to_le_bytes(), me.0)))
            .map(|(&node, _)| node);
        let Some((target, view)) = target.and_then(|t| Some((t, self.view(t)?))) else {
            return Vec::new();
        };
        if let Some(m) = self.members.get_mut(&target) {
            m.last_probe = Some(now);
        }
        self.probe = Some(Probe {
            target,
            sent: now,
            indirect: false,
        });
        vec![Action::Probe { target, view }]
    }
}

impl Member {
    fn new(now: Instant, domain: DomainId) -> Member {
        Member {
            domain,
            incarnation: Incarnation(0),
            health: Health::Alive,
            since: now,
            suspected_by: BTreeSet::new(),
            listed: false,
            leaving: false,
            last_probe: None,
        }
    }

    fn is_presumed_dead(&self, cfg: &Config, now: Instant, required: usize) -> bool {
        let waited = now.since(self.since);
        let confirmed = self.suspected_by.len() >= required && waited >= cfg.min_suspicion;
        self.health == Health::Suspect && (confirmed || waited >= cfg.max_suspicion)
    }

    fn is_due_for_probe(&self, cfg: &Config, now: Instant) -> bool {
        match self.health {
            Health::Alive | Health::Suspect => true,
            Health::Dead => self
                .last_probe
                .is_none_or(|at| now.since(at) >= cfg.dead_probe_interval),
            Health::Left => false,
        }
    }
}
