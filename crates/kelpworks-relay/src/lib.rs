//! The relaying side of kelpworks: whole requests, forwarded to plain services and along paths of
//! engines that pass activations on among themselves.
//!
//! The crate `kelpworks` drives engines step by step; engines that know how to pass a request along
//! a path need a daemon only to choose the path, to watch the stream, and to go on elsewhere when it
//! breaks. An adapter translates the platform's protocol, see [`adapter`].
//!
//! ```
//! use kelpworks_relay::config::Configuration;
//! use kelpworks_relay::config::RoutingTable;
//!
//! let table = RoutingTable::new(Configuration::default());
//! assert_eq!(table.version(), 0, "a daemon without a configuration refuses all requests");
//! ```
//!
//! Limits: HTTP/1.1 without encryption; request bodies are read whole before they are sent.

pub mod adapter;
pub mod assignments;
pub mod config;
pub mod crashes;
pub mod daemon;
pub mod fleet;
pub mod layout;
pub mod limits;
mod operators;
pub mod path;
mod peers;
pub mod permit;
mod placer;
pub mod pool;
mod relay;
pub mod retry_budget;
mod server;
pub mod settings;
pub mod shared;
pub mod slowness;
pub mod store_cache;
mod store_watch;
mod sync;
pub mod traffic_plan;
