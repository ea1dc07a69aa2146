//! An object API in memory, with faults of head writes, rivals and reads out of date.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use kelpworks::clients::era::Eras;
use kelpworks::clients::object_api::Condition;
use kelpworks::clients::object_api::Error;
use kelpworks::clients::object_api::Object;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::clients::object_api::ObjectList;
use kelpworks::clients::object_api::Result;
use kelpworks::clients::object_api::WatchReply;
use kelpworks::config::accept::PartKind;
use kelpworks::config::head::BLOB_KIND;
use kelpworks::config::head::HEAD_KIND;
use kelpworks::config::head::HEAD_NAME;
use kelpworks::config::head::Head;
use kelpworks::config::head::digest_of;
use kelpworks::config::head::parse;
use kelpworks::config::head::to_body;
use kelpworks_coord::head::Generation;
use kelpworks_coord::head::Part;
use kelpworks_coord::id::Digest;
use kelpworks_coord::id::Nonce;
use kelpworks_coord::id::Version;

/// What befalls one write of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It takes effect and its reply is lost.
    LostAfterEffect,
    /// As [`Fault::LostAfterEffect`], and some reads of the head after it are refused.
    LostThenOut,
    /// It is lost on its way.
    LostBeforeEffect,
    /// No connection.
    NotSent,
    /// Refused for its rate.
    OverRate,
    /// Refused in an outage.
    Unavailable,
}

/// Another operator's change.
#[derive(Clone, Debug)]
pub(crate) struct Rival {
    /// The part that it changes.
    pub(crate) which: PartKind,
    /// The new text.
    pub(crate) text: String,
}

/// Reads of the head that [`Fault::LostThenOut`] refuses.
const REFUSED_READS: usize = 3;
/// Nonces of rivals start here.
const RIVAL: u64 = 1_000;

type Key = (String, String);

#[derive(Default)]
struct State {
    objects: BTreeMap<Key, Object>,
    version: u64,
    faults: VecDeque<Fault>,
    heads: Vec<Object>,
    frozen: Option<u64>,
    refused_reads: usize,
    hides_current: bool,
    before: Option<Rival>,
    after: Option<Rival>,
}

/// The object API in memory.
#[derive(Default)]
pub(crate) struct MemoryApi {
    state: Mutex<State>,
    eras: Eras,
}

fn head_key() -> Key {
    (HEAD_KIND.to_owned(), HEAD_NAME.to_owned())
}

fn generation(object: &Object) -> u64 {
    parse(&object.body).expect("a head").generation.0
}

impl MemoryApi {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    /// Faults of the next writes of the head, in order.
    pub(crate) fn script(&self, faults: Vec<Fault>) {
        self.state().faults = faults.into();
    }

    /// Faults that have not struck yet.
    pub(crate) fn faults_left(&self) -> usize {
        let state = self.state();
        state.faults.len() + state.refused_reads
    }

    /// Another operator is accepted just before the next write of the head.
    pub(crate) fn rival_at_next_swap(&self, rival: Rival) {
        self.state().before = Some(rival);
    }

    /// Another operator is accepted just after the next write of the head.
    pub(crate) fn rival_after_next_swap(&self, rival: Rival) {
        self.state().after = Some(rival);
    }

    /// Reads of the head answer this generation from now on; writes see the newest.
    pub(crate) fn freeze_reads_at_generation(&self, generation: u64) {
        self.state().frozen = Some(generation);
    }

    /// Conflicts no longer show the object that stood in the way.
    pub(crate) fn hide_current(&self) {
        self.state().hides_current = true;
    }

    /// Replaces the body of a blob, or removes it.
    pub(crate) fn replace_blob(&self, digest: Digest, body: Option<&str>) {
        let key = (BLOB_KIND.to_owned(), digest.to_string());
        let mut state = self.state();
        match body {
            Some(body) => state.objects.get_mut(&key).expect("the blob").body = body.to_owned(),
            None => drop(state.objects.remove(&key)),
        }
    }

    /// The head in force.
    pub(crate) fn head(&self) -> Head {
        parse(&self.state().objects[&head_key()].body).expect("a head")
    }

