//! Checks the run ledgers of the fake engines: every token passes each layer exactly once, in
//! order.
//!
//! A lineage is one KV cache: the positions that one incarnation of one engine ran for one attempt
//! over one layer range. The stages that produced the last token of an answer are lineages that
//! cover every layer once, and each of them has run every position.

use std::collections::HashMap;

use kelpworks_fakes::FakeFleet;

/// Identifies a lineage within a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LineageKey {
    engine: String,
    incarnation: u64,
    attempt: u32,
    first: u32,
    end: u32,
}

/// Asserts that every lineage of a session ran its positions from 0 on, each once and in order,
/// and that the lineages that ran all `positions` include a set that covers all `layers` exactly
/// once. Fails if a lineage ran more than `positions`.
pub(crate) fn assert_exactly_once(fakes: &FakeFleet, session: &str, layers: u32, positions: u32) {
    let mut lineages: HashMap<LineageKey, u32> = HashMap::new();
    for engine in &fakes.engines {
        for run in engine.ledger().runs_of(session) {
            let lineage = LineageKey {
                engine: engine.name().to_owned(),
                incarnation: run.incarnation,
                attempt: run.attempt,
                first: run.layers.first,
                end: run.layers.end,
            };
            let next = lineages.entry(lineage.clone()).or_default();
            assert_eq!(
                run.position, *next,
                "position run out of order: {lineage:?}"
            );
            *next += run.count;
        }
    }
    let complete: Vec<&LineageKey> = lineages
        .iter()
        .filter(|(_, ran)| **ran == positions)
        .map(|(lineage, _)| lineage)
        .collect();
    let covered = covers(&complete, 0, layers);
    assert!(
        covered,
        "no set of lineages covers all layers over {positions} positions: {lineages:?}"
    );
    let max_positions = lineages.values().max().copied().unwrap_or_default();
    assert!(
        max_positions <= positions,
        "positions run beyond the end of the answer: {lineages:?}"
    );
}

/// Whether a subset of the ranges covers `from..end`, each layer once.
fn covers(ranges: &[&LineageKey], from: u32, end: u32) -> bool {
    from == end
        || ranges
            .iter()
            .any(|r| r.first == from && covers(ranges, r.end, end))
}
