//! Token order: which replies of a session's pipeline count, and when a token may leave.
//!
//! For every token each layer must run exactly once and in order, though stages die, replies come
//! late or twice, and parts of the work are done again elsewhere. A [`Lineage`] is the one place
//! that decides: it knows the step that is due, accepts the one reply that matches it, and drops
//! and counts every other.
//!
//! Each stage remembers how many positions its replica holds. The step due at a stage runs from
//! there to the end of the sequence, so one rule covers prefill, decode and both recoveries:
//!
//! - [`Lineage::replace`] puts a new replica in place of one stage. The others keep their KV; the
//!   new one replays the positions it lacks, from input rows or handles that the driver kept.
//! - [`Lineage::restart`] starts every stage from nothing; prompt and emitted tokens are prefilled.
//!
//! Either draws a new attempt number, higher than all before, so replies of the replaced run no
//! longer match. Tokens that were emitted are input from then on and are never produced again.
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
//! Limits: a step covers all positions that a stage lacks; a driver that wants to prefill in
//! chunks needs a cursor of its own in front. [`Lineage::accept`] allocates nothing.

use thiserror::Error;

use crate::id::Incarnation;

/// Result of building a [`Lineage`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why a pipeline cannot be driven.
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
    /// There is no prompt to begin from.
    #[error("the prompt is empty")]
    EmptyPrompt,
}

/// A session, unique over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u128);

/// A model version, as the driver numbers them.
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

/// What a session runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Spec {
    /// The session.
    pub session: SessionId,
    /// Model version; a session never changes it.
    pub version: VersionKey,
    /// Layers of the model.
    pub layers: u32,
    /// Tokens of the prompt.
    pub prompt_len: u32,
}

/// The step that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DueStep {
    /// The session.
    pub session: SessionId,
    /// Attempt of the stage's replica.
    pub attempt: u32,
    /// First position of the step.
    pub position: u32,
    /// Number of positions; at least 1.
    pub count: u32,
    /// Index of the stage.
    pub stage: usize,
    /// Its layers.
    pub layers: LayerRange,
    /// Model version.
    pub version: VersionKey,
    /// Incarnation of the stage's replica, once known.
    pub incarnation: Option<Incarnation>,
}

/// What an engine echoes of the step it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reply {
    /// The session.
    pub session: SessionId,
    /// The attempt.
    pub attempt: u32,
    /// First position that ran.
    pub position: u32,
    /// Number of positions that ran.
    pub count: u32,
    /// Layers that ran.
    pub layers: LayerRange,
    /// Version that ran.
    pub version: VersionKey,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
}

impl Reply {
    /// The reply of an engine of this incarnation that ran exactly the step.
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

/// What an accepted reply leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The step of the next stage is due.
    NextStage,
    /// Every layer has run; the reply's token may leave.
    Token {
        /// Position of the token in the sequence.
        position: u32,
    },
}

/// Why a reply was dropped. The first difference in this order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Error)]
pub enum DropReason {
    /// Another session's.
    #[error("of another session")]
    Session,
    /// Of an older attempt, or of one that was never begun.
    #[error("of another attempt")]
    Attempt,
    /// Of another stage.
    #[error("of other layers")]
    Layers,
    /// Of another model version.
    #[error("of another version")]
    Version,
    /// Of an engine that restarted, and so lost the session's KV.
    #[error("of another incarnation")]
    Incarnation,
    /// Late or repeated, or of a different number of positions.
    #[error("of other positions")]
    Position,
}

/// Replies dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DropCounts([u32; 6]);

impl DropCounts {
    /// Replies dropped for this reason.
    pub fn of(&self, reason: DropReason) -> u32 {
        self.0[reason as usize]
    }

    /// Replies dropped in all.
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
    /// Begins where the stage before ends.
    layers: LayerRange,
    /// Attempt of the present replica; at most [`Lineage::attempt`].
    attempt: u32,
    /// Positions whose KV the present replica holds; never more than `Lineage::sequence_len`.
    kv_len: u32,
    /// Set from the first accepted reply on, or by the driver.
    incarnation: Option<Incarnation>,
}

/// Cursor of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lineage {
    spec: Spec,
    /// Not empty; covers each layer exactly once and in order.
    stages: Vec<Stage>,
    /// Highest attempt drawn so far; never falls.
    attempt: u32,
    /// Prompt and emitted tokens, all known; never falls. Each round takes every stage's `held`
    /// up to it, and then one token is emitted.
    sequence_len: u32,
    /// Stage whose step is due. Stages before it hold `end` positions, unless replaced since.
    due_stage: usize,
    drops: DropCounts,
}

impl Lineage {
    /// A session at its beginning, with the prompt to be prefilled.
    ///
    /// # Errors
    ///
    /// When the stages do not cover the model's layers once and in order, or there is no prompt.
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

    /// The step that is due.
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

    /// Takes a reply, if it is the one that is due.
    ///
    /// # Errors
    ///
    /// The reason for which the reply was dropped; nothing else has changed then.
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

    /// Whether a reply is the one that is due, for a refusal too; changes and counts nothing.
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

    /// Puts a new replica in place of a stage's, and returns its attempt.
    ///
    /// `held` is the number of positions that it already holds by KV import, 0 for none. It
    /// replays the rest when the stage's step is next due; the outputs of positions before the
    /// last round are not needed again.
    ///
    /// # Panics
    ///
    /// When there is no such stage, or `held` is more than the old replica held.
    pub fn replace(&mut self, stage: usize, kv_len: u32, incarnation: Option<Incarnation>) -> u32 {
        assert!(
            kv_len <= self.stages[stage].kv_len,
            "imported positions that never ran"
        );
        self.attempt += 1;
        let stage = &mut self.stages[stage];
        stage.attempt = self.attempt;
        stage.kv_len = kv_len;
        stage.incarnation = incarnation;
        self.attempt
    }

    /// Starts every stage anew, on stages that may be cut otherwise, and returns the attempt.
    ///
    /// Prompt and emitted tokens are prefilled; the next token to leave is the same as before.
    ///
    /// # Errors
    ///
    /// As [`Lineage::new`]; nothing has changed then.
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

    /// Tokens that have left.
    pub fn emitted(&self) -> u32 {
        self.sequence_len - self.spec.prompt_len
    }

    /// Highest attempt so far.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Positions that the replica of a stage holds.
    ///
    /// # Panics
    ///
    /// When there is no such stage.
    pub fn kv_len(&self, stage: usize) -> u32 {
        self.stages[stage].kv_len
    }

    /// Replies dropped since the counts were last taken.
    pub fn drops(&self) -> DropCounts {
        self.drops
    }

    /// Takes the counts of dropped replies, for metrics.
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
