//! Clients of outside systems: one small trait for each, and its HTTP implementation.

pub mod answer;
pub mod body;
pub mod engine;
pub mod era;
pub mod host_list;
pub mod object_api;
pub mod plain_service;
pub mod resettable;
