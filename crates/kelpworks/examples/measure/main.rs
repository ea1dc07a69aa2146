//! Measurements: `cargo run --release --locked --example measure -- NAME [--json]`.
//!
//! Each prints a table in which results stand beside named baselines of the same run.
//! Timings are given as ratios. Nothing here runs in CI.

use std::process::ExitCode;

mod busy;
mod capacity;
mod control;
mod decision;
mod fairness;
mod fleets;
mod net;
mod overload;
mod overload_policy;
mod path_policy;
mod placement;
mod placement_baselines;
mod recovery;
mod share;
mod sim;
mod spread;
mod stats;
#[path = "../support/mod.rs"]
mod support;
mod table;
mod throughput;

use crate::table::Table;

struct Measurement {
    /// Name on the command line.
    name: &'static str,
    run: fn() -> Table,
}

const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "busy",
        run: busy::table,
    },
    Measurement {
        name: "capacity",
        run: capacity::run,
    },
    Measurement {
        name: "control",
        run: control::run,
    },
    Measurement {
        name: "decision",
        run: decision::table,
    },
    Measurement {
        name: "fairness",
        run: fairness::table,
    },
    Measurement {
        name: "overload",
        run: overload::run,
    },
    Measurement {
        name: "overload-policy",
        run: overload_policy::table,
    },
    Measurement {
        name: "path-policy",
        run: path_policy::table,
    },
    Measurement {
        name: "placement",
        run: placement::run,
    },
    Measurement {
        name: "recovery",
        run: recovery::run,
    },
    Measurement {
        name: "share",
        run: share::run,
    },
    Measurement {
        name: "spread",
        run: spread::run,
    },
    Measurement {
        name: "throughput",
        run: throughput::run,
    },
];

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let json = args.iter().any(|a| a == "--json");
    let name = args.iter().find(|a| !a.starts_with("--"));
    let found = MEASUREMENTS
        .iter()
        .find(|m| Some(m.name) == name.map(String::as_str));
    let Some(found) = found else {
        let names: Vec<&str> = MEASUREMENTS.iter().map(|m| m.name).collect();
        eprintln!(
            "usage: measure NAME [--json]; NAME is one of {}",
            names.join(", ")
        );
        return ExitCode::from(2);
    };
    let table = (found.run)();
    if json {
        table.print_json()
    } else {
        table.print()
    }
    ExitCode::SUCCESS
}
