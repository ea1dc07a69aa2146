//! Daemons' state machines on a virtual clock: messages take time, links and daemons fail.
//!
//! Drives the same [`Node`] that the daemon drives, so what is measured or tested here are its
//! decisions. Only what surrounds it is modelled: latencies, the object API, and the time to fetch
//! and read a configuration.

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
/// One-way latency between daemons of one region, and of two.
const SAME_REGION_LATENCY_MS: u64 = 1;
const CROSS_REGION_LATENCY_MS: u64 = 15;
/// The object API's answer.
const API_LATENCY_MS: u64 = 4;
/// Checking and reading a register and rules.
const CONFIG_CHECK_MS: u64 = 10;
/// Wait for a text from a peer before another is asked.
const TEXT_TIMEOUT_MS: u64 = 2_000;
/// Pause before a failed fetch is made again.
const RETRY_MS: u64 = 500;
/// Failure domains of a region.
const DOMAINS_PER_REGION: usize = 2;
/// JSON of a head, for the count of bytes.
const HEAD_BYTES: usize = 260;

/// What a daemon holds of the configuration.
#[derive(Clone, Copy, Debug, Default)]
struct Configuration {
    active_generation: u64,
    /// Being fetched; above `in_force`.
    pending: Option<Fetch>,
}

#[derive(Clone, Copy, Debug)]
struct Fetch {
    generation: u64,
    /// Who told of it; `None` for the object API.
    holder: Option<usize>,
    /// Rises with each attempt, so that an old timeout is told from a new one.
    attempt: u64,
}

struct Daemon {
    node: Node,
    up: bool,
    config: Configuration,
    /// Incarnation of the slot; events of an earlier run are void.
    run: u64,
}

/// Something that happens at a time.
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

/// Messages and bytes between daemons, and calls of the object API.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// Calls that carry the configuration: pushes, pulls and texts.
    pub(crate) config_calls: u64,
    /// Heartbeats, passed on ones too.
    pub(crate) heartbeats: u64,
    /// Exchanges of whole states.
    pub(crate) syncs: u64,
    /// Bytes of heartbeats, states and heads with their answers; each is sent once and received
    /// once.
    pub(crate) bytes: u64,
    /// Reads of the object API for the head and the texts.
    pub(crate) api_reads: u64,
}

/// What differs between runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetConfig {
    pub(crate) daemons: usize,
    /// 1 or 2; a region has [`DOMAINS`] failure domains, or 3 where there is but one.
    pub(crate) regions: usize,
    pub(crate) node: Config,
    /// Every daemon watches the object API, whatever the node says.
    pub(crate) all_watch: bool,
    /// Whether [`Counts::bytes`] is worked out, which takes most of the time.
    pub(crate) count_bytes: bool,
    pub(crate) seed: u64,
}

/// The daemons and what lies between them.
pub(crate) struct Net {
    cfg: NetConfig,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    daemons: Vec<Daemon>,
    index: BTreeMap<NodeId, usize>,
    /// Links that let nothing through, from one daemon to another.
    cut: BTreeSet<(usize, usize)>,
    /// Generation of the head in the object API.
    head: u64,
    /// Reads of a generation that the object API still answers before it is out.
    api_reads_left: Option<u64>,
    pub(crate) counts: Counts,
    rng: StdRng,
}

impl Net {
    /// Daemons that all know of each other, each at a random phase of its ticks.
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
            // The digits of a time in milliseconds, for the count of bytes.
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

    /// Region that a daemon stands in.
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

    /// A daemon's state machine, while it is up.
    pub(crate) fn node(&self, at: usize) -> Option<&Node> {
        self.daemons.get(at).filter(|d| d.up).map(|d| &d.node)
    }

    /// Lets a daemon's state machine do something.
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

    /// Ends a daemon without a word.
    pub(crate) fn crash(&mut self, at: usize) {
        self.daemons[at].up = false;
    }

    /// Starts a daemon anew; it finds the others by the object API's list.
    pub(crate) fn restart(&mut self, at: usize) {
        let started = 1_000 + self.now_ms;
        self.add(at, started);
        let contacts = self.contacts();
        self.act(at, |node, now| node.on_member_list(now, &contacts));
    }

    /// Cuts a link one way, or lets it through again.
    pub(crate) fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        match cut {
            true => self.cut.insert((from, to)),
            false => self.cut.remove(&(from, to)),
        };
    }

    /// Cuts a share of all links, both ways.
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

    /// Daemons that watch the object API now.
    pub(crate) fn watchers(&self) -> Vec<usize> {
        let watches = |d: &Daemon| d.up && (self.cfg.all_watch || d.node.is_watcher());
        let all = self.daemons.iter().enumerate();
        all.filter(|(_, d)| watches(d)).map(|(at, _)| at).collect()
    }

    /// Swaps the head; the object API is out after so many daemons have read it all.
    pub(crate) fn swap(&mut self, readers_before_outage: Option<u64>) {
        self.head += 1;
        self.api_reads_left = readers_before_outage;
        for at in self.watchers() {
            let late = self.rng.random_range(0..API_LATENCY_MS);
            self.after(API_LATENCY_MS + late, Event::ApiHead { at });
        }
    }

    /// Daemons that are up and have the newest head in force.
    pub(crate) fn daemons_up_to_date(&self) -> usize {
        let up = self.daemons.iter().filter(|d| d.up);
        up.filter(|d| d.config.active_generation == self.head)
            .count()
    }

    /// Daemons that are up.
    pub(crate) fn daemons_up(&self) -> usize {
        self.daemons.iter().filter(|d| d.up).count()
    }

    /// Lets time pass.
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

    /// Lets time pass until a condition holds, at most `ms`; tells whether it did.
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

    /// Sends over a link, unless it is cut.
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

    /// Passes a heartbeat on; the answer comes back the same way.
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

    /// A head was seen; as the daemon's follower, only a higher generation is fetched.
    fn on_head_seen(&mut self, at: usize, generation: u64, holder: Option<usize>) {
        let config = self.daemons[at].config;
        if !self.daemons[at].up || generation <= config.active_generation {
            return;
        }
        match config.pending {
            Some(pending) if pending.generation > generation => {}
            // Whoever told of it last is asked at the next attempt.
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
