//! Identity and timing of a node.
//!
//! Invariant: `Timing::verify` holds for every running node; the safety of
//! takeover rests on the order of these times.

use std::time::Duration;

use model::{Config, Name};

/// Who this node is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of this entry VM.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
}

/// Periods and bounds.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Period of signs of life to peers of the same data centre.
    pub beat: Duration,
    /// Period of signs of life to all other peers.
    pub beat_far: Duration,
    /// Silence after which a peer counts as dead.
    pub peer_silent: Duration,
    /// Period of configuration and ownership reads.
    pub poll: Duration,
    /// Age up to which a configuration may be used to accept a key.
    pub key_fresh: Duration,
    /// Longest time for which a worker holds the answer to a watching call.
    pub sync: Duration,
    /// Time after which a worker ends tasks that were not renewed.
    pub task_lease: Duration,
    /// Time for which an owner may act after its last confirmation.
    pub owner_lease: Duration,
    /// Allowance for clock rates and delays in all lease arithmetic.
    pub margin: Duration,
    /// Period of VM list reads.
    pub vm_list: Duration,
    /// Age up to which the VM list or a worker's report may vouch that the
    /// worker is not leaving.
    pub in_service_max_age: Duration,
    /// Time allowed for one store call.
    pub store_timeout: Duration,
    /// Time for which a finished job stays known.
    pub retention: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            beat: Duration::from_millis(500),
            beat_far: Duration::from_millis(1_000),
            peer_silent: Duration::from_millis(3_000),
            poll: Duration::from_millis(1_000),
            key_fresh: Duration::from_millis(4_000),
            sync: Duration::from_millis(4_000),
            task_lease: Duration::from_secs(20),
            owner_lease: Duration::from_secs(4),
            margin: Duration::from_secs(1),
            vm_list: Duration::from_secs(2),
            in_service_max_age: Duration::from_millis(4_500),
            store_timeout: Duration::from_secs(2),
            retention: Duration::from_secs(900),
        }
    }
}

/// Why timing settings can't be used together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimingError {
    /// Peers would be declared dead between two signs of life.
    #[error("peer_silent must be at least three times beat_far")]
    PeerSilent,
    /// A withdrawn key would work for longer than 5 s.
    #[error("key_fresh must be at least twice poll and at most 4.5 s")]
    KeyFresh,
    /// Tasks would lapse between two calls.
    #[error("task_lease must be at least four times sync")]
    TaskLease,
    /// An owner would stop between two confirmations.
    #[error("owner_lease must be at least 3 s and three times poll")]
    OwnerLease,
}

impl Timing {
    /// Checks that the times fit together.
    ///
    /// # Errors
    /// Returns the first clash.
    pub fn verify(&self) -> Result<(), TimingError> {
        let max_fresh = Duration::from_millis(4_500);
        match self {
            t if t.peer_silent < t.beat_far * 3 => Err(TimingError::PeerSilent),
            t if t.key_fresh < t.poll * 2 || t.key_fresh > max_fresh => Err(TimingError::KeyFresh),
            t if t.task_lease < t.sync * 4 => Err(TimingError::TaskLease),
            t if t.owner_lease < (t.poll * 3).max(Duration::from_secs(3)) => {
                Err(TimingError::OwnerLease)
            }
            _ => Ok(()),
        }
    }

    /// Time after the last renewal that was sent at which a task has ended on
    /// every clock.
    pub(crate) fn max_task_lapse(&self) -> Duration {
        self.task_lease + self.task_lease / 20 + self.margin
    }
}

/// Everything a node is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who this node is.
    pub identity: Identity,
    /// The other entry VMs, with their data centres.
    pub peers: Vec<Identity>,
    /// All data centres.
    pub data_centres: Vec<Name>,
    /// Timing.
    pub timing: Timing,
    /// Store calls that write, per second, for this node.
    pub store_writes_per_second: u32,
    /// Configuration to create when the store has none.
    pub initial: Option<Config>,
}
