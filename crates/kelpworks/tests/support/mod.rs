//! An in-memory object API that injects failed head writes, concurrent changes by another operator
//! and stale reads of the head.

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

/// Failure of one write of the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The write takes effect and its reply is lost.
    LostAfterEffect,
    /// As [`Fault::LostAfterEffect`], and the next [`REFUSED_HEAD_READS`] reads of the head fail as
    /// unavailable.
    LostThenUnavailable,
    /// The request is lost, so the write does not take effect; the client can't tell.
    LostBeforeEffect,
    /// No connection was established, so the client knows that nothing was written.
    NotSent,
    /// Refused by the rate limit.
    OverRate,
    /// Refused as unavailable.
    Unavailable,
}

/// A change that another operator makes concurrently.
#[derive(Clone, Debug)]
pub(crate) struct CompetingChange {
    /// Part of the configuration that the change replaces.
    pub(crate) part_kind: PartKind,
    /// New text of the part.
    pub(crate) text: String,
}

/// Number of head reads that [`Fault::LostThenUnavailable`] refuses.
const REFUSED_HEAD_READS: usize = 3;
/// Added to the generation for the nonce of a competing change, so that it differs from the nonces
/// of the operator under test.
const FIRST_COMPETING_NONCE: u64 = 1_000;

type Key = (String, String);

#[derive(Default)]
struct State {
    objects: BTreeMap<Key, Object>,
    version: u64,
    head_write_faults: VecDeque<Fault>,
    head_history: Vec<Object>,
    frozen_head_generation: Option<u64>,
    refused_head_reads: usize,
    omits_current: bool,
    before_head_write: Option<CompetingChange>,
    after_head_write: Option<CompetingChange>,
}

/// Object API over a map; only writes of the head are subject to [`Fault`]s.
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

    /// Sets the faults of the next head writes, in order. Replaces those set before.
    pub(crate) fn script_head_faults(&self, faults: Vec<Fault>) {
        self.state().head_write_faults = faults.into();
    }

    /// Returns the number of head writes and head reads that are still to fail.
    pub(crate) fn pending_faults(&self) -> usize {
        let state = self.state();
        state.head_write_faults.len() + state.refused_head_reads
    }

    /// Applies another operator's change just before the next head write.
    pub(crate) fn change_before_next_head_write(&self, competing_change: CompetingChange) {
        self.state().before_head_write = Some(competing_change);
    }

    /// Applies another operator's change just after the next head write.
    pub(crate) fn change_after_next_head_write(&self, competing_change: CompetingChange) {
        self.state().after_head_write = Some(competing_change);
    }

    /// Makes all later reads of the head return this generation; writes are still checked against
    /// the newest.
    pub(crate) fn freeze_reads_at_generation(&self, generation: u64) {
        self.state().frozen_head_generation = Some(generation);
    }

    /// Makes conflict errors omit the current object.
    pub(crate) fn omit_current_in_conflicts(&self) {
        self.state().omits_current = true;
    }

    /// Replaces the body of a blob, or removes the blob if `body` is `None`.
    pub(crate) fn replace_blob(&self, digest: Digest, body: Option<&str>) {
        let key = (BLOB_KIND.to_owned(), digest.to_string());
        let mut state = self.state();
        match body {
            Some(body) => state.objects.get_mut(&key).expect("the blob").body = body.to_owned(),
            None => drop(state.objects.remove(&key)),
        }
    }

    /// Returns the newest head, also while reads are stale.
    pub(crate) fn head(&self) -> Head {
        parse(&self.state().objects[&head_key()].body).expect("a head")
    }

    /// Returns all objects, ordered by kind and name.
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
            let current = current.filter(|_| !state.omits_current).map(Box::new);
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
            state.head_history.push(object.clone());
        }
        state.objects.insert(key, object.clone());
        Ok(object)
    }

    /// Writes the change's blob and a head with the next generation that refers to it.
    fn apply_competing_change(&self, competing_change: Option<CompetingChange>) {
        let Some(CompetingChange { part_kind, text }) = competing_change else {
            return;
        };
        let digest = digest_of(&text);
        let mut head = self.head();
        head.generation = Generation(head.generation.0 + 1);
        let part = Some(Part {
            digest,
            since: head.generation,
            nonce: Nonce(FIRST_COMPETING_NONCE + head.generation.0),
        });
        match part_kind {
            PartKind::Register => head.register = part,
            PartKind::Rules => head.rules = part,
        }
        let blob = (BLOB_KIND.to_owned(), digest.to_string());
        let _may_exist = self.write(blob, text, Condition::Absent);
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
            let fault = state.head_write_faults.pop_front();
            (
                state.before_head_write.take(),
                state.after_head_write.take(),
                fault,
            )
        };
        self.apply_competing_change(before);
        let write = || self.write(head_key(), body.clone(), condition);
        let reply = match fault {
            None => write(),
            Some(Fault::LostAfterEffect) => write().and(Err(Error::Lost)),
            Some(Fault::LostThenUnavailable) => {
                self.state().refused_head_reads = REFUSED_HEAD_READS;
                write().and(Err(Error::Lost))
            }
            Some(Fault::LostBeforeEffect) => Err(Error::Lost),
            Some(Fault::NotSent) => Err(Error::NotSent),
            Some(Fault::OverRate) => Err(Error::OverRate),
            Some(Fault::Unavailable) => Err(Error::Unavailable),
        };
        self.apply_competing_change(after);
        reply
    }
}

impl ObjectApi for MemoryApi {
    async fn get(&self, kind: &str, name: &str) -> Result<Object> {
        let key = (kind.to_owned(), name.to_owned());
        tokio::task::yield_now().await;
        let mut state = self.state();
        if key == head_key() && state.refused_head_reads > 0 {
            state.refused_head_reads -= 1;
            return Err(Error::Unavailable);
        }
        if let Some(frozen) = state.frozen_head_generation.filter(|_| key == head_key()) {
            let old = state.head_history.iter().rfind(|h| generation(h) == frozen);
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
