//! The configuration in force: routes, services, teams and limits of callers.
//!
//! A [`Configuration`] is decoded by the platform's adapter and indexed here once, so that a request
//! costs a map lookup and a scan of the routes of its host name.
//!
//! ```
//! use kelpworks_relay::config::Configuration;
//! use kelpworks_relay::config::RoutingTable;
//!
//! let table = RoutingTable::new(Configuration::default());
//! assert!(table.route("a.example", "/x/").is_none());
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answered by a stream of events.
    Stream {
        /// Whether another upstream can continue after the last event that was read.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn is_retryable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its part of the traffic, relative to the other targets.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Host name that it serves.
    pub host: Box<str>,
    /// Prefix of the path, beginning and ending with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Where requests go; at least one.
    pub targets: Vec<Target>,
    /// Longest time that a request is kept waiting for its final answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub latency_target: Duration,
    /// Longest pause between two events at which a stream still counts as on time.
    pub gap_target: Duration,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests carry no key.
    pub anonymous: bool,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name.
    pub name: Arc<str>,
    /// Memory for layers and requests, in megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Factor on the time of a step and of its context.
    pub step_factor: f64,
    /// Factor on the time of reading a prompt.
    pub read_factor: f64,
}

/// Speeds and sizes of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Layers of the model.
    pub layers: u16,
    /// Size of a layer, in megabytes.
    pub layer_mb: f64,
    /// Bytes of KV cache that a token takes over all layers.
    pub kv_token_bytes: f64,
    /// Time of a step over all layers at factor 1, in milliseconds.
    pub step_ms: f64,
    /// Added to a step for each sequence that is being written, in milliseconds.
    pub sequence_ms: f64,
    /// Added for each sequence and 1,000 tokens of its context, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read a second over all layers at factor 1.
    pub read_per_s: f64,
    /// Time to load all layers, in seconds.
    pub load_s: f64,
    /// Usual tokens of a prompt.
    pub typical_prompt_tokens: f64,
    /// Usual tokens of an answer.
    pub typical_answer_tokens: f64,
    /// Kinds of accelerators.
    pub kinds: Vec<Accelerator>,
}

impl EngineProfile {
    /// The kind of this name.
    pub fn kind(&self, name: &str) -> Option<&Accelerator> {
        self.kinds.iter().find(|k| &*k.name == name)
    }

    /// Token-layers of KV cache that fit beside `layers` layers; 0 when the layers don't fit.
    pub fn kv_capacity(&self, kind: &Accelerator, layers: u16) -> f64 {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        let token_layer_bytes = self.kv_token_bytes / f64::from(self.layers.max(1));
        (free_mb * 1e6 / token_layer_bytes).max(0.0)
    }

    /// Most layers whose weights fit into the memory of a kind.
    pub fn max_layers(&self, kind: &Accelerator) -> u16 {
        let fit = (kind.memory_mb / self.layer_mb).floor();
        (fit as u16).min(self.layers)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Connections that each of its upstreams takes from all daemons together.
    pub max_connections: u32,
    /// Set when its upstreams are engines that hold layers.
    pub engine_profile: Option<Arc<EngineProfile>>,
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, as upstreams are told.
    pub name: Arc<str>,
    /// Keys of its callers.
    pub keys: Vec<Box<str>>,
    /// Rank of its requests in place of the route's.
    pub priority: Option<u32>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// What holds until a configuration is known: the usual sizes of HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What operators have put in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with every change; 0 when none is known.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; when empty, no request needs a key.
    pub teams: Vec<Team>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

/// Index of a team in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamIndex(usize);

/// A configuration with its indexes.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    configuration: Configuration,
    /// Routes of each host name, the longest prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    by_key: HashMap<Box<str>, TeamIndex>,
}

impl RoutingTable {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> RoutingTable {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (i, route) in configuration.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(i);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|&i| std::cmp::Reverse(configuration.routes[i].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (i, team) in configuration.teams.iter().enumerate() {
            for key in &team.keys {
                by_key.insert(key.clone(), TeamIndex(i));
            }
        }
        RoutingTable {
            configuration,
            by_host,
            by_key,
        }
    }

    /// Its version; 0 when none is known.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Limits of callers.
    pub fn limits(&self) -> CallerLimits {
        self.configuration.limits
    }

    /// Whether requests need a key unless their route is anonymous.
    pub fn has_teams(&self) -> bool {
        !self.configuration.teams.is_empty()
    }

    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.configuration.services
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration
            .services
            .iter()
            .find(|s| &*s.name == name)
    }

    /// The route with the longest prefix of a path among those of a host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        let mut routes = routes.iter().map(|&i| &self.configuration.routes[i]);
        routes.find(|r| path.starts_with(&*r.prefix))
    }

    /// The team that holds a key.
    pub fn team_of(&self, key: &str) -> Option<&Team> {
        let TeamIndex(i) = *self.by_key.get(key)?;
        self.configuration.teams.get(i)
    }
}
