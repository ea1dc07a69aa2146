//! Driver of a [`Node`] over `jsonrpsee`.

mod protocol_config;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use arc_swap::ArcSwap;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use log::debug;
use log::info;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::claim_status::PeerClaims;
use super::claim_status::is_queryable;
use super::connections;
use super::connections::Client;
use super::connections::Connections;
use super::interface::Action;
use super::methods::Methods;
use super::node::Node;
use super::rpc::PeerApiClient;
use super::rpc::PeerApiServer;
use super::traffic::TrafficTotals;
use crate::config::head::Digest;
use crate::config::head::digest_of;
use crate::status::Member;
use kelpworks_coord::facts::Fact;
use kelpworks_coord::facts::Key;
use kelpworks_coord::facts::Kind;
use kelpworks_coord::id::NodeId;
use kelpworks_coord::membership::Health;
use kelpworks_coord::time::Instant as CoordInstant;
use kelpworks_coord::time::Span;
use kelpworks_wire::ConfigHead;
use kelpworks_wire::ConfigTextRequest;
use kelpworks_wire::MemberContact;
use kelpworks_wire::PeerMessage;
use kelpworks_wire::PeerState;
use kelpworks_wire::ProbeReply;
use kelpworks_wire::ProbeRequest;
use protocol_config::node_config;
use protocol_config::now_ms;
use protocol_config::probe_timeout;
use protocol_config::server_config;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Ticks of the state machine per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 10;
/// Timeout of the last heartbeats on a planned stop.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of peers queried for a text that neither the object API nor the peer that sent
/// the head provides.
const MAX_TEXT_PEERS: usize = 4;
/// Time added to the heartbeat interval for the deadline of calls that transfer a configuration
/// text or a full state.
const TRANSFER_MARGIN: Duration = Duration::from_secs(1);

/// Why the peer protocol could not be started.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// Listening on the address failed.
    #[error("listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Settings of the peer protocol.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    /// Name of this daemon, unique in the fleet.
    pub name: String,
    /// Failure domain of this daemon.
    pub failure_domain: String,
    /// Address to listen on for peers; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Address under which peers reach this daemon, when it differs from the one that it listens
    /// on. Default `None`.
    pub advertise: Option<SocketAddr>,
    /// Interval of heartbeats; the times of [`kelpworks_coord::membership::Config`] scale with it.
    /// Default 1 s.
    pub heartbeat: Duration,
}

/// A configuration head received from a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedHead {
    /// The peer, which serves the texts that the head refers to.
    pub from: MemberContact,
    /// Body of the head object.
    pub body: String,
}

/// The configuration that this daemon serves to its peers.
#[derive(Clone, Debug, Default)]
struct ServedConfig {
    /// Body of the head object; empty before the first.
    body: String,
    /// Texts of the register and the rules.
    texts: Vec<String>,
}

/// Handle of the peer protocol of one daemon; clones share it.
#[derive(Clone, Debug)]
pub struct Peers {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    node: Mutex<Node>,
    /// Origin of the state machine's times.
    start: Instant,
    heartbeat: Duration,
    connections: Connections,
    served_config: ArcSwap<ServedConfig>,
    heads: mpsc::UnboundedSender<ReceivedHead>,
    watcher: watch::Sender<bool>,
    /// Incremented when facts of other daemons change.
    facts: watch::Sender<u64>,
    tasks: TaskTracker,
    server: ServerHandle,
    address: SocketAddr,
    stop: CancellationToken,
    /// Claims of this daemon; set once they are served to peers.
    claims: OnceLock<Weak<PeerClaims>>,
}

