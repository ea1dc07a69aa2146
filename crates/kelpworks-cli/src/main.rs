//! The command line of kelpworks.
//!
//! `serve` and `relay` run a daemon; the other commands check files, change the fleet's register
//! and rules, and show its status. Results go to standard output, progress and errors to standard
//! error.
//!
//! Exit codes: 0 done; 1 the outcome failed (a conflict, a daemon that lags,
//! an outage) or a configuration has findings; 2 bad input, and nothing was applied.

mod args;
mod blame;
mod change;
mod check;
mod check_config;
mod failure;
mod help;
mod log_writer;
mod relay;
mod rollout;
mod serve;
mod status;

use std::process::ExitCode;

use crate::args::Command;
use crate::failure::Result;

fn main() -> ExitCode {
    match args::parse(std::env::args_os().skip(1).collect()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
    }
}

/// Runs a command to completion.
fn run(command: Command) -> Result<()> {
    match command {
        Command::Help => {
            print!("{}", help::TEXT);
            Ok(())
        }
        Command::Version => {
            println!("kelpworks {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Command::Check { files } => check::run(&files),
        Command::CheckConfig(check) => check_config::run(&check),
        Command::Serve { settings } => serve::run(&settings),
        Command::Relay { settings } => relay::run(&settings),
        Command::Change(change) => block_on(change::run(&change)),
        Command::Blame(query) => block_on(blame::run(&query)),
        Command::Status(query) => block_on(status::run(&query)),
    }
}

/// Runs a short command on one thread.
fn block_on(command: impl Future<Output = Result<()>>) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(command)
}
