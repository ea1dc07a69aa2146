//! Status queries on claims between daemons: client and server side.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use log::debug;
use tokio_util::sync::CancellationToken;

use super::Peers;
use super::connections::Client;
use super::rpc::PeerApiClient;
use crate::claims;
use crate::claims::Claims;
use crate::clients::object_api::HttpObjectApi;
use kelpworks_coord::claim::Outcome;
use kelpworks_coord::claim::PeerStatus;
use kelpworks_coord::id::Incarnation;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::membership::Health;
use kelpworks_wire::ClaimOutcome;
use kelpworks_wire::ClaimState;
use kelpworks_wire::ClaimStatusReply;
use kelpworks_wire::ClaimStatusRequest;

/// Claims of a daemon that queries its peers.
pub(crate) type PeerClaims = Claims<HttpObjectApi, Peers>;

/// Timeout of a query to the holder of a claim on one connection. The caller of the keyed call
/// waits for it, and an unresponsive holder costs the caller twice this time.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of updates of the number of daemons.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

impl claims::Peers for Peers {
    async fn claim_status(
        &self,
        holder: NodeId,
        incarnation: Incarnation,
        nonce: Nonce,
    ) -> Option<PeerStatus> {
        let contact = self.live_contact(holder)?;
        let req = ClaimStatusRequest {
            incarnation: incarnation.0,
            nonce: nonce.0,
        };
        let call = |client: Client, req| async move { client.claim_status(req).await };
        let reply = self
            .connections()
            .call(&contact.address, STATUS_TIMEOUT, &req, call)
            .await;
        match reply {
            Ok(reply) => from_wire(reply),
            Err(e) => {
                debug!("claim status query to {} failed: {e}", contact.name);
                None
            }
        }
    }
}

impl Peers {
    /// Serves status queries on these claims from now on, and updates their share of the write rate
    /// until `stop`.
    pub(crate) fn serve_claims(&self, claims: &Arc<PeerClaims>, stop: CancellationToken) {
        let claims = Arc::downgrade(claims);
        self.set_claims(Weak::clone(&claims));
        let peers = self.clone();
        tokio::spawn(async move {
            stop.run_until_cancelled(peers.count_members(claims)).await;
        });
    }

    /// Updates the number of daemons that share the write rate. A daemon that knows no other keeps
    /// the previous number, since it can't tell whether it is the only one or partitioned.
    async fn count_members(self, claims: Weak<PeerClaims>) {
        let mut tick = tokio::time::interval(COUNT_INTERVAL);
        let mut last = 0;
        loop {
            tick.tick().await;
            let Some(claims) = claims.upgrade() else {
                return;
            };
            let others = self.live_count();
            if others != 0 && others != last {
                claims.set_members(others + 1);
                last = others;
            }
        }
    }

    /// Returns the status of a claim of this daemon for a peer; unknown before
    /// [`Peers::serve_claims`].
    pub(super) fn own_claim(&self, req: &ClaimStatusRequest) -> ClaimStatusReply {
        let claims = self.claims().and_then(Weak::upgrade);
        let status = claims.and_then(|c| c.status(Incarnation(req.incarnation), Nonce(req.nonce)));
        to_wire(status)
    }
}

/// Returns whether a member is worth a query. Suspects are, since they are often only slow.
pub(super) fn is_queryable(health: Health) -> bool {
    health <= Health::Suspect
}

fn to_wire(status: Option<PeerStatus>) -> ClaimStatusReply {
    let (state, outcome) = match status {
        None => (ClaimState::Unknown, None),
        Some(PeerStatus::InProgress) => (ClaimState::InProgress, None),
        Some(PeerStatus::NeverDispatched) => (ClaimState::NeverDispatched, None),
        Some(PeerStatus::MayHaveRun) => (ClaimState::MayHaveRun, None),
        Some(PeerStatus::Done(Outcome { status, body })) => {
            let status = status.into();
            (ClaimState::Done, Some(ClaimOutcome { status, body }))
        }
    };
    ClaimStatusReply { state, outcome }
}

/// Converts a reply; `None` when the status is unknown or the reply is inconsistent.
fn from_wire(reply: ClaimStatusReply) -> Option<PeerStatus> {
    match reply.state {
        ClaimState::InProgress => Some(PeerStatus::InProgress),
        ClaimState::NeverDispatched => Some(PeerStatus::NeverDispatched),
        ClaimState::MayHaveRun => Some(PeerStatus::MayHaveRun),
        ClaimState::Unknown => None,
        ClaimState::Done => {
            let ClaimOutcome { status, body } = reply.outcome?;
            let status = status.try_into().ok()?;
            Some(PeerStatus::Done(Outcome { status, body }))
        }
    }
}
