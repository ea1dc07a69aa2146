//! A plan: the cuts of each model and the hosts of each stage.

use std::fmt;
use std::sync::Arc;

use super::input::HostKey;
use super::input::HostRange;
use super::input::Input;
use crate::fleet::DomainKey;
use crate::fleet::ModelKey;
use kelpworks_wire::LayerRange;

/// A stage of a model: a range of its layers and the hosts that hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// The layers.
    pub layers: LayerRange,
    /// Its replicas, in key order; each holds all of `layers` and nothing else.
    pub hosts: Vec<HostKey>,
    /// Tokens a second that its replicas run together.
    pub rate: f64,
}

/// Placement of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelPlan {
    /// The model.
    pub model: ModelKey,
    /// Version to hold.
    pub version: Arc<str>,
    /// Its stages; they cover each layer once, in order.
    pub stages: Vec<Stage>,
}

impl ModelPlan {
    /// Tokens a second of the slowest stage.
    pub fn rate(&self) -> f64 {
        let rates = self.stages.iter().map(|s| s.rate);
        rates.fold(f64::INFINITY, f64::min)
    }
}

/// A rule that the fleet can't meet, or that the search found no way to meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    /// No live host may carry the model; the plan leaves it out.
    Unplaceable {
        /// The model.
        model: ModelKey,
    },
    /// The stage has no replica: the model can't be served.
    NoReplica {
        /// The model.
        model: ModelKey,
        /// Index of the stage.
        stage: u16,
    },
    /// The stage stands on one host: its loss stops the model.
    OneHost {
        /// The model.
        model: ModelKey,
        /// Index of the stage.
        stage: u16,
    },
    /// The stage stands in one failure domain: its loss stops the model.
    OneFailureDomain {
        /// The model.
        model: ModelKey,
        /// Index of the stage.
        stage: u16,
    },
}

/// What a host is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assignment {
    /// The model.
    pub model: ModelKey,
    /// Index of the stage in [`ModelPlan::stages`].
    pub stage: u16,
}

/// Why a host got its stage, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It holds these layers already.
    AlreadyLoaded,
    /// Without it the stage would stand in fewer than two failure domains.
    FailureDomain,
    /// It adds rate to the stage; with every stage's rate near the others', none is the bottleneck.
    Rate,
    /// No stage: it is down or leaving.
    NotLive,
    /// No stage: it may carry none of the models.
    NoModel,
    /// No stage: it can't hold the layers of any stage that it may carry.
    TooLittleMemory,
    /// No stage: none of those it could hold would gain by it.
    Spare,
}

impl Reason {
    /// Short name for the log.
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

/// The decision on one host, with its reason. Its `Display` is the body of a log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Host name of the register.
    pub host: Arc<str>,
    /// What it is to do, if anything.
    pub assignment: Option<AssignmentDetails>,
    /// Why.
    pub reason: Reason,
}

/// The stage that a host was given, in names.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignmentDetails {
    /// Name of the model.
    pub model: Arc<str>,
    /// Its version.
    pub version: Arc<str>,
    /// Index of the stage.
    pub stage: u16,
    /// Its layers.
    pub layers: LayerRange,
    /// Tokens a second of the stage.
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
    /// By [`HostKey`]: what the host is to do. Agrees with the stages' hosts.
    pub assignments: Vec<Option<Assignment>>,
    /// Rules that are not met; empty when all are.
    pub shortfalls: Vec<Shortfall>,
}

impl Plan {
    /// Placement of a model.
    pub fn model(&self, model: ModelKey) -> Option<&ModelPlan> {
        self.models.iter().find(|m| m.model == model)
    }

    /// The layers that a host is to hold.
    pub fn layers(&self, host: HostKey) -> Option<(ModelKey, &LayerRange)> {
        let assigned = self.assignments.get(host.index())?.as_ref()?;
        let stage = &self.model(assigned.model)?.stages[usize::from(assigned.stage)];
        Some((assigned.model, &stage.layers))
    }

    /// The scale at which every model is served: the least, over models, of rate over demand.
    /// 0 when a model is left out. Compare with [`Input::bound`].
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

    /// Whether every stage keeps a replica when the hosts that `lost` names are gone.
    pub fn survives_loss_of(&self, lost: impl Fn(HostKey) -> bool) -> bool {
        let mut stages = self.models.iter().flat_map(|m| &m.stages);
        stages.all(|s| s.hosts.iter().any(|&h| !lost(h)))
    }

    /// Whether every stage keeps a replica when this failure domain is gone.
    pub fn survives_loss_of_domain(&self, input: &Input, domain: DomainKey) -> bool {
        self.survives_loss_of(|h| input.host(h).domain == domain)
    }

    /// Bytes that hosts have to load to get from today's holdings to this plan.
    pub fn bytes_to_load(&self, input: &Input) -> u64 {
        let keys = input.host_keys();
        keys.map(|h| self.missing_bytes(input, h)).sum()
    }

    /// Bytes that one host has to load; engines load a range as a whole.
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

    /// What hosts hold when the plan is in force.
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

    /// Hosts that get a stage which they do not hold in full today.
    pub fn moves(&self, input: &Input) -> usize {
        let keys = input.host_keys();
        keys.filter(|&h| self.missing_bytes(input, h) > 0).count()
    }

    /// The decision on a host, with its reason.
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

/// Whether a range holds all layers of another.
pub(super) fn covers(outer: &LayerRange, inner: &LayerRange) -> bool {
    outer.first <= inner.first && inner.end <= outer.end
}
