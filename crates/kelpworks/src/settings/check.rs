//! Checks of the settings across their keys.

use std::collections::HashMap;

use toml::Spanned;

use super::Host;
use super::Limits;
use super::Listen;
use super::Placement;
use super::Platform;
use super::Result;
use super::Settings;
use super::Timing;
use super::file::HostTable;
use super::file::LimitsTable;
use super::file::ListenTable;
use super::file::PlacementTable;
use super::file::PlatformTable;
use super::file::SettingsFile;
use super::file::TimingTable;
use crate::config::document::ConfigErrorKind;
use crate::config::document::Document;
use crate::config::unique::DefinedNames;
use crate::config::unique::record_undefined;
use crate::register::Register;

/// Minimum length of a lease, in order bounds. A holder renews its lease after three tenths of it,
/// and must still have time for an order when a renewal fails.
const MIN_ORDER_BOUNDS_PER_LEASE: u32 = 3;
const MIN_LEASE_TEXT: &str = "3 times placement.order_bound";
const MAX_ORDER_BOUND_TEXT: &str = "a third of placement.lease";

/// Parses and checks settings. The failure domain is looked up only if there is a register.
pub(super) fn parse(file: &str, text: &str, register: Option<&Register>) -> Result<Settings> {
    let mut doc = Document::open(file, text)?;
    let raw: SettingsFile = doc.deserialize()?;
    DefinedNames::new("daemon").define(&mut doc, &raw.name);
    DefinedNames::new("failure domain").define(&mut doc, &raw.failure_domain);
    let domain = raw.failure_domain.get_ref();
    if register.is_some_and(|r| !r.has_failure_domain(domain)) {
        record_undefined(&mut doc, "failure domain", &raw.failure_domain);
    }
    check_listen(&mut doc, &raw.listen);
    check_url(&mut doc, &raw.platform.object_api);
    check_url(&mut doc, &raw.platform.host_list);
    check_limits(&mut doc, &raw.limits);
    check_host(&mut doc, &raw.host);
    check_timing(&mut doc, &raw.timing);
    check_placement(&mut doc, &raw.placement);
    doc.finish()?;
    Ok(Settings {
        name: raw.name.into_inner(),
        failure_domain: raw.failure_domain.into_inner(),
        listen: listen(raw.listen),
        platform: platform(raw.platform),
        log_level: raw.log.level.as_str().to_owned(),
        limits: limits(raw.limits),
        host: host(raw.host),
        timing: timing(raw.timing),
        placement: placement(raw.placement),
    })
}

/// Checks that no address appears twice, except with port 0, for which the system chooses a port.
fn check_listen(doc: &mut Document<'_>, listen: &ListenTable) {
    let mut seen = HashMap::new();
    for address in [&listen.callers, &listen.operators, &listen.peers] {
        if address.get_ref().port() == 0 {
            continue;
        }
        let line = doc.line(&address.span());
        if let Some(first) = seen.insert(*address.get_ref(), line) {
            let item_kind = "address";
            let value = address.get_ref().to_string();
            doc.record_error(
                address.span(),
                ConfigErrorKind::Duplicate {
                    item_kind,
                    value,
                    first,
                },
            );
        }
    }
}

/// Checks a base URL. URLs are logged, so one with a user or password is refused.
fn check_url(doc: &mut Document<'_>, url: &Spanned<String>) {
    if !is_base_url(url.get_ref()) {
        doc.record_error(url.span(), ConfigErrorKind::InvalidUrl);
    }
}

/// Returns whether a text is an HTTP or HTTPS URL without user, password, query or fragment.
fn is_base_url(text: &str) -> bool {
    let Ok(url) = reqwest::Url::parse(text) else {
        return false;
    };
    let has_user = !url.username().is_empty() || url.password().is_some();
    let has_query_or_fragment = url.query().is_some() || url.fragment().is_some();
    matches!(url.scheme(), "http" | "https")
        && url.has_host()
        && !has_user
        && !has_query_or_fragment
}

/// Checks that every limit is above 0.
fn check_limits(doc: &mut Document<'_>, limits: &LimitsTable) {
    require_positive(doc, &limits.body, limits.body.get_ref().0 > 0);
    require_positive(doc, &limits.max_tokens, *limits.max_tokens.get_ref() > 0);
    require_positive(doc, &limits.queue, *limits.queue.get_ref() > 0);
    let claims = &limits.claim_writes_per_second;
    require_positive(doc, claims, *claims.get_ref() > 0);
    let target = &limits.token_target;
    require_positive(doc, target, !target.get_ref().0.is_zero());
}

