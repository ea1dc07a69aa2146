//! The register: hosts, accelerators, failure domains and the models each host may carry.

use std::net::SocketAddr;

use crate::units::Rate;
use crate::units::Size;
use crate::units::Span;

/// The whole register, checked: names are unique and every reference resolves.
#[derive(Clone, Debug, PartialEq)]
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
    pub latency: Span,
    /// Bandwidth of one connection.
    pub bandwidth: Rate,
}
