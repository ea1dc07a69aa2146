//! Requests that crash each upstream that begins to run them, and the check that they are stopped.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use reqwest::RequestBuilder;

use crate::callers::client;
use crate::callers::request;
use crate::plan::Poison;
use crate::relay_site::KEY;
use crate::relay_site::crashing::POISON;
use crate::site::Soak;

/// Crashes after which a request is refused.
const MIN_CRASHES_TO_REFUSE: usize = 3;
/// Time after the third crash by which all daemons in touch know it.
const SPREAD_BOUND: Duration = Duration::from_secs(3);
/// Further upstreams that a request may reach after that: at daemons that are cut off, paused or just
/// started.
const MAX_LATE_ENDS: usize = 3;
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

/// Checks that each request reached hardly any upstream after it had crashed three.
pub(crate) fn check(soak: &Soak) {
    let mut ends: HashMap<String, Vec<Instant>> = HashMap::new();
    for end in soak.fragile.ends() {
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
