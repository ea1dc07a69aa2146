//! The rules: which teams pay, what share trials may take, and what is non-idempotent.

use kelpworks_wire::Class;

/// The whole of the rules, checked against a register.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Share of the fleet that trials may take, 0 to 1.
    pub trial_share: f64,
    /// Teams; names and tokens are unique.
    pub teams: Vec<Team>,
    /// Requests that run at most once.
    pub non_idempotent: Vec<NonIdempotent>,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Paying or on trial.
    pub class: Class,
    /// Weight within its class; above 0.
    pub weight: u32,
    /// SHA-256 digests, in hex, of the bearer tokens that name the team.
    pub token_sha256: Vec<String>,
}

/// Matches requests that must run at most once.
#[derive(Clone, Debug, PartialEq)]
pub enum NonIdempotent {
    /// Calls of a plain service by method and path prefix.
    Service {
        /// Name of the service.
        service: String,
        /// HTTP method, upper case.
        method: String,
        /// Path prefix below the service, starting with `/`.
        path: String,
    },
    /// All requests to a model by a team.
    Model {
        /// Name of the model.
        model: String,
        /// Name of the team.
        team: String,
    },
}
