//! The active configuration: routes, services, teams and limits for callers.
//!
//! The platform's adapter decodes a [`Configuration`], and [`RoutingTable`] indexes it once.
//! Routing a request then costs a map lookup and a scan of the routes of its host name.
//!
//! ```
//! use kelpworks_relay::config::Configuration;
//! use kelpworks_relay::config::RoutingTable;
//!
//! let table = RoutingTable::new(Configuration::default());
//! assert!(table.route("a.example", "/x/").is_none());
//! ```

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::contention::UrgencyLevels;

/// How the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// A request is answered by a stream of events.
    Stream {
        /// Whether another upstream can continue the stream after the last event that was read.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run already can be retried.
    pub fn is_retryable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Whether a single upstream runs a request and answers it whole.
    pub fn is_call(self) -> bool {
        !matches!(self, RouteKind::Stream { .. })
    }
}

/// A service that receives part of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share of the traffic, relative to the weights of the other targets.
    pub weight: u32,
}

/// A rule that assigns requests to services by host name and path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Host name of the requests, in lower case.
    pub host: Box<str>,
    /// Prefix of the request path, beginning and ending with a slash.
    pub prefix: Box<str>,
    /// How requests may be retried.
    pub kind: RouteKind,
    /// Services that receive the requests; at least one.
    pub targets: Vec<Target>,
    /// Maximum time from the arrival of a request to its final answer.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value.
    pub latency_target: Duration,
    /// Maximum pause between two events of a stream that is on time.
    pub gap_target: Duration,
    /// Maximum number of upstreams that one request may be sent to. 0 is configured by mistake; a
    /// [`RoutingTable`] has 1 in its place.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Name, as upstreams register it.
    pub name: Arc<str>,
    /// Memory for weights and KV cache, in megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Factor on the time of a decode step, including the part that depends on the context.
    pub step_factor: f64,
    /// Factor on the time of prefill.
    pub read_factor: f64,
}

/// Speeds and sizes of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of layers of the model.
    pub layers: u16,
    /// Size of a layer's weights, in megabytes (10^6 bytes).
    pub layer_mb: f64,
    /// Bytes of KV cache per token, over all layers.
    pub kv_token_bytes: f64,
    /// Time of a decode step over all layers at factor 1, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding sequence adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// Time that each sequence adds to a step per 1,000 tokens of its context, in milliseconds.
    pub context_ms: f64,
    /// Prefill rate over all layers at factor 1, in tokens per second.
    pub read_per_s: f64,
    /// Time to load the weights of all layers, in seconds.
    pub load_s: f64,
    /// Typical number of tokens in a prompt.
    pub typical_prompt_tokens: f64,
    /// Typical number of tokens in an answer.
    pub typical_answer_tokens: f64,
    /// Kinds of accelerators that engines may have.
    pub kinds: Vec<Accelerator>,
}

impl EngineProfile {
    /// Returns the kind of accelerator of this name.
    pub fn kind(&self, name: &str) -> Option<&Accelerator> {
        self.kinds.iter().find(|k| &*k.name == name)
    }

    /// Returns the KV cache capacity beside `layers` layers, in token-layers (tokens times layers);
    /// 0 when the layers don't fit.
    pub fn kv_capacity(&self, kind: &Accelerator, layers: u16) -> f64 {
        let free_mb = kind.memory_mb - f64::from(layers) * self.layer_mb;
        let token_layer_bytes = self.kv_token_bytes / f64::from(self.layers.max(1));
        (free_mb * 1e6 / token_layer_bytes).max(0.0)
    }

    /// Returns the maximum number of layers whose weights fit into the memory of a kind.
    pub fn max_layers(&self, kind: &Accelerator) -> u16 {
        let fit = (kind.memory_mb / self.layer_mb).floor();
        (fit as u16).min(self.layers)
    }
}

/// A group of upstreams that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique in a configuration.
    pub name: Arc<str>,
    /// Maximum number of connections that each of its upstreams accepts, over all daemons.
    pub max_connections: u32,
    /// Path of the health checks of its upstreams, whose answers name the id; begins with a slash.
    pub health_path: Box<str>,
    /// Present when its upstreams are engines that load ranges of layers.
    pub engine_profile: Option<Arc<EngineProfile>>,
}

