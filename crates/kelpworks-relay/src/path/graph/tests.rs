//! Searches over many engines that hold the same layers.

use std::sync::Arc;

use slotmap::SlotMap;

use super::Candidate;
use super::Graph;
use crate::adapter::LayerRange;
use crate::fleet::UpstreamKey;

const LAYERS: u16 = 80;
/// Ranges that engines hold; two of them are a path.
const RANGES: [(u16, u16); 4] = [(0, 40), (40, 80), (20, 60), (60, 80)];

/// Returns a graph with `copies` engines for each of [`RANGES`], and their keys in the order in
/// which they were added. The first copies are the cheapest.
fn graph(copies: usize) -> (Graph, Vec<UpstreamKey>) {
    let mut keys: SlotMap<UpstreamKey, ()> = SlotMap::with_key();
    let mut graph = Graph::new(LayerRange {
        from: 0,
        to: LAYERS,
    });
    let mut added = Vec::new();
    for copy in 0..copies {
        for (from, to) in RANGES {
            let key = keys.insert(());
            let candidate = Candidate {
                key,
                range: LayerRange { from, to },
                domain: 0,
                may_begin: true,
                layer_ms: 0.1 + copy as f64 * 0.01,
                entry_ms: 0.0,
            };
            graph.add(candidate, &Arc::from("a"));
            added.push(key);
        }
    }
    (graph, added)
}

/// The time of a search must not grow with the engines, of which a large fleet has thousands.
#[test]
fn number_of_groups_does_not_depend_on_the_number_of_engines() {
    for copies in [1, 10, 1_000] {
        let (graph, _) = graph(copies);
        assert_eq!(graph.groups.len(), RANGES.len(), "{copies} copies");
    }
}

#[test]
fn next_engine_of_a_group_is_used_when_the_cheapest_becomes_dearer() {
    let (mut graph, keys) = graph(3);
    let path = |graph: &Graph| -> Vec<UpstreamKey> {
        let parts = graph.solve("a", &[]).expect("a path");
        parts.into_iter().map(|(key, _)| key).collect()
    };
    assert_eq!(path(&graph), [keys[0], keys[1]]);
    graph.set_layer_ms(0, f64::INFINITY);
    assert_eq!(path(&graph), [keys[RANGES.len()], keys[1]]);
    graph.set_layer_ms(0, 0.01);
    assert_eq!(path(&graph), [keys[0], keys[1]]);
}

#[test]
fn required_first_engine_is_used_though_others_of_its_group_are_cheaper() {
    let (graph, keys) = graph(3);
    let dearest = keys[2 * RANGES.len()];
    let parts = graph.solve("a", &[dearest]).expect("a path");
    assert_eq!(parts.first().map(|&(key, _)| key), Some(dearest));
}
