//! Drives a session through the stages of a model, token by token.
//!
//! The daemon sends each step to one replica of each stage in order; between
//! the stages activations go from engine to engine by handle, or inline where an
//! engine can't keep them. A stage that fails is replaced alone: its successor
//! replays the positions from its predecessor's kept outputs, and the other
//! stages go on from where they stand. Tokens already sent are never changed.

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
