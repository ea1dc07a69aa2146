//! The real binary: what each command prints, and its exit code.

mod support;

use std::net::TcpListener;

use insta::assert_snapshot;
use rstest::rstest;
use support::Platform;
use support::kelpworks;
use support::report;

const NONE_AT_2: &str = r#"{"daemon": "entry-1", "generation": 1, "members": [
    {"name": "entry-2", "generation": 1, "state": "live"}]}"#;
const SOME_AT_2: &str = r#"{"daemon": "entry-1", "generation": 2, "members": [
    {"name": "entry-2", "generation": 1, "state": "live"},
    {"name": "entry-3", "generation": 1, "state": "down"}]}"#;
const ALL_AT_2: &str = r#"{"daemon": "entry-1", "generation": 2, "members": [
    {"name": "entry-2", "generation": 3, "state": "leaving"},
    {"name": "entry-3", "generation": 1, "state": "down"}]}"#;

#[rstest]
#[case::help("help", &["--help"])]
#[case::help_of_command("help_of_command", &["serve", "-h"])]
#[case::version("version", &["--version"])]
#[case::nothing("nothing", &[])]
#[case::unknown_command("unknown_command", &["frobnicate"])]
#[case::serve_without_settings("serve_without_settings", &["serve"])]
#[case::serve_bad_settings("serve_bad_settings", &["serve", "--settings", "bad/settings.toml"])]
#[case::serve_no_file("serve_no_file", &["serve", "--settings", "bad/none.toml"])]
#[case::check_nothing("check_nothing", &["check"])]
#[case::check_option("check_option", &["check", "--dry-run", "aralsky/rules.toml"])]
#[case::check_all("check_all", &["check", "aralsky/settings.toml", "aralsky/register.toml",
    "aralsky/rules.toml", "nile-delta/settings.toml", "nile-delta/register.toml",
    "nile-delta/rules.toml"])]
#[case::check_rules_alone("check_rules_alone", &["check", "aralsky/rules.toml"])]
#[case::check_rules_of_other("check_rules_of_other", &["check", "aralsky/rules.toml",
    "nile-delta/register.toml"])]
#[case::check_several("check_several", &["check", "bad/rules.toml", "aralsky/register.toml",
    "nile-delta/register.toml"])]
#[case::check_bad("check_bad", &["check", "bad/rules.toml", "bad/register.toml",
    "bad/settings.toml", "bad/empty.toml", "bad/unknown.toml", "bad/none.toml",
    "aralsky/register.toml"])]
#[case::import_nowhere("import_nowhere", &["register", "import", "aralsky/register.toml"])]
#[case::import_verb("import_verb", &["register", "apply", "aralsky/register.toml"])]
#[case::import_no_file("import_no_file", &["register", "import", "--object-api", "http://h"])]
#[case::import_bad_url("import_bad_url", &["register", "import", "aralsky/register.toml",
    "--object-api", "10.0.0.1:80"])]
#[case::import_option("import_option", &["register", "import", "aralsky/register.toml",
    "--object-api", "http://h", "--force"])]
#[case::import_wait("import_wait", &["register", "import", "aralsky/register.toml",
    "--object-api", "http://h", "--wait", "10"])]
#[case::status_nowhere("status_nowhere", &["status", "--json"])]
#[case::status_address("status_address", &["status", "--operators", "localhost"])]
fn without_a_platform(#[case] name: &str, #[case] args: &[&str]) {
    assert_snapshot!(name, report(&kelpworks(args)));
}

/// Arguments that go on with the platform's addresses.
fn with_platform(platform: &Platform, args: &[&str]) -> String {
    let url = format!("http://{}", platform.address);
    let operators = platform.address.to_string();
    let rest = [
        "--object-api",
        &url,
        "--operators",
        &operators,
        "--wait",
        "0 s",
    ];
    let all: Vec<&str> = args.iter().chain(&rest).copied().collect();
    report(&kelpworks(&all))
}

