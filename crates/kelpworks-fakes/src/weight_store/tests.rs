use std::time::Duration;

use tokio::time::Instant;

use super::WeightStore;
use super::WeightStoreConfig;

#[tokio::test(start_paused = true)]
async fn reads_share_the_bandwidth() {
    let cfg = WeightStoreConfig {
        bytes_per_second: 1000.0,
        ..WeightStoreConfig::default()
    };
    let store = WeightStore::spawn(cfg).await.unwrap();
    let start = Instant::now();
    let ends: Vec<Duration> = [500, 1500, 250]
        .map(|bytes| store.shared.reserve(bytes) - start)
        .into();
    let wanted = [500, 2000, 2250].map(Duration::from_millis);
    assert_eq!(ends, wanted);
    tokio::time::advance(Duration::from_secs(10)).await;
    let later = store.shared.reserve(1000) - Instant::now();
    assert_eq!(later, Duration::from_secs(1));
    assert_eq!(store.bytes(), 3250);
}
