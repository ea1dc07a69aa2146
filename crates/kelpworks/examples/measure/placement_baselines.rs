//! Baselines for placement: simple assignments of hosts to stages of equal length.

use kelpworks::fleet::ModelKey;
use kelpworks::placement;
use kelpworks::placement::HostKey;
use kelpworks::placement::Input;

/// A stage of a baseline.
struct Stage {
    model: ModelKey,
    length: u32,
    rate: f64,
    hosts: Vec<HostKey>,
}

/// A placement that ignores failure domains.
pub(crate) struct Baseline {
    stages: Vec<Stage>,
}

impl Baseline {
    /// The same measure as `Plan::scale`.
    pub(crate) fn scale(&self, input: &Input) -> f64 {
        let scales = self.stages.iter().map(|s| scale(input, s, s.rate));
        scales.fold(f64::INFINITY, f64::min)
    }

    /// The same check as `Plan::survives_loss_of`.
    pub(crate) fn survives_loss_of(&self, lost: impl Fn(HostKey) -> bool) -> bool {
        self.stages
            .iter()
            .all(|s| s.hosts.iter().any(|&h| !lost(h)))
    }

    /// Link latency of a token, summed over models by demand.
    pub(crate) fn latency(&self, input: &Input) -> f64 {
        let of_model = |m: usize| {
            let model = ModelKey(m as u16);
            let stages = self.stages.iter().filter(|s| s.model == model);
            let hosts: Vec<&[HostKey]> = stages.map(|s| s.hosts.as_slice()).collect();
            placement::link_latency(input, &hosts) * input.model(model).demand
        };
        (0..input.models.len()).map(of_model).sum()
    }

    fn push(&mut self, input: &Input, stage: usize, host: HostKey) {
        self.stages[stage].rate += input.host(host).layer_rate;
        self.stages[stage].hosts.push(host);
    }
}

fn scale(input: &Input, stage: &Stage, rate: f64) -> f64 {
    rate / (f64::from(stage.length) * input.model(stage.model).demand)
}

/// Splits each model into stages of equal length that every host allowed to load it has memory for;
/// no hosts are assigned yet.
fn equal_stages(input: &Input) -> Baseline {
    let mut stages = Vec::new();
    for m in 0..input.models.len() {
        let model = ModelKey(m as u16);
        let layers = input.model(model).layers;
        let capacities = input.host_keys().map(|h| input.layer_capacity(h, model));
        let least = capacities.filter(|&c| c > 0).min().unwrap_or(layers);
        let count = layers.div_ceil(least);
        for s in 0..count {
            let length = layers * (s + 1) / count - layers * s / count;
            stages.push(Stage {
                model,
                length,
                rate: 0.0,
                hosts: Vec::new(),
            });
        }
    }
    Baseline { stages }
}

/// Assigns the hosts, in the register's order, to the stages in turn.
pub(crate) fn equal_layers(input: &Input) -> Baseline {
    let mut base = equal_stages(input);
    let mut next = 0;
    for host in input.host_keys() {
        let count = base.stages.len();
        let turn = (0..count).map(|i| (next + i) % count);
        let fits = |&s: &usize| fits(input, &base.stages[s], host);
        if let Some(stage) = turn.into_iter().find(fits) {
            base.push(input, stage, host);
            next = stage + 1;
        }
    }
    base
}

/// Assigns the hosts, fastest first, each to the slowest stage that it fits; same stages as
/// [`equal_layers`].
pub(crate) fn greedy(input: &Input) -> Baseline {
    let mut base = equal_stages(input);
    let mut hosts: Vec<HostKey> = input.host_keys().collect();
    let rate = |h: &HostKey| input.host(*h).layer_rate;
    hosts.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
    for host in hosts {
        let fitting = (0..base.stages.len()).filter(|&s| fits(input, &base.stages[s], host));
        let scaled = fitting.map(|s| (scale(input, &base.stages[s], base.stages[s].rate), s));
        if let Some((_, stage)) = scaled.min_by(|a, b| a.0.total_cmp(&b.0)) {
            base.push(input, stage, host);
        }
    }
    base
}

fn fits(input: &Input, stage: &Stage, host: HostKey) -> bool {
    input.layer_capacity(host, stage.model) >= stage.length
}
