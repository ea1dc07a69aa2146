//! Matching of request paths against the path prefixes of rules.
//!
//! A service may accept several spellings of one path, and the HTTP client resolves dot segments.
//! If a rule for `/certificates` were compared only with the path as sent, it would not match
//! `/x/../certificates`, and a request that must run at most once could be retried.

use percent_encoding::percent_decode_str;

/// Returns whether a path, either as sent or normalized, starts with the prefix of a rule.
pub(crate) fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.starts_with(prefix) || normalize(path).starts_with(prefix)
}

/// Percent-decodes a path, treats backslashes as slashes, and resolves empty and dot segments. The
/// result ends with a slash, so that a prefix that ends with one matches too.
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
