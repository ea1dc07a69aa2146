//! Faults that a stand-in shows on demand.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong with one request.
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
    /// This status is the answer; nothing runs.
    Status(u16),
    /// The request runs; this status is the answer.
    StatusAfter(u16),
    /// Engine: steps are answered busy, to be asked again after this many milliseconds.
    Busy(u32),
    /// Engine: a step runs, and is answered with the reply to the step before it.
    PreviousReply,
    /// Engine: a step runs, and its reply echoes another session.
    OtherSession,
    /// Engine: a step runs, and its reply echoes another layer range.
    WrongRange,
    /// Engine: the next step crashes it.
    Crash,
    /// Engine: a cache event is lost; its sequence number stays a gap.
    LostCacheEvent,
    /// Object API: a read answers the version before the current one.
    StaleRead,
    /// Object API: the version that a watch starts from is no longer kept.
    ExpiredVersion,
}

impl FaultKind {
    /// Whether the server itself shows the fault, in place of the stand-in behind it.
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

/// A fault, where it strikes and how often.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Start of the paths that it strikes; empty strikes all. `GET /objects` with a method in
    /// front strikes only that method.
    #[serde(default)]
    pub matches: String,
    /// How often it strikes; absent: until cleared.
    #[serde(default)]
    pub count: Option<u32>,
}

impl Fault {
    /// A fault that strikes once, on any path.
    pub fn once(kind: FaultKind) -> Fault {
        Fault {
            kind,
            matches: String::new(),
            count: Some(1),
        }
    }

    /// A fault that strikes until cleared, on any path.
    pub fn always(kind: FaultKind) -> Fault {
        Fault {
            kind,
            matches: String::new(),
            count: None,
        }
    }

    /// The same fault, only on paths that start so.
    pub fn on(mut self, matches: &str) -> Fault {
        self.matches = matches.to_owned();
        self
    }

    /// The same fault, striking this often.
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

/// What becomes of whole connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnectionMode {
    /// All work.
    #[default]
    Pass,
    /// Each new one closes at once, and each request on an open one closes it.
    Refuse,
    /// Those open now never answer again; new ones work.
    SilenceExisting,
    /// None answers.
    SilenceAll,
}

/// Body of `POST /fake/faults`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct FaultUpdate {
    /// Forget all faults before adding new ones.
    #[serde(default)]
    pub clear: bool,
    /// Faults to add.
    #[serde(default)]
    pub add: Vec<Fault>,
    /// What becomes of connections; absent: no change.
    #[serde(default)]
    pub connections: Option<ConnectionMode>,
}

/// The faults of one stand-in; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    /// False only when `table` holds no fault; spares the lock on the hot path.
    armed: AtomicBool,
    table: Mutex<Vec<Fault>>,
    connections: Mutex<ConnectionTable>,
}

#[derive(Debug, Default)]
struct ConnectionTable {
    mode: ConnectionMode,
    /// Rises by one an accepted connection.
    accepted: u64,
    /// Connections with a number below this one never answer.
    silent_below: u64,
    /// Number of the latest connection from each remote port.
    by_port: HashMap<u16, u64>,
}

/// What the server does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    Pass,
    Close,
    Silent,
}

impl Faults {
    /// Adds a fault after those already there; the first that matches strikes.
    pub fn add(&self, fault: Fault) {
        lock(&self.shared.table).push(fault);
        self.shared.armed.store(true, Ordering::Release);
    }

    /// Forgets all faults and lets new connections pass.
    ///
    /// Connections that went silent stay silent.
    pub fn clear(&self) {
        lock(&self.shared.table).clear();
        self.shared.armed.store(false, Ordering::Release);
        self.set_connection_mode(ConnectionMode::Pass);
    }

    /// Sets what becomes of connections.
    pub fn set_connection_mode(&self, mode: ConnectionMode) {
        let mut table = lock(&self.shared.connections);
        if mode == ConnectionMode::SilenceExisting {
            table.silent_below = table.accepted;
        }
        table.mode = mode;
    }

    /// Carries out an order of `POST /fake/faults`.
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

    /// The faults that have not yet struck as often as they shall.
    pub fn list(&self) -> Vec<Fault> {
        lock(&self.shared.table).clone()
    }

    /// Takes the first transport fault that strikes this request.
    pub(crate) fn take_transport(&self, method: &str, path: &str) -> Option<FaultKind> {
        self.take(|f| f.kind.is_transport() && f.applies_to(method, path))
    }

    /// Takes the first fault of a stand-in's own kinds that strikes this path.
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

    /// Notes a new connection; false when it is to close at once.
    pub(crate) fn accept(&self, port: u16) -> bool {
        let mut table = lock(&self.shared.connections);
        let number = table.accepted;
        table.accepted += 1;
        table.by_port.insert(port, number);
        table.mode != ConnectionMode::Refuse
    }

    /// What becomes of a request on the connection from this remote port.
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

/// Locks, also after a panic of another holder: a stand-in's state is only ever replaced whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
