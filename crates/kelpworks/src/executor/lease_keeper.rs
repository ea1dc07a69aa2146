//! The placement lease: keeps it through the object API, and says when orders may be sent.

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

/// Kind of the lease objects.
pub const LEASE_KIND: &str = "kelpworks.lease";
/// Name of the lease on placement; it also goes with each order.
pub const LEASE_NAME: &str = "placement";

/// How often the lease's state machine is asked whether a call is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// One daemon's handle on the placement lease, shared by the task that keeps it and those that use
/// it.
#[derive(Debug)]
pub struct LeaseHandle {
    start: Instant,
    lease: Mutex<Lease>,
}

impl LeaseHandle {
    /// A daemon that holds nothing yet.
    pub fn new(cfg: lease::Config, me: Owner) -> LeaseHandle {
        LeaseHandle {
            start: Instant::now(),
            lease: Mutex::new(Lease::new(cfg, me, time::Instant::ZERO)),
        }
    }

    /// The token under which an order may be sent now, if any. To be asked for right before each
    /// order.
    pub fn fencing_token(&self) -> Option<Token> {
        self.lease().fencing_token(self.now())
    }

    /// Whether this daemon holds the lease, as far as it knows.
    fn is_held(&self) -> bool {
        self.lease().is_held()
    }

    /// The highest token that this daemon has seen, held by whomever.
    pub fn latest_token(&self) -> Token {
        self.lease().latest_token()
    }

    /// The latest era of the object API that this daemon's lease has entered.
    fn era(&self) -> Era {
        self.lease().era()
    }

    /// Now, as the state machines count it.
    pub(crate) fn now(&self) -> time::Instant {
        time::Instant::from_millis(self.start.elapsed().as_millis() as u64)
    }

    fn on_event(&self, event: Event) -> Vec<Action> {
        self.lease().on_event(self.now(), event)
    }

    /// A panic elsewhere leaves the state machine as it was between two events.
    fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps the lease.
#[derive(Debug)]
pub struct LeaseKeeper<A> {
    pub(super) api: A,
    pub(super) handle: Arc<LeaseHandle>,
}

impl<A: ObjectApi> LeaseKeeper<A> {
    /// Keeps a hold through an object API.
    pub fn new(api: A, handle: Arc<LeaseHandle>) -> LeaseKeeper<A> {
        LeaseKeeper { api, handle }
    }

    /// Takes and renews the lease until `leave`, then gives it up, so that a successor need not
    /// wait for its end.
    pub async fn run(&self, resign: &CancellationToken) {
        self.run_while(resign, || true).await;
    }

    /// The same, but takes the lease, and looks whether it is free, only while `is_candidate`. Once
    /// taken, it is kept.
    pub async fn run_while(&self, resign: &CancellationToken, is_candidate: impl Fn() -> bool) {
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
            if !self.handle.is_held() && !is_candidate() {
                continue;
            }
            // Never dropped half way, since the state machine waits for the reply.
            self.process_event(Event::Tick).await;
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
                warn!("lease record: {e}");
                return ApiReply::Refused;
            }
        };
        let sent = self.api.put(LEASE_KIND, LEASE_NAME, body, condition);
        match sent.await {
            Ok(object) => ApiReply::Written(object.version),
            Err(Error::Conflict { current: Some(o) }) => {
                decode_record(&o).map_or(ApiReply::Lost, ApiReply::Conflict)
            }
            // Read what stands there.
            Err(Error::Conflict { current: None } | Error::Outdated) => ApiReply::Lost,
            Err(e) => self.classify_error(&e),
        }
    }

    /// What a failed call means; silence may be the connection's, so the next call opens another.
    fn classify_error(&self, e: &Error) -> ApiReply {
        warn!("placement lease: {e}");
        if e.may_have_run() {
            self.api.reset_connections();
            return ApiReply::Lost;
        }
        ApiReply::Refused
    }
}

/// The lease that an object holds; `None` when its body is none.
fn decode_record(object: &Object) -> Option<Stored> {
    match serde_json::from_str(&object.body) {
        Ok(record) => Some(Stored {
            version: object.version,
            record,
        }),
        Err(e) => {
            warn!("placement lease: {e}");
            None
        }
    }
}

fn log_lease_change(held: bool, token: Option<Token>) {
    let reason = if held { "acquired" } else { "resigned" };
    let token = token.map_or(0, |t| t.0);
    info!(target: "decision", decision = "lease", token = token, reason = reason; "placement lease");
}
