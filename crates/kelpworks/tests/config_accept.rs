//! Acceptance of a register and of rules through an object API with injected faults and concurrent
//! changes.

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
use support::CompetingChange;
use support::Fault;
use support::MemoryApi;

const RETRY: RetryPolicy = RetryPolicy {
    max_attempts: 4,
    min_delay: Duration::from_millis(10),
    swap_timeout: Duration::from_secs(2),
};

/// Proposes a register with these models and one host that serves them all.
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

/// Proposes rules with this trial share and a non-idempotent entry for this model.
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

/// Returns an API that holds a register of `caption` and `report` (generation 1) and rules
/// (generation 2).
async fn api_at_generation_2() -> MemoryApi {
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
async fn each_change_adds_one_generation() {
    let api = api_at_generation_2().await;
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
async fn refused_proposal_leaves_objects_unchanged(#[case] name: &str, #[case] proposal: Proposal) {
    let api = api_at_generation_2().await;
    let before = api.objects();
    let error = accept(&api, &proposal, RETRY).await.unwrap_err();
    assert_snapshot!(name, error.to_string());
    assert_eq!(api.objects(), before);
}

#[tokio::test(start_paused = true)]
async fn rules_without_register_are_refused() {
    let api = MemoryApi::default();
    let error = accept(&api, &rules("0.1", "caption"), RETRY).await;
    assert_eq!(error, Err(Error::NoRegister));
    assert_eq!(api.objects(), []);
}

#[tokio::test(start_paused = true)]
async fn plan_leaves_objects_unchanged() {
    let api = api_at_generation_2().await;
    let before = api.objects();
    let register_plan = plan(&api, &register(&["caption", "poem"]), RETRY)
        .await
        .unwrap();
    let rules_plan = plan(&api, &rules("0.25", "report"), RETRY).await.unwrap();
    assert_eq!(register_plan.generation, 2);
    assert_snapshot!(format!("{}---\n{}", register_plan.diff, rules_plan.diff));
    assert_eq!(api.objects(), before);
}

/// Despite these faults the proposal is accepted exactly once, as generation 3.
#[rstest]
#[case::swap_lost_after_effect(vec![Fault::LostAfterEffect])]
#[case::swap_lost_before_effect(vec![Fault::LostBeforeEffect])]
#[case::swap_lost_twice(vec![Fault::LostBeforeEffect, Fault::LostAfterEffect])]
#[case::swap_not_sent(vec![Fault::NotSent])]
#[case::over_rate(vec![Fault::OverRate])]
#[case::out_then_lost(vec![Fault::Unavailable, Fault::LostAfterEffect])]
#[case::lost_then_out(vec![Fault::LostThenUnavailable])]
#[case::lost_then_refused(vec![Fault::LostBeforeEffect, Fault::Unavailable])]
#[tokio::test(start_paused = true)]
async fn head_write_faults_within_retry_limit_are_recovered(#[case] faults: Vec<Fault>) {
    let api = api_at_generation_2().await;
    let count = faults.len();
    api.script_head_faults(faults);
    let outcome = accept(&api, &rules("0.2", "caption"), RETRY).await;
    assert_eq!(outcome, Ok(accepted(3)));
    assert_eq!(api.head().generation.0, 3);
    assert_eq!(
        api.pending_faults(),
        0,
        "{count} faults were meant to strike"
    );
}

/// Change that another operator makes around this operator's head write.
#[derive(Clone, Copy, Debug)]
enum Race {
    /// Adds a model to the register; the rules in force stay valid.
    Register,
    /// Removes the model `report` from the register, so that rules that name it become invalid.
    RegisterBreakingRules,
    /// Applies rules that differ from this operator's.
    Rules,
    /// Applies the same rules as this operator.
    SameRules,
    /// Applies the rules of generation 2 again.
    PreviousRules,
}

fn competing_change(race: Race) -> CompetingChange {
    let (part_kind, text) = match race {
        Race::Register => (
            PartKind::Register,
            register_text(&["caption", "report", "poem"]),
        ),
        Race::RegisterBreakingRules => (PartKind::Register, register_text(&["caption"])),
        Race::Rules => (PartKind::Rules, rules_text("0.3", "caption")),
        Race::SameRules => (PartKind::Rules, rules_text("0.2", "report")),
        Race::PreviousRules => (PartKind::Rules, rules_text("0.1", "caption")),
    };
    CompetingChange { part_kind, text }
}

#[rstest]
#[case::rebased("race_rebased", Race::Register, 4)]
#[case::pair_unfit("race_pair_unfit", Race::RegisterBreakingRules, 3)]
#[case::conflict("race_conflict", Race::Rules, 3)]
#[case::same_text("race_same_text", Race::SameRules, 3)]
#[tokio::test(start_paused = true)]
async fn concurrent_change_before_head_write_is_rebased_or_refused(
    #[case] name: &str,
    #[case] race: Race,
    #[case] generation: u64,
) {
    let api = api_at_generation_2().await;
    api.change_before_next_head_write(competing_change(race));
    let outcome = accept(&api, &rules("0.2", "report"), RETRY).await;
    assert_eq!(api.head().generation.0, generation);
    let text = match outcome {
        Ok(a) => format!("generation {} changed {}", a.generation, a.changed),
        Err(e) => e.to_string(),
    };
    assert_snapshot!(name, text);
}

/// A register and rules are proposed at the same time in each round. Each accepted change gets a
/// generation of its own and none is lost.
#[tokio::test(start_paused = true)]
async fn concurrent_register_and_rules_changes_are_all_accepted() {
    let api = api_at_generation_2().await;
    let share = |i: u32| format!("0.{i}");
    let mut generations = Vec::new();
    for i in 2..6 {
        let (extra_model, rules_model) = (format!("extra-{i}"), "caption");
        let new_register = register(&["caption", "report", &extra_model]);
        let new_rules = rules(&share(i), rules_model);
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

/// The head write takes effect, its reply is lost, and another operator changes the head before it
/// is read back.
#[rstest]
#[case::other_part("after_lost_other_part", Race::Register)]
#[case::same_part("after_lost_same_part", Race::Rules)]
#[tokio::test(start_paused = true)]
async fn change_by_another_operator_follows_lost_reply(#[case] name: &str, #[case] race: Race) {
    let api = api_at_generation_2().await;
    api.script_head_faults(vec![Fault::LostAfterEffect]);
    api.change_after_next_head_write(competing_change(race));
    let outcome = accept(&api, &rules("0.2", "report"), RETRY).await;
    assert_eq!(api.head().generation.0, 4);
    let text = match outcome {
        Ok(a) => format!("generation {} changed {}", a.generation, a.changed),
        Err(e) => e.to_string(),
    };
    assert_snapshot!(name, text);
}

/// The reply of the head write is lost and another operator then reapplies the previous rules.
/// Without the check, the retry would overwrite that newer change.
#[tokio::test(start_paused = true)]
async fn revert_by_another_operator_after_lost_reply_is_kept() {
    let api = api_at_generation_2().await;
    api.script_head_faults(vec![Fault::LostAfterEffect]);
    api.change_after_next_head_write(competing_change(Race::PreviousRules));
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
async fn permanent_fault_ends_in_error(#[case] fault: Fault, #[case] expect_unsettled: bool) {
    let api = api_at_generation_2().await;
    api.script_head_faults(vec![fault; 10_000]);
    let error = accept(&api, &rules("0.2", "caption"), RETRY)
        .await
        .unwrap_err();
    assert_eq!(
        error == Error::OutcomeUnknown,
        expect_unsettled,
        "{error:?}"
    );
    assert_eq!(api.head().generation.0, 2);
}

/// After a conflict error without the current head, the head is read. A stale read (older than the
/// conflict implies) is not used as the base of another write.
#[tokio::test(start_paused = true)]
async fn conflict_without_current_head_is_resolved_by_read() {
    let api = api_at_generation_2().await;
    api.omit_current_in_conflicts();
    api.change_before_next_head_write(competing_change(Race::Register));
    let outcome = accept(&api, &rules("0.2", "report"), RETRY).await;
    assert_eq!(outcome, Ok(accepted(4)));

    api.freeze_reads_at_generation(3);
    let outcome = accept(&api, &rules("0.3", "report"), RETRY).await;
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
    assert_eq!(
        api.head().generation.0,
        4,
        "nothing is written on the base of a stale head"
    );
}

/// Reads return generation 1 while generation 2 is current.
#[tokio::test(start_paused = true)]
async fn stale_head_read_does_not_revert_head() {
    let api = api_at_generation_2().await;
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
async fn missing_or_damaged_blob_refuses_proposal(#[case] name: &str, #[case] body: Option<&str>) {
    let api = api_at_generation_2().await;
    let digest = digest_of(&register_text(&["caption", "report"]));
    api.replace_blob(digest, body);
    let error = accept(&api, &rules("0.2", "caption"), RETRY)
        .await
        .unwrap_err();
    assert_snapshot!(name, error.to_string());
    assert_eq!(api.head().generation.0, 2);
}
