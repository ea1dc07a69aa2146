//! What one daemon knows of the others and tells them, without I/O: membership, facts and the
//! generation ride on the same heartbeats.

mod digests;
mod push;

use super::byte_budget::ByteBudget;
use super::contract::Action;
use super::contract::Answer;
use super::contract::Config;
use super::convert;
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

/// Duty under which the watchers of the head are chosen.
const WATCHER_ROLE: &str = "kelpworks.head";
/// Largest size of each piece of news in JSON, for byte budgets.
const MAX_UPDATE_BYTES: usize = 170;
const MAX_CONTACT_BYTES: usize = 160;
const MAX_SAMPLE_BYTES: usize = 125;
/// Peers that a daemon asks for all they hold when it joins.
const JOIN_FANOUT: usize = 3;

/// One daemon's knowledge of the others.
#[derive(Clone, Debug)]
pub struct Node {
    cfg: Config,
    id: NodeId,
    contact: MemberContact,
    members: Membership,
    facts: Facts,
    dissemination: Dissemination,
    member_table: MemberTable,
    /// In force here.
    generation: u64,
    byte_budget: ByteBudget,
    own_members_digest: StableDigest,
    own_facts_digest: StableDigest,
    digests_due: Instant,
    last_sync: Option<Instant>,
    /// Whether any peer has told all it holds since the start.
    has_synced: bool,
    /// Whether facts of others changed since the driver was last told.
    facts_changed: bool,
}

impl Node {
    /// A daemon that knows of no other.
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

    /// This daemon.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// How this daemon is reached.
    pub fn own_contact(&self) -> &MemberContact {
        &self.contact
    }

    /// How a daemon is reached; `None` when it is not known.
    pub fn contact(&self, node: NodeId) -> Option<&MemberContact> {
        self.member_table.get(node).map(|k| &k.contact)
    }

    /// Time passed.
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

    /// The object API's list of daemons was read.
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

    /// A heartbeat came in.
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

    /// The answer to a heartbeat came.
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

    /// All that this daemon holds.
    pub fn state(&self, now: Instant) -> PeerState {
        let live = |n: NodeId| self.members.health(n).is_none_or(|h| h <= Health::Suspect);
        let known: Vec<&MemberRecord> = self
            .member_table
            .iter()
            .filter(|&(n, _)| live(n))
            .map(|(_, k)| k)
            .collect();
        let sampled = known.iter().filter(|k| k.sample.version > 0);
        PeerState {
            from: self.contact.clone(),
            incarnation: self.members.incarnation().0,
            generation: self.generation,
            contacts: known.iter().map(|k| k.contact.clone()).collect(),
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
            samples: sampled.map(|k| k.sample.clone()).collect(),
        }
    }

    /// A peer told all that it holds.
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

    /// A generation is in force here.
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

    /// The peers that follow this daemon in order of identifier. Targets drawn by hash alone miss
    /// a share of `e^-fanout` of the daemons; pushed to along the ring too, a daemon is missed
    /// only when those before it are gone or cut off as well.
    fn successors_on_ring(&self, mut peers: Vec<NodeId>) -> Vec<NodeId> {
        peers.sort_by_key(|n| n.0.wrapping_sub(self.id.0));
        peers.truncate(self.cfg.ring_successors);
        peers
    }

    /// Tells the others how much trials ask of this daemon, in positions a second.
    pub fn set_trial_demand(&mut self, demand: u32) {
        self.change_sample(|s| s.trial_demand = demand);
    }

    /// Tells the others that this daemon is about to stop.
    pub fn set_leaving(&mut self) {
        self.change_sample(|s| s.leaving = true);
    }

    /// Says good-bye: heartbeats to send before the end.
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

    /// States a fact of this daemon's own observation, or renews it.
    pub fn set_fact(&mut self, now: Instant, kind: Kind, subject: u64, detail: u64, ttl: Span) {
        self.facts.set_detail(now, kind, subject, detail, ttl);
    }

    /// Clears a fact that this daemon stated.
    pub fn clear_fact(&mut self, now: Instant, kind: Kind, subject: u64) {
        self.facts.clear(now, kind, subject);
    }

    /// Facts of a kind that hold now, of all authors.
    pub fn active_facts(&self, now: Instant, kind: Kind) -> Vec<Fact> {
        self.facts.active(now, kind).collect()
    }

    /// Live members, without this daemon, in an order that differs between daemons.
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

    /// Whether this daemon is one of those that watch the object API.
    pub fn is_watcher(&self) -> bool {
        let leaving = |n: NodeId| self.member_table.get(n).is_some_and(|k| k.sample.leaving);
        let mut members: Vec<_> = self.members.live().filter(|&(n, _)| !leaving(n)).collect();
        members.push((self.id, DomainId::of(&self.contact.failure_domain)));
        rendezvous::choose(&members, WATCHER_ROLE, self.cfg.watchers).contains(&self.id)
    }

    /// How much trials ask of each other live daemon, in positions a second. Suspects are left
    /// out: most are gone, and paying work is protected from trials on the daemon itself.
    pub fn trial_demands(&self) -> Vec<u32> {
        self.members
            .live()
            .filter(|&(node, _)| self.members.health(node) == Some(Health::Alive))
            .filter_map(|(node, _)| self.member_table.get(node))
            .map(|k| k.sample.trial_demand)
            .collect()
    }

    /// The other daemons, for operators; those that left are not shown.
    pub fn members(&self) -> Vec<Member> {
        let mut members: Vec<Member> = self
            .member_table
            .iter()
            .filter(|&(node, _)| node != self.id)
            .filter_map(|(node, known)| {
                let state = match self.members.health(node)? {
                    Health::Left => return None,
                    Health::Dead => MemberState::Down,
                    _ if known.sample.leaving => MemberState::Leaving,
                    Health::Suspect => MemberState::Suspect,
                    Health::Alive => MemberState::Live,
                };
                Some(Member {
                    name: known.contact.name.clone(),
                    generation: known.sample.generation,
                    state,
                })
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// What is held of a member.
    pub fn health(&self, node: NodeId) -> Option<Health> {
        self.members.health(node)
    }

    fn change_sample(&mut self, change: impl FnOnce(&mut MemberSample)) {
        let Some(known) = self.member_table.get(self.id) else {
            return;
        };
        let mut sample = known.sample.clone();
        change(&mut sample);
        if sample != known.sample {
            sample.version = known.sample.version.max(self.contact.started) + 1;
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

    /// A view of this daemon that has nothing to refute.
    fn alive_view(&self, by: NodeId) -> Update {
        Update {
            node: self.id,
            domain: DomainId::of(&self.contact.failure_domain),
            incarnation: Incarnation(0),
            health: Health::Alive,
            by,
        }
    }

    /// A heartbeat or an answer, with as much news as the allowance lets through.
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

    /// A heartbeat or an answer without news.
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

    /// Takes contacts; those of a new run count as alive until a probe says otherwise.
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

    /// Takes reports of members that can be reached; of others the contact must come first.
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
