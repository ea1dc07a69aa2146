//! Daemons in separate processes of which some lose their links to all upstreams.

mod relay_site;

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use reqwest::RequestBuilder;
use rstest::rstest;
use tokio::task::JoinHandle;

use relay_site::Site;
use relay_site::cut::LinksOf;
use relay_site::daemon::Answer;
use relay_site::daemon::Relay;
use relay_site::daemon::send;

const DAEMONS: usize = 4;
/// Number of daemons that lose their links: the first ones.
const CUT_DAEMONS: usize = 2;
/// Time after the loss of links from which first attempts have to be served.
const GRACE_PERIOD: Duration = Duration::from_secs(3);
/// Time for which first attempts are counted after that.
const COUNTED_PERIOD: Duration = Duration::from_secs(3);
/// Pause between two series of requests to each daemon.
const SERIES_INTERVAL: Duration = Duration::from_millis(60);
/// Fraction of the first attempts at the other daemons that has to be served at the cut ones.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;
/// Events of a stream in the load.
const EVENTS: u64 = 8;

/// First attempts of callers and how many were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct FirstAttempts {
    sent: usize,
    served: usize,
}

impl FirstAttempts {
    fn ratio(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// A request under way: number of the daemon, time of sending, answer.
struct Call {
    daemon: usize,
    sent: Instant,
    answer: JoinHandle<Option<Answer>>,
}

fn start_call(number: usize, daemon: &Relay, series: usize) -> Call {
    let id = format!("d{number}-{series}");
    let req: RequestBuilder = match series % 4 {
        0 => daemon.request(Method::GET, "/often/x", &id),
        1 => daemon.request(Method::POST, "/once/x", &id),
        _ => daemon.stream_request(&id, EVENTS),
    };
    Call {
        daemon: number,
        sent: Instant::now(),
        answer: tokio::spawn(async move { send(req).await.ok() }),
    }
}

fn is_served(answer: &Answer) -> bool {
    let is_whole = !answer.body.contains("data:") || answer.ids().len() as u64 == EVENTS;
    answer.status == 200 && is_whole
}

/// Sends requests of all kinds to all daemons for a time.
async fn load(site: &Site, duration: Duration) -> Vec<Call> {
    let until = Instant::now() + duration;
    let mut calls = Vec::new();
    let mut series = 0;
    while Instant::now() < until {
        for (i, daemon) in site.daemons.iter().enumerate() {
            calls.push(start_call(i, daemon, series));
        }
        series += 1;
        tokio::time::sleep(SERIES_INTERVAL).await;
    }
    calls
}

/// Counts the first attempts from a moment on, at the cut daemons and at the others.
async fn count(calls: Vec<Call>, from: Instant) -> [FirstAttempts; 2] {
    let mut counts = [FirstAttempts::default(); 2];
    for call in calls {
        let answer = call.answer.await.expect("no panic");
        if call.sent < from {
            continue;
        }
        let count = &mut counts[usize::from(call.daemon >= CUT_DAEMONS)];
        count.sent += 1;
        count.served += usize::from(answer.as_ref().is_some_and(is_served));
    }
    counts
}

/// Guards against refusals by daemons whose links to all upstreams are lost, while other daemons
/// can serve the requests.
#[rstest]
#[case::reset(LinksOf::Reset)]
#[case::silent(LinksOf::Silent)]
#[case::refuse_new(LinksOf::RefuseNew)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_without_links_to_upstreams_serve_their_callers(#[case] state: LinksOf) {
    let site = Site::start_with_links(&format!("links-{state:?}"), DAEMONS).await;
    for daemon in 0..CUT_DAEMONS {
        site.set_links(daemon, state);
    }
    let from = Instant::now() + GRACE_PERIOD;
    let calls = load(&site, GRACE_PERIOD + COUNTED_PERIOD).await;
    let [cut, others] = count(calls, from).await;
    assert!(others.ratio() > 0.9, "the others serve: {others:?}");
    assert!(
        cut.ratio() >= MIN_SERVED_RATIO * others.ratio(),
        "cut: {cut:?}, others: {others:?}"
    );
}
