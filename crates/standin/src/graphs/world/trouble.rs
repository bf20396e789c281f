//! Beginning and ending faults.
//!
//! Invariant: what a fault took away is given back when it ends.

use std::time::Duration;

use sched::{Event, OfferResponse};

use crate::graphs::faults::Fault;
use crate::graphs::world::{
    ASK_PERIOD, Action, CALM_AFTER, CONTACT, Call, HOP, REGISTRY_LAG, TIMEOUT, VMS, World, listing,
};

impl World {
    pub(super) fn owner(&mut self) -> usize {
        let owner = (0..VMS).find(|vm| self.vms[*vm].up && self.vms[*vm].node.is_owner());
        owner.unwrap_or_else(|| self.rng.usize(0..VMS))
    }

    pub(super) fn begin(&mut self, fault: Fault) {
        if self.trace {
            println!("{:?} begins {fault:?}", self.now);
        }
        self.faults.push(fault);
        self.calm_from = self.calm_from.max(self.now + fault.lasts() + CALM_AFTER);
        if fault.harms_store() {
            let until = self.now + fault.lasts() + CONTACT;
            self.out_of_touch_until = self.out_of_touch_until.max(until);
        }
        match fault {
            Fault::KillOwner => {
                self.struck = self.owner();
                self.kill(self.struck);
            }
            Fault::KillAll => (0..VMS).for_each(|vm| self.kill(vm)),
            Fault::FreezeOwner => {
                self.struck = self.owner();
                self.vms[self.struck].frozen = true;
            }
            Fault::StopOwner => {
                self.struck = self.owner();
                self.vms[self.struck].stopping = true;
                let process = self.vms[self.struck].process;
                self.later(self.struck, process, HOP, Event::Shutdown);
            }
            Fault::StoreShutsOwnerOut | Fault::CutDataCentre => self.struck = self.owner(),
            Fault::StoreForgets => self.store.forget_history(),
            Fault::CrashServers => self.crash(&[2, 5]),
            Fault::LostServers => self.crash(&[4, 7]),
            Fault::GreyServers => {
                self.servers[1].grey = true;
            }
            Fault::LeavingServers => self.drain(),
            Fault::StoreDown | Fault::StoreLost | Fault::CutServers | Fault::LateOrders => {}
        }
    }

    pub(super) fn end(&mut self, fault: Fault) {
        if self.trace {
            println!("{:?} ends {fault:?}", self.now);
        }
        self.faults.retain(|other| *other != fault);
        match fault {
            Fault::KillOwner | Fault::KillAll | Fault::StopOwner => self.restart_all(),
            Fault::FreezeOwner => self.vms.iter_mut().for_each(|vm| vm.frozen = false),
            Fault::GreyServers => self.servers[1].grey = false,
            Fault::CrashServers | Fault::LeavingServers => {
                for server in [2, 5] {
                    self.servers[server].restart(self.now);
                    self.at(self.now + REGISTRY_LAG, Action::Registry(server));
                }
            }
            _ => {}
        }
        self.wake_waiters();
    }

    pub(super) fn kill(&mut self, vm: usize) {
        let entry = &mut self.vms[vm];
        entry.up = false;
        entry.process += 1;
        for (_, call) in std::mem::take(&mut entry.callers) {
            let again = match call {
                // Asked again by itself.
                Call::Pending(_) => continue,
                Call::Submit(id) => {
                    if let Some(client) = self.clients.get_mut(&id) {
                        client.asked_unknown = true;
                    }
                    Call::Submit(id)
                }
                other => other,
            };
            self.at(self.now + ASK_PERIOD, Action::Send(again));
        }
        let offers = std::mem::take(&mut self.vms[vm].offers);
        for helper in offers.into_values() {
            let process = self.vms[helper].process;
            self.later(
                helper,
                process,
                TIMEOUT,
                Event::OfferAnswered(OfferResponse::Lost),
            );
        }
    }

    pub(super) fn restart_all(&mut self) {
        for vm in 0..VMS {
            let dead = !self.vms[vm].up || self.vms[vm].stopping;
            if dead {
                self.kill(vm);
                let process = self.vms[vm].process;
                self.vms[vm] = self.boot(vm, process);
                self.begin_process(vm);
            }
        }
    }

    pub(super) fn crash(&mut self, servers: &[usize]) {
        for &server in servers {
            self.servers[server].up = false;
            self.servers[server].live.clear();
            self.servers[server].listed = false;
            let gone = self.now + Duration::from_millis(1_500);
            self.at(gone, Action::Registry(server));
        }
    }

    pub(super) fn drain(&mut self) {
        for server in [2, 5] {
            self.servers[server].draining = true;
            self.at(self.now + REGISTRY_LAG, Action::Registry(server));
        }
    }

    /// Tells whoever follows the registry about a backend server.
    pub(super) fn publish(&mut self, server: usize) {
        let entry = &self.servers[server];
        let event = match entry.up && entry.listed {
            true => Event::ServerListed(listing(entry)),
            false => Event::ServerUnlisted(entry.id.clone()),
        };
        for vm in 0..VMS {
            if self.vms[vm].watches && self.reaches_store(vm) {
                let process = self.vms[vm].process;
                self.later(vm, process, HOP, event.clone());
            }
        }
    }
}
