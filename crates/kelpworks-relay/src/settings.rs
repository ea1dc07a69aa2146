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

use kelpworks::units::Span;
use serde::Deserialize;
use thiserror::Error;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings can't be used.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// It is not TOML of the right form; tells the line and the key.
    #[error("settings: {0}")]
    Parse(#[from] toml::de::Error),
    /// A value is out of its range.
    #[error("settings: {key}: {requirement}")]
    Value {
        /// The key.
        key: &'static str,
        /// What is wrong.
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
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Addresses it listens on.
    pub listen: Listen,
    /// The store.
    pub store: Store,
    /// Other daemons.
    #[serde(default)]
    pub peers: Peers,
    /// How it stops.
    pub stop: Stop,
    /// The fleet's bound on repeats.
    pub repeats: RetryBudgetSettings,
    /// Its log.
    #[serde(default)]
    pub log: Log,
}

/// Addresses of a daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether it is ready.
    pub readiness: SocketAddr,
    /// For operators: metrics.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
}

/// Other daemons.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Addresses for peers of a few daemons, by which all others are found; some may be down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// How a daemon stops.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Time from the signal to the end of the process.
    pub grace: Span,
}

/// The bound on repeats, for all daemons together.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Length of the window that is counted over.
    pub window: Span,
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
}

/// The log.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Level: `error`, `warn`, `info`, `debug` or `trace`.
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
    /// Reads settings from their text.
    ///
    /// # Errors
    ///
    /// When it is not TOML of this form, or a value is out of its range.
    pub fn parse(text: &str) -> Result<Settings> {
        let settings: Settings = toml::from_str(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Reads settings from a file.
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
        let numbers = [
            ("repeats.ratio", self.repeats.ratio),
            ("repeats.slack", self.repeats.slack),
        ];
        for (key, number) in numbers {
            if !number.is_finite() || number < 0.0 {
                return invalid(key, "must be a number from 0 up");
            }
        }
        let level = self.log.level.parse::<log::LevelFilter>();
        if level.is_err() {
            return invalid("log.level", "must be error, warn, info, debug or trace");
        }
        Ok(())
    }
}
