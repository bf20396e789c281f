//! Periodic log line with a summary of the owner's state.
//!
//! Invariant: logging the summary changes no scheduling state.

use std::time::Duration;

use crate::fleet::Standing;
use crate::ledger::Life;
use crate::notice::Notice;
use crate::owner::{Cx, Owner};

/// Interval between summaries; short compared to the time in which a backlog
/// builds up.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Owner {
    /// Logs a summary when one is due and the stored jobs have been loaded.
    pub(crate) fn log_summary(&mut self, cx: &mut Cx<'_>) {
        if cx.now() < self.next_summary || !self.recovery.loaded {
            return;
        }
        self.next_summary = cx.now() + LOG_INTERVAL;
        let count_runs = |life: Life| {
            let runs = self.ledger.runs.values();
            runs.filter(|placed| placed.life == life).count() as u32
        };
        let count_servers = |standing: Standing| {
            let servers = self.fleet.servers.iter();
            servers.filter(|s| s.standing == standing).count() as u32
        };
        let timing = &cx.settings.timing;
        let servers = self.fleet.servers.iter();
        let usable = servers.filter(|s| s.takes_work(timing, cx.now())).count() as u32;
        cx.log(Notice::Summary {
            jobs: self.ledger.jobs.len() as u32,
            waiting: self.waiting_steps,
            planned: count_runs(Life::Planned),
            running: count_runs(Life::Ordered) + count_runs(Life::Running),
            stopping: count_runs(Life::Stopping),
            found: count_servers(Standing::Found),
            unreached: count_servers(Standing::Rostered),
            held: count_servers(Standing::Held),
            usable,
            questions: self.policy_calls.questions(),
            unwritten: self.ledger.jobs.values().filter(|job| job.dirty).count() as u32,
            applied: self.commits.applied,
            failed: self.commits.failed,
            answer_ms: self.commits.answer_ms(),
            unseen: self.may_run_unseen(),
        });
    }
}
