//! Client of the platform's object API: versioned objects, conditional updates and watches.
//!
//! [`ObjectApi`] is the interface. [`HttpObjectApi`] implements it over HTTP with the wire types of
//! `kelpworks-wire`; another wire format would be another implementation.
//!
//! ```no_run
//! use std::time::Duration;
//!
//! use kelpworks::clients::object_api::Condition;
//! use kelpworks::clients::object_api::Deadlines;
//! use kelpworks::clients::object_api::HttpObjectApi;
//! use kelpworks::clients::object_api::ObjectApi;
//!
//! # async fn f() -> kelpworks::clients::object_api::Result<()> {
//! let api = HttpObjectApi::new("http://10.0.1.1:8000", Deadlines::default())?;
//! let lease = api.put("kelpworks.lease", "m1", "{}".to_owned(), Condition::Absent).await?;
//! let changes = api.watch("kelpworks.lease", lease.version, Duration::from_secs(10)).await?;
//! # Ok(())
//! # }
//! ```
//!
//! Limits: a body holds up to a megabyte, and each call, including a watch, counts against the
//! API's rate limit. Nothing is retried here, since only the caller knows whether a write may be
//! repeated.

use std::future::Future;
use std::time::Duration;

use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use reqwest::Url;
use serde::de::DeserializeOwned;
use thiserror::Error;

use super::answer;
use super::body;
use super::era::Eras;
use super::resettable::ResettableClient;
use super::resettable::SendStage;
use kelpworks_coord::id::Era;
use kelpworks_coord::id::Version;
use kelpworks_wire::ApiError;
use kelpworks_wire::ApiErrorCode;
use kelpworks_wire::ObjectBody;

pub use kelpworks_wire::WatchEventKind;

/// Result of an object API call.
pub type Result<T> = std::result::Result<T, Error>;

/// Header of a response that holds its era, as a decimal number.
const ERA_FIELD: &str = "store-era";
/// Largest reply that is read: a page of a list, or the changes since a watch began.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// An object of the API, with the version at which it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Kind, such as `kelpworks.lease`.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Version of its last change.
    pub version: Version,
    /// Content, up to a megabyte.
    pub body: String,
}

impl Object {
    /// Converts an object of a response of `era`.
    fn new(wire: kelpworks_wire::Object, era: Era) -> Object {
        Object {
            kind: wire.kind,
            name: wire.name,
            version: Version::new(era, wire.version),
            body: wire.body,
        }
    }
}

/// The objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectList {
    /// All objects of the kind.
    pub items: Vec<Object>,
    /// Version from which to watch for later changes.
    pub version: Version,
}

/// One change of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchEvent {
    /// Whether the object was written or deleted.
    pub kind: WatchEventKind,
    /// The object after the change, or before it if it was deleted.
    pub object: Object,
}

/// Changes to the objects of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchReply {
    /// The changes, in order.
    pub events: Vec<WatchEvent>,
    /// Version from which to watch for later changes.
    pub version: Version,
}

impl WatchReply {
    /// Converts the reply of a watch that was answered in `era`.
    fn new(wire: kelpworks_wire::WatchReply, era: Era) -> WatchReply {
        let event = |e: kelpworks_wire::WatchEvent| WatchEvent {
            kind: e.kind,
            object: Object::new(e.object, era),
        };
        WatchReply {
            events: wire.events.into_iter().map(event).collect(),
            version: Version::new(era, wire.version),
        }
    }
}

/// Why a call to the object API failed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// There is no such object.
    #[error("no such object")]
    NotFound,
    /// The condition did not hold; nothing was written.
    #[error("the object has changed")]
    Conflict {
        /// The current object; `None` when it does not exist.
        current: Option<Box<Object>>,
    },
    /// The condition names a version of an earlier era; nothing was sent.
    #[error("the object API has come back from an older copy")]
    Outdated,
    /// The body is larger than the API accepts; nothing was written.
    #[error("the body is too large for the object API")]
    TooLarge,
    /// The API's rate limit was exceeded; nothing was done.
    #[error("over the object API's rate")]
    OverRate,
    /// The API reports that it is unavailable; nothing was done.
    #[error("the object API is unavailable")]
    Unavailable,
    /// The API no longer has the changes since the version to watch from: list the objects again.
    #[error("the version to watch from is too old")]
    Expired,
    /// No connection could be opened; nothing was sent.
    #[error("no connection to the object API")]
    NotSent,
    /// The call was sent but no usable reply was received: a write may have taken effect.
    #[error("the object API's reply was lost")]
    Lost,
    /// A watch returned neither an event nor a bookmark within its timeout. The connection may be
    /// dead: call [`ObjectApi::reset_connections`] before the next watch.
    #[error("the watch of the object API is silent")]
    Silent,
    /// The base URL cannot be used.
    #[error("the object API's URL cannot be used")]
    Url,
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Error::Lost)
    }
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The write is unconditional.
    Always,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

