//! How a command ends when it does not succeed.

use std::io;
use std::process::ExitCode;

use thiserror::Error;

use kelpworks::config::accept;
use kelpworks::config::document;

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// Exit code of an outcome that failed.
const OUTCOME: u8 = 1;
/// Exit code of bad input.
const BAD_INPUT: u8 = 2;

/// Why a command failed.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub(crate) enum Failure {
    /// The command line is not understood.
    #[error("{0}\nTry `kelpworks --help`.")]
    Usage(String),
    /// Files are at fault, one each.
    #[error("{}", lines(.0))]
    Files(Vec<document::Error>),
    /// The register or the rules were not accepted.
    #[error(transparent)]
    Accept(accept::Error),
    /// Accepted, but not in force everywhere within the time.
    #[error("generation {generation} is accepted, but not in force yet on: {}", .lagging.join(", "))]
    Lagging {
        /// The generation that was accepted.
        generation: u64,
        /// Names of the daemons that lag.
        lagging: Vec<String>,
    },
    /// Accepted, but no daemon could be asked.
    #[error("generation {generation} is accepted, but no daemon answers: {reason}")]
    Unseen {
        /// The generation that was accepted.
        generation: u64,
        /// The last error.
        reason: kelpworks::status::Error,
    },
    /// No daemon answers.
    #[error(transparent)]
    Status(#[from] kelpworks::status::Error),
    /// The machine refused something.
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
    /// The exit code that tells scripts what happened.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Failure::Usage(_) | Failure::Files(_) | Failure::RelaySettings(_) => BAD_INPUT,
            Failure::Accept(e) if is_bad_input(e) => BAD_INPUT,
            _ => OUTCOME,
        };
        ExitCode::from(code)
    }
}

impl From<document::Error> for Failure {
    fn from(error: document::Error) -> Failure {
        Failure::Files(vec![error])
    }
}

/// Whether the proposal can never be accepted as it stands.
fn is_bad_input(error: &accept::Error) -> bool {
    matches!(
        error,
        accept::Error::Invalid(_) | accept::Error::BreaksRules(_) | accept::Error::NoRegister
    )
}

/// One error a line.
fn lines(errors: &[document::Error]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
