//! Bounds and targets of admission.

use std::time::Duration;

/// Bounds and targets of admission.
///
/// ```
/// use kelpworks::admission::Config;
///
/// let cfg = Config { max_waiting: 64, ..Config::default() };
/// assert!(cfg.max_trial_delay < cfg.max_paying_delay);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Requests waiting, at most, over all teams of a class. Default 1024.
    pub max_waiting: u32,
    /// Requests of one team waiting, at most. Default 256.
    pub max_team_waiting: u32,
    /// Longest expected queue delay of a paying request that is queued. Default 5 s.
    pub max_paying_delay: Duration,
    /// Longest expected queue delay of a trial request that is queued. Default 500 ms, far below
    /// that of paying ones, so that trials are refused first and early.
    pub max_trial_delay: Duration,
    /// A request that has waited so many times its longest expected delay is refused. Default 2:
    /// the estimate may be off by as much.
    pub max_wait_factor: u32,
    /// Paying requests in service, and room for trials, at the start. Default 64.
    pub initial_limit: u32,
    /// The least that either falls to. Default 4.
    pub min_limit: u32,
    /// The greatest that either grows to. Default 4096.
    pub max_limit: u32,
    /// Token time that is aimed at: limits grow up to it, as more requests at once mean more
    /// tokens a second. Default 50 ms. Before engines that do not serve paying steps first, trials
    /// lengthen paying tokens up to this; there, a lower one protects paying callers.
    pub token_target: Duration,
    /// Where the floor of the token time is so high that the target cannot be met: the multiple
    /// of the floor that is aimed at instead. Default 2.
    pub tolerance: f64,
    /// How often limit and trial backstop are adjusted. Default 100 ms.
    pub interval: Duration,
    /// Trials give way when a paying request waited longer than this. Default 20 ms.
    pub paying_delay_target: Duration,
    /// Longest pause of an admitted trial between two tokens: it always makes progress, so it is
    /// answered whole. Where many hold, up to 2 s. Default 250 ms.
    pub trial_pause: Duration,
    /// Least and greatest `retry_after` of a refusal. Default 200 ms to 30 s.
    pub retry_after: (Duration, Duration),
    /// Seed of the jitter in `retry_after`; `None`, the default, takes one from the system.
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
