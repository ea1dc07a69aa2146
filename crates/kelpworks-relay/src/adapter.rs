//! What a platform's adapter translates: heads of requests and answers, documents of the store,
//! and orders to engines.
//!
//! The adapter decodes names and formats once, into the types of this module, and decides nothing.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::config::Configuration;
use crate::limits::Announcement;

/// The result of decoding.
pub type Result<T> = std::result::Result<T, DecodeError>;

/// A document or head that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{subject}: {reason}")]
pub struct DecodeError {
    /// What was read.
    pub subject: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// Layers `from` to `to`, the latter not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LayerRange {
    /// First layer.
    pub from: u16,
    /// First layer after the range; greater than `from`.
    pub to: u16,
}

impl LayerRange {
    /// Number of layers.
    pub fn len(self) -> u16 {
        self.to.saturating_sub(self.from)
    }

    /// Whether it holds no layer.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }

    /// Whether a layer is in it.
    pub fn contains(self, layer: u16) -> bool {
        self.from <= layer && layer < self.to
    }
}

/// What a caller's head says beside method and path.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Id of this attempt of the caller; no two attempts share one.
    pub request_id: Option<Box<str>>,
    /// Key of the caller.
    pub key: Option<Box<str>>,
    /// How long the caller waits from now on.
    pub time_left: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// Most tokens of the answer.
    pub max_tokens: Option<u32>,
    /// The caller's estimate of the answer's tokens.
    pub length_hint: Option<u32>,
    /// The last event that the caller read of a stream that broke off.
    pub last_event: Option<u64>,
}

/// One part of a path: the layers that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Address of the engine.
    pub address: SocketAddr,
    /// The layers it runs, all of which it holds.
    pub layers: LayerRange,
}

/// What the daemon tells an upstream beside the caller's own head.
#[derive(Clone, Debug, Default)]
pub struct ForwardedHead<'a> {
    /// Time left for the work.
    pub time_left: Duration,
    /// Id of the upstream that is to answer; any other refuses.
    pub id: Option<&'a str>,
    /// Team of the caller.
    pub team: Option<&'a str>,
    /// Engines to pass, in order; empty for a plain service.
    pub path: &'a [Hop],
    /// Continue a stream after this event.
    pub resume_after: Option<u64>,
    /// Version of the weights that must answer.
    pub weight_version: Option<u64>,
}

/// What an upstream's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub request_id: Option<Box<str>>,
    /// Whether it carries the signature of an upstream.
    pub signed: bool,
    /// The upstream states that it has not run the request.
    pub not_run: bool,
    /// Id of the upstream that answered, where it says so.
    pub id: Option<Box<str>>,
    /// Address of the engine on the path that is at fault.
    pub at_fault: Option<SocketAddr>,
    /// Version of the weights.
    pub weight_version: Option<u64>,
    /// What it says of the requests that the upstream takes.
    pub limit: Announcement,
}

/// State of an upstream as discovery shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes requests.
    Ready,
    /// Leaving: finishes what it has.
    Leaving,
}

/// When an upstream started, in milliseconds since the Unix epoch by its own clock. Of two starts
/// under one id the greater is the later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// Name of an incarnation inside the daemon: the id alone, or with the start where that is told. All
/// that is remembered or told of an upstream goes by this name, so that a new start under an old id
/// begins with nothing.
pub fn incarnation(id: &Arc<str>, start: Option<StartTime>) -> Arc<str> {
    match start {
        Some(StartTime(ms)) => Arc::from(format!("{id}@{ms}")),
        None => Arc::clone(id),
    }
}

/// An upstream as discovery shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Name of this incarnation, by [`incarnation`]; no other ever has it.
    pub instance: Arc<str>,
    /// Id as registered, which upstreams check; a new start may have an old one's.
    pub id: Arc<str>,
    /// When it started, where it says so.
    pub start: Option<StartTime>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Ready or leaving.
    pub lifecycle: Lifecycle,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Kind of its accelerator.
    pub kind: Option<Arc<str>>,
}

/// An engine's report of its own state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// When it started, where it says so.
    pub start: Option<StartTime>,
    /// Number of orders it has begun since its start.
    pub orders: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// How many times longer its work takes than its kind's usually does; 1 as a rule.
    pub slowness: f64,
}

/// What becomes of the requests on layers that an engine gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisplacementPolicy {
    /// They finish before the new layers are loaded, which may take many seconds.
    Drain,
    /// They are cut off.
    Abort,
}

/// An order to hold a range of layers.
#[derive(Clone, Copy, Debug)]
pub struct PlaceOrder<'a> {
    /// Id of the engine that is meant.
    pub id: &'a str,
    /// What it is to hold.
    pub layers: LayerRange,
    /// What becomes of requests on layers that it gives up.
    pub displacement: DisplacementPolicy,
    /// Orders that it must have begun, no more and no fewer.
    pub expected: u64,
    /// Fencing token of the lease.
    pub fencing_token: u64,
}

/// An order to go on with a request that runs on other engines.
#[derive(Clone, Copy, Debug)]
pub struct RerouteOrder<'a> {
    /// Id of the request's first engine, which takes the order.
    pub id: &'a str,
    /// Id of the request.
    pub request: &'a str,
    /// The new path; its first part is that of the old one. Parts that stay keep their KV cache, and
    /// new ones read all tokens so far through their layers.
    pub path: &'a [Hop],
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Begun, or done already.
    Accepted,
    /// Its state differs from what the order expected; nothing was begun.
    Conflict,
    /// Refused for another reason; nothing was begun.
    Refused,
    /// No answer: it may be carried out, now or later.
    Lost,
}

impl OrderReply {
    /// The word for the log and the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderReply::Accepted => "accepted",
            OrderReply::Conflict => "conflict",
            OrderReply::Refused => "refused",
            OrderReply::Lost => "lost",
        }
    }
}

/// Decodes and writes the headers and documents of a platform.
pub trait Adapter: Send + Sync + 'static {
    /// Kind under which the store keeps the configuration.
    const CONFIGURATION_KIND: &'static str;
    /// Name of the configuration's object.
    const CONFIGURATION_NAME: &'static str;
    /// Kind under which upstreams register.
    const UPSTREAMS_KIND: &'static str;

    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// When a field that the daemon needs can't be read.
    fn decode_request_head(headers: &HeaderMap) -> Result<CallerHead>;

    /// Turns a caller's headers into those for an upstream; the key is taken out.
    fn set_upstream_headers(headers: &mut HeaderMap, forwarded: &ForwardedHead<'_>);

    /// Reads an upstream's head.
    fn decode_answer_head(headers: &HeaderMap) -> AnswerHead;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// When it is not one, or names a service that it does not define.
    fn decode_configuration(body: &str) -> Result<Configuration>;

    /// Reads what an upstream registered under its id.
    ///
    /// # Errors
    ///
    /// When a field is missing or can't be read.
    fn decode_upstream(name: &str, body: &str) -> Result<UpstreamEntry>;
}

/// Orders to engines.
pub trait EngineApi: Send + Sync + 'static {
    /// Asks an engine for its state; `None` when no answer came.
    fn report(&self, address: SocketAddr) -> impl Future<Output = Option<EngineReport>> + Send;

    /// Orders an engine to hold a range, if its state is as the order expects.
    fn place(
        &self,
        address: SocketAddr,
        order: PlaceOrder<'_>,
    ) -> impl Future<Output = OrderReply> + Send;

    /// Orders a request's first engine to change the request's path.
    fn reroute(
        &self,
        address: SocketAddr,
        order: RerouteOrder<'_>,
    ) -> impl Future<Output = OrderReply> + Send;
}
