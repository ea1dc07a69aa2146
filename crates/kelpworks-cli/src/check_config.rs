//! `kelpworks check-config`: checks a configuration of relaying daemons and applies nothing.

use std::fs::File;
use std::io;
use std::io::Read;
use std::path::Path;

use serde_json::Value;
use serde_json::json;

use crate::args::ConfigCheck;
use crate::failure::Failure;
use crate::failure::FindingCounts;
use crate::failure::Result;
use kelpworks_platform::PlatformAdapter;
use kelpworks_relay::adapter::Adapter;
use kelpworks_relay::config::Configuration;
use kelpworks_relay::config_check;
use kelpworks_relay::config_check::Finding;

/// Maximum size of a configuration, in bytes: the largest answer of the store that a daemon reads.
const MAX_CONFIGURATION_BYTES: u64 = 8 << 20;

/// Prints the findings in a configuration, and its differences from the one in force.
pub(crate) fn run(check: &ConfigCheck) -> Result<()> {
    let text = read(&check.file)?;
    let in_force = check.against.as_deref().map(decode).transpose();
    let compared = in_force.as_ref().ok().and_then(Option::as_ref);
    let findings = config_check::check::<PlatformAdapter>(&text, compared);
    let file = check.file.display().to_string();
    match check.json {
        true => println!("{:#}", to_json(&findings)?),
        false => print_text(&file, &findings),
    }
    in_force?;
    match findings.is_empty() {
        true => Ok(()),
        false => Err(Failure::Findings {
            file,
            counts: FindingCounts::new(&findings),
        }),
    }
}

fn read(path: &Path) -> Result<String> {
    let unreadable = |reason| Failure::ConfigurationFile {
        file: path.display().to_string(),
        reason,
    };
    let file = File::open(path).map_err(|e| unreadable(e.kind()))?;
    let mut text = String::new();
    let mut file = file.take(MAX_CONFIGURATION_BYTES + 1);
    match file.read_to_string(&mut text) {
        Ok(bytes) if bytes as u64 > MAX_CONFIGURATION_BYTES => {
            Err(unreadable(io::ErrorKind::FileTooLarge))
        }
        Ok(_) => Ok(text),
        Err(e) => Err(unreadable(e.kind())),
    }
}

fn decode(path: &Path) -> Result<Configuration> {
    let text = read(path)?;
    PlatformAdapter::decode_configuration(&text).map_err(|source| Failure::InForce {
        file: path.display().to_string(),
        source,
    })
}

fn print_text(file: &str, findings: &[Finding]) {
    if findings.is_empty() {
        println!("{file}: configuration ok");
    }
    for finding in findings {
        println!("{file}: {finding}");
    }
}

/// Returns the findings as JSON: their typed values, each with its line of text.
fn to_json(findings: &[Finding]) -> Result<Value> {
    let mut values = Vec::new();
    for finding in findings {
        let mut value = serde_json::to_value(finding).map_err(io::Error::from)?;
        value["text"] = finding.to_string().into();
        values.push(value);
    }
    Ok(json!({ "findings": values }))
}
