//! Which upstream holds which layers of which model.

mod cuts;
mod input;
mod locality;
mod orders;
mod plan;
mod planner;
mod repair;
mod search;
mod standing;
mod state;
mod today;

pub use input::HeldRange;
pub use input::HostKey;
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
pub use plan::Assigned;
pub use plan::Assignment;
pub use plan::Decision;
pub use plan::ModelPlan;
pub use plan::Plan;
pub use plan::Reason;
pub use plan::Shortfall;
pub use plan::Stage;
pub use planner::MOVE_TOLERANCE;
pub use planner::plan;
pub use repair::IMPROVE_HYSTERESIS;
pub use repair::Lost;
pub use repair::absorb;
pub use repair::improve;
pub use repair::repair;
pub use repair::without;

#[cfg(test)]
mod tests;
