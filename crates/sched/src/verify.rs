//! Checks of the owner's own books, for tests.
//!
//! Invariant: a check changes nothing.

use model::Resources;

use crate::fleet::{ServerIx, Standing};
use crate::owner::Owner;

/// A broken invariant of the owner's books.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A backend server's used resources are not the sum of its runs.
    #[error("{0}: used resources are not the sum of its runs")]
    UsedMismatch(model::Name),
    /// More is committed than the backend server has.
    #[error("{0}: more is committed than it has")]
    Overcommitted(model::Name),
    /// A task's list of runs does not match the runs.
    #[error("{0}: a task's runs do not match")]
    RunListMismatch(model::JobId),
}

impl Owner {
    /// Checks all books.
    pub(crate) fn verify(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for ix in 0..self.fleet.servers.len() as ServerIx {
            self.verify_server(ix, &mut violations);
        }
        for run in self.ledger.runs.keys() {
            let task = self.ledger.task(run.task);
            if !task.is_some_and(|task| task.runs.contains(&run.number)) {
                let job = self.ledger.jobs.get(&run.task.step.job);
                let id = job.map(|job| job.id.clone()).unwrap_or_default();
                violations.push(Violation::RunListMismatch(id));
            }
        }
        violations
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
        // Records of runs that ended just before a takeover count until the
        // backend server's own lists are read.
        let has_lists = server.standing == Standing::Held;
        if has_lists && !server.used.fits(&server.listing.capacity) {
            violations.push(Violation::Overcommitted(id.clone()));
        }
    }
}
