//! Differences of meaning between the configuration in force and a new one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::Change;
use super::Finding;
use super::FindingKind;
use super::Location;
use super::Setting;
use super::Share;
use super::Value;
use super::entries::is_matchable_host;
use super::entries::is_matchable_prefix;
use super::keys::compare_teams;
use crate::config::CallerLimits;
use crate::config::Configuration;
use crate::config::Route;
use crate::config::RouteKind;
use crate::config::RoutingTable;
use crate::config::Service;

/// What a change of a setting does to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    /// They are served as before, or otherwise than before.
    Serves,
    /// Some that are served now are cut off.
    CutsOff,
}

/// Returns the differences of a new configuration from the one in force. A difference that cuts
/// callers off is a warning. Without a difference, the versions may be any.
pub fn compare(in_force: &Configuration, new: &Configuration) -> Vec<Finding> {
    let Configuration {
        version,
        routes: _,
        services,
        teams,
        limits,
    } = in_force;
    let tables = [in_force, new].map(|c| RoutingTable::new(c.clone()));
    let mut findings = compare_requests(&tables);
    findings.extend(compare_services(services, &new.services));
    findings.extend(compare_teams(teams, &new.teams));
    findings.extend(compare_limits(*limits, new.limits));
    if new.version <= *version && !findings.is_empty() {
        let kind = FindingKind::VersionNotGreater {
            version: new.version,
            in_force: *version,
        };
        findings.insert(0, Finding::error(Location::Configuration, kind));
    }
    findings
}

/// Compares the routes that requests match. The prefixes of a host in both tables divide its paths
/// so that all paths of a part match the same route, and each part contains its own prefix.
fn compare_requests(tables: &[RoutingTable; 2]) -> Vec<Finding> {
    let routes = tables.iter().flat_map(RoutingTable::routes);
    let matchable = routes.filter(|r| is_matchable_host(&r.host) && is_matchable_prefix(&r.prefix));
    let parts: BTreeSet<(&str, &str)> = matchable
        .map(|r| match &*r.prefix {
            "" => (&*r.host, "/"),
            prefix => (&*r.host, prefix),
        })
        .collect();
    let [old, new] = tables;
    let needs_keys = new.has_teams();
    let mut findings = Vec::new();
    for (host, prefix) in parts {
        let location = || Location::Requests {
            host: host.into(),
            prefix: prefix.into(),
        };
        match (old.route(host, prefix), new.route(host, prefix)) {
            (None, Some(new)) => {
                let route = Arc::clone(&new.name);
                findings.push(Finding::note(location(), FindingKind::RouteAdded { route }));
            }
            (Some(old), None) => findings.push(removed_route(old, None, location())),
            (Some(old), Some(new)) => {
                let changes = compare_routes(old, new, needs_keys);
                if !changes.is_empty() && new.prefix.len() < old.prefix.len() {
                    findings.push(removed_route(old, Some(new), location()));
                }
                findings.extend(changes.into_iter().map(|c| c.at(location())));
            }
            (None, None) => {}
        }
    }
    findings
}

fn removed_route(old: &Route, served_by: Option<&Route>, location: Location) -> Finding {
    let kind = FindingKind::RouteRemoved {
        route: Arc::clone(&old.name),
        served_by: served_by.map(|r| Arc::clone(&r.name)),
    };
    Finding::warning(location, kind)
}

/// A setting with two values.
struct SettingChange {
    setting: Setting,
    old: Value,
    new: Value,
    effect: Effect,
}

impl SettingChange {
    fn new(setting: Setting, old: Value, new: Value) -> SettingChange {
        SettingChange {
            setting,
            old,
            new,
            effect: Effect::Serves,
        }
    }

    /// Returns a change of a maximum, which cuts callers off if it is lowered.
    fn limit(setting: Setting, unit: fn(u64) -> Value, old: u64, new: u64) -> SettingChange {
        let effect = match new < old {
            true => Effect::CutsOff,
            false => Effect::Serves,
        };
        SettingChange {
            effect,
            ..SettingChange::new(setting, unit(old), unit(new))
        }
    }

    /// Returns a change of a maximum time, which cuts callers off if it is lowered.
    fn time_limit(setting: Setting, old: Duration, new: Duration) -> SettingChange {
        SettingChange::limit(setting, Value::Ms, millis(old), millis(new))
    }

    fn at(self, location: Location) -> Finding {
        let kind = FindingKind::Changed {
            setting: self.setting,
            old: self.old,
            new: self.new,
        };
        match self.effect {
            Effect::Serves => Finding::note(location, kind),
            Effect::CutsOff => Finding::warning(location, kind),
        }
    }
}

fn only_differing(changes: impl IntoIterator<Item = SettingChange>) -> Vec<SettingChange> {
    changes.into_iter().filter(|c| c.old != c.new).collect()
}

