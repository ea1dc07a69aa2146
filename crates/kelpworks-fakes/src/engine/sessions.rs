//! Sessions of an engine: the KV cache and retained rows of each attempt and layer range.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::model::KvCache;
use crate::model::Model;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::LayerRange;

/// Cancelled sessions remembered so that a late step of them is refused.
const MAX_CANCELLED_SESSIONS: usize = 65_536;

/// State of one attempt of a session over one layer range.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) attempt: u32,
    pub(crate) layers: LayerRange,
    pub(crate) model: Arc<Model>,
    pub(crate) kv: KvCache,
    /// Number of positions run: 0 to `positions - 1`, without a gap.
    pub(crate) positions: u32,
    /// Output rows of the latest positions; the last is of position `positions - 1`.
    rows: VecDeque<u64>,
}

impl Shard {
    pub(crate) fn new(attempt: u32, layers: LayerRange, model: Arc<Model>) -> Shard {
        let kv = model.cache(layers.first..layers.end);
        Shard {
            attempt,
            layers,
            model,
            kv,
            positions: 0,
            rows: VecDeque::new(),
        }
    }

    /// Runs the next position and returns its output row; keeps the last `retained_rows`.
    pub(crate) fn advance(&mut self, row: u64, retained_rows: usize) -> u64 {
        let out = self.model.run(&mut self.kv, row, self.positions);
        self.positions += 1;
        self.rows.push_back(out);
        while self.rows.len() > retained_rows {
            self.rows.pop_front();
        }
        out
    }

    /// Returns the rows of `count` positions from `first` on; `None` unless all are retained.
    fn rows(&self, first: u32, count: u32) -> Option<Vec<u64>> {
        let oldest = self.positions - self.rows.len() as u32;
        let start = first.checked_sub(oldest)? as usize;
        let end = start.checked_add(count as usize)?;
        if end > self.rows.len() {
            return None;
        }
        Some(self.rows.range(start..end).copied().collect())
    }
}

/// All sessions of an engine, and the latest cancellations.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    shards: HashMap<String, Vec<Shard>>,
    /// KV cache in use, in positions: the sum over all shards.
    kv_used: u64,
    /// Highest cancelled attempt of each of the latest cancelled sessions.
    cancelled: HashMap<String, u32>,
    /// Keys of `cancelled`, oldest first.
    cancelled_order: VecDeque<String>,
}

impl Sessions {
    pub(crate) fn kv_used(&self) -> u64 {
        self.kv_used
    }

    pub(crate) fn add_kv_used(&mut self, positions: u32) {
        self.kv_used += u64::from(positions);
    }

    /// Returns whether this attempt or a later one of the session was cancelled.
    pub(crate) fn is_cancelled(&self, session: &str, attempt: u32) -> bool {
        self.cancelled.get(session).is_some_and(|a| attempt <= *a)
    }

    /// Returns the shards of an attempt, one for each layer range.
    pub(crate) fn attempt(&self, session: &str, attempt: u32) -> impl Iterator<Item = &Shard> {
        let shards = self.shards.get(session).map_or(&[][..], Vec::as_slice);
        shards.iter().filter(move |p| p.attempt == attempt)
    }

    /// Returns the shard of an attempt over exactly these layers.
    pub(crate) fn shard_mut(
        &mut self,
        session: &str,
        attempt: u32,
        layers: &LayerRange,
    ) -> Option<&mut Shard> {
        let shards = self.shards.get_mut(session)?;
        shards
            .iter_mut()
            .find(|p| p.attempt == attempt && p.layers == *layers)
    }

    pub(crate) fn insert(&mut self, session: &str, shard: Shard) {
        self.kv_used += u64::from(shard.positions);
        match self.shards.get_mut(session) {
            Some(shards) => shards.push(shard),
            None => {
                self.shards.insert(session.to_owned(), vec![shard]);
            }
        }
    }

    /// Cancels all attempts of a session up to the one given and frees their KV cache.
    pub(crate) fn cancel(&mut self, req: &CancelRequest) {
        if let Some(shards) = self.shards.get_mut(&req.session) {
            let removed = shards.extract_if(.., |p| p.attempt <= req.attempt);
            self.kv_used -= removed.map(|p| u64::from(p.positions)).sum::<u64>();
            if shards.is_empty() {
                self.shards.remove(&req.session);
            }
        }
        let highest = self
            .cancelled
            .entry(req.session.clone())
            .or_insert_with(|| {
                self.cancelled_order.push_back(req.session.clone());
                req.attempt
            });
        *highest = req.attempt.max(*highest);
        while self.cancelled_order.len() > MAX_CANCELLED_SESSIONS {
            if let Some(oldest) = self.cancelled_order.pop_front() {
                self.cancelled.remove(&oldest);
            }
        }
    }

    /// Removes the shards for which `keep` returns false and frees their KV cache.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Shard) -> bool) {
        self.shards.retain(|_, shards| {
            let dropped = shards.extract_if(.., |p| !keep(p));
            self.kv_used -= dropped.map(|p| u64::from(p.positions)).sum::<u64>();
            !shards.is_empty()
        });
    }

    /// Returns the rows that a [`handle`] names; `None` if it is malformed or they aren't retained.
    pub(crate) fn rows(&self, handle: &str, count: u32) -> Option<Vec<u64>> {
        let mut fields = handle.rsplitn(4, '/');
        let position = fields.next()?.parse().ok()?;
        let first: u32 = fields.next()?.parse().ok()?;
        let attempt = fields.next()?.parse().ok()?;
        let session = fields.next()?;
        let shard = self
            .attempt(session, attempt)
            .find(|p| p.layers.first == first)?;
        shard.rows(position, count)
    }

    pub(crate) fn len(&self) -> usize {
        self.shards.len()
    }
}

/// Returns the handle of an attempt's rows over `layers` from `position` on.
pub(crate) fn handle(session: &str, attempt: u32, layers: &LayerRange, position: u32) -> String {
    format!("{session}/{attempt}/{}/{position}", layers.first)
}
