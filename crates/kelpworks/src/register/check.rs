//! Checks of the register across its keys, such as that names are unique and references resolve.

use std::collections::HashMap;
use std::net::SocketAddr;

use toml::Spanned;

use super::Accelerator;
use super::EngineHost;
use super::FailureDomain;
use super::Host;
use super::HostRole;
use super::Link;
use super::Model;
use super::Register;
use super::Result;
use super::file::AcceleratorTable;
use super::file::DomainTable;
use super::file::HostTable;
use super::file::LinkTable;
use super::file::ModelTable;
use super::file::RegisterFile;
use crate::config::document::ConfigErrorKind;
use crate::config::document::Document;
use crate::config::unique::DefinedNames;

const ENGINE_KEYS_MISSING: &str =
    "needs either `service`, or `accelerator`, `accelerators` and `models`";
const SERVICE_AND_ENGINE: &str = "a host with `service` takes none of `accelerator`, \
     `accelerators`, `models` and `checks_fencing`";
const PORT_ZERO: &str = "the port of an upstream must be above 0";

/// Parses and checks a register.
pub(super) fn parse(file: &str, text: &str) -> Result<Register> {
    let mut doc = Document::open(file, text)?;
    let raw: RegisterFile = doc.deserialize()?;
    let names = Definitions::collect(&mut doc, &raw);
    check_amounts(&mut doc, &raw);
    check_links(&mut doc, &raw.link, &names);
    check_addresses(&mut doc, &raw.host);
    let hosts = check_hosts(&mut doc, &raw.host, &names);
    doc.finish()?;
    Ok(Register {
        accelerators: raw.accelerator.into_iter().map(accelerator).collect(),
        failure_domains: raw.failure_domain.into_iter().map(domain).collect(),
        models: raw.model.into_iter().map(model).collect(),
        hosts,
        links: raw.link.into_iter().map(link).collect(),
    })
}

/// Names defined in the file that other tables refer to.
struct Definitions<'a> {
    accelerators: DefinedNames<'a>,
    domains: DefinedNames<'a>,
    models: DefinedNames<'a>,
}

impl<'a> Definitions<'a> {
    /// Collects the names; records an error for each that is malformed or appears twice.
    fn collect(doc: &mut Document<'_>, raw: &'a RegisterFile) -> Definitions<'a> {
        let mut accelerators = DefinedNames::new("accelerator");
        for a in &raw.accelerator {
            accelerators.define(doc, &a.name);
        }
        let mut domains = DefinedNames::new("failure domain");
        for d in &raw.failure_domain {
            domains.define(doc, &d.name);
            DefinedNames::new("region").define(doc, &d.region);
        }
        let mut models = DefinedNames::new("model");
        for m in &raw.model {
            models.define(doc, &m.name);
            DefinedNames::new("version").define(doc, &m.version);
        }
        let mut hosts = DefinedNames::new("host");
        for h in &raw.host {
            hosts.define(doc, &h.get_ref().name);
        }
        Definitions {
            accelerators,
            domains,
            models,
        }
    }
}

/// Checks that all amounts outside the host tables are above 0.
fn check_amounts(doc: &mut Document<'_>, raw: &RegisterFile) {
    for a in &raw.accelerator {
        let rate = *a.layer_rate.get_ref();
        require_positive(doc, &a.layer_rate, rate.is_finite() && rate > 0.0);
        require_positive(doc, &a.memory, a.memory.get_ref().0 > 0);
    }
    for m in &raw.model {
        require_positive(doc, &m.layers, *m.layers.get_ref() > 0);
        require_positive(doc, &m.layer_size, m.layer_size.get_ref().0 > 0);
    }
    for l in &raw.link {
        require_positive(doc, &l.bandwidth, l.bandwidth.get_ref().0 > 0);
    }
}

/// Records an error at `at` if the amount is not above 0.
fn require_positive<T>(doc: &mut Document<'_>, at: &Spanned<T>, is_positive: bool) {
    if !is_positive {
        doc.record_error(at.span(), ConfigErrorKind::NotPositive);
    }
}

/// Checks that links join defined failure domains, and that no pair is listed twice.
fn check_links(doc: &mut Document<'_>, links: &[LinkTable], names: &Definitions<'_>) {
    let mut seen = HashMap::new();
    for l in links {
        names.domains.check_reference(doc, &l.from);
        names.domains.check_reference(doc, &l.to);
        let (a, b) = (l.from.get_ref(), l.to.get_ref());
        let pair = (a.min(b), a.max(b));
        let line = doc.line(&l.from.span());
        if let Some(first) = seen.insert(pair, line) {
            let item_kind = "link";
            let value = format!("{} - {}", pair.0, pair.1);
            doc.record_error(
                l.from.span(),
                ConfigErrorKind::Duplicate {
                    item_kind,
                    value,
                    first,
                },
            );
        }
    }
}