/// Compares how two routes serve the same requests. Names are only logged, and hosts and prefixes
/// are what the requests were found by.
fn compare_routes(old: &Route, new: &Route, needs_keys: bool) -> Vec<SettingChange> {
    let Route {
        name: _,
        host: _,
        prefix: _,
        kind,
        targets: _,
        timeout,
        latency_target,
        gap_target,
        max_attempts,
        priority,
        anonymous,
    } = old;
    let to_kind = |kind: RouteKind| Value::Kind(kind_text(kind));
    let to_number = |n: u32| Value::Number(u64::from(n));
    let to_ms = |time: Duration| Value::Ms(millis(time));
    let mut kind_change = SettingChange::new(Setting::Kind, to_kind(*kind), to_kind(new.kind));
    if kind.is_call() != new.kind.is_call() {
        kind_change.effect = Effect::CutsOff;
    }
    let (old_flag, new_flag) = (Value::Flag(*anonymous), Value::Flag(new.anonymous));
    let mut anonymity = SettingChange::new(Setting::Anonymous, old_flag, new_flag);
    if needs_keys && !new.anonymous {
        anonymity.effect = Effect::CutsOff;
    }
    only_differing([
        kind_change,
        SettingChange::new(Setting::Shares, shares(old), shares(new)),
        SettingChange::time_limit(Setting::Timeout, *timeout, new.timeout),
        SettingChange::new(
            Setting::LatencyTarget,
            to_ms(*latency_target),
            to_ms(new.latency_target),
        ),
        SettingChange::new(
            Setting::GapTarget,
            to_ms(*gap_target),
            to_ms(new.gap_target),
        ),
        SettingChange::limit(
            Setting::Attempts,
            Value::Number,
            u64::from(*max_attempts),
            u64::from(new.max_attempts),
        ),
        SettingChange::new(
            Setting::Priority,
            to_number(*priority),
            to_number(new.priority),
        ),
        anonymity,
    ])
}

fn kind_text(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non-idempotent",
        RouteKind::Stream { resumable: true } => "resumable stream",
        RouteKind::Stream { resumable: false } => "stream",
    }
}

/// Returns the shares of services in a route's traffic, in lowest terms and by name. If all weights
/// are 0, the first target receives all requests.
fn shares(route: &Route) -> Value {
    let mut weights: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for target in route.targets.iter().filter(|t| t.weight > 0) {
        *weights.entry(&target.service).or_default() += u64::from(target.weight);
    }
    if let (true, Some(first)) = (weights.is_empty(), route.targets.first()) {
        weights.insert(&first.service, 1);
    }
    let divisor = weights.values().copied().fold(0, greatest_common_divisor);
    let share = |(service, weight): (&Arc<str>, u64)| Share {
        service: Arc::clone(service),
        weight: weight / divisor,
    };
    Value::Shares(weights.into_iter().map(share).collect())
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    match b {
        0 => a,
        _ => greatest_common_divisor(b, a % b),
    }
}

fn compare_services(old: &[Service], new: &[Service]) -> Vec<Finding> {
    let mut findings = Vec::new();
    // Of several services of one name, the first is in effect.
    let mut seen: HashSet<&str> = HashSet::new();
    for service in old.iter().filter(|s| seen.insert(&s.name)) {
        let location = || Location::Service(Arc::clone(&service.name));
        match new.iter().find(|s| s.name == service.name) {
            Some(new) => findings.extend(compare_service(service, new, location)),
            None => findings.push(Finding::note(location(), FindingKind::Removed)),
        }
    }
    for service in new.iter().filter(|s| seen.insert(&s.name)) {
        let location = Location::Service(Arc::clone(&service.name));
        findings.push(Finding::note(location, FindingKind::Added));
    }
    findings
}

fn compare_service(old: &Service, new: &Service, location: impl Fn() -> Location) -> Vec<Finding> {
    let Service {
        name: _,
        max_connections,
        // Only the daemons' own requests go there.
        health_path: _,
        engine_profile,
    } = old;
    // Callers don't meet this limit: it bounds the daemons' own connections.
    let connections = SettingChange::new(
        Setting::Connections,
        Value::Number(u64::from(*max_connections)),
        Value::Number(u64::from(new.max_connections)),
    );
    let mut findings: Vec<Finding> = only_differing([connections])
        .into_iter()
        .map(|c| c.at(location()))
        .collect();
    let change = match (engine_profile, &new.engine_profile) {
        (None, Some(_)) => Some(Change::Added),
        (Some(_), None) => Some(Change::Removed),
        (a, b) => (a != b).then_some(Change::Replaced),
    };
    if let Some(change) = change {
        let kind = FindingKind::EngineProfile { change };
        findings.push(Finding::note(location(), kind));
    }
    findings
}

fn compare_limits(old: CallerLimits, new: CallerLimits) -> Vec<Finding> {
    let CallerLimits {
        header_bytes,
        body_bytes,
        header_timeout,
        idle_timeout,
    } = old;
    let bytes = |setting, old: usize, new: usize| {
        SettingChange::limit(setting, Value::Bytes, old as u64, new as u64)
    };
    let changes = only_differing([
        bytes(Setting::HeadSize, header_bytes, new.header_bytes),
        bytes(Setting::BodySize, body_bytes, new.body_bytes),
        SettingChange::time_limit(Setting::HeadTimeout, header_timeout, new.header_timeout),
        SettingChange::time_limit(Setting::IdleTimeout, idle_timeout, new.idle_timeout),
    ]);
    let findings = changes.into_iter().map(|c| c.at(Location::Limits));
    findings.collect()
}

/// Returns a time in whole milliseconds, the unit of the configuration.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
