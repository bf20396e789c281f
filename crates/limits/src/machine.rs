//! Shares of a machine's memory and descriptors that the interfaces may use.
//!
//! Invariant: all shares together use at most a quarter of the memory and about half of
//! the descriptors, so that the rest of the process keeps the greater part.

use crate::connection::CONNECTION_BYTES;

/// Descriptors that are set aside for files.
const FILE_DESCRIPTORS: u32 = 200;
/// Sixteenths of the interfaces' memory for callers, other VMs, readiness checks and
/// metrics. Only callers send bodies of considerable size.
const MEMORY_PARTS: [u64; 4] = [12, 2, 1, 1];
/// Forty-eighths of the descriptors for the same. The remaining half is for the
/// connections to the table service, to backend servers and to other VMs.
const DESCRIPTOR_PARTS: [u32; 4] = [16, 4, 2, 2];
/// Least numbers of connections, on machines with very few descriptors.
const MIN_CONNECTIONS: [u32; 4] = [16, 8, 4, 4];
/// Least numbers of bytes: each interface can read one request of the largest size.
const MIN_BYTES: u64 = 1 << 20;

/// What the machine grants the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory at which the process is killed, in bytes.
    pub memory: u64,
    /// Number of descriptors that it may open.
    pub descriptors: u32,
}

impl Default for Machine {
    /// A small machine, for settings that state nothing: 120 MB and 1,024 descriptors.
    fn default() -> Self {
        Self {
            memory: 120 << 20,
            descriptors: 1_024,
        }
    }
}

/// What one interface may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Number of connections.
    pub connections: usize,
    /// Bytes of requests and answers, including the fixed part of each connection.
    pub bytes: usize,
}

/// What each interface may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Callers.
    pub callers: Share,
    /// Other entry VMs.
    pub peers: Share,
    /// Readiness checks of the load balancer.
    pub readiness: Share,
    /// Metrics collector.
    pub metrics: Share,
}

impl Machine {
    /// Derives the shares of the interfaces. The fixed parts of all connections use at
    /// most three quarters of an interface's bytes.
    #[must_use]
    pub fn shares(self) -> Shares {
        let memory = self.memory / 4;
        let descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let share = |i: usize| {
            let bytes = (memory / 16 * MEMORY_PARTS[i]).max(MIN_BYTES) as usize;
            let connections = (descriptors / 48 * DESCRIPTOR_PARTS[i]).max(MIN_CONNECTIONS[i]);
            Share {
                connections: (connections as usize).min(bytes / 4 * 3 / CONNECTION_BYTES),
                bytes,
            }
        };
        Shares {
            callers: share(0),
            peers: share(1),
            readiness: share(2),
            metrics: share(3),
        }
    }
}
