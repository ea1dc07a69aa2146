//! Sessions of an engine: for each attempt and layer range, the KV cache and the rows kept.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::model::KvCache;
use crate::model::Model;
use kelpworks_wire::CancelRequest;
use kelpworks_wire::LayerRange;

/// Cancelled sessions remembered, so that a late step does not run again.
const ENDED_LIMIT: usize = 65_536;

/// One session's part on this engine: an attempt over a layer range.
#[derive(Debug)]
pub(crate) struct Part {
    pub(crate) attempt: u32,
    pub(crate) layers: LayerRange,
    pub(crate) model: Arc<Model>,
    pub(crate) kv: KvCache,
    /// Positions run, from 0 on without a gap.
    pub(crate) positions: u32,
    /// Output rows of the last positions; the newest is of `positions - 1`.
    rows: VecDeque<u64>,
}

impl Part {
    pub(crate) fn new(attempt: u32, layers: LayerRange, model: Arc<Model>) -> Part {
        let kv = model.cache(layers.first..layers.end);
        Part {
            attempt,
            layers,
            model,
            kv,
            positions: 0,
            rows: VecDeque::new(),
        }
    }

    /// Runs the next position and keeps its row, and `retain` rows in all.
    pub(crate) fn advance(&mut self, row: u64, retain: usize) -> u64 {
        let out = self.model.run(&mut self.kv, row, self.positions);
        self.positions += 1;
        self.rows.push_back(out);
        while self.rows.len() > retain {
            self.rows.pop_front();
        }
        out
    }

    /// The rows of `count` positions from `first` on; absent when not all are kept.
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

/// All sessions of an engine.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    parts: HashMap<String, Vec<Part>>,
    /// KV cache in use: the sum of `positions` over all parts.
    used: u64,
    /// Highest cancelled attempt of the latest cancelled sessions.
    ended: HashMap<String, u32>,
    /// Keys of `ended`, oldest first.
    ended_order: VecDeque<String>,
}

impl Sessions {
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    pub(crate) fn take_kv(&mut self, positions: u32) {
        self.used += u64::from(positions);
    }

    /// Whether this attempt was cancelled.
    pub(crate) fn ended(&self, session: &str, attempt: u32) -> bool {
        self.ended.get(session).is_some_and(|a| attempt <= *a)
    }

    /// The parts of an attempt, over all layer ranges.
    pub(crate) fn attempt(&self, session: &str, attempt: u32) -> impl Iterator<Item = &Part> {
        let parts = self.parts.get(session).map_or(&[][..], Vec::as_slice);
        parts.iter().filter(move |p| p.attempt == attempt)
    }

    /// The part of an attempt over exactly these layers.
    pub(crate) fn part_mut(
        &mut self,
        session: &str,
        attempt: u32,
        layers: &LayerRange,
    ) -> Option<&mut Part> {
        let parts = self.parts.get_mut(session)?;
        parts
            .iter_mut()
            .find(|p| p.attempt == attempt && p.layers == *layers)
    }

    pub(crate) fn insert(&mut self, session: &str, part: Part) {
        self.used += u64::from(part.positions);
        match self.parts.get_mut(session) {
            Some(parts) => parts.push(part),
            None => {
                self.parts.insert(session.to_owned(), vec![part]);
            }
        }
    }

    /// Ends all attempts of a session up to the one given.
    pub(crate) fn cancel(&mut self, req: &CancelRequest) {
        if let Some(parts) = self.parts.get_mut(&req.session) {
            let ended = parts.extract_if(.., |p| p.attempt <= req.attempt);
            self.used -= ended.map(|p| u64::from(p.positions)).sum::<u64>();
            if parts.is_empty() {
                self.parts.remove(&req.session);
            }
        }
        let ended = self.ended.entry(req.session.clone()).or_insert_with(|| {
            self.ended_order.push_back(req.session.clone());
            req.attempt
        });
        *ended = req.attempt.max(*ended);
        while self.ended_order.len() > ENDED_LIMIT {
            if let Some(oldest) = self.ended_order.pop_front() {
                self.ended.remove(&oldest);
            }
        }
    }

    /// Drops the parts for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Part) -> bool) {
        self.parts.retain(|_, parts| {
            let dropped = parts.extract_if(.., |p| !keep(p));
            self.used -= dropped.map(|p| u64::from(p.positions)).sum::<u64>();
            !parts.is_empty()
        });
    }

    /// The rows that a handle names; see [`handle`].
    pub(crate) fn rows(&self, handle: &str, count: u32) -> Option<Vec<u64>> {
        let mut fields = handle.rsplitn(4, '/');
        let position = fields.next()?.parse().ok()?;
        let first: u32 = fields.next()?.parse().ok()?;
        let attempt = fields.next()?.parse().ok()?;
        let session = fields.next()?;
        let part = self
            .attempt(session, attempt)
            .find(|p| p.layers.first == first)?;
        part.rows(position, count)
    }

    pub(crate) fn len(&self) -> usize {
        self.parts.len()
    }
}

/// Names the rows of an attempt from a position on.
pub(crate) fn handle(session: &str, attempt: u32, layers: &LayerRange, position: u32) -> String {
    format!("{session}/{attempt}/{}/{position}", layers.first)
}
