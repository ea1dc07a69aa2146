//! Order of the requests that compete for capacity, and the times at which refused callers return.
//!
//! When callers ask for more KV cache than the engines have, the requests of a service whose priorities differ wait in
//! the daemon for a short time, and the more urgent ones are served first. Those that can't be served in time are
//! refused with a time at which there is capacity for them.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks_relay::contention::Returns;
//! use kelpworks_relay::contention::UrgencyLevels;
//! use kelpworks_relay::contention::WaitQueue;
//! use kelpworks_relay::contention::WaitingRequest;
//! use tokio::time::Instant;
//!
//! let levels = UrgencyLevels::new([7, 2]);
//! let now = Instant::now();
//! let request = |priority| WaitingRequest {
//!     team: None,
//!     level: levels.level_of(priority),
//!     origin: now,
//!     target: now + Duration::from_millis(500),
//!     cost: 1_000.0,
//!     begun: false,
//! };
//! let mut queue = WaitQueue::default();
//! let batch = queue.enter(request(7), now).unwrap();
//! let urgent = queue.enter(request(2), now).unwrap();
//! assert_eq!(queue.rank(urgent), Some(0), "tries first");
//! queue.admit(urgent, now);
//!
//! queue.leave(batch);
//! let after = Returns::default().retry_after(levels.level_of(7), now);
//! assert!(after >= Duration::from_millis(1_500));
//! ```
//!
//! Limits: the state covers one daemon and is not kept when it ends. Nothing here performs I/O or reads a clock; the
//! caller passes the time, which must not decrease from call to call.

mod level_shares;
pub mod levels;
pub mod pooled;
pub mod reserve;
mod returns;
pub mod shortage;
mod wait_queue;

pub use levels::Level;
pub use levels::MAX_LEVELS;
pub use levels::UrgencyLevels;
pub use returns::MAX_RETRY_DELAY;
pub use returns::MIN_RETRY_DELAY;
pub use returns::Returns;
pub use wait_queue::MAX_AGE;
pub use wait_queue::MAX_EXTRA_WAITING;
pub use wait_queue::MAX_RANK;
pub use wait_queue::MAX_WAITING;
pub use wait_queue::RETURNED_AGE;
pub use wait_queue::TURN_GRACE;
pub use wait_queue::Ticket;
pub use wait_queue::WaitQueue;
pub use wait_queue::WaitingRequest;
pub use wait_queue::first_asked;
