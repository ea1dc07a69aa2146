//! Names defined in a file, checked for duplicates, and references to them.

use std::collections::HashMap;

use toml::Spanned;

use crate::config::document::ConfigErrorKind;
use crate::config::document::Document;
use crate::config::document::MAX_NAME_BYTES;

/// Names of one kind of item, such as hosts, that one file defines.
#[derive(Debug)]
pub(crate) struct DefinedNames<'a> {
    item_kind: &'static str,
    lines: HashMap<&'a str, usize>,
}

impl<'a> DefinedNames<'a> {
    /// Creates an empty set. `item_kind` is the kind's name in errors.
    pub(crate) fn new(item_kind: &'static str) -> DefinedNames<'a> {
        DefinedNames {
            item_kind,
            lines: HashMap::new(),
        }
    }

    /// Adds a name; records an error if it is malformed or already defined.
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

    /// Records an error if the name is not defined.
    pub(crate) fn check_reference(&self, doc: &mut Document<'_>, name: &Spanned<String>) {
        if !self.lines.contains_key(name.get_ref().as_str()) {
            record_undefined(doc, self.item_kind, name);
        }
    }
}

/// Records the error that a name is not defined. The error does not quote a malformed name.
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

/// Returns whether a text is a valid name. Names appear unescaped in URLs, logs and metrics.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}
