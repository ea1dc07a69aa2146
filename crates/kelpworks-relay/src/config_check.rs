//! Checks a configuration before it is published: errors, entries without effect, contradictions,
//! and differences from the configuration in force.
//!
//! [`check`] takes the text as the platform's store holds it, so that it fails where a daemon's own
//! decoding would. All differences are of meaning: requests are compared by the route that they
//! match, shares of services as ratios, and API keys by the team that they name.
//!
//! ```
//! use kelpworks_relay::config::Configuration;
//! use kelpworks_relay::config_check::Severity;
//! use kelpworks_relay::config_check::check_entries;
//!
//! let findings = check_entries(&Configuration::default());
//! assert_eq!(findings[0].severity, Severity::Error, "a daemon does not activate version 0");
//! ```
//!
//! Limits: of a text that is not of the platform's schema, only the first error is reported. Keys
//! that the decoder does not know are not reported. A new name of a route is no difference, as
//! names of routes are only logged.

mod differences;
mod entries;
mod keys;
mod text;

use std::sync::Arc;

use serde::Serialize;

use crate::adapter::Adapter;
use crate::adapter::ConfigurationError;
use crate::adapter::ErrorPlace;
use crate::config::Configuration;

pub use differences::compare;
pub use entries::check_entries;

/// How serious a finding is, the most serious first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Daemons do not activate the configuration.
    Error,
    /// Probably not intended, or callers are cut off.
    Warning,
    /// A difference that cuts no caller off.
    Note,
}

/// The part of a configuration that a finding is about.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Location {
    /// The configuration as a whole.
    Configuration,
    /// A position in the text, with line and column from 1; column 0 is the end of the line before.
    Position {
        /// Line.
        line: usize,
        /// Column, in bytes.
        column: usize,
    },
    /// The route of this name.
    Route(Arc<str>),
    /// Requests to a host, by the prefix of the path that decides their route.
    Requests {
        /// Host name in lower case.
        host: Box<str>,
        /// Prefix of the path.
        prefix: Box<str>,
    },
    /// The service of this name.
    Service(Arc<str>),
    /// The team of this name.
    Team(Arc<str>),
    /// The limits on callers.
    Limits,
}

/// A setting whose value a finding names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Setting {
    /// How requests may be retried.
    Kind,
    /// Shares of services in a route's traffic.
    Shares,
    /// Timeout of a route.
    Timeout,
    /// Latency target of a route.
    LatencyTarget,
    /// Maximum pause of a stream that is on time.
    GapTarget,
    /// Maximum number of attempts.
    Attempts,
    /// Priority of a route or a team.
    Priority,
    /// Whether requests need no API key.
    Anonymous,
    /// Maximum number of connections of an upstream.
    Connections,
    /// Maximum size of a request head.
    HeadSize,
    /// Maximum size of a request body.
    BodySize,
    /// Maximum time to receive a request head.
    HeadTimeout,
    /// Time for which an idle connection stays open.
    IdleTimeout,
}

/// A value of a setting, with its unit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A time in milliseconds.
    Ms(u64),
    /// A size in bytes.
    Bytes(u64),
    /// A number without a unit.
    Number(u64),
    /// Whether something holds.
    Flag(bool),
    /// Kind of a route.
    Kind(&'static str),
    /// Shares of services, by name.
    Shares(Vec<Share>),
    /// The setting is absent.
    Absent,
}

/// The share of a service in a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight, in lowest terms with the weights of the other services; above 0.
    pub weight: u64,
}

/// How an optional part of a configuration differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Only the new configuration has it.
    Added,
    /// Only the configuration in force has it.
    Removed,
    /// Both have it, with different contents.
    Replaced,
}

