//! Which connections a listener admits, and what they may take.

use std::time::Duration;

use salvo::fuse::FuseConfig;

/// Head timeout of connections for which no other is configured.
pub const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest request head on connections of other daemons, load balancers and operators, in bytes.
const INTERNAL_HEAD_BYTES: usize = 64 << 10;

/// Decides which new connections are served, and how long they may wait for a request.
pub trait ConnectionGate: Send + Sync + 'static {
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
pub struct ConnectionBounds {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of a request head, in bytes. A longer one gets 431.
    pub head_bytes: usize,
    /// Maximum time from the moment a connection becomes idle until the next request head is complete.
    pub request_timeout: Duration,
    /// Maximum time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// Maximum time for which the other side takes nothing of what is written.
    pub write_timeout: Duration,
}

impl ConnectionBounds {
    /// Returns the bounds of this number of connections of the operators' own systems.
    pub fn internal(max_connections: usize) -> ConnectionBounds {
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

/// Admits connections up to their maximum number, whatever the load.
impl ConnectionGate for ConnectionBounds {
    type Unread = ();

    fn admit(&self) -> Option<()> {
        Some(())
    }

    fn bounds(&self) -> ConnectionBounds {
        *self
    }
}
