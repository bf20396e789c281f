//! Numbered log events, documented in `docs/EVENTS.md`.
//!
//! Invariant: a number is never reused for another event, and no event contains
//! a key or a request body.

use model::{Epoch, JobId, Name};

/// A log event. A `Name` is that of the VM, worker, data centre or team concerned
/// unless the variant says otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// 100: the node started; carries its name.
    Started(Name),
    /// 101: a graceful shutdown began.
    ShuttingDown,
    /// 102: the graceful shutdown completed.
    Stopped,
    /// 110: an entry VM is alive.
    PeerAlive(Name),
    /// 111: an entry VM sent no heartbeat within `peer_silent`.
    PeerSilent(Name),
    /// 112: a malformed frame was dropped; carries the decoding error.
    FrameMalformed(Name),
    /// 120: a configuration version became active.
    ConfigActivated(u64),
    /// 121: a malformed configuration version was ignored.
    ConfigMalformed(u64),
    /// 122: the configuration is too old to verify keys.
    KeysUnverifiable,
    /// 123: the configuration is fresh enough to verify keys.
    KeysVerifiable,
    /// 124: this node's data centre is evacuated; no new work starts there.
    Evacuated(Name),
    /// 125: this node's data centre is not evacuated any more.
    Restored(Name),
    /// 126: the configuration is older than `evacuation_proof`; no new work starts
    /// in this node's data centre.
    EvacuationsUnconfirmed(Name),
    /// 127: the configuration is recent enough to start work.
    EvacuationsConfirmed(Name),
    /// 130: the table service stopped responding.
    StoreDown,
    /// 131: the table service responds again.
    StoreUp,
    /// 140: the takeover of a data centre began.
    TakingOver(Name, Epoch),
    /// 141: this node became the owner of a data centre.
    OwnershipAcquired(Name, Epoch),
    /// 142: a later epoch superseded this node's epoch.
    OwnershipSuperseded(Name, Epoch),
    /// 143: ownership of a data centre was released during a shutdown.
    OwnershipReleased(Name, Epoch),
    /// 144: the ownership of a data centre is unconfirmed; placement pauses.
    OwnershipUnconfirmed(Name),
    /// 150: a worker is unreachable; its leases are no longer renewed.
    WorkerUnreachable(Name),
    /// 151: a worker was declared lost.
    WorkerLost(Name),
    /// 152: a worker is reachable.
    WorkerReachable(Name),
    /// 160: a job failed after repeated task failures.
    JobFailed(JobId),
    /// 161: a malformed row was skipped; carries its key.
    RowMalformed(Name),
    /// 170: the outcome of a request is unknown; carries the request id.
    OutcomeUnknown(u64),
    /// 171: an orphan task is being stopped.
    OrphanTask(JobId),
    /// 180: the allotment of a team in this data centre changed.
    AllotmentChanged(Name),
    /// 190: no event was processed for a time given in ms.
    EventGap(u64),
}

impl Notice {
    /// Returns the event number.
    #[must_use]
    pub const fn number(&self) -> u16 {
        match self {
            Self::Started(_) => 100,
            Self::ShuttingDown => 101,
            Self::Stopped => 102,
            Self::PeerAlive(_) => 110,
            Self::PeerSilent(_) => 111,
            Self::FrameMalformed(_) => 112,
            Self::ConfigActivated(_) => 120,
            Self::ConfigMalformed(_) => 121,
            Self::KeysUnverifiable => 122,
            Self::KeysVerifiable => 123,
            Self::Evacuated(_) => 124,
            Self::Restored(_) => 125,
            Self::EvacuationsUnconfirmed(_) => 126,
            Self::EvacuationsConfirmed(_) => 127,
            Self::StoreDown => 130,
            Self::StoreUp => 131,
            Self::TakingOver(..) => 140,
            Self::OwnershipAcquired(..) => 141,
            Self::OwnershipSuperseded(..) => 142,
            Self::OwnershipReleased(..) => 143,
            Self::OwnershipUnconfirmed(_) => 144,
            Self::WorkerUnreachable(_) => 150,
            Self::WorkerLost(_) => 151,
            Self::WorkerReachable(_) => 152,
            Self::JobFailed(_) => 160,
            Self::RowMalformed(_) => 161,
            Self::OutcomeUnknown(_) => 170,
            Self::OrphanTask(_) => 171,
            Self::AllotmentChanged(_) => 180,
            Self::EventGap(_) => 190,
        }
    }

