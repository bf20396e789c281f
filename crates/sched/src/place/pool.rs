//! Backend servers that a placement pass may use, and the resources left there.
//!
//! Invariant: a pool lists only backend servers that accept new work.

use std::collections::{HashMap, HashSet};

use model::{Name, Resources};
use policy::fit::Candidate;
use policy::shortage::{Need, Shortages};

use crate::fleet::ServerIx;
use crate::owner::{Cx, Owner};

/// Backend servers of one service that accept work, with the resources left in
/// this pass.
#[derive(Default)]
pub(crate) struct ServerPool {
    /// In ascending order of index.
    pub(crate) candidates: Vec<(ServerIx, Candidate)>,
    /// Backend servers that only suspects may use.
    pub(crate) withheld: HashSet<ServerIx>,
    /// Number of backend servers withheld for blocked gangs.
    pub(super) reserved_servers: usize,
    /// What found no room in this pass.
    pub(super) shortages: Shortages,
    /// Number of backend servers examined for steps that can't start yet.
    pub(super) examined: usize,
}

impl ServerPool {
    pub(crate) fn find(&self, ix: ServerIx) -> Option<&Candidate> {
        let found = self.candidates.binary_search_by_key(&ix, |(ix, _)| *ix);
        found.ok().map(|at| &self.candidates[at].1)
    }

    fn find_mut(&mut self, ix: ServerIx) -> Option<&mut Candidate> {
        let found = self.candidates.binary_search_by_key(&ix, |(ix, _)| *ix);
        found.ok().map(|at| &mut self.candidates[at].1)
    }

    pub(super) fn allocate(&mut self, ix: ServerIx, each: Resources) {
        if let Some(candidate) = self.find_mut(ix) {
            candidate.free = match candidate.on_probation {
                true => Resources::ZERO,
                false => candidate.free.minus(each),
            };
        }
    }
}

/// Server pools of one pass, by service.
pub(crate) type ServerPools = HashMap<Name, ServerPool>;

impl Owner {
    pub(crate) fn server_pools(&self, cx: &Cx<'_>) -> ServerPools {
        let timing = &cx.settings.timing;
        let mut pools = ServerPools::new();
        let with_orphans: HashSet<ServerIx> = self.orphan_runs.keys().map(|(ix, _)| *ix).collect();
        for ix in self.fleet.live() {
            let server = self.fleet.get(ix);
            let available = !with_orphans.contains(&ix)
                && !self.is_in_probation(ix, cx.now())
                && self.may_start_in_data_centre(ix, cx);
            if available && server.accepts_work(timing, cx.now()) {
                let service = server.listing.service.clone();
                let pool = pools.entry(service).or_default();
                pool.candidates.push((ix, self.candidate(ix, cx.now())));
                if cx.now() < server.withheld_until {
                    pool.withheld.insert(ix);
                }
            }
        }
        pools
    }

    /// Notes what a service is short of, if it has no room for a need of a step.
    pub(super) fn note_shortage(&self, need: &Need, pool: &mut ServerPool) {
        let has_label = |ix: ServerIx| {
            let labels = &self.fleet.get(ix).listing.labels;
            need.label.as_ref().is_none_or(|l| labels.contains(l))
        };
        let candidates = pool.candidates.iter();
        let free = candidates.map(|(ix, candidate)| (candidate.free, has_label(*ix)));
        pool.shortages.examine(need, free);
    }
}
