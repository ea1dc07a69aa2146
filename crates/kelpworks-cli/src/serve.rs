//! `kelpworks serve`.

use std::path::Path;

use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

use crate::change::read_settings;
use crate::failure::Result;
use kelpworks::daemon;

/// Runs a daemon until it is stopped.
pub(crate) fn run(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let _logger = start_logger(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(daemon::run(&settings))?)
}

/// Starts the log on standard output; it ends with the handle.
///
/// Each line is a JSON object; decisions carry their inputs and reason as fields. The level is for the code of kelpworks; libraries log warnings only, since their lines
/// would drown the decisions.
pub(crate) fn start_logger(level: &str) -> Result<LoggerHandle> {
    let spec = format!(
        "warn, decision={level}, kelpworks={level}, kelpworks_coord={level}, kelpworks_relay={level}"
    );
    let logger = Logger::try_with_str(spec)?;
    let logger = logger.format(flexi_logger::json_format).log_to_stdout();
    Ok(logger.start()?)
}
