//! Frees a session's memory on an engine.
//!
//! A lost call would leave KV cache held that no session uses, so it is made again, on a new
//! connection. Limit: an engine that stays away for longer than the tries keeps the memory until
//! it forgets idle sessions by itself.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::warn;

use crate::clients::engine::Engine;
use crate::clients::engine::Error;
use kelpworks_wire::CancelRequest;

/// Wait for an engine to take a cancel, or to answer a probe.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Tries, at most; with [`FIRST_WAIT`] they span a restart of an engine, about 13 s.
const MAX_TRIES: u32 = 8;
/// Wait after the first try; doubles after each.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Frees the memory of one attempt and those before it.
pub(crate) async fn cancel_attempts<E: Engine>(engine: &E, url: &Arc<str>, req: &CancelRequest) {
    for previous_tries in 0..MAX_TRIES {
        let Err(e) = engine.cancel(url, req, CANCEL_TIMEOUT).await else {
            return;
        };
        debug!("cancel of {} at {url}: {e}", req.session);
        if previous_tries + 1 < MAX_TRIES {
            tokio::time::sleep(INITIAL_BACKOFF * (1 << previous_tries)).await;
        }
        if !matches!(e, Error::Connect(_)) {
            // Where the connection went silent, the answer of a new one takes its place.
            let _ = engine.probe(url, CANCEL_TIMEOUT).await;
        }
    }
    warn!("memory of {} at {url} is not freed", req.session);
    metrics::counter!("kelpworks_cancels_lost_total").increment(1);
}
