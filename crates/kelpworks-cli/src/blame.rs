//! `kelpworks blame`.

use std::net::SocketAddr;
use std::time::Duration;

use kelpworks_relay::blame::Blame;

use crate::args::BlameQuery;
use crate::failure::Failure;
use crate::failure::Result;

/// Timeout of one query.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Prints what the first daemon to answer holds back because of crashes.
pub(crate) async fn run(query: &BlameQuery) -> Result<()> {
    let blame = fetch_first(&query.operators).await?;
    match query.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&blame).map_err(std::io::Error::from)?
        ),
        false => print!("{blame}"),
    }
    Ok(())
}

/// Asks daemons in order; fails with the error of the last one if none answers.
async fn fetch_first(operators: &[SocketAddr]) -> Result<Blame> {
    let mut failure = Failure::Usage("an operators' address is missing".to_owned());
    for &address in operators {
        match fetch(address).await {
            Ok(blame) => return Ok(blame),
            Err(source) => failure = Failure::Blame { address, source },
        }
    }
    Err(failure)
}

async fn fetch(address: SocketAddr) -> reqwest::Result<Blame> {
    let client = reqwest::Client::builder().timeout(TIMEOUT).build()?;
    let answer = client.get(format!("http://{address}/blame")).send().await?;
    answer.error_for_status()?.json().await
}
