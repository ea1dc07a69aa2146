use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::advance;

use super::Connection;
use super::Connections;

const MAX: usize = 2;

/// Opens two connections, the second a second after the first.
async fn open_all() -> (Arc<Connections>, Connection, Connection) {
    let connections = Arc::new(Connections::new("test"));
    let first = connections.admit(MAX).await.expect("room");
    advance(Duration::from_secs(1)).await;
    let second = connections.admit(MAX).await.expect("room");
    (connections, first, second)
}

fn is_closing(connection: &Connection) -> bool {
    connection.closing().now_or_never().is_some()
}

#[tokio::test(start_paused = true)]
async fn connection_that_has_waited_longest_makes_room() {
    let (connections, first, second) = open_all().await;
    let mut third = Box::pin(connections.admit(MAX));
    assert!(
        third.as_mut().now_or_never().is_none(),
        "room only once it is closed"
    );
    assert!(is_closing(&first) && !is_closing(&second));
    drop(first);
    assert!(third.await.is_some());
}

#[tokio::test(start_paused = true)]
async fn connection_that_had_a_request_outlasts_one_that_had_none() {
    let (connections, first, second) = open_all().await;
    first.begin_request();
    first.end_request();
    advance(Duration::from_secs(9)).await;
    assert!(connections.admit(MAX).now_or_never().is_none());
    assert!(!is_closing(&first) && is_closing(&second));
}

#[tokio::test(start_paused = true)]
async fn connections_with_a_request_under_way_stay() {
    let (connections, first, second) = open_all().await;
    first.begin_request();
    second.begin_request();
    assert!(connections.admit(MAX).await.is_none());
    second.end_request();
    assert!(connections.admit(MAX).now_or_never().is_none());
    assert!(!is_closing(&first) && is_closing(&second));
}

#[tokio::test(start_paused = true)]
async fn request_that_begins_while_its_connection_closes_is_answered() {
    let (connections, first, second) = open_all().await;
    let mut third = Box::pin(connections.admit(MAX));
    assert!(third.as_mut().now_or_never().is_none());
    first.begin_request();
    assert!(third.as_mut().now_or_never().is_none());
    assert!(is_closing(&second), "another one makes room");
    drop(second);
    assert!(third.await.is_some());
}
