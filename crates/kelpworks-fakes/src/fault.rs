//! Faults that a test injects into a fake.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

/// Fault of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The connection closes before anything runs.
    ResetBefore,
    /// The request runs, then the connection closes without a reply.
    ResetAfter,
    /// The request is read and never answered; nothing runs.
    SilentBefore,
    /// The request runs and is never answered.
    SilentAfter,
    /// The request runs; the connection closes in the middle of the reply's body.
    CutBody,
    /// The request waits this many milliseconds before it runs.
    Delay(u64),
    /// The request runs at once; the reply waits this many milliseconds.
    DelayReply(u64),
    /// The reply has this status; nothing runs.
    Status(u16),
    /// The request runs; the reply has this status and no body.
    StatusAfter(u16),
    /// Engine: steps are answered busy, with this many milliseconds as the retry delay.
    Busy(u32),
    /// Engine: a step runs and is answered with the reply to the previous step.
    PreviousReply,
    /// Engine: a step runs, and its reply names another session.
    OtherSession,
    /// Engine: a step runs, and its reply names another layer range.
    WrongRange,
    /// Engine: the next step crashes the engine.
    Crash,
    /// Engine: a cache event is lost, leaving a gap in the sequence numbers.
    LostCacheEvent,
    /// Object API: a read returns the version before the current one.
    StaleRead,
    /// Object API: a watch is refused as if its start version were no longer retained.
    ExpiredVersion,
}

impl FaultKind {
    /// Returns whether the HTTP server injects the fault, rather than the fake's own handlers.
    fn is_transport(&self) -> bool {
        !matches!(
            self,
            FaultKind::Busy(_)
                | FaultKind::PreviousReply
                | FaultKind::OtherSession
                | FaultKind::WrongRange
                | FaultKind::Crash
                | FaultKind::LostCacheEvent
                | FaultKind::StaleRead
                | FaultKind::ExpiredVersion
        )
    }
}

/// A fault, the requests it applies to and how often.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Prefix of the request paths that the fault applies to; empty matches all. With a method in
    /// front, as in `GET /objects`, a transport fault applies to that method only.
    #[serde(default)]
    pub matches: String,
    /// Number of requests that the fault still applies to; if absent, it applies until cleared.
    #[serde(default)]
    pub count: Option<u32>,
}

impl Fault {
    /// Returns a fault that applies once, on any path.
    pub fn once(kind: FaultKind) -> Fault {
        Fault {
            kind,
            matches: String::new(),
            count: Some(1),
        }
    }

    /// Returns a fault that applies until cleared, on any path.
    pub fn always(kind: FaultKind) -> Fault {
        Fault {
            kind,
            matches: String::new(),
            count: None,
        }
    }

    /// Limits the fault to requests that match, as [`Fault::matches`] describes.
    pub fn on(mut self, matches: &str) -> Fault {
        self.matches = matches.to_owned();
        self
    }

    /// Limits the fault to this many requests.
    pub fn times(mut self, count: u32) -> Fault {
        self.count = Some(count);
        self
    }

    fn applies_to(&self, method: &str, path: &str) -> bool {
        match self.matches.split_once(' ') {
            Some((want, rest)) => want == method && path.starts_with(rest),
            None => path.starts_with(&self.matches),
        }
    }
}

/// Treatment of whole connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionMode {
    /// All connections work.
    #[default]
    Pass,
    /// Each new connection closes at once, and a request on an open one closes it.
    Refuse,
    /// Connections open at the time of the change never answer again; new ones work.
    SilenceExisting,
    /// No connection answers.
    SilenceAll,
}

/// Body of `POST /fake/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct FaultUpdate {
    /// Whether to remove all faults before adding new ones.
    #[serde(default)]
    pub clear: bool,
    /// Faults to add, in order of precedence.
    #[serde(default)]
    pub add: Vec<Fault>,
    /// New treatment of connections; unchanged if absent.
    #[serde(default)]
    pub connections: Option<ConnectionMode>,
}

