//! Calls of plain services: what a caller gets for each reply of a service, and how often the
//! service is called.

mod caller;
mod contract;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use insta::assert_snapshot;
use reqwest::Method;
use reqwest::Response;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use contract::SERVICE;
use contract::Setup;
use contract::TOKEN;
use contract::answer::describe;
use contract::scripted_server::Reply;
use contract::scripted_server::ScriptedServer;
use contract::wait_until;

/// More than the daemon passes on of a response body.
const HUGE_BYTES: usize = 100 << 20;
/// Setting for a short request deadline, for replies that never end.
const SHORT_DEADLINE: &str = "request = \"400 ms\"";
/// Timeout of the client, so that a hanging test fails. No assertion depends on it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon in front of two hosts of a plain service.
struct Services {
    setup: Setup,
    hosts: Vec<ScriptedServer>,
}

fn is_endless(reply: Reply) -> bool {
    matches!(reply, Reply::Unanswered | Reply::Trickle)
}

impl Services {
    async fn start(reply: Reply) -> Services {
        let timing = if is_endless(reply) {
            SHORT_DEADLINE
        } else {
            ""
        };
        let mut hosts = Vec::new();
        let redirect = async |view: &mut kelpworks_fakes::fleet::FleetView| {
            for service in &mut view.services {
                let host = ScriptedServer::start(reply).await;
                service.address = host.address();
                hosts.push(host);
            }
        };
        let setup = Setup::start(redirect, timing).await;
        let services = Services { setup, hosts };
        services.wait_until_both_are_called().await;
        services
    }

    /// Sends calls until each host has received one, then clears the recorded calls.
    async fn wait_until_both_are_called(&self) {
        wait_until("both hosts are called", async || {
            let _response = self.call(Method::POST, "/warm-up").await;
            self.hosts.iter().all(|h| !h.calls().is_empty())
        })
        .await;
        for host in &self.hosts {
            host.clear_calls();
        }
    }

    async fn call(&self, method: Method, path: &str) -> Response {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(CLIENT_TIMEOUT)
            .build()
            .expect("a client");
        let url = format!("{}/services/{SERVICE}{path}", self.setup.base());
        let sent = client.request(method, url).bearer_auth(TOKEN).send();
        sent.await.expect("an answer")
    }

    /// Sends a `PUT` without normalizing the path, as HTTP clients would, and returns the whole
    /// response as text.
    async fn put(&self, path: &str) -> String {
        let callers = self.setup.daemon.bound_addresses().callers;
        let mut stream = TcpStream::connect(callers).await.expect("connected");
        let head = format!(
            "PUT {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\n\
             content-length: 0\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.expect("an answer");
        reply
    }

    fn calls(&self) -> usize {
        self.hosts.iter().map(|h| h.calls().len()).sum()
    }
}

#[rstest]
#[case::ok("ok", Reply::Complete(200, "done"))]
#[case::created("created", Reply::Complete(201, "made"))]
#[case::no_content("no_content", Reply::Complete(204, ""))]
#[case::not_found("not_found", Reply::Complete(404, "none"))]
#[case::conflict("conflict", Reply::Complete(409, "exists"))]
#[case::over_rate("over_rate", Reply::RetryAfter(429, "7"))]
#[case::internal("internal", Reply::Complete(500, "oops"))]
#[case::unavailable("unavailable", Reply::RetryAfter(503, "7"))]
#[case::see_other("see_other", Reply::Redirect(303))]
#[case::see_nowhere("see_nowhere", Reply::RedirectToClosedPort(303))]
#[case::moved("moved", Reply::Redirect(307))]
#[case::moved_nowhere("moved_nowhere", Reply::RedirectToClosedPort(307))]
#[case::huge("huge", Reply::Huge(HUGE_BYTES))]
#[case::cut("cut", Reply::Cut)]
#[case::trickle("trickle", Reply::Trickle)]
#[case::silence("silence", Reply::Unanswered)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_reply_is_passed_on_with_verdict(#[case] name: &str, #[case] reply: Reply) {
    let services = Services::start(reply).await;
    let mut transcript = String::new();
    for method in [Method::GET, Method::POST] {
        let before = services.calls();
        let res = services.call(method.clone(), "/thing").await;
        let described = describe(res).await;
        let calls = services.calls() - before;
        // The number of retries that fit into the deadline depends on timing.
        let counted = match is_endless(reply) && method == Method::GET {
            true => String::new(),
            false => format!(", calls: {calls}"),
        };
        transcript.push_str(&format!("{method}{counted}\n{described}\n"));
        if method == Method::POST {
            assert!(calls <= 1, "a non-idempotent call was retried");
        }
    }
    assert_snapshot!(format!("service_{name}"), transcript);
}

/// A `PUT` whose reply is interrupted is retried, unless a rule declares it as non-idempotent. The
/// rule must match every spelling that the service would read as the same path.
#[rstest]
#[case::no_rule("/things/1", true)]
#[case::other_prefix("/things/certificates", true)]
#[case::plain("/certificates/1", false)]
#[case::bare("/certificates", false)]
#[case::query("/certificates?x=/../..", false)]
#[case::dot("/./certificates/1", false)]
#[case::dots("/things/../certificates/1", false)]
#[case::encoded_dots("/things/%2e%2E/certificates/1", false)]
#[case::encoded_letter("/%63ertificates/1", false)]
#[case::encoded_slashes("/things%2F..%2fcertificates%2f1", false)]
#[case::two_slashes("//certificates/1", false)]
#[case::backslash("/things\\..\\certificates/1", false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_rule_matches_normalized_path(#[case] path: &str, #[case] is_retried: bool) {
    let services = Services::start(Reply::Cut).await;
    let reply = services.put(&format!("/services/{SERVICE}{path}")).await;
    assert!(reply.contains("kelpworks-verdict: may-have-run"), "{reply}");
    let calls = services.calls();
    assert_eq!(calls > 1, is_retried, "{:?}", services.hosts);
    assert!(calls > 0, "the call was sent");
}

/// The service name may be percent-encoded too. The service receives what follows the name.
#[rstest]
#[case::plain("/services/jobs/things/1", "PUT /things/1")]
#[case::encoded("/services/j%6Fbs/things/1", "PUT /things/1")]
#[case::longer_name("/services/jobs/services/jobs/1", "PUT /services/jobs/1")]
#[case::bare("/services/jobs", "PUT /")]
#[case::slash("/services/jobs/", "PUT /")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_receives_path_after_service_name(#[case] path: &str, #[case] call: &str) {
    let services = Services::start(Reply::Complete(200, "done")).await;
    services.put(path).await;
    let calls: Vec<String> = services
        .hosts
        .iter()
        .flat_map(ScriptedServer::calls)
        .collect();
    assert_eq!(calls, [call]);
}
