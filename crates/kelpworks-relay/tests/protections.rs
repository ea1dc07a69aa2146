//! The table of ways that a request takes, and of the tests of their protections, has no empty cell and
//! names only tests that exist.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

const PAGE: &str = "docs/design/crashes.md";
const SECTION: &str = "## Ways and protections";
/// Number of ways in the table.
const WAYS: usize = 8;
/// Number of columns: the way and its protections.
const COLUMNS: usize = 9;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the rows of the table without its head, each with its cells.
fn rows() -> Vec<Vec<String>> {
    let page = fs::read_to_string(root().join(PAGE)).expect("the page");
    let (_, section) = page.split_once(SECTION).expect("the section");
    let lines = section
        .lines()
        .skip(1)
        .take_while(|l| !l.starts_with("## "));
    let rows = lines.filter(|l| l.starts_with('|')).skip(2);
    let cells = |row: &str| {
        let inner = row.trim().trim_matches('|');
        inner.split('|').map(|c| c.trim().to_owned()).collect()
    };
    rows.map(cells).collect()
}

/// Appends the text of all Rust files under a directory.
fn read_sources(dir: &Path, text: &mut String) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_sources(&path, text);
        } else if path.extension().is_some_and(|e| e == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("a source file"));
        }
    }
}

/// Guards against a protection that one of the ways lacks without anybody having decided so.
#[test]
fn each_way_has_a_test_or_a_reason_for_each_protection() {
    let rows = rows();
    assert_eq!(rows.len(), WAYS);
    let mut sources = String::new();
    for dir in ["crates/kelpworks-relay", "crates/kelpworks-cli/tests"] {
        read_sources(&root().join(dir), &mut sources);
    }
    for row in rows {
        assert_eq!(row.len(), COLUMNS, "{row:?}");
        for cell in &row[1..] {
            if let Some(reason) = cell.strip_prefix("n/a: ") {
                assert!(!reason.is_empty(), "no reason: {row:?}");
                continue;
            }
            let name = cell.strip_prefix('`').and_then(|c| c.strip_suffix('`'));
            let name = name.unwrap_or_else(|| panic!("neither a test nor a reason: {cell:?}"));
            assert!(sources.contains(&format!("fn {name}(")), "no test {name}");
        }
    }
}
