//! Numbered log events, catalogued in `docs/EVENTS.md`.
//!
//! Invariant: the number of an event is never reused for another one, and no
//! event carries an API key or a job payload.

use std::time::Duration;

use model::{Attempt, Epoch, Name, Reason, RunOutcome, Stage};
use serde::Serialize;

use crate::event::{OrderError, Rejection};
use crate::partition::PartitionId;

/// A log event. Durations are in ms.
#[expect(missing_docs, reason = "docs/EVENTS.md describes the fields")]
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Notice {
    /// The process started.
    Started { process: u64 },
    /// A graceful shutdown began.
    ShuttingDown,
    /// Graceful shutdown is complete and the process exits.
    Stopped,
    /// A configuration version took effect on this node.
    ConfigInForce { version: u64, age_ms: u64 },
    /// The configuration may be outdated, so API keys are no longer trusted.
    ConfigStale { version: u64, age_ms: u64 },
    /// The configuration was confirmed to be the newest again.
    ConfigFresh { version: u64 },
    /// A read of the configuration failed, the last one of `failures` in a row.
    ConfigReadFailed {
        failures: u32,
        took_ms: u64,
        received: Option<usize>,
    },
    /// Writes of the owner to a partition of the table service fail.
    StoreLost { partition: PartitionId, fault: Name },
    /// Writes of the owner to a partition of the table service succeed again.
    StoreBack { partition: PartitionId },
    /// A job was accepted.
    Accepted {
        job: Name,
        queue: Name,
        team: Name,
        config: u64,
        took_ms: u64,
    },
    /// A client request was refused.
    Refused {
        job: Name,
        queue: Name,
        reason: Reason,
        config: u64,
        age_ms: u64,
    },
    /// The outcome of a client request is unknown.
    OutcomeUnknown { job: Name, queue: Name },
    /// A client cancelled a job.
    Cancelled { job: Name },
    /// This VM is claiming ownership.
    Claiming {
        epoch: Epoch,
        previous: Name,
        silent_ms: u64,
    },
    /// This VM became the owner and has read the stored rows.
    Owner { epoch: Epoch, took_ms: u64 },
    /// This VM's ownership ended: another VM is the owner or may have become it.
    NotOwner { epoch: Epoch, why: Name },
    /// This VM released ownership voluntarily.
    Released { epoch: Epoch },
    /// The owner recorded in the table service changed.
    OwnerSeen { epoch: Epoch, name: Name },
    /// Jobs and backend servers were recovered after a takeover.
    Recovered {
        epoch: Epoch,
        jobs: u32,
        servers: u32,
        unreached: u32,
    },
    /// No write was confirmed for long; the owner goes on because a majority of the
    /// backend servers answers it.
    Unconfirmed { epoch: Epoch, silent_ms: u64 },
    /// Periodic summary of the owner's state.
    Summary {
        jobs: u32,
        /// Steps with tasks to start, as of the last placement pass.
        waiting: u32,
        planned: u32,
        running: u32,
        stopping: u32,
        /// Backend servers that are not yet in the roster row.
        found: u32,
        /// Backend servers that have not answered this owner.
        unreached: u32,
        held: u32,
        /// Backend servers that accept new work.
        usable: u32,
        /// Queries to the external admission policy, queued or in flight.
        questions: u32,
        /// Jobs whose state row has yet to be written.
        unwritten: u32,
        /// Group commits of this term that were applied.
        applied: u64,
        /// Group commits of this term that failed.
        failed: u64,
        /// Mean latency of group commits.
        answer_ms: u64,
        /// Whether tasks of an earlier owner may still run unobserved.
        unseen: bool,
    },
    /// A backend server responded to this owner's epoch and can be used.
    ServerHeld {
        server: Name,
        incarnation: u64,
        runs: u32,
        took_ms: u64,
    },
    /// A backend server does not respond.
    ServerSilent {
        server: Name,
        fault: OrderError,
        lease_left_ms: Option<u64>,
    },
    /// All runs on a backend server count as ended, without a report from it.
    ServerLost { server: Name, runs: u32, why: Name },
    /// Lists of another incarnation than the renewal was sent to were not used, since
    /// this owner no longer waited for them.
    ListsUnused {
        server: Name,
        incarnation: u64,
        ends: u32,
    },
    /// A registry entry is not used, since nothing names its service.
    EntryUnused { server: Name, service: Name },
    /// A backend server started draining.
    ServerLeaving { server: Name, runs: u32 },
    /// A backend server failed tasks of several jobs and gets no new work for a
    /// while.
    ServerHeldBack { server: Name },
    /// A step fails wherever it runs, so its job's failures no longer count against
    /// backend servers.
    StepAtFault {
        job: Name,
        /// Occurrence and step.
        step: Name,
        /// Number of backend servers that are not held back any more.
        released: u32,
    },
    /// The capacity of a backend server changed while it runs.
    ServerResized {
        server: Name,
        millicpus: u32,
        memory_mib: u32,
        accelerators: u32,
        /// The runs there use more than that.
        over: bool,
    },
    /// The start of a run was decided.
    Start {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        waited_ms: u64,
    },
    /// An order to start a run was not executed.
    StartRejected {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        why: Rejection,
    },
    /// An order to start a run was not answered; the run may have started.
    StartLost {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        fault: OrderError,
    },
    /// A run was ordered to stop.
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
    /// A run is no longer listed by its backend server.
    RunVanished {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
    },
    /// A backend server listed a run that this owner did not start; the owner
    /// adopted it.
    RunAdopted {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
    },
    /// A run counts as ended without a report of its end.
    RunLost {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        why: Name,
        /// Time from its start order until the backend server was silent.
        ran_ms: u64,
        /// Number of other runs on the backend server at that time.
        others: u32,
    },
    /// A task is given up since its runs crash their backend servers; its job has failed.
    TaskGivenUp {
        job: Name,
        task: Name,
        /// Runs that were lost with their backend server.
        losses: u32,
        /// Those of them that certainly caused the crash.
        attributed: u32,
    },
    /// A backend server listed the end of a run that this owner no longer held.
    EndUnexpected {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        end: RunOutcome,
        /// Number of runs of the task that exist now.
        others: u32,
    },
    /// The first task of a job started, or the job reached a terminal stage.
    JobStage {
        job: Name,
        queue: Name,
        stage: Stage,
        since_ms: u64,
    },
    /// A query was sent to the external admission policy.
    AdviceAsked {
        job: Name,
        step: Name,
        servers: u32,
        helper: Name,
    },
    /// The external admission policy responded.
    AdviceGiven {
        job: Name,
        step: Name,
        granted: u32,
        took_ms: u64,
    },
    /// A query to the external admission policy failed.
    AdviceFailed { job: Name, step: Name, fault: Name },
    /// A helper's result answers no pending query: another owner sent the query, in
    /// `epoch`, or it counts as lost.
    AdviceUnused { helper: Name, epoch: Epoch },
    /// A malformed row was skipped.
    RowMalformed { key: Name },
    /// The layout row can't be used, so no row of a job can be found. An operator
    /// has to repair it.
    LayoutUnusable { fault: Name },
    /// Rows of jobs in a build's single partition were copied to the job
    /// partitions.
    RowsDivided { jobs: u32, states: u32 },
    /// No event was handled for longer than expected; the VM was probably
    /// suspended.
    Woke { gap_ms: u64 },
    /// The operator asked to evacuate a data centre; nothing starts there any more.
    Evacuated {
        data_centre: Name,
        /// Runs that had not been ordered yet and are placed elsewhere.
        planned: u32,
        /// Runs that go on there.
        running: u32,
    },
    /// The operator withdrew the request to evacuate a data centre.
    Restored { data_centre: Name },
    /// The requests to evacuate data centres are too old to start anything, or were read
    /// again.
    EvacuationsStale { stale: bool, age_ms: u64 },
    /// A copy of a running task of a speculative step was started.
    CopyStarted {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        /// Run that is copied, and its backend server.
        of: Attempt,
        of_server: Name,
        /// `silent` (server), `stalled`, `slow` or `overdue` (run).
        why: Name,
        /// Estimated remaining time of the run, and run time of the copy.
        remaining_ms: u64,
        fresh_ms: u64,
    },
    /// A copy completed first.
    CopyWon {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        /// Time until the estimated end of the other run.
        saved_ms: u64,
    },
    /// The run that was copied completed first.
    CopyLost {
        job: Name,
        task: Name,
        run: Attempt,
        server: Name,
        /// Time for which the copy had run.
        spent_ms: u64,
    },
    /// Copies of tasks of an image do not complete first, and are not started for a while.
    CopiesCeased { image: Name },
    /// A task has failed as often as its queue permits; its job has failed.
    AttemptsUsed {
        job: Name,
        task: Name,
        /// Number of failed runs.
        failures: u32,
        /// Backend servers on which they failed, as far as this owner knows.
        servers: Name,
    },
    /// The throttle of a best-effort run was changed.
    Paced {
        job: Name,
        task: Name,
        server: Name,
        percent: u8,
        tail_ms: u64,
        target_ms: u64,
    },
    /// Connections of clients were closed or refused by a limit.
    ClientsClosed {
        interface: Name,
        cause: Name,
        connections: u64,
    },
    /// An operator got an explanation of a job, whose id is empty if it was not
    /// submitted.
    Explained { job: Name, queue: Name, steps: u32 },
    /// An operator got no explanation.
    ExplanationRefused { fault: Name },
}

