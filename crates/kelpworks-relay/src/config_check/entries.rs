//! Checks of one configuration: entries without effect and values that contradict each other.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use super::Finding;
use super::FindingKind;
use super::Location;
use super::Setting;
use super::differences::millis;
use super::keys::duplicate_keys;
use crate::config::CallerLimits;
use crate::config::Configuration;
use crate::config::Route;
use crate::config::Service;

/// Checks a configuration that could be decoded, in the order of its entries.
pub fn check_entries(configuration: &Configuration) -> Vec<Finding> {
    let Configuration {
        version,
        routes,
        services,
        teams,
        limits,
    } = configuration;
    let mut findings = Vec::new();
    if *version == 0 {
        findings.push(Finding::error(
            Location::Configuration,
            FindingKind::NoVersion,
        ));
    }
    let route_names = routes.iter().map(|r| &r.name);
    findings.extend(duplicate_names(route_names, Location::Route));
    findings.extend(hidden_routes(routes));
    findings.extend(routes.iter().flat_map(route_findings));
    let service_names = services.iter().map(|s| &s.name);
    findings.extend(duplicate_names(service_names, Location::Service));
    findings.extend(unused_services(routes, services));
    let team_names = teams.iter().map(|t| &t.name);
    findings.extend(duplicate_names(team_names, Location::Team));
    findings.extend(duplicate_keys(teams));
    findings.extend(limit_findings(*limits));
    findings
}

fn duplicate_names<'a>(
    names: impl Iterator<Item = &'a Arc<str>>,
    location: impl Fn(Arc<str>) -> Location,
) -> Vec<Finding> {
    let mut first_numbers: HashMap<&str, usize> = HashMap::new();
    let mut findings = Vec::new();
    for (i, name) in names.enumerate() {
        let other = i + 1;
        let first = *first_numbers.entry(name).or_insert(other);
        if first != other {
            let kind = FindingKind::DuplicateName { first, other };
            findings.push(Finding::warning(location(Arc::clone(name)), kind));
        }
    }
    findings
}

/// Reports the routes of which another one of the same host and prefix takes precedence. Every path
/// begins with a slash, so that an empty prefix matches the same requests as a slash.
fn hidden_routes(routes: &[Route]) -> Vec<Finding> {
    let mut first_names: HashMap<(&str, &str), &Arc<str>> = HashMap::new();
    // A routing table tries longer prefixes first, and otherwise keeps the order of the list.
    let (empty, others): (Vec<&Route>, Vec<&Route>) =
        routes.iter().partition(|r| r.prefix.is_empty());
    let mut findings = Vec::new();
    for route in others.into_iter().chain(empty) {
        let prefix = match &*route.prefix {
            "" => "/",
            prefix => prefix,
        };
        let by = *first_names
            .entry((&route.host, prefix))
            .or_insert(&route.name);
        if !std::ptr::eq(by, &route.name) {
            let by = Arc::clone(by);
            let location = Location::Route(Arc::clone(&route.name));
            findings.push(Finding::warning(location, FindingKind::HiddenRoute { by }));
        }
    }
    findings
}

fn route_findings(route: &Route) -> Vec<Finding> {
    let Route {
        name,
        host,
        prefix,
        kind: _,
        targets: _,
        timeout,
        latency_target,
        gap_target,
        max_attempts,
        priority: _,
        anonymous: _,
    } = route;
    let (host, prefix) = (host.clone(), prefix.clone());
    let mut kinds = Vec::new();
    if !is_matchable_host(&host) {
        kinds.push(FindingKind::UnmatchableHost { host });
    }
    if !is_matchable_prefix(&prefix) {
        kinds.push(FindingKind::UnmatchablePrefix { prefix });
    }
    kinds.extend(zero_weights(route));
    if timeout.is_zero() {
        kinds.push(FindingKind::NoTime);
    }
    let targets = [
        (Setting::LatencyTarget, *latency_target),
        (Setting::GapTarget, *gap_target),
    ];
    for (setting, target) in targets {
        if target > *timeout {
            kinds.push(FindingKind::OverTimeout {
                setting,
                ms: millis(target),
                timeout_ms: millis(*timeout),
            });
        }
    }
    if *max_attempts == 0 {
        kinds.push(FindingKind::NoAttempts);
    }
    let finding = |kind| Finding::warning(Location::Route(Arc::clone(name)), kind);
    kinds.into_iter().map(finding).collect()
}

/// Whether a request can have this host name. Daemons compare host names without the port, and ignore those that
/// are not printable ASCII.
pub(super) fn is_matchable_host(host: &str) -> bool {
    let is_address = host.starts_with('[');
    host.bytes().all(|b| b.is_ascii_graphic()) && (is_address || !host.contains(':'))
}

/// Whether the path of a request can begin with this prefix. The query is not part of the path.
pub(super) fn is_matchable_prefix(prefix: &str) -> bool {
    let is_of_path = |c: char| !c.is_ascii_control() && !matches!(c, ' ' | '?' | '#');
    prefix.is_empty() || (prefix.starts_with('/') && prefix.chars().all(is_of_path))
}

fn zero_weights(route: &Route) -> Vec<FindingKind> {
    let is_zero = |weight: u32| weight == 0;
    if let Some(first) = route.targets.first()
        && route.targets.iter().all(|t| is_zero(t.weight))
    {
        let service = Arc::clone(&first.service);
        return vec![FindingKind::ZeroWeights { service }];
    }
    let zero = route.targets.iter().filter(|t| is_zero(t.weight));
    let kind = |service: &Arc<str>| FindingKind::ZeroWeight {
        service: Arc::clone(service),
    };
    zero.map(|t| kind(&t.service)).collect()
}

fn unused_services(routes: &[Route], services: &[Service]) -> Vec<Finding> {
    let targets = routes.iter().flat_map(|r| &r.targets);
    let used: HashSet<&str> = targets.map(|t| &*t.service).collect();
    let unused = services.iter().filter(|s| !used.contains(&*s.name));
    let finding = |s: &Service| {
        let location = Location::Service(Arc::clone(&s.name));
        Finding::warning(location, FindingKind::UnusedService)
    };
    unused.map(finding).collect()
}

fn limit_findings(limits: CallerLimits) -> Vec<Finding> {
    let CallerLimits {
        header_bytes,
        body_bytes,
        header_timeout,
        idle_timeout,
    } = limits;
    let mut kinds = Vec::new();
    if header_bytes > body_bytes {
        kinds.push(FindingKind::HeadLimitOverBodyLimit {
            head_bytes: header_bytes as u64,
            body_bytes: body_bytes as u64,
        });
    }
    if idle_timeout < header_timeout {
        kinds.push(FindingKind::IdleTimeoutUnderHeadTimeout {
            idle_ms: millis(idle_timeout),
            head_ms: millis(header_timeout),
        });
    }
    let finding = |kind| Finding::warning(Location::Limits, kind);
    kinds.into_iter().map(finding).collect()
}
