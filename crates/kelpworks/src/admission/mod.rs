//! Who may start, and when: paying before trial, and fair shares among teams.
//!
//! A daemon keeps as many requests in service as the bottleneck of its pipelines carries. Paying
//! requests go first, strictly; within a class, teams share by weight. A request that would wait
//! too long is refused at once, trials first. Trials in service hold between tokens while paying
//! requests need the room, but always get on, so that each is answered whole.
//!
//! ```
//! use kelpworks::admission::Admission;
//! use kelpworks::admission::AdmissionRequest;
//! use kelpworks::admission::Config;
//! use kelpworks_wire::Class;
//!
//! # async fn example() -> Result<(), kelpworks::admission::Refusal> {
//! let admission = Admission::new(Config::default());
//! let request = AdmissionRequest { team: "sellers", class: Class::Paying, weight: 1, cost: 100 };
//! let permit = admission.admit(request).await?;
//! permit.wait_until_resumed().await;
//! permit.record_usage(80);
//! # Ok(())
//! # }
//! ```
//!
//! Limits: the state is of one daemon. Shares of the whole fleet come from outside, by
//! [`Admission::set_trial_rate`]. The delay of a new request is unknown until some have ended;
//! until then only the lengths of the queues bound it.

mod config;
mod fair;
mod limit;
mod queue;
mod trial;

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::Instant;

use kelpworks_wire::Class;

pub use crate::admission::config::Config;
pub use crate::admission::queue::Event;
pub use crate::admission::queue::Queue;
pub use crate::admission::queue::Ticket;

/// How often a waiting request lets the queue do what has become due. Most things happen when
/// another request ends; this is for the trial rate, which frees room as time passes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stands in [`TicketGuard::used_cost`] for a cost that is not known.
const COST_UNKNOWN: u32 = u32::MAX;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A request that was not admitted; nothing of it ran.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// When to come back.
    pub retry_after: Duration,
    /// Why, for the log and the caller.
    pub reason: &'static str,
}

/// What admission needs to know of a request.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Its class.
    pub class: Class,
    /// Its weight within the class.
    pub weight: u32,
    /// Positions it will run at most, prompt and answer.
    pub cost: u32,
}

/// Admission of one daemon.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

/// Leave to run one request; dropping it ends the request for admission.
#[derive(Debug)]
pub struct Permit {
    guard: TicketGuard,
    class: Class,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Zero of the queue's times.
    start: Instant,
    /// Cost of all trials that asked so far, those refused included.
    trial_demand: AtomicU64,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    /// One for each request that waits or is in service.
    wakers: SecondaryMap<Ticket, Arc<Waker>>,
}

/// Wakes the task of one request.
#[derive(Debug, Default)]
struct Waker {
    admitted: Notify,
    resumed: Notify,
}

/// A request's place in the queue or in service, given up when dropped.
#[derive(Debug)]
struct TicketGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
    waker: Arc<Waker>,
    used_cost: AtomicU32,
}

impl Default for Admission {
    fn default() -> Admission {
        Admission::new(Config::default())
    }
}

impl Admission {
    /// Admission with nothing waiting.
    pub fn new(cfg: Config) -> Admission {
        let state = State {
            queue: Queue::new(cfg),
            wakers: SecondaryMap::new(),
        };
        let shared = Shared {
            state: Mutex::new(state),
            start: Instant::now(),
            trial_demand: AtomicU64::new(0),
        };
        Admission {
            shared: Arc::new(shared),
        }
    }

    /// Waits for leave to run a request. Dropping the future gives up the place in the queue.
    ///
    /// # Errors
    ///
    /// A refusal at once where the wait would be too long, and later where the estimate of the
    /// wait was wrong; the request has not run.
    pub async fn admit(&self, request: AdmissionRequest<'_>) -> Result<Permit> {
        let class = request.class;
        let guard = self.shared.offer(&request)?;
        guard.wait_until_admitted(class).await?;
        Ok(Permit { guard, class })
    }

    /// Sets the positions a second that trials may start on this daemon.
    pub fn set_trial_rate(&self, rate: f64) {
        self.shared
            .change(|queue, now| queue.set_trial_rate(now, rate));
    }

