// Generated from `schemas/wire.json` by `kelpworks-wiregen`; change the schema, not this.

///Fetch of activations kept under a handle.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ActivationRequest {
    ///Number of positions, from the first on.
    pub count: u32,
    ///The handle; names its first position.
    pub handle: ::std::string::String,
}
///Activations of consecutive positions.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Activations {
    ///One row a position.
    pub rows: ::std::vec::Vec<u64>,
}
///An error of the object API.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ApiError {
    pub code: ApiErrorCode,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub current: ::std::option::Option<Object>,
    ///For people.
    pub message: ::std::string::String,
}
///Why the object API refused.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ApiErrorCode {
    #[serde(rename = "not_found")]
    NotFound,
    #[serde(rename = "conflict")]
    Conflict,
    #[serde(rename = "too_large")]
    TooLarge,
    #[serde(rename = "too_many_requests")]
    TooManyRequests,
    #[serde(rename = "unavailable")]
    Unavailable,
    #[serde(rename = "expired")]
    Expired,
}
impl ::std::fmt::Display for ApiErrorCode {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotFound => f.write_str("not_found"),
            Self::Conflict => f.write_str("conflict"),
            Self::TooLarge => f.write_str("too_large"),
            Self::TooManyRequests => f.write_str("too_many_requests"),
            Self::Unavailable => f.write_str("unavailable"),
            Self::Expired => f.write_str("expired"),
        }
    }
}
impl ::std::str::FromStr for ApiErrorCode {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not_found" => Ok(Self::NotFound),
            "conflict" => Ok(Self::Conflict),
            "too_large" => Ok(Self::TooLarge),
            "too_many_requests" => Ok(Self::TooManyRequests),
            "unavailable" => Ok(Self::Unavailable),
            "expired" => Ok(Self::Expired),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ApiErrorCode {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ApiErrorCode {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A refusal for want of capacity.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BusyReply {
    ///When to ask again, in milliseconds.
    pub retry_after_ms: u32,
}
///A change of an engine's prefix cache.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CacheEvent {
    pub kind: CacheEventKind,
    ///Model.
    pub model: ::std::string::String,
    ///Digest of the prefix.
    pub prefix: ::std::string::String,
    ///Rises by one an event.
    pub sequence: u64,
}
///What happened to a cached prefix.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum CacheEventKind {
    #[serde(rename = "stored")]
    Stored,
    #[serde(rename = "evicted")]
    Evicted,
}
impl ::std::fmt::Display for CacheEventKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Stored => f.write_str("stored"),
            Self::Evicted => f.write_str("evicted"),
        }
    }
}
impl ::std::str::FromStr for CacheEventKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stored" => Ok(Self::Stored),
            "evicted" => Ok(Self::Evicted),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for CacheEventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CacheEventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Cache events from a sequence number on.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CacheEvents {
    ///May have gaps.
    pub events: ::std::vec::Vec<CacheEvent>,
    ///Incarnation the events belong to.
    pub incarnation: u64,
    ///Sequence number to ask from next.
    pub next: u64,
}
///Ends a session on an engine and frees its memory.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CancelRequest {
    ///Attempts up to this one end.
    pub attempt: u32,
    ///Session identifier.
    pub session: ::std::string::String,
}
///An answer to a chat.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChoice {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<FinishReason>,
    ///0.
    pub index: u32,
    pub message: ChatMessage,
}
///One event of a streamed chat answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChunk {
    ///One.
    pub choices: ::std::vec::Vec<ChatChunkChoice>,
    ///Unix time, seconds.
    pub created: u64,
    ///Request id.
    pub id: ::std::string::String,
    ///Model.
    pub model: ::std::string::String,
    ///`chat.completion.chunk`.
    pub object: ::std::string::String,
}
///A piece of a chat answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChunkChoice {
    pub delta: ChatDelta,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<FinishReason>,
    ///0.
    pub index: u32,
}
///A piece of a chat answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct ChatDelta {
    ///Text.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub content: ::std::option::Option<::std::string::String>,
    ///Role, in the first event.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub role: ::std::option::Option<::std::string::String>,
}
///A message of a chat.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatMessage {
    ///Text.
    pub content: ::std::string::String,
    ///Role.
    pub role: ::std::string::String,
}
///A caller's chat request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatRequest {
    ///Most tokens to generate.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    ///The conversation.
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///Model.
    pub model: ::std::string::String,
    ///Server-sent events.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
}
///A whole chat answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatResponse {
    ///One.
    pub choices: ::std::vec::Vec<ChatChoice>,
    ///Unix time, seconds.
    pub created: u64,
    ///Request id.
    pub id: ::std::string::String,
    ///Model.
    pub model: ::std::string::String,
    ///`chat.completion`.
    pub object: ::std::string::String,
    pub usage: Usage,
}
///The answer of a call that ran.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimOutcome {
    ///Body, encoded as claims record it.
    pub body: ::std::string::String,
    ///HTTP status.
    pub status: u32,
}
///How far a claim has come, by its daemon's word.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ClaimState {
    #[serde(rename = "in_progress")]
    InProgress,
    #[serde(rename = "never_dispatched")]
    NeverDispatched,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "may_have_run")]
    MayHaveRun,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ClaimState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::InProgress => f.write_str("in_progress"),
            Self::NeverDispatched => f.write_str("never_dispatched"),
            Self::Done => f.write_str("done"),
            Self::MayHaveRun => f.write_str("may_have_run"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ClaimState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "in_progress" => Ok(Self::InProgress),
            "never_dispatched" => Ok(Self::NeverDispatched),
            "done" => Ok(Self::Done),
            "may_have_run" => Ok(Self::MayHaveRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What a daemon says of a claim.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimStatusReply {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub outcome: ::std::option::Option<ClaimOutcome>,
    pub state: ClaimState,
}
///Asks a daemon about a claim that it made.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimStatusRequest {
    ///Incarnation of the daemon, as the claim names it.
    pub incarnation: u64,
    ///Drawn for the claim's submission.
    pub nonce: u64,
}
///Class of service of a team's work.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Class {
    #[serde(rename = "paying")]
    Paying,
    #[serde(rename = "trial")]
    Trial,
}
impl ::std::fmt::Display for Class {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Paying => f.write_str("paying"),
            Self::Trial => f.write_str("trial"),
        }
    }
}
impl ::std::str::FromStr for Class {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "paying" => Ok(Self::Paying),
            "trial" => Ok(Self::Trial),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Class {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Class {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///An answer, or a piece of one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionChoice {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<FinishReason>,
    ///0.
    pub index: u32,
    ///Text.
    pub text: ::std::string::String,
}
///A caller's completion request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    ///Most tokens to generate.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    ///Model.
    pub model: ::std::string::String,
    ///Prompt.
    pub prompt: ::std::string::String,
    ///Server-sent events.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stream: ::std::option::Option<bool>,
}
///A completion, or one event of a streamed one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionResponse {
    ///One.
    pub choices: ::std::vec::Vec<CompletionChoice>,
    ///Unix time, seconds.
    pub created: u64,
    ///Request id.
    pub id: ::std::string::String,
    ///Model.
    pub model: ::std::string::String,
    ///`text_completion`.
    pub object: ::std::string::String,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<Usage>,
}
///The configuration head that a daemon has in force.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigHead {
    ///Body of the head object; empty before the first configuration.
    pub body: ::std::string::String,
    pub from: MemberContact,
}
///A register's or rules' text.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct ConfigText {
    ///The text; absent when it is not held.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub text: ::std::option::Option<::std::string::String>,
}
///Asks for a register's or rules' text.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigTextRequest {
    ///SHA-256 of the text, in hex.
    pub digest: ::std::string::String,
}
///Load of an engine, as of a moment ago.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EngineLoad {
    ///True when the engine is leaving.
    pub draining: bool,
    ///Free KV cache, in positions.
    pub kv_free: u64,
    ///Age of the oldest waiting step, in milliseconds.
    pub queue_ms: u32,
    ///Steps waiting.
    pub queued: u32,
    ///Steps running.
    pub running: u32,
}
///An order to an engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EngineOrder {
    pub action: OrderAction,
    pub fence: Fence,
}
///What an engine reports of itself.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EngineState {
    ///Leaving.
    pub draining: bool,
    ///Highest fencing token seen.
    pub highest_fence: u64,
    ///Changes at each restart.
    pub incarnation: u64,
    pub load: EngineLoad,
    ///Layer ranges held.
    pub loaded: ::std::vec::Vec<LoadedRange>,
    ///Layer ranges being loaded.
    pub loading: ::std::vec::Vec<LoadedRange>,
    ///Host name of the register.
    pub name: ::std::string::String,
}
///Body of every error answer to a caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorBody {
    pub error: ErrorDetail,
}
///An error, for a caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorDetail {
    ///For people.
    pub message: ::std::string::String,
    ///Request id.
    pub request_id: ::std::string::String,
    ///Kind of error.
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
    ///`not-run` or `may-have-run`.
    pub verdict: ::std::string::String,
}
///Fencing token of a lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Fence {
    ///Name of the lease.
    pub lease: ::std::string::String,
    ///Rises with every new holder.
    pub token: u64,
}
///Why an answer ended.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum FinishReason {
    #[serde(rename = "stop")]
    Stop,
    #[serde(rename = "length")]
    Length,
}
impl ::std::fmt::Display for FinishReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Stop => f.write_str("stop"),
            Self::Length => f.write_str("length"),
        }
    }
}
impl ::std::str::FromStr for FinishReason {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stop" => Ok(Self::Stop),
            "length" => Ok(Self::Length),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for FinishReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for FinishReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Activations that an engine keeps under a handle.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HandleRef {
    ///Number of positions.
    pub count: u32,
    ///The handle.
    pub handle: ::std::string::String,
    ///Base URL of the engine that keeps them.
    pub upstream: ::std::string::String,
}
///A host on the platform's list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostEntry {
    ///IP address and port.
    pub address: ::std::string::String,
    ///Failure domain.
    pub failure_domain: ::std::string::String,
    ///Host name.
    pub name: ::std::string::String,
    pub state: HostState,
}
///The platform's list of hosts; it lags.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct HostList {
    ///The hosts.
    pub hosts: ::std::vec::Vec<HostEntry>,
    ///Rises with every change.
    pub version: u64,
}
///State of a host on the platform's list.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum HostState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for HostState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for HostState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for HostState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///`KelpworksWire`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct KelpworksWire(pub ::serde_json::Value);
impl ::std::ops::Deref for KelpworksWire {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<KelpworksWire> for ::serde_json::Value {
    fn from(value: KelpworksWire) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for KelpworksWire {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///KV cache of one session and layer range.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvBlob {
    ///Attempt.
    pub attempt: u32,
    pub layers: LayerRange,
    ///Model.
    pub model: ::std::string::String,
    ///Positions held.
    pub positions: u32,
    ///Session identifier.
    pub session: ::std::string::String,
    ///One running digest a layer.
    pub state: ::std::vec::Vec<u64>,
    ///Version.
    pub version: ::std::string::String,
}
///Export of a session's KV cache.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvExportRequest {
    ///Attempt.
    pub attempt: u32,
    ///Session identifier.
    pub session: ::std::string::String,
}
///A half-open range of layers, `first..end`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LayerRange {
    ///One past the last layer.
    pub end: u32,
    ///First layer, from 0.
    pub first: u32,
}
///A layer range that an engine holds.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LoadedRange {
    pub layers: LayerRange,
    ///Model.
    pub model: ::std::string::String,
    ///Version.
    pub version: ::std::string::String,
}
///How a daemon is reached by its peers; body of its object in the object API.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberContact {
    ///Where it listens for peers, `IP:port`.
    pub address: ::std::string::String,
    ///Failure domain it stands in.
    pub failure_domain: ::std::string::String,
    ///Name of the daemon.
    pub name: ::std::string::String,
    ///Incarnation that its run began with: the time of its start, in milliseconds since 1970.
    pub started: u64,
}
///What is held of a daemon.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum MemberHealth {
    #[serde(rename = "alive")]
    Alive,
    #[serde(rename = "suspect")]
    Suspect,
    #[serde(rename = "dead")]
    Dead,
    #[serde(rename = "left")]
    Left,
}
impl ::std::fmt::Display for MemberHealth {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Alive => f.write_str("alive"),
            Self::Suspect => f.write_str("suspect"),
            Self::Dead => f.write_str("dead"),
            Self::Left => f.write_str("left"),
        }
    }
}
impl ::std::str::FromStr for MemberHealth {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "alive" => Ok(Self::Alive),
            "suspect" => Ok(Self::Suspect),
            "dead" => Ok(Self::Dead),
            "left" => Ok(Self::Left),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for MemberHealth {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for MemberHealth {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What a daemon says of itself now and then; the highest version counts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberSample {
    ///Generation in force.
    pub generation: u64,
    ///Whether it is about to stop.
    pub leaving: bool,
    ///The daemon, by the hash of its name.
    pub node: u64,
    ///Positions a second that trials ask of it.
    pub trial_demand: u32,
    ///Rises with each change, over restarts too.
    pub version: u64,
}
///What one daemon tells another of a third.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberUpdate {
    ///Who says so of its own knowledge.
    pub by: u64,
    ///Its failure domain, by the hash of its name.
    pub domain: u64,
    pub health: MemberHealth,
    ///Incarnation that the report is about.
    pub incarnation: u64,
    ///The daemon, by the hash of its name.
    pub node: u64,
}
///An object of the platform's object API.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Object {
    ///Up to a megabyte of text.
    pub body: ::std::string::String,
    ///Kind.
    pub kind: ::std::string::String,
    ///Name, unique in its kind.
    pub name: ::std::string::String,
    ///Rises with every write to the store.
    pub version: u64,
}
///A write.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ObjectBody {
    ///New body.
    pub body: ::std::string::String,
}
///Objects of one kind.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ObjectList {
    ///The objects.
    pub items: ::std::vec::Vec<Object>,
    ///Version of the store the list is of.
    pub version: u64,
}
///What an order asks for.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum OrderAction {
    ///Load this range from the weight store.
    #[serde(rename = "load")]
    Load(LoadedRange),
    ///Drop this range.
    #[serde(rename = "unload")]
    Unload(LoadedRange),
    ///Change to this role.
    #[serde(rename = "role")]
    Role(::std::string::String),
    ///Load this adapter.
    #[serde(rename = "adapter")]
    Adapter(::std::string::String),
}
///Reply to an order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum OrderReply {
    ///Taken; the fencing token it was taken under.
    #[serde(rename = "accepted")]
    Accepted(u64),
    ///Refused: this higher fencing token has been seen.
    #[serde(rename = "stale")]
    Stale(u64),
    ///Refused for this reason.
    #[serde(rename = "refused")]
    Refused(::std::string::String),
}
///How a step returns its activations: in the reply, or kept by the engine under a handle.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum OutputForm {
    #[serde(rename = "inline")]
    Inline,
    #[serde(rename = "handle")]
    Handle,
}
impl ::std::fmt::Display for OutputForm {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Inline => f.write_str("inline"),
            Self::Handle => f.write_str("handle"),
        }
    }
}
impl ::std::str::FromStr for OutputForm {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "inline" => Ok(Self::Inline),
            "handle" => Ok(Self::Handle),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OutputForm {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OutputForm {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A rare fact, spread among daemons.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PeerFact {
    ///The daemon that observed it.
    pub author: u64,
    ///More about it, by kind.
    pub detail: u64,
    ///False when it was cleared.
    pub holds: bool,
    ///Of the author.
    pub incarnation: u64,
    pub kind: PeerFactKind,
    ///Rises with each change by the author.
    pub sequence: u64,
    ///Hash of an upstream's name, or fingerprint of a request.
    pub subject: u64,
    ///Time it has left, in milliseconds.
    pub ttl_ms: u64,
}
///What a fact says of its subject.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum PeerFactKind {
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "down")]
    Down,
    #[serde(rename = "quarantine")]
    Quarantine,
    #[serde(rename = "suspect")]
    Suspect,
    #[serde(rename = "poison")]
    Poison,
}
impl ::std::fmt::Display for PeerFactKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Leaving => f.write_str("leaving"),
            Self::Down => f.write_str("down"),
            Self::Quarantine => f.write_str("quarantine"),
            Self::Suspect => f.write_str("suspect"),
            Self::Poison => f.write_str("poison"),
        }
    }
}
impl ::std::str::FromStr for PeerFactKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "leaving" => Ok(Self::Leaving),
            "down" => Ok(Self::Down),
            "quarantine" => Ok(Self::Quarantine),
            "suspect" => Ok(Self::Suspect),
            "poison" => Ok(Self::Poison),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PeerFactKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PeerFactKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A heartbeat between daemons, and the answer to one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PeerMessage {
    ///New contacts.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub contacts: ::std::vec::Vec<MemberContact>,
    ///New facts.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub facts: ::std::vec::Vec<PeerFact>,
    ///Hash over the facts that the sender holds.
    pub facts_digest: u64,
    pub from: MemberContact,
    ///Generation that the sender has in force.
    pub generation: u64,
    ///Incarnation of the sender.
    pub incarnation: u64,
    ///Hash over the live members as the sender sees them.
    pub members_digest: u64,
    ///New samples.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub samples: ::std::vec::Vec<MemberSample>,
    ///New reports of members.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub updates: ::std::vec::Vec<MemberUpdate>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub view: ::std::option::Option<MemberUpdate>,
}
///All that a daemon holds of its peers, for one that joins or differs for long.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PeerState {
    ///Contacts of live members.
    pub contacts: ::std::vec::Vec<MemberContact>,
    ///All facts.
    pub facts: ::std::vec::Vec<PeerFact>,
    pub from: MemberContact,
    ///Generation that the sender has in force.
    pub generation: u64,
    ///Incarnation of the sender.
    pub incarnation: u64,
    ///The last sample of each.
    pub samples: ::std::vec::Vec<MemberSample>,
    ///What is held of each.
    pub updates: ::std::vec::Vec<MemberUpdate>,
}
///What came of a heartbeat that was passed on.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct ProbeReply {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<PeerMessage>,
}
///Asks a daemon to pass a heartbeat on to another.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProbeRequest {
    pub message: PeerMessage,
    pub target: MemberContact,
}
///Why an engine did not run a step.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum RefusalReason {
    #[serde(rename = "draining")]
    Draining,
    #[serde(rename = "wrong_layers")]
    WrongLayers,
    #[serde(rename = "wrong_version")]
    WrongVersion,
    #[serde(rename = "position_gap")]
    PositionGap,
    #[serde(rename = "handle_missing")]
    HandleMissing,
    #[serde(rename = "invalid")]
    Invalid,
}
impl ::std::fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Draining => f.write_str("draining"),
            Self::WrongLayers => f.write_str("wrong_layers"),
            Self::WrongVersion => f.write_str("wrong_version"),
            Self::PositionGap => f.write_str("position_gap"),
            Self::HandleMissing => f.write_str("handle_missing"),
            Self::Invalid => f.write_str("invalid"),
        }
    }
}
impl ::std::str::FromStr for RefusalReason {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "draining" => Ok(Self::Draining),
            "wrong_layers" => Ok(Self::WrongLayers),
            "wrong_version" => Ok(Self::WrongVersion),
            "position_gap" => Ok(Self::PositionGap),
            "handle_missing" => Ok(Self::HandleMissing),
            "invalid" => Ok(Self::Invalid),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RefusalReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///One run of one layer range over one or more consecutive positions of a session.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Step {
    ///Lineage of the session; replies of an older one are dropped.
    pub attempt: u32,
    pub class: Class,
    ///Time the sender waits for the reply, in milliseconds.
    pub deadline_ms: u32,
    pub input: StepInput,
    pub layers: LayerRange,
    ///Model name of the register.
    pub model: ::std::string::String,
    pub output: OutputForm,
    ///First position that the step covers, from 0.
    pub position: u32,
    ///Digest of the prompt prefix, for the engine's prefix cache; empty when unknown.
    pub prefix: ::std::string::String,
    ///Session identifier, unique per caller request.
    pub session: ::std::string::String,
    ///Model version of the register.
    pub version: ::std::string::String,
}
///Steps sent to one engine together.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StepBatch {
    ///The steps, in no particular order.
    pub steps: ::std::vec::Vec<Step>,
}
///Replies to a batch, in any order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StepBatchReply {
    ///One reply a step.
    pub replies: ::std::vec::Vec<StepReply>,
}
///Input of a step.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum StepInput {
    ///Token ids, for the first layer.
    #[serde(rename = "tokens")]
    Tokens(::std::vec::Vec<u32>),
    ///Activation rows, one a position.
    #[serde(rename = "rows")]
    Rows(::std::vec::Vec<u64>),
    ///Activations kept by another engine.
    #[serde(rename = "handle")]
    Handle(HandleRef),
}
impl ::std::convert::From<::std::vec::Vec<u32>> for StepInput {
    fn from(value: ::std::vec::Vec<u32>) -> Self {
        Self::Tokens(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<u64>> for StepInput {
    fn from(value: ::std::vec::Vec<u64>) -> Self {
        Self::Rows(value)
    }
}
impl ::std::convert::From<HandleRef> for StepInput {
    fn from(value: HandleRef) -> Self {
        Self::Handle(value)
    }
}
///What became of a step.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum StepOutcome {
    ///Activations, one a position.
    #[serde(rename = "rows")]
    Rows(::std::vec::Vec<u64>),
    ///Activations kept under this handle.
    #[serde(rename = "handle")]
    Handle(::std::string::String),
    ///Next token, from the last layer.
    #[serde(rename = "token")]
    Token(u32),
    ///Not admitted; nothing ran.
    #[serde(rename = "busy")]
    Busy(BusyReply),
    ///Not run.
    #[serde(rename = "refused")]
    Refused(StepRefusal),
}
impl ::std::convert::From<::std::vec::Vec<u64>> for StepOutcome {
    fn from(value: ::std::vec::Vec<u64>) -> Self {
        Self::Rows(value)
    }
}
impl ::std::convert::From<u32> for StepOutcome {
    fn from(value: u32) -> Self {
        Self::Token(value)
    }
}
impl ::std::convert::From<BusyReply> for StepOutcome {
    fn from(value: BusyReply) -> Self {
        Self::Busy(value)
    }
}
impl ::std::convert::From<StepRefusal> for StepOutcome {
    fn from(value: StepRefusal) -> Self {
        Self::Refused(value)
    }
}
///A step that was not run.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StepRefusal {
    ///Positions the engine holds of the session.
    pub have: u32,
    pub reason: RefusalReason,
}
///Reply to one step; echoes what ran.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StepReply {
    ///As in the step.
    pub attempt: u32,
    ///Positions run; 0 when none.
    pub count: u32,
    ///Changes each time the engine restarts.
    pub incarnation: u64,
    pub layers: LayerRange,
    pub load: EngineLoad,
    ///Model that ran.
    pub model: ::std::string::String,
    pub outcome: StepOutcome,
    ///As in the step.
    pub position: u32,
    ///As in the step.
    pub session: ::std::string::String,
    ///Version that ran.
    pub version: ::std::string::String,
}
///Token counts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Usage {
    ///Generated.
    pub completion_tokens: u32,
    ///Of the prompt.
    pub prompt_tokens: u32,
    ///Sum.
    pub total_tokens: u32,
}
///A change of an object.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchEvent {
    pub kind: WatchEventKind,
    pub object: Object,
}
///Kind of a change.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum WatchEventKind {
    #[serde(rename = "put")]
    Put,
    #[serde(rename = "delete")]
    Delete,
}
impl ::std::fmt::Display for WatchEventKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Put => f.write_str("put"),
            Self::Delete => f.write_str("delete"),
        }
    }
}
impl ::std::str::FromStr for WatchEventKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "put" => Ok(Self::Put),
            "delete" => Ok(Self::Delete),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for WatchEventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for WatchEventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Changes after a version; without any, a bookmark.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WatchReply {
    ///In order of version.
    pub events: ::std::vec::Vec<WatchEvent>,
    ///Watch on from here.
    pub version: u64,
}
///Weights of a layer range, delivered at the store's rate.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WeightsReply {
    ///Size.
    pub bytes: u64,
    ///Digest.
    pub digest: ::std::string::String,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
