//! Drives a session through the stages of a model, token by token.
//!
//! The daemon sends each step to one replica of each stage in order. Between stages, activations
//! pass from engine to engine by handle, or inline through the daemon where an engine cannot retain
//! them. A stage that fails is replaced alone: its replacement replays the positions from the
//! retained outputs of the stage before it, and the other stages keep their state. Tokens already
//! sent to the caller never change.

mod cancel;
mod driver;
mod hop;
mod path;
mod recovery;
mod session;
mod step;
pub mod tokens;

pub use driver::Driver;
pub use driver::Job;
pub use driver::Outcome;
pub use driver::SessionError;
pub use step::Deadlines;
pub use step::StepFailure;
