//! Server side of the RPC interface between daemons.

use std::sync::Arc;
use std::sync::OnceLock;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObject;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;

use super::Peers;
use super::interface::Answer;
use super::rpc::PeerApiServer;
use kelpworks_wire::ClaimStatusReply;
use kelpworks_wire::ClaimStatusRequest;
use kelpworks_wire::ConfigHead;
use kelpworks_wire::ConfigText;
use kelpworks_wire::ConfigTextRequest;
use kelpworks_wire::PeerMessage;
use kelpworks_wire::PeerState;
use kelpworks_wire::ProbeReply;
use kelpworks_wire::ProbeRequest;

/// RPC server; answers with an error until [`Methods::serve`].
#[derive(Clone, Debug, Default)]
pub(super) struct Methods {
    peers: Arc<OnceLock<Peers>>,
}

impl Methods {
    pub(super) fn serve(&self, peers: Peers) {
        let _ = self.peers.set(peers);
    }

    fn peers(&self) -> RpcResult<&Peers> {
        let starting = || ErrorObject::borrowed(INTERNAL_ERROR_CODE, "starting", None);
        self.peers.get().ok_or_else(starting)
    }
}

#[async_trait]
impl PeerApiServer for Methods {
    async fn heartbeat(&self, message: PeerMessage) -> RpcResult<PeerMessage> {
        let peers = self.peers()?;
        let reply = peers.with_node_returning(|node, now| {
            let Answer { message, actions } = node.on_heartbeat(now, &message);
            (message, actions)
        });
        Ok(peers.count_served(&message, reply))
    }

    async fn probe(&self, req: ProbeRequest) -> RpcResult<ProbeReply> {
        let peers = self.peers()?;
        let message = req.message.clone();
        let answer = peers
            .exchange_heartbeat(&req.target.address, message)
            .await
            .ok();
        Ok(peers.count_served(&req, ProbeReply { answer }))
    }

    async fn sync(&self, state: PeerState) -> RpcResult<PeerState> {
        let peers = self.peers()?;
        peers.with_node(|node, now| node.on_state(now, &state));
        Ok(peers.count_served(&state, peers.state()))
    }

    async fn config_push(&self, head: ConfigHead) -> RpcResult<()> {
        let peers = self.peers()?;
        peers.count_served(&head, ());
        peers.report_head(head);
        Ok(())
    }

    async fn config_head(&self) -> RpcResult<ConfigHead> {
        let peers = self.peers()?;
        Ok(peers.count_served(&(), peers.head()))
    }

    async fn config_text(&self, req: ConfigTextRequest) -> RpcResult<ConfigText> {
        let peers = self.peers()?;
        let text = peers.served_text(&req.digest);
        Ok(peers.count_served(&req, ConfigText { text }))
    }

    async fn claim_status(&self, req: ClaimStatusRequest) -> RpcResult<ClaimStatusReply> {
        let peers = self.peers()?;
        Ok(peers.count_served(&req, peers.own_claim(&req)))
    }
}
