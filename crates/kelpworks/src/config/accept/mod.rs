//! Publishing of a register or rules to the fleet, as operators do it.
//!
//! A proposal is one part of the configuration, the register or the rules. It is validated
//! together with the other part that is active, its text is stored under its digest, and one
//! conditional update of the head accepts it. If another operator's change comes first, the
//! proposal is rebased on it if only the other part changed, and fails with a conflict if the same
//! part changed. [`kelpworks_coord::head::Swap`] makes the decisions; this module makes the calls.
//!
//! ```no_run
//! use kelpworks::clients::object_api::Deadlines;
//! use kelpworks::clients::object_api::HttpObjectApi;
//! use kelpworks::config::accept::Proposal;
//! use kelpworks::config::accept::RetryPolicy;
//! use kelpworks::config::accept::PartKind;
//! use kelpworks::config::accept::accept;
//!
//! # async fn f(text: String) -> Result<(), Box<dyn std::error::Error>> {
//! let api = HttpObjectApi::new("http://10.0.1.1:8000", Deadlines::default())?;
//! let proposal = Proposal::new(PartKind::Register, "register.toml", text);
//! let accepted = accept(&api, &proposal, RetryPolicy::default()).await?;
//! println!("generation {}", accepted.generation);
//! # Ok(())
//! # }
//! ```
//!
//! Limits: a conflict is detected only with changes made after the swap first reads the head, once
//! the text is stored. If an operator edits an outdated copy of a file, the proposal reverts the
//! changes made since that copy, and this is not detected. Operators review the difference that
//! [`plan`] returns.

mod proposal;
mod store;

use thiserror::Error;
use tokio::time::Instant;

use self::store::ConfigStore;
use crate::clients::object_api;
use crate::clients::object_api::ObjectApi;
use crate::config::diff::Diff;
use crate::config::document;
use crate::config::file_kind::FileKind;
use kelpworks_coord::head;
use kelpworks_coord::head::Generation;
use kelpworks_coord::head::Head;
use kelpworks_coord::head::StoredHead;
use kelpworks_coord::head::Swap;
use kelpworks_coord::head::SwapAction;
use kelpworks_coord::head::SwapEvent;
use kelpworks_coord::head::SwapOutcome;
use kelpworks_coord::id::Digest;
use kelpworks_coord::time;

pub use self::proposal::Proposal;
pub use self::store::RetryPolicy;
pub use kelpworks_coord::head::PartKind;

/// Result of publishing a register or rules.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a register or rules were not accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The proposed text is invalid. Also returned when the active register, against which
    /// proposed rules are checked, is invalid.
    #[error("{0}")]
    Invalid(document::Error),
    /// The proposed register would make the active rules invalid.
    #[error("the register does not fit the rules in force: {0}")]
    IncompatibleRules(document::Error),
    /// Rules were proposed before any register was imported.
    #[error("no register has been imported yet; rules are checked against one")]
    NoRegister,
    /// Another operator changed the same part after the swap first read the head.
    #[error(
        "conflict: the {} changed meanwhile, see generation {generation}",
        part_name(*.part_kind)
    )]
    Conflict {
        /// The part that was proposed.
        part_kind: PartKind,
        /// Current generation of the head, which contains the other change.
        generation: u64,
    },
    /// The reply to the update of the head was lost, and the same part has changed since. The
    /// proposal was accepted and then replaced, or was never accepted.
    #[error(
        "the {} changed again while a reply was lost, see generation {generation}; \
         the proposal may have been in force before that",
        part_name(*.part_kind)
    )]
    Superseded {
        /// The part that was proposed.
        part_kind: PartKind,
        /// Current generation of the head, which contains the other change.
        generation: u64,
    },
    /// A call to the object API failed; nothing was applied.
    #[error("{0}; nothing was applied")]
    Unavailable(object_api::Error),
    /// The reply to the update of the head was lost, and no later call showed whether the update
    /// took effect.
    #[error("the object API's reply was lost; the change may have been accepted, check `status`")]
    OutcomeUnknown,
    /// The body of the head object cannot be decoded or encoded.
    #[error("the head object is not readable; nothing was applied")]
    HeadCorrupt,
    /// The head names a text that is not stored.
    #[error("object {digest} of the configuration in force is missing; nothing was applied")]
    BlobMissing {
        /// Digest by which the head names the text.
        digest: Digest,
    },
    /// A stored text does not match the digest under which it is stored.
    #[error("object {digest} of the configuration in force is damaged; nothing was applied")]
    BlobCorrupt {
        /// Digest by which the head names the text.
        digest: Digest,
    },
}

