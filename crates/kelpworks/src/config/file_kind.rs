//! Detects from its keys whether a file holds settings, a register or rules.

use super::document::ConfigErrorKind;
use super::document::Document;
use super::document::Result;

/// Kind of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FileKind {
    /// Settings of one daemon.
    Settings,
    /// Hosts, models and failure domains of the fleet.
    Register,
    /// Teams, the trial share and non-idempotent requests.
    Rules,
}

/// Top-level keys that occur in only one kind of file.
const TOP_LEVEL_KEYS: &[(FileKind, &[&str])] = &[
    (
        FileKind::Settings,
        &["listen", "platform", "log", "limits", "timing"],
    ),
    (
        FileKind::Register,
        &["host", "accelerator", "model", "link"],
    ),
    (FileKind::Rules, &["trial", "team", "non_idempotent"]),
];

impl FileKind {
    /// Detects the kind of a file from its top-level keys. `file` is its name in errors.
    ///
    /// # Errors
    ///
    /// When the text is too large, empty or not TOML, or has none of the keys that identify a kind.
    pub fn detect(file: &str, text: &str) -> Result<FileKind> {
        let doc = Document::open(file, text)?;
        let has_any = |keys: &[&str]| keys.iter().any(|k| doc.has_key(k));
        let found = TOP_LEVEL_KEYS.iter().find(|(_, keys)| has_any(keys));
        match found {
            Some((kind, _)) => Ok(*kind),
            None => Err(doc.file_error(ConfigErrorKind::UnknownFileKind)),
        }
    }

    /// Returns the name of the kind in commands and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            FileKind::Settings => "settings",
            FileKind::Register => "register",
            FileKind::Rules => "rules",
        }
    }
}
