//! Calls to the object API that read and write the head and the texts that it names.

use std::time::Duration;

use rand::RngExt;

use super::Error;
use super::Result;
use crate::clients::object_api;
use crate::clients::object_api::Condition;
use crate::clients::object_api::Object;
use crate::clients::object_api::ObjectApi;
use crate::config::head::BLOB_KIND;
use crate::config::head::HEAD_KIND;
use crate::config::head::HEAD_NAME;
use crate::config::head::digest_of;
use crate::config::head::parse;
use crate::config::head::to_body;
use kelpworks_coord::head::Head;
use kelpworks_coord::head::StoredHead;
use kelpworks_coord::head::SwapEvent;
use kelpworks_coord::id::Digest;
use kelpworks_coord::id::Version;

/// Retry limits and timeouts of calls to the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts to read an object before the read counts as failed. The swap
    /// itself retries failed steps until `swap_timeout`. Default 6.
    pub max_attempts: u32,
    /// Minimum delay before a retry; jitter makes it up to twice as long. Default 200 ms.
    pub min_delay: Duration,
    /// Timeout of the swap, which stores the text and updates the head. It does not include the
    /// reads and the validation before the swap, and does not interrupt a call in flight.
    /// Default 15 s.
    pub swap_timeout: Duration,
}

impl Default for RetryPolicy {
    fn default() -> RetryPolicy {
        RetryPolicy {
            max_attempts: 6,
            min_delay: Duration::from_millis(200),
            swap_timeout: Duration::from_secs(15),
        }
    }
}

impl RetryPolicy {
    /// Waits before a retry, with jitter so that concurrent operators do not collide again.
    pub(super) async fn wait_with_jitter(&self) {
        let factor = rand::rng().random_range(1.0..2.0);
        tokio::time::sleep(self.min_delay.mul_f64(factor)).await;
    }
}

/// Texts of the parts that a head names. A part is `None` if the head names none, or if the
/// caller skipped its text.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PartTexts {
    pub(super) register: Option<String>,
    pub(super) rules: Option<String>,
}

/// Client for the configuration objects in the object API, with a retry policy.
#[derive(Debug)]
pub(super) struct ConfigStore<'a, A> {
    pub(super) api: &'a A,
    pub(super) retry: RetryPolicy,
    /// Last error of the API, returned to the operator after a timeout or the last attempt.
    pub(super) last_error: object_api::Error,
}

