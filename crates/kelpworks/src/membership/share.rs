//! This daemon's part of what trials may take of the whole fleet.
//!
//! ```
//! use kelpworks::membership::share::fair_share;
//!
//! // A fifth of the demand gets a fifth of the rate, whoever else is there.
//! assert_eq!(fair_share(1_000.0, 200, &[500, 300]), 200.0);
//! // Without any demand, all get the same.
//! assert_eq!(fair_share(900.0, 0, &[0, 0]), 300.0);
//! ```
//!
//! The parts of daemons that see the same members and samples add up to the whole. Since they see
//! changes at different times, the sum is off for as long as news takes to spread.

use crate::register::HostRole;
use crate::register::Register;

/// Least weight of a daemon, as a part of the mean demand: a daemon that trials turn to next has
/// something to give them at once.
const MIN_WEIGHT: f64 = 0.02;

/// The part of `rate` that falls to a daemon by its demand and that of the other live ones.
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

/// Positions a second that the whole fleet runs, by the register: layers of one token a second
/// over the layers of a model. With several models it is that of the deepest, so that the share
/// is kept whichever the trials ask for.
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

/// Weight of what came before in the smoothed demand.
const PREVIOUS_DEMAND_WEIGHT: f64 = 0.5;
/// A smoothed demand is told again when it differs by more than this part from what was told.
const REPORT_THRESHOLD: f64 = 0.1;

/// Smoothed demand of one daemon, in positions a second, and what its peers were told of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    smoothed: f64,
    reported: u32,
}

impl Demand {
    /// What peers should know, in positions a second.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// Notes the positions that trials asked for in the last second; returns what peers should
    /// know, which changes only when the demand does by more than a tenth.
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
