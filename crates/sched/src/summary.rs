//! Periodic log line with a summary of the owner's state.
//!
//! Invariant: logging the summary changes no scheduling state.

use std::time::Duration;

use crate::fleet::ServerState;
use crate::ledger::RunState;
use crate::notice::Notice;
use crate::owner::{Cx, Owner};

/// Interval between summaries; short compared to the time in which a backlog
/// builds up.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Owner {
    /// Logs a summary when one is due and the stored jobs have been loaded.
    pub(crate) fn log_summary(&mut self, cx: &mut Cx<'_>) {
        if cx.now() < self.next_summary_at || !self.recovery.tables_loaded {
            return;
        }
        self.next_summary_at = cx.now() + LOG_INTERVAL;
        let count_runs = |state: RunState| {
            let runs = self.ledger.runs.values();
            runs.filter(|placed| placed.state == state).count() as u32
        };
        let count_servers = |state: ServerState| {
            let servers = self.fleet.servers.iter();
            servers.filter(|s| s.state == state).count() as u32
        };
        let timing = &cx.settings.timing;
        let servers = self.fleet.servers.iter();
        let usable = servers.filter(|s| s.accepts_work(timing, cx.now())).count() as u32;
        cx.log(Notice::Summary {
            jobs: self.ledger.jobs.len() as u32,
            waiting: self.waiting_steps,
            planned: count_runs(RunState::Planned),
            running: count_runs(RunState::Starting) + count_runs(RunState::Running),
            stopping: count_runs(RunState::Stopping),
            found: count_servers(ServerState::Discovered),
            unreached: count_servers(ServerState::InRoster),
            held: count_servers(ServerState::Held),
            usable,
            questions: self.policy_dispatcher.pending_queries(),
            unwritten: self.ledger.jobs.values().filter(|job| job.dirty).count() as u32,
            applied: self.commits.applied,
            failed: self.commits.failed,
            answer_ms: self.commits.mean_latency_ms(),
            unseen: self.may_have_unknown_runs(),
        });
    }
}
