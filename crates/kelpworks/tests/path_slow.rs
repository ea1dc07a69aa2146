//! Callers that stop sending halfway through a request, and requests whose deadline passes: the
//! first are refused or closed, the second end with a verdict and free their KV memory.

mod caller;
mod path;
#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use caller::End;
use kelpworks_fakes::FleetConfig;
use kelpworks_fakes::Model;
use path::Bench;
use path::LAYERS;
use path::MODEL;
use path::PAYING;

/// Time within which a daemon must close an incomplete request, on the paused clock.
const MAX_REQUEST_READ_TIME: Duration = Duration::from_secs(300);

async fn connect(bench: &Bench) -> TcpStream {
    let address = bench.daemons[0].bound_addresses().callers;
    TcpStream::connect(address).await.expect("connects")
}

fn request_head(length: usize) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: {length}\r\n\r\n",
        PAYING.token
    )
}

/// A request that stops halfway is refused or closed within a bounded time; one that stops in its
/// body is answered 408.
#[rstest]
#[case::nothing(String::new(), "")]
#[case::half_a_head("POST /v1/completions HTTP/1.1\r\nhost: a\r\n".to_owned(), "")]
#[case::no_body(request_head(40), "HTTP/1.1 408")]
#[case::half_a_body(request_head(40) + "{\"model\": ", "HTTP/1.1 408")]
#[tokio::test(start_paused = true)]
async fn incomplete_request_times_out(#[case] sent: String, #[case] answer: &str) {
    let bench = Bench::start(1, Duration::ZERO).await;
    let mut conn = connect(&bench).await;
    conn.write_all(sent.as_bytes())
        .await
        .expect("the daemon reads the request");
    let mut buf = Vec::new();
    let closed = timeout(MAX_REQUEST_READ_TIME, conn.read_to_end(&mut buf)).await;
    assert!(
        closed.is_ok(),
        "the connection is still open; read: {}",
        String::from_utf8_lossy(&buf)
    );
    let text = String::from_utf8_lossy(&buf);
    assert!(text.starts_with(answer), "{text}");
    if !answer.is_empty() {
        assert!(text.contains("kelpworks-verdict: not-run"), "{text}");
    }
}

/// A request whose deadline passes ends with a verdict and frees its KV memory, streamed or not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_past_deadline_ends_with_verdict() {
    let model = Model::new(MODEL, "1", LAYERS);
    let mut cfg = FleetConfig::pipeline(&model, 3, 2);
    for engine in &mut cfg.engines {
        engine.iteration_base = Duration::from_millis(20);
    }
    let bench = Bench::start_with(cfg, model, 1, "request = \"400 ms\"").await;
    let caller = bench.caller(0);
    let whole = caller.complete("a red kettle", 4000).await;
    let streamed = caller.stream("a red kettle", 4000).await.expect("a stream");
    let streamed = streamed.rest().await;
    let answer = bench.model.answer_text("a red kettle", 4000);
    assert!(answer.starts_with(&streamed.text) && !streamed.text.is_empty());
    for end in [whole.expect("an answer").end, streamed.end] {
        let End::Error(body) = end else {
            panic!("expected an error at the deadline: {end:?}");
        };
        assert_eq!(body.error.type_, "deadline");
        assert_eq!(body.error.verdict, "may-have-run");
    }
    bench.wait_until_kv_freed().await;
}
