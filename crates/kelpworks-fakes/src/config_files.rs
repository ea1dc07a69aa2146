//! The register, rules and settings that fit a set of stand-ins, as TOML text.

use std::fmt::Write;

use crate::fleet::FleetView;
use crate::model::Model;

/// Rate written for an engine whose speed has no limit.
const FAST_LAYER_RATE: f64 = 1e6;

/// A team for a rules file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Team<'a> {
    /// Name.
    pub name: &'a str,
    /// `paying` or `trial`.
    pub class: &'a str,
    /// Weight within the class.
    pub weight: u32,
    /// SHA-256 of its bearer token, in hex.
    pub token_sha256: &'a str,
}

/// A call of a plain service that must run at most once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NonIdempotentCall<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path prefix.
    pub path: &'a str,
}

/// Addresses of one daemon for a settings file; port 0 takes a free one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DaemonAddresses<'a> {
    /// Name of the daemon.
    pub name: &'a str,
    /// Failure domain.
    pub failure_domain: &'a str,
    /// For callers, as `IP:port`.
    pub callers: &'a str,
    /// For operators.
    pub operators: &'a str,
    /// For other daemons.
    pub peers: &'a str,
}

/// A register that lists the engines and services of a set of stand-ins.
pub fn register(view: &FleetView, models: &[Model]) -> String {
    let mut text = String::new();
    kinds(&mut text, view);
    for domain in domains(view) {
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

fn kinds(text: &mut String, view: &FleetView) {
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

fn domains(view: &FleetView) -> Vec<&str> {
    let engines = view.engines.iter().map(|e| e.failure_domain.as_str());
    let services = view.services.iter().map(|s| s.failure_domain.as_str());
    let mut domains: Vec<&str> = engines.chain(services).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

/// Rules with these teams.
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

/// Settings of a daemon beside a set of stand-ins. `timing` is the body of the table of that
/// name, with other tables after it where needed, and may be empty.
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
