//! Settings of one daemon: its name, addresses and failure domain, and where the platform is.
//!
//! Each host has its own file; what the whole fleet shares is in the register
//! and the rules instead. Tables `log`, `limits`, `timing` and `placement` may be left out.
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
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Addresses it listens on.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: Platform,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`. Default `info`.
    pub log_level: String,
    /// Bounds on requests.
    pub limits: Limits,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// How this daemon takes part in placement.
    pub placement: Placement,
}

impl Settings {
    /// Reads settings from their TOML text; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// The first fault by line: not TOML, an unknown or missing key, a wrong
    /// unit, an address twice, a URL with a password, an amount of 0.
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        check::parse(file, text, None)
    }

    /// Reads settings and checks their failure domain against a register.
    ///
    /// # Errors
    ///
    /// As [`Settings::parse`], and when the register lacks the failure domain.
    pub fn parse_with_register(file: &str, text: &str, register: &Register) -> Result<Settings> {
        check::parse(file, text, Some(register))
    }
}

/// Addresses of a daemon; port 0 takes a free one.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators: metrics, health and status.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// Base URLs of the platform's services.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// The object API.
    pub object_api: String,
    /// The host list.
    pub host_list: String,
}

/// Bounds on requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest request body, in bytes; key `body`, a size. Default 1 MiB.
    pub body_bytes: u64,
    /// Most tokens that one request may generate. Default 4096.
    pub max_tokens: u32,
    /// Requests waiting for admission, at most. Default 1024.
    pub queue: u32,
    /// Writes a second to the object API that the whole fleet of daemons may spend on claims.
    /// Default 200.
    pub claim_writes_per_second: u32,
    /// Time between tokens that is aimed at under load: a longer one lets more requests run at
    /// once and gives more tokens a second, a shorter one answers sooner. Default 50 ms.
    pub token_target: DurationSetting,
}

/// Timeouts and intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Longest time for a whole request. Default 120 s.
    pub request: DurationSetting,
    /// Longest time to open a connection. Default 1 s.
    pub connect: DurationSetting,
    /// Least progress deadline of a step. Default 50 ms.
    pub step_floor: DurationSetting,
    /// Greatest progress deadline of a step. Default 5 s.
    pub step_ceiling: DurationSetting,
    /// How often upstreams are asked for their state. Default 500 ms.
    pub state_poll: DurationSetting,
    /// How often the host list is read. Default 1 s.
    pub host_list_poll: DurationSetting,
    /// Longest wait of an object API watch before it is opened anew. Default 700 ms: a watch that was
    /// lost hides changes for this long and a second, and they are to be in force within three.
    pub watch: DurationSetting,
    /// How often a heartbeat goes to peers. Default 1 s.
    pub heartbeat: DurationSetting,
    /// How long a planned stop still takes requests once the balancer's check fails; longer than
    /// the balancer needs to notice. Default 2 s.
    pub balancer_notice: DurationSetting,
    /// How long a planned stop waits for requests in flight. Default 60 s.
    pub drain: DurationSetting,
}

/// How a daemon takes part in placement. The times of the lease must be the same on all daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Whether it may take the placement lease and order engines. Default true.
    pub enabled: bool,
    /// Length of the placement lease. Default 10 s.
    pub lease: DurationSetting,
    /// Longest time from an order to its effect; at most a third of the lease. Default 2 s.
    pub order_bound: DurationSetting,
    /// Time between two looks at the fleet. Default 1 s.
    pub interval: DurationSetting,
    /// How long a host may be down before its layers are placed elsewhere. Default 10 s.
    pub lost_after: DurationSetting,
    /// How long hosts must stay as they are before a better placement is looked for. Default 60 s.
    pub improve_after: DurationSetting,
    /// What the weight store delivers to the whole fleet. Default 1 GB/s.
    pub weight_rate: Rate,
}
