//! The state machine of admission, free of tasks and clocks. Callers pass the time to each call
//! and fetch the resulting events with [`Queue::next_event`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::admission::AdmissionRequest;
use crate::admission::Refusal;
use crate::admission::Result;
use crate::admission::config::Config;
use crate::admission::fair::FairQueue;
use crate::admission::fair::WaitingKey;
use crate::admission::limit::Demand;
use crate::admission::limit::Limits;
use crate::admission::trial::TrialShare;
use kelpworks_wire::Class;

/// Factor by which each completed request decays the sums of [`SlotThroughput`].
const THROUGHPUT_DECAY: f64 = 0.95;

new_key_type! {
    /// Key of a request that waits or is in service.
    pub struct Ticket;
}

/// A change of the state of a request that its caller has to act on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The request left the queue and may start.
    Admitted(Ticket),
    /// The paused trial may run tokens again.
    Resumed(Ticket),
}

/// A request that waits or is in service.
#[derive(Debug)]
struct Entry {
    team: Arc<str>,
    class: Class,
    cost: u32,
    /// Time of its arrival while it waits, then of the start of its service.
    since: Duration,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting(WaitingKey),
    /// In service, with its rank in the order of admission.
    Running(u64),
    /// A trial in service that is paused between tokens, with its rank in the order of admission.
    Paused(u64),
}

/// Throughput of a slot: decayed sums of the cost and of the time of completed requests.
#[derive(Clone, Copy, Debug, Default)]
struct SlotThroughput {
    cost: f64,
    seconds: f64,
}

/// Admission queues and limits of one daemon, free of tasks and clocks.
///
/// All times are durations since one fixed moment and must not decrease from call to call.
///
/// ```
/// use std::time::Duration;
///
/// use kelpworks::admission::AdmissionRequest;
/// use kelpworks::admission::Config;
/// use kelpworks::admission::Event;
/// use kelpworks::admission::Queue;
/// use kelpworks_wire::Class;
///
/// let mut queue = Queue::new(Config::default());
/// let request = AdmissionRequest { team: "sellers", class: Class::Paying, weight: 1, cost: 100 };
/// let ticket = queue.offer(Duration::ZERO, &request)?;
/// assert_eq!(queue.next_event(), Some(Event::Admitted(ticket)));
/// queue.finish(Duration::from_secs(1), ticket, None);
/// # Ok::<(), kelpworks::admission::Refusal>(())
/// ```
#[derive(Debug)]
pub struct Queue {
    cfg: Config,
    entries: SlotMap<Ticket, Entry>,
    paying: FairQueue<Ticket>,
    trial: FairQueue<Ticket>,
    limits: Limits,
    share: TrialShare,
    /// Number of paying requests in service.
    paying_running: u32,
    /// Trials in service that are not paused, by rank; all are older than the paused ones.
    running: BTreeMap<u64, Ticket>,
    /// Trials in service that are paused between tokens, by rank.
    paused: BTreeMap<u64, Ticket>,
    next_rank: u64,
    paying_throughput: SlotThroughput,
    trial_throughput: SlotThroughput,
    events: VecDeque<Event>,
    next_adjust: Duration,
    /// Longest wait of the paying requests admitted since the last adjustment.
    paying_wait: Duration,
    demand: Demand,
    rng: StdRng,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(cfg: Config) -> Queue {
        let rng = match cfg.seed {
            Some(seed) => StdRng::seed_from_u64(seed),
            None => StdRng::from_rng(&mut rand::rng()),
        };
        Queue {
            limits: Limits::new(&cfg),
            next_adjust: cfg.interval,
            cfg,
            entries: SlotMap::with_key(),
            paying: FairQueue::default(),
            trial: FairQueue::default(),
            share: TrialShare::new(),
            paying_running: 0,
            running: BTreeMap::new(),
            paused: BTreeMap::new(),
            next_rank: 0,
            paying_throughput: SlotThroughput::default(),
            trial_throughput: SlotThroughput::default(),
            events: VecDeque::new(),
            paying_wait: Duration::ZERO,
            demand: Demand::default(),
            rng,
        }
    }