/// Faults to inject into one fake; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// False only when `table` is empty; avoids the lock on the hot path.
    armed: AtomicBool,
    table: Mutex<Vec<Fault>>,
    connections: Mutex<ConnectionTable>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    mode: ConnectionMode,
    /// Number of connections accepted so far.
    accepted: u64,
    /// Connections with a number below this one never answer.
    silent_below: u64,
    /// Number of the latest connection from each remote port.
    by_port: HashMap<u16, u64>,
}

/// What the server does with a request because of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    Pass,
    Close,
    Silent,
}

impl Faults {
    /// Adds a fault after the existing ones; of several that match, the first applies.
    pub fn add(&self, fault: Fault) {
        lock(&self.shared.table).push(fault);
        self.shared.armed.store(true, Ordering::Release);
    }

    /// Removes all faults and resets the mode to [`ConnectionMode::Pass`].
    ///
    /// Connections silenced by [`ConnectionMode::SilenceExisting`] stay silent.
    pub fn clear(&self) {
        lock(&self.shared.table).clear();
        self.shared.armed.store(false, Ordering::Release);
        self.set_connection_mode(ConnectionMode::Pass);
    }

    /// Sets the treatment of connections.
    pub fn set_connection_mode(&self, mode: ConnectionMode) {
        let mut table = lock(&self.shared.connections);
        if mode == ConnectionMode::SilenceExisting {
            table.silent_below = table.accepted;
        }
        table.mode = mode;
    }

    /// Applies the body of a `POST /fake/faults`.
    pub fn apply(&self, order: FaultUpdate) {
        if order.clear {
            self.clear();
        }
        for fault in order.add {
            self.add(fault);
        }
        if let Some(mode) = order.connections {
            self.set_connection_mode(mode);
        }
    }

    /// Returns the faults that still apply.
    pub fn list(&self) -> Vec<Fault> {
        lock(&self.shared.table).clone()
    }

    /// Takes the first transport fault that applies to this request.
    pub(crate) fn take_transport(&self, method: &str, path: &str) -> Option<FaultKind> {
        self.take(|f| f.kind.is_transport() && f.applies_to(method, path))
    }

    /// Takes the first fault of the wanted kinds whose path prefix matches; for faults that a
    /// fake's own handlers inject.
    pub(crate) fn take_application(
        &self,
        path: &str,
        wanted: impl Fn(&FaultKind) -> bool,
    ) -> Option<FaultKind> {
        self.take(|f| wanted(&f.kind) && (f.matches.is_empty() || path.starts_with(&f.matches)))
    }

    fn take(&self, wanted: impl Fn(&Fault) -> bool) -> Option<FaultKind> {
        if !self.shared.armed.load(Ordering::Acquire) {
            return None;
        }
        let mut table = lock(&self.shared.table);
        let at = table.iter().position(wanted)?;
        let kind = table[at].kind.clone();
        if let Some(count) = &mut table[at].count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                table.remove(at);
            }
        }
        self.shared
            .armed
            .store(!table.is_empty(), Ordering::Release);
        Some(kind)
    }

    /// Records a new connection; returns false when it must close at once.
    pub(crate) fn accept(&self, port: u16) -> bool {
        let mut table = lock(&self.shared.connections);
        let number = table.accepted;
        table.accepted += 1;
        table.by_port.insert(port, number);
        table.mode != ConnectionMode::Refuse
    }

    /// Returns what to do with a request on the connection from this remote port.
    pub(crate) fn connection_action(&self, port: u16) -> ConnectionAction {
        let table = lock(&self.shared.connections);
        let number = table.by_port.get(&port).copied().unwrap_or(u64::MAX);
        match table.mode {
            ConnectionMode::Refuse => ConnectionAction::Close,
            ConnectionMode::SilenceAll => ConnectionAction::Silent,
            _ if number < table.silent_below => ConnectionAction::Silent,
            _ => ConnectionAction::Pass,
        }
    }
}

/// Locks a mutex, also after a panic of another holder: a fake's state is only replaced as a whole,
/// so a panic leaves it consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
