//! What daemons count for the attempts of requests, against all arrivals beyond the first of each request, whichever
//! attempt arrives first.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use tokio::runtime::Builder;
use tokio::time::Instant;
use tokio::time::advance;

use kelpworks_relay::permit::Origin;
use kelpworks_relay::permit::RequestAttempts;
use kelpworks_relay::permit::Retry;
use kelpworks_relay::permit::SentAttempt;
use kelpworks_relay::retry_budget::FleetContact;
use kelpworks_relay::retry_budget::RetryBudget;
use kelpworks_relay::retry_budget::RetryLimit;

const LIMIT: RetryLimit = RetryLimit {
    window: Duration::from_secs(10),
    ratio: 0.0,
    allowance: 20.0,
};
/// Longest time from the write of an attempt to its arrival, unless its upstream stands still.
const LONGEST_DELIVERY: Duration = Duration::from_secs(3);

type Budget = Arc<Mutex<RetryBudget>>;

fn service() -> Arc<str> {
    Arc::from("llm")
}

/// Returns the budget of a lone daemon that has its part of the limit.
async fn budget() -> Budget {
    let mut budget = RetryBudget::new(LIMIT, 1, Instant::now());
    budget.renew_share(1, FleetContact::Alone, Instant::now());
    advance(LIMIT.window + LONGEST_DELIVERY).await;
    Arc::new(Mutex::new(budget))
}

fn acquire(budget: &Budget) -> Option<Retry> {
    Retry::acquire(budget, &service(), Instant::now())
}

fn begin(budget: &Budget, origin: Origin) -> RequestAttempts {
    RequestAttempts::new(budget, &service(), origin, Instant::now())
}

/// Returns how many retries were written and count.
fn counted(budget: &Budget) -> u64 {
    let mut budget = budget.lock().expect("no panic");
    let report = budget.report(Instant::now());
    let sent = report.iter().map(|(_, c, _)| c.in_flight + c.arrived);
    sent.sum()
}

/// Guards against a first attempt that arrives after its retry and is in no account.
#[tokio::test(start_paused = true)]
async fn retry_counts_until_the_abandoned_first_attempt_is_decided() {
    let budget = budget().await;
    let request = begin(&budget, Origin::Caller);
    let first = request.attempts().write(None).expect("no retry");
    let retry = acquire(&budget).expect("a retry");
    let retry = request.attempts().write(Some(retry)).expect("allowed");
    retry.record_arrival();
    drop(request);
    advance(6 * LIMIT.window).await;
    assert_eq!(counted(&budget), 1, "the first attempt may still arrive");
    first.record_arrival();
    advance(LIMIT.window / 2).await;
    assert_eq!(counted(&budget), 1, "it has arrived within a window");
    advance(LIMIT.window).await;
    assert_eq!(counted(&budget), 0);
}

/// A first attempt that was not retried is no retry, however late it arrives.
#[tokio::test(start_paused = true)]
async fn abandoned_request_without_a_retry_counts_for_nothing() {
    let budget = budget().await;
    let request = begin(&budget, Origin::Caller);
    let first = request.attempts().write(None).expect("no retry");
    drop(request);
    drop(first);
    assert_eq!(counted(&budget), 0);
}

/// Guards against the attempt of a daemon that a request was handed over to: its sender leaves when it is not answered,
/// and makes another one, whose retry ends before this attempt arrives.
#[rstest]
#[case::first_attempt_of_all(Origin::Peer)]
#[case::after_an_attempt_of_the_sender(Origin::PeerWithoutRetry)]
#[tokio::test(start_paused = true)]
async fn attempt_in_doubt_counts_when_the_sender_of_a_request_leaves(#[case] origin: Origin) {
    let budget = budget().await;
    let request = begin(&budget, origin);
    let attempt = request.attempts().write(None).expect("no retry");
    drop(request);
    advance(6 * LIMIT.window).await;
    assert_eq!(counted(&budget), 1, "the attempt may still arrive");
    attempt.record_arrival();
    assert_eq!(counted(&budget), 1, "it has arrived");
    advance(LIMIT.window + LONGEST_DELIVERY).await;
    assert_eq!(counted(&budget), 0);
}

/// Guards against a request that is handed over without a retry while an attempt of the sender may still arrive.
#[tokio::test(start_paused = true)]
async fn handover_without_a_retry_counts_while_an_attempt_is_in_doubt() {
    let budget = budget().await;
    let request = begin(&budget, Origin::Caller);
    let first = request.attempts().write(None).expect("no retry");
    let handover = request.attempts().hand_over(None);
    assert!(!handover.has_retry());
    assert_eq!(counted(&budget), 1);
    assert!(handover.undo().is_none(), "nothing was handed over");
    assert_eq!(counted(&budget), 0);
    request.attempts().hand_over(None).record_arrival();
    advance(2 * LIMIT.window).await;
    assert_eq!(counted(&budget), 1, "the first attempt may still arrive");
    first.record_arrival();
    advance(LIMIT.window + LONGEST_DELIVERY).await;
    assert_eq!(counted(&budget), 0);
}

