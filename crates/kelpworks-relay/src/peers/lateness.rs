//! How late messages of peers are read.
//!
//! A message states ages, which hold when it is made. It may be read much later: a daemon that stood still finds in its
//! sockets what was sent meanwhile, and a link may delay it. So each digest bears a reading of its sender's clock. The
//! clocks of two daemons differ by a constant and the time that a message is under way; what a message exceeds the
//! least such difference by, it is late.
//!
//! The clocks also count the time for which a host is suspended. They drift, so that the least difference is kept for
//! a limited time only, counted in windows that end no earlier than with the next message.
//!
//! Limits: the first message of a sender counts as not late, nor do delays that are always there.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

use super::EXCHANGE_INTERVAL;

/// Lateness up to which a message counts as on time: the facts in digests are that old anyway.
const TOLERANCE: Duration = EXCHANGE_INTERVAL;
/// Length of a window for the least difference between two clocks; the last two count.
const WINDOW: Duration = Duration::from_secs(60);

/// A reading of a daemon's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ClockReading {
    /// Random number of the process; the clocks of two processes of one name have nothing in common.
    pub(super) process: u64,
    /// Milliseconds of the host's clock, which counts the time of its suspensions.
    pub(super) ms: u64,
}

/// The clock of this daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    process: u64,
    /// Reads the clock, in milliseconds.
    read_ms: fn() -> u64,
}

impl Clock {
    /// Returns the clock of a new process that reads it with `read_ms`.
    pub(super) fn new(read_ms: fn() -> u64) -> Clock {
        Clock {
            process: rand::random(),
            read_ms,
        }
    }

    pub(super) fn read(self) -> ClockReading {
        ClockReading {
            process: self.process,
            ms: (self.read_ms)(),
        }
    }
}

/// Reads the clock of the host that counts the time of its suspensions.
pub(super) fn host_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let ms = time.tv_sec * 1_000 + time.tv_nsec / 1_000_000;
    u64::try_from(ms).unwrap_or(0)
}

/// Least differences between the clock of a peer and this daemon's own, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Differences {
    process: u64,
    /// Reading of the own clock at which the current window began.
    window_start: u64,
    current: i64,
    previous: i64,
}

impl Differences {
    fn new(process: u64, received: u64, difference: i64) -> Differences {
        Differences {
            process,
            window_start: received,
            current: difference,
            previous: difference,
        }
    }

    fn least(&self) -> i64 {
        self.current.min(self.previous)
    }
}

/// The delays of the messages of all peers.
#[derive(Clone, Debug, Default)]
pub(super) struct Lateness {
    by_name: HashMap<Arc<str>, Differences>,
}

impl Lateness {
    /// Returns for how much longer than usual a message was under way; zero within the tolerance. For a reply, `called`
    /// is the own reading at the call, which bounds the delay.
    pub(super) fn observe(
        &mut self,
        name: &Arc<str>,
        sent: ClockReading,
        received: ClockReading,
        called: Option<ClockReading>,
    ) -> Duration {
        let difference = received.ms as i64 - sent.ms as i64;
        let new = Differences::new(sent.process, received.ms, difference);
        let known = self.by_name.entry(Arc::clone(name)).or_insert(new);
        if known.process != sent.process {
            *known = new;
        }
        if received.ms.saturating_sub(known.window_start) >= WINDOW.as_millis() as u64 {
            known.previous = known.current;
            known.current = difference;
            known.window_start = received.ms;
        }
        known.current = known.current.min(difference);
        if let Some(called) = called {
            // A reply is made after its call, so that the clocks differ by at least this much.
            let bound = called.ms as i64 - sent.ms as i64;
            known.current = known.current.max(bound);
            known.previous = known.previous.max(bound);
        }
        let late = u64::try_from(difference - known.least()).unwrap_or(0);
        let late = Duration::from_millis(late);
        match late > TOLERANCE {
            true => late,
            false => Duration::ZERO,
        }
    }

    /// Forgets the peers that are not known any more.
    pub(super) fn retain(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.by_name.retain(|name, _| is_known(name));
    }
}
