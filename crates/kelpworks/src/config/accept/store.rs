//! Reads and writes of the head and the blobs, with bounded retries.

use std::time::Duration;

use kelpworks_wire::Object;
use rand::RngExt;

use super::Error;
use super::Result;
use super::head::BLOB_KIND;
use super::head::Digest;
use super::head::HEAD_KIND;
use super::head::HEAD_NAME;
use super::head::Head;
use crate::border::object_api;
use crate::border::object_api::Condition;
use crate::border::object_api::ObjectApi;

/// How often and how patiently calls to the object API are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Calls for one purpose, at most. Default 6.
    pub attempts: u32,
    /// Longest pause before the first repetition; doubles with each. Default 100 ms.
    pub pause: Duration,
    /// Longest pause. Default 2 s.
    pub max_pause: Duration,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy {
            attempts: 6,
            pause: Duration::from_millis(100),
            max_pause: Duration::from_secs(2),
        }
    }
}

impl RetryPolicy {
    /// Waits before repetition `n`, counted from 0, with full jitter.
    async fn pause(&self, n: u32) {
        let factor = 2_u32.saturating_pow(n);
        let longest = self.pause.saturating_mul(factor).min(self.max_pause);
        let share = rand::rng().random_range(0.0..=1.0);
        tokio::time::sleep(longest.mul_f64(share)).await;
    }
}

/// The configuration in force, as the object API holds it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct InForce {
    /// Version of the head object, for the next conditional update.
    pub(super) version: u64,
    /// The head.
    pub(super) head: Head,
    /// Text of the register.
    pub(super) register: String,
    /// Text of the rules, when there are any.
    pub(super) rules: Option<String>,
}

/// What became of a swap of the head.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Swap {
    /// It took effect.
    Done,
    /// The head had moved, and stands at this object.
    Moved {
        /// The head object.
        object: Object,
        /// Whether the swap may have taken effect before and been replaced since.
        may_have_run: bool,
    },
}

/// The object API with a retry policy.
#[derive(Debug)]
pub(super) struct Store<'a, A> {
    pub(super) api: &'a A,
    pub(super) retry: RetryPolicy,
}

impl<A: ObjectApi> Store<'_, A> {
    /// Reads the configuration in force; `None` before the first import.
    pub(super) async fn in_force(&self) -> Result<Option<InForce>> {
        match self.get(HEAD_KIND, HEAD_NAME).await? {
            Some(object) => Ok(Some(self.load(&object).await?)),
            None => Ok(None),
        }
    }

    /// Reads what a head object names.
    pub(super) async fn load(&self, object: &Object) -> Result<InForce> {
        let head = head_of(object)?;
        let rules = match head.rules {
            Some(digest) => Some(self.blob(digest).await?),
            None => None,
        };
        Ok(InForce {
            version: object.version,
            register: self.blob(head.register).await?,
            rules,
            head,
        })
    }

    /// Reads a blob and checks that it is the one its name promises.
    async fn blob(&self, digest: Digest) -> Result<String> {
        let object = self.get(BLOB_KIND, &digest.to_string()).await?;
        let body = object.ok_or(Error::BlobMissing { digest })?.body;
        match Digest::of(&body) == digest {
            true => Ok(body),
            false => Err(Error::BlobCorrupt { digest }),
        }
    }

    /// Reads an object; reading twice does no harm, so any failure is retried.
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let mut last = object_api::Error::Unavailable;
        for n in 0..self.retry.attempts {
            match self.api.get(kind, name).await {
                Ok(object) => return Ok(Some(object)),
                Err(object_api::Error::NotFound) => return Ok(None),
                Err(e) => last = e,
            }
            self.before_repetition(&last, n).await;
        }
        Err(Error::Unavailable(last))
    }

    /// Writes a blob. Its name is its digest, so writing it twice does no harm.
    pub(super) async fn put_blob(&self, text: &str) -> Result<()> {
        let name = Digest::of(text).to_string();
        let mut last = object_api::Error::Unavailable;
        for n in 0..self.retry.attempts {
            let body = text.to_owned();
            match self
                .api
                .put(BLOB_KIND, &name, body, Condition::Absent)
                .await
            {
                Ok(_) | Err(object_api::Error::Conflict { .. }) => return Ok(()),
                Err(e) if is_final(&e) => return Err(Error::Unavailable(e)),
                Err(e) => last = e,
            }
            self.before_repetition(&last, n).await;
        }
        Err(Error::Unavailable(last))
    }

    /// Swaps the head from what is in force to `next`.
    ///
    /// A lost reply is settled by the same conditional write again: either it
    /// takes effect now, or the conflict shows the head as it stands, which by
    /// its nonce is this swap's or another's. A write that is still under way
    /// can no longer take effect once the version has moved.
    pub(super) async fn swap(&self, from: Option<&InForce>, next: &Head) -> Result<Swap> {
        let condition = from.map_or(Condition::Absent, |f| Condition::Version(f.version));
        let mut lost = false;
        let mut last = object_api::Error::Unavailable;
        for n in 0..self.retry.attempts {
            let put = self
                .api
                .put(HEAD_KIND, HEAD_NAME, next.to_body(), condition);
            match put.await {
                Ok(_) => return Ok(Swap::Done),
                Err(object_api::Error::Conflict { current }) => {
                    if let Some(swap) = self.settle(current, next, lost).await? {
                        return Ok(swap);
                    }
                }
                Err(e) if is_final(&e) && !lost => return Err(Error::Unavailable(e)),
                Err(e) => {
                    lost |= e.may_have_run();
                    last = e;
                }
            }
            self.before_repetition(&last, n).await;
        }
        match lost {
            true => Err(Error::Unsettled),
            false => Err(Error::Unavailable(last)),
        }
    }

    /// Judges the head that a conflict shows; `None` when it is older than what the swap is
    /// from, an answer out of date.
    async fn settle(
        &self,
        current: Option<Box<Object>>,
        next: &Head,
        lost: bool,
    ) -> Result<Option<Swap>> {
        let object = match current {
            Some(object) => Some(*object),
            None => self.get(HEAD_KIND, HEAD_NAME).await?,
        };
        let Some(object) = object else {
            return Ok(None);
        };
        let head = head_of(&object)?;
        if head.nonce == next.nonce {
            return Ok(Some(Swap::Done));
        }
        if head.generation < next.generation {
            return Ok(None);
        }
        // At the very next generation stands another's swap, so this one never took effect.
        let may_have_run = lost && head.generation > next.generation;
        Ok(Some(Swap::Moved {
            object,
            may_have_run,
        }))
    }

    /// Prepares for a repetition: waits, and leaves a connection behind that may be dead.
    async fn before_repetition(&self, error: &object_api::Error, n: u32) {
        if matches!(error, object_api::Error::Lost) {
            self.api.fresh();
        }
        self.retry.pause(n).await;
    }
}

/// Whether repeating the call cannot help.
fn is_final(error: &object_api::Error) -> bool {
    matches!(
        error,
        object_api::Error::TooLarge | object_api::Error::Url | object_api::Error::NotFound
    )
}

/// Reads the head of its object.
fn head_of(object: &Object) -> Result<Head> {
    Head::from_body(&object.body).ok_or(Error::HeadCorrupt)
}
