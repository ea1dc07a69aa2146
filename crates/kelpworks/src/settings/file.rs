//! Settings as deserialized from their file, with defaults for optional keys.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use crate::units::DurationSetting;
use crate::units::Rate;
use crate::units::Size;

/// Top level of the file.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SettingsFile {
    pub(super) name: Spanned<String>,
    pub(super) failure_domain: Spanned<String>,
    pub(super) listen: ListenTable,
    pub(super) platform: PlatformTable,
    #[serde(default)]
    pub(super) log: LogTable,
    #[serde(default)]
    pub(super) limits: LimitsTable,
    #[serde(default)]
    pub(super) host: HostTable,
    #[serde(default)]
    pub(super) timing: TimingTable,
    #[serde(default)]
    pub(super) placement: PlacementTable,
}

/// `[listen]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListenTable {
    pub(super) callers: Spanned<SocketAddr>,
    pub(super) operators: Spanned<SocketAddr>,
    pub(super) peers: Spanned<SocketAddr>,
}

/// `[platform]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlatformTable {
    pub(super) object_api: Spanned<String>,
    pub(super) host_list: Spanned<String>,
}

/// Log level, in lower case in the file.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum LogLevel {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

impl LogLevel {
    /// Returns the level in the form that the logger parses.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
            LogLevel::Trace => "trace",
        }
    }
}

/// `[log]`.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct LogTable {
    pub(super) level: LogLevel,
}

/// `[limits]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct LimitsTable {
    pub(super) body: Spanned<Size>,
    pub(super) max_tokens: Spanned<u32>,
    pub(super) queue: Spanned<u32>,
    pub(super) claim_writes_per_second: Spanned<u32>,
    pub(super) token_target: Spanned<DurationSetting>,
}

impl Default for LimitsTable {
    fn default() -> LimitsTable {
        LimitsTable {
            body: without_span(Size(1 << 20)),
            max_tokens: without_span(4096),
            queue: without_span(1024),
            claim_writes_per_second: without_span(200),
            token_target: millis(50),
        }
    }
}

/// `[host]`.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct HostTable {
    pub(super) memory: Option<Spanned<Size>>,
    pub(super) descriptors: Option<Spanned<u32>>,
}

/// `[timing]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct TimingTable {
    pub(super) request: Spanned<DurationSetting>,
    pub(super) connect: Spanned<DurationSetting>,
    pub(super) step_floor: Spanned<DurationSetting>,
    pub(super) step_ceiling: Spanned<DurationSetting>,
    pub(super) state_poll: Spanned<DurationSetting>,
    pub(super) host_list_poll: Spanned<DurationSetting>,
    pub(super) watch: Spanned<DurationSetting>,
    pub(super) heartbeat: Spanned<DurationSetting>,
    pub(super) balancer_notice: Spanned<DurationSetting>,
    pub(super) drain: Spanned<DurationSetting>,
}

impl Default for TimingTable {
    fn default() -> TimingTable {
        TimingTable {
            request: millis(120_000),
            connect: millis(1_000),
            step_floor: millis(50),
            step_ceiling: millis(5_000),
            state_poll: millis(500),
            host_list_poll: millis(1_000),
            watch: millis(700),
            heartbeat: millis(1_000),
            balancer_notice: millis(2_000),
            drain: millis(60_000),
        }
    }
}

/// `[placement]`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct PlacementTable {
    pub(super) enabled: bool,
    pub(super) lease: Spanned<DurationSetting>,
    pub(super) order_bound: Spanned<DurationSetting>,
    pub(super) interval: Spanned<DurationSetting>,
    pub(super) lost_after: Spanned<DurationSetting>,
    pub(super) improve_after: Spanned<DurationSetting>,
    pub(super) weight_rate: Spanned<Rate>,
}

impl Default for PlacementTable {
    fn default() -> PlacementTable {
        PlacementTable {
            enabled: true,
            lease: millis(10_000),
            order_bound: millis(2_000),
            interval: millis(1_000),
            lost_after: millis(10_000),
            improve_after: millis(60_000),
            weight_rate: without_span(Rate(1_000_000_000)),
        }
    }
}

/// Wraps a default value in an empty span, which marks a key that is absent from the file.
fn without_span<T>(value: T) -> Spanned<T> {
    Spanned::new(0..0, value)
}

fn millis(n: u64) -> Spanned<DurationSetting> {
    without_span(DurationSetting(Duration::from_millis(n)))
}
