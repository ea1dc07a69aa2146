//! Acceptance of a register and of rules over an object API that fails and races.

mod support;

use std::time::Duration;

use insta::assert_snapshot;
use rstest::rstest;

use kelpworks::config::accept::Accepted;
use kelpworks::config::accept::Error;
use kelpworks::config::accept::PartKind;
use kelpworks::config::accept::Proposal;
use kelpworks::config::accept::RetryPolicy;
use kelpworks::config::accept::accept;
use kelpworks::config::accept::plan;
use kelpworks::config::head::digest_of;
use kelpworks_coord::head::Part;
use kelpworks_coord::id::Digest;
use support::Fault;
use support::MemoryApi;
use support::Rival;

const RETRY: RetryPolicy = RetryPolicy {
    max_attempts: 4,
    min_delay: Duration::from_millis(10),
    swap_timeout: Duration::from_secs(2),
};

/// A register with these models and one host that carries them all.
fn register(models: &[&str]) -> Proposal {
    Proposal::new(PartKind::Register, "register.toml", register_text(models))
}

fn register_text(models: &[&str]) -> String {
    let mut text = String::from(
        "[[accelerator]]\nname = \"fast\"\nlayer_rate = 10.0\nmemory = \"80 GB\"\n\
         [[failure_domain]]\nname = \"hall-a\"\nregion = \"north\"\n",
    );
    for m in models {
        text.push_str(&format!(
            "[[model]]\nname = \"{m}\"\nversion = \"1\"\nlayers = 8\nlayer_size = \"1 GB\"\n"
        ));
    }
    text.push_str(&format!(
        "[[host]]\nname = \"e-1\"\nfailure_domain = \"hall-a\"\naddress = \"127.0.0.1:1\"\n\
         accelerator = \"fast\"\naccelerators = 2\nmodels = {models:?}\n"
    ));
    text
}

/// Rules with this share, and a match that names this model.
fn rules(share: &str, model: &str) -> Proposal {
    Proposal::new(PartKind::Rules, "rules.toml", rules_text(share, model))
}

fn rules_text(share: &str, model: &str) -> String {
    let digest = "0".repeat(64);
    format!(
        "[trial]\nshare = {share}\n[[team]]\nname = \"sellers\"\nclass = \"paying\"\n\
         token_sha256 = [\"{digest}\"]\n\
         [[non_idempotent]]\nmodel = \"{model}\"\nteam = \"sellers\"\n"
    )
}

/// An API with a register of `caption` and `report` and rules, at generation 2.
async fn prepared() -> MemoryApi {
    let api = MemoryApi::default();
    let first = accept(&api, &register(&["caption", "report"]), RETRY).await;
    assert_eq!(first, Ok(accepted(1)));
    let second = accept(&api, &rules("0.1", "caption"), RETRY).await;
    assert_eq!(second, Ok(accepted(2)));
    api
}

fn digest(part: Option<Part>) -> Option<Digest> {
    part.map(|p| p.digest)
}

fn accepted(generation: u64) -> Accepted {
    Accepted {
        generation,
        changed: true,
    }
}

#[tokio::test(start_paused = true)]
async fn each_change_is_one_generation() {
    let api = prepared().await;
    let head = api.head();
    assert_eq!(head.generation.0, 2);
    assert_eq!(
        digest(head.register),
        Some(digest_of(&register_text(&["caption", "report"])))
    );
    assert_eq!(
        digest(head.rules),
        Some(digest_of(&rules_text("0.1", "caption")))
    );

    let again = accept(&api, &rules("0.1", "caption"), RETRY).await.unwrap();
    assert!(!again.changed);
    assert_eq!(api.head(), head);
}

#[rstest]
#[case::own_fault("own_fault", register(&[]))]
#[case::breaks_rules("breaks_rules", register(&["report"]))]
#[case::unknown_model("unknown_model", rules("0.1", "poem"))]
#[case::share("share", rules("1.5", "caption"))]
#[tokio::test(start_paused = true)]
async fn a_refused_text_changes_nothing(#[case] name: &str, #[case] proposal: Proposal) {
    let api = prepared().await;
    let before = api.objects();
    let error = accept(&api, &proposal, RETRY).await.unwrap_err();
    assert_snapshot!(name, error.to_string());
    assert_eq!(api.objects(), before);
}

