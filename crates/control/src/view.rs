//! What an owner publishes of its data centre.
//!
//! Invariant: nothing is published by a node that is not the owner.

use model::{Name, Resources};
use policy::TeamId;
use wire::DataCentreLoad;

use crate::calls::Backend;
use crate::event::TeamUse;
use crate::node::Node;
use crate::owner::Owner;

impl Owner {
    /// Workers as the owner sees them.
    pub(crate) fn view(&self) -> Vec<crate::event::Backend> {
        if !self.is_active() {
            return Vec::new();
        }
        let view = |w: &Backend| crate::event::Backend {
            name: w.name.clone(),
            free: self.engine.free(w.id),
            running: self.engine.tasks_on(w.id) as u32,
            reachable: w.misses == 0,
        };
        self.workers.iter().map(view).collect()
    }
}

impl Node {
    /// The published load of this node's data centre, when it is the owner.
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

    pub(crate) fn team_view(&self) -> Vec<TeamUse> {
        if !self.owner.is_active() {
            return Vec::new();
        }
        let view = |(at, name): (usize, &Name)| {
            let id = at as TeamId;
            let slots = self.dispatcher.held_by(name);
            let allotment = self.allotment_of(name);
            TeamUse {
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
        self.owner.teams.iter().enumerate().map(view).collect()
    }
}
