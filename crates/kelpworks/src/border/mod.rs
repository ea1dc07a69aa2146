//! The borders: one small trait for each outside system, and its HTTP client.
