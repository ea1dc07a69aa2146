//! Task that sets admission's trial rate to this daemon's share of the fleet's.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::Peers;
use super::share::Demand;
use super::share::fair_share;
use super::share::fleet_positions;
use crate::active_config::ActiveConfig;
use crate::admission::Admission;
use crate::register::Register;

/// Interval of updates; demand is measured over one interval.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Updates the trial rate periodically and on each configuration.
#[derive(Debug)]
pub(crate) struct TrialShare {
    pub(crate) peers: Peers,
    pub(crate) admission: Admission,
    pub(crate) config: Arc<ArcSwap<ActiveConfig>>,
    /// Changes with each activated configuration.
    pub(crate) register: watch::Receiver<Arc<Register>>,
}

impl TrialShare {
    /// Runs until `stop`.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let mut tick = tokio::time::interval(UPDATE_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut demand = Demand::default();
        let mut previous_total = 0;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                // Without delay: until a rate is set, trials take all available capacity, and each
                // accepted trial is completed.
                Ok(()) = self.register.changed() => {
                    self.set_rate(demand.reported());
                    continue;
                }
                _ = tick.tick() => {}
            }
            let total_demand = self.admission.trial_demand();
            let own = demand.observe(total_demand - previous_total);
            previous_total = total_demand;
            self.peers.set_trial_demand(own);
            self.set_rate(own);
        }
    }

    fn set_rate(&self, own: u32) {
        let config = self.config.load();
        if config.generation == 0 {
            return;
        }
        let fleet_rate = config.rules.trial_share * fleet_positions(&config.register);
        let rate = fair_share(fleet_rate, own, &self.peers.trial_demands());
        metrics::gauge!("kelpworks_trial_rate").set(rate);
        self.admission.set_trial_rate(rate);
    }
}
