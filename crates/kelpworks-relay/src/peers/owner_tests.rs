//! Simulation of what daemons believe about the owners of addresses, while upstreams start, crash and take over
//! addresses, daemons stand still, and digests arrive late, twice and out of order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kelpworks_coord::id::Version;
use proptest::collection::vec;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::Digest;
use super::EXCHANGE_INTERVAL;
use super::Peers;
use super::members::Audience;
use super::tests::engine;
use super::tests::peers;
use crate::adapter::StartTime;
use crate::adapter::UpstreamEntry;
use crate::adapter::incarnation;
use crate::owner_checks::Schedule;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Time after which the entry of an upstream that has ended is removed: three heartbeats.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_600);
/// Interval at which a daemon looks for entries to check.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last change within which all daemons use each upstream that is up: the entries of former ones are
/// removed, and the longest delay of a check has passed twice, as the first check may come before that.
const BOUND: Duration = Duration::from_secs(24);
/// Partners of a daemon in each exchange.
const PARTNERS: usize = 2;
/// Fraction of requests in each step, by daemon and address.
const REQUEST_RATE: f64 = 0.02;
/// Fraction of digests that arrive a second time, later.
const COPY_RATE: f64 = 0.1;
/// Longest delay of a digest.
const MAX_DELAY_MS: u64 = 700;
const ADDRESSES: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// An upstream starts at an address, under the id of the one before if `same_id`, and registers some time later.
    Start {
        address: usize,
        same_id: bool,
        registers_after_ms: u64,
    },
    /// The upstream at an address ends; its entry stays for a while.
    End {
        address: usize,
    },
    /// A daemon stands still.
    Stop {
        daemon: usize,
        for_ms: u64,
    },
    Wait {
        ms: u64,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let start = (0..ADDRESSES, any::<bool>(), 0_u64..1_200);
    let event = prop_oneof![
        4 => start.prop_map(|(address, same_id, registers_after_ms)| Event::Start {
            address,
            same_id,
            registers_after_ms,
        }),
        3 => (0..ADDRESSES).prop_map(|address| Event::End { address }),
        1 => (any::<prop::sample::Index>(), 500_u64..6_000)
            .prop_map(|(daemon, for_ms)| Event::Stop { daemon: daemon.index(69), for_ms }),
        4 => (50_u64..1_500).prop_map(|ms| Event::Wait { ms }),
    ];
    vec(event, 1..40)
}

/// An upstream that is up.
#[derive(Clone, Debug)]
struct Upstream {
    id: Arc<str>,
    start: Option<StartTime>,
    registers_at: Instant,
}

struct World {
    daemons: Vec<Peers>,
    schedules: Vec<Schedule>,
    stopped_until: Vec<Instant>,
    up: BTreeMap<usize, Upstream>,
    /// Entries of the store by id, with the time of their removal.
    registered: BTreeMap<Arc<str>, (UpstreamEntry, Option<Instant>)>,
    version: u64,
    /// Version of the entries that each daemon has.
    read: Vec<u64>,
    /// Digests under way: when they arrive, and at which daemon.
    in_transit: Vec<(Instant, usize, Digest)>,
    /// Difference of the clock of each address's host, in milliseconds.
    skews: [u64; ADDRESSES],
    has_starts: bool,
    started: Instant,
    ids: usize,
    rng: StdRng,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 9_000))
}

impl World {
    fn new(daemons: usize, has_starts: bool, seed: u64) -> World {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        World {
            daemons: (0..daemons).map(peers).collect(),
            schedules: vec![Schedule::default(); daemons],
            stopped_until: vec![now; daemons],
            up: BTreeMap::new(),
            registered: BTreeMap::new(),
            version: 0,
            read: vec![0; daemons],
            in_transit: Vec::new(),
            skews: std::array::from_fn(|_| rng.random_range(0..4_000)),
            has_starts,
            started: now,
            ids: 0,
            rng,
        }
    }

