//! Token order: which replies of a session's pipeline are accepted, and when a token may be
//! emitted.
//!
//! For every token each layer must run exactly once and in order, although stages die, replies
//! arrive late or twice, and work is repeated on other replicas. A [`Lineage`] alone decides this:
//! it knows the step that is due, accepts the one reply that matches it, and drops and counts all
//! others.
//!
//! A lineage tracks for each stage how many positions its replica has in its KV cache. The step due
//! at a stage runs from there to the end of the sequence, so one rule covers prefill, decode and
//! both kinds of recovery:
//!
//! - [`Lineage::replace`] replaces the replica of one stage. The other stages keep their KV; the
//!   new replica replays the positions it lacks, from input rows or handles that the driver kept.
//! - [`Lineage::restart`] restarts every stage without KV; prompt and emitted tokens are prefilled.
//!
//! Both use a new attempt number, higher than all before, so that replies of the replaced run no
//! longer match. Emitted tokens are input from then on and are never produced again.
//!
//! ```
//! use kelpworks_coord::id::Incarnation;
//! use kelpworks_coord::token::LayerRange;
//! use kelpworks_coord::token::Lineage;
//! use kelpworks_coord::token::Progress;
//! use kelpworks_coord::token::Reply;
//! use kelpworks_coord::token::SessionId;
//! use kelpworks_coord::token::Spec;
//! use kelpworks_coord::token::VersionKey;
//!
//! let spec = Spec { session: SessionId(7), version: VersionKey(1), layers: 4, prompt_len: 3 };
//! let stages = [LayerRange { first: 0, end: 2 }, LayerRange { first: 2, end: 4 }];
//! let mut lineage = Lineage::new(spec, &stages)?;
//!
//! let first = Reply::to(&lineage.due_step(), Incarnation(1));
//! assert_eq!(lineage.accept(&first), Ok(Progress::NextStage));
//! assert!(lineage.accept(&first).is_err(), "a repeated reply is dropped");
//!
//! let last = Reply::to(&lineage.due_step(), Incarnation(9));
//! assert_eq!(lineage.accept(&last), Ok(Progress::Token { position: 3 }));
//! # Ok::<(), kelpworks_coord::token::Error>(())
//! ```
//!
//! Limits: a step covers all positions that a stage lacks; a driver that prefills in chunks needs
//! a cursor of its own on top. [`Lineage::accept`] allocates nothing.

use thiserror::Error;

use crate::id::Incarnation;

/// Result of creating or restarting a [`Lineage`].
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which stages or prompt do not form a pipeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The stages do not cover each layer exactly once and in order.
    #[error("stage {stage} does not begin where the one before it ends, or is empty")]
    Gap {
        /// Index of the first stage that does not fit.
        stage: usize,
    },
    /// The stages end before or after the model's last layer.
    #[error("stages end at layer {end}, the model at {layers}")]
    End {
        /// End of the last stage.
        end: u32,
        /// Layers of the model.
        layers: u32,
    },
    /// The prompt has no tokens.
    #[error("the prompt is empty")]
    EmptyPrompt,
}

/// Identifier of a session, unique over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u128);

/// Model version, numbered by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey(pub u32);

/// A half-open range of layers, `first..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LayerRange {
    /// First layer, from 0.
    pub first: u32,
    /// One past the last layer.
    pub end: u32,
}

/// Session, model and prompt length of a [`Lineage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Spec {
    /// Identifier that replies must carry.
    pub session: SessionId,
    /// Model version; never changes within a session.
    pub version: VersionKey,
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of tokens of the prompt.
    pub prompt_len: u32,
}

/// The step that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DueStep {
    /// Identifier of the session.
    pub session: SessionId,
    /// Attempt number of the stage's replica.
    pub attempt: u32,
    /// First position of the step.
    pub position: u32,
    /// Number of positions; at least 1.
    pub count: u32,
    /// Index of the stage.
    pub stage: usize,
    /// Layers of the stage.
    pub layers: LayerRange,
    /// Model version that must run.
    pub version: VersionKey,
    /// Incarnation of the stage's replica; `None` until known.
    pub incarnation: Option<Incarnation>,
}

