//! Interface to a platform's protocol: heads of requests and answers, documents of the store, and
//! orders to engines.
//!
//! An adapter translates names and formats to and from the types of this module. It makes no
//! decisions.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use kelpworks_coord::id::PartId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::clearance::Clearance;
use crate::config::Configuration;
use crate::constraints::Announced;
use crate::limits::Announcement;

/// Result of decoding.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// Reports that a document or head can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{subject}: {reason}")]
pub struct DecodeError {
    /// Kind of the document or field, such as `configuration`.
    pub subject: &'static str,
    /// What is wrong with it, for the log.
    pub reason: String,
}

/// Where a configuration has an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ErrorPlace {
    /// Not known more closely.
    Configuration,
    /// A position in the text: line, from 1, and column, from 1; column 0 is the end of the line
    /// before.
    Position {
        /// Line.
        line: usize,
        /// Column, in bytes.
        column: usize,
    },
    /// The route of this name.
    Route(Arc<str>),
}

/// An error for which a configuration can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// Where it is.
    pub place: ErrorPlace,
    /// What is wrong; contains no API key.
    pub reason: String,
}

/// A half-open range of layers, `from..to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LayerRange {
    /// First layer, counted from 0.
    pub from: u16,
    /// First layer after the range; greater than `from`.
    pub to: u16,
}

impl LayerRange {
    /// Returns the number of layers; 0 when `to` is below `from`.
    pub fn len(self) -> u16 {
        self.to.saturating_sub(self.from)
    }

    /// Whether the range contains no layer.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Whether a layer is in the range.
    pub fn contains(self, layer: u16) -> bool {
        self.from <= layer && layer < self.to
    }
}

/// Header fields of a caller's request that the daemon uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Id of this attempt of the caller, unique among attempts.
    pub request_id: Option<Box<str>>,
    /// API key that identifies the team of the caller.
    pub key: Option<Box<str>>,
    /// Time for which the caller still waits, from its deadline.
    pub time_left: Option<Duration>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: Option<u32>,
    /// Maximum number of tokens in the answer.
    pub max_tokens: Option<u32>,
    /// Number of tokens that the caller expects in the answer.
    pub length_hint: Option<u32>,
    /// Id of the last event that the caller read, when it resumes a broken stream.
    pub last_event: Option<u64>,
    /// Parts of the prompt that other requests may have too, in order, at most [`MAX_SHARED_PARTS`]. The last
    /// part of a prompt is the request's own and is not among them.
    pub shared_parts: Box<[PartId]>,
}

/// Maximum number of parts of a prompt that are considered. The first ones are those that most requests
/// share.
pub const MAX_SHARED_PARTS: usize = 64;

/// One hop of a path: an engine and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Layers that it runs for the request, all of which it has loaded.
    pub layers: LayerRange,
}

/// Header fields that the daemon sets in the request to an upstream.
#[derive(Clone, Debug, Default)]
pub struct ForwardedHead<'a> {
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Id of the upstream that must answer; any other at the address refuses the request.
    pub id: Option<&'a str>,
    /// Name of the caller's team; absent when the request has none.
    pub team: Option<&'a str>,
    /// Engines that the request passes, in order; empty for a plain service.
    pub path: &'a [Hop],
    /// Id of the event after which a stream is to continue.
    pub resume_after: Option<u64>,
    /// Version of the weights that must produce the answer.
    pub weight_version: Option<u64>,
    /// Urgency among the requests of its service, 0 to [`MAX_URGENCY`], the most urgent first; absent where all
    /// are alike.
    pub urgency: Option<u8>,
}

/// Least urgent value of [`ForwardedHead::urgency`].
pub const MAX_URGENCY: u8 = 9;