    /// All objects.
    pub(crate) fn objects(&self) -> Vec<Object> {
        self.state().objects.values().cloned().collect()
    }

    fn write(&self, key: Key, body: String, condition: Condition) -> Result<Object> {
        let mut state = self.state();
        let current = state.objects.get(&key).cloned();
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => current.is_none(),
            Condition::Version(v) => current.as_ref().is_some_and(|c| c.version == v),
        };
        if !holds {
            let current = current.filter(|_| !state.hides_current).map(Box::new);
            return Err(Error::Conflict { current });
        }
        state.version += 1;
        let object = Object {
            kind: key.0.clone(),
            name: key.1.clone(),
            version: Version::initial(state.version),
            body,
        };
        if key == head_key() {
            state.heads.push(object.clone());
        }
        state.objects.insert(key, object.clone());
        Ok(object)
    }

    /// Accepts the rival's text as one more generation.
    fn admit(&self, rival: Option<Rival>) {
        let Some(Rival { which, text }) = rival else {
            return;
        };
        let digest = digest_of(&text);
        let mut head = self.head();
        head.generation = Generation(head.generation.0 + 1);
        let part = Some(Part {
            digest,
            since: head.generation,
            nonce: Nonce(RIVAL + head.generation.0),
        });
        match which {
            PartKind::Register => head.register = part,
            PartKind::Rules => head.rules = part,
        }
        let blob = (BLOB_KIND.to_owned(), digest.to_string());
        let _there_already = self.write(blob, text, Condition::Absent);
        let written = self.write(
            head_key(),
            to_body(&head).expect("a body"),
            Condition::Always,
        );
        written.expect("an unconditional write");
    }

    fn write_head(&self, body: String, condition: Condition) -> Result<Object> {
        let (before, after, fault) = {
            let mut state = self.state();
            let fault = state.faults.pop_front();
            (state.before.take(), state.after.take(), fault)
        };
        self.admit(before);
        let write = || self.write(head_key(), body.clone(), condition);
        let reply = match fault {
            None => write(),
            Some(Fault::LostAfterEffect) => write().and(Err(Error::Lost)),
            Some(Fault::LostThenOut) => {
                self.state().refused_reads = REFUSED_READS;
                write().and(Err(Error::Lost))
            }
            Some(Fault::LostBeforeEffect) => Err(Error::Lost),
            Some(Fault::NotSent) => Err(Error::NotSent),
            Some(Fault::OverRate) => Err(Error::OverRate),
            Some(Fault::Unavailable) => Err(Error::Unavailable),
        };
        self.admit(after);
        reply
    }
}

impl ObjectApi for MemoryApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Object> {
        let key = (kind.to_owned(), name.to_owned());
        tokio::task::yield_now().await;
        let mut state = self.state();
        if key == head_key() && state.refused_reads > 0 {
            state.refused_reads -= 1;
            return Err(Error::Unavailable);
        }
        if let Some(frozen) = state.frozen.filter(|_| key == head_key()) {
            let old = state.heads.iter().rfind(|h| generation(h) == frozen);
            return old.cloned().ok_or(Error::NotFound);
        }
        state.objects.get(&key).cloned().ok_or(Error::NotFound)
    }

    async fn put(
        &self,
        kind: &str,
        name: &str,
        body: String,
        condition: Condition,
    ) -> Result<Object> {
        let key = (kind.to_owned(), name.to_owned());
        tokio::task::yield_now().await;
        match key == head_key() {
            true => self.write_head(body, condition),
            false => self.write(key, body, condition),
        }
    }

    async fn delete(&self, _kind: &str, _name: &str, _condition: Condition) -> Result<()> {
        unimplemented!("acceptance deletes nothing")
    }

    async fn list(&self, _kind: &str) -> Result<ObjectList> {
        unimplemented!("acceptance lists nothing")
    }

    async fn watch(&self, _kind: &str, _from: Version, _wait: Duration) -> Result<WatchReply> {
        unimplemented!("acceptance watches nothing")
    }

    fn eras(&self) -> &Eras {
        &self.eras
    }

    fn reset_connections(&self) {}
}