/// An engine's description of the step that it ran, echoed with the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reply {
    /// Identifier of the session.
    pub session: SessionId,
    /// Attempt number that came with the step.
    pub attempt: u32,
    /// First position that ran.
    pub position: u32,
    /// Number of positions that ran.
    pub count: u32,
    /// Layers that ran.
    pub layers: LayerRange,
    /// Model version that ran.
    pub version: VersionKey,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
}

impl Reply {
    /// Returns the reply of an engine of this incarnation that ran exactly the step.
    pub fn to(step: &DueStep, incarnation: Incarnation) -> Reply {
        Reply {
            session: step.session,
            attempt: step.attempt,
            position: step.position,
            count: step.count,
            layers: step.layers,
            version: step.version,
            incarnation,
        }
    }
}

/// Result of an accepted reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The step of the next stage is due.
    NextStage,
    /// Every layer has run; the reply's token may be emitted.
    Token {
        /// Position of the token in the sequence.
        position: u32,
    },
}

/// Reason for which a reply was dropped: the first difference in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Error)]
pub enum DropReason {
    /// Of another session.
    #[error("of another session")]
    Session,
    /// Of an older attempt, or of one that never started.
    #[error("of another attempt")]
    Attempt,
    /// Of another stage, or of other layers than the stage's.
    #[error("of other layers")]
    Layers,
    /// Of another model version.
    #[error("of another version")]
    Version,
    /// Of an engine that restarted and so lost the session's KV.
    #[error("of another incarnation")]
    Incarnation,
    /// Of other positions: late, repeated, or of a different count.
    #[error("of other positions")]
    Position,
}

/// Numbers of dropped replies, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DropCounts([u32; 6]);

impl DropCounts {
    /// Returns the number of replies dropped for a reason.
    pub fn of(&self, reason: DropReason) -> u32 {
        self.0[reason as usize]
    }

    /// Returns the number of replies dropped for any reason.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    fn count(&mut self, reason: DropReason) {
        let n = &mut self.0[reason as usize];
        *n = n.saturating_add(1);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Stage {
    /// Begins where the previous stage ends.
    layers: LayerRange,
    /// Attempt number of the present replica; at most [`Lineage::attempt`].
    attempt: u32,
    /// Number of positions in the present replica's KV cache; at most `Lineage::sequence_len`.
    kv_len: u32,
    /// Set by the driver, or by the first accepted reply.
    incarnation: Option<Incarnation>,
}

/// Progress of one session through its pipeline.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lineage {
    spec: Spec,
    /// Not empty; covers each layer exactly once and in order.
    stages: Vec<Stage>,
    /// Highest attempt number so far; never decreases.
    attempt: u32,
    /// Number of prompt and emitted tokens; never decreases. Each round raises every stage's
    /// `kv_len` to it, and then one token is emitted.
    sequence_len: u32,
    /// Index of the stage whose step is due. For stages before it `kv_len` is `sequence_len`,
    /// unless they were replaced since.
    due_stage: usize,
    drops: DropCounts,
}

impl Lineage {
    /// Creates a session whose prompt has to be prefilled.
    ///
    /// # Errors
    ///
    /// When the stages do not cover the model's layers once and in order, or the prompt is empty.
    pub fn new(spec: Spec, stages: &[LayerRange]) -> Result<Lineage> {
        check_stages(spec, stages)?;
        let stages = stages
            .iter()
            .map(|&layers| Stage {
                layers,
                attempt: 0,
                kv_len: 0,
                incarnation: None,
            })
            .collect();
        let drops = DropCounts::default();
        Ok(Lineage {
            spec,
            stages,
            attempt: 0,
            sequence_len: spec.prompt_len,
            due_stage: 0,
            drops,
        })
    }

    /// Returns the step that is due.
    pub fn due_step(&self) -> DueStep {
        let stage = &self.stages[self.due_stage];
        DueStep {
            session: self.spec.session,
            attempt: stage.attempt,
            position: stage.kv_len,
            count: self.sequence_len - stage.kv_len,
            stage: self.due_stage,
            layers: stage.layers,
            version: self.spec.version,
            incarnation: stage.incarnation,
        }
    }