impl Condition {
    /// Requires this version, or that the object does not exist if the version says it is absent.
    pub fn at(version: Version) -> Condition {
        match version.is_absent() {
            true => Condition::Absent,
            false => Condition::Version(version),
        }
    }

    /// Returns the value of the `if_version` parameter; 0 means that the object does not exist.
    fn if_version(self, eras: &Eras) -> Result<Option<u64>> {
        match self {
            Condition::Always => Ok(None),
            Condition::Absent => Ok(Some(0)),
            Condition::Version(v) => eras.condition(v).map(Some),
        }
    }

    /// Checks the era of the response to a conditional write. In a later era the revision of the
    /// condition may have been assigned to another object, on which the write took effect.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] when the response is of a later era than the condition.
    pub fn check_write_era(self, era: Era) -> Result<()> {
        match self {
            Condition::Version(v) if v.era < era => Err(Error::Lost),
            _ => Ok(()),
        }
    }
}

/// The platform's object API.
pub trait ObjectApi: Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] when there is none.
    fn get(&self, kind: &str, name: &str) -> impl Future<Output = Result<Object>> + Send;

    /// Writes an object when the condition holds; returns it with its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when the condition does not hold; [`Error::Lost`]
    /// when the write may have taken effect.
    fn put(
        &self,
        kind: &str,
        name: &str,
        body: String,
        condition: Condition,
    ) -> impl Future<Output = Result<Object>> + Send;

    /// Deletes an object when the condition holds.
    ///
    /// # Errors
    ///
    /// As [`ObjectApi::put`], and [`Error::NotFound`].
    fn delete(
        &self,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// When no list was received.
    fn list(&self, kind: &str) -> impl Future<Output = Result<ObjectList>> + Send;

    /// Lists the objects of a kind with a staleness of up to some seconds, if the API has a cheaper
    /// call for that. The version of the list is that of the stale data.
    ///
    /// # Errors
    ///
    /// When no list was received.
    fn list_relaxed(&self, kind: &str) -> impl Future<Output = Result<ObjectList>> + Send {
        self.list(kind)
    }

    /// Waits up to `wait` for changes of a kind after version `from`; a reply without events is a
    /// bookmark.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] when no reply was received within `wait` and a margin;
    /// [`Error::Expired`] when `from` is too old, or of an earlier era.
    fn watch(
        &self,
        kind: &str,
        from: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchReply>> + Send;

    /// Returns the eras that this client and all clients sharing them have observed.
    fn eras(&self) -> &Eras;

    /// Drops the pool of connections, so that the next call opens a new one.
    fn reset_connections(&self);
}

/// Timeouts of [`HttpObjectApi`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// To open a connection. Default 1 s.
    pub connect: Duration,
    /// For a whole call other than a watch. Default 3 s.
    pub call: Duration,
    /// For a watch, added to the time that the API is requested to wait. Default 1 s.
    pub watch_margin: Duration,
}

impl Default for Deadlines {
    fn default() -> Deadlines {
        Deadlines {
            connect: Duration::from_secs(1),
            call: Duration::from_secs(3),
            watch_margin: Duration::from_secs(1),
        }
    }
}

/// The object API over HTTP.
#[derive(Debug)]
pub struct HttpObjectApi {
    base: Url,
    client: ResettableClient,
    deadlines: Deadlines,
    eras: Eras,
}

impl HttpObjectApi {
    /// Returns a client of the object API at a base URL, with eras of its own.
    ///
    /// # Errors
    ///
    /// [`Error::Url`] when the URL cannot be used.
    pub fn new(base: &str, deadlines: Deadlines) -> Result<HttpObjectApi> {
        HttpObjectApi::with_eras(base, deadlines, Eras::default())
    }

    /// As [`HttpObjectApi::new`], with eras shared by several clients of a daemon.
    ///
    /// # Errors
    ///
    /// As [`HttpObjectApi::new`].
    pub fn with_eras(base: &str, deadlines: Deadlines, eras: Eras) -> Result<HttpObjectApi> {
        let base = Url::parse(base).map_err(|_| Error::Url)?;
        if base.cannot_be_a_base() {
            return Err(Error::Url);
        }
        let client = ResettableClient::new(deadlines.connect).map_err(|_| Error::Url)?;
        Ok(HttpObjectApi {
            base,
            client,
            deadlines,
            eras,
        })
    }

