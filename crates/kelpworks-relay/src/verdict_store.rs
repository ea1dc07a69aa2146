//! Record of crashes in the store, which outlasts all daemons.
//!
//! Hosts have no disks, and daemons learn of crashes from each other. When all are lost at once, a request that crashes
//! upstreams would crash as many again. One daemon, drawn by a hash from those that are live, therefore keeps the facts
//! that hold requests back in one object of the store, and each daemon reads it when it starts.
//!
//! Times in the record are ages, so no clock has to be the same before and after: a refusal begins anew with the read.
//!
//! Limits: what is learned within [`MIN_WRITE_INTERVAL`] and the time of a call before the loss is not kept. While the
//! store is away nothing is kept, and a daemon that starts admits requests after a bounded wait. A store that comes back
//! from an older copy has the record of that time until the next change of the facts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kelpworks::clients::object_api::Condition;
use kelpworks::clients::object_api::Error;
use kelpworks::clients::object_api::Object;
use kelpworks::clients::object_api::ObjectApi;
use kelpworks::clients::object_api::Result;
use kelpworks_coord::crash_ledger::Crash;
use kelpworks_coord::crash_ledger::PartCrash;
use kelpworks_coord::id::UpstreamId;
use kelpworks_coord::id::Version;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::peers::Peers;
use crate::shared::Shared;

/// Object of the record.
const KIND: &str = "kelpworks.crashes";
const NAME: &str = "verdicts";
/// Maximum number of facts of each kind in the record, some 30 kB.
const MAX_FACTS: usize = 256;
/// Time between two checks whether the record is to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two writes that add facts.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time before a write that only takes facts out.
const MIN_REMOVAL_INTERVAL: Duration = Duration::from_secs(10);
/// Backoff after a failed call, doubled up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Facts that hold requests back, as they are stored.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
struct Record {
    #[serde(default)]
    requests: Vec<Crash>,
    #[serde(default)]
    parts: Vec<PartCrash>,
}

impl Record {
    fn of(shared: &Shared) -> Record {
        let ledger = shared.crashes();
        let now = shared.ledger_time(Instant::now());
        Record {
            requests: ledger.facts_to_keep(MAX_FACTS, now),
            parts: ledger.part_facts_to_keep(MAX_FACTS, now),
        }
    }

    fn keys(&self) -> Keys {
        let requests = self.requests.iter();
        let parts = self.parts.iter();
        Keys {
            requests: requests.map(|c| (c.fingerprint.0, c.upstream)).collect(),
            parts: parts.map(|c| (c.part.0, c.upstream)).collect(),
        }
    }
}

/// Which facts a record has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Keys {
    requests: BTreeSet<(u64, UpstreamId)>,
    parts: BTreeSet<(u64, UpstreamId)>,
}

impl Keys {
    fn includes(&self, other: &Keys) -> bool {
        self.requests.is_superset(&other.requests) && self.parts.is_superset(&other.parts)
    }
}

/// What the store is known to have.
#[derive(Clone, Debug)]
struct Stored {
    keys: Keys,
    /// Condition of the next write.
    condition: Condition,
}

/// Reads and keeps the record.
#[derive(Debug)]
pub(crate) struct VerdictStore<A> {
    pub(crate) api: Arc<A>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) peers: Arc<Peers>,
}

impl<A: ObjectApi> VerdictStore<A> {
    /// Reads the record and keeps it until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.keep() => {}
        }
    }

    async fn keep(&self) {
        let mut stored = self.read_until_answered().await;
        self.shared.set_verdicts_known();
        let mut written = Instant::now();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if !self.peers.keeps_verdicts() {
                continue;
            }
            let record = Record::of(&self.shared);
            let keys = record.keys();
            let interval = match stored.keys.includes(&keys) {
                true if stored.keys == keys => continue,
                true => MIN_REMOVAL_INTERVAL,
                false => MIN_WRITE_INTERVAL,
            };
            if written.elapsed() < interval {
                continue;
            }
            match self.write(&record, keys, &stored).await {
                Ok(now_stored) => {
                    stored = now_stored;
                    backoff = INITIAL_BACKOFF;
                }
                Err(e) => {
                    warn!(target: "decision", error:% = e; "record of crashes not written");
                    tokio::time::sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    stored = self.read().await.unwrap_or(stored);
                }
            }
            written = Instant::now();
        }
    }

    async fn read_until_answered(&self) -> Stored {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            match self.read().await {
                Ok(stored) => return stored,
                Err(e) => {
                    warn!(target: "decision", error:% = e; "record of crashes not read");
                    tokio::time::sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    async fn read(&self) -> Result<Stored> {
        match self.api.get(KIND, NAME).await {
            Ok(object) => Ok(self.learn(&object)),
            Err(Error::NotFound) => Ok(Stored {
                keys: Keys::default(),
                condition: Condition::Absent,
            }),
            Err(e) => Err(e),
        }
    }

    /// Learns the facts of a record. One that can't be read is replaced with the next write.
    fn learn(&self, object: &Object) -> Stored {
        let record: Record = serde_json::from_str(&object.body).unwrap_or_else(|e| {
            warn!(target: "decision", error:% = e; "record of crashes can't be read");
            Record::default()
        });
        let keys = record.keys();
        let Record {
            mut requests,
            mut parts,
        } = record;
        requests.truncate(MAX_FACTS);
        parts.truncate(MAX_FACTS);
        info!(
            target: "decision",
            version:% = object.version,
            requests = requests.len(),
            parts = parts.len();
            "record of crashes read"
        );
        self.shared.learn_crashes(requests, "the store");
        self.shared.learn_part_crashes(parts, "the store");
        Stored {
            keys,
            condition: Condition::at(object.version),
        }
    }

    async fn write(&self, record: &Record, keys: Keys, stored: &Stored) -> Result<Stored> {
        let body = serde_json::to_string(record).map_err(|_| Error::TooLarge)?;
        let bytes = body.len();
        let written = match self.api.put(KIND, NAME, body, stored.condition).await {
            Ok(object) => object,
            Err(Error::Conflict {
                current: Some(current),
            }) => return Ok(self.learn(&current)),
            Err(e) => return Err(e),
        };
        let version: Version = written.version;
        info!(
            target: "decision",
            version:% = version,
            requests = record.requests.len(),
            parts = record.parts.len(),
            bytes;
            "record of crashes written"
        );
        metrics::counter!("kelpworks_crash_records_written_total").increment(1);
        Ok(Stored {
            keys,
            condition: Condition::at(version),
        })
    }
}
