//! Injection of faults.
//!
//! Invariant: the end of a fault reverts its effects, except that
//! servers lost to [`Fault::LostServers`] and the change history dropped by
//! [`Fault::StoreForgets`] are not restored.

use std::time::Duration;

use sched::{Event, OfferResponse};

use crate::graphs::faults::Fault;
use crate::graphs::world::{
    Action, CALL_TIMEOUT, CLIENT_POLL_PERIOD, CONTACT_TIME, ClientCall, FAULT_SETTLE_TIME,
    FULL_CAPACITY, NETWORK_LATENCY, REGISTRY_LAG, STORE_SETTLE_TIME, Simulation, VM_COUNT, listing,
};

/// Index of the backend server that crashes by [`Fault::VanishedServer`].
const VANISHED_SERVER: usize = 8;
/// Time from the beginning of a [`Fault::VanishedServer`] until the owner is killed.
const KILL_DELAY: Duration = Duration::from_millis(500);
/// Time without a heartbeat after which a registry entry is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Number of losses of power in a [`Fault::PowerLosses`], the interval between them,
/// and how long each lasts.
const POWER_LOSSES: u32 = 3;
const POWER_LOSS_INTERVAL: Duration = Duration::from_millis(2_500);
const POWER_LOSS_TIME: Duration = Duration::from_millis(1_200);
/// Factor by which capacities shrink in a [`Fault::Resizes`].
const SHRINK_DIVISOR: u32 = 8;

impl Simulation {
    pub(super) fn owner_or_random_vm(&mut self) -> usize {
        let owner = (0..VM_COUNT).find(|vm| self.vms[*vm].up && self.vms[*vm].node.is_owner());
        owner.unwrap_or_else(|| self.rng.usize(0..VM_COUNT))
    }

    pub(super) fn begin_fault(&mut self, fault: Fault) {
        if self.trace {
            println!("{:?} fault begins: {fault:?}", self.now);
        }
        self.faults.push(fault);
        self.faults_settled_at = self
            .faults_settled_at
            .max(self.now + fault.duration() + FAULT_SETTLE_TIME);
        let calm_at = self.now + fault.duration() + CONTACT_TIME;
        self.calm_at = self.calm_at.max(calm_at);
        if !fault.is_planned() {
            self.undisturbed_at = self.undisturbed_at.max(calm_at);
            let since = self.now.saturating_sub(CONTACT_TIME);
            self.checker.forget_listed_ends(since);
        }
        if fault.affects_store() {
            let until = self.now + fault.duration() + STORE_SETTLE_TIME;
            self.store_settled_at = self.store_settled_at.max(until);
        }
        match fault {
            Fault::KillOwner => {
                self.faulted_vm = self.owner_or_random_vm();
                self.kill_vm(self.faulted_vm);
            }
            Fault::KillAll => (0..VM_COUNT).for_each(|vm| self.kill_vm(vm)),
            Fault::FreezeOwner => {
                self.faulted_vm = self.owner_or_random_vm();
                self.vms[self.faulted_vm].suspended = true;
            }
            Fault::StopOwner => {
                self.faulted_vm = self.owner_or_random_vm();
                self.vms[self.faulted_vm].stopping = true;
                let process = self.vms[self.faulted_vm].process;
                self.deliver_after(self.faulted_vm, process, NETWORK_LATENCY, Event::Shutdown);
            }
            Fault::StoreShutsOwnerOut | Fault::CutDataCentre => {
                self.faulted_vm = self.owner_or_random_vm()
            }
            Fault::StoreForgets => self.store.drop_history(),
            Fault::CrashServers => self.crash_servers(&[2, 5]),
            Fault::LostServers => self.crash_servers(&[4, 7]),
            Fault::GreyServers => {
                self.servers[1].fails_runs = true;
            }
            Fault::LeavingServers => self.drain_servers(),
            Fault::LongRecovery => {
                self.replaced_vm = self.owner_or_random_vm();
                self.long_recovery_at = self.now;
            }
            Fault::VanishedServer => {
                self.crash_servers(&[VANISHED_SERVER]);
                let kill_at = self.now + KILL_DELAY;
                self.schedule_at(kill_at, Action::KillOwner);
            }
            Fault::LapsedEntries => {
                self.schedule_at(self.now + ENTRY_TIMEOUT, Action::LapseEntries);
            }
            Fault::HastyLeavers => self.drain_servers(),
            Fault::OutlivingOrders => {
                let crash_at = self.now + Duration::from_millis(400);
                let down_for = Duration::from_millis(self.rng.u64(500..5_500));
                self.outlived_crash = crash_at..crash_at + down_for;
                for server in [2, 5] {
                    self.schedule_at(crash_at, Action::CrashServer(server));
                    self.schedule_at(crash_at + down_for, Action::RestartServer(server));
                }
            }
            Fault::PowerLosses => {
                for n in 0..POWER_LOSSES {
                    let crash_at = self.now + POWER_LOSS_INTERVAL * n;
                    for server in (1..self.servers.len()).step_by(3) {
                        self.schedule_at(crash_at, Action::CrashServer(server));
                        let restart_at = crash_at + POWER_LOSS_TIME;
                        self.schedule_at(restart_at, Action::RestartServer(server));
                    }
                }
            }
            Fault::Resizes => {
                let shrunk = FULL_CAPACITY.divided_by(SHRINK_DIVISOR);
                let steps = [(0, shrunk), (3_000, FULL_CAPACITY), (4_000, shrunk)];
                for (after, capacity) in steps {
                    let at = self.now + Duration::from_millis(after);
                    for server in (0..self.servers.len()).step_by(3) {
                        self.schedule_at(at, Action::Resize(server, capacity));
                    }
                }
            }
            Fault::CrashingTasks
            | Fault::StoreDown
            | Fault::StoreLost
            | Fault::CutServers
            | Fault::LateOrders
            | Fault::SilentPartitions => {}
        }
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        if self.trace {
            println!("{:?} fault ends: {fault:?}", self.now);
        }
        self.faults.retain(|other| *other != fault);
        match fault {
            Fault::KillOwner | Fault::KillAll | Fault::StopOwner | Fault::VanishedServer => {
                self.restart_stopped_vms();
            }
            Fault::LapsedEntries => {
                for server in (0..self.servers.len()).step_by(3) {
                    self.servers[server].registered = self.servers[server].up;
                    let publish_at = self.now + REGISTRY_LAG;
                    self.schedule_at(publish_at, Action::PublishServer(server));
                }
            }
            Fault::Resizes => {
                for server in (0..self.servers.len()).step_by(3) {
                    self.execute_action(Action::Resize(server, FULL_CAPACITY));
                }
            }
            Fault::FreezeOwner => self.vms.iter_mut().for_each(|vm| vm.suspended = false),
            Fault::GreyServers => self.servers[1].fails_runs = false,
            Fault::CrashServers | Fault::LeavingServers | Fault::HastyLeavers => {
                for server in [2, 5] {
                    self.servers[server].restart(self.now);
                    self.schedule_at(self.now + REGISTRY_LAG, Action::PublishServer(server));
                }
            }
            _ => {}
        }
        self.wake_waiters();
    }