#[test]
fn a_register_and_rules_are_applied_in_turn() {
    let platform = Platform::start();
    let early = with_platform(&platform, &["rules", "apply", "aralsky/rules.toml"]);
    assert_snapshot!("rules_before_register", early);
    let import = with_platform(&platform, &["register", "import", "aralsky/register.toml"]);
    assert_snapshot!("first_import", import);
    let apply = with_platform(&platform, &["rules", "apply", "aralsky/rules.toml"]);
    assert_snapshot!("first_apply", apply);
    let again = with_platform(&platform, &["rules", "apply", "aralsky/rules.toml"]);
    assert_snapshot!("second_apply", again);

    let head = platform.head();
    let bad = with_platform(&platform, &["rules", "apply", "bad/rules.toml"]);
    assert_snapshot!("bad_apply", bad);
    let unfit = with_platform(
        &platform,
        &["register", "import", "nile-delta/register.toml"],
    );
    assert_snapshot!("unfit_import", unfit);
    let args = ["rules", "apply", "nile-delta/rules.toml", "--dry-run"];
    assert_snapshot!("unfit_dry_run", with_platform(&platform, &args));
    let args = ["register", "import", "aralsky/register.toml", "--dry-run"];
    assert_snapshot!("dry_run_same", with_platform(&platform, &args));
    assert_eq!(platform.head(), head, "refused and dry runs change nothing");
}

#[test]
fn a_dry_run_shows_the_difference() {
    let platform = Platform::start();
    let args = ["register", "import", "aralsky/register.toml", "--dry-run"];
    let first = with_platform(&platform, &args);
    assert!(
        first.contains("hosts: 43 added, 0 removed, 0 changed"),
        "{first}"
    );
    with_platform(&platform, &["register", "import", "aralsky/register.toml"]);
    let args = [
        "register",
        "import",
        "nile-delta/register.toml",
        "--dry-run",
    ];
    assert_snapshot!("dry_run_other", with_platform(&platform, &args));
}

/// The wait ends as soon as every daemon that is not held for dead has the generation.
#[rstest]
#[case::everywhere("wait_everywhere", "60 s", &[NONE_AT_2, SOME_AT_2, SOME_AT_2, ALL_AT_2])]
#[case::lagging("wait_lagging", "1 ms", &[SOME_AT_2])]
#[case::not_a_status("wait_not_a_status", "1 ms", &["hello"])]
fn a_change_is_waited_for(#[case] name: &str, #[case] wait: &str, #[case] statuses: &[&str]) {
    let platform = Platform::start();
    with_platform(&platform, &["register", "import", "aralsky/register.toml"]);
    platform.statuses(statuses);
    let url = format!("http://{}", platform.address);
    let operators = platform.address.to_string();
    let change = ["rules", "apply", "aralsky/rules.toml", "--object-api", &url];
    let waiting = ["--operators", &operators, "--wait", wait];
    let text = report(&kelpworks(&[&change[..], &waiting[..]].concat()));
    assert_snapshot!(name, text.replace(&operators, "[address]"));
}

#[test]
fn an_outage_of_the_object_api_is_an_outcome() {
    let platform = Platform::start();
    platform.state.lock().unwrap().out = true;
    let text = with_platform(&platform, &["register", "import", "aralsky/register.toml"]);
    assert_snapshot!("import_outage", text);
}

#[rstest]
#[case::table("status_table", &[])]
#[case::json("status_json", &["--json"])]
fn status_of_a_daemon(#[case] name: &str, #[case] args: &[&str]) {
    let platform = Platform::start();
    platform.statuses(&[SOME_AT_2]);
    let dead = dead_address();
    let operators = format!("{dead},{}", platform.address);
    let all: Vec<&str> = ["status", "--operators", &operators]
        .into_iter()
        .chain(args.iter().copied())
        .collect();
    assert_snapshot!(name, report(&kelpworks(&all)));
}

#[test]
fn status_without_a_daemon_is_an_outcome() {
    let dead = dead_address();
    let text = report(&kelpworks(&["status", "--operators", &dead]));
    assert_snapshot!("status_dead", text.replace(&dead, "[address]"));
}

/// An address where nothing listens.
fn dead_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}