/// A customer whose callers share API keys and a priority.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, as sent to upstreams.
    pub name: Arc<str>,
    /// API keys of its callers.
    pub keys: Vec<Box<str>>,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u32>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Time for which an idle connection stays open at least. Callers reuse one that has been idle
    /// for up to four fifths of it.
    pub idle_timeout: Duration,
}

impl CallerLimits {
    /// Returns the time from the moment a connection becomes idle after which it may be closed if
    /// no request head is complete; `None` if both limits are 0, which would close it at once. It
    /// is the sum of both, since a head may begin at the end of the idle time.
    pub fn head_timeout(&self) -> Option<Duration> {
        let sum = self.idle_timeout.saturating_add(self.header_timeout);
        (!sum.is_zero()).then_some(sum)
    }
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known, common values of HTTP servers.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Configuration as published by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with every change; 0 when no configuration is known.
    pub version: u64,
    /// Routes; requests that match none are refused.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Teams; when empty, no request needs an API key.
    pub teams: Vec<Team>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Index of a team in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamIndex(usize);

/// A configuration with indexes for routes and API keys.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    configuration: Configuration,
    /// Indexes of the routes of each host name, the longest prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    by_key: HashMap<Box<str>, TeamIndex>,
    /// Levels of the services whose requests differ in priority.
    urgency_levels: HashMap<Arc<str>, UrgencyLevels>,
}

impl RoutingTable {
    /// Indexes a configuration. A route with 0 attempts gets 1.
    pub fn new(mut configuration: Configuration) -> RoutingTable {
        for route in &mut configuration.routes {
            route.max_attempts = route.max_attempts.max(1);
        }
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
        let urgency_levels = urgency_levels(&configuration);
        RoutingTable {
            configuration,
            by_host,
            by_key,
            urgency_levels,
        }
    }

    /// Returns the urgency levels of a service; `None` if all of its requests have the same priority.
    pub fn urgency_levels(&self, service: &str) -> Option<&UrgencyLevels> {
        self.urgency_levels.get(service)
    }

    /// Returns the version of the configuration; 0 when none is known.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.configuration.limits
    }

    /// Whether requests need an API key unless their route is anonymous.
    pub fn has_teams(&self) -> bool {
        !self.configuration.teams.is_empty()
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.configuration.routes
    }

    /// Returns all services.
    pub fn services(&self) -> &[Service] {
        &self.configuration.services
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration
            .services
            .iter()
            .find(|s| &*s.name == name)
    }

    /// Returns the route of a host name with the longest prefix that matches the path. `host` must
    /// be in lower case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.by_host.get(host)?;
        let mut routes = routes.iter().map(|&i| &self.configuration.routes[i]);
        routes.find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the team to which an API key belongs.
    pub fn team_of(&self, key: &str) -> Option<&Team> {
        let TeamIndex(i) = *self.by_key.get(key)?;
        self.configuration.teams.get(i)
    }
}

/// Returns the levels of the services whose requests differ in priority. A team's priority overrides that of the
/// route; requests without a team have the route's.
fn urgency_levels(configuration: &Configuration) -> HashMap<Arc<str>, UrgencyLevels> {
    let teams = &configuration.teams;
    let of_teams: BTreeSet<u32> = teams.iter().filter_map(|t| t.priority).collect();
    let every_team_overrides = !teams.is_empty() && teams.iter().all(|t| t.priority.is_some());
    let mut by_service: HashMap<Arc<str>, BTreeSet<u32>> = HashMap::new();
    for route in &configuration.routes {
        for target in &route.targets {
            let priorities = by_service.entry(Arc::clone(&target.service)).or_default();
            priorities.extend(&of_teams);
            if route.anonymous || !every_team_overrides {
                priorities.insert(route.priority);
            }
        }
    }
    let services = by_service.into_iter();
    let levels = services.map(|(service, priorities)| (service, UrgencyLevels::new(priorities)));
    levels.filter(|(_, l)| l.is_contended()).collect()
}