/// What happens to an attempt, a request, or the clock. Numbers select one of those there are.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request's first attempt is written.
    Begin,
    /// A retry is reserved and written, if one is left.
    Retry(usize),
    /// The request is handed over, with a retry if one is left and one of its attempts may have arrived.
    HandOver(usize),
    /// An attempt is answered, and arrives now if it had not.
    Answer(usize),
    /// The upstream reads an attempt, unseen by the daemon.
    Read(usize),
    /// The connection of an attempt ends.
    Close(usize),
    /// Nothing more will be known of an attempt; it arrives after this time, or not at all.
    Forget(usize, Option<Duration>),
    /// Nothing was written after all.
    Undo(usize),
    /// The request is no longer served.
    Leave(usize),
    Pass(Duration),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let delivery = (0..=LONGEST_DELIVERY.as_millis() as u64).prop_map(Duration::from_millis);
    let pass = prop_oneof![0..200u64, 0..25_000u64].prop_map(Duration::from_millis);
    let event = prop_oneof![
        6 => Just(Event::Begin),
        6 => any::<usize>().prop_map(Event::Retry),
        2 => any::<usize>().prop_map(Event::HandOver),
        4 => any::<usize>().prop_map(Event::Answer),
        3 => any::<usize>().prop_map(Event::Read),
        3 => any::<usize>().prop_map(Event::Close),
        2 => (any::<usize>(), proptest::option::of(delivery)).prop_map(|(n, d)| Event::Forget(n, d)),
        1 => any::<usize>().prop_map(Event::Undo),
        2 => any::<usize>().prop_map(Event::Leave),
        3 => pass.prop_map(Event::Pass),
    ];
    proptest::collection::vec(event, 1..200)
}

/// An attempt on its way, of the request and daemon with these numbers.
struct OnItsWay {
    request: usize,
    daemon: usize,
    sent: SentAttempt,
    has_arrived: bool,
    /// Whether it is a hand-over, which arrives nowhere itself.
    is_handover: bool,
}

/// A request; the second daemon's attempts once it was handed over.
struct Request {
    served: [Option<RequestAttempts>; 2],
    was_written: bool,
    arrivals: Vec<Instant>,
}

/// Two daemons, of which the first hands requests over to the second, and the arrivals at the service.
struct Trial {
    budgets: [Budget; 2],
    requests: Vec<Request>,
    on_their_way: Vec<OnItsWay>,
}

impl Trial {
    async fn start() -> Trial {
        Trial {
            budgets: [budget().await, budget().await],
            requests: Vec::new(),
            on_their_way: Vec::new(),
        }
    }

    async fn apply(&mut self, event: Event) {
        match event {
            Event::Begin => {
                let request = begin(&self.budgets[0], Origin::Caller);
                self.requests.push(Request {
                    served: [Some(request), None],
                    was_written: false,
                    arrivals: Vec::new(),
                });
                self.write(self.requests.len() - 1, 0, None);
            }
            Event::Retry(n) if !self.requests.is_empty() => {
                let request = n % self.requests.len();
                // The sender of a request that was handed over may have given the other daemon up.
                let is_handed_over = self.requests[request].served[1].is_some();
                let daemon = usize::from(is_handed_over && n % 3 != 0);
                if let Some(retry) = acquire(&self.budgets[daemon]) {
                    self.write(request, daemon, Some(retry));
                }
            }
            Event::HandOver(n) if !self.requests.is_empty() => {
                self.hand_over(n % self.requests.len())
            }
            Event::Answer(n) => self.decide(n, true),
            Event::Close(n) => self.decide(n, false),
            Event::Read(n) if !self.on_their_way.is_empty() => {
                let n = n % self.on_their_way.len();
                self.arrive(n);
            }
            Event::Forget(n, delivery) if !self.on_their_way.is_empty() => {
                let n = n % self.on_their_way.len();
                if self.on_their_way[n].is_handover {
                    return;
                }
                let on_its_way = self.on_their_way.swap_remove(n);
                if !on_its_way.has_arrived {
                    let at = delivery.map(|d| Instant::now() + d);
                    self.requests[on_its_way.request].arrivals.extend(at);
                }
            }
            Event::Undo(n) if !self.on_their_way.is_empty() => {
                let n = n % self.on_their_way.len();
                let on_its_way = &self.on_their_way[n];
                if !on_its_way.has_arrived && !on_its_way.is_handover {
                    drop(self.on_their_way.swap_remove(n).sent.undo());
                }
            }
            Event::Leave(n) if !self.requests.is_empty() => {
                let request = n % self.requests.len();
                self.leave(request);
            }
            Event::Pass(time) => advance(time).await,
            _ => {}
        }
    }