/// What was found. API keys are named by their number in the team's list, from 1, and never quoted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(tag = "finding", rename_all = "snake_case")]
#[non_exhaustive]
pub enum FindingKind {
    /// The configuration can't be decoded.
    Invalid {
        /// What is wrong.
        reason: String,
    },
    /// The version is 0, which stands for no configuration.
    NoVersion,
    /// The configuration differs from the one in force, but its version is not greater.
    VersionNotGreater {
        /// Its version.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
    /// Several entries of one kind have this name.
    DuplicateName {
        /// Number of the first in its list, from 1.
        first: usize,
        /// Number of the other.
        other: usize,
    },
    /// Another route of the same host and prefix receives all requests.
    HiddenRoute {
        /// Name of that route.
        by: Arc<str>,
    },
    /// No request has a host name of this form.
    UnmatchableHost {
        /// Host name of the route.
        host: Box<str>,
    },
    /// No request has a path with this prefix.
    UnmatchablePrefix {
        /// Prefix of the route.
        prefix: Box<str>,
    },
    /// A key has no effect, since it is listed again.
    DuplicateKey {
        /// Number of the key in the team's list.
        key: usize,
        /// Name of the team to which the key belongs.
        team: Arc<str>,
        /// Its number in that team's list.
        key_there: usize,
    },
    /// No route names the service.
    UnusedService,
    /// A target receives no requests, since its weight is 0.
    ZeroWeight {
        /// Name of its service.
        service: Arc<str>,
    },
    /// All targets have weight 0.
    ZeroWeights {
        /// Name of the service that receives all requests, that of the first target.
        service: Arc<str>,
    },
    /// The timeout of a route is 0.
    NoTime,
    /// A target time is over the timeout of its route.
    OverTimeout {
        /// Which target time it is.
        setting: Setting,
        /// The target time, in milliseconds.
        ms: u64,
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// A route permits no attempt; daemons make one.
    NoAttempts,
    /// Request heads may be larger than bodies.
    HeadLimitOverBodyLimit {
        /// Maximum size of a head, in bytes.
        head_bytes: u64,
        /// Maximum size of a body, in bytes.
        body_bytes: u64,
    },
    /// Connections may be idle for a shorter time than a head may take.
    IdleTimeoutUnderHeadTimeout {
        /// Idle timeout, in milliseconds.
        idle_ms: u64,
        /// Head timeout, in milliseconds.
        head_ms: u64,
    },
    /// Requests that match no route now would match one.
    RouteAdded {
        /// Name of that route.
        route: Arc<str>,
    },
    /// The route that these requests match now is removed.
    RouteRemoved {
        /// Name of that route.
        route: Arc<str>,
        /// Name of the route with a shorter prefix that would serve them, in another way; without
        /// one they would be refused.
        served_by: Option<Arc<str>>,
    },
    /// Only the new configuration has this service or this team.
    Added,
    /// Only the configuration in force has it.
    Removed,
    /// A setting has another value.
    Changed {
        /// Which setting it is.
        setting: Setting,
        /// Value in force.
        old: Value,
        /// New value.
        new: Value,
    },
    /// The speeds and sizes of a service's engines differ.
    EngineProfile {
        /// How they differ.
        change: Change,
    },
    /// Keys that are accepted now would be refused.
    KeysRevoked {
        /// Their numbers in the list in force.
        keys: Vec<usize>,
    },
    /// The team has further keys.
    KeysAdded {
        /// Their numbers in the new list.
        keys: Vec<usize>,
    },
    /// Keys would name another team.
    KeysMoved {
        /// Their numbers in the list in force.
        keys: Vec<usize>,
        /// Name of the other team.
        to: Arc<str>,
    },
    /// Requests need no key now, and would need one.
    KeysRequired,
    /// Requests need a key now, and would need none.
    KeysNotRequired,
}

/// A finding in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// What it is about.
    pub location: Location,
    /// What was found.
    #[serde(flatten)]
    pub kind: FindingKind,
}

impl Finding {
    fn error(location: Location, kind: FindingKind) -> Finding {
        Finding {
            severity: Severity::Error,
            location,
            kind,
        }
    }

    fn warning(location: Location, kind: FindingKind) -> Finding {
        Finding {
            severity: Severity::Warning,
            location,
            kind,
        }
    }

    fn note(location: Location, kind: FindingKind) -> Finding {
        Finding {
            severity: Severity::Note,
            location,
            kind,
        }
    }
}

impl From<ConfigurationError> for Finding {
    fn from(error: ConfigurationError) -> Finding {
        let location = match error.place {
            ErrorPlace::Configuration => Location::Configuration,
            ErrorPlace::Position { line, column } => Location::Position { line, column },
            ErrorPlace::Route(name) => Location::Route(name),
        };
        let reason = error.reason;
        Finding::error(location, FindingKind::Invalid { reason })
    }
}

/// Checks the text of a configuration, and compares it with the one in force if that is given.
/// Returns the most serious findings first; none of them is an error exactly if daemons activate
/// the configuration.
pub fn check<A: Adapter>(text: &str, in_force: Option<&Configuration>) -> Vec<Finding> {
    let configuration = match A::decode_configuration(text) {
        Ok(configuration) => configuration,
        Err(_) => {
            let errors = A::configuration_errors(text);
            return errors.into_iter().map(Finding::from).collect();
        }
    };
    let mut findings = check_entries(&configuration);
    if let Some(in_force) = in_force {
        findings.extend(compare(in_force, &configuration));
    }
    findings.sort_by_key(|f| f.severity);
    findings
}
