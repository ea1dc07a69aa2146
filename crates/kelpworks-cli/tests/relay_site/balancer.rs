//! A load balancer of callers' connections that may favour one daemon.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Hands the connections of callers to daemons, by their numbers.
#[derive(Debug)]
pub(crate) struct Balancer {
    daemons: usize,
    /// Daemon that gets most new connections, and its share of them.
    favoured: Option<(usize, f64)>,
    rng: StdRng,
}

impl Balancer {
    pub(crate) fn new(daemons: usize, seed: u64) -> Balancer {
        Balancer {
            daemons,
            favoured: None,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Hands this share of the new connections to one daemon from now on.
    pub(crate) fn favour(&mut self, daemon: usize, share: f64) {
        self.favoured = Some((daemon, share));
    }

    /// Spreads new connections evenly again.
    pub(crate) fn spread_evenly(&mut self) {
        self.favoured = None;
    }

    /// Returns the daemon that gets the next new connection.
    pub(crate) fn next(&mut self) -> usize {
        match self.favoured {
            Some((daemon, share)) if self.rng.random_bool(share) => daemon,
            _ => self.rng.random_range(0..self.daemons),
        }
    }

    /// Returns the daemon that gets the connection of a retry after `daemon`: any other one.
    pub(crate) fn other_than(&mut self, daemon: usize) -> usize {
        let step = self.rng.random_range(1..self.daemons);
        (daemon + step) % self.daemons
    }
}
