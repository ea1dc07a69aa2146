//! `kelpworks check`: reads files of any kind and applies nothing.

use std::path::Path;
use std::path::PathBuf;

use crate::failure::Failure;
use crate::failure::Result;
use kelpworks::config::document;
use kelpworks::config::document::read_file;
use kelpworks::config::file_kind::FileKind;
use kelpworks::register::Register;
use kelpworks::rules::Rules;
use kelpworks::settings::Settings;

/// A file that was read, with its kind.
struct Input<'a> {
    path: &'a Path,
    name: String,
    text: String,
    kind: FileKind,
}

/// A valid register among the files.
struct ParsedRegister<'a> {
    path: &'a Path,
    register: Register,
}

/// Checks all files and reports the first error of each.
pub(crate) fn run(files: &[PathBuf]) -> Result<()> {
    let mut faults = Vec::new();
    let mut inputs = Vec::new();
    for path in files {
        match read_input(path) {
            Ok(input) => inputs.push(input),
            Err(e) => faults.push(e),
        }
    }
    let registers = registers(&inputs);
    for input in &inputs {
        let register = register_for(input, &registers)?;
        match check(input, register) {
            Ok(()) => println!("{}: {}", input.name, ok_message(input, register)),
            Err(e) => faults.push(e),
        }
    }
    match faults.is_empty() {
        true => Ok(()),
        false => Err(Failure::Files(faults)),
    }
}

/// Reads a file and determines its kind.
fn read_input(path: &Path) -> document::Result<Input<'_>> {
    let name = path.display().to_string();
    let text = read_file(path)?;
    let kind = FileKind::detect(&name, &text)?;
    Ok(Input {
        path,
        name,
        text,
        kind,
    })
}

/// Returns the valid registers. [`check`] reports the errors of the others.
fn registers<'a>(inputs: &[Input<'a>]) -> Vec<ParsedRegister<'a>> {
    let parse = |i: &Input<'a>| {
        let register = Register::parse(&i.name, &i.text).ok()?;
        Some(ParsedRegister {
            path: i.path,
            register,
        })
    };
    let is_register = |i: &&Input<'_>| i.kind == FileKind::Register;
    inputs
        .iter()
        .filter(is_register)
        .filter_map(parse)
        .collect()
}

/// Returns the register to check a file against: the one in its directory, or else the only one.
fn register_for<'a>(
    input: &Input<'_>,
    registers: &'a [ParsedRegister<'_>],
) -> Result<Option<&'a Register>> {
    let is_in_same_directory = |c: &&ParsedRegister<'_>| c.path.parent() == input.path.parent();
    let same_directory: Vec<_> = registers.iter().filter(is_in_same_directory).collect();
    let candidates = match same_directory.is_empty() {
        true => registers.iter().collect(),
        false => same_directory,
    };
    match candidates[..] {
        [] => Ok(None),
        [one] => Ok(Some(&one.register)),
        _ if input.kind == FileKind::Register => Ok(None),
        _ => {
            let text = format!("{}: several registers to check it against", input.name);
            Err(Failure::Usage(text))
        }
    }
}

/// Parses a file, and checks it against the register if there is one.
fn check(input: &Input<'_>, register: Option<&Register>) -> document::Result<()> {
    let (name, text) = (&input.name, &input.text);
    match (input.kind, register) {
        (FileKind::Settings, Some(r)) => Settings::parse_with_register(name, text, r).map(drop),
        (FileKind::Settings, None) => Settings::parse(name, text).map(drop),
        (FileKind::Register, _) => Register::parse(name, text).map(drop),
        (FileKind::Rules, Some(r)) => Rules::parse(name, text, r).map(drop),
        (FileKind::Rules, None) => Rules::parse_without_register(name, text).map(drop),
    }
}

/// Returns the text to print for a valid file.
fn ok_message(input: &Input<'_>, register: Option<&Register>) -> String {
    let kind = input.kind.as_str();
    match (input.kind, register) {
        (FileKind::Rules, None) => format!("{kind} ok, not checked against a register"),
        _ => format!("{kind} ok"),
    }
}
