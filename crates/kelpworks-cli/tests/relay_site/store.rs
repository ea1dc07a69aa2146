//! A fake of the platform's store: versioned objects, conditional writes, watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::async_trait;
use salvo::http::HeaderValue;
use salvo::http::Method;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use salvo::writing::Json;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

#[derive(Clone, Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    /// Changes: revision, kind, object, whether it was deleted.
    history: Vec<(u64, String, Value, bool)>,
    /// Raw upstream objects of another writer, which are put into every list byte for byte.
    foreign: Vec<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Notify,
    down: AtomicBool,
    /// Writes are carried out, and their replies held back for [`LOST_REPLY_DELAY`].
    drops_replies: AtomicBool,
    /// New calls are accepted and never answered; calls accepted before are.
    hanging: AtomicBool,
    /// Watches from an earlier revision than this are answered 410, since its history is dropped.
    compacted_revision: AtomicU64,
    /// Number of restores from an older copy.
    era: AtomicU64,
    /// The copy that a restore brings back.
    snapshot: Mutex<State>,
}

/// Time for which a lost reply is held back; longer than clients of the store wait.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(5);

/// A running store.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    inner: Arc<Inner>,
    pub(crate) address: SocketAddr,
}

impl Store {
    pub(crate) async fn start() -> Store {
        let inner = Arc::new(Inner::default());
        inner.state.lock().expect("no panic").revision = 100;
        let handler = Objects {
            inner: Arc::clone(&inner),
        };
        let router = Router::with_path("objects/{**rest}").goal(handler);
        let (address, _) = super::serve(router).await;
        Store { inner, address }
    }

    /// A second address of the same store, which can be taken down by itself.
    pub(crate) async fn second_address(&self) -> (SocketAddr, salvo::server::ServerHandle) {
        let handler = Objects {
            inner: Arc::clone(&self.inner),
        };
        super::serve(Router::with_path("objects/{**rest}").goal(handler)).await
    }

    /// Writes an object; an equal one is not written again and keeps its revision.
    pub(crate) fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.inner.state.lock().expect("no panic");
        state.put(kind, name, spec);
        drop(state);
        self.inner.changed.notify_waiters();
    }

    /// Writes an upstream's object as it is, including its metadata.
    pub(crate) fn put_raw_object(&self, name: &str, object: Value) {
        let mut state = self.inner.state.lock().expect("no panic");
        state.revision += 1;
        let change = (state.revision, "servers".to_owned(), object.clone(), false);
        state.history.push(change);
        let key = ("servers".to_owned(), name.to_owned());
        state.objects.remove(&key);
        state.foreign.push(object.to_string().into_bytes());
        drop(state);
        self.inner.changed.notify_waiters();
    }

    /// Adds raw bytes to the upstream objects of every list.
    pub(crate) fn put_bytes(&self, bytes: &[u8]) {
        let mut state = self.inner.state.lock().expect("no panic");
        state.foreign.push(bytes.to_vec());
    }

    pub(crate) fn delete(&self, kind: &str, name: &str) {
        let mut state = self.inner.state.lock().expect("no panic");
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = state.objects.remove(&key) {
            state.revision += 1;
            let object = object(name, state.revision, &spec);
            let change = (state.revision, kind.to_owned(), object, true);
            state.history.push(change);
        }
        drop(state);
        self.inner.changed.notify_waiters();
    }

    /// Makes writes lose their replies; the writes are still carried out.
    pub(crate) fn set_drops_replies(&self, drops: bool) {
        self.inner.drops_replies.store(drops, Ordering::Relaxed);
    }

    /// Makes the store accept calls that it never answers, not even once this is unset; calls
    /// accepted before are answered.
    pub(crate) fn set_hanging(&self, hanging: bool) {
        self.inner.hanging.store(hanging, Ordering::Relaxed);
    }

    /// Drops the history of changes; watches from an earlier revision have to list again.
    pub(crate) fn compact_history(&self) {
        let mut state = self.inner.state.lock().expect("no panic");
        state.history.clear();
        let revision = state.revision;
        drop(state);
        self.inner
            .compacted_revision
            .store(revision, Ordering::Relaxed);
    }

    /// Takes a copy of all objects, which replaces the previous copy.
    pub(crate) fn take_snapshot(&self) {
        let state = self.inner.state.lock().expect("no panic").clone();
        *self.inner.snapshot.lock().expect("no panic") = state;
    }

    /// Restores the copy and begins a new era: writes since the copy are lost, and their revisions
    /// are reused.
    pub(crate) fn restore(&self) {
        let snapshot = self.inner.snapshot.lock().expect("no panic").clone();
        let mut state = self.inner.state.lock().expect("no panic");
        self.inner.era.fetch_add(1, Ordering::SeqCst);
        *state = snapshot;
        drop(state);
        self.inner.changed.notify_waiters();
    }

    /// Makes the store answer 503 to every call, and ends waiting watches.
    pub(crate) fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::Relaxed);
        self.inner.changed.notify_waiters();
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, old)) = self.objects.get(&key)
            && *old == spec
        {
            return *revision;
        }
        self.revision += 1;
        let revision = self.revision;
        let object = object(name, revision, &spec);
        self.objects.insert(key, (revision, spec));
        self.history
            .push((revision, kind.to_owned(), object, false));
        revision
    }
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    let metadata = json!({ "name": name, "revision": revision, "created": 1 });
    json!({ "metadata": metadata, "spec": spec, "status": null })
}

