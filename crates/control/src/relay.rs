//! Data centre selection for requests and jobs.
//!
//! Invariant: another node is selected as owner only while its heartbeats arrive
//! and it is not leaving.

use model::{Name, Resources};
use wire::{DataCentreLoad, ServiceLoad};

use crate::node::Node;

impl Node {
    /// Returns the published loads of all data centres with a live owner.
    pub(crate) fn loads(&self) -> Vec<DataCentreLoad> {
        let peers = self.members.list.iter().filter(|m| m.alive);
        let mut loads: Vec<DataCentreLoad> = peers.flat_map(|m| m.loads.iter().cloned()).collect();
        loads.extend(self.own_load());
        loads.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
        loads
    }

    /// Returns the loads of the data centres in which new work may start.
    pub(crate) fn open_loads(&self) -> Vec<DataCentreLoad> {
        let mut loads = self.loads();
        loads.retain(|load| !self.is_evacuated(&load.data_centre));
        loads
    }

    /// Returns the live owner of a data centre: this node, or else the live peer
    /// that publishes the highest epoch.
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

    /// Returns the position of a data centre in a team's order of preference, or
    /// `None` for a team without a limit. The order is the same on every entry
    /// VM and concentrates a limited team in few data centres, so that its
    /// allotments rarely need to be rebalanced.
    fn preference_rank(&self, team: &Name, data_centre: &Name) -> Option<usize> {
        self.configuration.config.teams.get(team)?.limit?;
        let all = &self.settings.data_centres;
        let first = team.bytes().map(usize::from).sum::<usize>() % all.len();
        let index = all.iter().position(|d| d == data_centre)?;
        Some((index + all.len() - first) % all.len())
    }

    /// Selects a data centre outside `tried` and its owner for a request. A team
    /// with a limit uses the first data centre in its order of preference that
    /// has spare slots; any other team uses this data centre if it has spare
    /// slots. Otherwise the better of two random candidates is selected.
    pub(crate) fn select_target(
        &mut self,
        team: &Name,
        service: &Name,
        tried: &[Name],
    ) -> Option<(Name, Name)> {
        let here = self.owner.data_centre.clone();
        let mut candidates: Vec<(Name, Name, i64)> = Vec::new();
        for data_centre in &self.settings.data_centres {
            if tried.contains(data_centre) || self.is_evacuated(data_centre) {
                continue;
            }
            let Some(owner) = self.owner_of(data_centre) else {
                continue;
            };
            if let Some(load) = self.service_load(data_centre, &owner, service) {
                let spare = i64::from(load.free) - i64::from(load.waiting);
                candidates.push((data_centre.clone(), owner, spare));
            }
        }
        let with_spare = candidates.iter().filter(|c| c.2 > 0);
        let rank = |c: &&(Name, Name, i64)| (self.preference_rank(team, &c.0), c.0 != here);
        let best = with_spare.min_by_key(rank);
        if let Some(best) = best.filter(|c| rank(c).0.is_some() || c.0 == here) {
            return Some((best.0.clone(), best.1.clone()));
        }
        if candidates.is_empty() {
            return None;
        }
        let first = self.rng.usize(..candidates.len());
        let second = self.rng.usize(..candidates.len());
        let chosen = if candidates[first].2 >= candidates[second].2 {
            first
        } else {
            second
        };
        let (data_centre, owner, _) = candidates.swap_remove(chosen);
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

    /// Selects the data centre for a job by the lowest sum of current usage, the
    /// job's share of capacity, the queue length and the team's preference.
    /// Returns `None` if no known worker is large enough for one task.
    pub(crate) fn select_home(
        &mut self,
        team: &Name,
        each: &Resources,
        tasks: u32,
    ) -> Option<Name> {
        let mut best: Option<(f64, Name)> = None;
        for load in self.open_loads() {
            if !each.fits(&load.largest) {
                continue;
            }
            let need = each.times(tasks).dominant_share(&load.total);
            let usage = 1.0 - min_free_fraction(&load, each);
            let queued = f64::from(load.waiting_tasks) * each.dominant_share(&load.total);
            // Jitter prevents all entry VMs from selecting the same data centre.
            let distance = self.preference_rank(team, &load.data_centre).unwrap_or(0);
            let score = usage + need + queued + 0.1 * self.rng.f64() + distance as f64;
            if best.as_ref().is_none_or(|(b, _)| score < *b) {
                best = Some((score, load.data_centre.clone()));
            }
        }
        best.map(|(_, name)| name)
    }
}

/// Returns the smallest free fraction among the resources that `each` requires.
fn min_free_fraction(load: &DataCentreLoad, each: &Resources) -> f64 {
    let (free, total, need) = (load.free.dims(), load.total.dims(), each.dims());
    let mut least = 1.0_f64;
    for i in 0..Resources::DIMENSIONS {
        if need[i] > 0 && total[i] > 0 {
            least = least.min(f64::from(free[i]) / f64::from(total[i]));
        }
    }
    least
}
