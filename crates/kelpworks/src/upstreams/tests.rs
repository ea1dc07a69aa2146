use rstest::rstest;

use crate::fleet::Health;
use crate::fleet::UpstreamKey;
use crate::register::Register;
use crate::upstreams::view::View;

const REGISTER: &str = r#"
[[failure_domain]]
name = "a"
region = "r"

[[host]]
name = "jobs-1"
failure_domain = "a"
address = "127.0.0.1:9"
service = "jobs"
"#;

fn view() -> (View, UpstreamKey) {
    let mut view = View::default();
    view.apply_register(&Register::parse("register", REGISTER).unwrap());
    let key = view.fleet.upstreams.keys().next().unwrap();
    view.record_answer(key, false);
    assert_eq!(view.fleet.upstreams[key].health, Health::Live);
    (view, key)
}

/// Records a failed request, and returns the number of answered polls until the upstream is live
/// again.
fn answers_until_live(view: &mut View, key: UpstreamKey) -> u32 {
    view.record_failure(key);
    assert_eq!(view.fleet.upstreams[key].health, Health::Suspect);
    for answers in 1..100 {
        view.record_answer(key, false);
        if view.fleet.upstreams[key].health == Health::Live {
            return answers;
        }
    }
    panic!("upstream is still suspect after 99 answered polls");
}

/// `clean`: answered polls before each suspicion; `expected`: answered polls needed to clear it.
#[rstest]
#[case::first(&[0], &[1])]
#[case::repeated(&[0, 0, 0, 0, 0, 0, 0], &[1, 2, 4, 8, 16, 16, 16])]
#[case::reset_after_clean_answers(&[0, 0, 60], &[1, 2, 1])]
#[case::kept_below_reset_threshold(&[0, 0, 57], &[1, 2, 4])]
fn each_suspicion_doubles_the_answers_needed_to_clear_it(
    #[case] clean: &[u32],
    #[case] expected: &[u32],
) {
    let (mut view, key) = view();
    let mut needed = Vec::new();
    for &answers in clean {
        for _ in 0..answers {
            view.record_answer(key, false);
        }
        needed.push(answers_until_live(&mut view, key));
    }
    assert_eq!(needed, expected);
}

#[test]
fn third_missed_poll_marks_upstream_down_and_an_answer_restores_it() {
    let (mut view, key) = view();
    let mut seen = Vec::new();
    for _ in 0..3 {
        view.record_missed_poll(key);
        seen.push(view.fleet.upstreams[key].health);
    }
    view.record_answer(key, true);
    seen.push(view.fleet.upstreams[key].health);
    view.record_answer(key, false);
    seen.push(view.fleet.upstreams[key].health);
    insta::assert_snapshot!(format!("{seen:?}"), @"[Suspect, Suspect, Down, Leaving, Live]");
}
