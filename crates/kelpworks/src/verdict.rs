//! Whether a request without a response may have run.

use std::fmt;

/// Whether any part of a failed request may have been executed.
///
/// Verdicts are ordered: over several attempts the greatest one counts.
///
/// ```
/// use kelpworks::verdict::Verdict;
///
/// assert_eq!(Verdict::NotRun.max(Verdict::MayHaveRun), Verdict::MayHaveRun);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No part of the request can have been executed.
    NotRun,
    /// The request may have run in part or as a whole.
    MayHaveRun,
}

impl Verdict {
    /// Name of the response header that carries the verdict.
    pub const HEADER: &'static str = "kelpworks-verdict";

    /// Returns the value of the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not-run",
            Verdict::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
