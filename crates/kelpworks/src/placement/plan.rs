//! Plans: the stages of each model and the hosts of each stage.

use std::fmt;
use std::sync::Arc;

use super::input::HostKey;
use super::input::HostRange;
use super::input::Input;
use crate::fleet::DomainKey;
use crate::fleet::ModelKey;
use kelpworks_wire::LayerRange;

/// A stage of a model: a range of its layers and the hosts that are to load it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Range within the layers of the model; never empty.
    pub layers: LayerRange,
    /// Its replicas, in key order; each holds all of `layers` and nothing else.
    pub hosts: Vec<HostKey>,
    /// Total tokens a second of its replicas.
    pub rate: f64,
}

/// Placement of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelPlan {
    /// Model that is placed.
    pub model: ModelKey,
    /// Version that its hosts are to load.
    pub version: Arc<str>,
    /// Stages in pipeline order; they cover each layer once.
    pub stages: Vec<Stage>,
}

impl ModelPlan {
    /// Returns the tokens a second of the slowest stage.
    pub fn rate(&self) -> f64 {
        let rates = self.stages.iter().map(|s| s.rate);
        rates.fold(f64::INFINITY, f64::min)
    }
}

/// A requirement that the hosts can't meet, or for which the search found no solution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    /// No live host may load the model and has memory for a layer of it; the plan omits the model.
    Unplaceable {
        /// Model that is not in [`Plan::models`].
        model: ModelKey,
    },
    /// The stage has no replica, so the model can't be served.
    NoReplica {
        /// Model that can't be served.
        model: ModelKey,
        /// Index of the stage in [`ModelPlan::stages`].
        stage: u16,
    },
    /// The stage has one replica; the loss of its host interrupts the model.
    OneHost {
        /// Model that would be interrupted.
        model: ModelKey,
        /// Index of the stage in [`ModelPlan::stages`].
        stage: u16,
    },
    /// All replicas of the stage are in one failure domain; its loss interrupts the model.
    OneFailureDomain {
        /// Model that would be interrupted.
        model: ModelKey,
        /// Index of the stage in [`ModelPlan::stages`].
        stage: u16,
    },
}

/// The stage that a host is to load and run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// Model of the stage.
    pub model: ModelKey,
    /// Index of the stage in [`ModelPlan::stages`].
    pub stage: u16,
}

/// Why a host has its stage, or has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The host has already loaded these layers.
    AlreadyLoaded,
    /// Without the host the stage would have replicas in fewer than two failure domains.
    FailureDomain,
    /// The host adds rate to the stage, so that the rates of the stages are balanced.
    Rate,
    /// No stage: the host is down or leaving.
    NotLive,
    /// No stage: the host may load none of the models.
    NoModel,
    /// No stage: no stage of the models that the host may load fits in its memory.
    TooLittleMemory,
    /// No stage: none of the stages that fit on the host would gain by it.
    Spare,
}

impl Reason {
    /// Returns the value of the log key `reason`.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::AlreadyLoaded => "held",
            Reason::FailureDomain => "failure-domain",
            Reason::Rate => "rate",
            Reason::NotLive => "not-live",
            Reason::NoModel => "no-model",
            Reason::TooLittleMemory => "too-little-memory",
            Reason::Spare => "spare",
        }
    }
}

/// The assignment of one host and its reason. `Display` writes it as `key=value` pairs for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Host name in the register.
    pub host: Arc<str>,
    /// Its stage; `None` when it has none.
    pub assignment: Option<AssignmentDetails>,
    /// Why it has this stage or none.
    pub reason: Reason,
}

/// The stage of a host, with names in place of keys.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignmentDetails {
    /// Name of the model.
    pub model: Arc<str>,
    /// Version of the model to load.
    pub version: Arc<str>,
    /// Index of the stage in [`ModelPlan::stages`].
    pub stage: u16,
    /// Layers of the stage.
    pub layers: LayerRange,
    /// Tokens a second of all replicas of the stage.
    pub stage_rate: f64,
    /// Tokens a second of the model's slowest stage.
    pub model_rate: f64,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "host={} reason={}", self.host, self.reason.as_str())?;
        let Some(a) = &self.assignment else {
            return Ok(());
        };
        write!(
            f,
            " model={} version={} stage={}",
            a.model, a.version, a.stage
        )?;
        write!(f, " layers={}..{}", a.layers.first, a.layers.end)?;
        write!(
            f,
            " stage_rate={:.1} model_rate={:.1}",
            a.stage_rate, a.model_rate
        )
    }
}

/// Placement of all models.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// One for each model that can be placed, in key order.
    pub models: Vec<ModelPlan>,
    /// By [`HostKey`], the stage of the host. Consistent with [`Stage::hosts`].
    pub assignments: Vec<Option<Assignment>>,
    /// Requirements that the plan does not meet.
    pub shortfalls: Vec<Shortfall>,
}

impl Plan {
    /// Returns the placement of a model, or `None` when the plan omits it.
    pub fn model(&self, model: ModelKey) -> Option<&ModelPlan> {
        self.models.iter().find(|m| m.model == model)
    }

    /// Returns the model and layers that a host is to load; `None` when it has no stage.
    pub fn layers(&self, host: HostKey) -> Option<(ModelKey, &LayerRange)> {
        let assigned = self.assignments.get(host.index())?.as_ref()?;
        let stage = &self.model(assigned.model)?.stages[usize::from(assigned.stage)];
        Some((assigned.model, &stage.layers))
    }

