//! Errors of commands and their exit codes.

use std::fmt;
use std::io;
use std::process::ExitCode;

use thiserror::Error;

use kelpworks::config::accept;
use kelpworks::config::document;
use kelpworks_relay::adapter::DecodeError;
use kelpworks_relay::config_check::Finding;
use kelpworks_relay::config_check::Severity;

pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// Exit code of a failed outcome: a conflict, a daemon that lags, an outage, findings in a
/// configuration.
const EXIT_FAILED_OUTCOME: u8 = 1;
/// Exit code of bad input; nothing was applied.
const EXIT_BAD_INPUT: u8 = 2;

/// Why a command failed.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub(crate) enum Failure {
    /// The command line is invalid.
    #[error("{0}\nTry `kelpworks --help`.")]
    Usage(String),
    /// Files are invalid; one error per file.
    #[error("{}", one_per_line(.0))]
    Files(Vec<document::Error>),
    /// A configuration can't be read.
    #[error("{file}: cannot be read: {reason}")]
    ConfigurationFile {
        /// Name of the file.
        file: String,
        /// Why it can't be read.
        reason: io::ErrorKind,
    },
    /// The configuration in force, as the caller states it, can't be decoded.
    #[error("{file}: {source}")]
    InForce {
        /// Name of the file.
        file: String,
        /// What is wrong.
        source: DecodeError,
    },
    /// A configuration has findings, which were printed.
    #[error("{file}: {counts}")]
    Findings {
        /// Name of the file.
        file: String,
        /// Their numbers.
        counts: FindingCounts,
    },
    /// The register or the rules were not accepted.
    #[error(transparent)]
    Accept(accept::Error),
    /// The change is accepted, but is not in force on every daemon within the wait.
    #[error("generation {generation} is accepted, but not in force yet on: {}", .lagging.join(", "))]
    Lagging {
        /// The generation that was accepted.
        generation: u64,
        /// Names of the daemons that lag.
        lagging: Vec<String>,
    },
    /// The change is accepted, but no daemon answered a query for its status.
    #[error("generation {generation} is accepted, but no daemon answers: {reason}")]
    NoAnswer {
        /// The generation that was accepted.
        generation: u64,
        /// The error of the last daemon that was queried.
        reason: kelpworks::status::Error,
    },
    /// No relaying daemon reports what it holds back.
    #[error("{address} does not report what it holds back: {source}")]
    Blame {
        /// Operators' address of the last daemon that was queried.
        address: std::net::SocketAddr,
        /// Why it was not read.
        source: reqwest::Error,
    },
    /// No daemon answers.
    #[error(transparent)]
    Status(#[from] kelpworks::status::Error),
    /// The operating system refused an operation, such as the start of a thread.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The logger cannot start.
    #[error(transparent)]
    Logger(#[from] flexi_logger::FlexiLoggerError),
    /// A daemon could not start.
    #[error(transparent)]
    Daemon(#[from] kelpworks::daemon::Error),
    /// A relaying daemon could not start.
    #[error(transparent)]
    Relay(#[from] kelpworks_relay::daemon::Error),
    /// The settings of a relaying daemon can't be used.
    #[error(transparent)]
    RelaySettings(#[from] kelpworks_relay::settings::Error),
    /// A client of the platform's store could not be built.
    #[error("store: {0}")]
    Store(#[from] kelpworks::clients::object_api::Error),
    /// A client of engines could not be built.
    #[error("engines: {0}")]
    Engines(#[from] reqwest::Error),
}

impl Failure {
    /// Returns the exit code for scripts.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Failure::Usage(_) | Failure::Files(_) | Failure::RelaySettings(_) => EXIT_BAD_INPUT,
            Failure::ConfigurationFile { .. } | Failure::InForce { .. } => EXIT_BAD_INPUT,
            Failure::Findings { counts, .. } if counts.errors > 0 => EXIT_BAD_INPUT,
            Failure::Accept(e) if is_bad_input(e) => EXIT_BAD_INPUT,
            _ => EXIT_FAILED_OUTCOME,
        };
        ExitCode::from(code)
    }
}

/// Numbers of the findings in a configuration, by severity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FindingCounts {
    errors: usize,
    warnings: usize,
    notes: usize,
}

impl FindingCounts {
    pub(crate) fn new(findings: &[Finding]) -> FindingCounts {
        let count = |severity| findings.iter().filter(|f| f.severity == severity).count();
        FindingCounts {
            errors: count(Severity::Error),
            warnings: count(Severity::Warning),
            notes: count(Severity::Note),
        }
    }
}

impl fmt::Display for FindingCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FindingCounts {
            errors,
            warnings,
            notes,
        } = self;
        write!(f, "errors: {errors}, warnings: {warnings}, notes: {notes}")
    }
}

impl From<document::Error> for Failure {
    fn from(error: document::Error) -> Failure {
        Failure::Files(vec![error])
    }
}

/// Whether a retry can't succeed until the proposal is changed or a register is imported.
fn is_bad_input(error: &accept::Error) -> bool {
    matches!(
        error,
        accept::Error::Invalid(_) | accept::Error::IncompatibleRules(_) | accept::Error::NoRegister
    )
}

/// Joins errors, one per line.
fn one_per_line(errors: &[document::Error]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