impl Peers {
    /// Listens for peers and sends heartbeats until `stop`. Configuration heads from peers are sent
    /// to the returned receiver.
    ///
    /// # Errors
    ///
    /// When listening on the address fails.
    pub async fn start(
        cfg: PeersConfig,
        stop: CancellationToken,
    ) -> Result<(Peers, mpsc::UnboundedReceiver<ReceivedHead>)> {
        let address = cfg.listen;
        let listen = |source| Error::Listen { address, source };
        let server = Server::builder()
            .set_config(server_config())
            .build(address)
            .await
            .map_err(listen)?;
        let address = server.local_addr().map_err(listen)?;
        let contact = MemberContact {
            name: cfg.name.clone(),
            failure_domain: cfg.failure_domain.clone(),
            address: cfg.advertise.unwrap_or(address).to_string(),
            started: now_ms(),
        };
        let (heads, heads_rx) = mpsc::unbounded_channel();
        let methods = Methods::default();
        let handle = server.start(methods.clone().into_rpc());
        let node = Node::new(node_config(cfg.heartbeat), contact, CoordInstant::ZERO);
        let peers = Peers {
            inner: Arc::new(Inner {
                node: Mutex::new(node),
                start: Instant::now(),
                heartbeat: cfg.heartbeat,
                connections: Connections::default(),
                served_config: ArcSwap::default(),
                heads,
                watcher: watch::Sender::new(true),
                facts: watch::Sender::new(0),
                tasks: TaskTracker::new(),
                server: handle,
                address,
                stop: stop.clone(),
                claims: OnceLock::new(),
            }),
        };
        methods.serve(peers.clone());
        tokio::spawn(peers.clone().run(stop));
        Ok((peers, heads_rx))
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Returns the name and address under which peers reach this daemon.
    pub fn contact(&self) -> MemberContact {
        self.lock().own_contact().clone()
    }

    /// Returns the other daemons, for the status.
    pub fn members(&self) -> Vec<Member> {
        self.lock().members()
    }

    /// Returns whether this daemon has the role to watch the object API; true while it knows no
    /// other daemon.
    pub fn watcher(&self) -> watch::Receiver<bool> {
        self.inner.watcher.subscribe()
    }

    /// Returns a counter that changes when facts of other daemons are added, renewed or cleared.
    pub fn facts_changed(&self) -> watch::Receiver<u64> {
        self.inner.facts.subscribe()
    }

    /// Returns the facts of a kind that have not expired or been cleared, of all daemons.
    pub fn active_facts(&self, kind: Kind) -> Vec<Fact> {
        let now = self.now();
        self.lock().active_facts(now, kind)
    }

    /// Publishes a fact that this daemon observed itself, or renews it.
    pub fn set_fact(&self, kind: Kind, subject: u64, detail: u64, ttl: Duration) {
        let now = self.now();
        let ttl = Span::from_millis(ttl.as_millis() as u64);
        self.lock().set_fact(now, kind, subject, detail, ttl);
    }

    /// Clears a fact that this daemon published.
    pub fn clear_fact(&self, kind: Kind, subject: u64) {
        let now = self.now();
        self.lock().clear_fact(now, kind, subject);
    }

    /// Sends facts that this daemon published or cleared to all live peers immediately.
    pub(super) fn push_facts(&self, keys: &BTreeSet<Key>) {
        self.with_node(|node, now| node.push_facts(now, keys));
    }

    /// Sets the demand of trials on this daemon, in positions per second, and gossips it.
    pub fn set_trial_demand(&self, demand: u32) {
        self.lock().set_trial_demand(demand);
    }

    /// Returns the trial demand on each other live daemon, in positions per second.
    pub fn trial_demands(&self) -> Vec<u32> {
        self.lock().trial_demands()
    }

    /// Returns whether no live peer is known.
    pub fn has_no_peers(&self) -> bool {
        self.lock().peers().is_empty()
    }

    /// Adds the daemons on the object API's list.
    pub fn set_member_list(&self, contacts: &[MemberContact]) {
        self.with_node(|node, now| node.on_member_list(now, contacts));
    }

    /// Sets the active configuration. Peers are notified, and may fetch its texts from this daemon.
    pub fn set_active_config(&self, generation: u64, body: String, texts: Vec<String>) {
        self.inner
            .served_config
            .store(Arc::new(ServedConfig { body, texts }));
        self.with_node(|node, _| node.on_config_activated(generation));
    }

    /// Synchronizes fully with the daemon at an address; returns whether one answered.
    pub async fn join(&self, address: &str) -> bool {
        let mine = self.state();
        let deadline = self.inner.heartbeat + TRANSFER_MARGIN;
        let call = |client: Client, mine| async move { client.sync(mine).await };
        match self
            .inner
            .connections
            .call(address, deadline, &mine, call)
            .await
        {
            Ok(theirs) => {
                self.with_node(|node, now| node.on_state(now, &theirs));
                true
            }
            Err(e) => {
                debug!("full state synchronization failed: {e}");
                false
            }
        }
    }

    /// Fetches the text with this digest from the peer at an address.
    pub async fn text(&self, digest: Digest, holder: &str) -> Option<String> {
        let deadline = self.inner.heartbeat + TRANSFER_MARGIN;
        let req = ConfigTextRequest {
            digest: digest.to_string(),
        };
        let call = |client: Client, req| async move { client.config_text(req).await };
        let reply = self
            .inner
            .connections
            .call(holder, deadline, &req, call)
            .await;
        let text = reply.ok()?.text?;
        (digest_of(&text) == digest).then_some(text)
    }

    /// Fetches the text with this digest from live peers, trying a few of them in turn.
    pub async fn text_from_any(&self, digest: Digest) -> Option<String> {
        for address in self.addresses().into_iter().take(MAX_TEXT_PEERS) {
            if let Some(text) = self.text(digest, &address).await {
                return Some(text);
            }
        }
        None
    }

    /// Returns the traffic with peers since the start.
    pub fn traffic(&self) -> TrafficTotals {
        self.inner.connections.traffic.totals()
    }

    /// Marks this daemon as leaving, and gossips it.
    pub fn set_leaving(&self) {
        self.lock().set_leaving();
    }

    /// Notifies some peers of the leave, which they gossip, and stops serving peers.
    pub async fn leave(&self) {
        self.with_node(Node::leave);
        self.inner.tasks.close();
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, self.inner.tasks.wait()).await;
        self.close();
    }

