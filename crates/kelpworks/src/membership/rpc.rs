//! The methods that daemons call on each other.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use kelpworks_wire::ClaimStatusReply;
use kelpworks_wire::ClaimStatusRequest;
use kelpworks_wire::ConfigHead;
use kelpworks_wire::ConfigText;
use kelpworks_wire::ConfigTextRequest;
use kelpworks_wire::PeerMessage;
use kelpworks_wire::PeerState;
use kelpworks_wire::ProbeReply;
use kelpworks_wire::ProbeRequest;

/// Methods of a daemon for its peers. All are idempotent: each may be repeated on a new
/// connection when its answer does not come.
#[rpc(server, client, namespace = "kelpworks", namespace_separator = ".")]
pub(super) trait PeerApi {
    /// A heartbeat; the answer is this daemon's own.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, message: PeerMessage) -> RpcResult<PeerMessage>;

    /// Passes a heartbeat on to a daemon that the caller can't reach.
    #[method(name = "probe")]
    async fn probe(&self, req: ProbeRequest) -> RpcResult<ProbeReply>;

    /// Exchanges all that both hold.
    #[method(name = "sync")]
    async fn sync(&self, state: PeerState) -> RpcResult<PeerState>;

    /// Tells of the head that the caller has in force.
    #[method(name = "config_push")]
    async fn config_push(&self, head: ConfigHead) -> RpcResult<()>;

    /// The head that this daemon has in force.
    #[method(name = "config_head")]
    async fn config_head(&self) -> RpcResult<ConfigHead>;

    /// The text of a register or of rules in force here.
    #[method(name = "config_text")]
    async fn config_text(&self, req: ConfigTextRequest) -> RpcResult<ConfigText>;

    /// What this daemon says of a claim that it made.
    #[method(name = "claim_status")]
    async fn claim_status(&self, req: ClaimStatusRequest) -> RpcResult<ClaimStatusReply>;
}
