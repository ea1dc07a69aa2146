//! Which connections a listener admits, and what they may take.

use std::time::Duration;

use salvo::fuse::FuseConfig;

/// Head timeout of connections for which no other is configured.
pub(crate) const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest request head on connections of other daemons, load balancers and operators, in bytes.
const INTERNAL_HEAD_BYTES: usize = 64 << 10;

/// Decides which new connections are served, and how long they may wait for a request.
pub(crate) trait ConnectionGate: Send + Sync + 'static {
    /// Counts as a request under way until dropped.
    type Unread: Send + 'static;

    /// Admits a connection, unless the daemon takes on no more now.
    fn admit(&self) -> Option<Self::Unread>;

    /// Returns what the listener's connections may take, as of now.
    fn bounds(&self) -> ConnectionBounds;
}

/// What the connections of a listener may take. Those of a connection apply from its acceptance to its end, but for the
/// size of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionBounds {
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
    /// Maximum size of a request head, in bytes. A longer one gets 431.
    pub(crate) head_bytes: usize,
    /// Maximum time from the moment a connection becomes idle until the next request head is complete.
    pub(crate) request_timeout: Duration,
    /// Maximum time from the first byte of a request head to its last.
    pub(crate) head_timeout: Duration,
    /// Maximum time for which the other side takes nothing of what is written.
    pub(crate) write_timeout: Duration,
}

impl ConnectionBounds {
    /// Returns the bounds of this number of connections without a limit of their own on heads.
    pub(crate) fn internal(max_connections: usize) -> ConnectionBounds {
        ConnectionBounds {
            max_connections,
            head_bytes: INTERNAL_HEAD_BYTES,
            request_timeout: DEFAULT_HEAD_TIMEOUT,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            write_timeout: DEFAULT_HEAD_TIMEOUT,
        }
    }

    pub(super) fn write_timeouts(&self) -> FuseConfig {
        FuseConfig::disabled().with_write_stall_timeout(self.write_timeout)
    }
}

/// Admits connections up to a number, whatever the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MaxConnections(pub(crate) usize);

impl ConnectionGate for MaxConnections {
    type Unread = ();

    fn admit(&self) -> Option<()> {
        Some(())
    }

    fn bounds(&self) -> ConnectionBounds {
        ConnectionBounds::internal(self.0)
    }
}
