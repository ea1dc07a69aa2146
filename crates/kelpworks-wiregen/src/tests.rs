use std::fs;
use std::path::PathBuf;

use crate::generate;

#[test]
fn committed_types_match_the_schema() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../kelpworks-wire");
    let committed = fs::read_to_string(root.join(generate::OUTPUT)).unwrap();
    assert!(
        committed == generate::generate(&root).unwrap(),
        "run `cargo run -p kelpworks-wiregen` and commit the result"
    );
}