/// Checks that no two hosts share an address and that no port is 0.
fn check_addresses(doc: &mut Document<'_>, hosts: &[Spanned<HostTable>]) {
    let mut seen: HashMap<SocketAddr, usize> = HashMap::new();
    for h in hosts {
        let address = &h.get_ref().address;
        if address.get_ref().port() == 0 {
            doc.record_error(address.span(), ConfigErrorKind::Constraint(PORT_ZERO));
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

/// Checks the hosts and returns those with a valid role.
fn check_hosts(
    doc: &mut Document<'_>,
    hosts: &[Spanned<HostTable>],
    names: &Definitions<'_>,
) -> Vec<Host> {
    let mut checked = Vec::with_capacity(hosts.len());
    for h in hosts {
        names
            .domains
            .check_reference(doc, &h.get_ref().failure_domain);
        let Some(role) = check_role(doc, h, names) else {
            continue;
        };
        let h = h.get_ref();
        checked.push(Host {
            name: h.name.get_ref().clone(),
            failure_domain: h.failure_domain.get_ref().clone(),
            address: *h.address.get_ref(),
            role,
        });
    }
    checked
}

/// Checks the keys that determine what a host runs. Returns `None` if they do not determine a
/// role, after an error was recorded.
fn check_role(
    doc: &mut Document<'_>,
    host: &Spanned<HostTable>,
    names: &Definitions<'_>,
) -> Option<HostRole> {
    let h = host.get_ref();
    let any_engine_key = h.accelerator.is_some()
        || h.accelerators.is_some()
        || h.models.is_some()
        || h.checks_fencing.is_some();
    if let Some(service) = &h.service {
        DefinedNames::new("service").define(doc, service);
        if any_engine_key {
            doc.record_error(
                service.span(),
                ConfigErrorKind::Constraint(SERVICE_AND_ENGINE),
            );
            return None;
        }
        return Some(HostRole::Service(service.get_ref().clone()));
    }
    let (Some(accelerator), Some(count), Some(models)) =
        (&h.accelerator, &h.accelerators, &h.models)
    else {
        doc.record_error(
            host.span(),
            ConfigErrorKind::Constraint(ENGINE_KEYS_MISSING),
        );
        return None;
    };
    names.accelerators.check_reference(doc, accelerator);
    require_positive(doc, count, *count.get_ref() > 0);
    check_models(doc, models, names);
    Some(HostRole::Engine(EngineHost {
        accelerator: accelerator.get_ref().clone(),
        accelerators: *count.get_ref(),
        models: models
            .get_ref()
            .iter()
            .map(|m| m.get_ref().clone())
            .collect(),
        checks_fencing: h.checks_fencing.unwrap_or(false),
    }))
}

/// Checks that the list of a host's models is not empty, and that each model is defined and appears
/// once.
fn check_models(
    doc: &mut Document<'_>,
    models: &Spanned<Vec<Spanned<String>>>,
    names: &Definitions<'_>,
) {
    if models.get_ref().is_empty() {
        doc.record_error(models.span(), ConfigErrorKind::EmptyList("model"));
    }
    let mut own = DefinedNames::new("model");
    for m in models.get_ref() {
        names.models.check_reference(doc, m);
        own.define(doc, m);
    }
}

fn accelerator(raw: AcceleratorTable) -> Accelerator {
    Accelerator {
        name: raw.name.into_inner(),
        layer_rate: raw.layer_rate.into_inner(),
        memory: raw.memory.into_inner(),
    }
}

fn domain(raw: DomainTable) -> FailureDomain {
    FailureDomain {
        name: raw.name.into_inner(),
        region: raw.region.into_inner(),
    }
}

fn model(raw: ModelTable) -> Model {
    Model {
        name: raw.name.into_inner(),
        version: raw.version.into_inner(),
        layers: raw.layers.into_inner(),
        layer_size: raw.layer_size.into_inner(),
    }
}

fn link(raw: LinkTable) -> Link {
    Link {
        from: raw.from.into_inner(),
        to: raw.to.into_inner(),
        latency: raw.latency,
        bandwidth: raw.bandwidth.into_inner(),
    }
}
