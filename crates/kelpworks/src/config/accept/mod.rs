//! How a register or rules become the fleet's: the operator's side.
//!
//! The text is stored under its digest, the pair that it makes with the other
//! part in force is validated, and one conditional update of the head accepts
//! it. An operator who loses a race rebases when only the other part changed,
//! and is told the conflict when the same part changed. The decisions are those
//! of [`kelpworks_coord::head::Swap`]; here are the calls that it asks for.
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
//! Limits: a race is seen from the moment that this reads the head. An edit
//! that an operator made of an older file is not told from a deliberate one;
//! the difference that [`plan`] shows is there to be looked at.

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

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a register or rules were not accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The proposal itself is at fault.
    #[error("{0}")]
    Invalid(document::Error),
    /// The register would make the rules in force invalid.
    #[error("the register does not fit the rules in force: {0}")]
    IncompatibleRules(document::Error),
    /// Rules were proposed before any register.
    #[error("no register has been imported yet; rules are checked against one")]
    NoRegister,
    /// Another operator changed the same part meanwhile.
    #[error("conflict: the {} changed meanwhile, see generation {generation}", part_name(*.part_kind))]
    Conflict {
        /// The part.
        part_kind: PartKind,
        /// The generation that holds the other change.
        generation: u64,
    },
    /// The reply to the swap was lost, and the same part has changed since: the proposal was
    /// replaced, or never in force.
    #[error(
        "the {} changed again while a reply was lost, see generation {generation}; \
         the proposal may have been in force before that",
        part_name(*.part_kind)
    )]
    Superseded {
        /// The part.
        part_kind: PartKind,
        /// The generation that holds the other change.
        generation: u64,
    },
    /// The object API did not do its part; nothing was applied.
    #[error("{0}; nothing was applied")]
    Unavailable(object_api::Error),
    /// The reply to the swap was lost and could not be settled.
    #[error("the object API's reply was lost; the change may have been accepted, ask `status`")]
    OutcomeUnknown,
    /// The head object cannot be read.
    #[error("the head object is not readable; nothing was applied")]
    HeadCorrupt,
    /// The head names a text that is not there.
    #[error("object {digest} of the configuration in force is missing; nothing was applied")]
    BlobMissing {
        /// Its digest.
        digest: Digest,
    },
    /// A stored text does not have the digest it is stored under.
    #[error("object {digest} of the configuration in force is damaged; nothing was applied")]
    BlobCorrupt {
        /// Its digest.
        digest: Digest,
    },
}

/// A part as operators call it.
pub fn part_name(part_kind: PartKind) -> &'static str {
    match part_kind {
        PartKind::Register => FileKind::Register.as_str(),
        PartKind::Rules => FileKind::Rules.as_str(),
    }
}

/// An accepted proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The generation that brought it.
    pub generation: u64,
    /// False when the very text was found in force, by whomever.
    pub changed: bool,
}

/// What accepting a proposal would do now.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Generation in force; 0 before the first import.
    pub generation: u64,
    /// The difference to what is in force.
    pub diff: Diff,
}

/// Says what accepting a proposal would do, and does none of it.
///
/// # Errors
///
/// As [`accept`], but for races.
pub async fn plan<A: ObjectApi>(api: &A, proposal: &Proposal, retry: RetryPolicy) -> Result<Plan> {
    let mut store = ConfigStore::new(api, retry);
    let head = store.head().await?.head;
    let texts = store.texts(&head, None).await?;
    Ok(Plan {
        generation: head.generation.0,
        diff: proposal.diff(&texts)?,
    })
}

/// Validates a proposal against what is in force, and makes it the fleet's.
///
/// A refused proposal leaves nothing behind: it is validated before its text is stored. Only one
/// that a race made unfit leaves its text, which nothing names.
///
/// # Errors
///
/// [`Error::Invalid`], [`Error::IncompatibleRules`] and [`Error::NoRegister`] when the proposal is
/// refused as it stands; [`Error::Conflict`] when another operator changed the same part
/// meanwhile; [`Error::OutcomeUnknown`] and [`Error::Superseded`] when it may have been accepted.
/// In all other cases nothing was applied.
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

/// Carries out what a [`Swap`] asks for.
struct Driver<'a, A> {
    store: ConfigStore<'a, A>,
    proposal: &'a Proposal,
    /// Why the pair was found not to fit.
    validation_error: Option<Error>,
    /// Whether a write of the head may have taken effect.
    head_maybe_written: bool,
}

impl<A: ObjectApi> Driver<'_, A> {
    /// Finds the proposal in force already, and makes sure that the head read was not out of
    /// date: the same head is written again on the condition of its version.
    ///
    /// Whatever becomes of that write does no harm, so when it fails the swap goes its course.
    async fn confirm_already_active(&mut self, at: StoredHead) -> Option<Accepted> {
        let found = self.already_active(&at.head)?;
        let event = self.store.swap_head(at.version, &at.head).await.ok()?;
        (event == SwapEvent::Swapped).then_some(found)
    }

    /// Runs the swap to its end.
    async fn run(&mut self) -> Result<SwapOutcome> {
        let started = Instant::now();
        let now = || time::Instant::from_millis(saturating_millis(started.elapsed()));
        let mut swap = Swap::new(self.config(), self.proposal.change(), now());
        let mut event = SwapEvent::Start;
        loop {
            // A swap asks for one thing at a time, or for nothing while it waits. It looks at
            // the time on a tick only, so past the end a tick goes in place of another call.
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

    /// Does one thing, and tells what came of it.
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
        // After a lost write no error can promise that nothing was applied.
        event.map_err(|e| {
            if self.head_maybe_written {
                Error::OutcomeUnknown
            } else {
                e
            }
        })
    }

    /// Validates the pair of a head that holds the proposal.
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

    /// What the outcome means to the operator.
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
            // The swap does not tell a write that was refused from one under way; here every
            // call has ended, so only a lost one leaves a doubt.
            SwapOutcome::Unknown if !self.head_maybe_written => {
                Err(Error::Unavailable(self.store.last_error))
            }
            SwapOutcome::Unknown => Err(Error::OutcomeUnknown),
        }
    }

    /// The other change brought the very text that was proposed.
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

/// A time as the state machines count it.
fn saturating_millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
