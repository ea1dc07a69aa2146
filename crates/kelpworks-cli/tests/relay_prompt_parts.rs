//! Requests that share a part of their prompts, and crash each upstream that begins to write an answer to them,
//! beside sound ones that share their caller and their other parts. Daemons are separate processes.

mod relay_site;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use rstest::rstest;
use tokio::task::JoinSet;

use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::crashing::CrashingApps;
use relay_site::crashing::PART_EVENTS;
use relay_site::crashing::PARTS_HEADER;
use relay_site::crashing::PoisonArrival;
use relay_site::cut::LinksOf;
use relay_site::daemon::Relay;

const DAEMONS: usize = 4;
const UPSTREAMS: usize = 6;
/// Ends under one part after which the bounds begin.
const DECIDING_ENDS: usize = 5;
/// Time after the fifth end from which hardly any request with the part may reach an upstream.
const POISON_BOUND: Duration = Duration::from_secs(3);
/// Number of requests that may reach one nevertheless.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time after the fifth end from which sound requests are served as before.
const SOUND_BOUND: Duration = Duration::from_secs(6);
/// Share of the sound requests served, of that before the first end.
const MIN_SOUND_SHARE: f64 = 0.95;
/// Time between two sound requests, and between two with a poisonous part.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
const POISON_INTERVAL: Duration = Duration::from_millis(150);
/// Time with sound requests alone.
const CALM_PERIOD: Duration = Duration::from_secs(2);
/// Time for which requests go on after the bound of the sound ones.
const OBSERVED_PERIOD: Duration = Duration::from_secs(4);

/// How a request comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Call,
    CallThatRunsOnce,
    Stream,
}

impl Way {
    fn path(self, name: &str) -> String {
        match self {
            Way::Call => format!("/fragile/{name}"),
            Way::CallThatRunsOnce => format!("/fragile-once/{name}"),
            Way::Stream => format!("/fragile-events/{name}"),
        }
    }

    fn request(self, daemon: &Relay, id: &str, parts: &str) -> reqwest::RequestBuilder {
        let req = daemon.request(Method::POST, &self.path(id), id);
        let req = req.header("x-kelpworks-token-count", "10,32");
        req.header(PARTS_HEADER, format!("{parts},{}:60", own_part(id)))
    }

    /// Whether the body of an answer is complete.
    fn is_complete(self, body: &str) -> bool {
        match self {
            Way::Call | Way::CallThatRunsOnce => true,
            Way::Stream => body.contains(&format!("word-{PART_EVENTS}\n")),
        }
    }
}

/// Returns the part that belongs to a request alone.
fn own_part(id: &str) -> String {
    let number: String = id.bytes().map(|b| format!("{b:02x}")).collect();
    number
}

/// A sound request and whether its first attempt was served.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    sent: Instant,
    is_served: bool,
}

/// What became of the sound requests.
#[derive(Clone, Debug, Default)]
struct Outcomes(Arc<Mutex<Vec<Outcome>>>);

impl Outcomes {
    fn push(&self, outcome: Outcome) {
        self.0.lock().expect("no panic").push(outcome);
    }

    /// Returns the share served of those that were sent from `from` until `to`.
    fn share(&self, from: Instant, to: Instant) -> f64 {
        let outcomes = self.0.lock().expect("no panic");
        let sent = outcomes.iter().filter(|o| from <= o.sent && o.sent < to);
        let (mut served, mut all) = (0, 0);
        for outcome in sent {
            all += 1;
            served += usize::from(outcome.is_served);
        }
        assert!(all >= 20, "{all} requests are too few");
        served as f64 / all as f64
    }
}

/// Requests of a run.
#[derive(Clone, Copy, Debug)]
struct Load<'a> {
    way: Way,
    /// Parts of the sound requests before their own.
    sound: &'a str,
    /// Parts of each kind of poisonous request before their own.
    poisonous: &'a [&'a str],
}

/// Sends a request at one daemon after the other until `is_over`; no two are alike.
async fn send_each<F>(
    site: &Site,
    interval: Duration,
    is_over: impl Fn() -> bool,
    request: impl Fn(&Relay, usize) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut ticks = tokio::time::interval(interval);
    let mut running = JoinSet::new();
    for n in 0.. {
        if is_over() {
            break;
        }
        ticks.tick().await;
        running.spawn(request(&site.daemons[n % DAEMONS], n));
    }
    running.join_all().await;
}

async fn send_sound(site: &Site, load: Load<'_>, outcomes: &Outcomes, is_over: impl Fn() -> bool) {
    send_each(site, SOUND_INTERVAL, is_over, |daemon, n| {
        let req = load.way.request(daemon, &format!("s-{n}"), load.sound);
        let outcomes = outcomes.clone();
        async move {
            let sent = Instant::now();
            let answer = relay_site::daemon::send(req).await;
            let is_served = answer.is_ok_and(|a| a.status == 200 && load.way.is_complete(&a.body));
            outcomes.push(Outcome { sent, is_served });
        }
    })
    .await;
}

async fn send_poisonous(site: &Site, load: Load<'_>, is_over: impl Fn() -> bool) {
    tokio::time::sleep(CALM_PERIOD).await;
    send_each(site, POISON_INTERVAL, is_over, |daemon, n| {
        let parts = load.poisonous[n % load.poisonous.len()];
        let req = load.way.request(daemon, &format!("p-{n}"), parts);
        async move {
            let _ = relay_site::daemon::send(req).await;
        }
    })
    .await;
}

