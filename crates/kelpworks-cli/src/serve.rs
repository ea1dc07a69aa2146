//! `kelpworks serve`.

use std::path::Path;

use flexi_logger::Logger;
use flexi_logger::LoggerHandle;

use crate::change::read_settings;
use crate::failure::Result;
use crate::log_writer::QueuedWriter;
use kelpworks::daemon;

/// Runs a daemon until it is stopped.
pub(crate) fn run(file: &Path) -> Result<()> {
    let settings = read_settings(file)?;
    let _logger = start_logger(&settings.log_level, Output::Stderr)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(daemon::run(&settings))?)
}

/// Where the log goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// Standard error; standard output carries the addresses that the daemon listens on.
    Stderr,
    /// Standard output, through a bounded queue.
    Stdout,
}

/// Starts the logger, which stops when the handle is dropped.
///
/// Each line is a JSON object; decisions carry their inputs and reason as fields. `level` applies
/// to the crates of kelpworks; libraries log warnings only, since their lines would outnumber the
/// decisions.
pub(crate) fn start_logger(level: &str, output: Output) -> Result<LoggerHandle> {
    let spec = format!(
        "warn, decision={level}, kelpworks={level}, kelpworks_coord={level}, kelpworks_relay={level}"
    );
    let logger = Logger::try_with_str(spec)?;
    let logger = logger.format(flexi_logger::json_format);
    let logger = match output {
        Output::Stderr => logger.log_to_stderr(),
        Output::Stdout => logger.log_to_writer(Box::new(QueuedWriter::new(std::io::stdout())?)),
    };
    Ok(logger.start()?)
}