    /// Returns the URL of a path below the base; each segment is escaped.
    fn url(&self, segments: &[&str]) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(segments);
        }
        url
    }

    /// Builds a request for one object, with its condition.
    fn on_object(
        &self,
        method: Method,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> Result<RequestBuilder> {
        let mut url = self.url(&["objects", kind, name]);
        if let Some(version) = condition.if_version(&self.eras)? {
            url.query_pairs_mut()
                .append_pair("if_version", &version.to_string());
        }
        let req = self.client.get().request(method, url);
        Ok(req.timeout(self.deadlines.call))
    }

    /// Sends a request and decodes its reply. A reply that can't be decoded counts as lost.
    async fn read_json<T: DeserializeOwned>(&self, req: RequestBuilder) -> Result<(T, Era)> {
        let (reply, era) = self.send(req).await?;
        let reply = body::read_json(reply, MAX_REPLY_BYTES).await;
        let reply = reply.map_err(|_| Error::Lost)?;
        Ok((reply, era))
    }

    /// Sends a request; any status other than success is an error.
    async fn send(&self, req: RequestBuilder) -> Result<(reqwest::Response, Era)> {
        let reply = answer::send(req).await.map_err(|e| match e.stage() {
            SendStage::NotSent => Error::NotSent,
            SendStage::Lost => Error::Lost,
        })?;
        let era = self.eras.check_response_era(era_of(&reply));
        if reply.status().is_success() {
            return Ok((reply, era?));
        }
        let status = reply.status();
        let error = match body::read_json::<ApiError>(reply, MAX_REPLY_BYTES).await {
            Ok(error) => stated_error(error, era.clone().unwrap_or_default()),
            Err(_) => status_error(status),
        };
        match error {
            // These errors state facts about an object, which hold only in the latest era.
            Error::NotFound | Error::Conflict { .. } => Err(era.err().unwrap_or(error)),
            error => Err(error),
        }
    }
}

impl ObjectApi for HttpObjectApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Object> {
        let req = self.on_object(Method::GET, kind, name, Condition::Always)?;
        let (object, era) = self.read_json(req).await?;
        Ok(Object::new(object, era))
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        body: String,
        condition: Condition,
    ) -> Result<Object> {
        let req = self.on_object(Method::PUT, kind, name, condition)?;
        let (object, era) = self.read_json(req.json(&ObjectBody { body })).await?;
        condition.check_write_era(era)?;
        Ok(Object::new(object, era))
    }

    async fn delete(&self, kind: &str, name: &str, condition: Condition) -> Result<()> {
        let req = self.on_object(Method::DELETE, kind, name, condition)?;
        let (_, era) = self.send(req).await?;
        condition.check_write_era(era)
    }

    async fn list(&self, kind: &str) -> Result<ObjectList> {
        let url = self.url(&["objects", kind]);
        let req = self.client.get().get(url).timeout(self.deadlines.call);
        let (list, era) = self.read_json::<kelpworks_wire::ObjectList>(req).await?;
        let items = list.items.into_iter().map(|o| Object::new(o, era));
        Ok(ObjectList {
            items: items.collect(),
            version: Version::new(era, list.version),
        })
    }

    async fn watch(&self, kind: &str, from: Version, wait: Duration) -> Result<WatchReply> {
        let mut url = self.url(&["watch", kind]);
        url.query_pairs_mut()
            .append_pair("from", &from.revision.to_string())
            .append_pair("wait_ms", &wait.as_millis().to_string());
        let bound = wait + self.deadlines.watch_margin;
        let reply = self.read_json::<kelpworks_wire::WatchReply>(self.client.get().get(url));
        let watch = async {
            let reply = tokio::time::timeout(bound, reply).await;
            let (reply, era) = reply.unwrap_or(Err(Error::Silent))?;
            Ok(WatchReply::new(reply, era))
        };
        self.eras.watch_from(from, watch).await
    }

    fn eras(&self) -> &Eras {
        &self.eras
    }

    fn reset_connections(&self) {
        self.client.reset_connections();
    }
}

/// Returns the era in the header of a response; `None` if it is absent or malformed.
fn era_of(reply: &reqwest::Response) -> Option<Era> {
    let field = reply.headers().get(ERA_FIELD)?.to_str().ok()?;
    field.trim().parse().ok().map(Era)
}

/// Converts the error that the API states in the body of a response.
fn stated_error(error: ApiError, era: Era) -> Error {
    match error.code {
        ApiErrorCode::NotFound => Error::NotFound,
        ApiErrorCode::Conflict => Error::Conflict {
            current: error.current.map(|o| Box::new(Object::new(o, era))),
        },
        ApiErrorCode::TooLarge => Error::TooLarge,
        ApiErrorCode::TooManyRequests => Error::OverRate,
        ApiErrorCode::Unavailable => Error::Unavailable,
        ApiErrorCode::Expired => Error::Expired,
    }
}

/// Converts a status whose body is not an error of the API. A proxy may have answered in place of
/// the API, so only a client error (4xx) implies that nothing was executed.
fn status_error(status: StatusCode) -> Error {
    match status {
        StatusCode::NOT_FOUND => Error::NotFound,
        StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge,
        StatusCode::TOO_MANY_REQUESTS => Error::OverRate,
        s if s.is_client_error() => Error::Unavailable,
        _ => Error::Lost,
    }
}
