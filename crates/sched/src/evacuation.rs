//! Data centres that the operator has asked to evacuate: nothing starts on their backend
//! servers until the request is withdrawn.
//!
//! Runs that have been ordered go on to their end, also long-running ones: stopping them
//! would use up their disruption budgets although their backend servers still work.
//!
//! Invariant: no start order is sent to a backend server of an evacuated data centre, and
//! none at all while the requests were last read longer ago than
//! `Timing::max_evacuation_age`.

use std::collections::BTreeSet;
use std::time::Duration;

use model::{Name, Resources};

use crate::fleet::ServerIx;
use crate::ledger::{RunRef, RunState};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};
use crate::settings::Timing;

/// The operator's requests to evacuate data centres, as last read.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    data_centres: BTreeSet<Name>,
    /// When the last successful read of the requests was sent; `None` before the first.
    read_at: Option<Duration>,
    /// The requests are too old to start anything, which was logged.
    stale: bool,
}

/// What a read of the requests has changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) evacuated: Vec<Name>,
    pub(crate) restored: Vec<Name>,
}

impl Change {
    pub(crate) fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.restored.is_empty()
    }
}

impl Evacuations {
    /// Applies the complete requests as of a read that was sent at `requested_at`.
    pub(crate) fn apply(&mut self, data_centres: BTreeSet<Name>, requested_at: Duration) -> Change {
        self.read_at = self.read_at.max(Some(requested_at));
        let evacuated = data_centres.difference(&self.data_centres);
        let restored = self.data_centres.difference(&data_centres);
        let change = Change {
            evacuated: evacuated.cloned().collect(),
            restored: restored.cloned().collect(),
        };
        self.data_centres = data_centres;
        change
    }

    /// True while a data centre is evacuated.
    pub(crate) fn covers(&self, data_centre: &Name) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// True if runs may start in a data centre.
    pub(crate) fn permits(&self, data_centre: &Name, timing: &Timing, now: Duration) -> bool {
        self.is_current(timing, now) && !self.covers(data_centre)
    }

    /// True while the last read is recent enough to rely on.
    fn is_current(&self, timing: &Timing, now: Duration) -> bool {
        let Some(max_age) = timing.max_evacuation_age else {
            return true;
        };
        self.read_at.is_some_and(|at| now < at + max_age)
    }

    /// Returns a notice when the requests become too old to rely on, and when they have
    /// been read again.
    pub(crate) fn check_staleness(&mut self, timing: &Timing, now: Duration) -> Option<Notice> {
        let stale = self.read_at.is_some() && !self.is_current(timing, now);
        if stale == std::mem::replace(&mut self.stale, stale) {
            return None;
        }
        let age = self.read_at.map(|at| now.saturating_sub(at));
        Some(Notice::EvacuationsStale {
            stale,
            age_ms: crate::notice::ms(age.unwrap_or_default()),
        })
    }
}

impl Owner {
    /// Handles a change of the requests: what is planned in evacuated data centres is
    /// planned again elsewhere.
    pub(crate) fn evacuations_changed(&mut self, change: &Change, cx: &mut Cx<'_>) {
        self.place_due = true;
        for data_centre in &change.evacuated {
            let planned = self.runs_in(data_centre, RunState::Planned);
            let running = self.runs_in(data_centre, RunState::Running);
            cx.log(Notice::Evacuated {
                data_centre: data_centre.clone(),
                planned: planned.len() as u32,
                running: running.len() as u32,
            });
            for run in planned {
                self.discard_run(run, cx);
            }
        }
        for data_centre in &change.restored {
            let data_centre = data_centre.clone();
            cx.log(Notice::Restored { data_centre });
        }
    }

    fn runs_in(&self, data_centre: &Name, state: RunState) -> Vec<RunRef> {
        let runs = self.ledger.runs.iter().filter(|(_, placed)| {
            placed.state == state
                && self.fleet.get(placed.server).listing.data_centre == *data_centre
        });
        let mut runs: Vec<RunRef> = runs.map(|(run, _)| *run).collect();
        runs.sort_unstable();
        runs
    }

    /// True if runs may start on a backend server as far as evacuations are concerned.
    pub(crate) fn may_start_in_data_centre(&self, server: ServerIx, cx: &Cx<'_>) -> bool {
        let data_centre = &self.fleet.get(server).listing.data_centre;
        let timing = &cx.settings.timing;
        cx.evacuations.permits(data_centre, timing, cx.now())
    }

    /// Capacity of the backend servers outside evacuated data centres.
    pub(crate) fn total_capacity(&self, cx: &Cx<'_>) -> Resources {
        let listings = self.fleet.live().map(|ix| &self.fleet.get(ix).listing);
        listings
            .filter(|listing| !cx.evacuations.covers(&listing.data_centre))
            .fold(Resources::ZERO, |sum, listing| sum.plus(listing.capacity))
    }
}
