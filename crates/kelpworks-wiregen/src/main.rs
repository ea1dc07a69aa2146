//! Generator of the wire types, run by hand after a change of the schema:
//! `cargo run -p kelpworks-wiregen`.
//!
//! The result is committed, so that a build of kelpworks doesn't need the generator. A test of this
//! crate fails when the committed file is out of date.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

mod generate;

fn main() -> ExitCode {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../kelpworks-wire");
    let written = generate::generate(&root)
        .and_then(|code| Ok(fs::write(root.join(generate::OUTPUT), code)?));
    match written {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("wiregen: {e}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