    /// Positions that trials asked for so far, those refused included; only ever rises.
    pub fn trial_demand(&self) -> u64 {
        self.shared.trial_demand.load(Ordering::Relaxed)
    }

    /// Looks at the queue, for status and metrics.
    pub fn inspect<T>(&self, read: impl FnOnce(&Queue) -> T) -> T {
        read(&self.shared.lock().queue)
    }
}

impl Permit {
    /// Waits until the next token of this request may run; paying requests never wait here, and
    /// trials at most [`Config::trial_pause`].
    pub async fn wait_until_resumed(&self) {
        if self.class == Class::Paying {
            return;
        }
        let pause = self.guard.shared.lock().queue.trial_pause();
        let resumed = self.guard.wait_while_paused();
        // Running out of patience is leave to run one token: no trial starves.
        let _ = tokio::time::timeout(pause, resumed).await;
    }

    /// Notes the time that one token took over the whole pipeline, without the wait in
    /// [`Permit::wait_until_resumed`]; the number of requests in service adapts to it.
    pub fn observe_token(&self, token: Duration) {
        let class = self.class;
        let shared = &self.guard.shared;
        shared.change(|queue, now| queue.observe_token(now, class, token));
    }

    /// Notes the positions that the request really ran; the rest of its cost is given back.
    pub fn record_usage(&self, positions: u32) {
        self.guard.used_cost.store(positions, Ordering::Relaxed);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is consistent after each call, also when a holder of the lock panicked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        Instant::now().saturating_duration_since(self.start)
    }

    fn offer(self: &Arc<Shared>, request: &AdmissionRequest<'_>) -> Result<TicketGuard> {
        if request.class == Class::Trial {
            let cost = u64::from(request.cost);
            self.trial_demand.fetch_add(cost, Ordering::Relaxed);
        }
        let mut state = self.lock();
        let now = self.now();
        let ticket = state.queue.offer(now, request)?;
        let waker = Arc::new(Waker::default());
        state.wakers.insert(ticket, Arc::clone(&waker));
        state.wake();
        Ok(TicketGuard {
            shared: Arc::clone(self),
            ticket,
            waker,
            used_cost: AtomicU32::new(COST_UNKNOWN),
        })
    }

    fn poll(&self) {
        self.change(Queue::poll);
    }

    fn change<T>(&self, call: impl FnOnce(&mut Queue, Duration) -> T) -> T {
        let mut state = self.lock();
        let now = self.now();
        let done = call(&mut state.queue, now);
        state.wake();
        done
    }
}

impl State {
    fn wake(&mut self) {
        while let Some(event) = self.queue.next_event() {
            let (Event::Admitted(ticket) | Event::Resumed(ticket)) = event;
            let Some(waker) = self.wakers.get(ticket) else {
                continue;
            };
            match event {
                Event::Admitted(_) => waker.admitted.notify_one(),
                Event::Resumed(_) => waker.resumed.notify_one(),
            }
        }
    }
}

impl TicketGuard {
    async fn wait_until_admitted(&self, class: Class) -> Result<()> {
        let max_wait = self.shared.lock().queue.max_wait(class);
        let deadline = tokio::time::sleep(max_wait);
        tokio::pin!(deadline);
        loop {
            tokio::select! {
                biased;
                () = self.waker.admitted.notified() => return Ok(()),
                () = &mut deadline => return self.time_out().map_or(Ok(()), Err),
                () = tokio::time::sleep(POLL_INTERVAL) => self.shared.poll(),
            }
        }
    }

    fn time_out(&self) -> Option<Refusal> {
        self.shared
            .change(|queue, now| queue.time_out(now, self.ticket))
    }

    async fn wait_while_paused(&self) {
        while !self.shared.lock().queue.may_run(self.ticket) {
            self.waker.resumed.notified().await;
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        let used_cost = Some(self.used_cost.load(Ordering::Relaxed))
            .filter(|&used_cost| used_cost != COST_UNKNOWN);
        let mut state = self.shared.lock();
        let now = self.shared.now();
        state.wakers.remove(self.ticket);
        state.queue.finish(now, self.ticket, used_cost);
        state.wake();
    }
}
