//! Faults of a schedule; each begins and ends at a fixed time.
//!
//! Invariant: after `HEAL_MS` nothing is cut, down, lost or paused.

use model::Life;

use crate::schedule::{FAULT_END_MS, FAULT_START_MS, ScheduledEvent, Simulation};

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
pub const ALL_FAULTS: [Fault; 12] = [
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
const ENTRY_REPLACEMENT_DELAY_MS: u64 = 8_000;

impl Simulation {
    pub(crate) fn update_faults(&mut self) {
        for fault in self.faults.clone() {
            match self.now_ms {
                FAULT_START_MS => self.inject(fault),
                FAULT_END_MS => self.clear(fault),
                _ => {}
            }
        }
    }

    /// The entry VM that owns the first data centre, or the first one.
    fn first_owner(&self) -> usize {
        let owns = |at: &usize| {
            self.entry_vms[*at]
                .node
                .as_ref()
                .is_some_and(|n| n.is_owner())
        };
        self.first_data_centre().into_iter().find(owns).unwrap_or(0)
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillEntry => {
                let at = self.first_owner();
                self.entry_vms[at].node = None;
                self.entry_vms[at].incarnation += 1;
                self.schedule_after(ENTRY_REPLACEMENT_DELAY_MS, ScheduledEvent::Replace(at));
            }
            Fault::PauseEntry => {
                let at = self.first_owner();
                self.entry_vms[at].paused = true;
            }
            Fault::PlannedStop => {
                let at = self.first_owner();
                self.step(at, control::Event::Shutdown);
            }
            Fault::StoreDown => self.store_down = true,
            Fault::StoreSlow => self.store_slow = true,
            Fault::LostAnswers => self.drop_responses = true,
            Fault::CutDataCentre => {
                self.partition_first_data_centre(true);
                self.partition_first_platform(true);
            }
            Fault::CutPlatform => self.partition_first_platform(true),
            Fault::CutPeers => {
                self.blocked_links.insert((0, 1));
                self.blocked_links.insert((1, 0));
            }
            Fault::KillWorker => {
                self.worker_unreachable[0] = true;
                self.workers[0].kill();
                self.record_worker(0);
            }
            Fault::CutWorkers => (1..3).for_each(|at| self.worker_unreachable[at] = true),
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

    fn clear(&mut self, fault: Fault) {
        match fault {
            Fault::PauseEntry => {
                for at in 0..self.entry_vms.len() {
                    self.resume(at);
                }
            }
            Fault::StoreDown => self.store_down = false,
            Fault::StoreSlow => self.store_slow = false,
            Fault::LostAnswers => self.drop_responses = false,
            Fault::CutDataCentre => {
                self.partition_first_data_centre(false);
                self.partition_first_platform(false);
            }
            Fault::CutPlatform => self.partition_first_platform(false),
            Fault::CutPeers => {
                self.blocked_links.remove(&(0, 1));
                self.blocked_links.remove(&(1, 0));
            }
            Fault::KillWorker => self.worker_unreachable[0] = false,
            Fault::CutWorkers => (1..3).for_each(|at| self.worker_unreachable[at] = false),
            Fault::KillEntry | Fault::PlannedStop | Fault::LeavingWorker => {}
        }
    }

    fn resume(&mut self, at: usize) {
        if !std::mem::take(&mut self.entry_vms[at].paused) {
            return;
        }
        for event in std::mem::take(&mut self.entry_vms[at].deferred_events) {
            self.step(at, event);
        }
    }

    fn partition_first_data_centre(&mut self, partitioned: bool) {
        let inside = self.first_data_centre();
        for a in 0..self.entry_vms.len() {
            for b in 0..self.entry_vms.len() {
                if inside.contains(&a) != inside.contains(&b) {
                    match partitioned {
                        true => self.blocked_links.insert((a, b)),
                        false => self.blocked_links.remove(&(a, b)),
                    };
                }
            }
        }
    }

    fn partition_first_platform(&mut self, partitioned: bool) {
        for at in self.first_data_centre() {
            self.entry_vms[at].platform_unreachable = partitioned;
        }
    }
}