    /// Queues a request. It may start once [`Event::Admitted`] carries its ticket, which may be
    /// the next event already.
    ///
    /// # Errors
    ///
    /// Refuses the request when its expected delay is too long or a queue is full. The queues are
    /// unchanged then.
    pub fn offer(&mut self, now: Duration, request: &AdmissionRequest<'_>) -> Result<Ticket> {
        self.adjust_if_due(now);
        self.check(now, request)?;
        let ticket = self.entries.insert(Entry {
            team: Arc::from(request.team),
            class: request.class,
            cost: request.cost,
            since: now,
            state: State::Running(0),
        });
        let queue = self.waiting_queue(request.class);
        let key = queue.push(request.team, request.weight, request.cost, ticket);
        self.entries[ticket].state = State::Waiting(key);
        self.dispatch(now);
        Ok(ticket)
    }

    /// Removes a request that waits or is in service. `used` is its actual cost, if known; the
    /// rest of the cost that it was admitted with is refunded.
    pub fn finish(&mut self, now: Duration, ticket: Ticket, used: Option<u32>) {
        self.adjust_if_due(now);
        let Some(entry) = self.entries.remove(ticket) else {
            return;
        };
        match entry.state {
            State::Waiting(key) => self.waiting_queue(entry.class).remove(key),
            State::Running(rank) | State::Paused(rank) => {
                self.release_slot(rank, &entry);
                self.record_completion(now, &entry, used);
            }
        }
        self.dispatch(now);
    }

    /// Removes a request that has waited longer than [`Queue::max_wait`] and returns its refusal,
    /// or `None` when the request is not waiting.
    pub fn time_out(&mut self, now: Duration, ticket: Ticket) -> Option<Refusal> {
        let entry = self.entries.get(ticket)?;
        let State::Waiting(_) = entry.state else {
            return None;
        };
        let delay = self.max_wait(entry.class).as_secs_f64();
        self.finish(now, ticket, None);
        Some(self.refusal(delay, "waited too long"))
    }

    /// Maximum time that a request of a class waits before it is refused.
    pub fn max_wait(&self, class: Class) -> Duration {
        self.max_expected_delay(class) * self.cfg.max_wait_factor.max(1)
    }

    /// Maximum pause of a trial between two tokens, for the current number of paused trials.
    pub fn trial_pause(&self) -> Duration {
        self.limits
            .pause(self.paused.len())
            .max(self.cfg.trial_pause)
    }

    /// Removes and returns the oldest event that was not fetched yet.
    pub fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Whether a request may run its next token: false for paused trials only.
    pub fn may_run(&self, ticket: Ticket) -> bool {
        let entry = self.entries.get(ticket);
        entry.is_none_or(|e| !matches!(e.state, State::Paused(_)))
    }

    /// Records the time of one token of a request over the whole pipeline.
    pub fn observe_token(&mut self, now: Duration, class: Class, token: Duration) {
        self.limits.observe(class, token);
        self.adjust_if_due(now);
    }

    /// Sets the rate, in positions per second, at which this daemon starts trials; infinite for no
    /// bound.
    pub fn set_trial_rate(&mut self, now: Duration, rate: f64) {
        self.share.set_rate(now, rate);
        self.dispatch(now);
    }

    /// Adjusts the limits if an interval has passed, and starts the requests that may start now.
    pub fn poll(&mut self, now: Duration) {
        self.adjust_if_due(now);
        self.dispatch(now);
    }

    /// Current maximum number of paying requests in service.
    pub fn paying_limit(&self) -> u32 {
        self.limits.paying()
    }

    /// Current number of requests of both classes in service up to which trials run.
    pub fn trial_ceiling(&self) -> u32 {
        self.limits.trial_ceiling()
    }

