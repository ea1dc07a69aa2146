//! The rules: which teams pay, what share trials may take, and what is non-idempotent.
//!
//! Operators keep them as a TOML file and apply it as a whole. Rules are always
//! checked against a register, since they name its models and services. Bearer
//! tokens appear only as SHA-256 digests, and not even these reach an error.
//!
//! ```
//! use kelpworks::register::Register;
//! use kelpworks::rules::Rules;
//!
//! let register = Register::default();
//! let text = r#"
//! [trial]
//! share = 0.2
//!
//! [[team]]
//! name = "sellers"
//! class = "paying"
//! token_sha256 = ["b5a2c96250612366ea272ffac6d9744aaf4b45aacd96aa7cfcb931ee3b558259"]
//! "#;
//! let rules = Rules::parse("rules.toml", text, &register)?;
//! assert_eq!(rules.teams[0].weight, 1);
//! # Ok::<(), kelpworks::config::document::Error>(())
//! ```

mod check;
mod file;
pub(crate) mod path;

use std::fmt;

use crate::register::Register;
use kelpworks_wire::Class;

pub use crate::config::document::Error;
pub use crate::config::document::Result;

/// The whole of the rules, checked against a register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Share of the fleet that trials may take, 0 to 1.
    pub trial_share: f64,
    /// Teams; names and tokens are unique.
    pub teams: Vec<Team>,
    /// Requests that run at most once.
    pub non_idempotent: Vec<NonIdempotent>,
}

impl Rules {
    /// Reads rules from their TOML text; `file` names it in errors.
    ///
    /// The default of a team's weight is 1.
    ///
    /// # Errors
    ///
    /// The first fault by line: not TOML, an unknown or missing key, a share
    /// outside 0 to 1, a duplicate team or token, or a rule for a team, model
    /// or service that does not exist.
    pub fn parse(file: &str, text: &str, register: &Register) -> Result<Rules> {
        check::parse(file, text, Some(register))
    }

    /// Reads rules by themselves, for want of a register: models and services are not looked up.
    ///
    /// # Errors
    ///
    /// As [`Rules::parse`], but for models and services.
    pub fn parse_without_register(file: &str, text: &str) -> Result<Rules> {
        check::parse(file, text, None)
    }
}

/// A team of callers.
#[derive(Clone, PartialEq)]
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

impl fmt::Debug for Team {
    /// Leaves out the digests, so that a logged team tells nothing of its tokens.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Team")
            .field("name", &self.name)
            .field("class", &self.class)
            .field("weight", &self.weight)
            .field("tokens", &self.token_sha256.len())
            .finish()
    }
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
