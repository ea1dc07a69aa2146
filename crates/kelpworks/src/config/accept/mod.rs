//! How a register or rules become the fleet's: the operator's side.
//!
//! The text is stored under its digest, the pair that it makes with the other
//! part in force is validated, and one conditional update of the head accepts
//! it. An operator who loses a race rebases when only the other part changed,
//! and is told the conflict when the same part changed.
//!
//! ```no_run
//! use kelpworks::border::object_api::Deadlines;
//! use kelpworks::border::object_api::HttpObjectApi;
//! use kelpworks::config::accept::Proposal;
//! use kelpworks::config::accept::RetryPolicy;
//! use kelpworks::config::accept::accept;
//!
//! # async fn f(text: String) -> Result<(), Box<dyn std::error::Error>> {
//! let api = HttpObjectApi::new("http://10.0.1.1:8000", Deadlines::default())?;
//! let proposal = Proposal::register("register.toml", text);
//! let accepted = accept(&api, &proposal, RetryPolicy::default()).await?;
//! println!("generation {}", accepted.generation);
//! # Ok(())
//! # }
//! ```
//!
//! Limits: a race is seen from the moment that this reads the head. An edit
//! that an operator made of an older file is not told from a deliberate one;
//! the difference that [`plan`] shows is there to be looked at.

mod head;
mod store;

use thiserror::Error;

pub use self::head::BLOB_KIND;
pub use self::head::Digest;
pub use self::head::HEAD_KIND;
pub use self::head::HEAD_NAME;
pub use self::head::Head;
use self::store::InForce;
pub use self::store::RetryPolicy;
use self::store::Store;
use self::store::Swap;
use crate::border::object_api;
use crate::border::object_api::ObjectApi;
use crate::config::diff::Diff;
use crate::config::document;
use crate::config::file_kind::FileKind;
use crate::register::Register;
use crate::rules::Rules;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Name of a part in force, where errors would name a file.
const RULES_IN_FORCE: &str = "rules in force";
/// As [`RULES_IN_FORCE`].
const REGISTER_IN_FORCE: &str = "register in force";
/// Races lost to changes of the other part before giving up.
const MAX_REBASES: u32 = 16;

/// Why a register or rules were not accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Error)]
#[non_exhaustive]
pub enum Error {
    /// The proposal itself is at fault.
    #[error("{0}")]
    Invalid(document::Error),
    /// The register would make the rules in force invalid.
    #[error("the register does not fit the rules in force: {0}")]
    BreaksRules(document::Error),
    /// Rules were proposed before any register.
    #[error("no register has been imported yet; rules are checked against one")]
    NoRegister,
    /// Another operator changed the same part meanwhile.
    #[error("conflict: the {} changed meanwhile, see generation {generation}", part.as_str())]
    Conflict {
        /// The part.
        part: Part,
        /// The generation that holds the other change.
        generation: u64,
    },
    /// The reply to the swap was lost, and the same part has changed since: the proposal was
    /// replaced, or never in force.
    #[error(
        "the {} changed again while a reply was lost, see generation {generation}; \
         the proposal may have been in force before that",
        part.as_str()
    )]
    Superseded {
        /// The part.
        part: Part,
        /// The generation that holds the other change.
        generation: u64,
    },
    /// The other part kept changing.
    #[error("gave up after {MAX_REBASES} changes of the other part; nothing was applied")]
    Contended,
    /// The object API did not do its part; nothing was applied.
    #[error("{0}; nothing was applied")]
    Unavailable(object_api::Error),
    /// The reply to the swap was lost and could not be settled.
    #[error("the object API's reply was lost; the change may have been accepted, ask `status`")]
    Unsettled,
    /// The head object cannot be read.
    #[error("the head object is not readable; nothing was applied")]
    HeadCorrupt,
    /// The head names a text that is not there.
    #[error("object {digest} of the configuration in force is missing; nothing was applied")]
    BlobMissing {
        /// Its digest.
        digest: Digest,
    },
    /// A stored text does not have the digest it is stored under.
    #[error("object {digest} of the configuration in force is damaged; nothing was applied")]
    BlobCorrupt {
        /// Its digest.
        digest: Digest,
    },
}

/// A part of the fleet's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The register.
    Register,
    /// The rules.
    Rules,
}

impl Part {
    /// The part as operators call it.
    pub fn as_str(self) -> &'static str {
        match self {
            Part::Register => FileKind::Register.as_str(),
            Part::Rules => FileKind::Rules.as_str(),
        }
    }
}

/// A new text of one part.
#[derive(Clone, Debug)]
pub struct Proposal {
    part: Part,
    file: String,
    text: String,
    digest: Digest,
}

/// An accepted proposal.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// The generation that holds it.
    pub generation: u64,
    /// False when the very text was found in force, by whomever.
    pub changed: bool,
}

/// What accepting a proposal would do now.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Generation in force; 0 before the first import.
    pub generation: u64,
    /// The difference to what is in force.
    pub diff: Diff,
}

impl Proposal {
    /// Proposes a register; `file` names it in errors.
    pub fn register(file: &str, text: String) -> Proposal {
        Proposal::new(Part::Register, file, text)
    }

    /// Proposes rules; `file` names them in errors.
    pub fn rules(file: &str, text: String) -> Proposal {
        Proposal::new(Part::Rules, file, text)
    }

    fn new(part: Part, file: &str, text: String) -> Proposal {
        Proposal {
            part,
            file: file.to_owned(),
            digest: Digest::of(&text),
            text,
        }
    }

