//! RPC interface between daemons.

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

/// Methods of a daemon for its peers. All are idempotent, so that a call without an answer may be
/// retried on a new connection.
#[rpc(server, client, namespace = "kelpworks", namespace_separator = ".")]
pub(super) trait PeerApi {
    /// Delivers a heartbeat; the answer is a heartbeat of the called daemon.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, message: PeerMessage) -> RpcResult<PeerMessage>;

    /// Forwards a heartbeat to a daemon that the caller can't reach (indirect probe).
    #[method(name = "probe")]
    async fn probe(&self, req: ProbeRequest) -> RpcResult<ProbeReply>;

    /// Exchanges the full states of both daemons.
    #[method(name = "sync")]
    async fn sync(&self, state: PeerState) -> RpcResult<PeerState>;

    /// Delivers the configuration head of the caller's active configuration.
    #[method(name = "config_push")]
    async fn config_push(&self, head: ConfigHead) -> RpcResult<()>;

    /// Returns the configuration head of the active configuration.
    #[method(name = "config_head")]
    async fn config_head(&self) -> RpcResult<ConfigHead>;

    /// Returns the text of the active register or rules, by its digest.
    #[method(name = "config_text")]
    async fn config_text(&self, req: ConfigTextRequest) -> RpcResult<ConfigText>;

    /// Returns the status of a claim that the called daemon holds.
    #[method(name = "claim_status")]
    async fn claim_status(&self, req: ClaimStatusRequest) -> RpcResult<ClaimStatusReply>;
}
