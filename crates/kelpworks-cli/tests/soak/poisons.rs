//! Requests that crash each upstream that begins to run them, alone or by a part that they share, and the check
//! that they are stopped.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use reqwest::RequestBuilder;
use tokio::task::JoinSet;

use crate::callers::client;
use crate::callers::request;
use crate::plan::Poison;
use crate::relay_site::KEY;
use crate::relay_site::crashing::PARTS_HEADER;
use crate::relay_site::crashing::POISON;
use crate::relay_site::crashing::POISON_PARTS;
use crate::site::Soak;

/// Crashes after which a request is refused.
const MIN_CRASHES_TO_REFUSE: usize = 3;
/// Time after the third crash by which all daemons in touch know it.
const SPREAD_BOUND: Duration = Duration::from_secs(3);
/// Further upstreams that a request may reach after that: at daemons that are cut off, paused or just
/// started.
const MAX_LATE_ENDS: usize = 3;
/// Ends under one part of prompts after which its requests are refused.
const MIN_ENDS_UNDER_PART: usize = 5;
/// Further requests with the part that may reach an upstream after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Pause of a caller between two attempts.
const CALLER_PAUSE: Duration = Duration::from_millis(120);

impl Poison {
    fn path(self) -> String {
        match self {
            Poison::Call(n) => format!("/fragile/{POISON}-{n}"),
            Poison::CallThatRunsOnce(n) => format!("/fragile-once/{POISON}-{n}"),
            Poison::Stream(n) => format!("/fragile-events/{POISON}-{n}"),
        }
    }

    fn method(self) -> Method {
        match self {
            Poison::Call(_) => Method::GET,
            Poison::CallThatRunsOnce(_) | Poison::Stream(_) => Method::POST,
        }
    }
}

/// Repeats a request at one daemon after the other. Some attempts go to all daemons at the same time.
pub(crate) async fn repeat(soak: &Soak, poison: Poison, duration: Duration) {
    let client = client();
    let until = Instant::now() + duration;
    for i in 0.. {
        if Instant::now() >= until {
            return;
        }
        let at: Vec<usize> = match i % 5 {
            0 => (0..soak.daemons.len()).collect(),
            _ => vec![i % soak.daemons.len()],
        };
        let sends = at.into_iter().map(|daemon| {
            let id = format!("poison-{i}-{daemon}");
            let callers = soak.daemons[daemon].callers;
            let path = poison.path();
            let req: RequestBuilder = request(&client, callers, poison.method(), &path, &id, KEY);
            let req = req.header("x-kelpworks-token-count", "10,1");
            tokio::spawn(req.timeout(CALLER_PAUSE * 10).send())
        });
        for sent in sends.collect::<Vec<_>>() {
            let _ = sent.await;
        }
        tokio::time::sleep(CALLER_PAUSE).await;
    }
}

/// Sends requests with a part in their prompts, no two alike, to one daemon after the other.
pub(crate) async fn send_with_part(soak: &Soak, part: &str, duration: Duration) {
    let client = client();
    let until = Instant::now() + duration;
    let mut running = JoinSet::new();
    for i in 0.. {
        if Instant::now() >= until {
            break;
        }
        let callers = soak.daemons[i % soak.daemons.len()].callers;
        let id = format!("{part}-{i}");
        let (method, path) = match i % 3 {
            0 => (Method::GET, format!("/fragile/{id}")),
            1 => (Method::POST, format!("/fragile-once/{id}")),
            _ => (Method::POST, format!("/fragile-events/{id}")),
        };
        let req = request(&client, callers, method, &path, &id, KEY);
        let req = req.header("x-kelpworks-token-count", "10,1");
        let req = req.header(PARTS_HEADER, format!("aa:40,{part}:20,{i:x}:9"));
        running.spawn(req.timeout(CALLER_PAUSE * 10).send());
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    running.join_all().await;
}

/// Checks that hardly any request with a part reached an upstream after five had ended under it.
fn check_parts(soak: &Soak) {
    let (ends, arrivals) = (soak.fragile.ends(), soak.fragile.poison_arrivals());
    for part in POISON_PARTS {
        let mut under_part = ends.iter().filter(|e| e.part == Some(part));
        let Some(fifth) = under_part.nth(MIN_ENDS_UNDER_PART - 1).map(|e| e.at) else {
            continue;
        };
        let late = arrivals.iter().filter(|a| a.part == part);
        let late = late.filter(|a| a.at > fifth + SPREAD_BOUND).count();
        if late > MAX_LATE_ARRIVALS {
            let all = ends.iter().filter(|e| e.part == Some(part)).count();
            let text = format!("{late} requests with part {part} arrived late, {all} ends");
            soak.record_violation(text);
        }
    }
}

/// Checks that each request reached hardly any upstream after it had crashed three.
pub(crate) fn check(soak: &Soak) {
    check_parts(soak);
    let mut ends: HashMap<String, Vec<Instant>> = HashMap::new();
    for end in soak.fragile.ends().into_iter().filter(|e| e.part.is_none()) {
        ends.entry(end.path).or_default().push(end.at);
    }
    for (path, mut ends) in ends {
        ends.sort_unstable();
        let Some(&third) = ends.get(MIN_CRASHES_TO_REFUSE - 1) else {
            continue;
        };
        let late = ends.iter().filter(|&&at| at > third + SPREAD_BOUND).count();
        if late > MAX_LATE_ENDS {
            let all = ends.len();
            soak.record_violation(format!("{path} ended {late} upstreams late, {all} in all"));
        }
    }
}