    /// Number of waiting requests of a class.
    pub fn waiting(&self, class: Class) -> u32 {
        match class {
            Class::Paying => self.paying.len(),
            Class::Trial => self.trial.len(),
        }
    }

    /// Number of requests of a class in service, paused trials included.
    pub fn in_service(&self, class: Class) -> u32 {
        match class {
            Class::Paying => self.paying_running,
            Class::Trial => (self.running.len() + self.paused.len()) as u32,
        }
    }

    fn waiting_queue(&mut self, class: Class) -> &mut FairQueue<Ticket> {
        match class {
            Class::Paying => &mut self.paying,
            Class::Trial => &mut self.trial,
        }
    }

    fn max_expected_delay(&self, class: Class) -> Duration {
        match class {
            Class::Paying => self.cfg.max_paying_delay,
            Class::Trial => self.cfg.max_trial_delay,
        }
    }

    /// Refuses a request whose expected delay is too long or whose queue is full. The delay is
    /// estimated from the cost that is served before the request, not from the length of the
    /// queue, because the costs of requests differ by a factor of a thousand.
    fn check(&mut self, now: Duration, request: &AdmissionRequest<'_>) -> Result<()> {
        let delay = self.expected_delay(now, request);
        let max_delay = self.max_expected_delay(request.class).as_secs_f64();
        if delay > max_delay {
            return Err(self.refusal(delay - max_delay, "expected queue delay too long"));
        }
        let queue = self.waiting_queue(request.class);
        let (len, team_len) = (queue.len(), queue.team_len(request.team));
        if len >= self.cfg.max_waiting {
            return Err(self.refusal(delay, "queue full"));
        }
        if team_len >= self.cfg.max_team_waiting {
            return Err(self.refusal(delay, "queue of the team full"));
        }
        Ok(())
    }

    /// Expected queue delay of a request, in seconds.
    fn expected_delay(&mut self, now: Duration, request: &AdmissionRequest<'_>) -> f64 {
        match request.class {
            Class::Paying => {
                let slots = self.limits.paying();
                if self.paying.is_empty() && self.paying_running < slots {
                    return 0.0;
                }
                let ahead = self.paying.cost_ahead(request.team, request.weight);
                self.paying_throughput.drain_seconds(ahead, slots)
            }
            Class::Trial => self.expected_trial_delay(now, request),
        }
    }

    fn expected_trial_delay(&mut self, now: Duration, request: &AdmissionRequest<'_>) -> f64 {
        let slots = self.trial_slots();
        if slots == 0 {
            self.demand.trials_waited = true;
            let paying = self
                .paying_throughput
                .drain_seconds(self.paying.cost(), self.limits.paying());
            return paying + 2.0 * self.cfg.max_trial_delay.as_secs_f64();
        }
        let ahead = self.trial.cost_ahead(request.team, request.weight);
        let by_rate = self.share.delay(now, ahead as f64);
        if self.trial.is_empty() && self.in_service(Class::Trial) < slots {
            return by_rate;
        }
        self.demand.trials_waited = true;
        by_rate.max(self.trial_throughput.drain_seconds(ahead, slots))
    }

    /// Number of trials that may run: the part of the trial ceiling that paying requests leave
    /// free, times the backstop.
    fn trial_slots(&self) -> u32 {
        let paying = self.paying_running + self.paying.len();
        let free = self.limits.trial_ceiling().saturating_sub(paying);
        (f64::from(free) * self.share.backstop()).ceil() as u32
    }

    fn refusal(&mut self, delay: f64, reason: &'static str) -> Refusal {
        let (min_retry_after, max_retry_after) = self.cfg.retry_after;
        // The jitter only lengthens the delay: a retry before the estimated time is refused again.
        let jittered = delay.max(min_retry_after.as_secs_f64()) * self.rng.random_range(1.0..1.5);
        Refusal {
            retry_after: Duration::from_secs_f64(jittered.min(max_retry_after.as_secs_f64())),
            reason,
        }
    }

