//! Paths of calls, matched against the rules.
//!
//! A service may take several spellings for one path, and the HTTP client itself resolves dot
//! segments. A rule that looked only at the spelling would let `/x/../certificates` through, and a
//! call that may run once would be sent again.

use percent_encoding::percent_decode_str;

/// Whether a path starts with the prefix of a rule, as it stands or in its plain spelling.
pub(crate) fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.starts_with(prefix) || normalize(path).starts_with(prefix)
}

/// A path with its characters decoded, and without empty and dot segments. It ends with a slash, so
/// that a prefix that ends with one matches too.
fn normalize(path: &str) -> String {
    let decoded = percent_decode_str(path).decode_utf8_lossy();
    let mut segments = Vec::new();
    for segment in decoded.split(['/', '\\']) {
        match segment {
            "" | "." => {}
            ".." => drop(segments.pop()),
            other => segments.push(other),
        }
    }
    let mut text = String::with_capacity(path.len() + 1);
    for segment in segments {
        text.push('/');
        text.push_str(segment);
    }
    text.push('/');
    text
}
