//! Checks of the rules across their keys and against a register.

use std::collections::HashMap;

use toml::Spanned;

use super::NonIdempotent;
use super::Result;
use super::Rules;
use super::Team;
use super::file::NonIdempotentTable;
use super::file::RulesFile;
use super::file::TeamTable;
use crate::config::document::ConfigErrorKind;
use crate::config::document::Document;
use crate::config::unique::DefinedNames;
use crate::config::unique::record_undefined;
use crate::register::Register;

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

const MATCH_KEYS: &str =
    "needs either `service`, `method` and `path`, or `model` and `team`, and nothing else";
const METHOD_FORM: &str = "expected an HTTP method in upper case";
const PATH_FORM: &str = "expected a path that starts with `/`";

/// Parses and checks rules. Models and services are looked up only if there is a register.
pub(super) fn parse(file: &str, text: &str, register: Option<&Register>) -> Result<Rules> {
    let mut doc = Document::open(file, text)?;
    let raw: RulesFile = doc.deserialize()?;
    let share = *raw.trial.share.get_ref();
    if !(0.0..=1.0).contains(&share) {
        doc.record_error(raw.trial.share.span(), ConfigErrorKind::ShareOutOfRange);
    }
    let mut names = DefinedNames::new("team");
    for t in &raw.team {
        names.define(&mut doc, &t.name);
    }
    let teams = check_teams(&mut doc, &raw.team);
    let mut non_idempotent = Vec::with_capacity(raw.non_idempotent.len());
    for r in &raw.non_idempotent {
        non_idempotent.extend(check_match(&mut doc, r, &names, register));
    }
    doc.finish()?;
    Ok(Rules {
        trial_share: share,
        teams,
        non_idempotent,
    })
}

/// Checks weights and token digests. Skips teams whose digests are malformed, after an error was
/// recorded.
fn check_teams(doc: &mut Document<'_>, teams: &[TeamTable]) -> Vec<Team> {
    let mut seen = HashMap::new();
    let mut checked = Vec::with_capacity(teams.len());
    for t in teams {
        if *t.weight.get_ref() == 0 {
            doc.record_error(t.weight.span(), ConfigErrorKind::NotPositive);
        }
        let Some(token_sha256) = parse_digests(t.token_sha256.get_ref()) else {
            doc.record_error(t.token_sha256.span(), ConfigErrorKind::InvalidDigest);
            continue;
        };
        let line = doc.line(&t.token_sha256.span());
        for digest in &token_sha256 {
            if let Some(first) = seen.insert(digest.clone(), line) {
                doc.record_error(
                    t.token_sha256.span(),
                    ConfigErrorKind::DuplicateToken { first },
                );
            }
        }
        checked.push(Team {
            name: t.name.get_ref().clone(),
            class: t.class,
            weight: *t.weight.get_ref(),
            token_sha256,
        });
    }
    checked
}

/// Returns the digests in lower case, or `None` if the value is not a non-empty list of digests.
fn parse_digests(value: &toml::Value) -> Option<Vec<String>> {
    let items = value.as_array()?;
    if items.is_empty() {
        return None;
    }
    items.iter().map(parse_digest).collect()
}

/// Returns a digest in lower case, or `None` if the value is not a digest.
fn parse_digest(value: &toml::Value) -> Option<String> {
    let text = value.as_str()?;
    let is_digest = text.len() == DIGEST_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_digest.then(|| text.to_ascii_lowercase())
}

/// Checks one rule for non-idempotent requests. Returns `None` if its keys do not determine a kind
/// of rule, after an error was recorded.
fn check_match(
    doc: &mut Document<'_>,
    rule: &Spanned<NonIdempotentTable>,
    teams: &DefinedNames<'_>,
    register: Option<&Register>,
) -> Option<NonIdempotent> {
    let r = rule.get_ref();
    match (&r.service, &r.method, &r.path, &r.model, &r.team) {
        (Some(service), Some(method), Some(path), None, None) => {
            if register.is_some_and(|reg| !reg.has_service(service.get_ref())) {
                record_undefined(doc, "service", service);
            }
            check_method_and_path(doc, method, path);
            Some(NonIdempotent::Service {
                service: service.get_ref().clone(),
                method: method.get_ref().clone(),
                path: path.get_ref().clone(),
            })
        }
        (None, None, None, Some(model), Some(team)) => {
            if register.is_some_and(|reg| !reg.has_model(model.get_ref())) {
                record_undefined(doc, "model", model);
            }
            teams.check_reference(doc, team);
            Some(NonIdempotent::Model {
                model: model.get_ref().clone(),
                team: team.get_ref().clone(),
            })
        }
        _ => {
            doc.record_error(rule.span(), ConfigErrorKind::Constraint(MATCH_KEYS));
            None
        }
    }
}

/// Checks that the method is in upper case and that the path starts with a slash.
fn check_method_and_path(doc: &mut Document<'_>, method: &Spanned<String>, path: &Spanned<String>) {
    let text = method.get_ref();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_uppercase()) {
        doc.record_error(method.span(), ConfigErrorKind::Constraint(METHOD_FORM));
    }
    if !path.get_ref().starts_with('/') {
        doc.record_error(path.span(), ConfigErrorKind::Constraint(PATH_FORM));
    }
}