    /// Starts paying requests up to their limit, pauses or resumes trials, then starts trials in
    /// the slots that are left.
    fn dispatch(&mut self, now: Duration) {
        while self.paying_running < self.limits.paying() {
            let Some(ticket) = self.paying.pop() else {
                break;
            };
            self.paying_running += 1;
            let waited = self.start_service(now, ticket);
            self.paying_wait = self.paying_wait.max(waited);
        }
        self.demand.paying_waited |= !self.paying.is_empty();
        self.balance_trials();
        while !self.trial.is_empty() && self.in_service(Class::Trial) < self.trial_slots() {
            if !self.share.may_start(now) {
                return;
            }
            let Some(ticket) = self.trial.pop() else {
                break;
            };
            self.share.charge(self.entries[ticket].cost);
            self.start_service(now, ticket);
        }
        self.demand.trials_waited |= !self.trial.is_empty();
        self.demand.trials_ran |= !self.running.is_empty();
    }

    /// Marks a request as in service and returns the time that it waited.
    fn start_service(&mut self, now: Duration, ticket: Ticket) -> Duration {
        let rank = self.next_rank;
        self.next_rank += 1;
        let entry = &mut self.entries[ticket];
        let waited = now.saturating_sub(entry.since);
        entry.since = now;
        entry.state = State::Running(rank);
        if entry.class == Class::Trial {
            self.running.insert(rank, ticket);
        }
        self.events.push_back(Event::Admitted(ticket));
        waited
    }

    /// Pauses the youngest running trials beyond the slots of trials, or resumes the oldest paused
    /// ones in free slots.
    fn balance_trials(&mut self) {
        let slots = self.trial_slots() as usize;
        while self.running.len() > slots {
            let Some((rank, ticket)) = self.running.pop_last() else {
                break;
            };
            self.entries[ticket].state = State::Paused(rank);
            self.paused.insert(rank, ticket);
        }
        while self.running.len() < slots {
            let Some((rank, ticket)) = self.paused.pop_first() else {
                break;
            };
            self.entries[ticket].state = State::Running(rank);
            self.running.insert(rank, ticket);
            self.events.push_back(Event::Resumed(ticket));
        }
    }

    fn release_slot(&mut self, rank: u64, entry: &Entry) {
        match entry.class {
            Class::Paying => self.paying_running -= 1,
            Class::Trial => {
                self.running.remove(&rank);
                self.paused.remove(&rank);
            }
        }
    }

    fn record_completion(&mut self, now: Duration, entry: &Entry, used: Option<u32>) {
        let seconds = now.saturating_sub(entry.since).as_secs_f64();
        let throughput = match entry.class {
            Class::Paying => &mut self.paying_throughput,
            Class::Trial => &mut self.trial_throughput,
        };
        throughput.record(entry.cost, seconds);
        let unused = used.map_or(0, |used| entry.cost.saturating_sub(used));
        if unused == 0 {
            return;
        }
        self.waiting_queue(entry.class).refund(&entry.team, unused);
        if entry.class == Class::Trial {
            self.share.refund(unused);
        }
    }

    fn adjust_if_due(&mut self, now: Duration) {
        if now < self.next_adjust {
            return;
        }
        self.next_adjust = now + self.cfg.interval;
        self.limits.adjust(self.demand);
        self.share
            .adjust(self.paying_wait > self.cfg.paying_delay_target);
        self.demand = Demand::default();
        self.paying_wait = Duration::ZERO;
    }
}

impl SlotThroughput {
    fn record(&mut self, cost: u32, seconds: f64) {
        self.cost = self.cost * THROUGHPUT_DECAY + f64::from(cost);
        self.seconds = self.seconds * THROUGHPUT_DECAY + seconds;
    }

    /// Returns the seconds in which this number of slots serves a cost; 0 until a request has
    /// completed.
    fn drain_seconds(&self, cost: u64, slots: u32) -> f64 {
        if self.cost == 0.0 {
            return 0.0;
        }
        cost as f64 * self.seconds / self.cost / f64::from(slots.max(1))
    }
}