#[tokio::test(start_paused = true)]
async fn rules_need_a_register() {
    let api = MemoryApi::default();
    let error = accept(&api, &rules("0.1", "caption"), RETRY).await;
    assert_eq!(error, Err(Error::NoRegister));
    assert_eq!(api.objects(), []);
}

#[tokio::test(start_paused = true)]
async fn a_plan_changes_nothing() {
    let api = prepared().await;
    let before = api.objects();
    let register_plan = plan(&api, &register(&["caption", "poem"]), RETRY)
        .await
        .unwrap();
    let rules_plan = plan(&api, &rules("0.25", "report"), RETRY).await.unwrap();
    assert_eq!(register_plan.generation, 2);
    assert_snapshot!(format!("{}---\n{}", register_plan.diff, rules_plan.diff));
    assert_eq!(api.objects(), before);
}

/// Faults of single calls that leave the outcome the same: accepted once, at generation 3.
#[rstest]
#[case::swap_lost_after_effect(vec![Fault::LostAfterEffect])]
#[case::swap_lost_before_effect(vec![Fault::LostBeforeEffect])]
#[case::swap_lost_twice(vec![Fault::LostBeforeEffect, Fault::LostAfterEffect])]
#[case::swap_not_sent(vec![Fault::NotSent])]
#[case::over_rate(vec![Fault::OverRate])]
#[case::out_then_lost(vec![Fault::Unavailable, Fault::LostAfterEffect])]
#[case::lost_then_out(vec![Fault::LostThenOut])]
#[case::lost_then_refused(vec![Fault::LostBeforeEffect, Fault::Unavailable])]
#[tokio::test(start_paused = true)]
async fn single_faults_are_settled(#[case] faults: Vec<Fault>) {
    let api = prepared().await;
    let count = faults.len();
    api.script(faults);
    let outcome = accept(&api, &rules("0.2", "caption"), RETRY).await;
    assert_eq!(outcome, Ok(accepted(3)));
    assert_eq!(api.head().generation.0, 3);
    assert_eq!(api.faults_left(), 0, "{count} faults were meant to strike");
}

/// What the other operator does just before this one's swap arrives.
#[derive(Clone, Copy, Debug)]
enum Race {
    /// Changes the register in a way that the rules still fit.
    Register,
    /// Changes the register so that the rules no longer fit.
    RegisterWithoutReport,
    /// Changes the rules.
    Rules,
    /// Applies the very same rules.
    SameRules,
    /// Applies the rules that were in force at first.
    RulesFromBefore,
}

fn rival(race: Race) -> Rival {
    let (which, text) = match race {
        Race::Register => (
            PartKind::Register,
            register_text(&["caption", "report", "poem"]),
        ),
        Race::RegisterWithoutReport => (PartKind::Register, register_text(&["caption"])),
        Race::Rules => (PartKind::Rules, rules_text("0.3", "caption")),
        Race::SameRules => (PartKind::Rules, rules_text("0.2", "report")),
        Race::RulesFromBefore => (PartKind::Rules, rules_text("0.1", "caption")),
    };
    Rival { which, text }
}

#[rstest]
#[case::rebased("race_rebased", Race::Register, 4)]
#[case::pair_unfit("race_pair_unfit", Race::RegisterWithoutReport, 3)]
#[case::conflict("race_conflict", Race::Rules, 3)]
#[case::same_text("race_same_text", Race::SameRules, 3)]
#[tokio::test(start_paused = true)]
async fn races(#[case] name: &str, #[case] race: Race, #[case] generation: u64) {
    let api = prepared().await;
    api.rival_at_next_swap(rival(race));
    let outcome = accept(&api, &rules("0.2", "report"), RETRY).await;
    assert_eq!(api.head().generation.0, generation);
    let text = match outcome {
        Ok(a) => format!("generation {} changed {}", a.generation, a.changed),
        Err(e) => e.to_string(),
    };
    assert_snapshot!(name, text);
}

/// Both registers and rules, from several operators at once: one generation each, none lost.
#[tokio::test(start_paused = true)]
async fn crowd_of_operators() {
    let api = prepared().await;
    let share = |i: u32| format!("0.{i}");
    let mut generations = Vec::new();
    for i in 2..6 {
        let (model_a, model_b) = (format!("extra-{i}"), "caption");
        let new_register = register(&["caption", "report", &model_a]);
        let new_rules = rules(&share(i), model_b);
        let (a, b) = tokio::join!(
            accept(&api, &new_register, RETRY),
            accept(&api, &new_rules, RETRY)
        );
        generations.push(a.unwrap().generation);
        generations.push(b.unwrap().generation);
    }
    generations.sort_unstable();
    assert_eq!(generations, (3..11).collect::<Vec<_>>());
    assert_eq!(api.head().generation.0, 10);
}