    async fn apply(&mut self, event: Event) {
        let now = Instant::now();
        match event {
            Event::Start {
                address,
                same_id,
                registers_after_ms,
            } => self.start(address, same_id, registers_after_ms),
            Event::End { address } => self.end(address),
            Event::Stop { daemon, for_ms } => {
                let daemon = daemon % self.daemons.len();
                self.stopped_until[daemon] = now + Duration::from_millis(for_ms);
            }
            Event::Wait { ms } => self.run(Duration::from_millis(ms)).await,
        }
    }

    fn start(&mut self, number: usize, same_id: bool, registers_after_ms: u64) {
        self.end(number);
        let now = Instant::now();
        let ms = now.duration_since(self.started).as_millis() as u64;
        let start = StartTime(1_000_000 + ms + self.skews[number]);
        let former = self
            .registered
            .values()
            .find(|(e, _)| e.address == address(number));
        let former = former.map(|(e, _)| (Arc::clone(&e.id), e.start));
        // Without a start time, an upstream has a new id after each start.
        let kept = former.filter(|(_, before)| same_id && *before < Some(start));
        let id = match kept.filter(|_| self.has_starts) {
            Some((id, _)) => id,
            None => {
                self.ids += 1;
                Arc::from(format!("s-{}", self.ids))
            }
        };
        let upstream = Upstream {
            id,
            start: self.has_starts.then_some(start),
            registers_at: now + Duration::from_millis(registers_after_ms),
        };
        self.up.insert(number, upstream);
    }

    fn end(&mut self, number: usize) {
        let Some(ended) = self.up.remove(&number) else {
            return;
        };
        if let Some((_, until)) = self.registered.get_mut(&ended.id) {
            *until = Some(Instant::now() + REGISTRATION_TTL);
        }
    }

    fn entry(number: usize, upstream: &Upstream) -> UpstreamEntry {
        UpstreamEntry {
            id: Arc::clone(&upstream.id),
            start: upstream.start,
            instance: incarnation(&upstream.id, upstream.start),
            service: Arc::from(format!("service-{number}")),
            address: address(number),
            ..engine()
        }
    }

