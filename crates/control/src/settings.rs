//! Identity and timing settings of a node.
//!
//! Invariant: `Timing::verify` succeeds for every running node. The safety of
//! takeover depends on the relations between these durations.

use std::time::Duration;

use model::{Config, Name};

/// Name and data centre of an entry VM.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Unique name, equal to that in the VM list and in the settings of the peers.
    pub name: Name,
    /// One of `Settings::data_centres`; the VM may own the workers there.
    pub data_centre: Name,
}

/// Intervals, timeouts and leases.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval of heartbeats to peers in the same data centre.
    pub beat: Duration,
    /// Interval of heartbeats to all other peers.
    pub beat_far: Duration,
    /// Time without a heartbeat after which a peer is considered dead.
    pub peer_silent: Duration,
    /// Interval of configuration and ownership reads.
    pub poll: Duration,
    /// Maximum age of the configuration for which keys are accepted.
    pub key_fresh: Duration,
    /// Maximum age of the configuration with which an owner may start work, so
    /// that an evacuation is in force there after this time even if the owner is
    /// cut off; `None` to go on with the configuration that was read last.
    pub evacuation_proof: Option<Duration>,
    /// Maximum time for which a worker holds the response to a watch call.
    pub sync: Duration,
    /// Time after which a worker ends tasks whose lease was not renewed.
    pub task_lease: Duration,
    /// Time for which an owner may act after its epoch was last confirmed.
    pub owner_lease: Duration,
    /// Safety margin for clock drift and delays in lease calculations.
    pub margin: Duration,
    /// Interval of VM list reads.
    pub vm_list: Duration,
    /// Maximum age of the VM list or of a worker's report as evidence that the
    /// worker is not leaving.
    pub in_service_max_age: Duration,
    /// Timeout of one table service call.
    pub store_timeout: Duration,
    /// Time for which an ended job is retained.
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
            evacuation_proof: None,
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

/// Conflict between timing settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimingError {
    /// Peers would be considered dead between two heartbeats.
    #[error("peer_silent must be at least three times beat_far")]
    PeerSilent,
    /// A withdrawn key would be accepted for longer than 5 s, or keys would be
    /// rejected between two polls.
    #[error("key_fresh must be at least twice poll and at most 4.5 s")]
    KeyFresh,
    /// Work would not start between two polls.
    #[error("evacuation_proof must be at least twice poll")]
    EvacuationProof,
    /// Task leases would expire between two calls.
    #[error("task_lease must be at least four times sync")]
    TaskLease,
    /// An owner would stop acting between two confirmations.
    #[error("owner_lease must be at least 3 s and three times poll")]
    OwnerLease,
}

impl Timing {
    /// Checks the relations between the durations.
    ///
    /// # Errors
    /// Returns the first conflict found.
    pub fn verify(&self) -> Result<(), TimingError> {
        let max_fresh = Duration::from_millis(4_500);
        match self {
            t if t.peer_silent < t.beat_far * 3 => Err(TimingError::PeerSilent),
            t if t.key_fresh < t.poll * 2 || t.key_fresh > max_fresh => Err(TimingError::KeyFresh),
            t if t.evacuation_proof.is_some_and(|proof| proof < t.poll * 2) => {
                Err(TimingError::EvacuationProof)
            }
            t if t.task_lease < t.sync * 4 => Err(TimingError::TaskLease),
            t if t.owner_lease < (t.poll * 3).max(Duration::from_secs(3)) => {
                Err(TimingError::OwnerLease)
            }
            _ => Ok(()),
        }
    }

    /// Returns the time after the last sent renewal by which a task must have
    /// ended on every clock: the lease with 5 % clock drift, plus the margin.
    pub(crate) fn max_task_lapse(&self) -> Duration {
        self.task_lease + self.task_lease / 20 + self.margin
    }
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name and data centre of this node.
    pub identity: Identity,
    /// The other entry VMs, with their data centres.
    pub peers: Vec<Identity>,
    /// Names of all data centres, not empty. The order must be the same on every
    /// entry VM, because the teams' orders of preference are derived from it.
    pub data_centres: Vec<Name>,
    /// Intervals, timeouts and leases; must pass `Timing::verify`.
    pub timing: Timing,
    /// Maximum number of this node's commit calls to the table service per second;
    /// zero counts as one.
    pub store_writes_per_second: u32,
    /// Configuration to create if the table service has none.
    pub initial: Option<Config>,
}
