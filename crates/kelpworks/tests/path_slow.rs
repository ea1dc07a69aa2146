//! Callers that stop halfway, and requests whose time is up: they end with a verdict, and nothing
//! of them stays behind.

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

/// Longest that a daemon may bear with a caller; on the paused clock.
const PATIENCE: Duration = Duration::from_secs(300);

async fn connect(bench: &Bench) -> TcpStream {
    let address = bench.daemons[0].bound_addresses().callers;
    TcpStream::connect(address).await.expect("connects")
}

fn head(length: usize) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n\
         content-length: {length}\r\n\r\n",
        PAYING.token
    )
}

/// A head or a body that stops halfway is given up: a refusal or a close, in bounded time.
#[rstest]
#[case::nothing(String::new(), "")]
#[case::half_a_head("POST /v1/completions HTTP/1.1\r\nhost: a\r\n".to_owned(), "")]
#[case::no_body(head(40), "HTTP/1.1 408")]
#[case::half_a_body(head(40) + "{\"model\": ", "HTTP/1.1 408")]
#[tokio::test(start_paused = true)]
async fn a_request_that_stops_halfway_is_given_up(#[case] sent: String, #[case] answer: &str) {
    let bench = Bench::start(1, Duration::ZERO).await;
    let mut conn = connect(&bench).await;
    conn.write_all(sent.as_bytes()).await.expect("takes it");
    let mut buf = Vec::new();
    let closed = timeout(PATIENCE, conn.read_to_end(&mut buf)).await;
    assert!(
        closed.is_ok(),
        "still open: {}",
        String::from_utf8_lossy(&buf)
    );
    let text = String::from_utf8_lossy(&buf);
    assert!(text.starts_with(answer), "{text}");
    if !answer.is_empty() {
        assert!(text.contains("kelpworks-verdict: not-run"), "{text}");
    }
}

/// A request whose time is up ends with a verdict, whole or streamed, and frees its stages.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_out_of_time_ends_with_a_verdict() {
    let model = Model::new(MODEL, "1", LAYERS);
    let mut cfg = FleetConfig::pipeline(&model, 3, 2);
    for engine in &mut cfg.engines {
        engine.iteration_base = Duration::from_millis(20);
    }
    let bench = Bench::of(cfg, model, 1, "request = \"400 ms\"").await;
    let caller = bench.caller(0);
    let whole = caller.complete("a red kettle", 4000).await;
    let streamed = caller.stream("a red kettle", 4000).await.expect("a stream");
    let streamed = streamed.rest().await;
    let answer = bench.model.answer_text("a red kettle", 4000);
    assert!(answer.starts_with(&streamed.text) && !streamed.text.is_empty());
    for end in [whole.expect("an answer").end, streamed.end] {
        let End::Error(body) = end else {
            panic!("not ended by an error: {end:?}");
        };
        assert_eq!(body.error.type_, "deadline");
        assert_eq!(body.error.verdict, "may-have-run");
    }
    bench.until_free().await;
}
