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
    ConfigInForce(u64),
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
    Owner(Name, Epoch),
    /// 142
    Superseded(Name, Epoch),
    /// 143
    Released(Name, Epoch),
    /// 144
    Unconfirmed(Name),
    /// 150
    WorkerSilent(Name),
    /// 151
    WorkerLost(Name),
    /// 152
    WorkerBack(Name),
    /// 160
    JobFailed(JobId),
    /// 161
    JobMalformed(Name),
    /// 170
    OutcomeUnknown(u64),
    /// 171
    StrayTask(JobId),
    /// 180
    AllotmentMoved(Name),
    /// 190
    Woke(u64),
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
            Self::ConfigInForce(_) => 120,
            Self::ConfigMalformed(_) => 121,
            Self::KeysUnverifiable => 122,
            Self::KeysVerifiable => 123,
            Self::StoreDown => 130,
            Self::StoreUp => 131,
            Self::TakingOver(..) => 140,
            Self::Owner(..) => 141,
            Self::Superseded(..) => 142,
            Self::Released(..) => 143,
            Self::Unconfirmed(_) => 144,
            Self::WorkerSilent(_) => 150,
            Self::WorkerLost(_) => 151,
            Self::WorkerBack(_) => 152,
            Self::JobFailed(_) => 160,
            Self::JobMalformed(_) => 161,
            Self::OutcomeUnknown(_) => 170,
            Self::StrayTask(_) => 171,
            Self::AllotmentMoved(_) => 180,
            Self::Woke(_) => 190,
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
                | Self::Superseded(..)
                | Self::Unconfirmed(_)
                | Self::WorkerSilent(_)
                | Self::WorkerLost(_)
                | Self::JobFailed(_)
                | Self::JobMalformed(_)
                | Self::OutcomeUnknown(_)
                | Self::Woke(_)
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
            Self::ConfigInForce(v) => write!(f, "configuration version {v} is in force"),
            Self::ConfigMalformed(v) => write!(f, "configuration version {v} is malformed"),
            Self::KeysUnverifiable => write!(f, "keys can't be verified"),
            Self::KeysVerifiable => write!(f, "keys can be verified"),
            Self::StoreDown => write!(f, "the table service does not answer"),
            Self::StoreUp => write!(f, "the table service answers"),
            Self::TakingOver(dc, e) => write!(f, "taking over {dc} with epoch {e}"),
            Self::Owner(dc, e) => write!(f, "owner of {dc} with epoch {e}"),
            Self::Superseded(dc, e) => write!(f, "epoch {e} of {dc} is superseded"),
            Self::Released(dc, e) => write!(f, "released {dc}, epoch {e}"),
            Self::Unconfirmed(dc) => write!(f, "ownership of {dc} is not confirmed; pausing"),
            Self::WorkerSilent(name) => write!(f, "worker {name} does not answer"),
            Self::WorkerLost(name) => write!(f, "worker {name} is lost; its tasks have ended"),
            Self::WorkerBack(name) => write!(f, "worker {name} answers again"),
            Self::JobFailed(id) => write!(f, "job {id} is given up"),
            Self::JobMalformed(key) => write!(f, "row {key} is malformed"),
            Self::OutcomeUnknown(id) => write!(f, "the outcome of request {id} is unknown"),
            Self::StrayTask(id) => write!(f, "stopping a task of unknown job {id}"),
            Self::AllotmentMoved(team) => write!(f, "allotment of team {team} changed"),
            Self::Woke(ms) => write!(f, "no event for {ms} ms; state is checked again"),
        }
    }
}
