//! Names that must be unique in a file, with the line of each.

use std::collections::HashMap;

use toml::Spanned;

use crate::config::document::Document;
use crate::config::document::Kind;
use crate::config::document::MAX_NAME;

/// The names of one kind of thing in one file.
#[derive(Debug)]
pub(crate) struct Names<'a> {
    what: &'static str,
    lines: HashMap<&'a str, usize>,
}

impl<'a> Names<'a> {
    /// No names yet, of this kind of thing.
    pub(crate) fn new(what: &'static str) -> Names<'a> {
        Names {
            what,
            lines: HashMap::new(),
        }
    }

    /// Adds a name; notes a fault when it is malformed or there already.
    pub(crate) fn define(&mut self, doc: &mut Document<'_>, name: &'a Spanned<String>) {
        if !is_name(name.get_ref()) {
            doc.fault(name.span(), Kind::Name);
            return;
        }
        let line = doc.line(&name.span());
        if let Some(&first) = self.lines.get(name.get_ref().as_str()) {
            let value = name.get_ref().clone();
            let what = self.what;
            doc.fault(name.span(), Kind::Duplicate { what, value, first });
            return;
        }
        self.lines.insert(name.get_ref(), line);
    }

    /// Notes a fault when the name is not defined.
    pub(crate) fn refer(&self, doc: &mut Document<'_>, name: &Spanned<String>) {
        if !self.lines.contains_key(name.get_ref().as_str()) {
            unknown(doc, self.what, name);
        }
    }
}

/// Notes that a name is not defined; a malformed one is not repeated.
pub(crate) fn unknown(doc: &mut Document<'_>, what: &'static str, name: &Spanned<String>) {
    let kind = match is_name(name.get_ref()) {
        true => Kind::Unknown {
            what,
            name: name.get_ref().clone(),
        },
        false => Kind::Name,
    };
    doc.fault(name.span(), kind);
}

/// Whether a text may name something: it goes into URLs, logs and metrics as it stands.
pub(crate) fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(allowed)
}
