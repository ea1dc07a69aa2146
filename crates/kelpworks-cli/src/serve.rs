//! `kelpworks serve`.

use std::path::Path;

use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

use crate::change::read_settings;
use crate::failure::Failure;
use crate::failure::Result;

/// Runs a daemon until it is stopped.
pub(crate) fn run(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let _logger = start_logger(&settings.log_level)?;
    log::info!("settings read, daemon {}", settings.name);
    Err(Failure::NotConnected)
}

/// Starts the log on standard error; it ends with the handle.
///
/// The level is for the code of kelpworks; libraries log warnings only, since their lines
/// would drown the decisions.
fn start_logger(level: &str) -> Result<LoggerHandle> {
    let spec = format!("warn, kelpworks={level}, kelpworks_coord={level}");
    let logger = Logger::try_with_str(spec)?;
    let logger = logger.format(flexi_logger::detailed_format).log_to_stderr();
    Ok(logger.start()?)
}
