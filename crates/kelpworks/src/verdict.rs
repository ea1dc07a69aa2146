//! Whether a request that got no answer may have run.

use std::fmt;

/// Says of a request that failed whether any part of it may have been executed.
///
/// The order matters: over several attempts the greater verdict counts.
///
/// ```
/// use kelpworks::verdict::Verdict;
///
/// assert_eq!(Verdict::NotRun.max(Verdict::MayHaveRun), Verdict::MayHaveRun);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// No byte of it can have reached execution.
    NotRun,
    /// It may have run, in part or whole.
    MayHaveRun,
}

impl Verdict {
    /// Name of the response header that carries the verdict to callers.
    pub const HEADER: &'static str = "kelpworks-verdict";

    /// The header's value.
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
