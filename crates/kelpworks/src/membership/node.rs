//! State of one daemon among its peers, without I/O. Membership, facts and the configuration
//! generation travel on the same heartbeats.

mod digests;
mod push;

use super::byte_budget::ByteBudget;
use super::convert;
use super::interface::Action;
use super::interface::Answer;
use super::interface::Config;
use super::member_table::MemberRecord;
use super::member_table::MemberTable;
use crate::status::Member;
use crate::status::MemberState;
use digests::StableDigest;
use kelpworks_coord::dissemination;
use kelpworks_coord::dissemination::Dissemination;
use kelpworks_coord::facts;
use kelpworks_coord::facts::Fact;
use kelpworks_coord::facts::Facts;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::head::Generation;
use kelpworks_coord::id::DomainId;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership;
use kelpworks_coord::membership::Health;
use kelpworks_coord::membership::Membership;
use kelpworks_coord::membership::Update;
use kelpworks_coord::rendezvous;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;
use kelpworks_wire::MemberContact;
use kelpworks_wire::MemberSample;
use kelpworks_wire::PeerMessage;
use kelpworks_wire::PeerState;

/// Rendezvous hashing key of the role that watches the configuration head.
const WATCHER_ROLE: &str = "kelpworks.head";
/// Maximum JSON size of one item of each kind of gossip, for the byte budget.
const MAX_UPDATE_BYTES: usize = 170;
const MAX_CONTACT_BYTES: usize = 160;
const MAX_SAMPLE_BYTES: usize = 125;
/// Number of peers from which a joining daemon requests the full state, and which a leaving daemon
/// notifies.
const JOIN_FANOUT: usize = 3;

/// One daemon's knowledge of the others, and its part of the gossip protocol.
#[derive(Clone, Debug)]
pub struct Node {
    cfg: Config,
    id: NodeId,
    contact: MemberContact,
    members: Membership,
    facts: Facts,
    dissemination: Dissemination,
    member_table: MemberTable,
    /// Generation of the active configuration; 0 before the first.
    generation: u64,
    byte_budget: ByteBudget,
    own_members_digest: StableDigest,
    own_facts_digest: StableDigest,
    digests_due: Instant,
    last_sync: Option<Instant>,
    /// Whether a full state has been received from any peer since the start.
    has_synced: bool,
    /// Whether facts of other daemons changed since the last [`Action::FactsChanged`].
    facts_changed: bool,
}

impl Node {
    /// Creates a daemon that knows no other one.
    pub fn new(cfg: Config, contact: MemberContact, now: Instant) -> Node {
        let id = NodeId::of(&contact.name);
        let incarnation = Incarnation(contact.started);
        let domain = DomainId::of(&contact.failure_domain);
        let mut member_table = MemberTable::default();
        member_table.merge_contact(&contact);
        let initial_digest = StableDigest {
            digest: 0,
            since: now,
        };
        Node {
            cfg,
            id,
            members: Membership::new(cfg.membership, id, domain, incarnation),
            facts: Facts::new(cfg.facts, id, incarnation),
            dissemination: Dissemination::new(cfg.dissemination, id),
            member_table,
            contact,
            generation: 0,
            byte_budget: ByteBudget::new(cfg.gossip_bytes_per_second, cfg.gossip_burst_bytes, now),
            own_members_digest: initial_digest,
            own_facts_digest: initial_digest,
            digests_due: now,
            last_sync: None,
            has_synced: false,
            facts_changed: false,
        }
    }

    /// Returns the identifier of this daemon.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the name and address under which peers reach this daemon.
    pub fn own_contact(&self) -> &MemberContact {
        &self.contact
    }

    /// Returns the name and address of a daemon; `None` when it is not known.
    pub fn contact(&self, node: NodeId) -> Option<&MemberContact> {
        self.member_table.get(node).map(|r| &r.contact)
    }