    /// Stops immediately, without notifying peers.
    pub fn close(&self) {
        self.inner.stop.cancel();
        let _ = self.inner.server.stop();
        self.inner.connections.retain(|_| false);
    }

    /// Returns a text of the active configuration by its digest in hex.
    pub(super) fn served_text(&self, digest: &str) -> Option<String> {
        let served_config = self.inner.served_config.load();
        let mut texts = served_config.texts.iter();
        texts.find(|t| digest_of(t).to_string() == digest).cloned()
    }

    pub(super) fn connections(&self) -> &Connections {
        &self.inner.connections
    }

    pub(super) fn set_claims(&self, claims: Weak<PeerClaims>) {
        let _ = self.inner.claims.set(claims);
    }

    pub(super) fn claims(&self) -> Option<&Weak<PeerClaims>> {
        self.inner.claims.get()
    }

    /// Returns the contact of a member that is alive or suspect.
    pub(super) fn live_contact(&self, node: NodeId) -> Option<MemberContact> {
        let state = self.lock();
        state.health(node).filter(|&h| is_queryable(h))?;
        state.contact(node).cloned()
    }

    /// Returns the number of live members, without this daemon.
    pub(super) fn live_count(&self) -> usize {
        self.lock().peers().len()
    }

    fn addresses(&self) -> Vec<String> {
        let node = self.lock();
        let peers = node.peers();
        let contacts = peers.into_iter().filter_map(|n| node.contact(n));
        contacts.map(|c| c.address.clone()).collect()
    }

