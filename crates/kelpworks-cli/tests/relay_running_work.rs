//! Streams that can't be resumed, while what they were admitted by goes away.

mod relay_site;

use std::time::Duration;

use rstest::rstest;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;

use relay_site::Site;
use relay_site::configuration;

/// Events of a stream that lasts longer than a daemon takes to learn of a change.
const EVENTS: u64 = 300;

#[derive(Clone, Copy, Debug)]
enum Change {
    /// The entries of all engines are removed from the store; the engines go on.
    EntriesRemoved,
    EnginesDrain,
    RouteDropped,
    ServiceDropped,
    KeyRevoked,
    SettingsReloaded,
}

/// Returns a configuration whose streams can't be resumed.
fn config(version: u64) -> Value {
    let mut config = configuration(version);
    config["routes"][0]["resumable"] = json!(false);
    config
}

fn apply(site: &Site, change: Change) {
    let mut config = config(9);
    match change {
        Change::EntriesRemoved => {
            for engine in site.engines.all() {
                site.store.delete("servers", &engine.instance);
            }
            return;
        }
        Change::EnginesDrain => {
            for engine in site.engines.all() {
                engine.drain();
            }
            site.heartbeat();
            return;
        }
        Change::SettingsReloaded => {
            site.daemons[0].signal(Signal::HUP);
            return;
        }
        Change::RouteDropped => remove_first(&mut config["routes"]),
        Change::ServiceDropped => {
            remove_first(&mut config["routes"]);
            remove_first(&mut config["services"]);
        }
        Change::KeyRevoked => config["tenants"][0]["api-keys"] = json!(["another-key"]),
    }
    site.store.put("config", "main", config);
}

fn remove_first(list: &mut Value) {
    list.as_array_mut().expect("a list").remove(0);
}

/// Guards against a daemon that ends work under way, which can't be repeated, because new work of its kind would not be
/// accepted any more.
#[rstest]
#[case::entries_removed(Change::EntriesRemoved)]
#[case::engines_drain(Change::EnginesDrain)]
#[case::route_dropped(Change::RouteDropped)]
#[case::service_dropped(Change::ServiceDropped)]
#[case::key_revoked(Change::KeyRevoked)]
#[case::settings_reloaded(Change::SettingsReloaded)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_under_way_ends_by_itself(#[case] change: Change) {
    let site = Site::start(&format!("running-{change:?}"), 1).await;
    site.store.put("config", "main", config(4));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let stream = site.daemons[0].start_stream("under-way", EVENTS).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    apply(&site, change);
    let body = stream.await;
    assert_eq!(body.matches("id: ").count() as u64, EVENTS);
    assert_eq!(site.engines.runs().len(), 1);
}
