//! A configuration file while it is read: finds the line and key of each fault.
//!
//! The three kinds of files (settings, register, rules) share this reader, so
//! that each fault is reported in one form, `file:line: key: message`.
//!
//! Values never enter a message unless they are names or quantities: a bearer
//! token that strays into a file must not reach a log.

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

/// Largest configuration file; the object API holds values of up to a megabyte.
pub const MAX_FILE_BYTES: usize = 1_000_000;

/// Longest name of anything in a configuration.
pub const MAX_NAME_BYTES: usize = 128;

/// A fault in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
#[error("{file}{}: {}{kind}", LineSuffix(*line), KeyPrefix(key))]
pub struct Error {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; 0 when the file has no line to show.
    pub line: usize,
    /// Path of the key, such as `host[3].address`; empty when the fault is the file's.
    pub key: String,
    /// What is wrong.
    pub kind: ConfigErrorKind,
}

/// The line as it stands after the name of the file.
struct LineSuffix(usize);

impl fmt::Display for LineSuffix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            0 => Ok(()),
            line => write!(f, ":{line}"),
        }
    }
}

/// The key as it stands before a message.
struct KeyPrefix<'a>(&'a str);

impl fmt::Display for KeyPrefix<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            "" => Ok(()),
            key => write!(f, "{key}: "),
        }
    }
}

/// What is wrong with a configuration file.
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
    /// The file holds nothing.
    #[error("file is empty")]
    EmptyFile,
    /// The file is not text.
    #[error("file is not UTF-8")]
    NotUtf8,
    /// A key that must be there is not; the line is that of its table.
    #[error("missing key")]
    MissingKey,
    /// A key that is not known here.
    #[error("unknown key, {0}")]
    UnknownKey(String),
    /// The text is not TOML, or a value is of another type.
    #[error("{0}")]
    Toml(String),
    /// A name that is empty, too long or has a character that names may not have.
    #[error("names have 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`")]
    InvalidName,
    /// A value that must differ from every other one appears twice.
    #[error("duplicate {item_kind} `{value}`, first on line {first}")]
    Duplicate {
        /// What it is.
        item_kind: &'static str,
        /// The value.
        value: String,
        /// Line of its first appearance.
        first: usize,
    },
    /// A token digest that appears twice; it is not repeated here.
    #[error("duplicate token digest, first on line {first}")]
    DuplicateToken {
        /// Line of its first appearance.
        first: usize,
    },
    /// A reference to something that is not defined.
    #[error("unknown {item_kind} `{name}`")]
    Undefined {
        /// What it is.
        item_kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A number that must be above 0.
    #[error("must be above 0")]
    NotPositive,
    /// A share that is not within 0 and 1.
    #[error("must be between 0 and 1")]
    ShareOutOfRange,
    /// A token digest in another form; the value is not repeated here.
    #[error("expected a list of SHA-256 digests, each of 64 hexadecimal digits")]
    InvalidDigest,
    /// A list that must not be empty.
    #[error("must name at least one {0}")]
    EmptyList(&'static str),
    /// A host that is neither or both of engine and service, and the like.
    #[error("{0}")]
    Constraint(&'static str),
    /// A URL in a form that is not taken; it is not repeated here.
    #[error("expected a URL such as `http://10.0.0.1:8080`, without user or password")]
    InvalidUrl,
    /// A value that must not exceed another.
    #[error("must not be above `{0}`")]
    AboveMax(&'static str),
    /// A value that must not be less than another.
    #[error("must not be below `{0}`")]
    BelowMin(&'static str),
    /// None of the kinds of files.
    #[error("neither settings, a register nor rules")]
    UnknownFileKind,
}

/// Reads a file, refusing a large one by its size before its content is read.
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

/// Turns the bytes of a file into its text.
///
/// # Errors
///
/// When there are too many bytes or they are not UTF-8.
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

/// A fault of a whole file, reported on its first line.
fn file_error(file: &str, kind: ConfigErrorKind) -> Error {
    Error {
        file: file.to_owned(),
        line: 1,
        key: String::new(),
        kind,
    }
}

/// Line of a byte offset, from 1.
fn line_at(text: &[u8], offset: usize) -> usize {
    let before = &text[..offset.min(text.len())];
    1 + before.iter().filter(|&&b| b == b'\n').count()
}

/// A file under reading, and the faults found in it so far.
#[derive(Debug)]
pub(crate) struct Document<'a> {
    file: &'a str,
    text: &'a str,
    /// Offsets of the line breaks, rising: the line of each name is asked for, and counting from
    /// the start of the text each time would take time by the square of its size.
    newline_offsets: Vec<usize>,
    root: Spanned<DeTable<'a>>,
    errors: Vec<Error>,
}

impl<'a> Document<'a> {
    /// Opens a document: checks its size and that it is TOML.
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

    /// Reads the document into its raw form.
    pub(crate) fn deserialize<T: DeserializeOwned>(&self) -> Result<T> {
        toml::from_str(self.text).map_err(|e| {
            // Without a span the fault is the whole file's.
            let span = e.span().filter(|s| !s.is_empty());
            let mut error = match span {
                Some(span) => self.error_at(&span, ConfigErrorKind::Toml(join_lines(e.message()))),
                None => self.file_error(ConfigErrorKind::Toml(join_lines(e.message()))),
            };
            classify_key_error(&mut error);
            error
        })
    }

    /// Whether the document has this key at its top.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.root.get_ref().contains_key(key)
    }

    /// A fault of the whole file.
    pub(crate) fn file_error(&self, kind: ConfigErrorKind) -> Error {
        file_error(self.file, kind)
    }

    /// Line of a span.
    pub(crate) fn line(&self, span: &Range<usize>) -> usize {
        1 + self.newline_offsets.partition_point(|&at| at < span.start)
    }

    /// Notes a fault at a span.
    pub(crate) fn record_error(&mut self, span: Range<usize>, kind: ConfigErrorKind) {
        let error = self.error_at(&span, kind);
        self.errors.push(error);
    }

    /// Ends the checks: the first fault by line, if there is any.
    pub(crate) fn finish(self) -> Result<()> {
        let first = self.errors.into_iter().min_by_key(|e| e.line);
        first.map_or(Ok(()), Err)
    }

    /// The fault at a span.
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

/// Turns serde's two messages about keys into kinds of their own. Should serde word them
/// otherwise one day, the message stays as it is.
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

/// A message of the TOML library on one line.
fn join_lines(message: &str) -> String {
    message.trim().replace('\n', ", ")
}

/// Whether `outer` covers the start of `inner`.
fn covers(outer: &Range<usize>, inner: &Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}

/// Appends the path of the innermost key at a span; says whether there is one.
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

/// As [`key_in_table`], for a value.
fn key_in_value(value: &Spanned<DeValue<'_>>, span: &Range<usize>, path: &mut String) -> bool {
    let inside = match value.get_ref() {
        DeValue::Table(table) => key_in_table(table, span, path),
        DeValue::Array(array) => key_in_array(array.iter(), span, path),
        _ => false,
    };
    inside || covers(&value.span(), span)
}

/// As [`key_in_table`], for the items of an array.
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
