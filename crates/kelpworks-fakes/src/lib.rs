//! Fakes of the outside systems that kelpworks calls, for tests, examples and benchmarks only.
//!
//! Each fake serves the HTTP interface of the real system on a loopback port. Engines and plain
//! services record what they ran in a ledger. Faults are injected into single requests by
//! [`Fault`], into whole connections by [`ConnectionMode`], and into the network path between two
//! processes by [`Link`]. [`Model::answer`] computes the answer that a pipeline of fake engines
//! must give.
//!
//! ```
//! use kelpworks_fakes::Engine;
//! use kelpworks_fakes::EngineConfig;
//! use kelpworks_fakes::Model;
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> kelpworks_fakes::Result<()> {
//! let model = Model::new("caption", "1", 8);
//! let mut cfg = EngineConfig::new("engine-0", vec![model]);
//! cfg.load("caption", 0..8);
//! let engine = Engine::spawn(cfg).await?;
//! assert!(engine.url().starts_with("http://127.0.0.1:"));
//! assert!(engine.ledger().runs().is_empty());
//! # Ok(())
//! # }
//! ```
//!
//! Limits: a fake keeps its state in memory only, and the time that an engine takes comes from a
//! linear model of its iterations, not from an accelerator.

mod error;
mod fault;
mod host_list;
mod link;
mod model;
mod object_api;
mod plain_service;
mod server;
mod weight_store;

pub mod config_files;
pub mod engine;
pub mod fleet;

pub use engine::Engine;
pub use engine::EngineConfig;
pub use error::Error;
pub use error::Result;
pub use fault::ConnectionMode;
pub use fault::Fault;
pub use fault::FaultKind;
pub use fault::FaultUpdate;
pub use fault::Faults;
pub use fleet::FakeFleet;
pub use fleet::FleetConfig;
pub use host_list::FakeHostList;
pub use host_list::HostListConfig;
pub use link::Link;
pub use link::LinkState;
pub use model::KvCache;
pub use model::Model;
pub use model::VOCABULARY_SIZE;
pub use model::token_text;
pub use model::tokenize;
pub use object_api::ApiMode;
pub use object_api::CallCounts;
pub use object_api::ObjectApi;
pub use object_api::ObjectApiConfig;
pub use plain_service::Execution;
pub use plain_service::PlainService;
pub use plain_service::PlainServiceConfig;
pub use weight_store::WeightStore;
pub use weight_store::WeightStoreConfig;
