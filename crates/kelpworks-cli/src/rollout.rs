//! Waits until a generation is in force on every daemon that is not down.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::failure::Failure;
use crate::failure::Result;
use kelpworks::status::Result as StatusResult;
use kelpworks::status::Status;
use kelpworks::status::fetch;

/// Pause between two status queries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one status query.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Queries daemons in order and returns the first status, which covers the whole fleet. When none
/// answers, returns the last error; when `operators` is empty, `None`.
pub(crate) async fn fetch_status(operators: &[SocketAddr]) -> Option<StatusResult<Status>> {
    let mut last = None;
    for &address in operators {
        let answer = fetch(address, STATUS_TIMEOUT).await;
        if answer.is_ok() {
            return Some(answer);
        }
        last = Some(answer);
    }
    last
}

/// Waits until every daemon that is not down has the generation in force, and prints progress to
/// standard error. Does not wait when `operators` is empty or `time` is zero.
///
/// # Errors
///
/// [`Failure::Lagging`] names the daemons that do not have it in time; [`Failure::NoAnswer`] when
/// no daemon answers. The change stays accepted in both cases.
pub(crate) async fn wait(generation: u64, operators: &[SocketAddr], time: Duration) -> Result<()> {
    if operators.is_empty() || time.is_zero() {
        eprintln!("not waiting until generation {generation} is in force");
        return Ok(());
    }
    let deadline = Instant::now() + time;
    let mut last_printed = None;
    loop {
        let failure = match fetch_status(operators).await {
            Some(Ok(status)) => match lagging(&status, generation) {
                Some(failure) => failure,
                None => {
                    let daemons = 1 + status.members.len();
                    println!("generation {generation} is in force on {daemons} daemons");
                    return Ok(());
                }
            },
            Some(Err(reason)) => Failure::NoAnswer { generation, reason },
            None => return Ok(()),
        };
        if Instant::now() + POLL_INTERVAL >= deadline {
            return Err(failure);
        }
        print_if_changed(&mut last_printed, &failure);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns [`Failure::Lagging`] with the daemons that lack the generation; `None` when it is in
/// force.
fn lagging(status: &Status, generation: u64) -> Option<Failure> {
    let names = status.lagging(generation);
    if names.is_empty() {
        return None;
    }
    Some(Failure::Lagging {
        generation,
        lagging: names.into_iter().map(str::to_owned).collect(),
    })
}

/// Prints progress when it differs from the line printed last.
fn print_if_changed(last_printed: &mut Option<String>, failure: &Failure) {
    let line = failure.to_string();
    if last_printed.as_ref() != Some(&line) {
        eprintln!("waiting: {line}");
        *last_printed = Some(line);
    }
}
