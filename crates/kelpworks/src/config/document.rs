//! Reader for configuration files that finds the line and key of each error.
//!
//! The three kinds of files (settings, register, rules) share this reader, so that all errors have
//! one form, `file:line: key: message`.
//!
//! Messages quote a value only if it is a name or a quantity: a bearer token that was put into a
//! file by mistake must not reach a log.

use std::fmt;
use std::fs::File;
use std::io;
use std::io::Read;
use std::ops::Range;
use std::path::Path;

use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

/// The result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum size of a configuration file. The object API stores values of up to a megabyte.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// Maximum length of a name in a configuration file.
pub const MAX_NAME_BYTES: usize = 128;

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{file}{}: {}{kind}", LineSuffix(*line), KeyPrefix(key))]
pub struct Error {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; 0 if the file could not be read.
    pub line: usize,
    /// Path of the key, such as `host[3].address`; empty if the error concerns the whole file.
    pub key: String,
    /// Which check failed, with its details.
    pub kind: ConfigErrorKind,
}

/// Formats a line number as `:line`, or as nothing if it is 0.
struct LineSuffix(usize);

impl fmt::Display for LineSuffix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            line => write!(f, ":{line}"),
        }
    }
}

/// Formats a key as `key: `, or as nothing if it is empty.
struct KeyPrefix<'a>(&'a str);

impl fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            "" => Ok(()),
            key => write!(f, "{key}: "),
        }
    }
}

