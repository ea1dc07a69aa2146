//! Callers that make a daemon of `kelpworks serve` hold as much as they can, and stay connected.

#[path = "../../kelpworks/tests/caller/mod.rs"]
mod caller;
mod crowd;
mod harness;

use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::sync::Mutex;

use crowd::Crowd;
use harness::Harness;
use harness::PAYING_TOKEN;
use harness::Shape;

/// Only one crowd at a time, so that neither takes the processor from the other's daemon.
static CROWD: Mutex<()> = Mutex::const_new(());

/// Memory that the daemon's host has for it, in bytes.
const HOST_MEMORY_BYTES: u64 = 64_000_000;
/// Longest request body, by default.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time in which the daemon reads what is in the receive buffers.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// What a crowd sends, and on how many connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    /// Heads of half a megabyte that don't end.
    HeadsWithoutEnd,
    /// Bodies of the largest legal size but for the last byte.
    BodiesShort,
}

impl Sending {
    fn connections(self) -> usize {
        match self {
            Sending::HeadsWithoutEnd => 320,
            Sending::BodiesShort => 128,
        }
    }

    fn pieces(self) -> Vec<Bytes> {
        let start = "POST /v1/completions HTTP/1.1\r\nhost: site.example\r\n";
        match self {
            Sending::HeadsWithoutEnd => {
                let field = format!("x-filler: {}\r\n", "x".repeat(8 << 10));
                let mut pieces = vec![Bytes::from(start)];
                pieces.extend(std::iter::repeat_n(Bytes::from(field), 64));
                pieces
            }
            Sending::BodiesShort => {
                let head = format!(
                    "{start}authorization: Bearer {PAYING_TOKEN}\r\ncontent-length: {MAX_BODY_BYTES}\r\n\r\n"
                );
                let body = vec![b'x'; MAX_BODY_BYTES - 1];
                vec![Bytes::from(head), Bytes::from(body)]
            }
        }
    }
}

#[rstest]
#[case::heads_without_end(Sending::HeadsWithoutEnd)]
#[case::bodies_short(Sending::BodiesShort)]
#[tokio::test]
async fn memory_of_serve_stays_within_the_host(#[case] sending: Sending) {
    let _crowd = CROWD.lock().await;
    let timing = format!("state_poll = \"200 ms\"\n[host]\nmemory = \"{HOST_MEMORY_BYTES} B\"");
    let shape = Shape {
        timing: timing.leak(),
        ..Shape::default()
    };
    let harness = Harness::start(shape).await;
    let daemon = &harness.daemons[0];
    let callers = daemon.addresses.callers.parse().expect("an address");
    let _crowd = Crowd::send(callers, sending.connections(), &sending.pieces()).await;
    tokio::time::sleep(READ_PERIOD).await;
    let answer = harness.caller(0).complete("a red kettle", 4).await;
    answer.expect("an answer");
    let memory = daemon.process.peak_memory();
    println!("peak memory {memory} bytes");
    assert!(memory <= HOST_MEMORY_BYTES, "{memory} bytes of memory");
}
