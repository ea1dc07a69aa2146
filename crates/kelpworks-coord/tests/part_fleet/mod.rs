//! A fleet in virtual time: daemons with a ledger each, upstreams that end under some parts of prompts and start
//! again, callers of sound and of harmful requests, no two alike.

use kelpworks_coord::crash_ledger::BrokenRun;
use kelpworks_coord::crash_ledger::Config;
use kelpworks_coord::crash_ledger::Crash;
use kelpworks_coord::crash_ledger::CrashLedger;
use kelpworks_coord::crash_ledger::Finding;
use kelpworks_coord::crash_ledger::Lasted;
use kelpworks_coord::crash_ledger::PartCrash;
use kelpworks_coord::crash_ledger::Refusal;
use kelpworks_coord::crash_ledger::TestRuns;
use kelpworks_coord::id::PartId;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::poison::Fingerprint;
use kelpworks_coord::time::Instant;
use kelpworks_coord::time::Span;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Time from a break to the check of its upstream, and to the removal of its registration.
const CHECK_MS: u64 = 50;
const REMOVAL_MS: u64 = 3_000;
/// Time after which an upstream that ended accepts requests again, as another incarnation.
const RESTART_MS: u64 = 3_500;
/// Time between two messages of a daemon, and the time that one takes.
const MESSAGE_INTERVAL_MS: u64 = 50;
const MESSAGE_MS: u64 = 5;
/// Time between two digests of a daemon, to one other, and the longest time that one takes.
const DIGEST_INTERVAL_MS: u64 = 250;
const MAX_DIGEST_MS: u64 = 25;
/// Time for which a digest carries a changed finding.
const RECENT: Span = Span::from_secs(3);
/// Facts of each kind in a message.
const MAX_FACTS: usize = 32;
/// Longest wait for a turn.
const MAX_WAIT_MS: u64 = 1_000;

/// A harmful request that comes again and again, beside others with the same subject.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Repeated {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) subject: PartId,
    /// When it comes first, and the time between two series of copies.
    pub(crate) from_ms: u64,
    pub(crate) interval_ms: u64,
    /// Copies that come at one moment, each at a daemon of its own.
    pub(crate) copies: usize,
}

/// A fleet and its callers.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) daemons: usize,
    pub(crate) upstreams: usize,
    /// Sound requests per second.
    pub(crate) sound_rate: f64,
    /// Parts of sound requests, of which each has one; low numbers are the popular ones.
    pub(crate) subjects: u64,
    /// Time that a sound request runs, in milliseconds.
    pub(crate) run_ms: u64,
    /// Maximum number of attempts of a request.
    pub(crate) attempts: u32,
    /// Harmful parts, and requests per second with each.
    pub(crate) harmful: Vec<PartId>,
    pub(crate) harmful_rate: f64,
    /// When harmful requests begin.
    pub(crate) harmful_from_ms: u64,
    /// Harmful requests that come again.
    pub(crate) repeated: Vec<Repeated>,
    /// Whether the harmful part takes the place of the subject, which is the first part, or follows it.
    pub(crate) is_first: bool,
    /// Upstreams that end together by another cause, and when.
    pub(crate) joint_ends: Option<(u64, usize)>,
    /// How long a harmful request runs before the upstream ends.
    pub(crate) fatal_ms: u64,
    pub(crate) until_ms: u64,
    /// Whether what survives is recorded.
    pub(crate) records_survivals: bool,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            daemons: 7,
            upstreams: 12,
            sound_rate: 100.0,
            subjects: 60,
            run_ms: 2_000,
            attempts: 2,
            harmful: vec![PartId(0xbad0)],
            harmful_rate: 3.0,
            harmful_from_ms: 4_000,
            repeated: Vec::new(),
            is_first: false,
            joint_ends: None,
            fatal_ms: 120,
            until_ms: 16_000,
            records_survivals: true,
        }
    }
}

/// What happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// When upstreams ended under a harmful part.
    pub(crate) ends_ms: Vec<u64>,
    /// Harmful requests that reached an upstream: which, and when.
    pub(crate) harmful_arrivals: Vec<(Fingerprint, u64)>,
    /// Upstreams that ended under a request that comes again: which, and when.
    pub(crate) ends_of: Vec<(Fingerprint, u64)>,
    /// Sound requests: when each came, and whether it was refused because of its parts or itself.
    pub(crate) sound: Vec<(u64, bool)>,
}