/// Returns the name of a part in commands and messages.
pub fn part_name(part_kind: PartKind) -> &'static str {
    match part_kind {
        PartKind::Register => FileKind::Register.as_str(),
        PartKind::Rules => FileKind::Rules.as_str(),
    }
}

/// An accepted proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Generation that introduced the text.
    pub generation: u64,
    /// False if the same text was already active, whether or not another operator published it.
    pub changed: bool,
}

/// What accepting a proposal would do now.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Active generation; 0 before the first import.
    pub generation: u64,
    /// Difference between the active part and the proposal.
    pub diff: Diff,
}

/// Validates a proposal and returns what [`accept`] would change, without changing anything.
///
/// # Errors
///
/// Those of [`accept`], except the ones that come from concurrent changes or lost replies.
pub async fn plan<A: ObjectApi>(api: &A, proposal: &Proposal, retry: RetryPolicy) -> Result<Plan> {
    let mut store = ConfigStore::new(api, retry);
    let head = store.head().await?.head;
    let texts = store.texts(&head, None).await?;
    Ok(Plan {
        generation: head.generation.0,
        diff: proposal.diff(&texts)?,
    })
}

/// Validates a proposal against the other active part, and publishes it to the fleet.
///
/// A proposal is validated before its text is stored, so a refused one leaves no object behind.
/// The exception is a proposal that a concurrent change made invalid: its text stays stored, but
/// no head names it.
///
/// # Errors
///
/// [`Error::Invalid`], [`Error::IncompatibleRules`] and [`Error::NoRegister`] when the proposal is
/// refused; [`Error::Conflict`] when another operator changed the same part concurrently;
/// [`Error::OutcomeUnknown`] and [`Error::Superseded`] when the proposal may have been accepted.
/// Nothing was applied in all other cases.
pub async fn accept<A: ObjectApi>(
    api: &A,
    proposal: &Proposal,
    retry: RetryPolicy,
) -> Result<Accepted> {
    let mut driver = Driver {
        store: ConfigStore::new(api, retry),
        proposal,
        validation_error: None,
        head_maybe_written: false,
    };
    let head = driver.store.head().await?;
    let texts = driver.store.texts(&head.head, None).await?;
    proposal.validate(&texts)?;
    if let Some(accepted) = driver.confirm_already_active(head).await {
        return Ok(accepted);
    }
    let outcome = driver.run().await?;
    driver.into_result(outcome)
}

/// Makes the calls that a [`Swap`] requests and returns their results to it.
struct Driver<'a, A> {
    store: ConfigStore<'a, A>,
    proposal: &'a Proposal,
    /// Error of the last validation, if it failed.
    validation_error: Option<Error>,
    /// Whether a write of the head may have taken effect.
    head_maybe_written: bool,
}

