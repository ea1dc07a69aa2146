//! Simulated network of daemons on a virtual clock, with message latency and with failures of links
//! and daemons.
//!
//! Drives the same [`Node`] state machine as the daemon, so that its decisions are what is measured
//! or tested. Only its surroundings are modelled: latencies, the object API, and the time to fetch
//! and check a configuration.

#![allow(dead_code, reason = "measurements and tests use parts of it")]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use kelpworks::membership::Action;
use kelpworks::membership::Config;
use kelpworks::membership::Node;
use kelpworks::membership::exchange_bytes;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::time::Instant;
use kelpworks_wire::MemberContact;
use kelpworks_wire::PeerMessage;
use kelpworks_wire::PeerState;

/// Interval of ticks, as in the daemon.
const TICK_MS: u64 = 100;
/// One-way latency between daemons of the same region, and of different regions.
const SAME_REGION_LATENCY_MS: u64 = 1;
const CROSS_REGION_LATENCY_MS: u64 = 15;
/// Response time of the object API.
const API_LATENCY_MS: u64 = 4;
/// Time to parse and check a register and rules.
const CONFIG_CHECK_MS: u64 = 10;
/// Timeout of a fetch of configuration texts from a peer, after which the last peer that reported
/// the generation is queried.
const TEXT_TIMEOUT_MS: u64 = 2_000;
/// Delay before a failed fetch from the object API is retried.
const RETRY_MS: u64 = 500;
/// Failure domains of a region, where there are two regions.
const DOMAINS_PER_REGION: usize = 2;
/// Approximate size of a configuration head as JSON, for the byte counts.
const HEAD_BYTES: usize = 260;

/// State of the configuration on a daemon.
#[derive(Clone, Copy, Debug, Default)]
struct Configuration {
    active_generation: u64,
    /// Fetch in progress, of a generation above `active_generation`.
    pending: Option<Fetch>,
}

#[derive(Clone, Copy, Debug)]
struct Fetch {
    generation: u64,
    /// Daemon to fetch from, which reported the generation; `None` for the object API.
    holder: Option<usize>,
    /// Increases with each attempt, so that the timeout of an earlier attempt is ignored.
    attempt: u64,
}

struct Daemon {
    node: Node,
    up: bool,
    config: Configuration,
    /// Start time, which identifies the run; ticks of an earlier run are ignored.
    run: u64,
}

/// Event of the simulation.
enum Event {
    Tick {
        at: usize,
        run: u64,
    },
    Heartbeat {
        from: usize,
        to: usize,
        message: Box<PeerMessage>,
    },
    Answer {
        to: usize,
        message: Box<PeerMessage>,
    },
    Via {
        from: usize,
        via: usize,
        target: usize,
        message: Box<PeerMessage>,
    },
    Sync {
        from: usize,
        to: usize,
        state: Box<PeerState>,
        reply: bool,
    },
    Push {
        to: usize,
        from: usize,
        generation: u64,
    },
    Pull {
        to: usize,
        from: usize,
    },
    Text {
        at: usize,
        generation: u64,
        attempt: u64,
    },
    TextTimeout {
        at: usize,
        attempt: u64,
    },
    ApiHead {
        at: usize,
    },
}

/// Counts of messages and bytes between daemons, and of object API reads.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// Calls that carry the configuration: pushes, pulls and fetches of texts.
    pub(crate) config_calls: u64,
    /// Heartbeats; one that is relayed counts twice.
    pub(crate) heartbeats: u64,
    /// Exchanges of full states.
    pub(crate) syncs: u64,
    /// Bytes of heartbeats, states and heads with their replies. Each message counts once, although
    /// it is both sent and received.
    pub(crate) bytes: u64,
    /// Reads of the object API for the head and the texts.
    pub(crate) api_reads: u64,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetConfig {
    pub(crate) daemons: usize,
    /// 1 or 2. A single region has 3 failure domains, two have [`DOMAINS_PER_REGION`] each.
    pub(crate) regions: usize,
    pub(crate) node: Config,
    /// Whether every daemon watches the object API, even if its node is not a watcher.
    pub(crate) all_watch: bool,
    /// Whether heartbeats and states count in [`Counts::bytes`], which takes most of the run time.
    pub(crate) count_bytes: bool,
    pub(crate) seed: u64,
}

/// The simulated daemons and the network between them.
pub(crate) struct Net {
    cfg: NetConfig,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    daemons: Vec<Daemon>,
    index: BTreeMap<NodeId, usize>,
    /// Links that drop all messages, as (sender, receiver).
    cut: BTreeSet<(usize, usize)>,
    /// Generation of the head in the object API.
    head: u64,
    /// Configuration reads that the object API still answers before its outage; `None` without an
    /// outage.
    api_reads_left: Option<u64>,
    pub(crate) counts: Counts,
    rng: StdRng,
}

