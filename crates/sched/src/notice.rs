//! Numbered log events; `docs/EVENTS.md` is their catalogue.
//!
//! Invariant: a number is never given to another event, and no event carries
//! a key or a payload.

use std::time::Duration;

use model::{Attempt, Epoch, Name, Reason, RunOutcome, Stage};
use serde::Serialize;

use crate::event::{Fault, Rejection};

/// A log event. Times are in ms; fields say what their names say.
#[expect(missing_docs, reason = "the catalogue describes each event")]
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Notice {
    /// The process runs.
    Started { process: u64 },
    /// A graceful shutdown began.
    ShuttingDown,
    /// The process ends.
    Stopped,
    /// A configuration is in force here.
    ConfigInForce { version: u64, age_ms: u64 },
    /// Keys can't be trusted: the configuration may be old.
    ConfigStale { version: u64, age_ms: u64 },
    /// The configuration is known to be the newest again.
    ConfigFresh { version: u64 },
    /// The table service does not answer.
    StoreLost { fault: Name },
    /// The table service answers again.
    StoreBack,
    /// A job was accepted.
    Accepted {
        job: Name,
        queue: Name,
        team: Name,
        config: u64,
        took_ms: u64,
    },
    /// A call was refused.
    Refused {
        job: Name,
        queue: Name,
        reason: Reason,
        config: u64,
        age_ms: u64,
    },
    /// The outcome of a call is unknown.
    OutcomeUnknown { job: Name, queue: Name },
    /// A caller cancelled a job.
    Cancelled { job: Name },
    /// Claiming the ownership.
    Claiming {
        epoch: Epoch,
        previous: Name,
        silent_ms: u64,
    },
    /// This VM is the owner.
    Owner { epoch: Epoch, took_ms: u64 },
    /// Another VM is the owner, or this one may be.
    NotOwner { epoch: Epoch, why: Name },
    /// Ownership was given up on purpose.
    Released { epoch: Epoch },
    /// Another VM owns.
    OwnerSeen { epoch: Epoch, name: Name },
    /// Jobs and backend servers were read after a takeover.
    Recovered {
        epoch: Epoch,
        jobs: u32,
        servers: u32,
        unreached: u32,
    },
    /// The owner's state.
    Summary {
        jobs: u32,
        /// Steps with tasks to start, at the last placement pass.
        waiting: u32,
        planned: u32,
        running: u32,
        stopping: u32,
        /// Backend servers not yet in the roster row.
        found: u32,
        /// Backend servers that have not answered this owner.
        unreached: u32,
        held: u32,
        /// Backend servers that take work.
        usable: u32,
        /// Questions to the outside policy, waiting or under way.
        questions: u32,
        /// Jobs whose state row is to be written.
        unwritten: u32,
        /// Group commits that were applied and that were not, in this term.
        applied: u64,
        failed: u64,
        /// Mean answer time of group commits.
        answer_ms: u64,
        /// Tasks of an earlier owner may run unseen.
        unseen: bool,
    },
    /// A backend server can be used.
    ServerHeld {
        server: Name,
        incarnation: u64,
        runs: u32,
        took_ms: u64,
    },
    /// A backend server does not answer.
    ServerSilent {
        server: Name,
        fault: Fault,
        lease_left_ms: u64,
    },
    /// A backend server's work is over without its saying so.
    ServerLost { server: Name, runs: u32, why: Name },
    /// A backend server leaves.
    ServerLeaving { server: Name, runs: u32 },
    /// A backend server fails what it starts and gets nothing for a while.
    ServerHeldBack { server: Name },
    /// A run was ordered.
    Start {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        waited_ms: u64,
    },
    /// An order to start was not carried out.
    StartRejected {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        why: Rejection,
    },
    /// Whether a run starts is unknown.
    StartLost {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        fault: Fault,
    },
    /// A run was told to stop.
    Stop {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        why: Name,
    },
    /// A run ended.
    Ended {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        end: RunOutcome,
        ran_ms: u64,
    },
    /// A run is not on its backend server's list any more.
    RunVanished {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
    },
    /// A run was found on a backend server's list.
    RunAdopted {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
    },
    /// A job reached its last stage, or its first task started.
    JobStage {
        job: Name,
        queue: Name,
        stage: Stage,
        since_ms: u64,
    },
    /// The outside policy was asked.
    AdviceAsked {
        job: Name,
        step: Name,
        servers: u32,
        helper: Name,
    },
    /// The outside policy answered.
    AdviceGiven {
        job: Name,
        step: Name,
        granted: u32,
        took_ms: u64,
    },
    /// The outside policy did not answer.
    AdviceFailed { job: Name, step: Name, fault: Name },
    /// A row is malformed and was skipped.
    RowMalformed { key: Name },
    /// No event was handled for a while; the VM was paused.
    Woke { gap_ms: u64 },
    /// A run's pace was changed.
    Paced {
        job: Name,
        task: Name,
        server: Name,
        percent: u8,
        tail_ms: u64,
        target_ms: u64,
    },
}

impl Notice {
    /// Number in the catalogue.
    #[must_use]
    pub const fn number(&self) -> u16 {
        match self {
            Self::Started { .. } => 300,
            Self::ShuttingDown => 301,
            Self::Stopped => 302,
            Self::ConfigInForce { .. } => 310,
            Self::ConfigStale { .. } => 311,
            Self::ConfigFresh { .. } => 312,
            Self::StoreLost { .. } => 320,
            Self::StoreBack => 321,
            Self::Accepted { .. } => 330,
            Self::Refused { .. } => 331,
            Self::OutcomeUnknown { .. } => 332,
            Self::Cancelled { .. } => 333,
            Self::Claiming { .. } => 340,
            Self::Owner { .. } => 341,
            Self::NotOwner { .. } => 342,
            Self::Released { .. } => 343,
            Self::OwnerSeen { .. } => 344,
            Self::Recovered { .. } => 345,
            Self::Summary { .. } => 346,
            Self::ServerHeld { .. } => 350,
            Self::ServerSilent { .. } => 351,
            Self::ServerLost { .. } => 352,
            Self::ServerLeaving { .. } => 353,
            Self::ServerHeldBack { .. } => 354,
            Self::Start { .. } => 360,
            Self::StartRejected { .. } => 361,
            Self::StartLost { .. } => 362,
            Self::Stop { .. } => 363,
            Self::Ended { .. } => 364,
            Self::RunVanished { .. } => 365,
            Self::RunAdopted { .. } => 366,
            Self::JobStage { .. } => 367,
            Self::AdviceAsked { .. } => 370,
            Self::AdviceGiven { .. } => 371,
            Self::AdviceFailed { .. } => 372,
            Self::RowMalformed { .. } => 380,
            Self::Woke { .. } => 381,
            Self::Paced { .. } => 390,
        }
    }

    /// True when somebody may have to act.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        matches!(
            self,
            Self::ConfigStale { .. }
                | Self::StoreLost { .. }
                | Self::NotOwner { .. }
                | Self::ServerSilent { .. }
                | Self::ServerLost { .. }
                | Self::ServerHeldBack { .. }
                | Self::AdviceFailed { .. }
                | Self::RowMalformed { .. }
                | Self::Woke { .. }
        )
    }
}

/// Whole milliseconds of a duration, for log lines.
pub(crate) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
