//! Checks the ledgers of engines: each layer exactly once, in order, for every token.
//!
//! A lineage is one KV cache: what one incarnation of one engine ran of one attempt over one
//! layer range. The stages that gave the last token of an answer are lineages that cover every
//! layer once and have each run every position.

use std::collections::HashMap;

use kelpworks_fakes::FakeFleet;

/// What names a lineage.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    engine: String,
    incarnation: u64,
    attempt: u32,
    first: u32,
    end: u32,
}

/// Asserts that every lineage of a session ran its positions from 0 on, each once and in order,
/// and that the answer's last token came from lineages that cover all `layers` once, each over
/// all `positions`.
pub(crate) fn assert_exactly_once(fakes: &FakeFleet, session: &str, layers: u32, positions: u32) {
    let mut lineages: HashMap<Key, u32> = HashMap::new();
    for engine in &fakes.engines {
        for run in engine.ledger().runs_of(session) {
            let key = Key {
                engine: engine.name().to_owned(),
                incarnation: run.incarnation,
                attempt: run.attempt,
                first: run.layers.first,
                end: run.layers.end,
            };
            let next = lineages.entry(key.clone()).or_default();
            assert_eq!(run.position, *next, "not the next position: {key:?}");
            *next += run.count;
        }
    }
    let whole: Vec<&Key> = lineages
        .iter()
        .filter(|(_, ran)| **ran == positions)
        .map(|(key, _)| key)
        .collect();
    let covered = covers(&whole, 0, layers);
    assert!(
        covered,
        "no lineages over {positions} positions: {lineages:?}"
    );
    let most = lineages.values().max().copied().unwrap_or_default();
    assert!(most <= positions, "beyond the answer: {lineages:?}");
}

/// Whether some of the ranges cover `from..end`, each layer once.
fn covers(ranges: &[&Key], from: u32, end: u32) -> bool {
    from == end
        || ranges
            .iter()
            .any(|r| r.first == from && covers(ranges, r.end, end))
}
