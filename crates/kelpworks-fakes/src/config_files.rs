//! Register, rules and settings files for a [`FakeFleet`](crate::FakeFleet), as TOML text.

use std::fmt::Write;

use crate::fleet::FleetView;
use crate::model::Model;

/// Layers a second written for an engine without a configured rate limit.
const FAST_LAYER_RATE: f64 = 1e6;

/// A team of a rules file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Team<'a> {
    /// Unique name.
    pub name: &'a str,
    /// `paying` or `trial`.
    pub class: &'a str,
    /// Share of the class relative to its other teams.
    pub weight: u32,
    /// SHA-256 of its bearer token, in hex.
    pub token_sha256: &'a str,
}

/// Calls to a plain service that must run at most once, as an entry of a rules file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NonIdempotentCall<'a> {
    /// Service that the calls go to.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Prefix of the request path.
    pub path: &'a str,
}

/// Name, failure domain and listen addresses of one daemon, for a settings file.
///
/// Addresses are `IP:port`; port 0 takes a free port.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DaemonAddresses<'a> {
    /// Unique name of the daemon.
    pub name: &'a str,
    /// Failure domain of the daemon's host.
    pub failure_domain: &'a str,
    /// Listen address for callers.
    pub callers: &'a str,
    /// Listen address for operators.
    pub operators: &'a str,
    /// Listen address for other daemons.
    pub peers: &'a str,
}

/// Returns a register that lists the models, engines and services of a fake fleet.
pub fn register(view: &FleetView, models: &[Model]) -> String {
    let mut text = String::new();
    write_accelerators(&mut text, view);
    for domain in failure_domains(view) {
        let _ = writeln!(
            text,
            "[[failure_domain]]\nname = \"{domain}\"\nregion = \"local\"\n"
        );
    }
    for model in models {
        let (name, version, layers) = (model.name(), model.version(), model.layers());
        let _ = writeln!(
            text,
            "[[model]]\nname = \"{name}\"\nversion = \"{version}\"\nlayers = {layers}\n\
             layer_size = \"1 GB\"\n"
        );
    }
    for engine in &view.engines {
        let _ = writeln!(
            text,
            "[[host]]\nname = \"{}\"\nfailure_domain = \"{}\"\naddress = \"{}\"\n\
             accelerator = \"{}\"\naccelerators = 1\nmodels = {:?}\nchecks_fencing = {}\n",
            engine.name,
            engine.failure_domain,
            engine.address,
            engine.accelerator,
            engine.models,
            engine.checks_fencing
        );
    }
    for service in &view.services {
        let _ = writeln!(
            text,
            "[[host]]\nname = \"{}\"\nfailure_domain = \"{}\"\naddress = \"{}\"\nservice = \"{}\"\n",
            service.name, service.failure_domain, service.address, service.service
        );
    }
    text
}

fn write_accelerators(text: &mut String, view: &FleetView) {
    let mut seen: Vec<&str> = Vec::new();
    for engine in &view.engines {
        if seen.contains(&engine.accelerator.as_str()) {
            continue;
        }
        seen.push(&engine.accelerator);
        let rate = engine.layer_rate.unwrap_or(FAST_LAYER_RATE);
        let _ = writeln!(
            text,
            "[[accelerator]]\nname = \"{}\"\nlayer_rate = {rate:.1}\nmemory = \"80 GB\"\n",
            engine.accelerator
        );
    }
}

fn failure_domains(view: &FleetView) -> Vec<&str> {
    let engines = view.engines.iter().map(|e| e.failure_domain.as_str());
    let services = view.services.iter().map(|s| s.failure_domain.as_str());
    let mut domains: Vec<&str> = engines.chain(services).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

/// Returns rules with these teams and non-idempotent calls.
pub fn rules(trial_share: f64, teams: &[Team<'_>], calls: &[NonIdempotentCall<'_>]) -> String {
    let mut text = format!("[trial]\nshare = {trial_share:?}\n\n");
    for team in teams {
        let _ = writeln!(
            text,
            "[[team]]\nname = \"{}\"\nclass = \"{}\"\nweight = {}\ntoken_sha256 = [\"{}\"]\n",
            team.name, team.class, team.weight, team.token_sha256
        );
    }
    for call in calls {
        let _ = writeln!(
            text,
            "[[non_idempotent]]\nservice = \"{}\"\nmethod = \"{}\"\npath = \"{}\"\n",
            call.service, call.method, call.path
        );
    }
    text
}

/// Returns settings of a daemon that works with a fake fleet.
///
/// `timing` is the body of the `[timing]` table, optionally followed by further tables. It may be
/// empty.
pub fn settings(view: &FleetView, daemon: DaemonAddresses<'_>, timing: &str) -> String {
    format!(
        "name = \"{}\"\nfailure_domain = \"{}\"\n\n[listen]\ncallers = \"{}\"\noperators = \"{}\"\n\
         peers = \"{}\"\n\n[platform]\nobject_api = \"{}\"\nhost_list = \"{}\"\n\n[timing]\n{timing}\n",
        daemon.name,
        daemon.failure_domain,
        daemon.callers,
        daemon.operators,
        daemon.peers,
        view.object_api,
        view.host_list
    )
}
