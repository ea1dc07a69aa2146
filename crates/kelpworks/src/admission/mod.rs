//! Admission control: which requests may start, and when.
//!
//! A daemon keeps as many requests in service as the bottleneck of its pipelines sustains. Paying
//! requests have strict priority over trials; within a class, teams share by weight. A request
//! with too long an expected delay is refused immediately, trials sooner than paying requests.
//! Trials in service pause between tokens while paying requests need their slots, but always make
//! progress, so that each admitted trial completes.
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
//! Limitations: the state covers one daemon. A share of the rate of the whole fleet is set from
//! outside, by [`Admission::set_trial_rate`]. Delays cannot be estimated until some requests have
//! completed; until then only the maximum queue lengths bound the delay of a queued request.

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
pub use crate::admission::fair::FairQueue;
pub use crate::admission::fair::Order;
pub use crate::admission::fair::WaitingKey;
pub use crate::admission::queue::Event;
pub use crate::admission::queue::Queue;
pub use crate::admission::queue::Ticket;

/// Interval at which a waiting request polls the queue. Most requests start when another one
/// ends; polling covers the trial rate, which admits trials as time passes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Value of [`TicketGuard::used_cost`] while the cost is not known.
const COST_UNKNOWN: u32 = u32::MAX;

/// Result of an attempt to be admitted.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Refusal of a request. No part of the request has run.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Time after which the caller may retry, with jitter.
    pub retry_after: Duration,
    /// Reason for the log and for the caller.
    pub reason: &'static str,
}

/// The properties of a request that decide its admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// Name of the team that the request is charged to.
    pub team: &'a str,
    /// Class, which sets the priority and the maximum delay.
    pub class: Class,
    /// Weight of the team within the class; 0 counts as 1.
    pub weight: u32,
    /// Maximum number of positions that the request runs, prompt and answer together.
    pub cost: u32,
}

/// Admission control of one daemon. Clones share their state.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

/// Permission to run one request. Dropping it frees the slot of the request.
#[derive(Debug)]
pub struct Permit {
    guard: TicketGuard,
    class: Class,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Origin of the times that are passed to the queue.
    start: Instant,
    /// Total cost of all trials offered so far, refused ones included.
    trial_demand: AtomicU64,
}

#[derive(Debug)]
struct State {
    queue: Queue,
    /// Wakers of all requests that wait or are in service.
    wakers: SecondaryMap<Ticket, Arc<Waker>>,
}

/// Wakes the task of one request.
#[derive(Debug, Default)]
struct Waker {
    admitted: Notify,
    resumed: Notify,
}

/// Owns the ticket of a request that waits or is in service, and removes it from the queue when
/// dropped.
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
    /// Creates the admission control of a daemon that has no requests yet.
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

    /// Waits until a request may run. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Refuses immediately when the expected delay is too long or a queue is full, and later when
    /// the request has waited for [`Queue::max_wait`] because the estimate was too low. The request
    /// has not run in either case.
    pub async fn admit(&self, request: AdmissionRequest<'_>) -> Result<Permit> {
        let class = request.class;
        let guard = self.shared.offer(&request)?;
        guard.wait_until_admitted(class).await?;
        Ok(Permit { guard, class })
    }

    /// Sets the rate, in positions per second, at which this daemon starts trials.
    pub fn set_trial_rate(&self, rate: f64) {
        self.shared
            .change(|queue, now| queue.set_trial_rate(now, rate));
    }

    /// Total positions of all trials offered so far, refused ones included. Never decreases.
    pub fn trial_demand(&self) -> u64 {
        self.shared.trial_demand.load(Ordering::Relaxed)
    }

    /// Calls a function on the queue while its lock is held, for status and metrics.
    pub fn inspect<T>(&self, read: impl FnOnce(&Queue) -> T) -> T {
        read(&self.shared.lock().queue)
    }
}

impl Permit {
    /// Waits until the next token of this request may run. Paying requests never wait here, and
    /// trials at most for [`Queue::trial_pause`].
    pub async fn wait_until_resumed(&self) {
        if self.class == Class::Paying {
            return;
        }
        let pause = self.guard.shared.lock().queue.trial_pause();
        let resumed = self.guard.wait_while_paused();
        // After the pause the trial runs one token even if it is still paused, so that it does not
        // starve.
        let _ = tokio::time::timeout(pause, resumed).await;
    }

    /// Records the time of one token over the whole pipeline, without the wait in
    /// [`Permit::wait_until_resumed`]. The limits on requests in service adapt to it.
    pub fn observe_token(&self, token: Duration) {
        let class = self.class;
        let shared = &self.guard.shared;
        shared.change(|queue, now| queue.observe_token(now, class, token));
    }

    /// Records the positions that the request actually ran. The rest of its cost is refunded when
    /// the permit is dropped.
    pub fn record_usage(&self, positions: u32) {
        self.guard.used_cost.store(positions, Ordering::Relaxed);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Every queue call leaves the state consistent, even if a holder of the lock panicked, so
        // a poisoned lock can still be used.
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