/// Kind of an error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum ConfigErrorKind {
    /// The file cannot be read.
    #[error("cannot be read: {0}")]
    Io(io::ErrorKind),
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("file is larger than {MAX_FILE_BYTES} bytes")]
    TooLarge,
    /// The file has no keys.
    #[error("file is empty")]
    EmptyFile,
    /// The file is not UTF-8; the line is that of the first invalid byte.
    #[error("file is not UTF-8")]
    NotUtf8,
    /// A required key is missing; the line is that of its table.
    #[error("missing key")]
    MissingKey,
    /// The table has no key of this name. The text lists the keys that it has.
    #[error("unknown key, {0}")]
    UnknownKey(String),
    /// The text is not TOML, or a value has the wrong type. Holds the message of the TOML library.
    #[error("{0}")]
    Toml(String),
    /// A name is empty, too long or has a character that names may not have.
    #[error("names have 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`")]
    InvalidName,
    /// A value that must be unique appears twice.
    #[error("duplicate {item_kind} `{value}`, first on line {first}")]
    Duplicate {
        /// Kind of item, such as `host`.
        item_kind: &'static str,
        /// The value.
        value: String,
        /// Line of its first appearance.
        first: usize,
    },
    /// A token digest appears twice. The message does not quote it.
    #[error("duplicate token digest, first on line {first}")]
    DuplicateToken {
        /// Line of its first appearance.
        first: usize,
    },
    /// A reference to an item that is not defined.
    #[error("unknown {item_kind} `{name}`")]
    Undefined {
        /// Kind of item, such as `host`.
        item_kind: &'static str,
        /// Name that is referred to.
        name: String,
    },
    /// A quantity that must be above 0 is not.
    #[error("must be above 0")]
    NotPositive,
    /// A share is not between 0 and 1.
    #[error("must be between 0 and 1")]
    ShareOutOfRange,
    /// The value is not a list of token digests. The message does not quote it, since it may be a
    /// bearer token.
    #[error("expected a list of SHA-256 digests, each of 64 hexadecimal digits")]
    InvalidDigest,
    /// A list is empty that must have at least one item of the named kind.
    #[error("must name at least one {0}")]
    EmptyList(&'static str),
    /// Another constraint is violated, such as that a host is either an engine or a service. The
    /// text states the constraint.
    #[error("{0}")]
    Constraint(&'static str),
    /// A URL is not a valid base URL. The message does not quote it, since it may hold a password.
    #[error("expected a URL such as `http://10.0.0.1:8080`, without user or password")]
    InvalidUrl,
    /// A value exceeds its maximum, which the text names.
    #[error("must not be above `{0}`")]
    AboveMax(&'static str),
    /// A value is less than its minimum, which the text names.
    #[error("must not be below `{0}`")]
    BelowMin(&'static str),
    /// The top-level keys match no kind of configuration file.
    #[error("neither settings, a register nor rules")]
    UnknownFileKind,
}

/// Reads a file, but at most one byte more than [`MAX_FILE_BYTES`].
///
/// # Errors
///
/// When the file cannot be read, is too large or is not UTF-8.
pub fn read_file(path: &Path) -> Result<String> {
    let name = path.display().to_string();
    let io_error = |e: io::Error| Error {
        line: 0,
        ..file_error(&name, ConfigErrorKind::Io(e.kind()))
    };
    let file = File::open(path).map_err(io_error)?;
    let mut bytes = Vec::new();
    let limit = MAX_FILE_BYTES as u64 + 1;
    file.take(limit).read_to_end(&mut bytes).map_err(io_error)?;
    decode_utf8(&name, bytes)
}

/// Decodes the content of a file. `file` is its name in errors.
///
/// # Errors
///
/// When there are more than [`MAX_FILE_BYTES`] bytes or they are not UTF-8.
pub fn decode_utf8(file: &str, bytes: Vec<u8>) -> Result<String> {
    if bytes.len() > MAX_FILE_BYTES {
        return Err(file_error(file, ConfigErrorKind::TooLarge));
    }
    String::from_utf8(bytes).map_err(|e| {
        let valid = e.utf8_error().valid_up_to();
        Error {
            file: file.to_owned(),
            line: line_at(e.as_bytes(), valid),
            key: String::new(),
            kind: ConfigErrorKind::NotUtf8,
        }
    })
}

/// Returns an error that concerns a whole file, reported on its first line.
fn file_error(file: &str, kind: ConfigErrorKind) -> Error {
    Error {
        file: file.to_owned(),
        line: 1,
        key: String::new(),
        kind,
    }
}

/// Returns the line number, from 1, of a byte offset.
fn line_at(text: &[u8], offset: usize) -> usize {
    let before = &text[..offset.min(text.len())];
    1 + before.iter().filter(|&&b| b == b'\n').count()
}

/// A parsed file and the errors found in it so far.
#[derive(Debug)]
pub(crate) struct Document<'a> {
    file: &'a str,
    text: &'a str,
    /// Offsets of the line breaks in ascending order. The line of every name is looked up, so
    /// counting from the start each time would take time quadratic in the size of the text.
    newline_offsets: Vec<usize>,
    root: Spanned<DeTable<'a>>,
    errors: Vec<Error>,
}

impl<'a> Document<'a> {
    /// Parses a text as TOML. Fails if it is too large, has no keys or is not TOML.
    pub(crate) fn open(file: &'a str, text: &'a str) -> Result<Document<'a>> {
        if text.len() > MAX_FILE_BYTES {
            return Err(file_error(file, ConfigErrorKind::TooLarge));
        }
        let root = DeTable::parse(text).map_err(|e| Error {
            file: file.to_owned(),
            line: line_at(text.as_bytes(), e.span().map_or(0, |s| s.start)),
            key: String::new(),
            kind: ConfigErrorKind::Toml(join_lines(e.message())),
        })?;
        if root.get_ref().is_empty() {
            return Err(file_error(file, ConfigErrorKind::EmptyFile));
        }
        Ok(Document {
            file,
            text,
            newline_offsets: text.match_indices('\n').map(|(at, _)| at).collect(),
            root,
            errors: Vec::new(),
        })
    }

    /// Deserializes the document, before any check across its keys.
    pub(crate) fn deserialize<T: DeserializeOwned>(&self) -> Result<T> {
        toml::from_str(self.text).map_err(|e| {
            // An error without a span concerns the whole file.
            let span = e.span().filter(|s| !s.is_empty());
            let mut error = match span {
                Some(span) => self.error_at(&span, ConfigErrorKind::Toml(join_lines(e.message()))),
                None => self.file_error(ConfigErrorKind::Toml(join_lines(e.message()))),
            };
            classify_key_error(&mut error);
            error
        })
    }

    /// Returns whether the document has this key at its top level.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.root.get_ref().contains_key(key)
    }

    /// Returns an error that concerns the whole file.
    pub(crate) fn file_error(&self, kind: ConfigErrorKind) -> Error {
        file_error(self.file, kind)
    }

    /// Returns the line number, from 1, of the start of a span.
    pub(crate) fn line(&self, span: &Range<usize>) -> usize {
        1 + self.newline_offsets.partition_point(|&at| at < span.start)
    }

    /// Records an error at a span.
    pub(crate) fn record_error(&mut self, span: Range<usize>, kind: ConfigErrorKind) {
        let error = self.error_at(&span, kind);
        self.errors.push(error);
    }

    /// Ends the checks. Returns the first recorded error by line, if there is any.
    pub(crate) fn finish(self) -> Result<()> {
        let first = self.errors.into_iter().min_by_key(|e| e.line);
        first.map_or(Ok(()), Err)
    }

    /// Returns an error at a span, with the line and key found there.
    fn error_at(&self, span: &Range<usize>, kind: ConfigErrorKind) -> Error {
        let mut key = String::new();
        key_in_table(self.root.get_ref(), span, &mut key);
        Error {
            file: self.file.to_owned(),
            line: self.line(span),
            key,
            kind,
        }
    }
}

