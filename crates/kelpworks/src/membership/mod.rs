//! Gossip between daemons: membership, facts, configuration generations and trial demand.
//!
//! [`Node`] holds what a daemon knows and decides which messages to send, without I/O; [`Peers`]
//! drives it over `jsonrpsee` on persistent connections. Gossip is piggybacked on the heartbeats of
//! the membership protocol of [`kelpworks_coord::membership`], within a budget of bytes per second.
//!
//! ```
//! use kelpworks::membership::Action;
//! use kelpworks::membership::Config;
//! use kelpworks::membership::Node;
//! use kelpworks_coord::time::Instant;
//! use kelpworks_wire::MemberContact;
//!
//! let contact = |name: &str| MemberContact {
//!     name: name.to_owned(),
//!     failure_domain: "hall-a".to_owned(),
//!     address: "10.0.0.1:7070".to_owned(),
//!     started: 1,
//! };
//! let now = Instant::ZERO;
//! let mut a = Node::new(Config::default(), contact("a"), now);
//! let mut b = Node::new(Config::default(), contact("b"), now);
//! b.on_member_list(now, &[contact("a")]);
//! let sent = b.tick(now);
//! let Some(Action::Heartbeat { message, .. }) = sent.first() else { unreachable!() };
//! let answer = a.on_heartbeat(now, message);
//! b.on_answer(now, &answer.message);
//! assert_eq!(a.members()[0].name, "b");
//! ```
//!
//! Limits: peers are trusted; the peers' address must not be reachable from outside. The generation
//! that a daemon shows for another is as old as the gossip that carried it.

mod byte_budget;
mod claim_status;
pub mod connections;
mod convert;
mod directory;
mod interface;
mod member_table;
mod methods;
mod node;
mod peers;
mod request_facts;
mod rpc;
pub mod share;
mod traffic;
mod trials;
mod upstream_facts;

pub use interface::Action;
pub use interface::Answer;
pub use interface::Config;
pub use node::Node;
pub use peers::Error;
pub use peers::Peers;
pub use peers::PeersConfig;
pub use peers::ReceivedHead;
pub use peers::Result;
pub use traffic::TrafficTotals;
pub use traffic::exchange_bytes;

pub(crate) use claim_status::PeerClaims;
pub(crate) use directory::Directory;
pub(crate) use request_facts::RequestFacts;
pub(crate) use trials::TrialShare;
pub(crate) use upstream_facts::UpstreamFacts;
