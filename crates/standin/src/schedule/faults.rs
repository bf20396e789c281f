//! Faults of a schedule; each begins and ends at a fixed time.
//!
//! Invariant: after `HEAL_MS` nothing is cut, down, lost or paused.

use model::Life;

use crate::schedule::{Coming, FAULT_MS, HEAL_MS, Schedule};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An entry VM dies and is replaced after some seconds.
    KillEntry,
    /// An entry VM is paused.
    PauseEntry,
    /// An entry VM is stopped gracefully and replaced.
    PlannedStop,
    /// The store is down.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// Answers of store and workers are lost after taking effect.
    LostAnswers,
    /// A data centre is cut off from the others and the platform.
    CutDataCentre,
    /// A data centre is cut off from the platform only.
    CutPlatform,
    /// Entry VMs of one data centre do not hear each other.
    CutPeers,
    /// A worker dies and comes back empty.
    KillWorker,
    /// Half of the workers of a data centre can't be reached but run on.
    CutWorkers,
    /// A worker is announced to leave.
    LeavingWorker,
}

/// Every kind.
pub const ALL: [Fault; 12] = [
    Fault::KillEntry,
    Fault::PauseEntry,
    Fault::PlannedStop,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::LostAnswers,
    Fault::CutDataCentre,
    Fault::CutPlatform,
    Fault::CutPeers,
    Fault::KillWorker,
    Fault::CutWorkers,
    Fault::LeavingWorker,
];

/// Time after which the platform replaces a dead entry VM, in ms.
const REPLACE_MS: u64 = 8_000;

impl Schedule {
    pub(crate) fn change_faults(&mut self) {
        for fault in self.faults.clone() {
            match self.now_ms {
                FAULT_MS => self.begin(fault),
                HEAL_MS => self.end(fault),
                _ => {}
            }
        }
    }

    /// The entry VM that owns the first data centre, or the first one.
    fn owner(&self) -> usize {
        let owns = |at: &usize| self.slots[*at].node.as_ref().is_some_and(|n| n.is_owner());
        self.first_place().into_iter().find(owns).unwrap_or(0)
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::KillEntry => {
                let at = self.owner();
                self.slots[at].node = None;
                self.slots[at].incarnation += 1;
                self.at(REPLACE_MS, Coming::Replace(at));
            }
            Fault::PauseEntry => {
                let at = self.owner();
                self.slots[at].paused = true;
            }
            Fault::PlannedStop => {
                let at = self.owner();
                self.step(at, control::Event::Shutdown);
            }
            Fault::StoreDown => self.store_down = true,
            Fault::StoreSlow => self.store_slow = true,
            Fault::LostAnswers => self.lose_answers = true,
            Fault::CutDataCentre => {
                self.cut_first_place(true);
                self.cut_first_platform(true);
            }
            Fault::CutPlatform => self.cut_first_platform(true),
            Fault::CutPeers => {
                self.cuts.insert((0, 1));
                self.cuts.insert((1, 0));
            }
            Fault::KillWorker => {
                self.worker_cut[0] = true;
                self.workers[0].kill();
                self.record_worker(0);
            }
            Fault::CutWorkers => (1..3).for_each(|at| self.worker_cut[at] = true),
            Fault::LeavingWorker => {
                self.listing.version += 1;
                self.listing.vms[3].life = Life::Leaving;
                self.workers[3].announce_leaving();
                let name = self.listing.vms[3].name.clone();
                // The list itself lags; the grace counts from its change.
                self.ledger.record_leaving(&name, self.now_ms);
            }
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::PauseEntry => {
                for at in 0..self.slots.len() {
                    self.resume(at);
                }
            }
            Fault::StoreDown => self.store_down = false,
            Fault::StoreSlow => self.store_slow = false,
            Fault::LostAnswers => self.lose_answers = false,
            Fault::CutDataCentre => {
                self.cut_first_place(false);
                self.cut_first_platform(false);
            }
            Fault::CutPlatform => self.cut_first_platform(false),
            Fault::CutPeers => {
                self.cuts.remove(&(0, 1));
                self.cuts.remove(&(1, 0));
            }
            Fault::KillWorker => self.worker_cut[0] = false,
            Fault::CutWorkers => (1..3).for_each(|at| self.worker_cut[at] = false),
            Fault::KillEntry | Fault::PlannedStop | Fault::LeavingWorker => {}
        }
    }

    fn resume(&mut self, at: usize) {
        if !std::mem::take(&mut self.slots[at].paused) {
            return;
        }
        for event in std::mem::take(&mut self.slots[at].held) {
            self.step(at, event);
        }
    }

    fn cut_first_place(&mut self, cut: bool) {
        let inside = self.first_place();
        for a in 0..self.slots.len() {
            for b in 0..self.slots.len() {
                if inside.contains(&a) != inside.contains(&b) {
                    match cut {
                        true => self.cuts.insert((a, b)),
                        false => self.cuts.remove(&(a, b)),
                    };
                }
            }
        }
    }

    fn cut_first_platform(&mut self, cut: bool) {
        for at in self.first_place() {
            self.slots[at].cut_platform = cut;
        }
    }
}
