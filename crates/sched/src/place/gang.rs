//! Backend servers that are withheld from lower-ranked steps until a gang fits.

use std::cmp::Reverse;

use model::{Resources, Step};
use policy::fit::Candidate;

use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::owner::Owner;
use crate::place::RESERVED_DIVISOR;
use crate::place::pool::ServerPool;

impl Owner {
    /// Withholds the backend servers with the most free resources from
    /// lower-ranked steps, until a gang of `count` tasks would fit on them.
    pub(super) fn reserve_for_gang(
        &self,
        step: StepRef,
        spec: &Step,
        count: usize,
        pool: &mut ServerPool,
    ) {
        let max_reserved = pool.candidates.len() / RESERVED_DIVISOR;
        let each = spec.committed();
        let capable = pool.candidates.iter().filter(|(ix, candidate)| {
            let is_eligible = !candidate.last_resort && self.is_eligible(step, spec, *ix);
            is_eligible && each.fits(&candidate.capacity)
        });
        let mut capable: Vec<(ServerIx, Candidate)> = capable.copied().collect();
        capable.sort_by_key(|(ix, candidate)| {
            let free = (candidate.free.accelerators, candidate.free.millicpus);
            (Reverse(free), *ix)
        });
        let mut remaining = count as u32;
        for (ix, candidate) in capable {
            if remaining == 0 || pool.reserved_servers >= max_reserved {
                return;
            }
            remaining = remaining.saturating_sub(each.count_in(&candidate.capacity));
            pool.reserved_servers += 1;
            pool.allocate(ix, Resources::UNLIMITED);
        }
    }
}
