//! `kelpworks status`.

use crate::args::StatusQuery;
use crate::change::operators;
use crate::change::read_settings;
use crate::failure::Failure;
use crate::failure::Result;
use crate::rollout::fetch_status;

/// Prints the status that the first daemon to answer reports.
pub(crate) async fn run(query: &StatusQuery) -> Result<()> {
    let settings = match &query.settings {
        Some(file) => Some(read_settings(file)?),
        None => None,
    };
    let operators = operators(&query.operators, settings.as_ref());
    let missing = || Failure::Usage("an operators' address is missing".to_owned());
    let status = fetch_status(&operators).await.ok_or_else(missing)??;
    match query.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&status).map_err(std::io::Error::from)?
        ),
        false => print!("{status}"),
    }
    Ok(())
}
