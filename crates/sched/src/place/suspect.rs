//! Starts of suspects, which may crash their backend servers, apart from other starts.

use model::{Resources, Step, TaskIndex};
use policy::fit::Candidate;

use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::owner::{Cx, Owner};
use crate::place::RESERVED_DIVISOR;
use crate::place::pool::ServerPool;

/// Result of an attempt to start a suspect apart from other recent starts.
pub(super) enum Apart {
    Started,
    /// A backend server with room has yet to settle.
    Waits,
    Blocked,
}

impl Owner {
    /// Starts a suspect, which is a task or a whole gang, apart from other recent starts. If
    /// backend servers with room have yet to settle, withholds them from other tasks until
    /// then.
    pub(super) fn place_suspect(
        &mut self,
        step: StepRef,
        spec: &Step,
        waiting: &[TaskIndex],
        candidates: &[(ServerIx, Candidate)],
        pool: &mut ServerPool,
        cx: &mut Cx<'_>,
    ) -> Apart {
        let each = spec.committed();
        let with_room = candidates.iter().filter_map(|(ix, _)| {
            let candidate = *pool.find(*ix)?;
            each.fits(&candidate.free).then_some((*ix, candidate))
        });
        let all: Vec<(ServerIx, Candidate)> = with_room.collect();
        // The servers to avoid may have just restarted, and be the only ones that have
        // settled, so it waits for the others if they have room.
        let is_sought = |(ix, candidate): &(ServerIx, Candidate)| {
            let mut tasks = waiting.iter().map(|index| step.task(*index));
            !candidate.last_resort && tasks.all(|task| !self.is_avoided(task, *ix))
        };
        let sought: Vec<_> = all
            .iter()
            .filter(|entry| is_sought(entry))
            .copied()
            .collect();
        let suffices = self.plan_step(step, spec, waiting, &sought).len() == waiting.len();
        let all = if suffices { sought } else { all };
        let settled = all.iter().filter(|(ix, _)| self.is_settled(*ix, cx.now()));
        let settled: Vec<(ServerIx, Candidate)> = settled.copied().collect();
        let plan = self.plan_step(step, spec, waiting, &settled);
        if plan.len() == waiting.len() {
            self.start_plan(step, spec, &plan, pool, cx);
            for (_, ix) in &plan {
                pool.allocate(*ix, Resources::UNLIMITED);
            }
            return Apart::Started;
        }
        let mut servers: Vec<ServerIx> = self
            .plan_step(step, spec, waiting, &all)
            .into_iter()
            .map(|(_, ix)| ix)
            .collect();
        if servers.len() < waiting.len() {
            return Apart::Blocked;
        }
        // A single suspect waits for the backend server that settles first.
        if let [server] = servers.as_mut_slice() {
            let all = all.iter().map(|(ix, _)| *ix);
            let task = step.task(waiting[0]);
            let first = all.min_by_key(|ix| {
                let avoided = self.is_avoided(task, *ix);
                (avoided, self.fleet.get(*ix).last_start_at, *ix)
            });
            *server = first.unwrap_or(*server);
        }
        let max_withheld = (pool.candidates.len() / RESERVED_DIVISOR).max(1);
        for ix in servers {
            if pool.withheld.len() < max_withheld {
                pool.withheld.insert(ix);
                self.withhold_for_suspect(ix);
            }
        }
        Apart::Waits
    }
}