    fn write(&mut self, request: usize, daemon: usize, retry: Option<Retry>) {
        let Some(attempts) = &self.requests[request].served[daemon] else {
            return;
        };
        let Some(sent) = attempts.attempts().write(retry) else {
            return;
        };
        self.requests[request].was_written = true;
        self.on_their_way.push(OnItsWay {
            request,
            daemon,
            sent,
            has_arrived: false,
            is_handover: false,
        });
    }

    /// Hands a request over that was not handed over before; the other daemon makes an attempt if it may.
    fn hand_over(&mut self, request: usize) {
        let Request {
            served,
            was_written,
            ..
        } = &mut self.requests[request];
        let [Some(attempts), None] = served else {
            return;
        };
        let retry = was_written.then(|| acquire(&self.budgets[0])).flatten();
        let sent = attempts.attempts().hand_over(retry);
        let origin = match (*was_written, sent.has_retry()) {
            (true, false) => Origin::PeerWithoutRetry,
            _ => Origin::Peer,
        };
        served[1] = Some(begin(&self.budgets[1], origin));
        self.on_their_way.push(OnItsWay {
            request,
            daemon: 0,
            sent,
            has_arrived: false,
            is_handover: true,
        });
        if origin == Origin::Peer {
            self.write(request, 1, None);
        } else if let Some(retry) = acquire(&self.budgets[1]) {
            self.write(request, 1, Some(retry));
        }
    }

    /// Decides an attempt that is no hand-over. One that is answered has arrived.
    fn decide(&mut self, n: usize, is_answered: bool) {
        if self.on_their_way.is_empty() {
            return;
        }
        let n = n % self.on_their_way.len();
        if self.on_their_way[n].is_handover {
            return;
        }
        if is_answered {
            self.arrive(n);
        }
        let OnItsWay {
            request,
            daemon,
            sent,
            ..
        } = self.on_their_way.swap_remove(n);
        sent.record_arrival();
        // The answer reaches the sender of a request that was handed over.
        let is_handover = |o: &OnItsWay| o.request == request && o.is_handover;
        let handover = self.on_their_way.iter().position(is_handover);
        if let Some(handover) = handover.filter(|_| is_answered && daemon == 1) {
            self.on_their_way
                .swap_remove(handover)
                .sent
                .record_arrival();
        }
    }

    fn arrive(&mut self, n: usize) {
        let on_its_way = &mut self.on_their_way[n];
        if !on_its_way.has_arrived && !on_its_way.is_handover {
            on_its_way.has_arrived = true;
            let arrivals = &mut self.requests[on_its_way.request].arrivals;
            arrivals.push(Instant::now());
        }
    }

    /// Ends the service of a request: at the daemon that it was handed over to if there is one.
    fn leave(&mut self, request: usize) {
        let served = &mut self.requests[request].served;
        if served[1].is_none() {
            served[0] = None;
            return;
        }
        served[1] = None;
        self.end_handover(request);
    }

    /// Ends a hand-over whose sender has the answer, or sees that the other daemon has ended it.
    fn end_handover(&mut self, request: usize) {
        let is_handover = |o: &OnItsWay| o.request == request && o.is_handover;
        if let Some(n) = self.on_their_way.iter().position(is_handover) {
            self.on_their_way.swap_remove(n).sent.record_arrival();
        }
    }

    /// Returns the arrivals beyond the first of each request in the window that ends now.
    fn repeats(&self) -> u64 {
        let now = Instant::now();
        let repeats = |r: &Request| {
            let mut arrivals: Vec<Instant> = r.arrivals.clone();
            arrivals.retain(|&at| at <= now);
            arrivals.sort_unstable();
            let is_recent = |at: &Instant| now.duration_since(*at) < LIMIT.window;
            arrivals.into_iter().skip(1).filter(is_recent).count() as u64
        };
        self.requests.iter().map(repeats).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1024))]

    /// Guards against any order of attempts, answers, late arrivals, hand-overs and leaving callers in which more
    /// arrivals beyond the first of their request are in a window than the daemons count together.
    #[test]
    fn every_further_arrival_is_counted(events in events()) {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime").block_on(async {
            let mut trial = Trial::start().await;
            for event in events {
                trial.apply(event).await;
                let counted: u64 = trial.budgets.iter().map(counted).sum();
                let repeats = trial.repeats();
                prop_assert!(repeats <= counted, "{repeats} arrivals, {counted} counted, after {event:?}");
            }
            Ok(())
        })?;
    }
}