    /// Returns whether the event needs an operator's attention.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        matches!(
            self,
            Self::PeerSilent(_)
                | Self::FrameMalformed(_)
                | Self::ConfigMalformed(_)
                | Self::KeysUnverifiable
                | Self::EvacuationsUnconfirmed(_)
                | Self::StoreDown
                | Self::OwnershipSuperseded(..)
                | Self::OwnershipUnconfirmed(_)
                | Self::WorkerUnreachable(_)
                | Self::WorkerLost(_)
                | Self::JobFailed(_)
                | Self::RowMalformed(_)
                | Self::OutcomeUnknown(_)
                | Self::EventGap(_)
        )
    }
}

impl std::fmt::Display for Notice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Started(name) => write!(f, "entry VM {name} started"),
            Self::ShuttingDown => write!(f, "shutting down"),
            Self::Stopped => write!(f, "shutdown complete"),
            Self::PeerAlive(name) => write!(f, "entry VM {name} is alive"),
            Self::PeerSilent(name) => write!(
                f,
                "no heartbeat from entry VM {name}; it is considered dead"
            ),
            Self::FrameMalformed(e) => write!(f, "dropped malformed frame: {e}"),
            Self::ConfigActivated(v) => write!(f, "configuration version {v} is active"),
            Self::ConfigMalformed(v) => write!(f, "ignored malformed configuration version {v}"),
            Self::KeysUnverifiable => write!(
                f,
                "configuration is not known to be current; keys cannot be verified"
            ),
            Self::KeysVerifiable => write!(
                f,
                "configuration is known to be current; keys can be verified"
            ),
            Self::Evacuated(dc) => {
                write!(f, "data centre {dc} is evacuated; no new work starts there")
            }
            Self::Restored(dc) => write!(f, "data centre {dc} is no longer evacuated"),
            Self::EvacuationsUnconfirmed(dc) => write!(
                f,
                "configuration is not known to be current; no new work starts in data centre {dc}"
            ),
            Self::EvacuationsConfirmed(dc) => write!(
                f,
                "configuration is known to be current; new work may start in data centre {dc}"
            ),
            Self::StoreDown => write!(f, "table service is not responding"),
            Self::StoreUp => write!(f, "table service is responding"),
            Self::TakingOver(dc, e) => write!(f, "taking over data centre {dc} with epoch {e}"),
            Self::OwnershipAcquired(dc, e) => {
                write!(f, "acquired ownership of data centre {dc} with epoch {e}")
            }
            Self::OwnershipSuperseded(dc, e) => {
                write!(f, "epoch {e} of data centre {dc} was superseded")
            }
            Self::OwnershipReleased(dc, e) => {
                write!(f, "released ownership of data centre {dc}, epoch {e}")
            }
            Self::OwnershipUnconfirmed(dc) => {
                write!(
                    f,
                    "ownership of data centre {dc} is unconfirmed; pausing placement"
                )
            }
            Self::WorkerUnreachable(name) => write!(f, "worker {name} is unreachable"),
            Self::WorkerLost(name) => {
                write!(f, "worker {name} was declared lost; its tasks have ended")
            }
            Self::WorkerReachable(name) => write!(f, "worker {name} is reachable"),
            Self::JobFailed(id) => write!(f, "job {id} failed after repeated task failures"),
            Self::RowMalformed(key) => write!(f, "skipped malformed row {key}"),
            Self::OutcomeUnknown(id) => write!(f, "outcome of request {id} is unknown"),
            Self::OrphanTask(id) => write!(f, "stopping orphan task of job {id}"),
            Self::AllotmentChanged(team) => write!(f, "allotment of team {team} changed"),
            Self::EventGap(ms) => write!(
                f,
                "no event was processed for {ms} ms; rechecking worker state"
            ),
        }
    }
}