/// Header fields of an upstream's answer that the daemon uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the attempt that it answers, as echoed by the upstream.
    pub request_id: Option<Box<str>>,
    /// Whether the answer carries the signature of an upstream.
    pub signed: bool,
    /// Whether the upstream states that it has not run the request.
    pub not_run: bool,
    /// Id of the upstream that answered, where the answer names it.
    pub id: Option<Box<str>>,
    /// Address of the engine on the path that caused the failure, where the answer names it.
    pub at_fault: Option<SocketAddr>,
    /// Version of the weights that produced the answer.
    pub weight_version: Option<u64>,
    /// Rate limit that the upstream announces.
    pub limit: Announcement,
    /// Time for which the upstream asks this daemon to send nothing.
    pub backoff: Announced<Duration>,
    /// Whether the upstream states that it is leaving.
    pub leaving: Announced<bool>,
}

/// State of an upstream as registered in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and accepts no more.
    Leaving,
}

/// Time at which an upstream started, in milliseconds since the Unix epoch by its own clock. Of two
/// start times under one id, the greater belongs to the later start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// Returns the daemon's name of an incarnation: the id, followed by the start time where the
/// upstream reports one. All state and gossip about an upstream is keyed by this name, so that a
/// restart under the same id begins without state.
pub fn incarnation(id: &Arc<str>, start: Option<StartTime>) -> Arc<str> {
    match start {
        Some(StartTime(ms)) => Arc::from(format!("{id}@{ms}")),
        None => Arc::clone(id),
    }
}

/// An upstream as registered in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Name of this incarnation, from [`incarnation`]; never reused.
    pub instance: Arc<str>,
    /// Id as registered, which upstreams compare with the one in a request. A restart may keep it.
    pub id: Arc<str>,
    /// Time of its start, where the entry contains one.
    pub start: Option<StartTime>,
    /// Name of the service that it belongs to.
    pub service: Arc<str>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub domain: Arc<str>,
    /// Whether it accepts requests or is leaving.
    pub lifecycle: Lifecycle,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Layers that it has loaded; absent when it has none.
    pub layers: Option<LayerRange>,
    /// Kind of its accelerator, one of those that the configuration describes for the service.
    pub kind: Option<Arc<str>>,
}

/// An engine's report of its own state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Time of its start, where it reports one.
    pub start: Option<StartTime>,
    /// Number of orders that it has begun since its start.
    pub orders: u64,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Layers that it has loaded; absent when it has none.
    pub layers: Option<LayerRange>,
    /// Ratio of the time that its work takes to the time typical of its kind of accelerator;
    /// normally 1.
    pub slowness: f64,
}

/// What happens to the requests that use layers which an engine unloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisplacementPolicy {
    /// They finish before the new layers are loaded, which may take many seconds.
    Drain,
    /// They are aborted.
    Abort,
}

impl DisplacementPolicy {
    /// Returns the value of the key `displacement` in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            DisplacementPolicy::Drain => "drain",
            DisplacementPolicy::Abort => "abort",
        }
    }
}

/// An order to load a range of layers.
#[derive(Clone, Copy, Debug)]
pub struct PlaceOrder<'a> {
    /// Id of the engine; another engine at the address refuses the order.
    pub id: &'a str,
    /// Layers to load, in place of those that the engine has.
    pub layers: LayerRange,
    /// What happens to requests that use layers which it unloads.
    pub displacement: DisplacementPolicy,
    /// Precondition: the exact number of orders that the engine has begun so far.
    pub expected: u64,
    /// Fencing token of the placement lease.
    pub fencing_token: u64,
}

/// An order to continue a running request on a different path.
#[derive(Clone, Copy, Debug)]
pub struct RerouteOrder<'a> {
    /// Id of the first engine on the request's path, which receives the order.
    pub id: &'a str,
    /// Id of the request, as given by the caller.
    pub request: &'a str,
    /// The new path; its first hop is that of the old one. Hops that stay keep their KV cache, and
    /// new ones recompute theirs by running all tokens so far through their layers.
    pub path: &'a [Hop],
}

/// An engine's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The order has begun or is already carried out.
    Accepted,
    /// The precondition of the order does not hold; nothing was begun.
    Conflict,
    /// The order was refused for another reason or could not be sent; nothing was begun.
    Refused,
    /// No reply arrived; the order may still be carried out, now or later.
    Lost,
}

