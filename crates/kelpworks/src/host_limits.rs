//! Memory and file descriptors that a host has for a daemon, and the parts of them that others may use.
//!
//! Callers decide how many connections they open and how much they send. A daemon that holds all of it is ended by its
//! host, or finds no descriptor for a connection to an upstream. Each use therefore has a part of its own:
//!
//! | use | memory | descriptors |
//! |---|---|---|
//! | connections of callers, with the heads that are read on them | a quarter | half |
//! | bodies of requests and answers | a quarter | - |
//! | connections on which other daemons hand requests over | the rest | a sixteenth |
//! | upstreams, other daemons, the store, and the daemon itself | the rest | the rest |
//!
//! ```
//! use kelpworks::host_limits::HostLimits;
//!
//! let limits = HostLimits { memory_bytes: 260_000_000, descriptors: 4_100 };
//! assert_eq!(limits.body_bytes(), 65_000_000);
//! assert!(limits.caller_connections(16 << 10) > 1_000);
//! ```
//!
//! Limits: what a connection takes is an estimate.

use rustix::process::Resource;
use rustix::process::getrlimit;

/// Memory of a host that names none, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256_000_000;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Memory of a connection in addition to its read buffer, in bytes.
const CONNECTION_BYTES: usize = 20 << 10;
/// Part of the memory for connections of callers, and for bodies.
const MEMORY_PART: usize = 4;
/// Part of the descriptors for connections of callers.
const CALLER_PART: usize = 2;
/// Part of the descriptors for connections on which requests are handed over.
const HANDOVER_PART: usize = 16;
/// Least number of connections of any listener.
const MIN_CONNECTIONS: usize = 8;

/// What a host has for a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// File descriptors.
    pub descriptors: usize,
}

impl HostLimits {
    /// Returns the limits of a host, with defaults for those that are not configured: the descriptors that the
    /// operating system allows the process, and a memory of 256 MB.
    pub fn new(memory_bytes: Option<usize>, descriptors: Option<usize>) -> HostLimits {
        HostLimits {
            memory_bytes: memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES),
            descriptors: descriptors.unwrap_or_else(allowed_descriptors),
        }
    }

    /// Returns the memory for bodies of requests and answers, in bytes.
    pub fn body_bytes(self) -> usize {
        self.memory_bytes / MEMORY_PART
    }

    /// Returns the maximum number of connections of callers, whose request heads have up to `head_bytes` bytes.
    pub fn caller_connections(self, head_bytes: usize) -> usize {
        // A read buffer that grows to the size of a head may have grown in a copy of the former one.
        let connection_bytes = CONNECTION_BYTES + 2 * head_bytes;
        let by_memory = self.memory_bytes / MEMORY_PART / connection_bytes;
        let by_descriptors = self.socket_descriptors() / CALLER_PART;
        by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
    }

    /// Returns the maximum number of connections on which other daemons hand requests over.
    pub fn handover_connections(self) -> usize {
        let part = self.socket_descriptors() / HANDOVER_PART;
        part.max(MIN_CONNECTIONS)
    }

    fn socket_descriptors(self) -> usize {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS)
    }
}

/// Returns the number of descriptors that the operating system allows the process.
fn allowed_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |n| n as usize)
}
