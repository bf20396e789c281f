//! Consistency checks of the owner's in-memory state, for tests.
//!
//! Invariant: checks are read-only.

use model::Resources;

use crate::fleet::{ServerIx, ServerState};
use crate::ledger::{RunRef, RunState};
use crate::owner::Owner;

/// A violated invariant of the owner's in-memory state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The used resources of a backend server differ from the sum over its runs.
    #[error("backend server {0}: used resources differ from the sum over its runs")]
    UsedMismatch(model::Name),
    /// More resources are committed than the backend server has, and not only because its
    /// capacity has shrunk.
    #[error("backend server {0}: committed resources exceed its capacity")]
    Overcommitted(model::Name),
    /// A run is missing from its task's list of runs.
    #[error("job {0}: a run is missing from its task's list of runs")]
    RunListMismatch(model::JobId),
    /// A task that may have copies is not listed as such, or a copy is not one of its runs.
    #[error("job {0}: its runs and copies are listed inconsistently")]
    CopyListMismatch(model::JobId),
    /// A planned run has no record on the way, and its start order does not wait to be sent.
    #[error("job {0}: a planned run would never start")]
    StartForgotten(model::JobId),
}

impl Owner {
    /// Checks all backend servers and runs, and returns every violation.
    pub(crate) fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for ix in 0..self.fleet.servers.len() as ServerIx {
            self.verify_server(ix, &mut violations);
        }
        self.verify_copies(&mut violations);
        for run in self.ledger.runs.keys() {
            let task = self.ledger.task(run.task);
            if !task.is_some_and(|task| task.runs.contains(&run.number)) {
                let job = self.ledger.jobs.get(&run.task.step.job);
                let id = job.map(|job| job.id.clone()).unwrap_or_default();
                violations.push(Violation::RunListMismatch(id));
            }
        }
        let planned = self.ledger.runs.iter();
        let planned = planned.filter(|(_, placed)| placed.state == RunState::Planned);
        for (run, _) in planned {
            let job = self.ledger.jobs.get(&run.task.step.job);
            let awaits_record = job.is_some_and(|job| {
                job.dirty || self.commits.is_in_flight(job.partition, run.task.step.job)
            });
            if !awaits_record && !self.recorded_starts.contains(run) {
                let id = job.map(|job| job.id.clone()).unwrap_or_default();
                violations.push(Violation::StartForgotten(id));
            }
        }
        violations
    }

    fn verify_copies(&self, violations: &mut Vec<Violation>) {
        let indexed = &self.ledger.speculative_runs;
        let is_speculative = |run: &RunRef| {
            let spec = self.ledger.spec(run.task.step);
            spec.is_some_and(|spec| spec.speculative)
        };
        let wrong = |run: &&RunRef| is_speculative(run) != indexed.contains(run);
        let unlisted = self.ledger.runs.keys().filter(wrong);
        let copies = self.copies.runs.keys();
        let gone = indexed.iter().chain(copies);
        let gone = gone.filter(|run| !self.ledger.runs.contains_key(run));
        for run in unlisted.chain(gone) {
            let job = self.ledger.jobs.get(&run.task.step.job);
            let id = job.map(|job| job.id.clone()).unwrap_or_default();
            violations.push(Violation::CopyListMismatch(id));
        }
    }

    fn verify_server(&self, ix: ServerIx, violations: &mut Vec<Violation>) {
        let server = self.fleet.get(ix);
        let committed = server.runs.iter().filter_map(|run| {
            let spec = self.ledger.spec(run.task.step)?;
            Some(spec.committed())
        });
        let sum = committed.fold(Resources::ZERO, Resources::plus);
        let id = &server.listing.id;
        if sum != server.used {
            violations.push(Violation::UsedMismatch(id.clone()));
        }
        // After a takeover, stored records of runs that have ended count towards
        // `used` until the backend server's own run lists are read. Capacity is
        // therefore checked only once they have been read.
        let has_lists = server.state == ServerState::Held;
        // Runs may outlast a capacity in which they fitted, but none starts there then.
        let started_since = |run: &RunRef| {
            self.ledger.runs.get(run).is_some_and(|placed| {
                let starts = matches!(placed.state, RunState::Planned | RunState::Starting);
                starts && placed.ordered_at > server.resized_at
            })
        };
        let over = !server.used.fits(&server.listing.capacity);
        let over_peak = !server.used.fits(&server.peak_capacity);
        if has_lists && over && (over_peak || server.runs.iter().any(started_since)) {
            violations.push(Violation::Overcommitted(id.clone()));
        }
    }
}