    async fn run(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            sleep_until(Instant::now() + STEP).await;
            self.step();
        }
    }

    fn step(&mut self) {
        self.update_registrations();
        for daemon in 0..self.daemons.len() {
            if Instant::now() >= self.stopped_until[daemon] {
                self.read_registrations(daemon);
                self.read_digests(daemon);
                self.send_requests(daemon);
                self.check_owners(daemon);
                self.send_digests(daemon);
            }
        }
    }

    fn update_registrations(&mut self) {
        let now = Instant::now();
        let before = self.registered.len();
        self.registered
            .retain(|_, (_, until)| until.is_none_or(|at| now < at));
        let mut is_changed = self.registered.len() != before;
        for (&number, upstream) in &self.up {
            let entry = World::entry(number, upstream);
            let known = self.registered.get(&upstream.id).map(|(e, _)| e);
            if upstream.registers_at <= now && known != Some(&entry) {
                self.registered
                    .insert(Arc::clone(&upstream.id), (entry, None));
                is_changed = true;
            }
        }
        self.version += u64::from(is_changed);
    }

    fn read_registrations(&mut self, daemon: usize) {
        if self.read[daemon] == self.version {
            return;
        }
        self.read[daemon] = self.version;
        let entries = self.registered.values().map(|(e, _)| e.clone()).collect();
        let mut fleet = self.daemons[daemon].shared.fleet();
        fleet.replace(entries, Version::initial(self.version), Instant::now());
    }

    fn read_digests(&mut self, daemon: usize) {
        let now = Instant::now();
        let is_due = |(at, to, _): &(Instant, usize, Digest)| *to == daemon && *at <= now;
        let (due, rest) = self.in_transit.drain(..).partition(is_due);
        self.in_transit = rest;
        let due: Vec<(Instant, usize, Digest)> = due;
        for (_, _, digest) in due {
            self.daemons[daemon].learn_digest(&digest);
        }
    }

    /// Sends requests to the upstreams in effect; others at their addresses refuse them and name themselves.
    fn send_requests(&mut self, daemon: usize) {
        let shared = &self.daemons[daemon].shared;
        for (number, upstream) in &self.up {
            let entries = shared.fleet().entries();
            let meant = entries.iter().find(|e| e.address == address(*number));
            let is_sent = self.rng.random_bool(REQUEST_RATE);
            if is_sent && meant.is_some_and(|e| e.id != upstream.id) {
                shared.learn_address_owner(address(*number), &upstream.id, Instant::now());
            }
        }
    }

    fn check_owners(&mut self, daemon: usize) {
        let now = Instant::now();
        let since_start = now.duration_since(self.started).as_millis();
        if !since_start.is_multiple_of(CHECK_INTERVAL.as_millis()) {
            return;
        }
        let shared = &self.daemons[daemon].shared;
        let entries = shared.fleet().without_address();
        let rng = &mut self.rng;
        let due = self.schedules[daemon].due(entries, self.daemons.len(), now, || rng.random());
        for entry in due {
            let at_address = self.up.iter().find(|(n, _)| address(**n) == entry.address);
            if let Some((_, upstream)) = at_address {
                shared.learn_address_owner(entry.address, &upstream.id, now);
            }
        }
    }

    fn send_digests(&mut self, daemon: usize) {
        let now = Instant::now();
        let since_start = now.duration_since(self.started).as_millis();
        if !since_start.is_multiple_of(EXCHANGE_INTERVAL.as_millis()) {
            return;
        }
        let digest = self.daemons[daemon].digest(&Audience::unknown());
        for _ in 0..PARTNERS {
            let to = self.rng.random_range(0..self.daemons.len());
            if to == daemon {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(COPY_RATE));
            for _ in 0..copies {
                let delay = Duration::from_millis(self.rng.random_range(0..MAX_DELAY_MS));
                self.in_transit.push((now + delay, to, digest.clone()));
            }
        }
    }

    /// Returns the upstreams that are up and registered and that a daemon does not use.
    fn unused(&self) -> Vec<(usize, Arc<str>)> {
        let mut unused = Vec::new();
        for (number, daemon) in self.daemons.iter().enumerate() {
            let fleet = daemon.shared.fleet();
            for upstream in self.up.values() {
                let instance = incarnation(&upstream.id, upstream.start);
                if fleet.key_of(&instance).is_none() {
                    unused.push((number, instance));
                }
            }
        }
        unused
    }
}

/// Plays events in a fleet and returns the upstreams that are up and not used, by daemon, after the bound.
fn play(daemons: usize, has_starts: bool, seed: u64, events: &[Event]) -> Vec<(usize, Arc<str>)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut world = World::new(daemons, has_starts, seed);
        for &event in events {
            world.apply(event).await;
        }
        world.run(BOUND).await;
        world.unused()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against a report that is read late and takes an upstream out of use for good.
    #[test]
    fn upstreams_that_answer_are_used_by_two_daemons(
        has_starts: bool,
        seed: u64,
        events in events(),
    ) {
        prop_assert_eq!(play(2, has_starts, seed, &events), Vec::new());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// The same in a fleet that talks in turns.
    #[test]
    fn upstreams_that_answer_are_used_by_nine_daemons(
        has_starts: bool,
        seed: u64,
        events in events(),
    ) {
        prop_assert_eq!(play(9, has_starts, seed, &events), Vec::new());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2))]

    /// The same in a fleet where reports pass several daemons.
    #[test]
    fn upstreams_that_answer_are_used_by_sixty_nine_daemons(
        has_starts: bool,
        seed: u64,
        events in events(),
    ) {
        prop_assert_eq!(play(69, has_starts, seed, &events), Vec::new());
    }
}
