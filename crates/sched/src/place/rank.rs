//! The steps that wait to start, in the order in which they are offered resources.

use std::collections::HashMap;

use model::{Name, Resources, StepIndex};
use policy::rank::{Rank, WaitingStep};

use crate::ledger::{Job, JobIx, StepRef, StepState};
use crate::owner::{Cx, Owner};

/// A ready step with tasks to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct RankedStep {
    pub(super) step: StepRef,
    pub(super) rank: Rank,
}

impl Owner {
    pub(super) fn collect_ranked_steps(&mut self, cx: &Cx<'_>) -> Vec<RankedStep> {
        let may_have_unknown_runs = self.may_have_unknown_runs();
        let mut utilizations = HashMap::new();
        let total = self.total_capacity(cx);
        let mut ranked_steps = Vec::new();
        let jobs: Vec<JobIx> = self.ledger.jobs.keys().copied().collect();
        for ix in jobs {
            let Some(job) = self.ledger.jobs.get(&ix) else {
                continue;
            };
            if job.stage.is_terminal() {
                continue;
            }
            let mut steps = ready_steps(ix, job);
            if may_have_unknown_runs && job.inherited {
                let spec = |step: &StepRef| job.graph.steps.get(step.step as usize);
                steps.retain(|step| spec(step).is_some_and(|s| !self.may_run_unknown(s)));
            }
            if steps.is_empty() {
                continue;
            }
            let share_utilization = *utilizations
                .entry(job.team.clone())
                .or_insert_with(|| self.share_utilization(&job.team, &total, cx));
            self.refresh_forecast(ix, cx);
            for step in steps {
                let rank = self.rank(step, share_utilization, cx);
                ranked_steps.extend(rank.map(|rank| RankedStep { step, rank }));
            }
        }
        for ranked in &ranked_steps {
            self.mark_ready(ranked.step, cx);
        }
        ranked_steps
    }

    pub(crate) fn rank(&self, step: StepRef, share_utilization: f64, cx: &Cx<'_>) -> Option<Rank> {
        let job = self.ledger.jobs.get(&step.job)?;
        let forecast = job.forecast.as_ref()?;
        let waiting = WaitingStep {
            arrived_at: job.first_seen_at,
            objective: forecast.objective,
            remaining: *forecast.remaining.get(step.step as usize)?,
            priority: job.settings(cx.config).priority,
            beyond_rate: job.beyond_rate,
            long_running: job.graph.steps.get(step.step as usize)?.long_running,
            share_utilization,
        };
        Some(waiting.rank(cx.now()))
    }

    fn mark_ready(&mut self, step: StepRef, cx: &Cx<'_>) {
        if let Some(state) = self.ledger.step_mut(step) {
            state.ready_since.get_or_insert(cx.now());
        }
    }

    /// A team's dominant share of the fleet relative to the share it is entitled
    /// to by weight; 1 means that it uses exactly its entitlement.
    pub(crate) fn share_utilization(&self, team: &Name, total: &Resources, cx: &Cx<'_>) -> f64 {
        let weights: u32 = cx.config.teams.iter().map(|team| team.weight.max(1)).sum();
        let weight = cx.config.team(team).map_or(1, |team| team.weight.max(1));
        let entitled = f64::from(weight) / f64::from(weights.max(1));
        let used = self.accounts.used(team).dominant_share(total);
        used / entitled.max(f64::EPSILON)
    }
}

/// Ready steps of a job that have tasks to start.
pub(crate) fn ready_steps(ix: JobIx, job: &Job) -> Vec<StepRef> {
    let mut steps = Vec::new();
    for (&occurrence, states) in &job.occurrences {
        for (step, state) in states.iter().enumerate() {
            if has_waiting(state) && job.is_ready(occurrence, step as StepIndex) {
                steps.push(StepRef {
                    job: ix,
                    occurrence,
                    step: step as StepIndex,
                });
            }
        }
    }
    steps
}

fn has_waiting(state: &StepState) -> bool {
    !state.is_done() && state.waiting().next().is_some()
}
