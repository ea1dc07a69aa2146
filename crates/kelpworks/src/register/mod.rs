//! The register: hosts, accelerators, failure domains and the models that each host may load.
//!
//! Operators keep it as a TOML file and import it as a whole. It lists the models that each host is
//! allowed to load; which layers an upstream has loaded is reported by the upstream.
//!
//! ```
//! use kelpworks::register::Register;
//!
//! let text = r#"
//! [[failure_domain]]
//! name = "hall-a"
//! region = "north"
//!
//! [[host]]
//! name = "thumbs-1"
//! failure_domain = "hall-a"
//! address = "10.0.0.1:8000"
//! service = "thumbnails"
//! "#;
//! let register = Register::parse("register.toml", text)?;
//! assert_eq!(register.hosts[0].name, "thumbs-1");
//! # Ok::<(), kelpworks::config::document::Error>(())
//! ```

mod check;
mod file;

use std::net::SocketAddr;

use crate::units::DurationSetting;
use crate::units::Rate;
use crate::units::Size;

pub use crate::config::document::Error;
pub use crate::config::document::Result;

/// The whole register, checked: names are unique and every reference resolves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Register {
    /// Kinds of accelerators.
    pub accelerators: Vec<Accelerator>,
    /// Failure domains, each in a region.
    pub failure_domains: Vec<FailureDomain>,
    /// Models and the version that should be served.
    pub models: Vec<Model>,
    /// Upstream hosts.
    pub hosts: Vec<Host>,
    /// Links between failure domains; a pair that is not listed gets default values.
    pub links: Vec<Link>,
}

impl Register {
    /// Parses and checks a register. `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// Text that is not TOML, an unknown or missing key, or a wrong unit. Otherwise the first error
    /// by line: a malformed or duplicate name, an undefined reference, an amount that is not above
    /// 0, or a host that is neither an engine nor a plain service.
    pub fn parse(file: &str, text: &str) -> Result<Register> {
        check::parse(file, text)
    }

    /// Returns whether the register has a model of this name.
    pub fn has_model(&self, name: &str) -> bool {
        self.models.iter().any(|m| m.name == name)
    }

    /// Returns whether any host runs a plain service of this name.
    pub fn has_service(&self, name: &str) -> bool {
        let runs = |h: &Host| matches!(&h.role, HostRole::Service(s) if s == name);
        self.hosts.iter().any(runs)
    }

    /// Returns whether the register has a failure domain of this name.
    pub fn has_failure_domain(&self, name: &str) -> bool {
        self.failure_domains.iter().any(|d| d.name == name)
    }
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name, unique among accelerators.
    pub name: String,
    /// Speed of one accelerator, in layers per second for one token; above 0.
    pub layer_rate: f64,
    /// Memory of one accelerator; above 0.
    pub memory: Size,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct FailureDomain {
    /// Name, unique among failure domains.
    pub name: String,
    /// Name of the region that contains it.
    pub region: String,
}

/// A model to serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name, unique among models.
    pub name: String,
    /// Version of the weights to serve.
    pub version: String,
    /// Number of layers; above 0.
    pub layers: u32,
    /// Size of the weights of one layer; above 0.
    pub layer_size: Size,
}

/// What an upstream host runs.
#[derive(Clone, Debug, PartialEq)]
pub enum HostRole {
    /// Runs a model engine.
    Engine(EngineHost),
    /// Runs the plain service of this name.
    Service(String),
}

/// Accelerators of an engine host, and the models that it may load.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineHost {
    /// Name of the kind of accelerator.
    pub accelerator: String,
    /// Number of accelerators; above 0.
    pub accelerators: u32,
    /// Names of the models that the host may load; never empty.
    pub models: Vec<String>,
    /// Whether the engine refuses an order whose fencing token is outdated. Default false.
    pub checks_fencing: bool,
}

/// An upstream host.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Name, unique among hosts.
    pub name: String,
    /// Name of the failure domain that contains the host.
    pub failure_domain: String,
    /// Address on which the host accepts requests; unique among hosts.
    pub address: SocketAddr,
    /// Whether the host runs an engine or a plain service.
    pub role: HostRole,
}

/// A link between two failure domains. Its properties apply in both directions.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Failure domain at one end.
    pub from: String,
    /// Failure domain at the other end; may be the same one.
    pub to: String,
    /// One-way latency.
    pub latency: DurationSetting,
    /// Bandwidth of one connection; above 0.
    pub bandwidth: Rate,
}