impl Outcome {
    /// Returns how many sound requests that came in this time were refused, and how many came.
    pub(crate) fn refused(&self, from_ms: u64, to_ms: u64) -> (usize, usize) {
        let came = self
            .sound
            .iter()
            .filter(|(at, _)| (from_ms..to_ms).contains(at));
        let refused = came.clone().filter(|(_, is_refused)| *is_refused).count();
        (refused, came.count())
    }

    /// Returns when upstreams ended under a request that comes again.
    pub(crate) fn ends_under(&self, fingerprint: Fingerprint) -> Vec<u64> {
        times_of(&self.ends_of, fingerprint)
    }

    /// Returns when a request that comes again reached an upstream.
    pub(crate) fn arrivals_of(&self, fingerprint: Fingerprint) -> Vec<u64> {
        times_of(&self.harmful_arrivals, fingerprint)
    }
}

fn times_of(events: &[(Fingerprint, u64)], fingerprint: Fingerprint) -> Vec<u64> {
    let events = events.iter().filter(|(f, _)| *f == fingerprint);
    events.map(|&(_, ms)| ms).collect()
}

#[derive(Clone, Debug)]
struct Request {
    fingerprint: Fingerprint,
    parts: Vec<PartId>,
    is_harmful: bool,
    attempts: u32,
    /// When it came.
    came_ms: u64,
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    daemon: usize,
    upstream: usize,
    begun_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Upstream {
    id: UpstreamId,
    /// Since when it accepts requests; later than now while it is down.
    up_from_ms: u64,
}

#[derive(Clone, Debug)]
struct Message {
    at_ms: u64,
    to: usize,
    requests: Vec<Crash>,
    parts: Vec<PartCrash>,
}

struct Fleet<'a> {
    plan: &'a Plan,
    rng: StdRng,
    now_ms: u64,
    ledgers: Vec<CrashLedger>,
    /// Test runs that each daemon has granted.
    test_runs: Vec<TestRuns>,
    next_message_ms: Vec<u64>,
    next_digest_ms: Vec<u64>,
    upstreams: Vec<Upstream>,
    next_id: u64,
    runs: Vec<Run>,
    waiting: Vec<(Request, usize)>,
    messages: Vec<Message>,
    /// Upstreams to check or to remove, and when.
    checks: Vec<(u64, UpstreamId, Finding)>,
    outcome: Outcome,
}

/// Plays a plan with the draws of a seed.
pub(crate) fn play(plan: &Plan, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(plan, seed);
    while fleet.now_ms < plan.until_ms {
        fleet.now_ms += STEP_MS;
        fleet.end_jointly();
        fleet.end_runs();
        fleet.decide();
        fleet.exchange();
        fleet.admit();
    }
    fleet.outcome
}

