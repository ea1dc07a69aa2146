//! Settings of a relaying daemon, in TOML.
//!
//! ```
//! use kelpworks_relay::settings::Settings;
//!
//! let text = r#"
//! name = "entry-1"
//! failure_domain = "hall-a"
//!
//! [listen]
//! callers = "10.0.0.1:8080"
//! readiness = "10.0.0.1:8081"
//! operators = "10.0.0.1:9464"
//! peers = "10.0.0.1:7070"
//!
//! [store]
//! address = "10.0.1.1:8000"
//!
//! [stop]
//! grace = "8 s"
//!
//! [repeats]
//! window = "10 s"
//! ratio = 0.2
//! slack = 198.0
//! "#;
//! let settings = Settings::parse(text)?;
//! assert_eq!(settings.stop.grace.0.as_secs(), 8);
//! # Ok::<(), kelpworks_relay::settings::Error>(())
//! ```

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use kelpworks::host_limits::HostLimits;
use kelpworks::units::DurationSetting;
use serde::Deserialize;
use thiserror::Error;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Least memory of a host, in megabytes (10^6 bytes): a daemon without callers takes two thirds of it.
const MIN_MEMORY_MB: f64 = 32.0;
/// Largest memory of a host, in megabytes (10^6 bytes).
const MAX_MEMORY_MB: f64 = 1e6;
/// Least number of file descriptors: those for files and a few connections of each kind.
const MIN_DESCRIPTORS: u32 = 256;

/// Reason why settings can't be used.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid TOML or does not match [`Settings`]. The message names the line and
    /// key.
    #[error("settings: {0}")]
    Parse(#[from] toml::de::Error),
    /// A value is out of its range.
    #[error("settings: {key}: {requirement}")]
    Value {
        /// Full name of the key, such as `stop.grace`.
        key: &'static str,
        /// Requirement that the value does not meet.
        requirement: &'static str,
    },
}

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this daemon, unique among daemons.
    pub name: String,
    /// Failure domain of this daemon's host.
    pub failure_domain: String,
    /// Addresses on which it accepts connections.
    pub listen: Listen,
    /// The platform's store.
    pub store: Store,
    /// How it finds other daemons.
    #[serde(default)]
    pub peers: Peers,
    /// How it shuts down.
    pub stop: Stop,
    /// Retry budget of the whole fleet.
    pub repeats: RetryBudgetSettings,
    /// What its host has for it.
    #[serde(default)]
    pub host: Host,
    /// How it logs.
    #[serde(default)]
    pub log: Log,
}

/// Addresses on which a daemon accepts connections.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Metrics for operators.
    pub operators: SocketAddr,
    /// Calls of other daemons.
    pub peers: SocketAddr,
    /// Requests that other daemons hand over, on the IP address of `peers`; accepts none if absent.
    #[serde(default)]
    pub handover: Option<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of its HTTP API.
    pub address: SocketAddr,
}

/// How a daemon finds its peers.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Peer addresses (`listen.peers`) of a few daemons, through which it discovers all others.
    /// Some of them may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// How a daemon shuts down.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Maximum time from the signal to the end of the process.
    pub grace: DurationSetting,
}

/// Retry budget that all daemons share, for each service; see [`crate::retry_budget`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Length of the sliding window over which requests and retries are counted.
    pub window: DurationSetting,
    /// Number of retries allowed per request in the window.
    pub ratio: f64,
    /// Number of retries allowed in a window in addition, whatever the number of requests.
    pub slack: f64,
}

/// What a host has for a daemon; see [`HostLimits`] for what others may use of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Memory, in megabytes (10^6 bytes), from 32 to 1,000,000; 256 if absent.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// File descriptors, at least 256; those that the operating system allows the process if absent.
    #[serde(default)]
    pub descriptors: Option<u32>,
}

impl Host {
    /// Returns the limits of the host.
    pub fn limits(&self) -> HostLimits {
        let memory_bytes = self.memory_mb.map(|mb| (mb * 1e6) as usize);
        HostLimits::new(memory_bytes, self.descriptors.map(|n| n as usize))
    }

    fn check(&self) -> Result<()> {
        let invalid = |key, requirement| Err(Error::Value { key, requirement });
        if self
            .memory_mb
            .is_some_and(|mb| !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&mb))
        {
            return invalid("host.memory_mb", "must be from 32 to 1000000");
        }
        if self.descriptors.is_some_and(|n| n < MIN_DESCRIPTORS) {
            return invalid("host.descriptors", "must be at least 256");
        }
        Ok(())
    }
}

/// How a daemon logs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Minimum severity: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            level: "info".to_owned(),
        }
    }
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// When the text is not valid TOML for [`Settings`], or a value is out of range.
    pub fn parse(text: &str) -> Result<Settings> {
        let settings: Settings = toml::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// As [`Settings::parse`], and when the file can't be read.
    pub fn read(path: &Path) -> Result<Settings> {
        let read_error = |source| Error::Read {
            path: path.to_owned(),
            source,
        };
        let text = std::fs::read_to_string(path).map_err(read_error)?;
        Settings::parse(&text)
    }

    fn check(&self) -> Result<()> {
        let invalid = |key, requirement| Err(Error::Value { key, requirement });
        if self.name.is_empty() {
            return invalid("name", "must not be empty");
        }
        if self.stop.grace.0.is_zero() {
            return invalid("stop.grace", "must be longer than 0");
        }
        if self.repeats.window.0.is_zero() {
            return invalid("repeats.window", "must be longer than 0");
        }
        self.host.check()?;
        let numbers = [
            ("repeats.ratio", self.repeats.ratio),
            ("repeats.slack", self.repeats.slack),
        ];
        for (key, number) in numbers {
            if !number.is_finite() || number < 0.0 {
                return invalid(key, "must be a finite number, at least 0");
            }
        }
        let level = self.log.level.parse::<log::LevelFilter>();
        if level.is_err() {
            return invalid("log.level", "must be error, warn, info, debug or trace");
        }
        Ok(())
    }
}
