//! Evidence about this daemon's own links, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;

use super::CONTACT_TTL;
use super::Evidence;
use super::LOST_PROBE_INTERVAL;
use super::MAX_SUCCESSES;
use super::MIN_PROBE_INTERVAL;
use super::MIN_SUCCESSES;
use super::PROBE_DELAY;
use super::Probe;
use super::Reach;
use super::ReachChange;

/// Time that a probe of unreachable upstreams takes.
const PROBE_TIME: Duration = Duration::from_millis(250);
/// Time from the first failure within which a loss has to be found.
const LOSS_BOUND: Duration = Duration::from_millis(500);

fn service() -> Arc<str> {
    Arc::from("llm")
}

/// Evidence and probes of one service over time.
struct Daemon {
    reach: Reach<u32>,
    now: Instant,
    probes: u32,
}

impl Daemon {
    fn new() -> Daemon {
        Daemon {
            reach: Reach::default(),
            now: Instant::now(),
            probes: 0,
        }
    }

    fn fail(&mut self, upstream: u32, evidence: Evidence) {
        let service = service();
        self.reach
            .record_failure(&service, upstream, evidence, self.now);
    }

    fn contact(&mut self, opened: bool) {
        self.reach.record_contact(&service(), opened, self.now);
    }

    /// Lets time pass, with probes that find the links `sound` or not; returns the changes.
    fn pass(&mut self, duration: Duration, sound: bool) -> Vec<ReachChange> {
        let until = self.now + duration;
        let mut changes = Vec::new();
        while let Some(due) = self.reach.next_due().filter(|&at| at <= until) {
            self.now = self.now.max(due);
            for service in self.reach.due(self.now) {
                self.probes += 1;
                let end = match sound {
                    true => self.now,
                    false => self.now + PROBE_TIME,
                };
                let opened = if sound { 3 } else { 0 };
                let probe = Probe { opened, of: 3 };
                changes.extend(self.reach.record_probe(&service, probe, end));
                self.now = end;
            }
        }
        self.now = self.now.max(until);
        changes
    }

    fn is_lost(&self) -> bool {
        self.reach.is_lost(&service())
    }

    fn is_doubtful(&self) -> bool {
        self.reach.is_doubtful(&service(), self.now)
    }

    fn lose_links(&mut self) {
        self.fail(1, Evidence::NotOpened);
        self.pass(LOSS_BOUND, false);
        assert!(self.is_lost());
    }
}

/// Guards against refusals during a cut that is noticed late: connections hang, are reset, or live
/// on while new ones are refused, with much traffic or a single request.
#[rstest]
#[case::single_request_hangs(&[Evidence::NotOpened], false)]
#[case::all_streams_fall_silent(&[Evidence::Broken, Evidence::Broken, Evidence::Broken], false)]
#[case::single_stream_is_reset(&[Evidence::Broken], false)]
#[case::new_connections_are_refused(&[Evidence::NotOpened, Evidence::NotOpened], true)]
fn loss_of_all_links_is_found_in_time(#[case] evidence: &[Evidence], #[case] old_live_on: bool) {
    let mut daemon = Daemon::new();
    daemon.contact(true);
    daemon.now += Duration::from_secs(1);
    for (upstream, &evidence) in (0..).zip(evidence) {
        daemon.fail(upstream, evidence);
    }
    if old_live_on {
        daemon.contact(false);
    }
    let changes = daemon.pass(LOSS_BOUND, false);
    assert!(
        matches!(changes[..], [ReachChange::Lost { .. }]),
        "{changes:?}"
    );
    assert!(daemon.is_lost() && daemon.is_doubtful());
}

/// Guards against attempts and crash counts that are used up between a reset of all connections and
/// the probe that shows it.
#[test]
fn failures_together_are_doubtful_at_once() {
    let mut daemon = Daemon::new();
    daemon.contact(false);
    for upstream in [1, 2] {
        daemon.fail(upstream, Evidence::Broken);
        assert!(!daemon.is_doubtful());
    }
    assert!(!daemon.reach.is_probably_lost("llm"));
    daemon.fail(3, Evidence::Broken);
    assert!(daemon.is_doubtful() && daemon.reach.is_probably_lost("llm"));
    daemon.contact(false);
    assert!(!daemon.is_doubtful());
}

/// Guards against a daemon that refuses the requests of others because one upstream was silent.
#[test]
fn single_silent_upstream_is_no_reason_to_refuse_handovers() {
    let mut daemon = Daemon::new();
    daemon.contact(true);
    daemon.now += PROBE_DELAY * 2;
    daemon.fail(1, Evidence::Broken);
    assert!(daemon.is_doubtful());
    assert!(!daemon.reach.is_probably_lost("llm"));
}

/// Guards against a daemon that takes the failure of upstreams for that of its own links.
#[rstest]
#[case::one_crashes(1)]
#[case::many_crash(40)]
fn failures_with_later_data_are_the_upstreams_own(#[case] failed: u32) {
    let mut daemon = Daemon::new();
    for upstream in 0..failed {
        daemon.fail(upstream, Evidence::Broken);
        daemon.contact(false);
    }
    assert!(!daemon.is_doubtful());
    assert!(daemon.reach.is_vouched_for(&service()));
    daemon.pass(Duration::from_secs(5), true);
    assert_eq!(daemon.probes, 0, "the traffic shows it");
}

