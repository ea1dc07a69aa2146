//! The objects, and the changes retained for watches.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use kelpworks_wire::Object;
use kelpworks_wire::WatchEvent;
use kelpworks_wire::WatchEventKind;

/// An object's current version, and the previous one for stale reads.
#[derive(Clone, Debug, Default)]
struct Slot {
    current: Option<Object>,
    previous: Option<Object>,
}

/// All objects and the latest changes.
#[derive(Clone, Debug)]
pub(super) struct Store {
    /// Increases by one with each change.
    version: u64,
    /// Slots by kind, then name.
    kinds: BTreeMap<String, BTreeMap<String, Slot>>,
    /// The latest changes, in order of version.
    events: VecDeque<WatchEvent>,
    history: usize,
}

impl Store {
    pub(super) fn new(history: usize) -> Store {
        Store {
            version: 0,
            kinds: BTreeMap::new(),
            events: VecDeque::new(),
            history,
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.slot(kind, name)?.current.as_ref()
    }

    /// Returns the version before the current one.
    pub(super) fn get_stale(&self, kind: &str, name: &str) -> Option<&Object> {
        self.slot(kind, name)?.previous.as_ref()
    }

    fn slot(&self, kind: &str, name: &str) -> Option<&Slot> {
        self.kinds.get(kind)?.get(name)
    }

    pub(super) fn list(&self, kind: &str) -> Vec<Object> {
        let slots = self.kinds.get(kind).into_iter().flatten();
        slots.filter_map(|(_, s)| s.current.clone()).collect()
    }

    pub(super) fn put(&mut self, kind: &str, name: &str, body: String) -> Object {
        self.version += 1;
        let object = Object {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: self.version,
            body,
        };
        let slot = self.slot_mut(kind, name);
        slot.previous = slot.current.replace(object.clone());
        self.record(WatchEventKind::Put, object.clone());
        object
    }

    /// Deletes an object; returns false when there is none.
    pub(super) fn delete(&mut self, kind: &str, name: &str) -> bool {
        let slot = self.slot_mut(kind, name);
        let Some(mut object) = slot.current.take() else {
            return false;
        };
        slot.previous = Some(object.clone());
        self.version += 1;
        object.version = self.version;
        self.record(WatchEventKind::Delete, object);
        true
    }

    fn slot_mut(&mut self, kind: &str, name: &str) -> &mut Slot {
        let slots = self.kinds.entry(kind.to_owned()).or_default();
        slots.entry(name.to_owned()).or_default()
    }

    fn record(&mut self, kind: WatchEventKind, object: Object) {
        self.events.push_back(WatchEvent { kind, object });
        if self.events.len() > self.history {
            self.events.pop_front();
        }
    }

    /// Returns the changes of a kind after `version`; `None` when some are no longer retained, or
    /// when `version` is above the store's own, as after a restore of an older copy.
    pub(super) fn events_after(&self, kind: &str, version: u64) -> Option<Vec<WatchEvent>> {
        let oldest = self.version - self.events.len() as u64;
        if version < oldest || version > self.version {
            return None;
        }
        let later = self.events.iter().filter(|e| e.object.version > version);
        Some(later.filter(|e| e.object.kind == kind).cloned().collect())
    }
}
