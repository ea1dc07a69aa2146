//! Scheduling of steps: the steps of suspects wait until they can run in isolation, and a guard
//! represents a step while it is in flight.

use std::time::Duration;

use crate::fleet::UpstreamKey;
use crate::quarantine::Quarantine;
use crate::quarantine::Result;
use crate::quarantine::state::BeginResult;
use crate::quarantine::state::StepKey;
use kelpworks_coord::poison::Fingerprint;

/// Interval after which a waiting step is checked again without a notification; some waits end by a
/// timeout, which sends none.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A step that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct PendingStep<'a> {
    /// Request that the step is part of.
    pub fingerprint: Fingerprint,
    /// Upstream that is to run the step.
    pub upstream: UpstreamKey,
    /// Host name of the upstream, from which its [`kelpworks_coord::id::UpstreamId`] is derived.
    pub name: &'a str,
    /// Number of tokens of the request that are known: its prompt and the tokens of its answer so
    /// far.
    pub known_tokens: u32,
}

/// A step in flight. The step ends when the guard is dropped, also when the future that holds it is
/// dropped.
#[derive(Debug)]
pub struct StepGuard<'a> {
    quarantine: &'a Quarantine,
    key: StepKey,
    name: &'a str,
    isolated: bool,
}

impl Quarantine {
    /// Begins a step. The step of a suspect waits until it can run in isolation.
    ///
    /// # Errors
    ///
    /// When the request is refused, immediately or during the wait.
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
    /// Returns whether the step runs in isolation because its request is suspected; a crash of the
    /// upstream would then be attributed to the request.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Records that the upstream died while it ran the step.
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