    /// Advances timers; to be called several times per heartbeat interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let actions = self.members.on_event(now, membership::Event::Tick);
        let mut actions = self.carry_out(now, actions);
        self.refresh_digests(now);
        let due = self
            .last_sync
            .is_none_or(|at| now.since(at) >= self.cfg.membership.probe_interval);
        if !self.has_synced && due {
            let peers = self.peers();
            if !peers.is_empty() {
                self.last_sync = Some(now);
                let chosen = peers.into_iter().take(JOIN_FANOUT);
                actions.extend(chosen.map(Action::Sync));
            }
        }
        actions
    }

    /// Handles the list of daemons read from the object API.
    pub fn on_member_list(&mut self, now: Instant, contacts: &[MemberContact]) -> Vec<Action> {
        let mut actions = self.merge_contacts(now, contacts);
        let entries = contacts.iter().map(|c| membership::Entry {
            node: NodeId::of(&c.name),
            domain: DomainId::of(&c.failure_domain),
            leaving: false,
        });
        let listed = membership::Event::HostList(entries.collect());
        let changed = self.members.on_event(now, listed);
        actions.extend(self.carry_out(now, changed));
        actions
    }

    /// Handles a heartbeat from a peer.
    pub fn on_heartbeat(&mut self, now: Instant, message: &PeerMessage) -> Answer {
        let from = NodeId::of(&message.from.name);
        let mut actions = self.merge_contacts(now, std::slice::from_ref(&message.from));
        let incarnation = Incarnation(message.incarnation);
        let view = message.view.as_ref().map(convert::update_from_wire);
        let event = membership::Event::Probed {
            from,
            incarnation,
            view: view.unwrap_or_else(|| self.alive_view(from)),
        };
        let done = self.members.on_event(now, event);
        let view = done.iter().find_map(|a| match a {
            membership::Action::Ack { view, .. } => *view,
            _ => None,
        });
        actions.extend(self.carry_out(now, done));
        actions.extend(self.merge_gossip(now, from, message));
        Answer {
            message: self.message_with_gossip(now, view),
            actions,
        }
    }

    /// Handles the answer to a heartbeat of this daemon.
    pub fn on_answer(&mut self, now: Instant, message: &PeerMessage) -> Vec<Action> {
        let from = NodeId::of(&message.from.name);
        let mut actions = self.merge_contacts(now, std::slice::from_ref(&message.from));
        let incarnation = Incarnation(message.incarnation);
        let contact_event = membership::Event::Contact { from, incarnation };
        let done = self.members.on_event(now, contact_event);
        actions.extend(self.carry_out(now, done));
        if let Some(view) = &message.view {
            let view = convert::update_from_wire(view);
            let done = self
                .members
                .on_event(now, membership::Event::Updates(vec![view]));
            actions.extend(self.carry_out(now, done));
        }
        actions.extend(self.merge_gossip(now, from, message));
        actions
    }

    /// Returns the full state of this daemon: what it knows of itself and of all daemons not known
    /// to be dead or to have left.
    pub fn state(&self, now: Instant) -> PeerState {
        let live = |n: NodeId| self.members.health(n).is_none_or(|h| h <= Health::Suspect);
        let records: Vec<&MemberRecord> = self
            .member_table
            .iter()
            .filter(|&(n, _)| live(n))
            .map(|(_, r)| r)
            .collect();
        let sampled = records.iter().filter(|r| r.sample.version > 0);
        PeerState {
            from: self.contact.clone(),
            incarnation: self.members.incarnation().0,
            generation: self.generation,
            contacts: records.iter().map(|r| r.contact.clone()).collect(),
            updates: self
                .members
                .snapshot()
                .iter()
                .map(convert::update_to_wire)
                .collect(),
            facts: self
                .facts
                .snapshot(now)
                .iter()
                .map(convert::fact_to_wire)
                .collect(),
            samples: sampled.map(|r| r.sample.clone()).collect(),
        }
    }

    /// Handles the full state of a peer.
    pub fn on_state(&mut self, now: Instant, state: &PeerState) -> Vec<Action> {
        self.has_synced = true;
        let from = NodeId::of(&state.from.name);
        let mut actions = self.merge_contacts(now, std::slice::from_ref(&state.from));
        let incarnation = Incarnation(state.incarnation);
        let contact_event = membership::Event::Contact { from, incarnation };
        let done = self.members.on_event(now, contact_event);
        actions.extend(self.carry_out(now, done));
        actions.extend(self.merge_contacts(now, &state.contacts));
        actions.extend(self.merge_updates(now, &state.updates));
        self.merge_facts(now, &state.facts);
        for sample in &state.samples {
            self.merge_sample(sample);
        }
        actions.extend(self.compare_generation(from, state.generation));
        actions.extend(self.take_facts_changed());
        actions
    }

    /// Handles the activation of a configuration generation on this daemon; peers are notified.
    pub fn on_config_activated(&mut self, generation: u64) -> Vec<Action> {
        self.generation = self.generation.max(generation);
        self.change_sample(|s| s.generation = s.generation.max(generation));
        let peers = self.peers();
        let learned = dissemination::Event::Learned(Generation(generation));
        let mut done = self.dissemination.on_event(learned, &peers);
        if !done.is_empty() {
            let next = self.successors_on_ring(peers).into_iter();
            done.extend(next.map(dissemination::Action::Push));
            done.sort_unstable();
            done.dedup();
        }
        done.into_iter().map(dissemination_action).collect()
    }

    /// Returns the peers that follow this daemon in a ring ordered by identifier. Targets selected
    /// by hash alone miss a share of `e^-fanout` of the daemons. With pushes along the ring too, a
    /// daemon is missed only when its predecessors are dead or partitioned as well.
    fn successors_on_ring(&self, mut peers: Vec<NodeId>) -> Vec<NodeId> {
        peers.sort_by_key(|n| n.0.wrapping_sub(self.id.0));
        peers.truncate(self.cfg.ring_successors);
        peers
    }

    /// Sets the demand of trials on this daemon, in positions per second, and gossips it.
    pub fn set_trial_demand(&mut self, demand: u32) {
        self.change_sample(|s| s.trial_demand = demand);
    }

    /// Marks this daemon as leaving, and gossips it.
    pub fn set_leaving(&mut self) {
        self.change_sample(|s| s.leaving = true);
    }

    /// Leaves the membership; returns the heartbeats to send before the stop.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.members.on_event(now, membership::Event::Leave);
        let peers = self.peers().into_iter().take(JOIN_FANOUT);
        let chosen: Vec<NodeId> = peers.collect();
        chosen
            .into_iter()
            .map(|to| Action::Heartbeat {
                to,
                message: Box::new(self.message_with_gossip(now, None)),
            })
            .collect()
    }

    /// Publishes a fact that this daemon observed itself, or renews it.
    pub fn set_fact(&mut self, now: Instant, kind: Kind, subject: u64, detail: u64, ttl: Span) {
        self.facts.set_detail(now, kind, subject, detail, ttl);
    }

    /// Clears a fact that this daemon published.
    pub fn clear_fact(&mut self, now: Instant, kind: Kind, subject: u64) {
        self.facts.clear(now, kind, subject);
    }

    /// Returns the facts of a kind that have not expired or been cleared, of all authors.
    pub fn active_facts(&self, now: Instant, kind: Kind) -> Vec<Fact> {
        self.facts.active(now, kind).collect()
    }

    /// Returns the live members without this daemon, in an order that differs between daemons.
    pub fn peers(&self) -> Vec<NodeId> {
        let mut peers: Vec<NodeId> = self
            .members
            .live()
            .map(|(node, _)| node)
            .filter(|&node| self.member_table.get(node).is_some())
            .collect();
        peers.sort_by_key(|n| n.0.wrapping_mul(self.id.0 | 1).rotate_left(17));
        peers
    }

    /// Returns whether this daemon has the role to watch the object API.
    pub fn is_watcher(&self) -> bool {
        let leaving = |n: NodeId| self.member_table.get(n).is_some_and(|r| r.sample.leaving);
        let mut members: Vec<_> = self.members.live().filter(|&(n, _)| !leaving(n)).collect();
        members.push((self.id, DomainId::of(&self.contact.failure_domain)));
        rendezvous::choose(&members, WATCHER_ROLE, self.cfg.watchers).contains(&self.id)
    }

    /// Returns the trial demand on each other live daemon, in positions per second. Suspects are
    /// excluded: most of them are dead, and each daemon protects paying work from trials itself.
    pub fn trial_demands(&self) -> Vec<u32> {
        self.members
            .live()
            .filter(|&(node, _)| self.members.health(node) == Some(Health::Alive))
            .filter_map(|(node, _)| self.member_table.get(node))
            .map(|r| r.sample.trial_demand)
            .collect()
    }

    /// Returns the other daemons for the status; those that left are omitted.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self
            .member_table
            .iter()
            .filter(|&(node, _)| node != self.id)
            .filter_map(|(node, record)| {
                let state = match self.members.health(node)? {
                    Health::Left => return None,
                    Health::Dead => MemberState::Down,
                    _ if record.sample.leaving => MemberState::Leaving,
                    Health::Suspect => MemberState::Suspect,
                    Health::Alive => MemberState::Live,
                };
                Some(Member {
                    name: record.contact.name.clone(),
                    generation: record.sample.generation,
                    state,
                })
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// Returns the health of a member; `None` when it is not known.
    pub fn health(&self, node: NodeId) -> Option<Health> {
        self.members.health(node)
    }

    fn change_sample(&mut self, change: impl FnOnce(&mut MemberSample)) {
        let Some(record) = self.member_table.get(self.id) else {
            return;
        };
        let mut sample = record.sample.clone();
        change(&mut sample);
        if sample != record.sample {
            sample.version = record.sample.version.max(self.contact.started) + 1;
            self.member_table.merge_sample(&sample);
        }
    }

    fn merge_sample(&mut self, sample: &MemberSample) {
        if sample.node != self.id.0 {
            self.member_table.merge_sample(sample);
        }
    }

    fn carry_out(&mut self, now: Instant, actions: Vec<membership::Action>) -> Vec<Action> {
        let mut done = Vec::new();
        for action in actions {
            match action {
                membership::Action::Probe { target, view } => done.push(Action::Heartbeat {
                    to: target,
                    message: Box::new(self.message_with_gossip(now, Some(view))),
                }),
                membership::Action::IndirectProbe { via, target, view } => {
                    done.push(Action::HeartbeatVia {
                        via,
                        target,
                        message: Box::new(self.message_with_gossip(now, Some(view))),
                    });
                }
                membership::Action::HealthChanged { node, health } => {
                    done.push(Action::Changed { node, health });
                }
                membership::Action::Ack { .. } => {}
            }
        }
        done
    }

    /// Returns a view of this daemon that requires no refutation.
    fn alive_view(&self, by: NodeId) -> Update {
        Update {
            node: self.id,
            domain: DomainId::of(&self.contact.failure_domain),
            incarnation: Incarnation(0),
            health: Health::Alive,
            by,
        }
    }

    /// Builds a heartbeat or an answer, with as much gossip as the byte budget permits. Membership
    /// updates come first, then contacts, facts and samples.
    fn message_with_gossip(&mut self, now: Instant, view: Option<Update>) -> PeerMessage {
        let available = self.byte_budget.available(now);
        let mut left = available;
        let updates = self.members.take_updates(left / MAX_UPDATE_BYTES);
        left -= updates.len() * MAX_UPDATE_BYTES;
        let contacts = self.member_table.next_contacts(left / MAX_CONTACT_BYTES);
        left -= contacts.len() * MAX_CONTACT_BYTES;
        let members = self.member_table.iter().count();
        let facts = self.facts.take_delta(now, left, members);
        left -= facts.len() * facts::FACT_BYTES;
        let samples = self.member_table.next_samples(left / MAX_SAMPLE_BYTES);
        left -= samples.len() * MAX_SAMPLE_BYTES;
        self.byte_budget.spend(available - left);
        self.refresh_digests(now);
        PeerMessage {
            contacts,
            updates: updates.iter().map(convert::update_to_wire).collect(),
            facts: facts.iter().map(convert::fact_to_wire).collect(),
            samples,
            ..self.message_without_gossip(view)
        }
    }

    /// Builds a heartbeat or an answer without gossip.
    fn message_without_gossip(&self, view: Option<Update>) -> PeerMessage {
        PeerMessage {
            from: self.contact.clone(),
            incarnation: self.members.incarnation().0,
            generation: self.generation,
            view: view
                .filter(|v| v.health != Health::Alive)
                .as_ref()
                .map(convert::update_to_wire),
            members_digest: self.own_members_digest.digest,
            facts_digest: self.own_facts_digest.digest,
            contacts: Vec::new(),
            updates: Vec::new(),
            facts: Vec::new(),
            samples: Vec::new(),
        }
    }

    fn merge_gossip(&mut self, now: Instant, from: NodeId, message: &PeerMessage) -> Vec<Action> {
        let mut actions = self.merge_contacts(now, &message.contacts);
        actions.extend(self.merge_updates(now, &message.updates));
        self.merge_facts(now, &message.facts);
        for sample in &message.samples {
            self.merge_sample(sample);
        }
        actions.extend(self.compare_generation(from, message.generation));
        actions.extend(self.compare_digests(now, from, message));
        actions.extend(self.take_facts_changed());
        actions
    }

    /// Merges contacts. A new incarnation counts as alive until a probe shows otherwise.
    fn merge_contacts(&mut self, now: Instant, contacts: &[MemberContact]) -> Vec<Action> {
        let mut actions = Vec::new();
        for contact in contacts {
            let node = NodeId::of(&contact.name);
            if node == self.id || !self.member_table.merge_contact(contact) {
                continue;
            }
            let alive = Update {
                node,
                domain: DomainId::of(&contact.failure_domain),
                incarnation: Incarnation(contact.started),
                health: Health::Alive,
                by: node,
            };
            let done = self
                .members
                .on_event(now, membership::Event::Updates(vec![alive]));
            actions.extend(self.carry_out(now, done));
        }
        actions
    }

    /// Merges updates on members whose contact is known; those on others are ignored until the
    /// contact arrives.
    fn merge_updates(
        &mut self,
        now: Instant,
        updates: &[kelpworks_wire::MemberUpdate],
    ) -> Vec<Action> {
        let known = updates
            .iter()
            .map(convert::update_from_wire)
            .filter(|u| self.member_table.get(u.node).is_some())
            .collect();
        let done = self
            .members
            .on_event(now, membership::Event::Updates(known));
        self.carry_out(now, done)
    }

    fn merge_facts(&mut self, now: Instant, facts: &[kelpworks_wire::PeerFact]) {
        for fact in facts {
            self.facts_changed |= self.facts.merge(now, convert::fact_from_wire(fact));
        }
    }

    fn take_facts_changed(&mut self) -> Option<Action> {
        std::mem::take(&mut self.facts_changed).then_some(Action::FactsChanged)
    }

    fn compare_generation(&mut self, from: NodeId, generation: u64) -> Vec<Action> {
        let generation = Generation(generation);
        let event = dissemination::Event::Heartbeat { from, generation };
        let done = self.dissemination.on_event(event, &[]);
        done.into_iter().map(dissemination_action).collect()
    }
}

fn dissemination_action(action: dissemination::Action) -> Action {
    match action {
        dissemination::Action::Push(to) => Action::Push(to),
        dissemination::Action::Pull(from) => Action::Pull(from),
    }
}
