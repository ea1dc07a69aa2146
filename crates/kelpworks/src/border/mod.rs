//! The borders: one small trait for each outside system, and its HTTP client.

pub mod engine;
pub mod era;
pub mod fresh;
pub mod host_list;
pub mod object_api;
pub mod plain_service;
