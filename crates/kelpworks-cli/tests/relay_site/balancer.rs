//! A load balancer of callers' connections that may favour one daemon.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Hands the connections of callers to daemons, by their numbers.
#[derive(Debug)]
pub(crate) struct Balancer {
    /// Daemons that get connections.
    daemons: Vec<usize>,
    /// Daemons that get most new connections, each as many as the others.
    favoured: Vec<usize>,
    /// Their share of the new connections.
    share: f64,
    rng: StdRng,
}

impl Balancer {
    pub(crate) fn new(daemons: usize, seed: u64) -> Balancer {
        Balancer {
            daemons: (0..daemons).collect(),
            favoured: Vec::new(),
            share: 0.0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Hands this share of the new connections to some daemons from now on.
    pub(crate) fn favour(&mut self, daemons: &[usize], share: f64) {
        self.favoured = daemons.to_vec();
        self.share = share;
    }

    /// Hands no more connections to a daemon.
    pub(crate) fn take_out(&mut self, daemon: usize) {
        self.daemons.retain(|&d| d != daemon);
    }

    /// Spreads new connections evenly again.
    pub(crate) fn spread_evenly(&mut self) {
        self.favoured.clear();
    }

    /// Returns the daemon that gets the next new connection.
    pub(crate) fn next(&mut self) -> usize {
        let is_favoured = !self.favoured.is_empty() && self.rng.random_bool(self.share);
        match is_favoured {
            true => self.favoured[self.rng.random_range(0..self.favoured.len())],
            false => self.daemons[self.rng.random_range(0..self.daemons.len())],
        }
    }

    /// Returns the daemon that gets the connection of a retry after `daemon`: any other one.
    pub(crate) fn other_than(&mut self, daemon: usize) -> usize {
        let others: Vec<usize> = self
            .daemons
            .iter()
            .copied()
            .filter(|&d| d != daemon)
            .collect();
        others[self.rng.random_range(0..others.len())]
    }
}