/// Guards against probes and hand-overs because of a sound upstream that is silent for a second.
#[test]
fn silent_upstream_beside_others_is_no_reason_for_a_probe() {
    let mut daemon = Daemon::new();
    for _ in 0..25 {
        daemon.fail(7, Evidence::Broken);
        daemon.contact(false);
        daemon.pass(Duration::from_millis(40), true);
    }
    assert_eq!(daemon.probes, 0);
    assert!(!daemon.is_lost() && !daemon.is_doubtful());
}

/// Guards against reports to peers about upstreams that only this daemon can't reach.
#[test]
fn failure_is_not_vouched_for_until_an_upstream_shows_a_sign() {
    let mut daemon = Daemon::new();
    assert!(daemon.reach.is_vouched_for("llm"));
    daemon.fail(1, Evidence::Broken);
    assert!(!daemon.reach.is_vouched_for("llm"));
    daemon.contact(false);
    assert!(daemon.reach.is_vouched_for("llm"));
    daemon.lose_links();
    assert!(!daemon.reach.is_vouched_for("llm"));
}

/// Guards against a daemon that hands requests over long after its links have returned, or returns
/// before they have.
#[test]
fn links_count_as_back_after_probes_in_a_row() {
    let mut daemon = Daemon::new();
    daemon.lose_links();
    assert!(daemon.pass(Duration::from_secs(10), false).is_empty());
    let within = LOST_PROBE_INTERVAL * (MIN_SUCCESSES + 1);
    let changes = daemon.pass(within, true);
    assert!(
        matches!(changes[..], [ReachChange::Back { .. }]),
        "{changes:?}"
    );
    assert!(!daemon.is_lost() && !daemon.is_doubtful());
}

/// Guards against requests that go to a service of which a single upstream is reached.
#[rstest]
#[case::none(0, 3, true)]
#[case::one(1, 3, true)]
#[case::most(2, 3, false)]
#[case::only_one_registered(1, 1, false)]
#[case::none_registered(0, 0, false)]
fn lost_service_counts_as_reached_once_most_connections_open(
    #[case] opened: usize,
    #[case] of: usize,
    #[case] stays_lost: bool,
) {
    let mut daemon = Daemon::new();
    daemon.lose_links();
    for _ in 0..MIN_SUCCESSES {
        let probe = Probe { opened, of };
        daemon.reach.record_probe("llm", probe, daemon.now);
    }
    assert_eq!(daemon.is_lost(), stays_lost);
}

/// Guards against requests that go back and forth while links come and go each second.
#[test]
fn links_that_come_and_go_are_used_later_each_time() {
    let mut daemon = Daemon::new();
    let mut returns = 0;
    for _ in 0..30 {
        daemon.fail(1, Evidence::NotOpened);
        daemon.pass(Duration::from_secs(1), false);
        returns += daemon.pass(Duration::from_secs(1), true).len();
    }
    assert!(returns <= 4, "{returns} returns in a minute");
    let longest = LOST_PROBE_INTERVAL * (MAX_SUCCESSES + 1);
    daemon.pass(longest, true);
    assert!(!daemon.is_lost(), "links that stay are used");
}

/// Guards against refusals while upstreams still answer on older connections, as when they accept no
/// more connections.
#[test]
fn lost_service_is_cut_off_once_nothing_arrives_any_more() {
    let mut daemon = Daemon::new();
    daemon.lose_links();
    assert!(daemon.reach.is_cut_off("llm", daemon.now));
    daemon.contact(false);
    assert!(!daemon.reach.is_cut_off("llm", daemon.now));
    daemon.pass(CONTACT_TTL, false);
    assert!(daemon.reach.is_cut_off("llm", daemon.now));
    assert!(!daemon.reach.is_cut_off("other", daemon.now));
}

/// Guards against a service that is never probed again after its evidence was cleared.
#[test]
fn doubt_about_connections_ends_with_one_that_opens() {
    let mut daemon = Daemon::new();
    daemon.fail(1, Evidence::NotOpened);
    daemon.fail(2, Evidence::NotOpened);
    daemon.contact(false);
    assert!(daemon.is_doubtful(), "only old connections work");
    daemon.contact(true);
    assert!(!daemon.is_doubtful());
    assert_eq!(daemon.reach.next_due(), None);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Fail(u32, bool),
    Contact(bool),
    Pass(u64, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..80, any::<bool>()).prop_map(|(u, opened)| Step::Fail(u, opened)),
        any::<bool>().prop_map(Step::Contact),
        (1u64..1_500, any::<bool>()).prop_map(|(ms, sound)| Step::Pass(ms, sound)),
    ]
}

proptest! {
    /// Over any history, probes are bounded, and a service whose links are sound for long enough
    /// counts as reached.
    #[test]
    fn probes_are_bounded_and_sound_links_are_found(steps in prop::collection::vec(step(), 0..60)) {
        let mut daemon = Daemon::new();
        let started = daemon.now;
        for step in steps {
            match step {
                Step::Fail(upstream, true) => daemon.fail(upstream, Evidence::NotOpened),
                Step::Fail(upstream, false) => daemon.fail(upstream, Evidence::Broken),
                Step::Contact(opened) => daemon.contact(opened),
                Step::Pass(ms, sound) => {
                    daemon.pass(Duration::from_millis(ms), sound);
                }
            }
        }
        daemon.pass(LOST_PROBE_INTERVAL * (MAX_SUCCESSES + 2) + MIN_PROBE_INTERVAL, true);
        prop_assert!(!daemon.is_lost());
        let elapsed = daemon.now.duration_since(started) + PROBE_DELAY;
        let max = elapsed.as_millis() / LOST_PROBE_INTERVAL.as_millis() + 2;
        prop_assert!(u128::from(daemon.probes) <= max, "{} probes in {elapsed:?}", daemon.probes);
    }
}