impl Notice {
    /// Number of the event in `docs/EVENTS.md`; 300 or above.
    #[must_use]
    pub const fn number(&self) -> u16 {
        match self {
            Self::Started { .. } => 300,
            Self::ShuttingDown => 301,
            Self::Stopped => 302,
            Self::ConfigInForce { .. } => 310,
            Self::ConfigStale { .. } => 311,
            Self::ConfigFresh { .. } => 312,
            Self::ConfigReadFailed { .. } => 313,
            Self::StoreLost { .. } => 320,
            Self::StoreBack { .. } => 321,
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
            Self::Unconfirmed { .. } => 347,
            Self::ServerHeld { .. } => 350,
            Self::ServerSilent { .. } => 351,
            Self::ServerLost { .. } => 352,
            Self::ServerLeaving { .. } => 353,
            Self::ServerHeldBack { .. } => 354,
            Self::ListsUnused { .. } => 355,
            Self::ServerResized { .. } => 356,
            Self::StepAtFault { .. } => 357,
            Self::EntryUnused { .. } => 358,
            Self::Start { .. } => 360,
            Self::StartRejected { .. } => 361,
            Self::StartLost { .. } => 362,
            Self::Stop { .. } => 363,
            Self::Ended { .. } => 364,
            Self::RunVanished { .. } => 365,
            Self::RunAdopted { .. } => 366,
            Self::JobStage { .. } => 367,
            Self::RunLost { .. } => 368,
            Self::EndUnexpected { .. } => 369,
            Self::TaskGivenUp { .. } => 373,
            Self::AdviceAsked { .. } => 370,
            Self::AdviceGiven { .. } => 371,
            Self::AdviceFailed { .. } => 372,
            Self::AdviceUnused { .. } => 373,
            Self::RowMalformed { .. } => 380,
            Self::Woke { .. } => 381,
            Self::LayoutUnusable { .. } => 382,
            Self::RowsDivided { .. } => 383,
            Self::Paced { .. } => 390,
            Self::Evacuated { .. } => 400,
            Self::Restored { .. } => 401,
            Self::EvacuationsStale { .. } => 402,
            Self::CopyStarted { .. } => 410,
            Self::CopyWon { .. } => 411,
            Self::CopyLost { .. } => 412,
            Self::CopiesCeased { .. } => 413,
            Self::AttemptsUsed { .. } => 414,
            Self::ClientsClosed { .. } => 420,
            Self::Explained { .. } => 430,
            Self::ExplanationRefused { .. } => 431,
        }
    }

    /// Whether an operator may have to act on the event.
    #[must_use]
    pub const fn is_warning(&self) -> bool {
        matches!(
            self,
            Self::ConfigStale { .. }
                | Self::ConfigReadFailed { .. }
                | Self::StoreLost { .. }
                | Self::NotOwner { .. }
                | Self::ServerSilent { .. }
                | Self::ServerLost { .. }
                | Self::ServerHeldBack { .. }
                | Self::TaskGivenUp { .. }
                | Self::Unconfirmed { .. }
                | Self::AdviceFailed { .. }
                | Self::RowMalformed { .. }
                | Self::LayoutUnusable { .. }
                | Self::EvacuationsStale { stale: true, .. }
                | Self::Woke { .. }
        )
    }
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
