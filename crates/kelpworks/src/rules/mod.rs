//! The rules: teams and their classes, the share of the fleet for trials, and which requests are
//! non-idempotent.
//!
//! Operators keep them as a TOML file and apply it as a whole. Before rules are applied they are
//! checked against a register, since they name its models and services. Bearer tokens appear only
//! as SHA-256 digests, and error messages do not quote even these.
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

/// All rules. Those from [`Rules::parse`] are checked against a register.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Share of the fleet that trials may use, from 0 to 1.
    pub trial_share: f64,
    /// Teams; no two have the same name or a token in common.
    pub teams: Vec<Team>,
    /// Rules that select the requests that must run at most once.
    pub non_idempotent: Vec<NonIdempotent>,
}

impl Rules {
    /// Parses and checks rules. `file` is their name in errors.
    ///
    /// # Errors
    ///
    /// Text that is not TOML, or an unknown or missing key. Otherwise the first error by line: a
    /// share outside 0 to 1, a weight of 0, a malformed or duplicate team name or token digest, a
    /// rule with wrong keys, or a rule for a team, model or service that does not exist.
    pub fn parse(file: &str, text: &str, register: &Register) -> Result<Rules> {
        check::parse(file, text, Some(register))
    }

    /// Parses rules when no register is at hand. Models and services are not looked up.
    ///
    /// # Errors
    ///
    /// Those of [`Rules::parse`], except for undefined models and services.
    pub fn parse_without_register(file: &str, text: &str) -> Result<Rules> {
        check::parse(file, text, None)
    }
}

/// A team of callers.
#[derive(Clone, PartialEq)]
pub struct Team {
    /// Name, unique among teams.
    pub name: String,
    /// Paying or on trial.
    pub class: Class,
    /// Weight relative to other teams of the class; above 0. Default 1.
    pub weight: u32,
    /// SHA-256 digests, in lower-case hexadecimal, of the bearer tokens that identify the team.
    pub token_sha256: Vec<String>,
}

impl fmt::Debug for Team {
    /// Prints the number of digests instead of the digests, so that a logged team reveals nothing
    /// about its tokens.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Team")
            .field("name", &self.name)
            .field("class", &self.class)
            .field("weight", &self.weight)
            .field("tokens", &self.token_sha256.len())
            .finish()
    }
}

/// A rule that selects requests that must run at most once.
#[derive(Clone, Debug, PartialEq)]
pub enum NonIdempotent {
    /// Calls of a plain service by method and path prefix.
    Service {
        /// Name of the service.
        service: String,
        /// HTTP method in upper case.
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
