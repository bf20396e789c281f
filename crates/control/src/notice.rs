//! Numbered log events; `docs/EVENTS.md` is their catalogue.
//!
//! Invariant: a number is never given to another event, and no event carries
//! a key or a body.

use model::{Epoch, JobId, Name};

/// A log event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// 100
    Started(Name),
    /// 101
    ShuttingDown,
    /// 102
    Stopped,
    /// 110
    PeerAlive(Name),
    /// 111
    PeerSilent(Name),
    /// 112
    FrameMalformed(Name),
    /// 120
    ConfigActivated(u64),
    /// 121
    ConfigMalformed(u64),
    /// 122
    KeysUnverifiable,
    /// 123
    KeysVerifiable,
    /// 130
    StoreDown,
    /// 131
    StoreUp,
    /// 140
    TakingOver(Name, Epoch),
    /// 141
    OwnershipAcquired(Name, Epoch),
    /// 142
    OwnershipSuperseded(Name, Epoch),
    /// 143
    OwnershipReleased(Name, Epoch),
    /// 144
    OwnershipUnconfirmed(Name),
    /// 150
    WorkerUnreachable(Name),
    /// 151
    WorkerLost(Name),
    /// 152
    WorkerReachable(Name),
    /// 160
    JobFailed(JobId),
    /// 161
    RowMalformed(Name),
    /// 170
    OutcomeUnknown(u64),
    /// 171
    OrphanTask(JobId),
    /// 180
    AllotmentChanged(Name),
    /// 190
    EventGap(u64),
}

impl Notice {
    /// Its number in the catalogue.
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

    /// True for events that an operator should look at.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        matches!(
            self,
            Self::PeerSilent(_)
                | Self::FrameMalformed(_)
                | Self::ConfigMalformed(_)
                | Self::KeysUnverifiable
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
            Self::PeerAlive(name) => write!(f, "entry VM {name} is heard"),
            Self::PeerSilent(name) => write!(f, "entry VM {name} is silent"),
            Self::FrameMalformed(e) => write!(f, "dropped a frame: {e}"),
            Self::ConfigActivated(v) => write!(f, "configuration version {v} is in force"),
            Self::ConfigMalformed(v) => write!(f, "configuration version {v} is malformed"),
            Self::KeysUnverifiable => write!(f, "keys can't be verified"),
            Self::KeysVerifiable => write!(f, "keys can be verified"),
            Self::StoreDown => write!(f, "the table service does not answer"),
            Self::StoreUp => write!(f, "the table service answers"),
            Self::TakingOver(dc, e) => write!(f, "taking over {dc} with epoch {e}"),
            Self::OwnershipAcquired(dc, e) => write!(f, "owner of {dc} with epoch {e}"),
            Self::OwnershipSuperseded(dc, e) => write!(f, "epoch {e} of {dc} is superseded"),
            Self::OwnershipReleased(dc, e) => write!(f, "released {dc}, epoch {e}"),
            Self::OwnershipUnconfirmed(dc) => {
                write!(f, "ownership of {dc} is not confirmed; pausing")
            }
            Self::WorkerUnreachable(name) => write!(f, "worker {name} does not answer"),
            Self::WorkerLost(name) => write!(f, "worker {name} is lost; its tasks have ended"),
            Self::WorkerReachable(name) => write!(f, "worker {name} answers again"),
            Self::JobFailed(id) => write!(f, "job {id} is given up"),
            Self::RowMalformed(key) => write!(f, "row {key} is malformed"),
            Self::OutcomeUnknown(id) => write!(f, "the outcome of request {id} is unknown"),
            Self::OrphanTask(id) => write!(f, "stopping a task of unknown job {id}"),
            Self::AllotmentChanged(team) => write!(f, "allotment of team {team} changed"),
            Self::EventGap(ms) => write!(f, "no event for {ms} ms; state is checked again"),
        }
    }
}
