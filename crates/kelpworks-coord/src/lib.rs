//! Coordination state machines of kelpworks, without I/O.
//!
//! Each state machine takes events and the current monotonic time, and returns actions for its
//! driver to carry out. None of them reads a clock, opens a socket, spawns a task or draws random
//! numbers, so the same transition functions run in the daemon, in table tests and in the model
//! checker (`tests/model_*.rs`, specified in `docs/spec`).
//!
//! | Module | Decides |
//! |---|---|
//! | [`token`] | which reply of a pipeline stage is accepted, and when a token may be emitted |
//! | [`claim`] | whether a keyed non-idempotent request may be dispatched |
//! | [`budget`] | whether a write to the object API fits this daemon's share of the write rate |
//! | [`head`] | which configuration is accepted, and which is in force |
//! | [`join`] | whether a daemon that has just started may serve |
//! | [`lease`], [`repair`] | which daemon places models, and which orders may be sent |
//! | [`membership`], [`facts`] | which daemons are live, and infrequent facts about upstreams |
//! | [`rendezvous`], [`dissemination`] | which daemons watch the object API, and which get pushes |
//! | [`poison`], [`crash_ledger`] | which requests crash the upstreams that run them |
//!
//! ```
//! use kelpworks_coord::time::Instant;
//! use kelpworks_coord::time::Span;
//!
//! let started = Instant::ZERO;
//! assert_eq!((started + Span::from_secs(2)).since(started).as_millis(), 2_000);
//! ```
//!
//! Durable state is kept in the platform's object API, which offers conditional updates; the state
//! machines neither vote nor replicate. They assume that updates are linearizable and that reads
//! may be stale, unless a module says otherwise.

pub mod budget;
pub mod claim;
pub mod crash_ledger;
pub mod dissemination;
pub mod facts;
pub mod head;
pub mod id;
pub mod join;
pub mod lease;
pub mod membership;
pub mod poison;
pub mod rendezvous;
pub mod repair;
pub mod time;
pub mod token;
