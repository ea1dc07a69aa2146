//! Calls to the object API for the head and the blobs.

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

/// How often and how patiently calls to the object API are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Reads for one purpose, at most. Default 6.
    pub max_attempts: u32,
    /// Pause before a repetition, at least; up to twice as long. Default 200 ms.
    pub min_delay: Duration,
    /// Longest time for a whole change. Default 15 s.
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
    /// Waits before a repetition, with jitter so that rivals do not meet again.
    pub(super) async fn wait_with_jitter(&self) {
        let factor = rand::rng().random_range(1.0..2.0);
        tokio::time::sleep(self.min_delay.mul_f64(factor)).await;
    }
}

/// The texts that a head names.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PartTexts {
    pub(super) register: Option<String>,
    pub(super) rules: Option<String>,
}

/// The object API with a retry policy, and its last error.
#[derive(Debug)]
pub(super) struct ConfigStore<'a, A> {
    pub(super) api: &'a A,
    pub(super) retry: RetryPolicy,
    /// What the API last failed with, for the report when time runs out.
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

    /// Reads the head, patiently.
    pub(super) async fn head(&mut self) -> Result<StoredHead> {
        let object = self.get(HEAD_KIND, HEAD_NAME).await?;
        decode_head(object.as_ref())
    }

    /// Reads the texts that a head names, patiently; `skip` is at hand already.
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

    /// Reads a blob and checks that it is the one its name promises.
    async fn blob(&mut self, digest: Digest) -> Result<String> {
        let object = self.get(BLOB_KIND, &digest.to_string()).await?;
        let body = object.ok_or(Error::BlobMissing { digest })?.body;
        match digest_of(&body) == digest {
            true => Ok(body),
            false => Err(Error::BlobCorrupt { digest }),
        }
    }

    /// Reads an object; reading twice does no harm, so any failure is retried.
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

    /// Reads the head once, as an event of the swap.
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

    /// Writes a blob once. Its name is its digest, so writing it twice does no harm.
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

    /// Writes the head once, when it still has this version.
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

    /// The head that stood in the way. An answer that is not newer than the version that just
    /// failed is out of date and tells nothing: the write is tried again later.
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

    /// Notes an error, and leaves a connection behind that may be dead.
    fn record_error(&mut self, error: object_api::Error) {
        if error == object_api::Error::Lost {
            self.api.reset_connections();
        }
        self.last_error = error;
    }
}

/// The head of its object; the empty one when there is none.
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
