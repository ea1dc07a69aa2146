//! A router for pipelines of language models over mixed accelerators.
//!
//! Callers send HTTP requests to any daemon. The daemon drives each request step by step through
//! upstreams that have ranges of the model's layers loaded, and checks that every layer ran exactly
//! once and in order for every token.
//!
//! Each module has one responsibility, with its own state, messages and tests.

pub mod active_config;
pub mod admission;
pub mod answer_framing;
pub mod body;
pub mod claims;
pub mod clients;
pub mod config;
pub mod daemon;
pub mod entry;
pub mod executor;
pub mod fleet;
pub mod host_limits;
pub mod http_server;
pub mod membership;
pub mod memory_budget;
pub mod operators;
pub mod pipeline;
pub mod placement;
pub mod quarantine;
pub mod register;
pub mod retry;
pub mod routing;
pub mod rules;
pub mod settings;
pub mod status;
pub mod sync;
pub mod units;
pub mod upstreams;
pub mod verdict;
