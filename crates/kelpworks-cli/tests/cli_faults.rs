//! Operators' commands while the object API fails, and commands that run concurrently.

mod support;

use std::fs;
use std::path::PathBuf;

use insta::assert_snapshot;
use rstest::rstest;

use kelpworks::config::head::HEAD_KIND;
use kelpworks_fakes::ApiMode;
use kelpworks_fakes::ConnectionMode;
use kelpworks_fakes::Fault;
use kelpworks_fakes::FaultKind;
use support::Platform;
use support::testdata;

const PUT_HEAD: &str = "PUT /objects/kelpworks.head";
const GET_HEAD: &str = "GET /objects/kelpworks.head";
const PUT_BLOB: &str = "PUT /objects/kelpworks.blob";
const GET_BLOB: &str = "GET /objects/kelpworks.blob";

/// Starts a platform with the register of the `aralsky` example, at generation 1.
async fn platform_with_register() -> Platform {
    let platform = Platform::start().await;
    let import = platform
        .run(&["register", "import", "aralsky/register.toml"])
        .await;
    assert!(import.starts_with("exit 0"), "{import}");
    platform
}

/// A change is accepted exactly once although one call to the object API fails.
#[rstest]
#[case::swap_lost_after(FaultKind::ResetAfter, PUT_HEAD)]
#[case::swap_lost_before(FaultKind::ResetBefore, PUT_HEAD)]
#[case::swap_cut(FaultKind::CutBody, PUT_HEAD)]
#[case::swap_silent_after(FaultKind::SilentAfter, PUT_HEAD)]
#[case::swap_silent_before(FaultKind::SilentBefore, PUT_HEAD)]
#[case::swap_bad_gateway(FaultKind::StatusAfter(502), PUT_HEAD)]
#[case::swap_unavailable(FaultKind::Status(503), PUT_HEAD)]
#[case::swap_over_rate(FaultKind::Status(429), PUT_HEAD)]
#[case::blob_lost(FaultKind::ResetAfter, PUT_BLOB)]
#[case::blob_unavailable(FaultKind::Status(503), PUT_BLOB)]
#[case::head_read_lost(FaultKind::ResetBefore, GET_HEAD)]
#[case::head_read_silent(FaultKind::SilentBefore, GET_HEAD)]
#[case::blob_read_cut(FaultKind::CutBody, GET_BLOB)]
#[tokio::test]
async fn change_is_accepted_once_despite_one_fault(#[case] kind: FaultKind, #[case] on: &str) {
    let platform = platform_with_register().await;
    platform.object_api.faults().add(Fault::once(kind).on(on));
    let text = platform
        .run(&["rules", "apply", "aralsky/rules.toml"])
        .await;
    assert_snapshot!("one_fault", text);
    assert_eq!(
        platform.object_api.faults().list(),
        [],
        "the fault was triggered"
    );
    assert_eq!(platform.head().map(|h| h.generation.0), Some(2));
}

/// The head is read from a lagging replica, as it was one change ago.
#[tokio::test]
async fn change_is_accepted_despite_a_stale_read() {
    let platform = platform_with_register().await;
    let apply = platform
        .run(&["rules", "apply", "aralsky/rules.toml"])
        .await;
    assert!(apply.starts_with("exit 0"), "{apply}");
    let stale = Fault::always(FaultKind::StaleRead).on(&format!("/objects/{HEAD_KIND}"));
    platform.object_api.faults().add(stale);
    let text = platform
        .run(&["register", "import", "aralsky/register.toml"])
        .await;
    assert_snapshot!("stale_read", text);
    let head = platform.head().unwrap();
    assert!(head.generation.0 >= 2, "the generation went back: {head:?}");
    assert!(head.rules.is_some(), "the rules are kept: {head:?}");
}

#[rstest]
#[case::unavailable("outage_unavailable", ApiMode::Unavailable, ConnectionMode::Pass)]
#[case::refused("outage_refused", ApiMode::Up, ConnectionMode::Refuse)]
#[tokio::test]
async fn object_api_outage_exits_with_1(
    #[case] name: &str,
    #[case] mode: ApiMode,
    #[case] connections: ConnectionMode,
) {
    let platform = platform_with_register().await;
    platform.object_api.set_mode(mode);
    platform
        .object_api
        .faults()
        .set_connection_mode(connections);
    let text = platform
        .run(&["rules", "apply", "aralsky/rules.toml"])
        .await;
    assert_snapshot!(name, text);
    assert_eq!(platform.head().map(|h| h.generation.0), Some(1));
}

/// A temporary file, removed when dropped.
struct ScratchFile(PathBuf);

impl ScratchFile {
    fn write(name: &str, text: &str) -> ScratchFile {
        let file = format!("kelpworks-{}-{name}.toml", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, text).unwrap();
        ScratchFile(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in UTF-8")
    }
}

impl Drop for ScratchFile {
    fn drop(&mut self) {
        let _gone = fs::remove_file(&self.0);
    }
}

/// Returns the text of an example file with the first occurrence of `from` replaced.
fn modified_example(file: &str, from: &str, to: &str) -> String {
    let text = fs::read_to_string(testdata().join(file)).unwrap();
    assert!(text.contains(from), "{from} is not in {file}");
    text.replacen(from, to, 1)
}

/// Six concurrent changes, three of the register and three of the rules: each is accepted with a
/// generation of its own or reports a conflict, and the generation in force is that of the last
/// accepted change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_changes_are_accepted_once_or_report_a_conflict() {
    let platform = platform_with_register().await;
    let mut files = Vec::new();
    for n in 1..=3 {
        let text = modified_example("aralsky/register.toml", "2026-11", &format!("2026-11-{n}"));
        files.push((
            ["register", "import"],
            ScratchFile::write(&format!("register-{n}"), &text),
        ));
        let text = modified_example("aralsky/rules.toml", "0.20", &format!("0.2{n}"));
        files.push((
            ["rules", "apply"],
            ScratchFile::write(&format!("rules-{n}"), &text),
        ));
    }
    let [a, b, c, d, e, f] = [0, 1, 2, 3, 4, 5].map(|i| {
        let (command, file) = &files[i];
        let args = [command[0], command[1], file.path()];
        let platform = &platform;
        async move { platform.run(&args).await }
    });
    let (a, b, c, d, e, f) = tokio::join!(a, b, c, d, e, f);
    let reports = [a, b, c, d, e, f];

    let accepted = reports.iter().filter(|r| r.starts_with("exit 0")).count();
    let conflicts = reports
        .iter()
        .filter(|r| r.contains("changed meanwhile"))
        .count();
    assert_eq!(accepted + conflicts, reports.len(), "{reports:#?}");
    assert!(
        accepted >= 2,
        "a change of each part is accepted: {reports:#?}"
    );
    let head = platform.head().unwrap();
    assert_eq!(head.generation.0, 1 + accepted as u64, "{reports:#?}");
    for generation in 2..=head.generation.0 {
        let line = format!("accepted as generation {generation}\n");
        let winners = reports.iter().filter(|r| r.contains(&line)).count();
        assert_eq!(winners, 1, "generation {generation}: {reports:#?}");
    }
}
