//! A proposed text of one part of the configuration, and its validation with the other part.

use super::Error;
use super::Result;
use super::store::PartTexts;
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

/// Stands in errors about the active rules in place of a file name.
const ACTIVE_RULES_NAME: &str = "rules in force";
/// Stands in errors about the active register in place of a file name.
const ACTIVE_REGISTER_NAME: &str = "register in force";

/// A proposed text of one part: the register or the rules.
#[derive(Clone, Debug)]
pub struct Proposal {
    pub(super) part_kind: PartKind,
    pub(super) text: String,
    pub(super) digest: Digest,
    file: String,
}

impl Proposal {
    /// Creates a proposal without validating its text. `file` is its name in errors.
    pub fn new(part_kind: PartKind, file: &str, text: String) -> Proposal {
        Proposal {
            part_kind,
            file: file.to_owned(),
            digest: digest_of(&text),
            text,
        }
    }

    /// Returns the change of the head that publishes this proposal, with a new random nonce.
    pub(super) fn change(&self) -> Change {
        Change {
            kind: self.part_kind,
            digest: self.digest,
            nonce: Nonce(rand::random()),
        }
    }

    /// Returns the part of a head that this proposal would replace.
    pub(super) fn part_in(&self, head: &Head) -> Option<Part> {
        match self.part_kind {
            PartKind::Register => head.register,
            PartKind::Rules => head.rules,
        }
    }

    /// Validates the proposal together with the other part of `texts`.
    pub(super) fn validate(&self, texts: &PartTexts) -> Result<()> {
        match self.part_kind {
            PartKind::Register => self.parse_register(texts).map(drop),
            PartKind::Rules => self.parse_rules(texts).map(drop),
        }
    }

    /// Validates the proposal as [`Proposal::validate`] does, and compares it with the active text
    /// of the same part.
    ///
    /// If this release cannot parse the active text, it counts as empty. Otherwise it could never
    /// be replaced.
    pub(super) fn diff(&self, texts: &PartTexts) -> Result<Diff> {
        match self.part_kind {
            PartKind::Register => {
                let new = self.parse_register(texts)?;
                let old = texts.register.as_deref().unwrap_or_default();
                let old = Register::parse(ACTIVE_REGISTER_NAME, old).unwrap_or_default();
                Ok(Diff::of_registers(&old, &new))
            }
            PartKind::Rules => {
                let new = self.parse_rules(texts)?;
                let old = texts.rules.as_deref().unwrap_or_default();
                let old = Rules::parse_without_register(ACTIVE_RULES_NAME, old).unwrap_or_default();
                Ok(Diff::of_rules(&old, &new))
            }
        }
    }

    /// Parses the proposed register and checks that the active rules are valid with it.
    fn parse_register(&self, texts: &PartTexts) -> Result<Register> {
        let new = Register::parse(&self.file, &self.text).map_err(Error::Invalid)?;
        if let Some(rules) = &texts.rules {
            Rules::parse(ACTIVE_RULES_NAME, rules, &new).map_err(Error::IncompatibleRules)?;
        }
        Ok(new)
    }

    /// Parses the proposed rules and checks them against the active register.
    fn parse_rules(&self, texts: &PartTexts) -> Result<Rules> {
        let register = texts.register.as_ref().ok_or(Error::NoRegister)?;
        let register = Register::parse(ACTIVE_REGISTER_NAME, register).map_err(Error::Invalid)?;
        Rules::parse(&self.file, &self.text, &register).map_err(Error::Invalid)
    }
}
