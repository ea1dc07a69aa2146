//! Names that must be unique in a file, with the line of each.

use std::collections::HashMap;

use toml::Spanned;

use crate::config::document::ConfigErrorKind;
use crate::config::document::Document;
use crate::config::document::MAX_NAME_BYTES;

/// The names of one kind of thing in one file.
#[derive(Debug)]
pub(crate) struct DefinedNames<'a> {
    item_kind: &'static str,
    lines: HashMap<&'a str, usize>,
}

impl<'a> DefinedNames<'a> {
    /// No names yet, of this kind of thing.
    pub(crate) fn new(item_kind: &'static str) -> DefinedNames<'a> {
        DefinedNames {
            item_kind,
            lines: HashMap::new(),
        }
    }

    /// Adds a name; notes a fault when it is malformed or there already.
    pub(crate) fn define(&mut self, doc: &mut Document<'_>, name: &'a Spanned<String>) {
        if !is_valid_name(name.get_ref()) {
            doc.record_error(name.span(), ConfigErrorKind::InvalidName);
            return;
        }
        let line = doc.line(&name.span());
        if let Some(&first) = self.lines.get(name.get_ref().as_str()) {
            let value = name.get_ref().clone();
            let item_kind = self.item_kind;
            doc.record_error(
                name.span(),
                ConfigErrorKind::Duplicate {
                    item_kind,
                    value,
                    first,
                },
            );
            return;
        }
        self.lines.insert(name.get_ref(), line);
    }

    /// Notes a fault when the name is not defined.
    pub(crate) fn check_reference(&self, doc: &mut Document<'_>, name: &Spanned<String>) {
        if !self.lines.contains_key(name.get_ref().as_str()) {
            record_undefined(doc, self.item_kind, name);
        }
    }
}

/// Notes that a name is not defined; a malformed one is not repeated.
pub(crate) fn record_undefined(
    doc: &mut Document<'_>,
    item_kind: &'static str,
    name: &Spanned<String>,
) {
    let kind = match is_valid_name(name.get_ref()) {
        true => ConfigErrorKind::Undefined {
            item_kind,
            name: name.get_ref().clone(),
        },
        false => ConfigErrorKind::InvalidName,
    };
    doc.record_error(name.span(), kind);
}

/// Whether a text may name something: it goes into URLs, logs and metrics as it stands.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}
