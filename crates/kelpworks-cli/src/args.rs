//! Parses the command line into typed commands.

use std::ffi::OsStr;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use pico_args::Arguments;

use crate::failure::Failure;
use crate::failure::Result;
use kelpworks::config::accept::PartKind;
use kelpworks::config::accept::part_name;
use kelpworks::units::DurationSetting;

/// Time to wait until a change is in force on every daemon, when `--wait` is absent.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

#[derive(Debug)]
pub(crate) enum Command {
    Help,
    Version,
    Serve {
        /// Path of the settings file.
        settings: PathBuf,
    },
    Relay {
        /// Path of the settings file.
        settings: PathBuf,
    },
    Check {
        /// Files to check; at least one.
        files: Vec<PathBuf>,
    },
    /// `check-config`.
    CheckConfig(ConfigCheck),
    /// `register import` and `rules apply`.
    Change(Change),
    /// `status`.
    Status(StatusQuery),
    /// `blame`.
    Blame(BlameQuery),
}

/// Options of `check-config`.
#[derive(Debug)]
pub(crate) struct ConfigCheck {
    /// File with the configuration to check.
    pub(crate) file: PathBuf,
    /// File with the configuration in force, to compare with.
    pub(crate) against: Option<PathBuf>,
    /// Print JSON.
    pub(crate) json: bool,
}

/// A change of the register or the rules.
#[derive(Debug)]
pub(crate) struct Change {
    /// Whether the register or the rules change.
    pub(crate) which: PartKind,
    /// File with the new text.
    pub(crate) file: PathBuf,
    /// Only print the difference; nothing is applied.
    pub(crate) dry_run: bool,
    /// Settings file that supplies the addresses that no option gives.
    pub(crate) settings: Option<PathBuf>,
    /// URL of the object API; overrides the settings.
    pub(crate) object_api: Option<String>,
    /// Operators' addresses of the daemons to query; override the settings.
    pub(crate) operators: Vec<SocketAddr>,
    /// Longest wait until the change is in force on every daemon.
    pub(crate) wait: Duration,
}

/// Options of `status`.
#[derive(Debug)]
pub(crate) struct StatusQuery {
    /// Print JSON.
    pub(crate) json: bool,
    /// Settings file that supplies the operators' address when no option gives one.
    pub(crate) settings: Option<PathBuf>,
    /// Operators' addresses of the daemons to query; override the settings.
    pub(crate) operators: Vec<SocketAddr>,
}

/// Options of `blame`.
#[derive(Debug)]
pub(crate) struct BlameQuery {
    /// Print JSON.
    pub(crate) json: bool,
    /// Operators' addresses of the daemons to query; at least one.
    pub(crate) operators: Vec<SocketAddr>,
}

/// Parses the command line.
///
/// # Errors
///
/// [`Failure::Usage`] for an unknown command or argument, including an option of another command.
pub(crate) fn parse(args: Vec<OsString>) -> Result<Command> {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    match subcommand(&mut args)?.as_deref() {
        Some("serve") => Ok(Command::Serve {
            settings: settings_only(args, "serve")?,
        }),
        Some("relay") => Ok(Command::Relay {
            settings: settings_only(args, "relay")?,
        }),
        Some("check") => check(args),
        Some("check-config") => check_config(args),
        Some("register") => change(args, PartKind::Register, "import"),
        Some("rules") => change(args, PartKind::Rules, "apply"),
        Some("status") => status(args),
        Some("blame") => blame(args),
        Some(other) => Err(Failure::Usage(format!("unknown command `{other}`"))),
        None => Err(Failure::Usage("a command is missing".to_owned())),
    }
}

/// Parses the arguments of a command that takes `--settings` only.
fn settings_only(mut args: Arguments, command: &str) -> Result<PathBuf> {
    let settings = path_option(&mut args, "--settings")?;
    reject_remaining(args)?;
    let missing = || Failure::Usage(format!("{command} needs --settings FILE"));
    settings.ok_or_else(missing)
}

fn check(args: Arguments) -> Result<Command> {
    let files = args.finish();
    if let Some(option) = files.iter().find(|f| is_option(f)) {
        return Err(unexpected(option));
    }
    if files.is_empty() {
        return Err(Failure::Usage("check needs at least one FILE".to_owned()));
    }
    Ok(Command::Check {
        files: files.into_iter().map(PathBuf::from).collect(),
    })
}

