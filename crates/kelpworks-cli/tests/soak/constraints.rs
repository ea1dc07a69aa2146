//! Checks what daemons send to upstreams that requested a backoff or are leaving.
//!
//! A restart, a pause or a planned stop of the daemon since the answer excuses a message, as does a
//! fault of the upstream's link, by which the daemon may not have got the answer. Queries and orders
//! to load layers don't name their sender, and are not counted. Neither are messages of requests that
//! one daemon handed over to another, as they don't show which of the two sent them, and a backoff binds
//! only the daemon that was asked for it.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::limits::Target;
use crate::limits::sender;
use crate::relay_site::engine::Message;
use crate::site::Soak;

/// Time after an answer by which its daemon has applied it.
const APPLIED_AFTER: Duration = Duration::from_millis(500);
/// Messages that a daemon may send to an upstream during a backoff.
const MAX_MESSAGES_IN_BACKOFF: usize = 2;
/// Time after the first notice of leaving from which a daemon sends the upstream nothing new.
const LEAVING_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// The messages that arrived at an upstream.
struct Upstream<'a> {
    soak: &'a Soak,
    target: Target,
    name: &'a str,
    /// Without those of requests that were handed over.
    messages: Vec<Message>,
}

/// Returns the ids of the requests that daemons handed over, from their logs.
async fn handed_over(soak: &Soak) -> HashSet<String> {
    let mut ids = HashSet::new();
    for daemon in &soak.daemons {
        let log = daemon.relay.lock().await.log();
        let lines = log.lines().filter(|l| l.contains("\"handed over\""));
        let lines = lines.filter_map(|l| serde_json::from_str::<Value>(l).ok());
        ids.extend(lines.filter_map(|l| l["kv"]["request"].as_str().map(str::to_owned)));
    }
    ids
}

/// Checks the messages at all upstreams.
pub(crate) async fn check(soak: &Soak) {
    let handed_over = handed_over(soak).await;
    let own = |mut messages: Vec<Message>| {
        messages.retain(|m| !handed_over.contains(&m.request));
        messages
    };
    let app = Upstream {
        soak,
        target: Target::App,
        name: "the plain service",
        messages: own(soak.app.constraints().messages()),
    };
    app.check();
    for (i, at) in soak.engines.iter().enumerate() {
        let engine = Upstream {
            soak,
            target: Target::Engine(i),
            name: &at.engine.instance,
            messages: own(at.engine.constraints().messages()),
        };
        engine.check();
    }
}

impl Upstream<'_> {
    fn check(&self) {
        for daemon in 0..self.soak.daemons.len() {
            let is_sent = |m: &&Message| sender(&m.request) == Some(daemon);
            let messages: Vec<&Message> = self.messages.iter().filter(is_sent).collect();
            self.check_backoffs(daemon, &messages);
            self.check_leaving(daemon, &messages);
        }
    }

    fn check_backoffs(&self, daemon: usize, messages: &[&Message]) {
        for refusal in messages {
            let Some(backoff) = refusal.backoff else {
                continue;
            };
            let (from, until) = (refusal.at + APPLIED_AFTER, refusal.at + backoff);
            let counts = |m: &&&Message| {
                from <= m.at && m.at < until && self.is_calm(daemon, refusal.at, m.at)
            };
            let count = messages.iter().filter(counts).count();
            if count > MAX_MESSAGES_IN_BACKOFF {
                let name = self.name;
                self.soak.record_violation(format!(
                    "daemon {daemon} sent {count} messages to {name} during a backoff: {refusal:?}"
                ));
                return;
            }
        }
    }

    /// Checks that no request arrives after a notice, until the upstream's answers omit it again
    /// after a restart.
    fn check_leaving(&self, daemon: usize, messages: &[&Message]) {
        let is_request = |m: &&&Message| m.path != "/order";
        let mut notice: Option<&Message> = None;
        for message in messages.iter().filter(is_request) {
            if !message.leaving {
                notice = None;
                continue;
            }
            let first = *notice.get_or_insert(message);
            let is_late = message.at >= first.at + LEAVING_GRACE_PERIOD;
            if is_late && self.is_calm(daemon, first.at, message.at) {
                let name = self.name;
                self.soak.record_violation(format!(
                    "daemon {daemon} sent {name} a request after its notice: {first:?} {message:?}"
                ));
                return;
            }
        }
    }

    /// Whether neither the daemon nor the link to the upstream was disturbed in a period.
    fn is_calm(&self, daemon: usize, from: Instant, to: Instant) -> bool {
        let limits = &self.soak.limits;
        let before = from.checked_sub(APPLIED_AFTER).unwrap_or(from);
        let is_disturbed = |target| limits.is_disturbed(target, before, to);
        !is_disturbed(Target::Daemon(daemon)) && !is_disturbed(self.target)
    }
}
