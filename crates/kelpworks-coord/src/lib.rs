//! Coordination parts of kelpworks, as state machines without I/O.
//!
//! Each part takes events and the current monotonic time, and returns actions for its driver to
//! carry out. None of them reads a clock, opens a socket, spawns a task or draws randomness, so
//! the same transition functions run in the daemon, in table tests and in the model checker
//! (`tests/model_*.rs`, specified in `docs/spec`).
//!
//! | Module | Decides |
//! |---|---|
//! | [`token`] | which reply of a pipeline stage counts, and when a token may leave |
//! | [`claim`] | whether a keyed non-idempotent request may be dispatched |
//! | [`budget`] | whether a write to the object API fits this daemon's part of its rate |
//! | [`head`] | which configuration is accepted, and which is in force |
//! | [`join`] | whether a daemon that just started may serve |
//! | [`lease`], [`repair`] | who places models, and which orders may be sent |
//! | [`membership`], [`facts`] | who is live, and rare facts about upstreams |
//! | [`rendezvous`], [`dissemination`] | who watches the object API, and whom to push a generation to |
//! | [`poison`] | which requests crash the upstreams that run them |
//!
//! ```
//! use kelpworks_coord::time::Instant;
//! use kelpworks_coord::time::Span;
//!
//! let started = Instant::ZERO;
//! assert_eq!((started + Span::from_secs(2)).since(started).as_millis(), 2_000);
//! ```
//!
//! What lasts is kept in the platform's object API, which offers conditional updates; the parts
//! neither vote nor replicate. They assume that an update is linearizable and that a read may be
//! stale unless a part says otherwise.

pub mod budget;
pub mod claim;
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
