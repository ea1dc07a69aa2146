//! Placement on mixed fleets: rate over the hardware bound, survival, times and moves.

use std::time::Instant;

use kelpworks::placement;

use crate::fleets;
use crate::table::Table;

/// Seeds of each row.
const SEEDS: std::ops::Range<u64> = 1..6;

/// Runs the measurement.
pub(crate) fn run() -> Table {
    let mut rows = Vec::new();
    for shape in fleets::FLEETS {
        for seed in SEEDS {
            let input = fleets::draw(shape, seed);
            let start = Instant::now();
            let plan = placement::plan(&input);
            let t = start.elapsed();
            let stages: Vec<String> = plan
                .models
                .iter()
                .map(|m| m.stages.len().to_string())
                .collect();
            let spare = plan.assignments.iter().filter(|a| a.is_none()).count();
            rows.push(vec![
                shape.name.to_owned(),
                seed.to_string(),
                format!("{:.4}", plan.scale(&input) / input.bound()),
                format!("{:?}", t),
                stages.join("+"),
                spare.to_string(),
                format!("{:?}", plan.shortfalls),
            ]);
        }
    }
    Table {
        title: "placement".to_owned(),
        head: vec!["fleet", "seed", "ratio", "time", "stages", "spare", "short"],
        rows,
    }
}