impl OrderReply {
    /// Returns the value of the key `outcome` in the log and of the metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderReply::Accepted => "accepted",
            OrderReply::Conflict => "conflict",
            OrderReply::Refused => "refused",
            OrderReply::Lost => "lost",
        }
    }
}

/// Decodes and encodes the headers and documents of a platform.
pub trait Adapter: Send + Sync + 'static {
    /// Kind of the store object that contains the configuration.
    const CONFIGURATION_KIND: &'static str;
    /// Name of the store object that contains the configuration.
    const CONFIGURATION_NAME: &'static str;
    /// Kind of the store objects by which upstreams register.
    const UPSTREAMS_KIND: &'static str;

    /// Decodes the header fields of a caller's request.
    ///
    /// # Errors
    ///
    /// When a field that the daemon uses is malformed.
    fn decode_request_head(headers: &HeaderMap) -> Result<CallerHead>;

    /// Turns a caller's header fields into those for an upstream. Removes the API key and any field
    /// that only the daemon may set.
    fn set_upstream_headers(headers: &mut HeaderMap, forwarded: &ForwardedHead<'_>);

    /// Replaces the time left until the deadline in the header fields of a request to an upstream.
    fn set_time_left(headers: &mut HeaderMap, time_left: Duration);

    /// Decodes the header fields of an upstream's answer. Malformed fields count as absent, except
    /// that a malformed limit is [`Announcement::Unreadable`] and a malformed backoff or notice of
    /// leaving [`Announced::Unreadable`].
    fn decode_answer_head(headers: &HeaderMap) -> AnswerHead;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// When it is malformed, or a route names no service or one that is not defined.
    fn decode_configuration(body: &str) -> Result<Configuration>;

    /// Returns the errors for which a configuration can't be decoded, as far as they can be told at
    /// once; empty exactly if [`decode_configuration`](Adapter::decode_configuration) succeeds.
    fn configuration_errors(body: &str) -> Vec<ConfigurationError> {
        let error = Self::decode_configuration(body).err();
        let located = error.map(|e| ConfigurationError {
            place: ErrorPlace::Configuration,
            reason: e.reason,
        });
        located.into_iter().collect()
    }

    /// Decodes the entry that an upstream registered under `name`, its id.
    ///
    /// # Errors
    ///
    /// When a required field is missing or a field is malformed.
    fn decode_upstream(name: &str, body: &str) -> Result<UpstreamEntry>;
}

/// An engine's answer to a query or an order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineAnswer<T> {
    /// What was asked for.
    pub value: T,
    /// Status and header fields; `None` when no answer arrived.
    pub head: Option<(StatusCode, AnswerHead)>,
}

/// Client of the engines: queries their state and sends them orders. Other upstreams are asked for their ids only.
pub trait EngineApi: Send + Sync + 'static {
    /// Queries the state of an engine; the value is `None` when it does not answer or its answer
    /// is malformed.
    fn report(
        &self,
        clearance: &Clearance,
    ) -> impl Future<Output = EngineAnswer<Option<EngineReport>>> + Send;

    /// Asks at an address which upstream answers there, by a request for `path` that is meant for `id`; the value is the
    /// id of the upstream that answered, `None` when none did or the answer names none.
    fn identify(
        &self,
        clearance: &Clearance,
        path: &str,
        id: &str,
    ) -> impl Future<Output = EngineAnswer<Option<Box<str>>>> + Send;

    /// Orders an engine to load a range of layers, if it has begun as many orders as expected.
    fn place(
        &self,
        clearance: &Clearance,
        order: PlaceOrder<'_>,
    ) -> impl Future<Output = EngineAnswer<OrderReply>> + Send;

    /// Orders the first engine on a request's path to continue the request on another path.
    fn reroute(
        &self,
        clearance: &Clearance,
        order: RerouteOrder<'_>,
    ) -> impl Future<Output = EngineAnswer<OrderReply>> + Send;
}