impl<'a> Fleet<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Fleet<'a> {
        let upstreams = (0..plan.upstreams as u64).map(|n| Upstream {
            id: UpstreamId(n),
            up_from_ms: 0,
        });
        Fleet {
            plan,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            ledgers: vec![CrashLedger::new(Config::default()); plan.daemons],
            test_runs: vec![TestRuns::new(Config::default()); plan.daemons],
            next_message_ms: vec![0; plan.daemons],
            next_digest_ms: (0..plan.daemons as u64).map(|n| n * 7).collect(),
            upstreams: upstreams.collect(),
            next_id: 1_000,
            runs: Vec::new(),
            waiting: Vec::new(),
            messages: Vec::new(),
            checks: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn draw_request(&mut self, harmful: Option<PartId>) -> Request {
        self.next_id += 1;
        // Squared, so that low numbers are drawn more often.
        let drawn: f64 = self.rng.random_range(0.0..1.0);
        let subject = PartId((drawn * drawn * self.plan.subjects as f64) as u64);
        let parts = match harmful {
            Some(part) if self.plan.is_first => vec![part],
            Some(part) => vec![subject, part],
            None => vec![subject],
        };
        Request {
            fingerprint: Fingerprint(self.next_id),
            parts,
            is_harmful: harmful.is_some(),
            attempts: 0,
            came_ms: self.now_ms,
        }
    }

    fn comes(&mut self, rate: f64) -> bool {
        self.rng
            .random_bool((rate * STEP_MS as f64 / 1_000.0).min(1.0))
    }

    fn admit(&mut self) {
        let mut requests = std::mem::take(&mut self.waiting);
        if self.comes(self.plan.sound_rate) {
            let request = self.draw_request(None);
            let daemon = self.rng.random_range(0..self.plan.daemons);
            self.outcome.sound.push((self.now_ms, false));
            requests.push((request, daemon));
        }
        if self.now_ms >= self.plan.harmful_from_ms {
            for part in self.plan.harmful.clone() {
                if self.comes(self.plan.harmful_rate) {
                    let request = self.draw_request(Some(part));
                    let daemon = self.rng.random_range(0..self.plan.daemons);
                    requests.push((request, daemon));
                }
            }
        }
        requests.extend(self.copies());
        for (request, daemon) in requests {
            self.start(request, daemon);
        }
    }

    /// Returns the copies of repeated requests that come now.
    fn copies(&mut self) -> Vec<(Request, usize)> {
        let mut copies = Vec::new();
        for repeated in &self.plan.repeated {
            let Some(since_ms) = self.now_ms.checked_sub(repeated.from_ms) else {
                continue;
            };
            if !since_ms.is_multiple_of(repeated.interval_ms) {
                continue;
            }
            let first = self.rng.random_range(0..self.plan.daemons);
            for n in 0..repeated.copies {
                let request = Request {
                    fingerprint: repeated.fingerprint,
                    parts: vec![repeated.subject],
                    is_harmful: true,
                    attempts: 0,
                    came_ms: self.now_ms,
                };
                copies.push((request, (first + n) % self.plan.daemons));
            }
        }
        copies
    }

    /// Starts a request, has it wait or refuses it.
    fn start(&mut self, request: Request, daemon: usize) {
        let now = self.now();
        let ledger = &self.ledgers[daemon];
        let of_parts = ledger.refusal_of_parts(&request.parts, now);
        let refusal = of_parts.map(|(_, refusal)| refusal);
        match refusal.or_else(|| ledger.refusal(request.fingerprint, now)) {
            Some(Refusal::WaitsForTurn(_)) if self.now_ms < request.came_ms + MAX_WAIT_MS => {
                self.waiting.push((request, daemon));
                return;
            }
            Some(_) => return self.refuse(&request),
            None => {}
        }
        let is_up = |n: &usize| self.upstreams[*n].up_from_ms <= self.now_ms;
        let up: Vec<usize> = (0..self.upstreams.len()).filter(is_up).collect();
        if up.is_empty() {
            return;
        }
        if ledger.needs_test_run(request.fingerprint) {
            let owner = request.fingerprint.0 as usize % self.plan.daemons;
            let wait = self.test_runs[owner].grant(request.fingerprint, now);
            if wait.is_some() {
                return self.refuse(&request);
            }
        }
        let upstream = up[self.rng.random_range(0..up.len())];
        if request.is_harmful {
            let arrival = (request.fingerprint, self.now_ms);
            self.outcome.harmful_arrivals.push(arrival);
        }
        self.runs.push(Run {
            request,
            daemon,
            upstream,
            begun_ms: self.now_ms,
        });
    }

    fn refuse(&mut self, request: &Request) {
        if request.is_harmful {
            return;
        }
        let mut sound = self.outcome.sound.iter_mut().rev();
        if let Some(entry) = sound.find(|(at, _)| *at == request.came_ms) {
            entry.1 = true;
        }
    }

    fn end_jointly(&mut self) {
        let Some((at_ms, count)) = self.plan.joint_ends else {
            return;
        };
        if (at_ms..at_ms + STEP_MS).contains(&self.now_ms) {
            for upstream in 0..count {
                self.end_upstream(upstream);
            }
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let fatal_ms = self.plan.fatal_ms;
        let is_fatal = |r: &Run| r.request.is_harmful && now_ms >= r.begun_ms + fatal_ms;
        while let Some(run) = self.runs.iter().find(|r| is_fatal(r)) {
            let upstream = run.upstream;
            let end = (run.request.fingerprint, now_ms);
            self.outcome.ends_of.push(end);
            self.outcome.ends_ms.push(now_ms);
            self.end_upstream(upstream);
        }
        let run_ms = self.plan.run_ms;
        let (done, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| now_ms >= r.begun_ms + run_ms);
        self.runs = running;
        let now = self.now();
        for run in &self.runs {
            let lasted = Span::from_millis(now_ms - run.begun_ms);
            let is_due = lasted.as_millis().is_multiple_of(1_000) && lasted > Span::ZERO;
            if is_due && self.plan.records_survivals {
                let begun = Instant::from_millis(run.begun_ms);
                let ledger = &mut self.ledgers[run.daemon];
                ledger.record_survival(&run.request.parts, begun, Lasted::For(lasted), now);
            }
        }
        let done: Vec<Run> = done;
        for run in done {
            let begun = Instant::from_millis(run.begun_ms);
            let ledger = &mut self.ledgers[run.daemon];
            ledger.clear(run.request.fingerprint, now);
            if self.plan.records_survivals {
                ledger.record_survival(&run.request.parts, begun, Lasted::ToItsEnd, now);
            }
        }
    }

    /// Ends an upstream. What ran there goes on elsewhere.
    fn end_upstream(&mut self, upstream: usize) {
        let now = self.now();
        let id = self.upstreams[upstream].id;
        self.next_id += 1;
        self.upstreams[upstream] = Upstream {
            id: UpstreamId(self.next_id),
            up_from_ms: self.now_ms + RESTART_MS,
        };
        let (broken, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| r.upstream == upstream);
        self.runs = running;
        let broken: Vec<Run> = broken;
        for mut run in broken {
            let broken = BrokenRun {
                fingerprint: run.request.fingerprint,
                parts: &run.request.parts,
                upstream: id,
                finding: Finding::Broken,
                begun: Some(Instant::from_millis(run.begun_ms)),
                is_answered: true,
            };
            self.ledgers[run.daemon].record_run(broken, now);
            run.request.attempts += 1;
            if run.request.attempts < self.plan.attempts {
                run.request.came_ms = match run.request.is_harmful {
                    true => self.now_ms,
                    false => run.request.came_ms,
                };
                self.waiting.push((run.request, run.daemon));
            }
        }
        let checks = [(CHECK_MS, Finding::Broken), (REMOVAL_MS, Finding::Ended)];
        let checks = checks.map(|(after, finding)| (self.now_ms + after, id, finding));
        self.checks.extend(checks);
    }

    /// Has the daemons learn what connections and registrations show.
    fn decide(&mut self) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.checks)
            .into_iter()
            .partition(|(at, _, _)| *at <= self.now_ms);
        self.checks = later;
        for (_, upstream, finding) in due {
            for ledger in &mut self.ledgers {
                match finding {
                    Finding::Ended => ledger.record_ended(upstream, now),
                    _ => ledger.record_silent(upstream, now),
                };
            }
        }
    }