    /// The digest that a head names for this proposal's part.
    fn digest_in(&self, current: Option<&InForce>) -> Option<Digest> {
        let head = &current?.head;
        match self.part {
            Part::Register => Some(head.register),
            Part::Rules => head.rules,
        }
    }

    /// Validates the pair that the proposal makes with the other part in force, and compares.
    fn validate(&self, current: Option<&InForce>) -> Result<Diff> {
        match self.part {
            Part::Register => self.validate_register(current),
            Part::Rules => self.validate_rules(current),
        }
    }

    fn validate_register(&self, current: Option<&InForce>) -> Result<Diff> {
        let new = Register::parse(&self.file, &self.text).map_err(Error::Invalid)?;
        if let Some(rules) = current.and_then(|c| c.rules.as_deref()) {
            Rules::parse(RULES_IN_FORCE, rules, &new).map_err(Error::BreaksRules)?;
        }
        let old = match current {
            Some(c) => old_register(c),
            None => Register::default(),
        };
        Ok(Diff::of_registers(&old, &new))
    }

    fn validate_rules(&self, current: Option<&InForce>) -> Result<Diff> {
        let current = current.ok_or(Error::NoRegister)?;
        let register = Register::parse(REGISTER_IN_FORCE, &current.register);
        let register = register.map_err(Error::Invalid)?;
        let new = Rules::parse(&self.file, &self.text, &register).map_err(Error::Invalid)?;
        let old = current.rules.as_deref().map_or_else(Rules::default, |r| {
            Rules::parse(RULES_IN_FORCE, r, &register).unwrap_or_default()
        });
        Ok(Diff::of_rules(&old, &new))
    }

    /// Whether the proposal's very text is in force.
    fn is_in(&self, current: &InForce) -> bool {
        self.digest_in(Some(current)) == Some(self.digest)
    }

    /// The head that accepts the proposal on top of what is in force.
    ///
    /// When the text is in force already this is the same head. It is written all the same,
    /// since the condition of that write proves that the head read was not out of date.
    fn next_head(&self, current: Option<&InForce>) -> Result<Head> {
        if let Some(current) = current.filter(|c| self.is_in(c)) {
            return Ok(current.head.clone());
        }
        let nonce = format!("{:032x}", rand::random::<u128>());
        let generation = 1 + current.map_or(0, |c| c.head.generation);
        let (register, rules) = match (self.part, current) {
            (Part::Register, _) => (self.digest, current.and_then(|c| c.head.rules)),
            (Part::Rules, Some(c)) => (c.head.register, Some(self.digest)),
            (Part::Rules, None) => return Err(Error::NoRegister),
        };
        Ok(Head {
            generation,
            register,
            rules,
            nonce,
        })
    }
}

/// The register in force, for comparison only. One that an older release accepted and this
/// one does not read counts as empty, or it could never be replaced.
fn old_register(current: &InForce) -> Register {
    Register::parse(REGISTER_IN_FORCE, &current.register).unwrap_or_default()
}

/// Says what accepting a proposal would do, and does none of it.
///
/// # Errors
///
/// As [`accept`], but for races.
pub async fn plan<A: ObjectApi>(api: &A, proposal: &Proposal, retry: RetryPolicy) -> Result<Plan> {
    let store = Store { api, retry };
    let current = store.in_force().await?;
    let diff = proposal.validate(current.as_ref())?;
    Ok(Plan {
        generation: current.map_or(0, |c| c.head.generation),
        diff,
    })
}

/// Validates a proposal against what is in force, and makes it the fleet's.
///
/// # Errors
///
/// [`Error::Invalid`], [`Error::BreaksRules`] and [`Error::NoRegister`] when the proposal is
/// refused as it stands; [`Error::Conflict`] when another operator changed the same part
/// meanwhile; [`Error::Unsettled`] and [`Error::Superseded`] when it may have been accepted.
/// In all other cases nothing was applied.
pub async fn accept<A: ObjectApi>(
    api: &A,
    proposal: &Proposal,
    retry: RetryPolicy,
) -> Result<Accepted> {
    let store = Store { api, retry };
    let mut current = store.in_force().await?;
    let base = proposal.digest_in(current.as_ref());
    proposal.validate(current.as_ref())?;
    store.put_blob(&proposal.text).await?;
    for _ in 0..MAX_REBASES {
        let next = proposal.next_head(current.as_ref())?;
        let (object, may_have_run) = match store.swap(current.as_ref(), &next).await? {
            Swap::Done => return Ok(done(&next, current.as_ref())),
            Swap::Moved {
                object,
                may_have_run,
            } => (object, may_have_run),
        };
        let moved = store.load(&object).await?;
        if proposal.is_in(&moved) {
            return Ok(done(&moved.head, Some(&moved)));
        }
        check_race(proposal, base, &moved, may_have_run)?;
        proposal.validate(Some(&moved))?;
        current = Some(moved);
    }
    Err(Error::Contended)
}

/// The head that holds the proposal stands, on top of `before`.
fn done(head: &Head, before: Option<&InForce>) -> Accepted {
    Accepted {
        generation: head.generation,
        changed: before.is_none_or(|b| b.head != *head),
    }
}

/// Refuses to rebase over a change of the same part.
///
/// After a lost reply the swap may have been in force and been undone since, so not even the
/// text it started from is then overwritten.
fn check_race(
    proposal: &Proposal,
    base: Option<Digest>,
    moved: &InForce,
    may_have_run: bool,
) -> Result<()> {
    let part = proposal.part;
    let generation = moved.head.generation;
    if may_have_run {
        return Err(Error::Superseded { part, generation });
    }
    if proposal.digest_in(Some(moved)) != base {
        return Err(Error::Conflict { part, generation });
    }
    Ok(())
}