    async fn run(self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(self.inner.heartbeat / TICKS_PER_HEARTBEAT);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = tick.tick() => self.with_node(Node::tick),
            }
        }
        self.close();
    }

    fn lock(&self) -> MutexGuard<'_, Node> {
        // The node is consistent after each call, also when a holder of the lock panicked.
        self.inner
            .node
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> CoordInstant {
        CoordInstant::from_millis(self.inner.start.elapsed().as_millis() as u64)
    }

    pub(super) fn state(&self) -> PeerState {
        let now = self.now();
        self.lock().state(now)
    }

    /// Calls the node and executes the actions that it returns.
    pub(super) fn with_node(&self, call: impl FnOnce(&mut Node, CoordInstant) -> Vec<Action>) {
        self.with_node_returning(|node, now| ((), call(node, now)));
    }

    /// As [`Peers::with_node`], for calls with a result.
    pub(super) fn with_node_returning<T>(
        &self,
        call: impl FnOnce(&mut Node, CoordInstant) -> (T, Vec<Action>),
    ) -> T {
        let now = self.now();
        let (done, actions, is_watcher) = {
            let mut node = self.lock();
            let (done, actions) = call(&mut node, now);
            (done, actions, node.is_watcher())
        };
        self.inner
            .watcher
            .send_if_modified(|old| std::mem::replace(old, is_watcher) != is_watcher);
        for action in actions {
            self.carry_out(action);
        }
        done
    }

    /// Counts a peer's call and its answer in the traffic; returns the answer.
    pub(super) fn count_served<T: Serialize>(&self, req: &impl Serialize, reply: T) -> T {
        self.inner.connections.traffic.count_served(req, &reply);
        reply
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Heartbeat { to, message } => {
                self.spawn(to, |peers, to| peers.heartbeat(to, *message));
            }
            Action::HeartbeatVia {
                via,
                target,
                message,
            } => self.heartbeat_via(via, target, *message),
            Action::Push(to) => self.spawn(to, Peers::push),
            Action::Pull(from) => self.spawn(from, Peers::pull),
            Action::Sync(with) => self.spawn(with, |peers, with| async move {
                peers.join(&with.address).await;
            }),
            Action::Changed { node, health } => self.log_health_change(node, health),
            Action::FactsChanged => self.inner.facts.send_modify(|n| *n += 1),
        }
    }

    /// Spawns a call to a peer, so that it does not block the state machine.
    fn spawn<F>(&self, to: NodeId, call: impl FnOnce(Peers, MemberContact) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let Some(contact) = self.lock().contact(to).cloned() else {
            return;
        };
        let stop = self.inner.stop.clone();
        let call = call(self.clone(), contact);
        self.inner
            .tasks
            .spawn(async move { stop.run_until_cancelled(call).await });
    }

    fn heartbeat_via(&self, via: NodeId, target: NodeId, message: PeerMessage) {
        let Some(target) = self.lock().contact(target).cloned() else {
            return;
        };
        self.spawn(via, |peers, via| async move {
            let req = ProbeRequest { target, message };
            let call = |client: Client, req| async move { client.probe(req).await };
            let deadline = peers.inner.heartbeat;
            let connections = &peers.inner.connections;
            let reply = connections.call(&via.address, deadline, &req, call).await;
            if let Ok(ProbeReply {
                answer: Some(answer),
            }) = reply
            {
                peers.with_node(|node, now| node.on_answer(now, &answer));
            }
        });
    }

    async fn heartbeat(self, to: MemberContact, message: PeerMessage) {
        match self.exchange_heartbeat(&to.address, message).await {
            Ok(answer) => self.with_node(|node, now| node.on_answer(now, &answer)),
            Err(e) => debug!("heartbeat to {} failed: {e}", to.name),
        }
    }

    /// Sends a heartbeat. Each of the two attempts gets half of the probe timeout, so that a new
    /// connection is tried before the peer counts as unresponsive.
    pub(super) async fn exchange_heartbeat(
        &self,
        address: &str,
        message: PeerMessage,
    ) -> connections::Result<PeerMessage> {
        let deadline = probe_timeout(self.inner.heartbeat) / 2;
        let call = |client: Client, message| async move { client.heartbeat(message).await };
        let connections = &self.inner.connections;
        connections.call(address, deadline, &message, call).await
    }

    async fn push(self, to: MemberContact) {
        let head = self.head();
        if head.body.is_empty() {
            return;
        }
        let call = |client: Client, head| async move { client.config_push(head).await };
        let deadline = self.inner.heartbeat;
        let connections = &self.inner.connections;
        if let Err(e) = connections.call(&to.address, deadline, &head, call).await {
            debug!("push of the configuration head to {} failed: {e}", to.name);
        }
    }

    async fn pull(self, from: MemberContact) {
        let call = |client: Client, ()| async move { client.config_head().await };
        let deadline = self.inner.heartbeat;
        let connections = &self.inner.connections;
        match connections.call(&from.address, deadline, &(), call).await {
            Ok(head) => self.report_head(head),
            Err(e) => debug!(
                "pull of the configuration head from {} failed: {e}",
                from.name
            ),
        }
    }

    pub(super) fn head(&self) -> ConfigHead {
        ConfigHead {
            from: self.contact(),
            body: self.inner.served_config.load().body.clone(),
        }
    }

    pub(super) fn report_head(&self, head: ConfigHead) {
        if !head.body.is_empty() {
            let ConfigHead { from, body } = head;
            let _ = self.inner.heads.send(ReceivedHead { from, body });
        }
    }

    fn log_health_change(&self, node: NodeId, health: Health) {
        let name = self.lock().contact(node).map(|c| c.name.clone());
        let name = name.unwrap_or_default();
        info!(
            target: "decision", decision = "member", member = name, health:? = health;
            "health of a daemon changed"
        );
    }
}
