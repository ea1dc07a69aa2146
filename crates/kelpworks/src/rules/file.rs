//! The rules as deserialized from their file, before any check across keys.

use serde::Deserialize;
use toml::Spanned;

use kelpworks_wire::Class;

/// Top level of the file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesFile {
    pub(super) trial: TrialTable,
    #[serde(default)]
    pub(super) team: Vec<TeamTable>,
    #[serde(default)]
    pub(super) non_idempotent: Vec<Spanned<NonIdempotentTable>>,
}

/// `[trial]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TrialTable {
    pub(super) share: Spanned<f64>,
}

/// One `[[team]]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TeamTable {
    pub(super) name: Spanned<String>,
    pub(super) class: Class,
    #[serde(default = "default_weight")]
    pub(super) weight: Spanned<u32>,
    /// Accepts any type and is checked later. The TOML library's error for a wrong type would quote
    /// the value, which may be a bearer token put here by mistake.
    pub(super) token_sha256: Spanned<toml::Value>,
}

/// One `[[non_idempotent]]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NonIdempotentTable {
    pub(super) service: Option<Spanned<String>>,
    pub(super) method: Option<Spanned<String>>,
    pub(super) path: Option<Spanned<String>>,
    pub(super) model: Option<Spanned<String>>,
    pub(super) team: Option<Spanned<String>>,
}

/// Weight of a team whose table has no `weight`.
const DEFAULT_WEIGHT: u32 = 1;

fn default_weight() -> Spanned<u32> {
    Spanned::new(0..0, DEFAULT_WEIGHT)
}
