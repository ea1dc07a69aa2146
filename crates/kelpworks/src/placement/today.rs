//! Keeps to what hosts hold today, so that few layers have to be loaded.

use super::input::HostKey;
use super::input::Input;
use super::plan::covers;
use super::state::Cuts;
use super::state::State;
use super::state::View;
use kelpworks_wire::LayerRange;

/// The state that today's holdings amount to: for each model the ranges that tile its layers, of
/// whatever version, with their holders. `None` when some model's holdings tile no such cuts.
pub(super) fn state<'a>(input: &Input, view: &'a View) -> Option<State<'a>> {
    let tiles = (0..input.models.len()).map(|m| tiling(input, m));
    let tiles: Vec<Vec<LayerRange>> = tiles.collect::<Option<_>>()?;
    let length = |r: &LayerRange| r.end - r.first;
    let lengths = tiles.iter().map(|t| t.iter().map(length).collect());
    let cuts = Cuts {
        lengths: lengths.collect(),
    };
    let mut state = State::new(view, input, &cuts);
    take_held(input, &mut state);
    Some(state)
}

/// Places idle hosts on the slots whose layers they hold, of whatever version.
pub(super) fn take_held(input: &Input, state: &mut State<'_>) {
    let ranges = ranges(state);
    for held in &input.loaded_ranges {
        let same = |r: &SlotRange| r.model == usize::from(held.model.0) && r.layers == held.layers;
        let Some(slot) = ranges.iter().position(same) else {
            continue;
        };
        if state.at[held.host.index()].is_none() && state.fits(held.host, slot) {
            state.place(held.host, Some(slot));
        }
    }
}

/// Held ranges of a model that cover each layer once, in order: from each layer on, the range that
/// most hosts hold.
fn tiling(input: &Input, model: usize) -> Option<Vec<LayerRange>> {
    let layers = input.models[model].layers;
    let mut tiles: Vec<LayerRange> = Vec::new();
    let mut at = 0;
    while at < layers {
        let starts = |r: &LayerRange| r.first == at && r.end > at && r.end <= layers;
        let of_model = input
            .loaded_ranges
            .iter()
            .filter(|h| usize::from(h.model.0) == model);
        let mut counts: Vec<(u32, usize)> = Vec::new();
        for held in of_model.filter(|h| starts(&h.layers)) {
            match counts.iter_mut().find(|c| c.0 == held.layers.end) {
                Some(found) => found.1 += 1,
                None => counts.push((held.layers.end, 1)),
            }
        }
        let (end, _) = counts
            .into_iter()
            .max_by_key(|&(end, count)| (count, end))?;
        tiles.push(LayerRange { first: at, end });
        at = end;
    }
    Some(tiles)
}

/// Swaps hosts that are alike, and nothing else, until no swap saves a byte.
pub(super) fn keep_alike(input: &Input, state: &mut State<'_>) {
    if input.loaded_ranges.is_empty() {
        return;
    }
    let ranges = ranges(state);
    let saved = |host: HostKey, slot: Option<usize>| {
        slot.map_or(0, |s| held_bytes(input, host, &ranges[s]))
    };
    let hosts = state.view.usable.clone();
    for (i, &a) in hosts.iter().enumerate() {
        for &b in &hosts[i + 1..] {
            let (at_a, at_b) = (state.at[a.index()], state.at[b.index()]);
            if at_a == at_b || !state.view.alike(a, b) {
                continue;
            }
            if saved(a, at_b) + saved(b, at_a) > saved(a, at_a) + saved(b, at_b) {
                state.place(a, at_b);
                state.place(b, at_a);
            }
        }
    }
}

/// Model and layers of a slot.
struct SlotRange {
    /// Index of the model.
    model: usize,
    /// Its layers.
    layers: LayerRange,
}

fn ranges(state: &State<'_>) -> Vec<SlotRange> {
    let mut ranges: Vec<SlotRange> = Vec::new();
    for slot in &state.slots {
        let before = ranges.last().filter(|r| r.model == slot.model);
        let first = before.map_or(0, |r| r.layers.end);
        let layers = LayerRange {
            first,
            end: first + slot.length,
        };
        ranges.push(SlotRange {
            model: slot.model,
            layers,
        });
    }
    ranges
}

/// Bytes that a host need not load for a slot, since it holds all its layers in the version to
/// serve.
fn held_bytes(input: &Input, host: HostKey, slot: &SlotRange) -> u64 {
    let model = &input.models[slot.model];
    let held = input.loaded_ranges.iter().any(|h| {
        h.host == host
            && usize::from(h.model.0) == slot.model
            && h.version == model.version
            && covers(&h.layers, &slot.layers)
    });
    let layers = slot.layers.end - slot.layers.first;
    u64::from(held) * u64::from(layers) * model.layer_size.0
}
