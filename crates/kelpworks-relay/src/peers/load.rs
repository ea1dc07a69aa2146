//! Estimates the load of all daemons from the reports of some.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::members::Members;
use super::messages::LoadOf;
use crate::fleet::Fleet;
use crate::traffic_plan::Demand;

/// Time for which a load report counts.
pub(super) const LOAD_TTL: Duration = Duration::from_secs(4);

/// Load that one daemon reported of itself.
#[derive(Clone, Debug)]
struct ReportedLoad {
    domain: Arc<str>,
    load: Vec<LoadOf>,
    at: Instant,
}

/// Load reports of other daemons, by daemon name.
#[derive(Clone, Debug, Default)]
pub(super) struct Loads {
    by_name: HashMap<Arc<str>, ReportedLoad>,
}

/// Number of live and of reporting daemons in a failure domain.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    live: u32,
    reporting: u32,
}

impl Count {
    /// Number of live daemons that each reporting daemon represents; at least 1.
    fn live_per_reporting(self) -> f64 {
        (f64::from(self.live) / f64::from(self.reporting.max(1))).max(1.0)
    }
}

impl Loads {
    /// Stores the load report of a daemon, replacing the previous one.
    pub(super) fn learn(
        &mut self,
        name: &Arc<str>,
        domain: &Arc<str>,
        load: &[LoadOf],
        at: Instant,
    ) {
        let report = ReportedLoad {
            domain: Arc::clone(domain),
            load: load.to_vec(),
            at,
        };
        self.by_name.insert(Arc::clone(name), report);
    }

    /// Estimates the load of all other daemons, stores it in the fleet, and returns the demand by
    /// failure domain. The reports within a domain are extrapolated to all live daemons of that
    /// domain. Extrapolating over all domains at once would give the own domain too much weight,
    /// since its daemons are called more often.
    pub(super) fn estimate(
        &mut self,
        members: &Members,
        fleet: &mut Fleet,
        now: Instant,
    ) -> Vec<Demand> {
        let is_live = |name: &Arc<str>| members.get(name).is_some_and(|m| m.is_live());
        self.by_name
            .retain(|name, t| now.duration_since(t.at) < LOAD_TTL && is_live(name));
        let counts = self.counts(members);
        let mut demand: Vec<Demand> = Vec::new();
        fleet.clear_remote_load();
        for report in self.by_name.values() {
            let count = counts.get(&report.domain).copied().unwrap_or_default();
            let factor = count.live_per_reporting();
            let reserved: f64 = report.load.iter().map(|l| l.reserved).sum();
            add_demand(&mut demand, &report.domain, reserved * factor);
            for load in &report.load {
                let upstream = fleet.key_of(&load.instance).and_then(|k| fleet.get_mut(k));
                if let Some(u) = upstream {
                    u.remote_load.running += load.running * factor;
                    u.remote_load.reserved += load.reserved * factor;
                }
            }
        }
        demand
    }

    fn counts(&self, members: &Members) -> HashMap<Arc<str>, Count> {
        let mut counts: HashMap<Arc<str>, Count> = HashMap::new();
        for member in members.live() {
            counts.entry(Arc::clone(&member.domain)).or_default().live += 1;
        }
        for report in self.by_name.values() {
            counts
                .entry(Arc::clone(&report.domain))
                .or_default()
                .reporting += 1;
        }
        counts
    }
}

fn add_demand(demand: &mut Vec<Demand>, domain: &Arc<str>, token_layers: f64) {
    match demand.iter_mut().find(|d| d.domain == *domain) {
        Some(d) => d.token_layers += token_layers,
        None => demand.push(Demand {
            domain: Arc::clone(domain),
            token_layers,
        }),
    }
}
