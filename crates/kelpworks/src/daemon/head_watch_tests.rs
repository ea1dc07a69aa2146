//! Tests of a watch of the head that is never answered, without a network and in virtual time.
//!
//! An accepted configuration must be active everywhere within 3 s, of which gossip between peers
//! takes up to 1.14 s. All watchers of a fleet start their next watch at the moment of a change, so
//! an outage that begins then loses all of these watches, and no watcher can rely on another.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::HeadWatch;
use crate::clients::era::Eras;
use crate::clients::object_api::Condition;
use crate::clients::object_api::Deadlines;
use crate::clients::object_api::Error;
use crate::clients::object_api::Object;
use crate::clients::object_api::ObjectApi;
use crate::clients::object_api::ObjectList;
use crate::clients::object_api::Result;
use crate::clients::object_api::WatchEvent;
use crate::clients::object_api::WatchEventKind;
use crate::clients::object_api::WatchReply;
use crate::config::head::HEAD_KIND;
use crate::config::head::HEAD_NAME;
use crate::settings::Settings;
use kelpworks_coord::id::Version;

/// Time within which one watcher must receive the head: 3 s less the 1.14 s for gossip.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(1_860);

/// An object API that never answers watches that are pending when `lost` changes.
#[derive(Debug, Default)]
struct LossyApi {
    head: AtomicU64,
    lost: AtomicU64,
    eras: Eras,
}

impl LossyApi {
    fn object(&self) -> Object {
        let revision = self.head.load(Ordering::Relaxed);
        Object {
            kind: HEAD_KIND.to_owned(),
            name: HEAD_NAME.to_owned(),
            version: Version::initial(revision),
            body: revision.to_string(),
        }
    }
}

impl ObjectApi for LossyApi {
    async fn get(&self, _kind: &str, _name: &str) -> Result<Object> {
        Ok(self.object())
    }

    async fn put(&self, _: &str, _: &str, _: String, _: Condition) -> Result<Object> {
        Err(Error::Unavailable)
    }

    async fn delete(&self, _: &str, _: &str, _: Condition) -> Result<()> {
        Err(Error::Unavailable)
    }

    async fn list(&self, _kind: &str) -> Result<ObjectList> {
        let object = self.object();
        let version = object.version;
        let items = vec![object];
        Ok(ObjectList { items, version })
    }

    async fn watch(&self, _kind: &str, from: Version, wait: Duration) -> Result<WatchReply> {
        let lost = self.lost.load(Ordering::Relaxed);
        let object = self.object();
        let version = object.version;
        if version > from {
            let kind = WatchEventKind::Put;
            let events = vec![WatchEvent { kind, object }];
            return Ok(WatchReply { events, version });
        }
        tokio::time::sleep(wait).await;
        if lost == self.lost.load(Ordering::Relaxed) {
            let events = Vec::new();
            return Ok(WatchReply { events, version });
        }
        tokio::time::sleep(Deadlines::default().watch_margin).await;
        Err(Error::Silent)
    }

    fn eras(&self) -> &Eras {
        &self.eras
    }

    fn reset_connections(&self) {}
}

#[tokio::test(start_paused = true)]
async fn head_change_is_reported_in_time_when_the_pending_watch_is_lost() {
    let api = Arc::new(LossyApi::default());
    api.head.store(1, Ordering::Relaxed);
    let (heads, mut seen) = mpsc::unbounded_channel();
    let (_chosen, chosen) = watch::channel(true);
    let (read, last_read) = watch::channel(None);
    let settings = include_str!("../../../../testdata/aralsky/settings.toml");
    let settings = Settings::parse("settings.toml", settings).expect("settings");
    let head_watch = HeadWatch {
        api: Arc::clone(&api),
        chosen,
        heads,
        read,
        wait: settings.timing.watch.0,
    };
    let stop = CancellationToken::new();
    tokio::spawn(head_watch.run(stop.clone()));
    assert_eq!(seen.recv().await.as_deref(), Some("1"));
    tokio::time::sleep(Duration::from_millis(10)).await;
    api.lost.store(1, Ordering::Relaxed);
    api.head.store(2, Ordering::Relaxed);
    let head = timeout(MAX_DETECTION_TIME, seen.recv()).await;
    assert_eq!(head.expect("in time").as_deref(), Some("2"));
    assert!(
        last_read.borrow().is_some(),
        "operators are shown what was read"
    );
    stop.cancel();
}