fn check_config(mut args: Arguments) -> Result<Command> {
    let json = args.contains("--json");
    let against = path_option(&mut args, "--against")?;
    Ok(Command::CheckConfig(ConfigCheck {
        file: only_file(args, "check-config")?,
        against,
        json,
    }))
}

fn change(mut args: Arguments, which: PartKind, verb: &str) -> Result<Command> {
    let noun = part_name(which);
    if subcommand(&mut args)?.as_deref() != Some(verb) {
        return Err(Failure::Usage(format!("expected `{noun} {verb} FILE`")));
    }
    let dry_run = args.contains("--dry-run");
    let settings = path_option(&mut args, "--settings")?;
    let object_api = args.opt_value_from_str("--object-api").map_err(usage)?;
    let operators = operators(&mut args)?;
    let wait = args
        .opt_value_from_str::<_, DurationSetting>("--wait")
        .map_err(usage)?;
    if settings.is_none() && object_api.is_none() {
        let text = format!("{noun} {verb} needs --settings FILE or --object-api URL");
        return Err(Failure::Usage(text));
    }
    Ok(Command::Change(Change {
        which,
        file: only_file(args, &format!("{noun} {verb}"))?,
        dry_run,
        settings,
        object_api,
        operators,
        wait: wait.map_or(DEFAULT_WAIT, |w| w.0),
    }))
}

fn status(mut args: Arguments) -> Result<Command> {
    let json = args.contains("--json");
    let settings = path_option(&mut args, "--settings")?;
    let operators = operators(&mut args)?;
    reject_remaining(args)?;
    if settings.is_none() && operators.is_empty() {
        let text = "status needs --operators ADDR or --settings FILE";
        return Err(Failure::Usage(text.to_owned()));
    }
    Ok(Command::Status(StatusQuery {
        json,
        settings,
        operators,
    }))
}

fn blame(mut args: Arguments) -> Result<Command> {
    let json = args.contains("--json");
    let operators = operators(&mut args)?;
    reject_remaining(args)?;
    if operators.is_empty() {
        let text = "blame needs --operators ADDR";
        return Err(Failure::Usage(text.to_owned()));
    }
    Ok(Command::Blame(BlameQuery { json, operators }))
}

/// Returns the file of a command that takes exactly one, and rejects all other arguments.
fn only_file(args: Arguments, command: &str) -> Result<PathBuf> {
    let mut rest = args.finish();
    if let Some(option) = rest.iter().find(|a| is_option(a)) {
        return Err(unexpected(option));
    }
    match (rest.pop(), rest.is_empty()) {
        (Some(file), true) => Ok(file.into()),
        _ => Err(Failure::Usage(format!("{command} needs one FILE"))),
    }
}

/// Returns the next argument that is not an option.
fn subcommand(args: &mut Arguments) -> Result<Option<String>> {
    args.subcommand().map_err(usage)
}

fn path_option(args: &mut Arguments, name: &'static str) -> Result<Option<PathBuf>> {
    let to_path = |s: &OsStr| Ok::<_, std::convert::Infallible>(PathBuf::from(s));
    args.opt_value_from_os_str(name, to_path).map_err(usage)
}

/// Returns the comma-separated addresses of `--operators`; empty when the option is absent.
fn operators(args: &mut Arguments) -> Result<Vec<SocketAddr>> {
    let list: Option<String> = args.opt_value_from_str("--operators").map_err(usage)?;
    let Some(list) = list else {
        return Ok(Vec::new());
    };
    let address = |text: &str| {
        let invalid = |_| Failure::Usage(format!("`{text}` is no address such as 10.0.0.1:9090"));
        text.trim().parse().map_err(invalid)
    };
    list.split(',').map(address).collect()
}

/// Rejects arguments that no option has consumed.
fn reject_remaining(args: Arguments) -> Result<()> {
    match args.finish().first() {
        Some(arg) => Err(unexpected(arg)),
        None => Ok(()),
    }
}

fn is_option(arg: &OsStr) -> bool {
    arg.as_encoded_bytes().starts_with(b"-")
}

fn unexpected(arg: &OsStr) -> Failure {
    Failure::Usage(format!("unexpected argument `{}`", arg.display()))
}

fn usage(error: pico_args::Error) -> Failure {
    Failure::Usage(error.to_string())
}