impl<A: ObjectApi> Driver<'_, A> {
    /// Returns the proposal as accepted if its text is already active. The head that was read may
    /// be stale, so the same head is written again on condition that its version is unchanged.
    ///
    /// That write does not change the head's content. If it fails, the swap runs as usual.
    async fn confirm_already_active(&mut self, at: StoredHead) -> Option<Accepted> {
        let found = self.already_active(&at.head)?;
        let event = self.store.swap_head(at.version, &at.head).await.ok()?;
        (event == SwapEvent::Swapped).then_some(found)
    }

    /// Runs the swap until it ends.
    async fn run(&mut self) -> Result<SwapOutcome> {
        let started = Instant::now();
        let now = || time::Instant::from_millis(saturating_millis(started.elapsed()));
        let mut swap = Swap::new(self.config(), self.proposal.change(), now());
        let mut event = SwapEvent::Start;
        loop {
            // A swap requests one action at a time, or none while it waits to retry. It checks its
            // timeout only on a tick, so after the timeout it gets a tick instead of another call.
            event = match swap.on_event(now(), event).pop() {
                Some(SwapAction::Done(outcome)) => return Ok(outcome),
                Some(_) if started.elapsed() >= self.store.retry.swap_timeout => SwapEvent::Tick,
                Some(action) => self.perform(action).await?,
                None => {
                    self.store.retry.wait_with_jitter().await;
                    SwapEvent::Tick
                }
            };
        }
    }

    fn config(&self) -> head::Config {
        let retry = self.store.retry;
        head::Config {
            retry_interval: time::Span::from_millis(saturating_millis(retry.min_delay)),
            timeout: time::Span::from_millis(saturating_millis(retry.swap_timeout)),
        }
    }

    /// Performs an action and returns its result as an event of the swap.
    async fn perform(&mut self, action: SwapAction) -> Result<SwapEvent> {
        let event = match action {
            SwapAction::PutBlob(_) => self.store.put_blob(&self.proposal.text).await,
            SwapAction::ReadHead => self.store.read_head().await,
            SwapAction::Validate(head) => self.validate(&head).await,
            SwapAction::SwapHead { if_version, head } => {
                let event = self.store.swap_head(if_version, &head).await;
                if event == Ok(SwapEvent::Lost) {
                    self.head_maybe_written = true;
                    self.store.retry.wait_with_jitter().await;
                }
                event
            }
            SwapAction::Done(_) => Ok(SwapEvent::Tick),
        };
        // After a write whose reply was lost, an error must not state that nothing was applied.
        event.map_err(|e| {
            if self.head_maybe_written {
                Error::OutcomeUnknown
            } else {
                e
            }
        })
    }

    /// Validates the proposal together with the other part that a new head names.
    async fn validate(&mut self, head: &Head) -> Result<SwapEvent> {
        let texts = self.store.texts(head, Some(self.proposal.digest)).await;
        let texts = match texts {
            Ok(texts) => texts,
            Err(Error::Unavailable(_)) => return Ok(SwapEvent::Refused),
            Err(e) => return Err(e),
        };
        self.validation_error = self.proposal.validate(&texts).err();
        Ok(match self.validation_error {
            None => SwapEvent::Valid,
            Some(_) => SwapEvent::Invalid,
        })
    }

    /// Turns the outcome of the swap into the result for the operator.
    fn into_result(self, outcome: SwapOutcome) -> Result<Accepted> {
        let part_kind = self.proposal.part_kind;
        match outcome {
            SwapOutcome::Accepted(generation) => Ok(accepted(generation, true)),
            SwapOutcome::Conflict { current } => {
                self.already_active(&current).ok_or(Error::Conflict {
                    part_kind,
                    generation: current.generation.0,
                })
            }
            SwapOutcome::Superseded { current } => {
                self.already_active(&current).ok_or(Error::Superseded {
                    part_kind,
                    generation: current.generation.0,
                })
            }
            SwapOutcome::Invalid => Err(self.validation_error.unwrap_or(Error::OutcomeUnknown)),
            SwapOutcome::NotApplied => Err(Error::Unavailable(self.store.last_error)),
            // The swap does not distinguish a refused write from one in flight. Every call has
            // ended here, so the outcome is unknown only after a write whose reply was lost.
            SwapOutcome::Unknown if !self.head_maybe_written => {
                Err(Error::Unavailable(self.store.last_error))
            }
            SwapOutcome::Unknown => Err(Error::OutcomeUnknown),
        }
    }

    /// Returns the proposal as accepted without a change if the head already names its text.
    fn already_active(&self, current: &Head) -> Option<Accepted> {
        let part = self.proposal.part_in(current)?;
        (part.digest == self.proposal.digest).then(|| accepted(part.since, false))
    }
}

fn accepted(generation: Generation, changed: bool) -> Accepted {
    Accepted {
        generation: generation.0,
        changed,
    }
}

/// Converts a duration to whole milliseconds, the unit of the state machines.
fn saturating_millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
