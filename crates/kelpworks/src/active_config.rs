//! The configuration in force on this daemon.

use std::collections::HashMap;

use sha2::Digest;
use sha2::Sha256;

use crate::register::Register;
use crate::rules::NonIdempotent;
use crate::rules::Rules;
use crate::rules::path;
use kelpworks_wire::Class;

/// Index of a team in the rules in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamKey(u32);

/// A register and rules of one generation, with what requests look up in them.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    /// Generation of the configuration head; 0 before the first; only ever rises on a
    /// daemon.
    pub generation: u64,
    /// The register.
    pub register: Register,
    /// The rules.
    pub rules: Rules,
    /// Teams by the digest of a bearer token, in lower-case hex.
    by_token: HashMap<String, TeamKey>,
}

/// A team as a request needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Name of the team.
    pub team: String,
    /// Its class.
    pub class: Class,
    /// Its weight within the class.
    pub weight: u32,
}

impl ActiveConfig {
    /// Puts a checked pair in force.
    pub fn new(generation: u64, register: Register, rules: Rules) -> ActiveConfig {
        let mut by_token = HashMap::new();
        for (at, team) in rules.teams.iter().enumerate() {
            for digest in &team.token_sha256 {
                by_token.insert(digest.to_ascii_lowercase(), TeamKey(at as u32));
            }
        }
        ActiveConfig {
            generation,
            register,
            rules,
            by_token,
        }
    }

    /// The team that a bearer token names. The token itself is not kept.
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

    /// Whether a call of a plain service must run at most once, however its path is spelt.
    pub fn call_is_non_idempotent(&self, service: &str, method: &str, path: &str) -> bool {
        self.rules.non_idempotent.iter().any(|rule| match rule {
            NonIdempotent::Service {
                service: s,
                method: m,
                path: p,
            } => s == service && m == method && path::is_below(path, p),
            NonIdempotent::Model { .. } => false,
        })
    }

    /// Whether a team's requests to a model must run at most once.
    pub fn model_is_non_idempotent(&self, model: &str, team: &str) -> bool {
        self.rules.non_idempotent.iter().any(|rule| match rule {
            NonIdempotent::Model { model: m, team: t } => m == model && t == team,
            NonIdempotent::Service { .. } => false,
        })
    }
}