impl<'a, A: ObjectApi> ConfigStore<'a, A> {
    pub(super) fn new(api: &'a A, retry: RetryPolicy) -> ConfigStore<'a, A> {
        ConfigStore {
            api,
            retry,
            last_error: object_api::Error::Unavailable,
        }
    }

    /// Reads the head, with retries.
    pub(super) async fn head(&mut self) -> Result<StoredHead> {
        let object = self.get(HEAD_KIND, HEAD_NAME).await?;
        decode_head(object.as_ref())
    }

    /// Reads the texts that a head names, with retries, except the text with digest `skip`.
    pub(super) async fn texts(&mut self, head: &Head, skip: Option<Digest>) -> Result<PartTexts> {
        let mut blobs = [None, None];
        for (blob, part) in blobs.iter_mut().zip([head.register, head.rules]) {
            let wanted = part.map(|p| p.digest).filter(|d| Some(*d) != skip);
            if let Some(digest) = wanted {
                *blob = Some(self.blob(digest).await?);
            }
        }
        let [register, rules] = blobs;
        Ok(PartTexts { register, rules })
    }

    /// Reads a text and checks that it matches its digest.
    async fn blob(&mut self, digest: Digest) -> Result<String> {
        let object = self.get(BLOB_KIND, &digest.to_string()).await?;
        let body = object.ok_or(Error::BlobMissing { digest })?.body;
        match digest_of(&body) == digest {
            true => Ok(body),
            false => Err(Error::BlobCorrupt { digest }),
        }
    }

    /// Reads an object. Reads are idempotent, so any failure is retried.
    async fn get(&mut self, kind: &str, name: &str) -> Result<Option<Object>> {
        for _ in 0..self.retry.max_attempts {
            match self.api.get(kind, name).await {
                Ok(object) => return Ok(Some(object)),
                Err(object_api::Error::NotFound) => return Ok(None),
                Err(e) => self.record_error(e),
            }
            self.retry.wait_with_jitter().await;
        }
        Err(Error::Unavailable(self.last_error.clone()))
    }

    /// Reads the head without a retry, and returns the result as an event of the swap.
    pub(super) async fn read_head(&mut self) -> Result<SwapEvent> {
        match self.api.get(HEAD_KIND, HEAD_NAME).await {
            Ok(object) => Ok(SwapEvent::HeadRead(decode_head(Some(&object))?)),
            Err(object_api::Error::NotFound) => Ok(SwapEvent::HeadRead(decode_head(None)?)),
            Err(e) => {
                self.record_error(e);
                Ok(SwapEvent::Refused)
            }
        }
    }

    /// Stores a text without a retry. Its name is its digest, so storing it twice is harmless.
    pub(super) async fn put_blob(&mut self, text: &str) -> Result<SwapEvent> {
        let name = digest_of(text).to_string();
        let put = self
            .api
            .put(BLOB_KIND, &name, text.to_owned(), Condition::Absent);
        match put.await {
            Ok(_) | Err(object_api::Error::Conflict { .. }) => Ok(SwapEvent::BlobStored),
            Err(object_api::Error::TooLarge) => {
                Err(Error::Unavailable(object_api::Error::TooLarge))
            }
            Err(e) => {
                self.record_error(e);
                Ok(SwapEvent::Refused)
            }
        }
    }

    /// Writes the head without a retry, on condition that it still has this version.
    pub(super) async fn swap_head(
        &mut self,
        if_version: Version,
        head: &Head,
    ) -> Result<SwapEvent> {
        let condition = Condition::at(if_version);
        let body = to_body(head).map_err(|_| Error::HeadCorrupt)?;
        match self.api.put(HEAD_KIND, HEAD_NAME, body, condition).await {
            Ok(_) => Ok(SwapEvent::Swapped),
            Err(object_api::Error::Conflict { current }) => {
                self.conflict(current, if_version).await
            }
            Err(object_api::Error::Outdated) => self.conflict(None, if_version).await,
            Err(e) => {
                let may_have_run = e.may_have_run();
                self.record_error(e);
                Ok(match may_have_run {
                    true => SwapEvent::Lost,
                    false => SwapEvent::Refused,
                })
            }
        }
    }

    /// Returns a conflict with the current head. A head that is not newer than the version that
    /// just failed is stale, so the write then counts as refused and is retried later.
    async fn conflict(
        &mut self,
        current: Option<Box<Object>>,
        if_version: Version,
    ) -> Result<SwapEvent> {
        let at = match current {
            Some(object) => decode_head(Some(&object))?,
            None => self.head().await?,
        };
        Ok(match at.version > if_version {
            true => SwapEvent::Conflict(at),
            false => SwapEvent::Refused,
        })
    }

    /// Records an error. After a lost reply, drops the connections, which may be dead.
    fn record_error(&mut self, error: object_api::Error) {
        if error == object_api::Error::Lost {
            self.api.reset_connections();
        }
        self.last_error = error;
    }
}

/// Decodes the head object. Returns the empty head if there is no object.
fn decode_head(object: Option<&Object>) -> Result<StoredHead> {
    let Some(object) = object else {
        return Ok(StoredHead {
            version: Version::ABSENT,
            head: Head::EMPTY,
        });
    };
    Ok(StoredHead {
        version: object.version,
        head: parse(&object.body).map_err(|_| Error::HeadCorrupt)?,
    })
}