/// What was seen of a run.
struct Run {
    apps: CrashingApps,
    outcomes: Outcomes,
    started: Instant,
    /// When the fifth upstream ended.
    fifth: Instant,
    over: Instant,
}

impl Run {
    /// Returns the arrivals at upstreams after the bound.
    fn late_arrivals(&self) -> Vec<PoisonArrival> {
        let mut arrivals = self.apps.poison_arrivals();
        arrivals.retain(|a| a.at > self.fifth + POISON_BOUND);
        arrivals
    }

    fn check(&self, max_late_arrivals: usize) {
        let late = self.late_arrivals();
        let ends = self.apps.ends().len();
        assert!(
            late.len() <= max_late_arrivals,
            "{ends} ends, late: {late:#?}"
        );
        let first = self.apps.ends()[0].at;
        // What still ran at the first end was broken off by it.
        let before = self
            .outcomes
            .share(self.started, first - Duration::from_secs(1));
        let after = self.outcomes.share(self.fifth + SOUND_BOUND, self.over);
        assert!(
            after >= MIN_SOUND_SHARE * before,
            "{after} after, {before} before"
        );
    }
}

/// Sends the load until some seconds after the fifth end, or for a time that ends without one.
async fn run(site: &Site, apps: CrashingApps, load: Load<'_>) -> Run {
    let outcomes = Outcomes::default();
    let started = Instant::now();
    let last_wait = started + CALM_PERIOD + WAIT_TIMEOUT;
    // Fewer than five ends are a success too: then the bounds count from the last possible moment.
    let fifth = || apps.ends().get(DECIDING_ENDS - 1).map(|e| e.at);
    let over = || fifth().unwrap_or(last_wait) + SOUND_BOUND + OBSERVED_PERIOD;
    let is_over = || Instant::now() >= over();
    tokio::join!(
        send_sound(site, load, &outcomes, is_over),
        send_poisonous(site, load, is_over),
    );
    let (fifth, over) = (fifth().unwrap_or(last_wait), over());
    Run {
        apps,
        outcomes,
        started,
        fifth,
        over,
    }
}

async fn wait_until_served(site: &Site, way: Way, parts: &str) {
    let until = Instant::now() + WAIT_TIMEOUT;
    for daemon in &site.daemons {
        loop {
            let answer = daemon.send(way.request(daemon, "warm-up", parts)).await;
            if answer.is_ok_and(|a| a.status == 200) {
                break;
            }
            assert!(Instant::now() < until, "not served: {}", daemon.log());
            tokio::time::sleep(SOUND_INTERVAL).await;
        }
    }
}

/// Guards against requests that go on ending upstreams because no two are alike: the ledger of crashes knew whole
/// requests alone, and each of these had one crash.
#[rstest]
#[case::middle_part_of_streams(Way::Stream, "aa:40,cc:9", "aa:40,bad0:100")]
#[case::first_part_of_streams(Way::Stream, "aa:40,cc:9", "bad0:40,cc:9")]
#[case::middle_part_of_calls(Way::Call, "aa:40,cc:9", "aa:40,bad0:100")]
#[case::middle_part_of_calls_that_run_once(Way::CallThatRunsOnce, "aa:40,cc:9", "aa:40,bad0:100")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_a_part_that_ended_five_upstreams_reach_no_further_one(
    #[case] way: Way,
    #[case] sound: &str,
    #[case] poisonous: &str,
) {
    let name = format!("parts-{way:?}-{}", &poisonous[..2]);
    let site = Site::start_with_handover(&name, DAEMONS, Default::default()).await;
    let apps = CrashingApps::start(&site.store, UPSTREAMS).await;
    wait_until_served(&site, way, sound).await;
    let load = Load {
        way,
        sound,
        poisonous: &[poisonous],
    };
    run(&site, apps, load).await.check(MAX_LATE_ARRIVALS);
}

/// Guards against a part that hides behind another one, and against sound requests that wait for both.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_such_parts_at_a_time_are_both_stopped() {
    let site = Site::start_with_handover("parts-two", DAEMONS, Default::default()).await;
    let apps = CrashingApps::start(&site.store, UPSTREAMS).await;
    let load = Load {
        way: Way::Stream,
        sound: "aa:40,cc:9",
        poisonous: &["aa:40,bad0:100", "bad1:40,cc:9"],
    };
    wait_until_served(&site, load.way, load.sound).await;
    let run = run(&site, apps, load).await;
    run.check(load.poisonous.len() * MAX_LATE_ARRIVALS);
}

/// Guards against a daemon that hands such requests over because its own links are lost, and against a receiver
/// that records nothing of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_such_a_part_are_not_handed_over() {
    let mut site = Site::start_with_links("parts-by-peer", DAEMONS).await;
    let apps = CrashingApps::start_behind(&mut site.links, &site.store, UPSTREAMS).await;
    let load = Load {
        way: Way::Stream,
        sound: "aa:40,cc:9",
        poisonous: &["aa:40,bad0:100"],
    };
    wait_until_served(&site, load.way, load.sound).await;
    site.set_links(0, LinksOf::Reset);
    run(&site, apps, load).await.check(MAX_LATE_ARRIVALS);
}
