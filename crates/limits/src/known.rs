//! Addresses from which requests were served before.
//!
//! Invariant: at most twice `GENERATION` addresses are remembered.

use std::collections::HashSet;
use std::net::IpAddr;

/// Number of addresses after which those that were not seen since the last such time
/// are forgotten; several times the number of clients of a VM.
const GENERATION: usize = 1_024;

/// Set of addresses that forgets those not seen for long.
#[derive(Debug, Default)]
pub(crate) struct Known {
    recent: HashSet<IpAddr>,
    older: HashSet<IpAddr>,
}

impl Known {
    /// Remembers an address.
    pub(crate) fn insert(&mut self, address: IpAddr) {
        if self.recent.len() >= GENERATION {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(address);
    }

    pub(crate) fn contains(&self, address: IpAddr) -> bool {
        self.recent.contains(&address) || self.older.contains(&address)
    }
}
