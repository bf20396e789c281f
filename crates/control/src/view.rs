//! Worker, team and load information published by an owner.
//!
//! Invariant: a node that is not the owner publishes nothing.

use model::{Name, Resources};
use policy::TeamId;
use wire::DataCentreLoad;

use crate::calls::TrackedWorker;
use crate::event::TeamUsage;
use crate::node::Node;
use crate::owner::Owner;

impl Owner {
    /// Returns the status of all workers, or nothing if this node is not the
    /// owner.
    pub(crate) fn worker_statuses(&self) -> Vec<crate::event::WorkerStatus> {
        if !self.is_active() {
            return Vec::new();
        }
        let status = |w: &TrackedWorker| crate::event::WorkerStatus {
            name: w.name.clone(),
            free: self.engine.free(w.id),
            running: self.engine.tasks_on(w.id) as u32,
            reachable: w.failed_calls == 0,
        };
        self.workers.iter().map(status).collect()
    }
}

impl Owner {
    /// Returns the number of tasks with resources committed on any worker.
    pub(crate) fn running_tasks(&self) -> u32 {
        let running = self.workers.iter().map(|w| self.engine.tasks_on(w.id));
        running.sum::<usize>() as u32
    }
}

impl Node {
    /// Returns the load of this node's data centre, if this node is the owner.
    pub(crate) fn own_load(&self) -> Option<DataCentreLoad> {
        if !self.owner.is_active() {
            return None;
        }
        let mut load = DataCentreLoad {
            data_centre: self.owner.data_centre.clone(),
            epoch: self.owner.record.epoch,
            services: self.dispatcher.loads(),
            waiting_tasks: self.owner.engine.waiting_tasks(),
            ..DataCentreLoad::default()
        };
        for worker in self.owner.workers.iter().filter(|w| w.claimed) {
            load.total = load.total.plus(worker.capacity);
            load.free = load.free.plus(self.owner.engine.free(worker.id));
            load.largest = load.largest.max(worker.capacity);
        }
        Some(load)
    }

    /// Returns the usage of all teams, or nothing if this node is not the owner.
    pub(crate) fn team_usages(&self) -> Vec<TeamUsage> {
        if !self.owner.is_active() {
            return Vec::new();
        }
        let usage = |(index, name): (usize, &Name)| {
            let id = index as TeamId;
            let slots = self.dispatcher.slots_held_by(name);
            let allotment = self.allotment_of(name);
            TeamUsage {
                name: name.clone(),
                used: self
                    .owner
                    .engine
                    .used(id)
                    .plus(Resources::of(0, 0, 0, slots)),
                waiting: self.owner.engine.waiting_jobs(id),
                allotment: Some(allotment).filter(|a| *a != Resources::UNLIMITED),
            }
        };
        self.owner.teams.iter().enumerate().map(usage).collect()
    }
}
