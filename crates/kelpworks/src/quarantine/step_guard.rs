//! The turn of a step: waited for, held while the step is in flight, given back by dropping it.

use std::time::Duration;

use crate::fleet::UpstreamKey;
use crate::quarantine::Quarantine;
use crate::quarantine::Result;
use crate::quarantine::state::BeginResult;
use crate::quarantine::state::StepKey;
use kelpworks_coord::poison::Fingerprint;

/// Longest wait before a turn is asked for again: some waits end by time alone.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A step that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct PendingStep<'a> {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Where the step is to run.
    pub upstream: UpstreamKey,
    /// Host name of the upstream.
    pub name: &'a str,
    /// Tokens known of the request.
    pub known_tokens: u32,
}

/// A step in flight. Dropping it ends the step, also when its future is dropped.
#[derive(Debug)]
pub struct StepGuard<'a> {
    quarantine: &'a Quarantine,
    key: StepKey,
    name: &'a str,
    isolated: bool,
}

impl Quarantine {
    /// Begins a step; for a suspect, waits until no other runs where it is to run.
    ///
    /// # Errors
    ///
    /// When the request is refused, at once or after the wait.
    pub async fn begin<'a>(&'a self, pending: PendingStep<'a>) -> Result<StepGuard<'a>> {
        loop {
            let notified = self.state_changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let begin = self.lock().begin(self.now(), pending);
            match begin {
                BeginResult::Begun { key, isolated } => {
                    return Ok(StepGuard {
                        quarantine: self,
                        key,
                        name: pending.name,
                        isolated,
                    });
                }
                BeginResult::Refused(refusal) => return Err(refusal),
                BeginResult::Wait => {
                    let _ = tokio::time::timeout(RETRY_INTERVAL, notified).await;
                }
            }
        }
    }
}

impl StepGuard<'_> {
    /// Whether this is a suspect's step, for which its upstream's death would count.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Notes that the upstream died under the step.
    pub fn record_crash(&self) {
        let quarantine = self.quarantine;
        let has_subscribers = quarantine.facts.receiver_count() > 0;
        let now = quarantine.now();
        let facts = quarantine
            .lock()
            .record_crash(now, self.key, self.name, has_subscribers);
        quarantine.publish(facts);
    }
}

impl Drop for StepGuard<'_> {
    fn drop(&mut self) {
        if self.quarantine.lock().end(self.quarantine.now(), self.key) {
            self.quarantine.state_changed.notify_waiters();
        }
    }
}
