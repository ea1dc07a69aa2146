//! Daemons among themselves: who is live, rare facts, the generation in force, trial demand.
//!
//! [`Node`] holds what a daemon knows and decides what to tell whom, without I/O; [`Peers`] drives
//! it over `jsonrpsee` on kept connections. All news rides on the heartbeats of the membership
//! protocol of [`kelpworks_coord::membership`], within an allowance of bytes a second.
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
//! Limits: peers are trusted; the peers' address must not be reachable from outside. What a daemon
//! shows of another's generation is as old as the news that brought it.

mod byte_budget;
mod claim_status;
pub mod connections;
mod contract;
mod convert;
mod directory;
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

pub use contract::Action;
pub use contract::Answer;
pub use contract::Config;
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
