//! Placement of model layers on engine hosts.
//!
//! No host can hold a whole model, accelerators differ in rate and memory, and any host or failure
//! domain may be lost. A model is therefore partitioned into stages of consecutive layers, and
//! every stage gets replicas on hosts of at least two failure domains, whose rates together keep it
//! from being the bottleneck. All functions of this module are pure functions of their [`Input`]:
//! they use no clock, no random numbers and no I/O.
//!
//! * [`plan()`] plans all models from scratch, keeping loaded layers where that costs little rate;
//! * [`repair()`] changes the active plan after a loss, with the fewest moves;
//! * [`plan_from_loaded`] reconstructs a plan from the layers that hosts have loaded;
//! * [`assign_idle_hosts`] assigns hosts that joined or came back;
//! * [`improve`] returns a better plan when the gain justifies the moves;
//! * [`orders()`] lists the loads and unloads that lead to a plan while every model stays complete;
//! * [`Plan::explain`] returns the reason for the assignment of a host, for the log.
//!
//! ```
//! use std::time::Duration;
//!
//! use kelpworks::fleet::{DomainKey, LinkCost, ModelKey};
//! use kelpworks::placement::{FailureScope, HostSpec, Input, ModelSpec, orders, plan, repair};
//! use kelpworks::units::{Rate, Size};
//!
//! let host = |i: u16| HostSpec {
//!     name: format!("host-{i}").into(),
//!     domain: DomainKey(i % 2),
//!     memory: Size(50_000_000_000),
//!     layer_rate: 8_000.0,
//!     models: vec![ModelKey(0)],
//!     live: true,
//! };
//! let link = LinkCost { latency: Duration::from_millis(1), bytes_per_second: 1_000_000_000 };
//! let mut input = Input {
//!     domains: vec!["hall-a".into(), "hall-b".into()],
//!     hosts: (0..8).map(host).collect(),
//!     models: vec![ModelSpec {
//!         name: "caption".into(),
//!         version: "v1".into(),
//!         layers: 40,
//!         layer_size: Size(1_500_000_000),
//!         demand: 1.0,
//!     }],
//!     links: vec![link; 4],
//!     loaded_ranges: Vec::new(),
//!     weight_rate: Rate(2_000_000_000),
//! };
//! let placed = plan(&input);
//! assert_eq!(placed.models[0].stages.len(), 2);
//! assert_eq!(placed.scale(&input), input.bound());
//!
//! let steps = orders(&input, &placed).steps;
//! assert_eq!(steps.len(), 8);
//!
//! input.loaded_ranges = placed.host_ranges(&input);
//! let lost = FailureScope::Host(input.host_named("host-3").unwrap());
//! assert_eq!(repair(&input, &placed, lost).moves(&input), 0);
//! ```
//!
//! # Limits
//!
//! A host holds one range of one model, so a fleet needs two hosts for each stage of each model;
//! where it has fewer, [`Plan::shortfalls`] lists the stages that are not redundant. All replicas
//! of a stage hold the same range. Rates are those of the register, not measured ones, and a fixed
//! part of a host's memory, [`KV_HEADROOM`], is left to the KV cache whatever its load. The plan
//! comes from a local search and may not be optimal. Adapters and roles of engines are not placed.

mod input;
mod loaded;
mod locality;
mod orders;
mod partitions;
mod plan;
mod planner;
mod redundancy;
mod repair;
mod search;
mod state;

pub use input::HostKey;
pub use input::HostRange;
pub use input::HostSpec;
pub use input::Input;
pub use input::KV_HEADROOM;
pub use input::ModelSpec;
pub use locality::link_latency;
pub use orders::Action;
pub use orders::Drain;
pub use orders::OrderReason;
pub use orders::OrderStep;
pub use orders::Orders;
pub use orders::Switch;
pub use orders::orders;
pub use plan::Assignment;
pub use plan::AssignmentDetails;
pub use plan::Decision;
pub use plan::ModelPlan;
pub use plan::Plan;
pub use plan::Reason;
pub use plan::Shortfall;
pub use plan::Stage;
pub use planner::MOVE_TOLERANCE;
pub use planner::plan;
pub use repair::FailureScope;
pub use repair::IMPROVE_HYSTERESIS;
pub use repair::assign_idle_hosts;
pub use repair::improve;
pub use repair::plan_from_loaded;
pub use repair::repair;
pub use repair::without;

#[cfg(test)]
mod tests;
