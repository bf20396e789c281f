//! The owner's state in one log line, at a fixed period.
//!
//! Invariant: it reads only.

use std::time::Duration;

use crate::fleet::ServerState;
use crate::ledger::RunState;
use crate::notice::Notice;
use crate::owner::{Cx, Owner};

/// Period of the line: short against the time in which a backlog builds up.
const PERIOD: Duration = Duration::from_secs(2);

impl Owner {
    /// Logs the line when it is due.
    pub(crate) fn summarize(&mut self, cx: &mut Cx<'_>) {
        if cx.now() < self.next_summary || !self.recovery.tables_loaded {
            return;
        }
        self.next_summary = cx.now() + PERIOD;
        let lives = |life: RunState| {
            let runs = self.ledger.runs.values();
            runs.filter(|placed| placed.state == life).count() as u32
        };
        let standing = |standing: ServerState| {
            let servers = self.fleet.servers.iter();
            servers.filter(|s| s.state == standing).count() as u32
        };
        let timing = &cx.settings.timing;
        let servers = self.fleet.servers.iter();
        let usable = servers.filter(|s| s.accepts_work(timing, cx.now())).count() as u32;
        cx.log(Notice::Summary {
            jobs: self.ledger.jobs.len() as u32,
            waiting: self.waiting_steps,
            planned: lives(RunState::Planned),
            running: lives(RunState::Starting) + lives(RunState::Running),
            stopping: lives(RunState::Stopping),
            found: standing(ServerState::Discovered),
            unreached: standing(ServerState::InRoster),
            held: standing(ServerState::Held),
            usable,
            questions: self.desk.query_count(),
            unwritten: self.ledger.jobs.values().filter(|job| job.dirty).count() as u32,
            applied: self.commits.applied,
            failed: self.commits.failed,
            answer_ms: self.commits.mean_latency_ms(),
            unseen: self.may_have_unknown_runs(),
        });
    }
}