    pub(super) fn kill_vm(&mut self, vm: usize) {
        let entry = &mut self.vms[vm];
        entry.up = false;
        entry.process += 1;
        for (_, call) in std::mem::take(&mut entry.client_calls) {
            let retry = match call {
                // The next request is already scheduled.
                ClientCall::Pending(_) => continue,
                ClientCall::Submit(id) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.submission_unknown = true;
                    }
                    ClientCall::Submit(id)
                }
                other => other,
            };
            self.schedule_at(self.now + CLIENT_POLL_PERIOD, Action::SendCall(retry));
        }
        let offers = std::mem::take(&mut self.vms[vm].pending_offers);
        for helper in offers.into_values() {
            let process = self.vms[helper].process;
            self.deliver_after(
                helper,
                process,
                CALL_TIMEOUT,
                Event::OfferAnswered(OfferResponse::Lost),
            );
        }
    }

    pub(super) fn restart_stopped_vms(&mut self) {
        for vm in 0..VM_COUNT {
            let stopped = !self.vms[vm].up || self.vms[vm].stopping;
            if stopped {
                self.kill_vm(vm);
                let process = self.vms[vm].process;
                self.vms[vm] = self.boot_vm(vm, process);
                self.start_process(vm);
            }
        }
    }

    pub(super) fn crash_servers(&mut self, servers: &[usize]) {
        for &server in servers {
            self.servers[server].up = false;
            self.servers[server].active_runs.clear();
            self.servers[server].registered = false;
            let removal_time = self.now + Duration::from_millis(1_500);
            self.schedule_at(removal_time, Action::PublishServer(server));
        }
    }

    /// Removes the registry entries of the backend servers that are cut off.
    pub(super) fn lapse_entries(&mut self) {
        for server in (0..self.servers.len()).step_by(3) {
            self.servers[server].registered = false;
            self.publish_server(server);
        }
    }

    pub(super) fn drain_servers(&mut self) {
        for server in [2, 5] {
            self.servers[server].draining = true;
            self.schedule_at(self.now + REGISTRY_LAG, Action::PublishServer(server));
        }
    }

    /// Sends the registry entry of a backend server, or its removal, to the VMs
    /// that follow the registry.
    pub(super) fn publish_server(&mut self, server: usize) {
        let entry = &self.servers[server];
        let event = match entry.up && entry.registered {
            true => Event::ServerListed(listing(entry)),
            false => Event::ServerUnlisted(entry.id.clone()),
        };
        if (0..VM_COUNT).any(|vm| self.reaches_store(vm)) {
            self.servers[server].capacity_published(self.now);
        }
        let mut missed = false;
        for vm in 0..VM_COUNT {
            match self.vms[vm].follows_registry {
                true if self.reaches_store(vm) => {
                    let process = self.vms[vm].process;
                    self.deliver_after(vm, process, NETWORK_LATENCY, event.clone());
                }
                follows => missed |= follows,
            }
        }
        self.servers[server].change_missed = missed;
        // A VM that can't reach the table service reads the change once it can.
        if missed {
            self.schedule_at(self.now + CALL_TIMEOUT, Action::PublishServer(server));
        }
    }
}
