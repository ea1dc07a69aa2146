//! Frees a session's memory on an engine.
//!
//! A lost cancel call would leave KV cache allocated that no session uses, so the call is retried
//! on a new connection. Limit: an engine that is unreachable for longer than the retries last keeps
//! the memory until it evicts idle sessions on its own.

use std::sync::Arc;
use std::time::Duration;

use log::debug;
use log::warn;

use crate::clients::engine::Engine;
use crate::clients::engine::Error;
use kelpworks_wire::CancelRequest;

/// Timeout of a cancel call, and of the probe that follows a failed one.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bounds the tries of a cancel call. With [`INITIAL_BACKOFF`] the waits between them add up to
/// about 13 s, which spans a restart of the engine.
const MAX_TRIES: u32 = 8;
/// Wait after the first try; doubles after each further try.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Frees the memory of one attempt of a session and of its earlier attempts on an engine. Gives no
/// result: a call that fails on every try is logged and counted.
pub(crate) async fn cancel_attempts<E: Engine>(engine: &E, url: &Arc<str>, req: &CancelRequest) {
    for previous_tries in 0..MAX_TRIES {
        let Err(e) = engine.cancel(url, req, CANCEL_TIMEOUT).await else {
            return;
        };
        debug!("cancel of session {} at {url} failed: {e}", req.session);
        if previous_tries + 1 < MAX_TRIES {
            tokio::time::sleep(INITIAL_BACKOFF * (1 << previous_tries)).await;
        }
        if !matches!(e, Error::Connect(_)) {
            // The connection may be dead. An answered probe drops the pooled connections to the
            // engine, so the next try uses a new one.
            let _ = engine.probe(url, CANCEL_TIMEOUT).await;
        }
    }
    warn!(
        "memory of session {} at {url} not freed: all cancel calls failed",
        req.session
    );
    metrics::counter!("kelpworks_cancels_lost_total").increment(1);
}
