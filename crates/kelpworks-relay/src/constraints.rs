//! Constraints that an upstream announces in its answers, besides its rate limit.
//!
//! An upstream that sheds load asks the daemon that it answers to send nothing for some time. One
//! that is about to end states in all its answers that it is leaving.

/// A value that an answer may announce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Announced<T> {
    /// The answer has no such field.
    #[default]
    Absent,
    /// The announced value.
    Value(T),
    /// The field can't be parsed, which changes nothing.
    Unreadable,
}

impl<T: Copy> Announced<T> {
    /// Returns the value, if the answer has one that can be parsed.
    pub fn value(&self) -> Option<T> {
        match *self {
            Announced::Value(value) => Some(value),
            Announced::Absent | Announced::Unreadable => None,
        }
    }
}