/// Checks that every amount is above 0.
fn check_host(doc: &mut Document<'_>, host: &HostTable) {
    if let Some(memory) = &host.memory {
        require_positive(doc, memory, memory.get_ref().0 > 0);
    }
    if let Some(descriptors) = &host.descriptors {
        require_positive(doc, descriptors, *descriptors.get_ref() > 0);
    }
}

/// Checks that every time is above 0, and that the step floor does not exceed the step ceiling.
fn check_timing(doc: &mut Document<'_>, timing: &TimingTable) {
    let times = [
        &timing.request,
        &timing.connect,
        &timing.step_floor,
        &timing.step_ceiling,
        &timing.state_poll,
        &timing.host_list_poll,
        &timing.watch,
        &timing.heartbeat,
        &timing.balancer_notice,
        &timing.drain,
    ];
    for time in times {
        require_positive(doc, time, !time.get_ref().0.is_zero());
    }
    if timing.step_floor.get_ref() <= timing.step_ceiling.get_ref() {
        return;
    }
    // An empty span marks a default value. The error is reported at a key that is in the file.
    match timing.step_floor.span().is_empty() {
        true => doc.record_error(
            timing.step_ceiling.span(),
            ConfigErrorKind::BelowMin("timing.step_floor"),
        ),
        false => doc.record_error(
            timing.step_floor.span(),
            ConfigErrorKind::AboveMax("timing.step_ceiling"),
        ),
    }
}

/// Checks that every time and rate is above 0, and that the lease is long enough for orders.
fn check_placement(doc: &mut Document<'_>, placement: &PlacementTable) {
    let times = [
        &placement.lease,
        &placement.order_bound,
        &placement.interval,
        &placement.lost_after,
        &placement.improve_after,
    ];
    for time in times {
        require_positive(doc, time, !time.get_ref().0.is_zero());
    }
    let rate = &placement.weight_rate;
    require_positive(doc, rate, rate.get_ref().0 > 0);
    if placement.order_bound.get_ref().0 * MIN_ORDER_BOUNDS_PER_LEASE <= placement.lease.get_ref().0
    {
        return;
    }
    match placement.order_bound.span().is_empty() {
        true => doc.record_error(
            placement.lease.span(),
            ConfigErrorKind::BelowMin(MIN_LEASE_TEXT),
        ),
        false => doc.record_error(
            placement.order_bound.span(),
            ConfigErrorKind::AboveMax(MAX_ORDER_BOUND_TEXT),
        ),
    }
}

/// Records an error at `at` if the amount is not above 0.
fn require_positive<T>(doc: &mut Document<'_>, at: &Spanned<T>, is_positive: bool) {
    if !is_positive {
        doc.record_error(at.span(), ConfigErrorKind::NotPositive);
    }
}

fn listen(raw: ListenTable) -> Listen {
    Listen {
        callers: raw.callers.into_inner(),
        operators: raw.operators.into_inner(),
        peers: raw.peers.into_inner(),
    }
}

fn platform(raw: PlatformTable) -> Platform {
    Platform {
        object_api: raw.object_api.into_inner(),
        host_list: raw.host_list.into_inner(),
    }
}

fn limits(raw: LimitsTable) -> Limits {
    Limits {
        body_bytes: raw.body.into_inner().0,
        max_tokens: raw.max_tokens.into_inner(),
        queue: raw.queue.into_inner(),
        claim_writes_per_second: raw.claim_writes_per_second.into_inner(),
        token_target: raw.token_target.into_inner(),
    }
}

fn host(raw: HostTable) -> Host {
    Host {
        memory_bytes: raw.memory.map(|m| m.into_inner().0),
        descriptors: raw.descriptors.map(Spanned::into_inner),
    }
}

fn timing(raw: TimingTable) -> Timing {
    Timing {
        request: raw.request.into_inner(),
        connect: raw.connect.into_inner(),
        step_floor: raw.step_floor.into_inner(),
        step_ceiling: raw.step_ceiling.into_inner(),
        state_poll: raw.state_poll.into_inner(),
        host_list_poll: raw.host_list_poll.into_inner(),
        watch: raw.watch.into_inner(),
        heartbeat: raw.heartbeat.into_inner(),
        balancer_notice: raw.balancer_notice.into_inner(),
        drain: raw.drain.into_inner(),
    }
}

fn placement(raw: PlacementTable) -> Placement {
    Placement {
        enabled: raw.enabled,
        lease: raw.lease.into_inner(),
        order_bound: raw.order_bound.into_inner(),
        interval: raw.interval.into_inner(),
        lost_after: raw.lost_after.into_inner(),
        improve_after: raw.improve_after.into_inner(),
        weight_rate: raw.weight_rate.into_inner(),
    }
}