impl Net {
    /// Creates daemons that all have the full member list, each with a random tick phase.
    pub(crate) fn new(cfg: NetConfig) -> Net {
        let mut net = Net {
            cfg,
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            daemons: Vec::new(),
            index: BTreeMap::new(),
            cut: BTreeSet::new(),
            head: 0,
            api_reads_left: None,
            counts: Counts::default(),
            rng: StdRng::seed_from_u64(cfg.seed),
        };
        for at in 0..cfg.daemons {
            net.add(at, 1_000);
        }
        let contacts = net.contacts();
        for at in 0..cfg.daemons {
            net.act(at, |node, now| node.on_member_list(now, &contacts));
        }
        net
    }

    fn add(&mut self, at: usize, started: u64) {
        let contact = MemberContact {
            name: format!("entry-{at}"),
            failure_domain: format!("domain-{}", self.domain(at)),
            address: format!("10.0.{}.{}:7070", at / 200, at % 200 + 10),
            // As many digits as a real time in milliseconds, so that the byte counts are realistic.
            started: 1_790_000_000_000 + started,
        };
        let node = Node::new(self.cfg.node, contact, self.now());
        self.index.insert(node.id(), at);
        let run = started;
        let daemon = Daemon {
            node,
            up: true,
            config: Configuration::default(),
            run,
        };
        match self.daemons.get_mut(at) {
            Some(slot) => *slot = daemon,
            None => self.daemons.push(daemon),
        }
        let phase = self.rng.random_range(0..TICK_MS);
        self.after(phase, Event::Tick { at, run });
    }

    fn domain(&self, at: usize) -> usize {
        let domains = if self.cfg.regions == 1 {
            3
        } else {
            DOMAINS_PER_REGION * self.cfg.regions
        };
        at % domains
    }

    /// Region of a daemon.
    pub(crate) fn region(&self, at: usize) -> usize {
        if self.cfg.regions == 1 {
            0
        } else {
            self.domain(at) / DOMAINS_PER_REGION
        }
    }

    fn contacts(&self) -> Vec<MemberContact> {
        let up = self.daemons.iter().filter(|d| d.up);
        up.map(|d| d.node.own_contact().clone()).collect()
    }

    /// Time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    /// State machine of a daemon, or `None` while it is down.
    pub(crate) fn node(&self, at: usize) -> Option<&Node> {
        self.daemons.get(at).filter(|d| d.up).map(|d| &d.node)
    }

    /// Calls a daemon's state machine and performs the resulting actions; does nothing while it is
    /// down.
    pub(crate) fn act(&mut self, at: usize, call: impl FnOnce(&mut Node, Instant) -> Vec<Action>) {
        let now = self.now();
        if !self.daemons[at].up {
            return;
        }
        let actions = call(&mut self.daemons[at].node, now);
        for action in actions {
            self.perform(at, action);
        }
    }

    /// Stops a daemon without notice to its peers.
    pub(crate) fn crash(&mut self, at: usize) {
        self.daemons[at].up = false;
    }

    /// Starts a daemon with a new incarnation and the member list of the object API.
    pub(crate) fn restart(&mut self, at: usize) {
        let started = 1_000 + self.now_ms;
        self.add(at, started);
        let contacts = self.contacts();
        self.act(at, |node, now| node.on_member_list(now, &contacts));
    }