    fn exchange(&mut self) {
        let now = self.now();
        for from in 0..self.ledgers.len() {
            if self.now_ms < self.next_message_ms[from] || !self.ledgers[from].has_news() {
                continue;
            }
            self.next_message_ms[from] = self.now_ms + MESSAGE_INTERVAL_MS;
            let requests = self.ledgers[from].take_news(MAX_FACTS, now);
            let parts = self.ledgers[from].take_news_of_parts(MAX_FACTS, now);
            for to in (0..self.ledgers.len()).filter(|&to| to != from) {
                self.messages.push(Message {
                    at_ms: self.now_ms + MESSAGE_MS,
                    to,
                    requests: requests.clone(),
                    parts: parts.clone(),
                });
            }
        }
        self.send_digests();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|m| m.at_ms <= self.now_ms);
        self.messages = later;
        for message in due {
            let ledger = &mut self.ledgers[message.to];
            ledger.merge_all(message.requests, now);
            ledger.merge_parts(message.parts, now);
        }
    }

    /// Has each daemon report to another one, which takes longer the busier it is.
    fn send_digests(&mut self) {
        let now = self.now();
        for from in 0..self.ledgers.len() {
            if self.now_ms < self.next_digest_ms[from] || self.ledgers.len() < 2 {
                continue;
            }
            self.next_digest_ms[from] = self.now_ms + DIGEST_INTERVAL_MS;
            let distance = self.rng.random_range(1..self.ledgers.len());
            let ledger = &mut self.ledgers[from];
            self.messages.push(Message {
                at_ms: self.now_ms + self.rng.random_range(1..=MAX_DIGEST_MS),
                to: (from + distance) % self.plan.daemons,
                requests: ledger.report(MAX_FACTS, 1, RECENT, now),
                parts: ledger.report_parts(MAX_FACTS, 1, RECENT, now),
            });
        }
    }
}
