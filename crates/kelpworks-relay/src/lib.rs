//! A router that forwards whole requests, to plain services or along paths of engines that pass
//! activations to each other.
//!
//! The crate `kelpworks` drives engines step by step. Engines that can pass a request along a path
//! by themselves need a daemon only to choose the path, to monitor the stream, and to continue on
//! another path when the stream breaks. An adapter translates the platform's protocol, see
//! [`adapter`].
//!
//! ```
//! use kelpworks_relay::config::Configuration;
//! use kelpworks_relay::config::RoutingTable;
//!
//! let table = RoutingTable::new(Configuration::default());
//! assert_eq!(table.version(), 0, "a daemon without a configuration refuses all requests");
//! ```
//!
//! Limits: only HTTP/1.1 without TLS; a request body is buffered in full before it is forwarded.

pub mod adapter;
pub mod assignments;
pub mod blame;
pub mod clearance;
pub mod concurrency_limit;
pub mod config;
pub mod config_check;
pub mod constraints;
pub mod contention;
pub mod daemon;
pub mod engine_calls;
mod event_loop;
pub mod fleet;
pub mod layout;
pub mod limits;
mod link_probes;
mod operators;
pub mod owner_checks;
pub mod path;
mod peers;
pub mod permit;
mod placer;
mod planned_stop;
pub mod pool;
mod predecessor_checks;
pub mod reach;
mod relay;
pub mod retry_budget;
pub mod settings;
pub mod shared;
pub mod slowness;
pub mod store_cache;
mod store_watch;
pub mod suspect_checks;
pub mod suspects;
pub mod traffic_plan;
mod verdict_store;
