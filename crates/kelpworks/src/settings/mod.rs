//! Settings of one daemon: its name, addresses and failure domain, and the platform's URLs.
//!
//! Each host has its own file. What the whole fleet shares is in the register and the rules
//! instead. The tables `log`, `limits`, `timing` and `placement` are optional.
//!
//! ```
//! use kelpworks::settings::Settings;
//!
//! let text = r#"
//! name = "entry-1"
//! failure_domain = "hall-a"
//!
//! [listen]
//! callers = "10.0.0.1:8080"
//! operators = "10.0.0.1:9090"
//! peers = "10.0.0.1:7070"
//!
//! [platform]
//! object_api = "http://10.0.1.1:8000"
//! host_list = "http://10.0.1.2:8000"
//! "#;
//! let settings = Settings::parse("settings.toml", text)?;
//! assert_eq!(settings.limits.queue, 1024);
//! # Ok::<(), kelpworks::config::document::Error>(())
//! ```

mod check;
mod file;

use std::net::SocketAddr;

use crate::host_limits::HostLimits;
use crate::register::Register;
use crate::units::DurationSetting;
use crate::units::Rate;

pub use crate::config::document::Error;
pub use crate::config::document::Result;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon, unique among daemons.
    pub name: String,
    /// Name of the failure domain that contains the daemon's host.
    pub failure_domain: String,
    /// Addresses on which the daemon listens.
    pub listen: Listen,
    /// Base URLs of the platform's services.
    pub platform: Platform,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`. Default `info`.
    pub log_level: String,
    /// Limits on requests and on claim writes.
    pub limits: Limits,
    /// What the daemon's host has for it.
    pub host: Host,
    /// Timeouts and intervals outside placement.
    pub timing: Timing,
    /// Lease, timing and weight rate of placement.
    pub placement: Placement,
}

impl Settings {
    /// Parses and checks settings. `file` is their name in errors.
    ///
    /// # Errors
    ///
    /// Text that is not TOML, an unknown or missing key, or a wrong unit. Otherwise the first error
    /// by line, such as a malformed name, a duplicate address, a URL with a password, an amount of
    /// 0, or a lease that is too short for the order bound.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        check::parse(file, text, None)
    }

    /// Parses settings and also checks that the register defines their failure domain.
    ///
    /// # Errors
    ///
    /// Those of [`Settings::parse`], and a failure domain that the register does not define.
    pub fn parse_with_register(file: &str, text: &str, register: &Register) -> Result<Settings> {
        check::parse(file, text, Some(register))
    }
}

/// Addresses on which a daemon listens. With port 0 the system chooses a free port.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators: metrics, health and status.
    pub operators: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
}

/// Base URLs of the platform's services, `http` or `https` without user or password.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Base URL of the object API.
    pub object_api: String,
    /// Base URL of the host list.
    pub host_list: String,
}

/// Limits on requests and on claim writes.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body in bytes. The key is `body`, with a unit. Default 1 MiB.
    pub body_bytes: u64,
    /// Maximum number of tokens that one request may generate. Default 4096.
    pub max_tokens: u32,
    /// Maximum number of requests waiting for admission. Default 1024.
    pub queue: u32,
    /// Maximum rate of writes to the object API for claims, in writes per second for all daemons of
    /// the fleet together. Default 200.
    pub claim_writes_per_second: u32,
    /// Target time between the tokens of a request under load. A longer time lets more requests run
    /// at once and gives more tokens per second, a shorter one gives faster responses. Default
    /// 50 ms.
    pub token_target: DurationSetting,
}

/// What a host has for a daemon; see [`HostLimits`] for what others may use of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Host {
    /// Memory, in bytes. The key is `memory`, with a unit. Default 256 MB.
    pub memory_bytes: Option<u64>,
    /// File descriptors. Default those that the operating system allows the process.
    pub descriptors: Option<u32>,
}

impl Host {
    /// Returns the limits of the host.
    pub fn limits(&self) -> HostLimits {
        let memory_bytes = self.memory_bytes.map(|n| n as usize);
        HostLimits::new(memory_bytes, self.descriptors.map(|n| n as usize))
    }
}

/// Timeouts and intervals outside placement. All are above 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Timeout of a whole request. Default 120 s.
    pub request: DurationSetting,
    /// Timeout for opening a connection. Default 1 s.
    pub connect: DurationSetting,
    /// Minimum progress deadline of a step; at most `step_ceiling`. Default 50 ms.
    pub step_floor: DurationSetting,
    /// Maximum progress deadline of a step. Default 5 s.
    pub step_ceiling: DurationSetting,
    /// Interval at which upstreams are polled for their state. Default 500 ms.
    pub state_poll: DurationSetting,
    /// Interval at which the host list is polled. Default 1 s.
    pub host_list_poll: DurationSetting,
    /// Maximum wait of a watch on the object API before it is reopened. Default 700 ms: a lost
    /// watch hides changes for this time plus one second, and changes must be active within three
    /// seconds.
    pub watch: DurationSetting,
    /// Interval of heartbeats to peers. Default 1 s.
    pub heartbeat: DurationSetting,
    /// Time during which a daemon in a planned stop still accepts requests, after it has begun to
    /// fail the load balancer's check. Must be longer than the balancer needs to notice.
    /// Default 2 s.
    pub balancer_notice: DurationSetting,
    /// Maximum time that a planned stop waits for requests in flight. Default 60 s.
    pub drain: DurationSetting,
}

/// Settings of placement. `lease` and `order_bound` must be the same on all daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Whether the daemon may acquire the placement lease and send orders to engines. Default true.
    pub enabled: bool,
    /// Duration of the placement lease. Default 10 s.
    pub lease: DurationSetting,
    /// Maximum time from an order to its effect; at most a third of `lease`. Default 2 s.
    pub order_bound: DurationSetting,
    /// Interval between the starts of two placement rounds. Default 1 s.
    pub interval: DurationSetting,
    /// Time a host may be down before its layers are placed elsewhere. Default 10 s.
    pub lost_after: DurationSetting,
    /// Time that liveness and rates of all hosts must be unchanged before a better placement is
    /// searched for. Default 60 s.
    pub improve_after: DurationSetting,
    /// Rate at which the weight store delivers weights to all hosts together. Default 1 GB/s.
    pub weight_rate: Rate,
}
