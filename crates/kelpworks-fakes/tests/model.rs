//! The fake model.

use std::ops::Range;
use std::slice;

use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_assert_ne;
use proptest::proptest;

use kelpworks_fakes::Model;
use kelpworks_fakes::token_text;
use kelpworks_fakes::tokenize;

const LAYERS: u32 = 6;

/// All layers in one range.
const WHOLE: &[Range<u32>] = slice::from_ref(&(0..LAYERS));

/// Returns the final row of a prompt that is run through these layer ranges, as a pipeline does.
fn row_through(ranges: &[Range<u32>], prompt: &[u32]) -> u64 {
    let model = Model::new("caption", "1", LAYERS);
    let mut row = 0;
    let caches = ranges.iter().map(|r| model.cache(r.clone()));
    let mut caches: Vec<_> = caches.collect();
    for (position, token) in (0..).zip(prompt) {
        row = model.embed(*token, position);
        for kv in &mut caches {
            row = model.run(kv, row, position);
        }
    }
    row
}

proptest! {
    #[test]
    fn row_is_independent_of_layer_split(prompt in proptest::collection::vec(1_u32..257, 1..20), cut in 1..LAYERS) {
        let whole = row_through(WHOLE, &prompt);
        prop_assert_eq!(row_through(&[0..cut, cut..LAYERS], &prompt), whole);
    }

    #[test]
    fn wrong_layer_sequence_or_prompt_changes_the_row(bytes in any::<[u8; 4]>(), at in 0..3_u32) {
        let prompt = tokenize(&bytes);
        let whole = row_through(WHOLE, &prompt);
        prop_assert_ne!(row_through(&[0..at, at + 1..LAYERS], &prompt), whole);
        prop_assert_ne!(row_through(&[0..at + 1, at..LAYERS], &prompt), whole);
        prop_assert_ne!(row_through(&[at + 1..LAYERS, 0..at + 1], &prompt), whole);
        prop_assert_ne!(row_through(WHOLE, &prompt[1..]), whole);
    }
}

#[test]
fn answer_is_deterministic() {
    let answer = Model::new("caption", "1", LAYERS).answer_text("a red chair", 6);
    insta::assert_snapshot!(answer);
    assert_eq!(token_text(0x0a1), " 0a1");
    assert_eq!(tokenize(b"\0a"), [1, 98]);
}
