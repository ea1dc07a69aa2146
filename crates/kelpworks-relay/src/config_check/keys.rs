//! Teams and their API keys. A key that is listed several times belongs to the team that lists it
//! last.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use super::Finding;
use super::FindingKind;
use super::Location;
use super::Setting;
use super::Value;
use crate::config::Team;

/// A listing of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Listing<'a> {
    team: &'a Arc<str>,
    /// Index of the team.
    team_index: usize,
    /// Number of the key in the team's list, from 1.
    number: usize,
    key: &'a str,
}

fn listings(teams: &[Team]) -> impl Iterator<Item = Listing<'_>> {
    teams.iter().enumerate().flat_map(|(team_index, team)| {
        let keys = team.keys.iter().zip(1..);
        keys.map(move |(key, number)| Listing {
            team: &team.name,
            team_index,
            number,
            key,
        })
    })
}

/// Returns the listing of each key that decides its team.
fn deciding_listings(teams: &[Team]) -> HashMap<&str, Listing<'_>> {
    listings(teams).map(|l| (l.key, l)).collect()
}

/// Reports each listing of a key that does not decide its team.
pub(super) fn duplicate_keys(teams: &[Team]) -> Vec<Finding> {
    let deciding = deciding_listings(teams);
    let duplicates = listings(teams).filter(|l| deciding[l.key] != *l);
    let finding = |listing: Listing<'_>| {
        let there = deciding[listing.key];
        let kind = FindingKind::DuplicateKey {
            key: listing.number,
            team: Arc::clone(there.team),
            key_there: there.number,
        };
        Finding::warning(Location::Team(Arc::clone(listing.team)), kind)
    };
    duplicates.map(finding).collect()
}

/// Compares teams by name, and keys by the team to which they belong. Without teams, requests need
/// no key; the teams themselves are not compared then.
pub(super) fn compare_teams(old: &[Team], new: &[Team]) -> Vec<Finding> {
    let whole = |kind| vec![Finding::warning(Location::Configuration, kind)];
    match (old.is_empty(), new.is_empty()) {
        (true, true) => return Vec::new(),
        (true, false) => return whole(FindingKind::KeysRequired),
        (false, true) => return whole(FindingKind::KeysNotRequired),
        (false, false) => {}
    }
    let mut findings = Vec::new();
    let mut seen: HashSet<&str> = HashSet::new();
    for team in old.iter().filter(|t| seen.insert(&t.name)) {
        let location = Location::Team(Arc::clone(&team.name));
        match new.iter().find(|t| t.name == team.name) {
            Some(new) => findings.extend(compare_team(team, new, location)),
            None => findings.push(Finding::note(location, FindingKind::Removed)),
        }
    }
    for team in new.iter().filter(|t| seen.insert(&t.name)) {
        let location = Location::Team(Arc::clone(&team.name));
        findings.push(Finding::note(location, FindingKind::Added));
    }
    findings.extend(compare_keys(old, new));
    findings
}

fn compare_team(old: &Team, new: &Team, location: Location) -> Option<Finding> {
    let Team {
        name: _,
        keys: _,
        priority,
    } = old;
    let value = |p: Option<u32>| p.map_or(Value::Absent, |p| Value::Number(u64::from(p)));
    let kind = FindingKind::Changed {
        setting: Setting::Priority,
        old: value(*priority),
        new: value(new.priority),
    };
    (*priority != new.priority).then(|| Finding::note(location, kind))
}

/// Numbers of a team's keys that differ.
#[derive(Clone, Debug, Default)]
struct KeyChanges<'a> {
    revoked: Vec<usize>,
    added: Vec<usize>,
    moved: BTreeMap<&'a Arc<str>, Vec<usize>>,
}

fn compare_keys(old: &[Team], new: &[Team]) -> Vec<Finding> {
    let (deciding_old, deciding_new) = (deciding_listings(old), deciding_listings(new));
    let mut changes: BTreeMap<&Arc<str>, KeyChanges<'_>> = BTreeMap::new();
    for listing in listings(old).filter(|l| deciding_old[l.key] == *l) {
        let number = listing.number;
        match deciding_new.get(listing.key) {
            None => {
                let changes = changes.entry(listing.team).or_default();
                changes.revoked.push(number);
            }
            Some(there) if there.team != listing.team => {
                let changes = changes.entry(listing.team).or_default();
                changes.moved.entry(there.team).or_default().push(number);
            }
            Some(_) => {}
        }
    }
    let is_added = |l: &Listing<'_>| deciding_new[l.key] == *l && !deciding_old.contains_key(l.key);
    for listing in listings(new).filter(is_added) {
        let changes = changes.entry(listing.team).or_default();
        changes.added.push(listing.number);
    }
    let findings = changes
        .into_iter()
        .flat_map(|(team, c)| key_findings(team, c));
    findings.collect()
}

fn key_findings(team: &Arc<str>, changes: KeyChanges<'_>) -> Vec<Finding> {
    let location = || Location::Team(Arc::clone(team));
    let KeyChanges {
        revoked,
        added,
        moved,
    } = changes;
    let mut findings = Vec::new();
    if !revoked.is_empty() {
        let kind = FindingKind::KeysRevoked { keys: revoked };
        findings.push(Finding::warning(location(), kind));
    }
    for (to, keys) in moved {
        let to = Arc::clone(to);
        let kind = FindingKind::KeysMoved { keys, to };
        findings.push(Finding::note(location(), kind));
    }
    if !added.is_empty() {
        let kind = FindingKind::KeysAdded { keys: added };
        findings.push(Finding::note(location(), kind));
    }
    findings
}
