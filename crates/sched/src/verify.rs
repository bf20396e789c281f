//! Checks of the owner's own books, for tests.
//!
//! Invariant: a check changes nothing.

use model::Resources;

use crate::fleet::{ServerIx, ServerState};
use crate::owner::Owner;

/// A broken invariant of the owner's books.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A backend server's used resources are not the sum of its runs.
    #[error("{0}: used resources are not the sum of its runs")]
    Used(model::Name),
    /// More is committed than the backend server has.
    #[error("{0}: more is committed than it has")]
    Overcommitted(model::Name),
    /// A task's list of runs does not match the runs.
    #[error("{0}: a task's runs do not match")]
    Runs(model::JobId),
}

impl Owner {
    /// Checks all books.
    pub(crate) fn verify(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for ix in 0..self.fleet.servers.len() as ServerIx {
            self.verify_server(ix, &mut found);
        }
        for run in self.ledger.runs.keys() {
            let task = self.ledger.task(run.task);
            if !task.is_some_and(|task| task.runs.contains(&run.number)) {
                let job = self.ledger.jobs.get(&run.task.step.job);
                let id = job.map(|job| job.id.clone()).unwrap_or_default();
                found.push(Violation::Runs(id));
            }
        }
        found
    }

    fn verify_server(&self, ix: ServerIx, found: &mut Vec<Violation>) {
        let server = self.fleet.get(ix);
        let held = server.runs.iter().filter_map(|run| {
            let spec = self.ledger.spec(run.task.step)?;
            Some(spec.committed())
        });
        let sum = held.fold(Resources::ZERO, Resources::plus);
        let id = &server.listing.id;
        if sum != server.used {
            found.push(Violation::Used(id.clone()));
        }
        // Records of runs that ended just before a takeover count until the
        // backend server's own lists are read.
        let listed = server.state == ServerState::Held;
        if listed && !server.used.fits(&server.listing.capacity) {
            found.push(Violation::Overcommitted(id.clone()));
        }
    }
}
