//! Reuse of layers that hosts have already loaded, so that a new plan needs few loads.

use super::input::HostKey;
use super::input::Input;
use super::plan::covers;
use super::state::HostTable;
use super::state::Partition;
use super::state::SearchState;
use kelpworks_wire::LayerRange;

/// Returns the state that corresponds to the loaded ranges: each model is partitioned into loaded
/// ranges of any version, and hosts are assigned to the ranges that they have loaded. `None` when
/// the loaded ranges of some model can't be joined to cover its layers.
pub(super) fn state_from_loaded<'a>(
    input: &Input,
    host_table: &'a HostTable,
) -> Option<SearchState<'a>> {
    let ranges = (0..input.models.len()).map(|m| tile_layers(input, m));
    let ranges: Vec<Vec<LayerRange>> = ranges.collect::<Option<_>>()?;
    let length = |r: &LayerRange| r.end - r.first;
    let lengths = ranges.iter().map(|t| t.iter().map(length).collect());
    let partition = Partition {
        lengths: lengths.collect(),
    };
    let mut state = SearchState::new(host_table, input, &partition);
    place_loaded_hosts(input, &mut state);
    Some(state)
}

/// Assigns each unassigned host that has loaded exactly the layers of a slot, in any version, to
/// that slot.
pub(super) fn place_loaded_hosts(input: &Input, state: &mut SearchState<'_>) {
    let slot_ranges = slot_ranges(state);
    for loaded in &input.loaded_ranges {
        let same =
            |r: &SlotRange| r.model == usize::from(loaded.model.0) && r.layers == loaded.layers;
        let Some(slot) = slot_ranges.iter().position(same) else {
            continue;
        };
        if state.slot_of[loaded.host.index()].is_none() && state.fits(loaded.host, slot) {
            state.place(loaded.host, Some(slot));
        }
    }
}

/// Selects loaded ranges of a model, in order, that cover each layer once: at each boundary the
/// next range is the one that most hosts have loaded, the longest of them on a tie. `None` when no
/// loaded range starts at a boundary. It does not backtrack.
fn tile_layers(input: &Input, model: usize) -> Option<Vec<LayerRange>> {
    let layers = input.models[model].layers;
    let mut ranges: Vec<LayerRange> = Vec::new();
    let mut next_layer = 0;
    while next_layer < layers {
        let starts =
            |r: &LayerRange| r.first == next_layer && r.end > next_layer && r.end <= layers;
        let of_model = input
            .loaded_ranges
            .iter()
            .filter(|h| usize::from(h.model.0) == model);
        let mut counts: Vec<(u32, usize)> = Vec::new();
        for loaded in of_model.filter(|h| starts(&h.layers)) {
            match counts.iter_mut().find(|c| c.0 == loaded.layers.end) {
                Some(found) => found.1 += 1,
                None => counts.push((loaded.layers.end, 1)),
            }
        }
        let (end, _) = counts
            .into_iter()
            .max_by_key(|&(end, count)| (count, end))?;
        ranges.push(LayerRange {
            first: next_layer,
            end,
        });
        next_layer = end;
    }
    Some(ranges)
}

/// Swaps the slots of interchangeable hosts where that leaves fewer bytes to load, in one pass over
/// all pairs of hosts.
pub(super) fn swap_interchangeable(input: &Input, state: &mut SearchState<'_>) {
    if input.loaded_ranges.is_empty() {
        return;
    }
    let slot_ranges = slot_ranges(state);
    let saved_bytes = |host: HostKey, slot: Option<usize>| {
        slot.map_or(0, |s| loaded_bytes(input, host, &slot_ranges[s]))
    };
    let hosts = state.host_table.usable.clone();
    for (i, &a) in hosts.iter().enumerate() {
        for &b in &hosts[i + 1..] {
            let (slot_a, slot_b) = (state.slot_of[a.index()], state.slot_of[b.index()]);
            if slot_a == slot_b || !state.host_table.is_interchangeable(a, b) {
                continue;
            }
            if saved_bytes(a, slot_b) + saved_bytes(b, slot_a)
                > saved_bytes(a, slot_a) + saved_bytes(b, slot_b)
            {
                state.place(a, slot_b);
                state.place(b, slot_a);
            }
        }
    }
}

/// Layer range of a slot; slots themselves record only their length.
struct SlotRange {
    /// Index of the model.
    model: usize,
    layers: LayerRange,
}

fn slot_ranges(state: &SearchState<'_>) -> Vec<SlotRange> {
    let mut slot_ranges: Vec<SlotRange> = Vec::new();
    for slot in &state.slots {
        let previous = slot_ranges.last().filter(|r| r.model == slot.model);
        let first = previous.map_or(0, |r| r.layers.end);
        let layers = LayerRange {
            first,
            end: first + slot.length,
        };
        slot_ranges.push(SlotRange {
            model: slot.model,
            layers,
        });
    }
    slot_ranges
}

/// Returns the bytes that a host saves in a slot: the size of the slot's layers when the host has
/// loaded all of them in the version to serve, else 0.
fn loaded_bytes(input: &Input, host: HostKey, slot: &SlotRange) -> u64 {
    let model = &input.models[slot.model];
    let loaded = input.loaded_ranges.iter().any(|h| {
        h.host == host
            && usize::from(h.model.0) == slot.model
            && h.version == model.version
            && covers(&h.layers, &slot.layers)
    });
    let layers = slot.layers.end - slot.layers.first;
    u64::from(loaded) * u64::from(layers) * model.layer_size.0
}
