//! Who may start, and when: paying before trial, and fair shares among teams.

use std::time::Duration;

use kelpworks_wire::Class;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A request that was not admitted; nothing of it ran.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// When to come back.
    pub retry_after: Duration,
    /// Why, for the log and the caller.
    pub reason: &'static str,
}

/// What admission needs to know of a request.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Its class.
    pub class: Class,
    /// Its weight within the class.
    pub weight: u32,
    /// Positions it will run at most, prompt and answer.
    pub cost: u32,
}

/// Admission of one daemon.
#[derive(Debug, Default)]
pub struct Admission {}

/// Leave to run one request; dropping it ends the request for admission.
#[derive(Debug)]
pub struct Permit {}

impl Admission {
    /// Waits for leave to run a request.
    ///
    /// # Errors
    ///
    /// A refusal at once where the wait would be too long; the request has not run.
    pub async fn admit(&self, _ask: Ask<'_>) -> Result<Permit> {
        Ok(Permit {})
    }
}

impl Permit {
    /// Waits until the next token of this request may run; paying requests never wait here.
    pub async fn turn(&self) {}
}
