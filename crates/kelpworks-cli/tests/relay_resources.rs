//! Callers that make a daemon hold as much as they can, and stay connected.
//!
//! Each crowd sends more than the daemon's host has memory or file descriptors for. The daemon must live, stay within
//! both, and answer an ordinary request while the crowd is still connected.

mod crowd;
mod relay_site;

use std::time::Duration;

use bytes::Bytes;
use reqwest::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::timeout;

use crowd::Crowd;
use relay_site::HOST;
use relay_site::KEY;
use relay_site::Site;
use relay_site::WAIT_TIMEOUT;
use relay_site::configuration;
use relay_site::daemon::Answer;
use relay_site::daemon::Host;

/// Only one crowd at a time, so that neither takes the processor from the other's daemon.
static CROWD: Mutex<()> = Mutex::const_new(());

/// What the daemon's host has in these tests.
const SMALL_HOST: Host = Host {
    memory_mb: 64,
    descriptors: 400,
};
/// Descriptors of a daemon whose memory is under test.
const AMPLE_DESCRIPTORS: u64 = 4_096;
/// Longest request body of the site.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest request body of a site whose requests are large, and the time that its routes allow.
const LARGE_BODY_BYTES: usize = 4 << 20;
const LARGE_BODY_TIMEOUT_MS: u64 = 120_000;
/// Name of the upstream that does not answer.
const SILENT: &str = "silent-upstream";
/// Bytes of a caller that may be under way unread: the buffers of both sides.
const MAX_UNREAD_BYTES: usize = 1 << 20;
/// Times that an ordinary request is sent at most, and the time between two of them.
const MAX_TRIES: usize = 5;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Period in which a daemon that has read all that was sent uses less than this number of clock ticks, which are a
/// hundredth of a second each.
const IDLE_PERIOD: Duration = Duration::from_secs(1);
const MAX_IDLE_TICKS: u64 = 25;
/// Longest time for which a daemon reads what a crowd has sent.
const READ_TIMEOUT: Duration = Duration::from_secs(90);

/// What a crowd sends, and on how many connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    /// Heads of 256 KiB; all of them end at the same time.
    HeadsOverTheLimit,
    /// Heads of half a megabyte that don't end.
    HeadsWithoutEnd,
    /// Half a megabyte of empty lines before a request.
    EmptyLines,
    /// Whole bodies of the largest legal size, to an upstream that does not answer.
    BodiesWhole,
    /// The same bodies, sent at once but for the last byte.
    BodiesShort,
    /// The same bodies, sent in small pieces but for the last byte.
    BodiesInPieces,
    /// The same bodies in chunks of 64 KiB, the last one short of a byte.
    LargeChunks,
    /// Bodies of 64 KiB in chunks of a byte, the last one missing.
    SmallChunks,
}

impl Sending {
    fn connections(self) -> usize {
        match self {
            Sending::HeadsOverTheLimit | Sending::HeadsWithoutEnd | Sending::EmptyLines => 320,
            Sending::SmallChunks => 32,
            _ => 128,
        }
    }

    /// Returns what each caller writes, in order.
    fn pieces(self) -> Vec<Bytes> {
        let of_length = |length| head(&format!("content-length: {length}"));
        let chunked = head("transfer-encoding: chunked");
        let start = |head: &[u8]| Bytes::copy_from_slice(head);
        let body = Bytes::from(vec![b'x'; MAX_BODY_BYTES]);
        let short = body.slice(1..);
        match self {
            Sending::HeadsOverTheLimit => {
                let field = format!("x-filler: {}\r\n", "x".repeat(256 << 10));
                vec![Bytes::from(format!("GET /often/x HTTP/1.1\r\n{field}"))]
            }
            Sending::HeadsWithoutEnd => {
                let field = format!("x-filler: {}\r\n", "x".repeat(8 << 10));
                let mut pieces = vec![Bytes::from_static(b"GET /often/x HTTP/1.1\r\n")];
                pieces.extend(std::iter::repeat_n(Bytes::from(field), 64));
                pieces
            }
            Sending::EmptyLines => vec![Bytes::from("\r\n".repeat(4 << 10)); 64],
            Sending::BodiesWhole => vec![start(&of_length(MAX_BODY_BYTES)), body],
            Sending::BodiesShort => vec![start(&of_length(MAX_BODY_BYTES)), short],
            Sending::BodiesInPieces => {
                let mut pieces = vec![start(&of_length(MAX_BODY_BYTES))];
                let starts = (0..short.len()).step_by(4 << 10);
                pieces.extend(starts.map(|i| short.slice(i..short.len().min(i + (4 << 10)))));
                pieces
            }
            Sending::LargeChunks => {
                let chunk = chunks(&body, 64 << 10);
                vec![start(&chunked), chunk.slice(..chunk.len() - 3)]
            }
            Sending::SmallChunks => {
                let body = body.slice(..(64 << 10) - 1);
                vec![start(&chunked), chunks(&body, 1)]
            }
        }
    }
}

