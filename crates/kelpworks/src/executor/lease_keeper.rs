//! Acquires and renews the placement lease through the object API, and provides the fencing token
//! of orders.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use log::info;
use log::warn;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::clients::object_api::Condition;
use crate::clients::object_api::Error;
use crate::clients::object_api::Object;
use crate::clients::object_api::ObjectApi;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use kelpworks_coord::lease;
use kelpworks_coord::lease::Action;
use kelpworks_coord::lease::ApiReply;
use kelpworks_coord::lease::Event;
use kelpworks_coord::lease::Lease;
use kelpworks_coord::lease::Owner;
use kelpworks_coord::lease::Record;
use kelpworks_coord::lease::Stored;
use kelpworks_coord::lease::Token;
use kelpworks_coord::time;

/// Object kind under which leases are stored.
pub const LEASE_KIND: &str = "kelpworks.lease";
/// Object name of the placement lease; each order names it together with the fencing token.
pub const LEASE_NAME: &str = "placement";

/// Interval of the ticks that let the lease's state machine make calls that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// One daemon's handle to the placement lease, shared by the task that renews the lease and the
/// tasks that send orders under it.
#[derive(Debug)]
pub struct LeaseHandle {
    start: Instant,
    lease: Mutex<Lease>,
}

impl LeaseHandle {
    /// Creates the handle of a daemon that does not hold the lease.
    pub fn new(cfg: lease::Config, me: Owner) -> LeaseHandle {
        LeaseHandle {
            start: Instant::now(),
            lease: Mutex::new(Lease::new(cfg, me, time::Instant::ZERO)),
        }
    }

    /// Returns the fencing token with which an order may be sent now; `None` when this daemon does
    /// not hold the lease or too little of it is left for an order to take effect. Call it right
    /// before each order.
    pub fn fencing_token(&self) -> Option<Token> {
        self.lease().fencing_token(self.now())
    }

    /// Returns whether this daemon holds the lease, even if too little time is left for an order.
    fn is_held(&self) -> bool {
        self.lease().is_held()
    }

    /// Returns the highest fencing token that this daemon has observed, whichever daemon holds it.
    pub fn latest_token(&self) -> Token {
        self.lease().latest_token()
    }

    /// Returns the latest era of the object API that the lease's state machine has observed.
    fn era(&self) -> Era {
        self.lease().era()
    }

    /// Returns the current time of the state machines, which starts at 0 when the handle is
    /// created.
    pub(crate) fn now(&self) -> time::Instant {
        time::Instant::from_millis(self.start.elapsed().as_millis() as u64)
    }

    fn on_event(&self, event: Event) -> Vec<Action> {
        self.lease().on_event(self.now(), event)
    }

    /// Locks the state machine. A poisoned lock is usable, because a panic of another task leaves
    /// the state machine as it was between two events.
    fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Acquires the placement lease and renews it through the object API.
#[derive(Debug)]
pub struct LeaseKeeper<A> {
    pub(super) api: A,
    pub(super) handle: Arc<LeaseHandle>,
}

impl<A: ObjectApi> LeaseKeeper<A> {
    /// Creates the keeper of the lease behind `handle`.
    pub fn new(api: A, handle: Arc<LeaseHandle>) -> LeaseKeeper<A> {
        LeaseKeeper { api, handle }
    }

    /// Acquires and renews the lease until `resign` is cancelled, then releases it, so that a
    /// successor does not wait for its expiry.
    pub async fn run(&self, resign: &CancellationToken) {
        self.run_while(resign, || true, || true).await;
    }

    /// Runs as [`run`](LeaseKeeper::run), but checks for a free lease and acquires it only while
    /// `is_candidate` returns true. Once acquired, the lease is renewed while `may_keep` returns true,
    /// and released for another daemon otherwise.
    pub async fn run_while(
        &self,
        resign: &CancellationToken,
        is_candidate: impl Fn() -> bool,
        may_keep: impl Fn() -> bool,
    ) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let era = self.handle.era();
            tokio::select! {
                () = resign.cancelled() => break,
                () = self.api.eras().wait_for_later(era) => {
                    let latest = self.api.eras().latest();
                    self.process_event(Event::Era(latest)).await;
                }
                _ = tick.tick() => {}
            }
            let is_held = self.handle.is_held();
            if !is_held && !is_candidate() {
                continue;
            }
            let event = match is_held && !may_keep() {
                true => Event::Yield,
                false => Event::Tick,
            };
            // Not part of the select: the state machine waits for the reply of each call, so this
            // future must not be dropped before it completes.
            self.process_event(event).await;
        }
        self.process_event(Event::Release).await;
    }

    async fn process_event(&self, event: Event) {
        let mut actions = VecDeque::from(self.handle.on_event(event));
        while let Some(action) = actions.pop_front() {
            let reply = match action {
                Action::Read => self.read().await,
                Action::Write { if_version, record } => self.write(if_version, record).await,
                Action::Acquired(token) => {
                    log_lease_change(true, Some(token));
                    continue;
                }
                Action::Resigned => {
                    log_lease_change(false, None);
                    continue;
                }
            };
            actions.extend(self.handle.on_event(Event::Api(reply)));
        }
    }

    async fn read(&self) -> ApiReply {
        match self.api.get(LEASE_KIND, LEASE_NAME).await {
            Ok(object) => decode_record(&object).map_or(ApiReply::Refused, ApiReply::Read),
            Err(Error::NotFound) => ApiReply::Read(Stored::absent(self.api.eras().latest())),
            Err(e) => self.classify_error(&e),
        }
    }

    async fn write(&self, if_version: Version, record: Record) -> ApiReply {
        let condition = Condition::at(if_version);
        let body = match serde_json::to_string(&record) {
            Ok(body) => body,
            Err(e) => {
                warn!("cannot encode placement lease record: {e}");
                return ApiReply::Refused;
            }
        };
        let sent = self.api.put(LEASE_KIND, LEASE_NAME, body, condition);
        match sent.await {
            Ok(object) => ApiReply::Written(object.version),
            Err(Error::Conflict { current: Some(o) }) => {
                decode_record(&o).map_or(ApiReply::Lost, ApiReply::Conflict)
            }
            // The stored object is unknown; `Lost` makes the state machine read it.
            Err(Error::Conflict { current: None } | Error::Outdated) => ApiReply::Lost,
            Err(e) => self.classify_error(&e),
        }
    }

    /// Returns the reply that a failed call stands for. When the call may have run, the connection
    /// may be dead, so the next call opens a new one.
    fn classify_error(&self, e: &Error) -> ApiReply {
        warn!("placement lease call failed: {e}");
        if e.may_have_run() {
            self.api.reset_connections();
            return ApiReply::Lost;
        }
        ApiReply::Refused
    }
}

/// Returns the lease record of an object; `None` when its body is not one.
fn decode_record(object: &Object) -> Option<Stored> {
    match serde_json::from_str(&object.body) {
        Ok(record) => Some(Stored {
            version: object.version,
            record,
        }),
        Err(e) => {
            warn!("cannot decode placement lease record: {e}");
            None
        }
    }
}

fn log_lease_change(held: bool, token: Option<Token>) {
    let reason = if held { "acquired" } else { "resigned" };
    let token = token.map_or(0, |t| t.0);
    info!(target: "decision", decision = "lease", token = token, reason = reason; "placement lease");
}
