//! Difference between two registers or two sets of rules, for operators to review before a change.
//!
//! ```
//! use kelpworks::config::diff::Diff;
//! use kelpworks::rules::Rules;
//!
//! let old = Rules::default();
//! let new = Rules { trial_share: 0.2, ..Rules::default() };
//! assert_eq!(Diff::of_rules(&old, &new).to_string(), "trial share: 0 -> 0.2\n");
//! ```

use std::collections::BTreeMap;
use std::fmt;

use crate::register::Register;
use crate::rules::NonIdempotent;
use crate::rules::Rules;

/// The difference between two registers or two sets of rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// Lists of named items that differ; lists without a difference are left out.
    pub sections: Vec<Section>,
    /// Trial share before and after the change; `None` if it does not differ.
    pub trial_share: Option<(f64, f64)>,
}

/// Difference between two versions of one list of named items. Names are sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Section {
    /// Heading of the list, such as `hosts`.
    pub list_name: &'static str,
    /// Names that occur in the new list only.
    pub added: Vec<String>,
    /// Names that occur in the old list only.
    pub removed: Vec<String>,
    /// Names that occur in both lists with different content.
    pub changed: Vec<String>,
}

impl Diff {
    /// Compares two registers.
    pub fn of_registers(old: &Register, new: &Register) -> Diff {
        let link_name = |l: &crate::register::Link| {
            let (a, b) = (&l.from, &l.to);
            format!("{} - {}", a.min(b), a.max(b))
        };
        let sections = vec![
            compare("accelerators", &old.accelerators, &new.accelerators, |a| {
                a.name.clone()
            }),
            compare(
                "failure domains",
                &old.failure_domains,
                &new.failure_domains,
                |d| d.name.clone(),
            ),
            compare("models", &old.models, &new.models, |m| m.name.clone()),
            compare("hosts", &old.hosts, &new.hosts, |h| h.name.clone()),
            compare("links", &old.links, &new.links, link_name),
        ];
        Diff {
            sections: non_empty(sections),
            trial_share: None,
        }
    }

    /// Compares two sets of rules.
    pub fn of_rules(old: &Rules, new: &Rules) -> Diff {
        let sections = vec![
            compare("teams", &old.teams, &new.teams, |t| t.name.clone()),
            compare(
                "non-idempotent",
                &old.non_idempotent,
                &new.non_idempotent,
                describe_match,
            ),
        ];
        let shares = (old.trial_share, new.trial_share);
        Diff {
            sections: non_empty(sections),
            trial_share: (shares.0 != shares.1).then_some(shares),
        }
    }

    /// Returns whether there is no difference.
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty() && self.trial_share.is_none()
    }
}

/// Compares two lists of items by the name that `name` returns, which is unique in each list.
fn compare<T: PartialEq>(
    list_name: &'static str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> String,
) -> Section {
    let old: BTreeMap<String, &T> = old.iter().map(|t| (name(t), t)).collect();
    let new: BTreeMap<String, &T> = new.iter().map(|t| (name(t), t)).collect();
    let differs = |n: &&String| old.get(*n).is_some_and(|t| *t != new[*n]);
    Section {
        list_name,
        added: new
            .keys()
            .filter(|n| !old.contains_key(*n))
            .cloned()
            .collect(),
        removed: old
            .keys()
            .filter(|n| !new.contains_key(*n))
            .cloned()
            .collect(),
        changed: new.keys().filter(differs).cloned().collect(),
    }
}

/// Drops the sections without a difference.
fn non_empty(sections: Vec<Section>) -> Vec<Section> {
    let has_changes =
        |s: &Section| !(s.added.is_empty() && s.removed.is_empty() && s.changed.is_empty());
    sections.into_iter().filter(has_changes).collect()
}

/// Describes a rule for non-idempotent requests. The description serves as the rule's name and
/// covers all its fields, so such a rule is added or removed but never changed.
fn describe_match(rule: &NonIdempotent) -> String {
    match rule {
        NonIdempotent::Service {
            service,
            method,
            path,
        } => format!("{method} {service}{path}"),
        NonIdempotent::Model { model, team } => format!("model {model} by team {team}"),
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((old, new)) = self.trial_share {
            writeln!(f, "trial share: {old} -> {new}")?;
        }
        self.sections.iter().try_for_each(|s| s.fmt(f))
    }
}

impl fmt::Display for Section {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = (self.added.len(), self.removed.len(), self.changed.len());
        let list_name = self.list_name;
        writeln!(
            f,
            "{list_name}: {} added, {} removed, {} changed",
            counts.0, counts.1, counts.2
        )?;
        for (sign, names) in [
            ("+", &self.added),
            ("-", &self.removed),
            ("~", &self.changed),
        ] {
            for name in names {
                writeln!(f, "  {sign} {name}")?;
            }
        }
        Ok(())
    }
}
