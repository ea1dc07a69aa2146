//! The register: hosts, accelerators, failure domains and the models each host may carry.
//!
//! Operators keep it as a TOML file and import it as a whole. It says what may
//! be; what an upstream really holds, it says itself.
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
    /// Links between failure domains; a pair that is not listed gets the default.
    pub links: Vec<Link>,
}

impl Register {
    /// Reads a register from its TOML text; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// The first fault by line: not TOML, an unknown or missing key, a wrong
    /// unit, a duplicate, a reference to something undefined, an amount of 0.
    pub fn parse(file: &str, text: &str) -> Result<Register> {
        check::parse(file, text)
    }

    /// Whether a model of this name is in the register.
    pub fn has_model(&self, name: &str) -> bool {
        self.models.iter().any(|m| m.name == name)
    }

    /// Whether any host runs a plain service of this name.
    pub fn has_service(&self, name: &str) -> bool {
        let runs = |h: &Host| matches!(&h.role, HostRole::Service(s) if s == name);
        self.hosts.iter().any(runs)
    }

    /// Whether a failure domain of this name is in the register.
    pub fn has_failure_domain(&self, name: &str) -> bool {
        self.failure_domains.iter().any(|d| d.name == name)
    }
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Unique name.
    pub name: String,
    /// Layers of one token that one accelerator runs a second; above 0.
    pub layer_rate: f64,
    /// Memory of one accelerator.
    pub memory: Size,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct FailureDomain {
    /// Unique name.
    pub name: String,
    /// Region it stands in.
    pub region: String,
}

/// A model to serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Unique name.
    pub name: String,
    /// Version to serve.
    pub version: String,
    /// Number of layers; above 0.
    pub layers: u32,
    /// Weights of one layer.
    pub layer_size: Size,
}

/// What an upstream host does.
#[derive(Clone, Debug, PartialEq)]
pub enum HostRole {
    /// Runs a model engine.
    Engine(EngineHost),
    /// Runs the plain service of this name.
    Service(String),
}

/// Accelerators of an engine host.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineHost {
    /// Name of the kind of accelerator.
    pub accelerator: String,
    /// How many; above 0.
    pub accelerators: u32,
    /// Names of the models it may carry; never empty.
    pub models: Vec<String>,
    /// Whether the engine refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// An upstream host.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Where it listens; unique.
    pub address: SocketAddr,
    /// What it does.
    pub role: HostRole,
}

/// A link between two failure domains, both ways.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// One end.
    pub from: String,
    /// The other end; may be the same failure domain.
    pub to: String,
    /// One-way latency.
    pub latency: DurationSetting,
    /// Bandwidth of one connection.
    pub bandwidth: Rate,
}