    /// Returns the scale at which every model is served: the least ratio of rate to demand of all
    /// models, or 0 when the plan omits a model. [`Input::bound`] is its upper bound.
    pub fn scale(&self, input: &Input) -> f64 {
        if self.models.len() < input.models.len() {
            return 0.0;
        }
        let scales = self
            .models
            .iter()
            .map(|m| m.rate() / input.model(m.model).demand);
        scales.fold(f64::INFINITY, f64::min)
    }

    /// Returns whether every stage keeps a replica without the hosts for which `lost` returns true.
    pub fn survives_loss_of(&self, lost: impl Fn(HostKey) -> bool) -> bool {
        let mut stages = self.models.iter().flat_map(|m| &m.stages);
        stages.all(|s| s.hosts.iter().any(|&h| !lost(h)))
    }

    /// Returns whether every stage keeps a replica without the hosts of this failure domain.
    pub fn survives_loss_of_domain(&self, input: &Input, domain: DomainKey) -> bool {
        self.survives_loss_of(|h| input.host(h).domain == domain)
    }

    /// Returns the bytes that all hosts together have to load to get from the loaded ranges to this
    /// plan.
    pub fn bytes_to_load(&self, input: &Input) -> u64 {
        let keys = input.host_keys();
        keys.map(|h| self.missing_bytes(input, h)).sum()
    }

    /// Returns the bytes that one host has to load. Engines load a range as a whole, so this is the
    /// size of the whole stage unless all of it is loaded.
    fn missing_bytes(&self, input: &Input, host: HostKey) -> u64 {
        let Some((model, layers)) = self.layers(host) else {
            return 0;
        };
        let spec = input.model(model);
        let is_loaded = input.loaded_ranges.iter().any(|r| {
            r.host == host
                && r.model == model
                && r.version == spec.version
                && covers(&r.layers, layers)
        });
        if is_loaded {
            return 0;
        }
        u64::from(layers.end - layers.first) * spec.layer_size.0
    }

    /// Returns the ranges that hosts have loaded once the plan is carried out.
    pub fn host_ranges(&self, input: &Input) -> Vec<HostRange> {
        let range = |host| {
            let (model, layers) = self.layers(host)?;
            Some(HostRange {
                host,
                model,
                version: self.model(model)?.version.clone(),
                layers: layers.clone(),
            })
        };
        input.host_keys().filter_map(range).collect()
    }

    /// Returns the number of hosts that have a stage and have not loaded all of it.
    pub fn moves(&self, input: &Input) -> usize {
        let keys = input.host_keys();
        keys.filter(|&h| self.missing_bytes(input, h) > 0).count()
    }

    /// Returns the assignment of a host and its reason.
    ///
    /// # Panics
    ///
    /// When the plan is not of this input.
    pub fn explain(&self, input: &Input, host: HostKey) -> Decision {
        let assignment =
            self.assignments[host.index()].and_then(|a| self.assignment_details(input, a));
        Decision {
            host: input.host(host).name.clone(),
            assignment,
            reason: self.reason(input, host),
        }
    }

    fn assignment_details(
        &self,
        input: &Input,
        assignment: Assignment,
    ) -> Option<AssignmentDetails> {
        let planned = self.model(assignment.model)?;
        let stage = &planned.stages[usize::from(assignment.stage)];
        Some(AssignmentDetails {
            model: input.model(assignment.model).name.clone(),
            version: planned.version.clone(),
            stage: assignment.stage,
            layers: stage.layers.clone(),
            stage_rate: stage.rate,
            model_rate: planned.rate(),
        })
    }

    fn reason(&self, input: &Input, host: HostKey) -> Reason {
        let Some(assigned) = self.assignments[host.index()] else {
            return self.unassigned_reason(input, host);
        };
        if self.missing_bytes(input, host) == 0 {
            return Reason::AlreadyLoaded;
        }
        let planned = self.model(assigned.model);
        let stage = planned.map(|m| &m.stages[usize::from(assigned.stage)]);
        let replicas = stage.into_iter().flat_map(|s| &s.hosts);
        let mut domains: Vec<u16> = replicas
            .filter(|&&h| h != host)
            .map(|&h| input.host(h).domain.0)
            .collect();
        domains.sort_unstable();
        domains.dedup();
        if domains.len() < 2 {
            return Reason::FailureDomain;
        }
        Reason::Rate
    }

    fn unassigned_reason(&self, input: &Input, host: HostKey) -> Reason {
        let spec = input.host(host);
        if !spec.live {
            return Reason::NotLive;
        }
        if spec.models.is_empty() {
            return Reason::NoModel;
        }
        let fits = |m: &ModelPlan| {
            let capacity = input.layer_capacity(host, m.model);
            let mut stages = m.stages.iter();
            stages.any(|s| s.layers.end - s.layers.first <= capacity)
        };
        if self.models.iter().any(fits) {
            return Reason::Spare;
        }
        Reason::TooLittleMemory
    }
}

/// Returns whether a range contains all layers of another.
pub(super) fn covers(outer: &LayerRange, inner: &LayerRange) -> bool {
    outer.first <= inner.first && inner.end <= outer.end
}
