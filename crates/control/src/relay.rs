//! Choice of the data centre that a request or job goes to.
//!
//! Invariant: an owner is chosen only while it is heard and not leaving.

use model::{Name, Resources};
use wire::{DataCentreLoad, ServiceLoad};

use crate::node::Node;

impl Node {
    /// Published loads of all data centres with a live owner.
    pub(crate) fn loads(&self) -> Vec<DataCentreLoad> {
        let peers = self.members.list.iter().filter(|m| m.alive);
        let mut loads: Vec<DataCentreLoad> = peers.flat_map(|m| m.loads.iter().cloned()).collect();
        loads.extend(self.own_load());
        loads.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
        loads
    }

    /// The live owner of a data centre with the highest epoch.
    pub(crate) fn owner_of(&self, data_centre: &Name) -> Option<Name> {
        if self.owner.is_active() && self.owner.data_centre == *data_centre {
            return Some(self.settings.identity.name.clone());
        }
        let mut best: Option<(u64, &Name)> = None;
        for member in self.members.list.iter().filter(|m| m.alive && !m.leaving) {
            let load = member.loads.iter().find(|l| l.data_centre == *data_centre);
            match load {
                Some(load) if best.is_none_or(|(e, _)| load.epoch > e) => {
                    best = Some((load.epoch, &member.identity.name));
                }
                _ => {}
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Position of a data centre in a team's order of preference. A team with
    /// a limit gathers in few data centres, so that its allotments seldom have
    /// to move; the order is the same at every entry VM.
    fn preference(&self, team: &Name, data_centre: &Name) -> Option<usize> {
        self.configuration.config.teams.get(team)?.limit?;
        let all = &self.settings.data_centres;
        let first = team.bytes().map(usize::from).sum::<usize>() % all.len();
        let at = all.iter().position(|d| d == data_centre)?;
        Some((at + all.len() - first) % all.len())
    }

    /// Data centre and owner for a request, not among `tried`: the preferred
    /// one, or this one, while slots are free, else the better of two drawn at
    /// random.
    pub(crate) fn choose_target(
        &mut self,
        team: &Name,
        service: &Name,
        tried: &[Name],
    ) -> Option<(Name, Name)> {
        let here = self.owner.data_centre.clone();
        let mut options: Vec<(Name, Name, i64)> = Vec::new();
        for data_centre in &self.settings.data_centres {
            if tried.contains(data_centre) {
                continue;
            }
            let Some(owner) = self.owner_of(data_centre) else {
                continue;
            };
            if let Some(load) = self.service_load(data_centre, &owner, service) {
                let spare = i64::from(load.free) - i64::from(load.waiting);
                options.push((data_centre.clone(), owner, spare));
            }
        }
        let spare = options.iter().filter(|o| o.2 > 0);
        let rank = |o: &&(Name, Name, i64)| (self.preference(team, &o.0), o.0 != here);
        let best = spare.min_by_key(rank);
        if let Some(best) = best.filter(|o| rank(o).0.is_some() || o.0 == here) {
            return Some((best.0.clone(), best.1.clone()));
        }
        if options.is_empty() {
            return None;
        }
        let first = self.rng.usize(..options.len());
        let second = self.rng.usize(..options.len());
        let better = if options[first].2 >= options[second].2 {
            first
        } else {
            second
        };
        let (data_centre, owner, _) = options.swap_remove(better);
        Some((data_centre, owner))
    }

    fn service_load(
        &self,
        data_centre: &Name,
        owner: &Name,
        service: &Name,
    ) -> Option<ServiceLoad> {
        if *owner == self.settings.identity.name {
            return self.dispatcher.load_of(service);
        }
        let loads = &self.members.get(owner)?.loads;
        let load = loads.iter().find(|l| l.data_centre == *data_centre)?;
        load.services
            .iter()
            .find(|s| s.service == *service)
            .cloned()
    }

    /// Data centre for a job: where most of it fits now relative to what
    /// waits there already; `None` when no known worker is large enough.
    pub(crate) fn choose_home(
        &mut self,
        team: &Name,
        each: &Resources,
        tasks: u32,
    ) -> Option<Name> {
        let mut best: Option<(f64, Name)> = None;
        for load in self.loads() {
            if !each.fits(&load.largest) {
                continue;
            }
            let need = each.times(tasks).dominant_share(&load.total);
            let busy = 1.0 - least_free(&load, each);
            let queued = f64::from(load.waiting_tasks) * each.dominant_share(&load.total);
            // Jitter keeps the entry VMs from all choosing the same one.
            let far = self.preference(team, &load.data_centre).unwrap_or(0);
            let score = busy + need + queued + 0.1 * self.rng.f64() + far as f64;
            if best.as_ref().is_none_or(|(b, _)| score < *b) {
                best = Some((score, load.data_centre.clone()));
            }
        }
        best.map(|(_, name)| name)
    }
}

/// Smallest free fraction among the resources that `each` needs.
fn least_free(load: &DataCentreLoad, each: &Resources) -> f64 {
    let (free, total, need) = (load.free.dims(), load.total.dims(), each.dims());
    let mut least = 1.0_f64;
    for i in 0..Resources::DIMENSIONS {
        if need[i] > 0 && total[i] > 0 {
            least = least.min(f64::from(free[i]) / f64::from(total[i]));
        }
    }
    least
}
