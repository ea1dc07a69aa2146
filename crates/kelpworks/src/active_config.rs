//! The active configuration of this daemon.

use std::collections::HashMap;

use sha2::Digest;
use sha2::Sha256;

use crate::register::Register;
use crate::rules::NonIdempotent;
use crate::rules::Rules;
use crate::rules::path;
use kelpworks_wire::Class;

/// Index of a team in [`Rules::teams`] of the active rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamKey(u32);

/// A register and rules of one generation, with lookup tables for requests.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Generation of the configuration head; 0 before the first one. It never decreases on a
    /// daemon.
    pub generation: u64,
    /// Hosts, models and failure domains.
    pub register: Register,
    /// Teams, shares and calls that must run at most once.
    pub rules: Rules,
    /// Teams by the SHA-256 of a bearer token, in lower-case hex.
    by_token: HashMap<String, TeamKey>,
}

/// The team of a request, reduced to what admission needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name of the team.
    pub team: String,
    /// Priority class.
    pub class: Class,
    /// Weight in fair sharing within the class.
    pub weight: u32,
}

impl ActiveConfig {
    /// Builds the lookup tables of a validated register and rules.
    pub fn new(generation: u64, register: Register, rules: Rules) -> ActiveConfig {
        let mut by_token = HashMap::new();
        for (index, team) in rules.teams.iter().enumerate() {
            for digest in &team.token_sha256 {
                by_token.insert(digest.to_ascii_lowercase(), TeamKey(index as u32));
            }
        }
        ActiveConfig {
            generation,
            register,
            rules,
            by_token,
        }
    }

    /// Returns the team that a bearer token belongs to. The token itself is not stored.
    pub fn caller(&self, token: &[u8]) -> Option<Caller> {
        let digest = hex::encode(Sha256::digest(token));
        let key = self.by_token.get(&digest)?;
        let team = &self.rules.teams[key.0 as usize];
        Some(Caller {
            team: team.name.clone(),
            class: team.class,
            weight: team.weight,
        })
    }

    /// Returns whether a call of a plain service must run at most once, however its path is
    /// spelled.
    pub fn call_is_non_idempotent(&self, service: &str, method: &str, path: &str) -> bool {
        self.rules.non_idempotent.iter().any(|rule| match rule {
            NonIdempotent::Service {
                service: s,
                method: m,
                path: p,
            } => s == service && m == method && path::matches_prefix(path, p),
            NonIdempotent::Model { .. } => false,
        })
    }

    /// Returns whether a team's requests to a model must run at most once.
    pub fn model_is_non_idempotent(&self, model: &str, team: &str) -> bool {
        self.rules.non_idempotent.iter().any(|rule| match rule {
            NonIdempotent::Model { model: m, team: t } => m == model && t == team,
            NonIdempotent::Service { .. } => false,
        })
    }
}
