//! Generates Rust source text from the JSON schema of the wire types.

use std::error::Error;
use std::fs;
use std::path::Path;

use schemars::schema::RootSchema;
use typify::TypeSpace;
use typify::TypeSpaceSettings;

/// Result of the generator; any error ends the program.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Path of the schema, relative to the wire crate.
pub(crate) const SCHEMA: &str = "schemas/wire.json";
/// Path of the generated types, relative to the wire crate.
pub(crate) const OUTPUT: &str = "src/types.rs";

const HEADER: &str = "// Generated from `schemas/wire.json` by `kelpworks-wiregen`; change the schema, not this.\n\n";

/// Returns the source text of the wire types for the wire crate at `root`.
///
/// # Errors
///
/// When the schema can't be read, parsed or turned into types.
pub(crate) fn generate(root: &Path) -> Result<String> {
    let text = fs::read_to_string(root.join(SCHEMA))?;
    let schema: RootSchema = serde_json::from_str(&text)?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema)?;
    let file = syn::parse2(space.to_stream())?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}