/// The swap took effect, its reply was lost, and another operator's change followed.
#[rstest]
#[case::other_part("after_lost_other_part", Race::Register)]
#[case::same_part("after_lost_same_part", Race::Rules)]
#[tokio::test(start_paused = true)]
async fn a_change_after_a_lost_reply(#[case] name: &str, #[case] race: Race) {
    let api = prepared().await;
    api.script(vec![Fault::LostAfterEffect]);
    api.rival_after_next_swap(rival(race));
    let outcome = accept(&api, &rules("0.2", "report"), RETRY).await;
    assert_eq!(api.head().generation.0, 4);
    let text = match outcome {
        Ok(a) => format!("generation {} changed {}", a.generation, a.changed),
        Err(e) => e.to_string(),
    };
    assert_snapshot!(name, text);
}

/// The reply was lost, and the rival went back to the text from before: it is not overwritten.
#[tokio::test(start_paused = true)]
async fn a_revert_after_a_lost_reply_stands() {
    let api = prepared().await;
    api.script(vec![Fault::LostAfterEffect]);
    api.rival_after_next_swap(rival(Race::RulesFromBefore));
    let outcome = accept(&api, &rules("0.2", "caption"), RETRY).await;
    assert!(
        matches!(outcome, Err(Error::Superseded { generation: 4, .. })),
        "{outcome:?}"
    );
    assert_eq!(
        digest(api.head().rules),
        Some(digest_of(&rules_text("0.1", "caption")))
    );
}

#[rstest]
#[case::out_for_good(Fault::Unavailable, false)]
#[case::cut_for_good(Fault::NotSent, false)]
#[case::lost_for_good(Fault::LostBeforeEffect, true)]
#[tokio::test(start_paused = true)]
async fn an_outage_ends_in_an_error(#[case] fault: Fault, #[case] unsettled: bool) {
    let api = prepared().await;
    api.script(vec![fault; 10_000]);
    let error = accept(&api, &rules("0.2", "caption"), RETRY)
        .await
        .unwrap_err();
    assert_eq!(error == Error::OutcomeUnknown, unsettled, "{error:?}");
    assert_eq!(api.head().generation.0, 2);
}

/// A conflict that does not show the head is settled by reading it.
#[tokio::test(start_paused = true)]
async fn a_bare_conflict_is_read_back() {
    let api = prepared().await;
    api.hide_current();
    api.rival_at_next_swap(rival(Race::Register));
    let outcome = accept(&api, &rules("0.2", "report"), RETRY).await;
    assert_eq!(outcome, Ok(accepted(4)));

    api.freeze_reads_at_generation(3);
    let outcome = accept(&api, &rules("0.3", "report"), RETRY).await;
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
    assert_eq!(
        api.head().generation.0,
        4,
        "an old head is no ground to write on"
    );
}

/// Reads answer from generation 1 while generation 2 is in force.
#[tokio::test(start_paused = true)]
async fn an_older_answer_never_takes_the_head_back() {
    let api = prepared().await;
    api.freeze_reads_at_generation(1);
    let outcome = accept(&api, &register(&["caption", "poem"]), RETRY).await;
    assert_eq!(outcome, Ok(accepted(3)));
    assert!(api.head().rules.is_some(), "the rules of generation 2 stay");

    let same = accept(&api, &register(&["caption", "report"]), RETRY).await;
    assert!(
        matches!(same, Err(Error::Conflict { generation: 3, .. })),
        "{same:?}"
    );
}

#[rstest]
#[case::missing("blob_missing", None)]
#[case::damaged("blob_damaged", Some("other"))]
#[tokio::test(start_paused = true)]
async fn a_damaged_store_is_not_built_upon(#[case] name: &str, #[case] body: Option<&str>) {
    let api = prepared().await;
    let digest = digest_of(&register_text(&["caption", "report"]));
    api.replace_blob(digest, body);
    let error = accept(&api, &rules("0.2", "caption"), RETRY)
        .await
        .unwrap_err();
    assert_snapshot!(name, error.to_string());
    assert_eq!(api.head().generation.0, 2);
}
