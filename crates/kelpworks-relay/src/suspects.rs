//! Engines on the paths of late streams, whose slowness is to be queried.

use std::collections::HashSet;

use crate::fleet::UpstreamKey;

/// Engines on the paths of late streams.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    keys: HashSet<UpstreamKey>,
}

impl Suspects {
    /// Adds the engines of a path.
    pub fn suspect(&mut self, keys: impl Iterator<Item = UpstreamKey>) {
        self.keys.extend(keys);
    }

    /// Removes and returns all of them.
    pub(crate) fn take(&mut self) -> Vec<UpstreamKey> {
        self.keys.drain().collect()
    }
}
