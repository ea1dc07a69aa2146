//! State of the monitor, and its updates by registers and reports. Does no I/O.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::DomainKey;
use crate::fleet::Fleet;
use crate::fleet::Health;
use crate::fleet::LayerAssignment;
use crate::fleet::LinkCost;
use crate::fleet::ModelView;
use crate::fleet::Upstream;
use crate::fleet::UpstreamKey;
use crate::register::Host;
use crate::register::HostRole;
use crate::register::Register;
use crate::routing::Index;
use crate::upstreams::ListedHost;
use crate::upstreams::Observation;
use crate::upstreams::ObservationKind;
use crate::upstreams::PeerReport;
use kelpworks_coord::id::UpstreamId;
use kelpworks_wire::EngineState;
use kelpworks_wire::HostState;
use kelpworks_wire::LoadedRange;

/// Link cost of a pair of failure domains that the register does not list.
const DEFAULT_LINK: LinkCost = LinkCost {
    latency: Duration::from_millis(1),
    bytes_per_second: 1_250_000_000,
};
/// Consecutive polls without an answer after which an upstream counts as down.
const MISSED_POLLS_UNTIL_DOWN: u32 = 3;
/// Number of other daemons that report an upstream as down from which a single poll without an
/// answer suffices.
const PEER_REPORTS_UNTIL_DOWN: u32 = 2;

/// Maximum number of doublings of the answered polls that clear a suspicion.
const MAX_DOUBLINGS: u32 = 4;
/// Answered polls without a new suspicion after which earlier suspicions no longer count.
const CLEAN_ANSWERS_UNTIL_RESET: u32 = 60;

/// Evidence on the health of one upstream, from which its [`Health`] is derived.
#[derive(Clone, Debug, Default)]
struct HealthRecord {
    /// Polls without an answer since the last answered one.
    missed_polls: u32,
    /// Whether it ever answered a poll. Only then are missed polls reported to peers.
    has_answered: bool,
    /// Whether the upstream itself reports that it takes no new work.
    draining: bool,
    /// Whether a request, or a new report of a peer, made it suspect, and answered polls have not
    /// cleared that since.
    suspect: bool,
    /// Recent suspicions; they accumulate on an upstream that answers polls and fails requests.
    suspicions: u32,
    /// Answered polls still needed to clear the suspicion.
    answers_to_clear: u32,
    /// Answered polls since the last suspicion.
    clean_answers: u32,
    /// Whether any other daemon reports that it takes no new work.
    peers_leaving: bool,
    /// Number of other daemons that report it as down; this daemon's own answered polls take
    /// precedence.
    peers_down: u32,
}

impl HealthRecord {
    /// Records a suspicion. The first one is cleared by a single answered poll, since the fault may
    /// be of one connection only. Each further one needs twice as many, so that an upstream that
    /// answers polls and fails requests is not preferred again after each poll.
    fn count_suspicion(&mut self) {
        self.suspect = true;
        self.clean_answers = 0;
        self.answers_to_clear = 1 << self.suspicions.min(MAX_DOUBLINGS);
        self.suspicions = self.suspicions.saturating_add(1);
    }

    /// Records an answered poll.
    fn count_answer(&mut self) {
        self.answers_to_clear = self.answers_to_clear.saturating_sub(1);
        self.suspect = self.answers_to_clear > 0;
        self.clean_answers = self.clean_answers.saturating_add(1);
        if self.clean_answers >= CLEAN_ANSWERS_UNTIL_RESET {
            self.suspicions = 0;
        }
    }
}

/// The fleet snapshot to publish next, and the evidence behind it.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) fleet: Fleet,
    health_records: HashMap<UpstreamKey, HealthRecord>,
    by_name: HashMap<String, UpstreamKey>,
    /// Hosts that the platform's list shows as leaving.
    leaving: HashSet<String>,
    /// Layer ranges that engines last reported; resolved again when the register changes.
    loaded: HashMap<UpstreamKey, Vec<LoadedRange>>,
}

