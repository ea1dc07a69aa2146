//! Tells settings, a register and rules apart by their keys.

use super::document::ConfigErrorKind;
use super::document::Document;
use super::document::Result;

/// The kinds of configuration files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FileKind {
    /// Settings of one daemon.
    Settings,
    /// The register.
    Register,
    /// The rules.
    Rules,
}

/// Top keys that only one kind of file has.
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
    /// The kind of a file by its top keys; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// When the text is not TOML, or has no key of any kind.
    pub fn detect(file: &str, text: &str) -> Result<FileKind> {
        let doc = Document::open(file, text)?;
        let has_any = |keys: &[&str]| keys.iter().any(|k| doc.has_key(k));
        let found = TOP_LEVEL_KEYS.iter().find(|(_, keys)| has_any(keys));
        match found {
            Some((kind, _)) => Ok(*kind),
            None => Err(doc.file_error(ConfigErrorKind::UnknownFileKind)),
        }
    }

    /// The kind as operators call it.
    pub fn as_str(self) -> &'static str {
        match self {
            FileKind::Settings => "settings",
            FileKind::Register => "register",
            FileKind::Rules => "rules",
        }
    }
}
