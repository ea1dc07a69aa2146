//! Checks of upstreams that run, stand still, end and can't be reached, over loopback.

use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::*;

/// Time within which a process on this host closes a connection.
const PROMPT: Duration = Duration::from_secs(5);
/// Time for which nothing is expected to happen.
const QUIET: Duration = Duration::from_millis(300);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn observe(address: SocketAddr) -> JoinHandle<CloseOutcome> {
    tokio::spawn(pool::observe_close(address))
}

async fn end(observing: JoinHandle<CloseOutcome>) -> CloseOutcome {
    let ended = tokio::time::timeout(PROMPT, observing).await;
    ended.expect("in time").expect("no panic")
}

#[tokio::test]
async fn upstream_that_runs_closes_the_connection() {
    let (listener, address) = listener().await;
    let observing = observe(address);
    let (stream, _) = listener.accept().await.expect("a connection");
    drop(stream);
    assert_eq!(end(observing).await, CloseOutcome::RunsOrEnded);
}

#[tokio::test]
async fn ended_upstream_refuses_the_connection() {
    let (listener, address) = listener().await;
    drop(listener);
    assert_eq!(end(observe(address)).await, CloseOutcome::RunsOrEnded);
}

/// Guards against an accepted connection that is taken for a sign of life: the operating system accepts it for a
/// process that stands still.
#[tokio::test]
async fn upstream_that_stands_still_shows_nothing_until_it_runs_again() {
    let (listener, address) = listener().await;
    let observing = observe(address);
    tokio::time::sleep(QUIET).await;
    assert!(!observing.is_finished(), "nothing has read the connection");
    let (mut stream, _): (TcpStream, _) = listener.accept().await.expect("a connection");
    let read = stream.read(&mut [0; 1]).await;
    assert_eq!(read.expect("no error"), 0, "no request");
    drop(stream);
    assert_eq!(end(observing).await, CloseOutcome::RunsOrEnded);
}

/// Guards against checks of all daemons at once after a start of the whole fleet, and against a delay without end.
#[test]
fn delay_grows_with_the_number_of_daemons_up_to_a_bound() {
    for (daemons, longest) in [
        (1, CHECK_SPACING),
        (986, MAX_CHECK_DELAY),
        (usize::MAX, MAX_CHECK_DELAY),
    ] {
        let drawn = (0..100).map(|_| random_delay(daemons));
        let largest = drawn.max().expect("a delay");
        assert!(
            largest <= longest && largest > longest / 2,
            "{daemons}: {largest:?}"
        );
    }
}
