//! A new text of one part, and the pair that it makes with the other.

use super::Error;
use super::Result;
use super::store::Texts;
use crate::config::diff::Diff;
use crate::config::head::digest_of;
use crate::register::Register;
use crate::rules::Rules;
use kelpworks_coord::head::Change;
use kelpworks_coord::head::Head;
use kelpworks_coord::head::Part;
use kelpworks_coord::head::PartKind;
use kelpworks_coord::id::Digest;
use kelpworks_coord::id::Nonce;

/// Name of a part in force, where errors would name a file.
const RULES_IN_FORCE: &str = "rules in force";
/// As [`RULES_IN_FORCE`].
const REGISTER_IN_FORCE: &str = "register in force";

/// A new text of one part.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub(super) which: PartKind,
    pub(super) text: String,
    pub(super) digest: Digest,
    file: String,
}

impl Proposal {
    /// Proposes a text of this part; `file` names it in errors.
    pub fn new(which: PartKind, file: &str, text: String) -> Proposal {
        Proposal {
            which,
            file: file.to_owned(),
            digest: digest_of(&text),
            text,
        }
    }

    /// The change that this asks for, with a nonce of its own.
    pub(super) fn change(&self) -> Change {
        Change {
            kind: self.which,
            digest: self.digest,
            nonce: Nonce(rand::random()),
        }
    }

    /// The proposal's part in a head.
    pub(super) fn part_in(&self, head: &Head) -> Option<Part> {
        match self.which {
            PartKind::Register => head.register,
            PartKind::Rules => head.rules,
        }
    }

    /// Validates the pair that the proposal makes with the other part.
    pub(super) fn validate(&self, texts: &Texts) -> Result<()> {
        match self.which {
            PartKind::Register => self.register(texts).map(drop),
            PartKind::Rules => self.rules(texts).map(drop),
        }
    }

    /// Validates as [`Proposal::validate`] does, and compares with what the texts hold now.
    ///
    /// A part in force that this release does not read counts as empty, or it could never be
    /// replaced.
    pub(super) fn diff(&self, texts: &Texts) -> Result<Diff> {
        match self.which {
            PartKind::Register => {
                let new = self.register(texts)?;
                let old = texts.register.as_deref().unwrap_or_default();
                let old = Register::parse(REGISTER_IN_FORCE, old).unwrap_or_default();
                Ok(Diff::of_registers(&old, &new))
            }
            PartKind::Rules => {
                let new = self.rules(texts)?;
                let old = texts.rules.as_deref().unwrap_or_default();
                let old = Rules::parse_alone(RULES_IN_FORCE, old).unwrap_or_default();
                Ok(Diff::of_rules(&old, &new))
            }
        }
    }

    /// The proposed register, when the rules fit it.
    fn register(&self, texts: &Texts) -> Result<Register> {
        let new = Register::parse(&self.file, &self.text).map_err(Error::Invalid)?;
        if let Some(rules) = &texts.rules {
            Rules::parse(RULES_IN_FORCE, rules, &new).map_err(Error::BreaksRules)?;
        }
        Ok(new)
    }

    /// The proposed rules, when they fit the register.
    fn rules(&self, texts: &Texts) -> Result<Rules> {
        let register = texts.register.as_ref().ok_or(Error::NoRegister)?;
        let register = Register::parse(REGISTER_IN_FORCE, register).map_err(Error::Invalid)?;
        Rules::parse(&self.file, &self.text, &register).map_err(Error::Invalid)
    }
}
