//! `kelpworks register import` and `kelpworks rules apply`.

use std::net::SocketAddr;
use std::path::Path;

use crate::args::Change;
use crate::failure::Failure;
use crate::failure::Result;
use crate::rollout;
use kelpworks::clients::object_api::Deadlines;
use kelpworks::clients::object_api::HttpObjectApi;
use kelpworks::config::accept;
use kelpworks::config::accept::PartKind;
use kelpworks::config::accept::Proposal;
use kelpworks::config::accept::RetryPolicy;
use kelpworks::config::accept::part_name;
use kelpworks::config::document::read_file;
use kelpworks::register::Register;
use kelpworks::rules::Rules;
use kelpworks::settings::Settings;

/// The object API and the daemons that a change contacts.
struct Target {
    api: HttpObjectApi,
    operators: Vec<SocketAddr>,
}

/// Applies a change, or prints what it would do on a dry run.
pub(crate) async fn run(change: &Change) -> Result<()> {
    let proposal = read_proposal(change.which, &change.file)?;
    let target = target(change)?;
    if change.dry_run {
        return print_diff(&target, &proposal).await;
    }
    let accepted = accept::accept(&target.api, &proposal, RetryPolicy::default()).await;
    let accepted = accepted.map_err(Failure::Accept)?;
    let generation = accepted.generation;
    let noun = part_name(change.which);
    match accepted.changed {
        true => println!("{noun} accepted as generation {generation}"),
        false => println!("{noun} already accepted, as of generation {generation}"),
    }
    rollout::wait(generation, &target.operators, change.wait).await
}

/// Reads and parses the new text, so that its own errors are reported before any system is
/// contacted.
fn read_proposal(which: PartKind, file: &Path) -> Result<Proposal> {
    let name = file.display().to_string();
    let text = read_file(file)?;
    match which {
        PartKind::Register => Register::parse(&name, &text).map(drop)?,
        PartKind::Rules => Rules::parse_without_register(&name, &text).map(drop)?,
    }
    Ok(Proposal::new(which, &name, text))
}

/// Returns the systems to apply the change to; options override the settings.
fn target(change: &Change) -> Result<Target> {
    let settings = match &change.settings {
        Some(file) => Some(read_settings(file)?),
        None => None,
    };
    let from_settings = settings.as_ref().map(|s| s.platform.object_api.clone());
    let url = change.object_api.clone().or(from_settings);
    let missing = || Failure::Usage("an object API is missing".to_owned());
    let api = HttpObjectApi::new(&url.ok_or_else(missing)?, Deadlines::default());
    let api = api.map_err(|e| Failure::Usage(e.to_string()))?;
    Ok(Target {
        api,
        operators: operators(&change.operators, settings.as_ref()),
    })
}

pub(crate) fn read_settings(file: &Path) -> Result<Settings> {
    let name = file.display().to_string();
    let text = read_file(file)?;
    Ok(Settings::parse(&name, &text)?)
}

/// Returns the operators' addresses to query: those given, or else the one of the settings.
pub(crate) fn operators(given: &[SocketAddr], settings: Option<&Settings>) -> Vec<SocketAddr> {
    match settings {
        Some(s) if given.is_empty() => vec![s.listen.operators],
        _ => given.to_vec(),
    }
}

/// Prints the difference between the accepted configuration and the proposal, and applies nothing.
async fn print_diff(target: &Target, proposal: &Proposal) -> Result<()> {
    let plan = accept::plan(&target.api, proposal, RetryPolicy::default()).await;
    let plan = plan.map_err(Failure::Accept)?;
    println!("against generation {}, nothing applied:", plan.generation);
    match plan.diff.is_empty() {
        true => println!("no difference"),
        false => print!("{}", plan.diff),
    }
    Ok(())
}