    /// Accepts a reply if it matches the step that is due, and moves on to the next step.
    ///
    /// # Errors
    ///
    /// The reason for which the reply was dropped; only the count of drops has changed then.
    pub fn accept(&mut self, reply: &Reply) -> std::result::Result<Progress, DropReason> {
        if let Err(reason) = self.matches(reply) {
            self.drops.count(reason);
            return Err(reason);
        }
        let stage = &mut self.stages[self.due_stage];
        stage.kv_len = self.sequence_len;
        stage.incarnation = Some(reply.incarnation);
        if self.due_stage + 1 < self.stages.len() {
            self.due_stage += 1;
            return Ok(Progress::NextStage);
        }
        self.due_stage = 0;
        let position = self.sequence_len;
        self.sequence_len += 1;
        Ok(Progress::Token { position })
    }

    /// Checks whether a reply, or a refusal by the engine, matches the step that is due. Changes
    /// and counts nothing.
    ///
    /// # Errors
    ///
    /// The first difference.
    pub fn matches(&self, reply: &Reply) -> std::result::Result<(), DropReason> {
        let due = self.due_step();
        if reply.session != due.session {
            return Err(DropReason::Session);
        }
        if reply.attempt != due.attempt {
            return Err(DropReason::Attempt);
        }
        if reply.layers != due.layers {
            return Err(DropReason::Layers);
        }
        if reply.version != due.version {
            return Err(DropReason::Version);
        }
        if due.incarnation.is_some_and(|i| i != reply.incarnation) {
            return Err(DropReason::Incarnation);
        }
        if (reply.position, reply.count) != (due.position, due.count) {
            return Err(DropReason::Position);
        }
        Ok(())
    }

    /// Replaces the replica of a stage, and returns the new replica's attempt number.
    ///
    /// `kv_len` is the number of positions that the new replica already has by KV import, 0 for
    /// none. It replays the rest when the stage's step is next due; the outputs of positions before
    /// the last round are not needed again.
    ///
    /// # Panics
    ///
    /// When there is no such stage, or `kv_len` is more than that of the old replica.
    pub fn replace(&mut self, stage: usize, kv_len: u32, incarnation: Option<Incarnation>) -> u32 {
        assert!(
            kv_len <= self.stages[stage].kv_len,
            "kv_len is more than that of the replaced replica"
        );
        self.attempt += 1;
        let stage = &mut self.stages[stage];
        stage.attempt = self.attempt;
        stage.kv_len = kv_len;
        stage.incarnation = incarnation;
        self.attempt
    }

    /// Restarts the session on stages whose layer ranges may differ, and returns the attempt
    /// number.
    ///
    /// Prompt and emitted tokens are prefilled; the next token to emit stays the same.
    ///
    /// # Errors
    ///
    /// Like [`Lineage::new`]; nothing has changed then.
    pub fn restart(&mut self, stages: &[LayerRange]) -> Result<u32> {
        check_stages(self.spec, stages)?;
        self.attempt += 1;
        let attempt = self.attempt;
        self.stages.clear();
        self.stages.extend(stages.iter().map(|&layers| Stage {
            layers,
            attempt,
            kv_len: 0,
            incarnation: None,
        }));
        self.due_stage = 0;
        Ok(attempt)
    }

    /// Returns the number of emitted tokens.
    pub fn emitted(&self) -> u32 {
        self.sequence_len - self.spec.prompt_len
    }

    /// Returns the highest attempt number so far.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the number of positions in the KV cache of a stage's replica.
    ///
    /// # Panics
    ///
    /// When there is no such stage.
    pub fn kv_len(&self, stage: usize) -> u32 {
        self.stages[stage].kv_len
    }

    /// Returns the numbers of replies dropped since [`Lineage::take_drops`] was last called.
    pub fn drops(&self) -> DropCounts {
        self.drops
    }

    /// Returns the numbers of dropped replies and resets them, for metrics.
    pub fn take_drops(&mut self) -> DropCounts {
        std::mem::take(&mut self.drops)
    }
}

fn check_stages(spec: Spec, stages: &[LayerRange]) -> Result<()> {
    if spec.prompt_len == 0 {
        return Err(Error::EmptyPrompt);
    }
    let mut end = 0;
    for (stage, layers) in stages.iter().enumerate() {
        if layers.first != end || layers.end <= layers.first {
            return Err(Error::Gap { stage });
        }
        end = layers.end;
    }
    if end != spec.layers || stages.is_empty() {
        return Err(Error::End {
            end,
            layers: spec.layers,
        });
    }
    Ok(())
}
