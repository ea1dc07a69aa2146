//! The turn of a step: waited for, held while the step is in flight, given back by dropping it.

use std::time::Duration;

use crate::fleet::UpstreamKey;
use crate::quarantine::Quarantine;
use crate::quarantine::Result;
use crate::quarantine::state::Begin;
use crate::quarantine::state::StepKey;
use kelpworks_coord::poison::Fingerprint;

/// Longest wait before a turn is asked for again: some waits end by time alone.
const ASK_AGAIN: Duration = Duration::from_millis(50);

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
    pub known: u32,
}

/// A step in flight. Dropping it ends the step, also when its future is dropped.
#[derive(Debug)]
pub struct StepGuard<'a> {
    quarantine: &'a Quarantine,
    key: StepKey,
    name: &'a str,
    apart: bool,
}

impl Quarantine {
    /// Begins a step; for a suspect, waits until no other runs where it is to run.
    ///
    /// # Errors
    ///
    /// When the request is refused, at once or after the wait.
    pub async fn begin<'a>(&'a self, wanted: PendingStep<'a>) -> Result<StepGuard<'a>> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let begin = self.lock().begin(self.now(), wanted);
            match begin {
                Begin::Begun { key, apart } => {
                    return Ok(StepGuard {
                        quarantine: self,
                        key,
                        name: wanted.name,
                        apart,
                    });
                }
                Begin::Refused(refusal) => return Err(refusal),
                Begin::Wait => {
                    let _ = tokio::time::timeout(ASK_AGAIN, changed).await;
                }
            }
        }
    }
}

impl StepGuard<'_> {
    /// Whether this is a suspect's step, for which its upstream's death would count.
    pub fn is_isolated(&self) -> bool {
        self.apart
    }

    /// Notes that the upstream died under the step.
    pub fn record_crash(&self) {
        let quarantine = self.quarantine;
        let told = quarantine.facts.receiver_count() > 0;
        let now = quarantine.now();
        let facts = quarantine.lock().crashed(now, self.key, self.name, told);
        quarantine.publish(facts);
    }
}

impl Drop for StepGuard<'_> {
    fn drop(&mut self) {
        if self.quarantine.lock().end(self.quarantine.now(), self.key) {
            self.quarantine.changed.notify_waiters();
        }
    }
}