    /// Cuts or restores a link in one direction.
    pub(crate) fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        match cut {
            true => self.cut.insert((from, to)),
            false => self.cut.remove(&(from, to)),
        };
    }

    /// Cuts each link, in both directions, with probability `share`.
    pub(crate) fn cut_share(&mut self, share: f64) {
        for a in 0..self.daemons.len() {
            for b in 0..a {
                if self.rng.random_bool(share) {
                    self.set_cut(a, b, true);
                    self.set_cut(b, a, true);
                }
            }
        }
    }

    /// Indices of the daemons that watch the object API now.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let watches = |d: &Daemon| d.up && (self.cfg.all_watch || d.node.is_watcher());
        let all = self.daemons.iter().enumerate();
        all.filter(|(_, d)| watches(d)).map(|(at, _)| at).collect()
    }

    /// Publishes a new generation. With `readers_before_outage`, the object API fails after that
    /// many daemons have read the configuration.
    pub(crate) fn swap(&mut self, readers_before_outage: Option<u64>) {
        self.head += 1;
        self.api_reads_left = readers_before_outage;
        for at in self.watchers() {
            let late = self.rng.random_range(0..API_LATENCY_MS);
            self.after(API_LATENCY_MS + late, Event::ApiHead { at });
        }
    }

    /// Number of daemons that are up and have activated the newest generation.
    pub(crate) fn daemons_up_to_date(&self) -> usize {
        let up = self.daemons.iter().filter(|d| d.up);
        up.filter(|d| d.config.active_generation == self.head)
            .count()
    }

    /// Number of daemons that are up.
    pub(crate) fn daemons_up(&self) -> usize {
        self.daemons.iter().filter(|d| d.up).count()
    }

    /// Runs the simulation for `ms` of virtual time.
    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while let Some(&Reverse((at, _))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.step();
        }
        self.now_ms = end;
    }

    /// Runs the simulation until a condition holds, at most for `ms`; returns whether it held.
    pub(crate) fn run_until(&mut self, ms: u64, holds: impl Fn(&Net) -> bool) -> bool {
        let end = self.now_ms + ms;
        while !holds(self) {
            if self.queue.peek().is_none_or(|Reverse((at, _))| *at > end) {
                self.now_ms = end;
                return false;
            }
            self.step();
        }
        true
    }

    fn step(&mut self) {
        let Some(Reverse((at, serial))) = self.queue.pop() else {
            return;
        };
        self.now_ms = at;
        if let Some(event) = self.events.remove(&serial) {
            self.handle(event);
        }
    }

    fn after(&mut self, ms: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now_ms + ms, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Schedules the delivery of a message over a link, unless the link is cut.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if !self.cut.contains(&(from, to)) {
            let same_region = self.region(from) == self.region(to);
            self.after(
                if same_region {
                    SAME_REGION_LATENCY_MS
                } else {
                    CROSS_REGION_LATENCY_MS
                },
                event,
            );
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        let find = |net: &Net, node| net.index.get(&node).copied();
        match action {
            Action::Heartbeat { to, message } => {
                if let Some(to) = find(self, to) {
                    self.send(
                        at,
                        to,
                        Event::Heartbeat {
                            from: at,
                            to,
                            message,
                        },
                    );
                }
            }
            Action::HeartbeatVia {
                via,
                target,
                message,
            } => {
                if let (Some(via), Some(target)) = (find(self, via), find(self, target)) {
                    let event = Event::Via {
                        from: at,
                        via,
                        target,
                        message,
                    };
                    self.send(at, via, event);
                }
            }
            Action::Push(to) => {
                if let Some(to) = find(self, to) {
                    self.push(at, to);
                }
            }
            Action::Pull(from) => {
                if let Some(to) = find(self, from) {
                    self.counts.config_calls += 1;
                    self.send(at, to, Event::Pull { to, from: at });
                }
            }
            Action::Sync(with) => {
                if let Some(to) = find(self, with) {
                    let state = Box::new(self.daemons[at].node.state(self.now()));
                    let event = Event::Sync {
                        from: at,
                        to,
                        state,
                        reply: false,
                    };
                    self.send(at, to, event);
                }
            }
            Action::Changed { .. } | Action::FactsChanged => {}
        }
    }

    fn count(&mut self, times: u64, req: &impl Serialize, reply: &impl Serialize) {
        if self.cfg.count_bytes {
            self.counts.bytes += times * exchange_bytes(req, reply);
        }
    }

    fn push(&mut self, from: usize, to: usize) {
        self.counts.config_calls += 1;
        self.counts.bytes += HEAD_BYTES as u64 + exchange_bytes(&(), &());
        let generation = self.daemons[from].config.active_generation;
        self.send(
            from,
            to,
            Event::Push {
                to,
                from,
                generation,
            },
        );
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { at, run } => {
                if self.daemons[at].run == run && self.daemons[at].up {
                    self.act(at, Node::tick);
                    self.after(TICK_MS, Event::Tick { at, run });
                }
            }
            Event::Heartbeat { from, to, message } => self.heartbeat(from, to, &message),
            Event::Answer { to, message } => {
                self.act(to, |node, now| node.on_answer(now, &message));
            }
            Event::Via {
                from,
                via,
                target,
                message,
            } => {
                if self.daemons[via].up && !self.cut.contains(&(via, target)) {
                    self.via(from, via, target, &message);
                }
            }
            Event::Sync {
                from,
                to,
                state,
                reply,
            } => self.sync(from, to, &state, reply),
            Event::Push {
                to,
                from,
                generation,
            } => self.on_head_seen(to, generation, Some(from)),
            Event::Pull { to, from } => {
                if self.daemons[to].up {
                    self.push(to, from);
                }
            }
            Event::Text {
                at,
                generation,
                attempt,
            } => self.text(at, generation, attempt),
            Event::TextTimeout { at, attempt } => self.text_timeout(at, attempt),
            Event::ApiHead { at } => self.on_head_seen(at, self.head, None),
        }
    }

    fn heartbeat(&mut self, from: usize, to: usize, message: &PeerMessage) {
        if !self.daemons[to].up {
            return;
        }
        let mut answer = None;
        self.act(to, |node, now| {
            let reply = node.on_heartbeat(now, message);
            answer = Some(reply.message);
            reply.actions
        });
        let Some(answer) = answer else { return };
        self.counts.heartbeats += 1;
        self.count(1, message, &answer);
        let message = Box::new(answer);
        self.send(to, from, Event::Answer { to: from, message });
    }

    /// Relays a heartbeat to the target; the reply returns by the same route.
    fn via(&mut self, from: usize, via: usize, target: usize, message: &PeerMessage) {
        if !self.daemons[target].up {
            return;
        }
        let mut answer = None;
        self.act(target, |node, now| {
            let reply = node.on_heartbeat(now, message);
            answer = Some(reply.message);
            reply.actions
        });
        let Some(answer) = answer else { return };
        self.counts.heartbeats += 2;
        self.count(2, message, &answer);
        let message = Box::new(answer);
        if !self.cut.contains(&(target, via)) {
            self.send(via, from, Event::Answer { to: from, message });
        }
    }

    fn sync(&mut self, from: usize, to: usize, state: &PeerState, reply: bool) {
        if !self.daemons[to].up {
            return;
        }
        self.act(to, |node, now| node.on_state(now, state));
        if !reply {
            let mine = Box::new(self.daemons[to].node.state(self.now()));
            self.counts.syncs += 1;
            self.count(1, state, &*mine);
            let event = Event::Sync {
                from: to,
                to: from,
                state: mine,
                reply: true,
            };
            self.send(to, from, event);
        }
    }

    /// Handles a head reported by a peer (`holder`) or by the object API. As in the daemon, only a
    /// generation above the active one and the pending one is fetched.
    fn on_head_seen(&mut self, at: usize, generation: u64, holder: Option<usize>) {
        let config = self.daemons[at].config;
        if !self.daemons[at].up || generation <= config.active_generation {
            return;
        }
        match config.pending {
            Some(pending) if pending.generation > generation => {}
            // The next attempt fetches from the last peer that reported this generation.
            Some(pending) if pending.generation == generation => {
                let holder = holder.or(pending.holder);
                self.daemons[at].config.pending = Some(Fetch { holder, ..pending });
            }
            _ => self.fetch(at, generation, holder),
        }
    }

    fn fetch(&mut self, at: usize, generation: u64, holder: Option<usize>) {
        let attempt = self.serial;
        self.daemons[at].config.pending = Some(Fetch {
            generation,
            holder,
            attempt,
        });
        let event = Event::Text {
            at,
            generation,
            attempt,
        };
        match holder {
            Some(holder) => {
                self.counts.config_calls += 1;
                let cut = self.cut.contains(&(at, holder)) || self.cut.contains(&(holder, at));
                if self.daemons[holder].up && !cut {
                    let same_region = self.region(at) == self.region(holder);
                    let latency = if same_region {
                        SAME_REGION_LATENCY_MS
                    } else {
                        CROSS_REGION_LATENCY_MS
                    };
                    self.after(2 * latency + CONFIG_CHECK_MS, event);
                }
            }
            None if self.api_reads_left != Some(0) => {
                self.api_reads_left = self.api_reads_left.map(|n| n - 1);
                self.counts.api_reads += 1;
                self.after(API_LATENCY_MS + CONFIG_CHECK_MS, event);
            }
            None => {}
        }
        let wait = if holder.is_some() {
            TEXT_TIMEOUT_MS
        } else {
            RETRY_MS
        };
        self.after(wait, Event::TextTimeout { at, attempt });
    }

    fn text(&mut self, at: usize, generation: u64, attempt: u64) {
        let config = &mut self.daemons[at].config;
        if config.pending.is_some_and(|p| p.attempt == attempt) {
            config.active_generation = generation;
            config.pending = None;
            self.act(at, |node, _| node.on_config_activated(generation));
        }
    }

    fn text_timeout(&mut self, at: usize, attempt: u64) {
        let pending = self.daemons[at].config.pending;
        if let Some(pending) = pending.filter(|p| p.attempt == attempt) {
            self.fetch(at, pending.generation, pending.holder);
        }
    }
}
