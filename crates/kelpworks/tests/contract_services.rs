//! The border to plain services: what a caller gets for each reply of a service, and how often
//! the service was called.

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
use contract::script::Reply;
use contract::script::Script;
use contract::until;

/// More than a daemon passes on of an answer.
const HUGE: usize = 100 << 20;
/// Bound of a whole request, for replies that never end.
const SHORT: &str = "request = \"400 ms\"";
/// Bound on what a client waits; never what a verdict rests on.
const CLIENT_BOUND: Duration = Duration::from_secs(30);

/// A daemon before two hosts of a plain service.
struct Services {
    setup: Setup,
    hosts: Vec<Script>,
}

fn is_endless(reply: Reply) -> bool {
    matches!(reply, Reply::Silence | Reply::Trickle)
}

impl Services {
    async fn start(reply: Reply) -> Services {
        let timing = if is_endless(reply) { SHORT } else { "" };
        let mut hosts = Vec::new();
        let redirect = async |view: &mut kelpworks_fakes::fleet::FleetView| {
            for service in &mut view.services {
                let host = Script::start(reply).await;
                service.address = host.address();
                hosts.push(host);
            }
        };
        let setup = Setup::start(redirect, timing).await;
        let services = Services { setup, hosts };
        services.until_both_are_live().await;
        services
    }

    /// Waits until calls have reached each of the hosts.
    async fn until_both_are_live(&self) {
        until("both hosts are called", async || {
            let _any = self.call(Method::POST, "/warm-up").await;
            self.hosts.iter().all(|h| !h.calls().is_empty())
        })
        .await;
        for host in &self.hosts {
            host.forget();
        }
    }

    async fn call(&self, method: Method, path: &str) -> Response {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(CLIENT_BOUND)
            .build()
            .expect("a client");
        let url = format!("{}/services/{SERVICE}{path}", self.setup.base());
        let sent = client.request(method, url).bearer_auth(TOKEN).send();
        sent.await.expect("an answer")
    }

    /// Sends a `PUT` with its path as it stands, and gives the whole reply.
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
#[case::ok("ok", Reply::Whole(200, "done"))]
#[case::created("created", Reply::Whole(201, "made"))]
#[case::no_content("no_content", Reply::Whole(204, ""))]
#[case::not_found("not_found", Reply::Whole(404, "none"))]
#[case::conflict("conflict", Reply::Whole(409, "exists"))]
#[case::over_rate("over_rate", Reply::ComeBack(429, "7"))]
#[case::internal("internal", Reply::Whole(500, "oops"))]
#[case::unavailable("unavailable", Reply::ComeBack(503, "7"))]
#[case::see_other("see_other", Reply::Moved(303))]
#[case::see_nowhere("see_nowhere", Reply::MovedToNowhere(303))]
#[case::moved("moved", Reply::Moved(307))]
#[case::moved_nowhere("moved_nowhere", Reply::MovedToNowhere(307))]
#[case::huge("huge", Reply::Huge(HUGE))]
#[case::cut("cut", Reply::Cut)]
#[case::trickle("trickle", Reply::Trickle)]
#[case::silence("silence", Reply::Silence)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replies(#[case] name: &str, #[case] reply: Reply) {
    let services = Services::start(reply).await;
    let mut told = String::new();
    for method in [Method::GET, Method::POST] {
        let before = services.calls();
        let res = services.call(method.clone(), "/thing").await;
        let described = describe(res).await;
        let calls = services.calls() - before;
        // Whether a repeat still fits into the deadline is a matter of time.
        let counted = match is_endless(reply) && method == Method::GET {
            true => String::new(),
            false => format!(", calls: {calls}"),
        };
        told.push_str(&format!("{method}{counted}\n{described}\n"));
        if method == Method::POST {
            assert!(calls <= 1, "a call that may not be repeated was repeated");
        }
    }
    assert_snapshot!(format!("service_{name}"), told);
}

/// A `PUT` whose reply breaks off is sent again, unless a rule says that it may run only once.
/// However the path is spelt, the service reads the same one, and so does the rule.
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
async fn no_spelling_of_a_path_escapes_its_rule(#[case] path: &str, #[case] is_repeated: bool) {
    let services = Services::start(Reply::Cut).await;
    let reply = services.put(&format!("/services/{SERVICE}{path}")).await;
    assert!(reply.contains("kelpworks-verdict: may-have-run"), "{reply}");
    let calls = services.calls();
    assert_eq!(calls > 1, is_repeated, "{:?}", services.hosts);
    assert!(calls > 0, "it was sent");
}

/// The name of the service may be spelt in more ways too; what follows it is the path.
#[rstest]
#[case::plain("/services/jobs/things/1", "PUT /things/1")]
#[case::encoded("/services/j%6Fbs/things/1", "PUT /things/1")]
#[case::longer_name("/services/jobs/services/jobs/1", "PUT /services/jobs/1")]
#[case::bare("/services/jobs", "PUT /")]
#[case::slash("/services/jobs/", "PUT /")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_follows_the_name_is_the_path(#[case] path: &str, #[case] call: &str) {
    let services = Services::start(Reply::Whole(200, "done")).await;
    services.put(path).await;
    let calls: Vec<String> = services.hosts.iter().flat_map(Script::calls).collect();
    assert_eq!(calls, [call]);
}
