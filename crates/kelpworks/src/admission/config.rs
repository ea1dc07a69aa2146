//! Settings of admission.

use std::time::Duration;

/// Limits and targets of admission control on one daemon.
///
/// ```
/// use kelpworks::admission::Config;
///
/// let cfg = Config { max_waiting: 64, ..Config::default() };
/// assert!(cfg.max_trial_delay < cfg.max_paying_delay);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Maximum number of waiting requests of one class, over all teams. Default 1024.
    pub max_waiting: u32,
    /// Maximum number of waiting requests of one team in one class. Default 256.
    pub max_team_waiting: u32,
    /// Paying requests with a longer expected queue delay are refused. Default 5 s.
    pub max_paying_delay: Duration,
    /// Trial requests with a longer expected queue delay are refused. Default 500 ms, far below
    /// `max_paying_delay`, so that trials are refused before paying requests, and early.
    pub max_trial_delay: Duration,
    /// A request is refused once it has waited this multiple of the maximum expected delay of its
    /// class. Default 2, since the estimate may be off by that factor.
    pub max_wait_factor: u32,
    /// Initial value of both limits: the number of paying requests in service, and the number of
    /// requests in service up to which trials run. Default 64.
    pub initial_limit: u32,
    /// Lower bound of both limits. Default 4.
    pub min_limit: u32,
    /// Upper bound of both limits. Default 4096.
    pub max_limit: u32,
    /// Target time of one token over the whole pipeline. Limits grow while tokens take less than
    /// this, because more concurrent requests give more tokens per second. Default 50 ms. With
    /// engines that do not serve paying steps first, trials may lengthen the tokens of paying
    /// requests up to this time; there, a lower target protects paying callers.
    pub token_target: Duration,
    /// Multiple of the lowest observed token time that replaces `token_target` where it is the
    /// larger of the two, because the target cannot be met there. Default 2.
    pub tolerance: f64,
    /// Interval at which the limits and the trial backstop are adjusted. Default 100 ms.
    pub interval: Duration,
    /// The trial backstop is lowered when a paying request waited longer than this. Default 20 ms.
    pub paying_delay_target: Duration,
    /// Maximum pause of an admitted trial between two tokens; it grows to at most 2 s when many
    /// trials are paused. The bound guarantees progress, so that each admitted trial completes.
    /// Default 250 ms.
    pub trial_pause: Duration,
    /// Minimum and maximum of [`Refusal::retry_after`](crate::admission::Refusal::retry_after).
    /// Default 200 ms to 30 s.
    pub retry_after: (Duration, Duration),
    /// Seed of the jitter in `retry_after`. With `None`, the default, the system provides one.
    pub seed: Option<u64>,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_waiting: 1024,
            max_team_waiting: 256,
            max_paying_delay: Duration::from_secs(5),
            max_trial_delay: Duration::from_millis(500),
            max_wait_factor: 2,
            initial_limit: 64,
            min_limit: 4,
            max_limit: 4096,
            token_target: Duration::from_millis(50),
            tolerance: 2.0,
            interval: Duration::from_millis(100),
            paying_delay_target: Duration::from_millis(20),
            trial_pause: Duration::from_millis(250),
            retry_after: (Duration::from_millis(200), Duration::from_secs(30)),
            seed: None,
        }
    }
}
