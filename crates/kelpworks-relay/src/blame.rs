//! What a daemon holds back because of crashes, for operators: the requests and parts of prompts, with the evidence.
//!
//! ```
//! use kelpworks_relay::blame::Blame;
//!
//! assert_eq!(Blame::default().to_string(), "nothing is held back\n");
//! ```

use std::fmt;

use kelpworks_coord::crash_ledger::Blamed;
use serde::Deserialize;
use serde::Serialize;

use crate::shared::Shared;

/// Maximum number of requests in a report, those first that are refused.
const MAX_REQUESTS: usize = 256;

/// A request that is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlamedRequest {
    /// Hash of team, target and body, as the log has it.
    pub fingerprint: String,
    /// `refused`, `suspect` or `excused`.
    pub verdict: String,
    /// Number of crashes that count.
    pub crashes: usize,
    /// Milliseconds since the last of them.
    pub last_ms: u64,
    /// Milliseconds until the refusal ends; absent if it is not refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
}

/// A part of prompts whose requests are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BlamedPart {
    /// Id of the part, as callers send it.
    pub part: String,
    /// Number of upstreams that ended under it.
    pub crashes: usize,
}

/// All that a daemon holds back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Blame {
    /// Requests, the refused ones first.
    pub requests: Vec<BlamedRequest>,
    /// Parts of prompts, those with most crashes first.
    pub parts: Vec<BlamedPart>,
}

impl Blame {
    /// Returns what a daemon holds back now.
    pub(crate) fn of(shared: &Shared) -> Blame {
        let now = shared.ledger_time(tokio::time::Instant::now());
        let (requests, parts) = {
            let ledger = shared.crashes();
            (ledger.blamed(MAX_REQUESTS, now), ledger.refused_parts(now))
        };
        let request = |b: Blamed| BlamedRequest {
            fingerprint: b.fingerprint.to_string(),
            verdict: b.verdict.as_str().to_owned(),
            crashes: b.crashes,
            last_ms: b.last.as_millis(),
            left_ms: b.left.map(|left| left.as_millis()),
        };
        let parts = parts.into_iter().map(|(part, crashes)| BlamedPart {
            part: part.to_string(),
            crashes,
        });
        Blame {
            requests: requests.into_iter().map(request).collect(),
            parts: parts.collect(),
        }
    }
}

impl fmt::Display for Blame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.requests.is_empty() && self.parts.is_empty() {
            return writeln!(f, "nothing is held back");
        }
        let (what, verdict, last, left) = ("REQUEST OR PART", "VERDICT", "LAST s", "LEFT s");
        writeln!(f, "{what:<18}{verdict:<10}CRASHES  {last:>8}{left:>8}")?;
        for request in &self.requests {
            let left = request.left_ms.map(|ms| format!("{:.1}", ms as f64 / 1e3));
            writeln!(
                f,
                "{:<18}{:<10}{:>7}  {:>8.1}{:>8}",
                request.fingerprint,
                request.verdict,
                request.crashes,
                request.last_ms as f64 / 1e3,
                left.as_deref().unwrap_or("-"),
            )?;
        }
        for part in &self.parts {
            writeln!(f, "{:<18}{:<10}{:>7}", part.part, "refused", part.crashes)?;
        }
        Ok(())
    }
}
