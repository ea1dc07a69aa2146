//! This daemon's share of the fleet's rate limit for trials.
//!
//! ```
//! use kelpworks::membership::share::fair_share;
//!
//! // A fifth of the demand gets a fifth of the rate, however the rest is distributed.
//! assert_eq!(fair_share(1_000.0, 200, &[500, 300]), 200.0);
//! // Without any demand, all daemons get equal shares.
//! assert_eq!(fair_share(900.0, 0, &[0, 0]), 300.0);
//! ```
//!
//! The shares of daemons that know the same members and samples add up to the limit. Since daemons
//! learn of changes at different times, the sum deviates while gossip propagates.

use crate::register::HostRole;
use crate::register::Register;

/// Minimum weight of a daemon, as a fraction of the mean demand, so that a daemon without demand
/// can serve the first trials at once.
const MIN_WEIGHT: f64 = 0.02;

/// Returns the share of `rate` of a daemon, by its own demand and those of the other live daemons.
pub fn fair_share(rate: f64, own: u32, others: &[u32]) -> f64 {
    let count = others.len() as f64 + 1.0;
    let demands = others.iter().map(|&d| f64::from(d));
    let total: f64 = demands.clone().sum::<f64>() + f64::from(own);
    if total <= 0.0 {
        return rate / count;
    }
    let min_demand = total / count * MIN_WEIGHT;
    let total_weight: f64 =
        demands.map(|d| d.max(min_demand)).sum::<f64>() + f64::from(own).max(min_demand);
    rate * f64::from(own).max(min_demand) / total_weight
}

/// Returns the capacity of the whole fleet by the register, in positions per second: the layers per
/// second of all engines over the layers of a model. With several models, the deepest one counts,
/// so that the limit holds whichever model trials use.
pub fn fleet_positions(register: &Register) -> f64 {
    let layers = register.models.iter().map(|m| m.layers).max().unwrap_or(0);
    if layers == 0 {
        return 0.0;
    }
    let rates = register.hosts.iter().map(|host| match &host.role {
        HostRole::Service(_) => 0.0,
        HostRole::Engine(engine) => {
            let kind = register
                .accelerators
                .iter()
                .find(|a| a.name == engine.accelerator);
            kind.map_or(0.0, |a| a.layer_rate * f64::from(engine.accelerators))
        }
    });
    rates.sum::<f64>() / f64::from(layers)
}

/// Weight of the previous value in the smoothed demand.
const PREVIOUS_DEMAND_WEIGHT: f64 = 0.5;
/// Relative change of the smoothed demand from which it is reported again.
const REPORT_THRESHOLD: f64 = 0.1;

/// Smoothed demand of one daemon in positions per second, and the value last reported to peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    smoothed: f64,
    reported: u32,
}

impl Demand {
    /// Returns the demand reported to peers, in positions per second.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// Records the positions that trials requested in the last second. Returns the demand to report
    /// to peers, which changes only when the smoothed demand differs by more than a tenth.
    pub fn observe(&mut self, requested: u64) -> u32 {
        self.smoothed = self.smoothed * PREVIOUS_DEMAND_WEIGHT
            + requested as f64 * (1.0 - PREVIOUS_DEMAND_WEIGHT);
        let reported = f64::from(self.reported);
        if (self.smoothed - reported).abs() > reported * REPORT_THRESHOLD {
            self.reported = self.smoothed.round() as u32;
        }
        self.reported
    }
}