/// Returns the head of a request, whose body a field describes, to the service that does not answer.
fn head(field: &str) -> Vec<u8> {
    head_to("/fragile/x", field)
}

fn head_to(path: &str, field: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         x-kelpworks-attempt-id: crowd\r\n{field}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns a body in chunks of a size, without the last chunk, which is empty.
fn chunks(body: &[u8], size: usize) -> Bytes {
    let mut encoded = Vec::new();
    for chunk in body.chunks(size) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.into()
}

/// Returns the site's configuration with bodies of up to a number of bytes.
fn config(max_body_bytes: usize) -> Value {
    let mut config = configuration(4);
    config["limits"]["max-body-bytes"] = json!(max_body_bytes);
    config
}

/// Registers an upstream that reads requests and does not answer them, and waits until the daemon knows it.
async fn start_silent_upstream(site: &Site) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let entry = json!({
        "service": "fragile", "address": address.to_string(), "zone": "hall-a", "version": "v1",
        "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": 1
    });
    site.store.put("servers", SILENT, entry);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = vec![0; 16 << 10];
                while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
            });
        }
    });
    let until = Instant::now() + WAIT_TIMEOUT;
    while !site.daemons[0].log().contains(SILENT) {
        assert!(Instant::now() < until, "the upstream is not known");
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the answer to an ordinary request, which is sent again while it is refused, as callers do.
async fn ordinary_answer(site: &Site) -> Answer {
    let daemon = &site.daemons[0];
    let mut tries = 1;
    loop {
        let req = daemon.request(Method::GET, "/often/x", "ordinary");
        let answer = daemon.send(req).await;
        if answer.as_ref().is_ok_and(|a| a.status == 200) || tries == MAX_TRIES {
            return answer.expect("an answer");
        }
        tries += 1;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Waits until a daemon has read what was sent to it: it no longer uses the processor.
async fn wait_until_read(site: &Site) {
    let daemon = &site.daemons[0];
    let until = Instant::now() + READ_TIMEOUT;
    loop {
        let before = daemon.processor_ticks();
        tokio::time::sleep(IDLE_PERIOD).await;
        if daemon.processor_ticks() - before <= MAX_IDLE_TICKS || Instant::now() >= until {
            return;
        }
    }
}

/// Checks what must hold of the daemon while a crowd is connected.
async fn assert_sound(site: &mut Site, host: Host) {
    let answer = ordinary_answer(site).await;
    let daemon = &mut site.daemons[0];
    assert!(!daemon.has_exited(), "{}", daemon.log());
    let memory = daemon.peak_memory();
    let descriptors = daemon.open_descriptors();
    println!("peak memory {memory} bytes, {descriptors} descriptors");
    assert!(
        memory <= host.memory_mb * 1_000_000,
        "{memory} bytes of memory"
    );
    assert!(
        descriptors < host.descriptors,
        "{descriptors} descriptors open"
    );
    assert_eq!(answer.status, 200);
}

#[rstest]
#[case::heads_over_the_limit(Sending::HeadsOverTheLimit)]
#[case::heads_without_end(Sending::HeadsWithoutEnd)]
#[case::empty_lines(Sending::EmptyLines)]
#[case::bodies_whole(Sending::BodiesWhole)]
#[case::bodies_short(Sending::BodiesShort)]
#[case::bodies_in_pieces(Sending::BodiesInPieces)]
#[case::large_chunks(Sending::LargeChunks)]
#[case::small_chunks(Sending::SmallChunks)]
#[tokio::test]
async fn memory_stays_within_the_host(#[case] sending: Sending) {
    let _crowd = CROWD.lock().await;
    let host = Host {
        descriptors: AMPLE_DESCRIPTORS,
        ..SMALL_HOST
    };
    let name = format!("resources-{sending:?}");
    let mut site = Site::start_on_host(&name, host, config(MAX_BODY_BYTES)).await;
    start_silent_upstream(&site).await;
    let callers = site.daemons[0].callers;
    let pieces = sending.pieces();
    let mut crowd = Crowd::send(callers, sending.connections(), &pieces).await;
    if sending == Sending::HeadsOverTheLimit {
        crowd.send_all(b"\r\n").await;
    }
    wait_until_read(&site).await;
    assert_sound(&mut site, host).await;
}

/// Answers of a mebibyte to callers that read nothing.
#[tokio::test]
async fn unread_answers_stay_within_the_memory_of_the_host() {
    let _crowd = CROWD.lock().await;
    let host = Host {
        descriptors: AMPLE_DESCRIPTORS,
        ..SMALL_HOST
    };
    let config = config(MAX_BODY_BYTES);
    let mut site = Site::start_on_host("resources-answers", host, config).await;
    let callers = site.daemons[0].callers;
    let request = Bytes::from(head_to("/often/large", "content-length: 0"));
    // The kernel of a caller takes more than a whole answer.
    let requests = vec![request; 8];
    let _crowd = Crowd::send(callers, 128, &requests).await;
    wait_until_read(&site).await;
    assert_sound(&mut site, host).await;
}

/// A caller that reads nothing of its answers does not keep its connection.
#[tokio::test]
async fn connection_whose_caller_does_not_read_is_closed() {
    let _crowd = CROWD.lock().await;
    let mut config = config(MAX_BODY_BYTES);
    config["limits"]["idle-timeout-ms"] = json!(1_000);
    let site = Site::start_on_host("resources-stalled", SMALL_HOST, config).await;
    let daemon = &site.daemons[0];
    let request = head_to("/often/large", "content-length: 0");
    // More answers than the buffers of both sides take.
    let requests = vec![Bytes::from(request); 32];
    let _crowd = Crowd::send(daemon.callers, 1, &requests).await;
    let until = Instant::now() + WAIT_TIMEOUT;
    let open = "kelpworks_open_connections{listener=\"callers\"}";
    while daemon.counter(open).await > 0 {
        assert!(Instant::now() < until, "the connection stays open");
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// What follows a request waits in the buffers of the operating system, which count for the host as well.
#[tokio::test]
async fn bytes_after_a_request_are_left_to_the_caller() {
    let _crowd = CROWD.lock().await;
    let config = config(MAX_BODY_BYTES);
    let site = Site::start_on_host("resources-unread", SMALL_HOST, config).await;
    start_silent_upstream(&site).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    let buffer = MAX_UNREAD_BYTES as u32 / 4;
    socket.set_send_buffer_size(buffer).expect("a buffer size");
    let stream = socket.connect(site.daemons[0].callers).await;
    let mut stream = stream.expect("a connection");
    // The operating system enlarges the receive buffer of a connection that is read fast.
    let head = head_to("/often/x", &format!("content-length: {MAX_BODY_BYTES}"));
    let body = vec![b'x'; MAX_BODY_BYTES];
    for _ in 0..32 {
        stream.write_all(&head).await.expect("a head is read");
        stream.write_all(&body).await.expect("a body is read");
        let mut answer = Vec::new();
        while !answer.ends_with(b"for team-a") {
            let read = stream.read_buf(&mut answer).await;
            assert!(read.expect("an answer") > 0, "closed");
        }
    }
    let request = head_to("/fragile-once/x", "content-length: 0");
    stream.write_all(&request).await.expect("a request is read");
    let mut sent = 0;
    let piece = [b'x'; 16 << 10];
    while let Ok(written) = timeout(IDLE_PERIOD, stream.write(&piece)).await {
        sent += written.expect("the connection is open");
        assert!(sent <= MAX_UNREAD_BYTES, "{sent} bytes are held unread");
    }
}

/// The daemon needs descriptors for upstreams, other daemons and the store as well.
#[tokio::test]
async fn connections_of_callers_leave_descriptors_for_upstreams() {
    let _crowd = CROWD.lock().await;
    let mut config = config(MAX_BODY_BYTES);
    // Otherwise the crowd's heads would be late before the request is answered.
    config["limits"]["header-timeout-ms"] = json!(60_000);
    let mut site = Site::start_on_host("resources-connections", SMALL_HOST, config).await;
    let callers = site.daemons[0].callers;
    let _crowd = Crowd::send(callers, 600, &[Bytes::from_static(b"G")]).await;
    assert_sound(&mut site, SMALL_HOST).await;
}

/// However the largest legal body is cut into chunks.
#[rstest]
#[case::whole(LARGE_BODY_BYTES)]
#[case::bytes(1)]
#[tokio::test]
async fn request_of_the_largest_legal_size_is_served_in_calm(#[case] chunk_bytes: usize) {
    let _crowd = CROWD.lock().await;
    let host = Host {
        descriptors: AMPLE_DESCRIPTORS,
        ..SMALL_HOST
    };
    let mut config = config(LARGE_BODY_BYTES);
    for route in config["routes"].as_array_mut().expect("a list") {
        route["timeout-ms"] = json!(LARGE_BODY_TIMEOUT_MS);
    }
    let name = format!("resources-calm-{chunk_bytes}");
    let mut site = Site::start_on_host(&name, host, config).await;
    let mut stream = TcpStream::connect(site.daemons[0].callers)
        .await
        .expect("a connection");
    let field = "transfer-encoding: chunked\r\nconnection: close";
    let head = head_to("/once/x", field);
    stream.write_all(&head).await.expect("a head is read");
    let body = chunks(&vec![b'x'; LARGE_BODY_BYTES], chunk_bytes);
    stream.write_all(&body).await.expect("a body is read");
    stream
        .write_all(b"0\r\n\r\n")
        .await
        .expect("a body is read");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_sound(&mut site, host).await;
}