/// Recognizes serde's messages about missing and unknown keys and gives the error the matching
/// kind. If a later version of serde changes the wording, the error keeps the message unchanged.
fn classify_key_error(error: &mut Error) {
    let ConfigErrorKind::Toml(message) = &error.kind else {
        return;
    };
    let missing = message.strip_prefix("missing field `");
    if let Some(name) = missing.and_then(|m| m.strip_suffix('`')) {
        let dot = if error.key.is_empty() { "" } else { "." };
        error.key = format!("{}{dot}{name}", error.key);
        error.kind = ConfigErrorKind::MissingKey;
        return;
    }
    let unknown = message.strip_prefix("unknown field `");
    if let Some((_, expected)) = unknown.and_then(|m| m.split_once("`, ")) {
        error.kind = ConfigErrorKind::UnknownKey(expected.to_owned());
    }
}

/// Puts a message of the TOML library on one line.
fn join_lines(message: &str) -> String {
    message.trim().replace('\n', ", ")
}

/// Returns whether `outer` contains the whole of `inner`.
fn covers(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}

/// Appends the path of the innermost key at a span. Returns whether there is one.
fn key_in_table(table: &DeTable<'_>, span: &Range<usize>, path: &mut String) -> bool {
    for (key, value) in table.iter() {
        let before = path.len();
        if !path.is_empty() {
            path.push('.');
        }
        path.push_str(key.get_ref());
        let inside = key_in_value(value, span, path);
        if inside || covers(&key.span(), span) {
            return true;
        }
        path.truncate(before);
    }
    false
}

/// Does the same as [`key_in_table`] for a value.
fn key_in_value(value: &Spanned<DeValue<'_>>, span: &Range<usize>, path: &mut String) -> bool {
    let inside = match value.get_ref() {
        DeValue::Table(table) => key_in_table(table, span, path),
        DeValue::Array(array) => key_in_array(array.iter(), span, path),
        _ => false,
    };
    inside || covers(&value.span(), span)
}

/// Does the same as [`key_in_table`] for the items of an array.
fn key_in_array<'v, 'i: 'v>(
    items: impl Iterator<Item = &'v Spanned<DeValue<'i>>>,
    span: &Range<usize>,
    path: &mut String,
) -> bool {
    for (i, item) in items.enumerate() {
        let before = path.len();
        path.push_str(&format!("[{i}]"));
        if key_in_value(item, span, path) {
            return true;
        }
        path.truncate(before);
    }
    false
}