impl View {
    /// Applies a register. Upstreams that remain keep their keys, counters and state.
    pub(crate) fn apply_register(&mut self, register: &Register) {
        self.fleet.domains = register
            .failure_domains
            .iter()
            .map(|d| d.name.clone())
            .collect();
        self.fleet.links = links(register);
        self.apply_models(register);
        let listed: HashSet<&str> = register.hosts.iter().map(|h| h.name.as_str()).collect();
        let gone: Vec<String> = self
            .by_name
            .keys()
            .filter(|n| !listed.contains(n.as_str()))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&name);
        }
        for host in &register.hosts {
            self.apply_host(register, host);
        }
        self.reindex();
    }

    fn apply_models(&mut self, register: &Register) {
        let old = std::mem::take(&mut self.fleet.models);
        for model in &register.models {
            let mut versions = vec![model.version.clone()];
            // Versions of the previous register remain, so that running sessions keep theirs.
            if let Some(before) = old.iter().find(|m| m.name == model.name) {
                let more = before
                    .versions
                    .iter()
                    .filter(|v| **v != model.version)
                    .cloned();
                versions.extend(more);
            }
            let name = model.name.clone();
            self.fleet.models.push(ModelView {
                name,
                layers: model.layers,
                versions,
            });
        }
    }

    fn remove(&mut self, name: &str) {
        let Some(key) = self.by_name.remove(name) else {
            return;
        };
        self.fleet.upstreams.remove(key);
        self.health_records.remove(&key);
        self.loaded.remove(&key);
    }

    fn apply_host(&mut self, register: &Register, host: &Host) {
        let url: Arc<str> = format!("http://{}", host.address).into();
        if let Some(&key) = self.by_name.get(&host.name) {
            if self.fleet.upstreams[key].url == url {
                self.update_host(register, host, key);
                return;
            }
            self.remove(&host.name);
        }
        let upstream = Upstream {
            name: host.name.as_str().into(),
            url,
            domain: self.domain(&host.failure_domain),
            health: Health::Down,
            layer_rate: layer_rate(register, host),
            layer_assignments: Vec::new(),
            service: service(host),
            incarnation: 0,
            counters: Arc::default(),
        };
        let key = self.fleet.upstreams.insert(upstream);
        self.by_name.insert(host.name.clone(), key);
        // A new upstream gets no work until it has answered a poll.
        let record = HealthRecord {
            missed_polls: MISSED_POLLS_UNTIL_DOWN,
            ..HealthRecord::default()
        };
        self.health_records.insert(key, record);
    }

    fn update_host(&mut self, register: &Register, host: &Host, key: UpstreamKey) {
        let domain = self.domain(&host.failure_domain);
        let assignments =
            self.resolve_assignments(self.loaded.get(&key).map_or(&[][..], Vec::as_slice));
        let upstream = &mut self.fleet.upstreams[key];
        upstream.domain = domain;
        upstream.layer_rate = layer_rate(register, host);
        upstream.service = service(host);
        upstream.layer_assignments = assignments;
    }

    fn domain(&self, name: &str) -> DomainKey {
        let index = self.fleet.domains.iter().position(|d| d == name);
        DomainKey(index.expect("a checked register names only its own failure domains") as u16)
    }

    /// Applies the state that an engine reports; returns whether routing needs a new snapshot.
    pub(crate) fn apply_state(&mut self, key: UpstreamKey, state: &EngineState) -> bool {
        if !self.fleet.upstreams.contains_key(key) {
            return false;
        }
        for range in &state.loaded {
            self.learn_version(range);
        }
        self.loaded.insert(key, state.loaded.clone());
        let assignments = self.resolve_assignments(&state.loaded);
        let upstream = &mut self.fleet.upstreams[key];
        let restarted = upstream.incarnation != state.incarnation;
        upstream.incarnation = state.incarnation;
        upstream.counters.record_load(&state.load);
        let changed = restarted || upstream.layer_assignments != assignments;
        upstream.layer_assignments = assignments;
        if changed {
            self.reindex();
        }
        self.record_answer(key, state.draining) || changed
    }

    /// Records an answered poll; returns whether the upstream's health changed.
    pub(crate) fn record_answer(&mut self, key: UpstreamKey, draining: bool) -> bool {
        let Some(record) = self.health_records.get_mut(&key) else {
            return false;
        };
        record.missed_polls = 0;
        record.has_answered = true;
        record.draining = draining;
        record.count_answer();
        self.update_health(key)
    }

    /// Records a poll without an answer; returns whether the upstream's health changed.
    pub(crate) fn record_missed_poll(&mut self, key: UpstreamKey) -> bool {
        let Some(record) = self.health_records.get_mut(&key) else {
            return false;
        };
        record.missed_polls = record.missed_polls.saturating_add(1);
        self.update_health(key)
    }

    /// Records a failed request; returns whether the upstream's health changed.
    pub(crate) fn record_failure(&mut self, key: UpstreamKey) -> bool {
        let Some(record) = self.health_records.get_mut(&key) else {
            return false;
        };
        record.count_suspicion();
        self.update_health(key)
    }

    /// Applies the platform's host list; returns whether any upstream's health changed.
    pub(crate) fn apply_host_list(&mut self, hosts: &[ListedHost]) -> bool {
        self.leaving = hosts
            .iter()
            .filter(|h| h.state == HostState::Leaving)
            .map(|h| h.name.clone())
            .collect();
        let keys: Vec<UpstreamKey> = self.fleet.upstreams.keys().collect();
        let mut changed = false;
        for key in keys {
            changed |= self.update_health(key);
        }
        changed
    }

    /// Applies the reports of other daemons; returns the upstreams whose health changed.
    pub(crate) fn apply_peer_reports(&mut self, reports: &[PeerReport]) -> Vec<UpstreamKey> {
        let reports: HashMap<UpstreamId, &PeerReport> =
            reports.iter().map(|r| (r.upstream, r)).collect();
        let ids = self.fleet.upstreams.iter();
        let ids: Vec<_> = ids.map(|(k, u)| (k, UpstreamId::of(&u.name))).collect();
        let mut changed = Vec::new();
        for (key, id) in ids {
            let report = reports.get(&id);
            let Some(record) = self.health_records.get_mut(&key) else {
                continue;
            };
            let down = report.map_or(0, |r| r.down);
            // Only an additional report makes the upstream suspect: the answer to the poll that
            // follows is more recent than reports already known.
            record.suspect |= down > record.peers_down;
            record.peers_down = down;
            record.peers_leaving = report.is_some_and(|r| r.leaving);
            if self.update_health(key) {
                changed.push(key);
            }
        }
        changed
    }

    /// Returns the observations of this daemon itself, in key order.
    pub(crate) fn observed(&self) -> Vec<Observation> {
        let mut observed = Vec::new();
        for (key, upstream) in &self.fleet.upstreams {
            let record = &self.health_records[&key];
            let leaving = record.draining || self.leaving.contains(&*upstream.name);
            let kind = match record.missed_polls {
                MISSED_POLLS_UNTIL_DOWN.. if record.has_answered => ObservationKind::Down,
                _ if leaving => ObservationKind::Leaving,
                _ => continue,
            };
            let upstream = Arc::clone(&upstream.name);
            observed.push(Observation { upstream, kind });
        }
        observed
    }

    /// Derives the health of an upstream from the evidence; returns whether it changed.
    fn update_health(&mut self, key: UpstreamKey) -> bool {
        let record = &self.health_records[&key];
        let upstream = &mut self.fleet.upstreams[key];
        let listed = self.leaving.contains(&*upstream.name);
        let leaving = record.draining || listed || record.peers_leaving;
        let health = match record {
            t if t.missed_polls >= MISSED_POLLS_UNTIL_DOWN => Health::Down,
            t if t.missed_polls > 0 && t.peers_down >= PEER_REPORTS_UNTIL_DOWN => Health::Down,
            _ if leaving => Health::Leaving,
            t if t.suspect || t.missed_polls > 0 => Health::Suspect,
            _ => Health::Live,
        };
        let changed = upstream.health != health;
        upstream.health = health;
        changed
    }

    fn learn_version(&mut self, range: &LoadedRange) {
        let model = self.fleet.models.iter_mut().find(|m| m.name == range.model);
        let Some(model) = model else { return };
        if !model.versions.contains(&range.version) {
            model.versions.push(range.version.clone());
        }
    }

    /// Resolves reported layer ranges; those of models that the register lacks are skipped.
    fn resolve_assignments(&self, loaded: &[LoadedRange]) -> Vec<LayerAssignment> {
        let mut assignments = Vec::new();
        for range in loaded {
            let Some(model) = self.fleet.model(&range.model) else {
                continue;
            };
            let versions = &self.fleet.models[usize::from(model.0)].versions;
            let Some(version) = versions.iter().position(|v| *v == range.version) else {
                continue;
            };
            let layers = range.layers.clone();
            assignments.push(LayerAssignment {
                model,
                version: version as u16,
                layers,
            });
        }
        assignments
    }

    fn reindex(&mut self) {
        let mut by_model = vec![Vec::new(); self.fleet.models.len()];
        let mut by_service: HashMap<String, Vec<UpstreamKey>> = HashMap::new();
        for (key, upstream) in &self.fleet.upstreams {
            for assignment in &upstream.layer_assignments {
                let keys: &mut Vec<UpstreamKey> = &mut by_model[usize::from(assignment.model.0)];
                if keys.last() != Some(&key) {
                    keys.push(key);
                }
            }
            if let Some(name) = &upstream.service {
                by_service.entry(name.to_string()).or_default().push(key);
            }
        }
        self.fleet.by_model = by_model;
        self.fleet.by_service = by_service;
    }

    /// Rebuilds the index of upstreams by layer; needed after a change of health or of layer
    /// assignments.
    pub(crate) fn refresh_index(&mut self) {
        self.fleet.index = Some(Arc::new(Index::build(&self.fleet)));
    }
}

fn service(host: &Host) -> Option<Arc<str>> {
    match &host.role {
        HostRole::Service(name) => Some(name.as_str().into()),
        HostRole::Engine(_) => None,
    }
}

fn layer_rate(register: &Register, host: &Host) -> f64 {
    let HostRole::Engine(engine) = &host.role else {
        return 0.0;
    };
    let kind = register
        .accelerators
        .iter()
        .find(|a| a.name == engine.accelerator);
    kind.map_or(0.0, |a| a.layer_rate * f64::from(engine.accelerators))
}

fn links(register: &Register) -> Vec<LinkCost> {
    let domains = &register.failure_domains;
    let mut links = vec![DEFAULT_LINK; domains.len() * domains.len()];
    let index = |name: &str| domains.iter().position(|d| d.name == name);
    for link in &register.links {
        let (Some(from), Some(to)) = (index(&link.from), index(&link.to)) else {
            continue;
        };
        let cost = LinkCost {
            latency: link.latency.0,
            bytes_per_second: link.bandwidth.0,
        };
        links[from * domains.len() + to] = cost;
        links[to * domains.len() + from] = cost;
    }
    links
}
