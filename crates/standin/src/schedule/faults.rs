//! Fault injection; faults are injected and cleared at fixed times.
//!
//! Invariant: after `FAULT_END_MS` nothing is partitioned, down or paused, and
//! no responses are dropped.

use model::VmLifecycle;

use crate::schedule::{FAULT_END_MS, FAULT_START_MS, ScheduledEvent, Simulation};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An entry VM is killed and is replaced after
    /// `ENTRY_REPLACEMENT_DELAY_MS`.
    KillEntry,
    /// An entry VM is paused and later resumed.
    PauseEntry,
    /// An entry VM is stopped gracefully and replaced.
    PlannedStop,
    /// The table service is unavailable.
    StoreDown,
    /// The table service responds slowly.
    StoreSlow,
    /// Responses of the table service and of workers are dropped after the call
    /// has taken effect.
    LostAnswers,
    /// A data centre is partitioned from the other one and from the platform.
    CutDataCentre,
    /// A data centre is partitioned from the platform only.
    CutPlatform,
    /// The entry VMs of one data centre are partitioned from each other.
    CutPeers,
    /// A worker crashes and returns with no state.
    KillWorker,
    /// Half of the workers of a data centre are unreachable but keep running
    /// their tasks.
    CutWorkers,
    /// A worker is announced to leave.
    LeavingWorker,
}

/// All kinds of faults. Tests refer to them by index when they reproduce a run.
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

/// Time after which the platform replaces a killed entry VM, in ms.
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

    /// Entry VM that owns the first data centre, or entry VM 0 if none does.
    fn first_owner(&self) -> usize {
        let owns = |index: &usize| {
            self.entry_vms[*index]
                .node
                .as_ref()
                .is_some_and(|n| n.is_owner())
        };
        self.first_data_centre().into_iter().find(owns).unwrap_or(0)
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillEntry => {
                let index = self.first_owner();
                self.kill_entry_vm(index);
            }
            Fault::PauseEntry => {
                let index = self.first_owner();
                self.entry_vms[index].paused = true;
            }
            Fault::PlannedStop => {
                let index = self.first_owner();
                self.step(index, control::Event::Shutdown);
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
            Fault::CutWorkers => (1..3).for_each(|index| self.worker_unreachable[index] = true),
            Fault::LeavingWorker => {
                self.listing.version += 1;
                self.listing.vms[3].life = VmLifecycle::Leaving;
                self.workers[3].announce_leaving();
                let name = self.listing.vms[3].name.clone();
                // Nodes receive the new list with a delay; the grace period
                // starts when the list changes.
                self.ledger.record_leaving(&name, self.now_ms);
            }
        }
    }

    /// Kills the process on an entry VM; the platform replaces the VM later.
    pub(crate) fn kill_entry_vm(&mut self, index: usize) {
        self.entry_vm_killed = true;
        self.entry_vms[index].node = None;
        self.entry_vms[index].incarnation += 1;
        self.schedule_after(ENTRY_REPLACEMENT_DELAY_MS, ScheduledEvent::Replace(index));
    }

    fn clear(&mut self, fault: Fault) {
        match fault {
            Fault::PauseEntry => {
                for index in 0..self.entry_vms.len() {
                    self.resume(index);
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
            Fault::CutWorkers => (1..3).for_each(|index| self.worker_unreachable[index] = false),
            Fault::KillEntry | Fault::PlannedStop | Fault::LeavingWorker => {}
        }
    }

    fn resume(&mut self, index: usize) {
        if !std::mem::take(&mut self.entry_vms[index].paused) {
            return;
        }
        for event in std::mem::take(&mut self.entry_vms[index].deferred_events) {
            self.step(index, event);
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
        for index in self.first_data_centre() {
            self.entry_vms[index].platform_unreachable = partitioned;
        }
    }
}