struct Objects {
    inner: Arc<Inner>,
}

impl Objects {
    /// Waits for changes after a revision and returns them; `None` when the revision was never
    /// assigned.
    async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Option<Value> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.inner.changed.notified();
            let (events, revision) = {
                let state = self.inner.state.lock().expect("no panic");
                if from > state.revision {
                    return None;
                }
                let newer = state
                    .history
                    .iter()
                    .filter(|(r, k, _, _)| *r > from && k == kind);
                let event = |(_, _, object, deleted): &(u64, String, Value, bool)| json!({ "deleted": deleted, "object": object });
                (newer.map(event).collect::<Vec<Value>>(), state.revision)
            };
            let down = self.inner.down.load(Ordering::Relaxed);
            if !events.is_empty() || down || tokio::time::Instant::now() >= until {
                return Some(json!({ "events": events, "current-rev": revision }));
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    fn list(&self, kind: &str) -> Value {
        let state = self.inner.state.lock().expect("no panic");
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let entries = of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec));
        let entries: Vec<Value> = entries.collect();
        json!({ "entries": entries, "truncated": false, "current-rev": state.revision })
    }

    /// Returns a list with the raw objects of another writer before the others.
    fn with_foreign(&self, list: &Value) -> Vec<u8> {
        let state = self.inner.state.lock().expect("no panic");
        let entries = list["entries"].as_array().expect("a list").iter();
        let own = entries.map(|e| e.to_string().into_bytes());
        let all: Vec<Vec<u8>> = state.foreign.iter().cloned().chain(own).collect();
        let mut body = b"{\"entries\":[".to_vec();
        body.extend(all.join(&b","[..]));
        body.extend(format!("],\"truncated\":false,\"current-rev\":{}}}", state.revision).bytes());
        body
    }

    fn write(&self, kind: &str, name: &str, body: &Value, create: bool) -> (StatusCode, Value) {
        let mut state = self.inner.state.lock().expect("no panic");
        let key = (kind.to_owned(), name.to_owned());
        let existing = state.objects.get(&key).cloned();
        let condition = body["metadata"]["revision"].as_u64();
        match (&existing, create) {
            (None, false) => return (StatusCode::NOT_FOUND, json!({})),
            (Some((revision, spec)), true) => {
                return (StatusCode::CONFLICT, object(name, *revision, spec));
            }
            (Some((revision, spec)), false) if condition.is_some_and(|c| c != *revision) => {
                return (StatusCode::CONFLICT, object(name, *revision, spec));
            }
            _ => {}
        }
        let revision = state.put(kind, name, body["spec"].clone());
        drop(state);
        self.inner.changed.notify_waiters();
        (StatusCode::OK, object(name, revision, &body["spec"]))
    }
}

#[async_trait]
impl Handler for Objects {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if self.inner.hanging.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        if self.inner.down.load(Ordering::Relaxed) {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let path = req.uri().path().trim_start_matches("/objects/").to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((path.as_str(), ""));
        let (status, body) = match (req.method().clone(), name) {
            (Method::GET, "") => match req.query::<u64>("watch") {
                Some(from) if from < self.inner.compacted_revision.load(Ordering::Relaxed) => {
                    (StatusCode::GONE, json!({}))
                }
                Some(from) => {
                    let wait = Duration::from_millis(req.query("wait-ms").unwrap_or(0));
                    match self.watch(kind, from, wait).await {
                        Some(changes) => (StatusCode::OK, changes),
                        None => (StatusCode::GONE, json!({})),
                    }
                }
                None => (StatusCode::OK, self.list(kind)),
            },
            (Method::GET, name) => {
                let state = self.inner.state.lock().expect("no panic");
                let key = (kind.to_owned(), name.to_owned());
                match state.objects.get(&key) {
                    Some((revision, spec)) => (StatusCode::OK, object(name, *revision, spec)),
                    None => (StatusCode::NOT_FOUND, json!({})),
                }
            }
            (method, name) => {
                let body: Value = req.parse_json().await.expect("a JSON body");
                let named = body["metadata"]["name"].as_str().unwrap_or(name).to_owned();
                let written = self.write(kind, &named, &body, method == Method::POST);
                if self.inner.drops_replies.load(Ordering::Relaxed) {
                    tokio::time::sleep(LOST_REPLY_DELAY).await;
                }
                written
            }
        };
        res.status_code(status);
        let era = self.inner.era.load(Ordering::SeqCst);
        res.headers_mut()
            .insert("store-era", HeaderValue::from(era));
        let is_list = *req.method() == Method::GET && (kind, name) == ("servers", "");
        if is_list && body["entries"].is_array() {
            res.body(ResBody::Once(self.with_foreign(&body).into()));
            return;
        }
        res.render(Json(body));
    }
}
