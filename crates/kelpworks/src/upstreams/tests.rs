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
    view.take_register(&Register::parse("register", REGISTER).unwrap());
    let key = view.fleet.upstreams.keys().next().unwrap();
    view.answered(key, false);
    assert_eq!(view.fleet.upstreams[key].health, Health::Live);
    (view, key)
}

/// Suspects it, and counts the answers to polls until it is live again.
fn answers_until_live(view: &mut View, key: UpstreamKey) -> u32 {
    view.suspect(key);
    assert_eq!(view.fleet.upstreams[key].health, Health::Suspect);
    for answers in 1..100 {
        view.answered(key, false);
        if view.fleet.upstreams[key].health == Health::Live {
            return answers;
        }
    }
    panic!("it stays suspect");
}

/// Answers to polls before each suspicion, and those needed to clear it.
#[rstest]
#[case::first(&[0], &[1])]
#[case::again_and_again(&[0, 0, 0, 0, 0, 0, 0], &[1, 2, 4, 8, 16, 16, 16])]
#[case::forgotten(&[0, 0, 60], &[1, 2, 1])]
#[case::not_forgotten_yet(&[0, 0, 57], &[1, 2, 4])]
fn suspicions(#[case] clean: &[u32], #[case] expected: &[u32]) {
    let (mut view, key) = view();
    let mut needed = Vec::new();
    for &answers in clean {
        for _ in 0..answers {
            view.answered(key, false);
        }
        needed.push(answers_until_live(&mut view, key));
    }
    assert_eq!(needed, expected);
}

#[test]
fn silence_takes_an_upstream_down_and_an_answer_brings_it_back() {
    let (mut view, key) = view();
    let mut seen = Vec::new();
    for _ in 0..3 {
        view.missed(key);
        seen.push(view.fleet.upstreams[key].health);
    }
    view.answered(key, true);
    seen.push(view.fleet.upstreams[key].health);
    view.answered(key, false);
    seen.push(view.fleet.upstreams[key].health);
    insta::assert_snapshot!(format!("{seen:?}"), @"[Suspect, Suspect, Down, Leaving, Live]");
}
