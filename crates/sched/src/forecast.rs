//! Expected times of jobs, by learned run times where they are known.
//!
//! Invariant: a forecast has one entry for each step of its job's graph.

use std::time::Duration;

use model::{Step, StepIndex};

use crate::ledger::{Forecast, Job, JobIx};
use crate::owner::{Cx, Owner};

/// Age from which expected times are worked out anew: learned run times move
/// slowly.
const FORECAST_AGE: Duration = Duration::from_secs(1);

impl Owner {
    /// Works the expected times of a job out anew when they are old.
    pub(crate) fn renew_forecast(&mut self, ix: JobIx, cx: &Cx<'_>) {
        let Some(job) = self.ledger.jobs.get(&ix) else {
            return;
        };
        let fresh = |forecast: &Forecast| cx.now() < forecast.at + FORECAST_AGE;
        if job.forecast.as_ref().is_some_and(fresh) {
            return;
        }
        let steps = 0..job.graph.steps.len() as StepIndex;
        let remaining: Vec<Duration> = steps.map(|step| self.remaining(job, step)).collect();
        let chain = remaining.iter().max().copied().unwrap_or(Duration::ZERO);
        let queue = cx.config.queue(&job.queue);
        let (slack, target) = queue.map_or((1.0, Duration::ZERO), |q| {
            (q.slack_factor, q.latency_target)
        });
        let forecast = Forecast {
            at: cx.now(),
            objective: target + chain.mul_f64(slack.max(1.0)),
            remaining,
        };
        if let Some(job) = self.ledger.jobs.get_mut(&ix) {
            job.forecast = Some(forecast);
        }
    }

    /// Expected time from the start of a step to the end of its job, by
    /// learned run times where they are known.
    fn remaining(&self, job: &Job, from: StepIndex) -> Duration {
        let steps = &job.graph.steps;
        let mut ends: Vec<Option<Duration>> = vec![None; steps.len()];
        for (index, step) in steps.iter().enumerate().skip(from as usize) {
            let before = step.after.iter().filter_map(|p| *ends.get(*p as usize)?);
            let start = match index == from as usize {
                true => Some(Duration::ZERO),
                false => before.max(),
            };
            ends[index] = start.map(|start| start + self.expected(step));
        }
        ends.into_iter().flatten().max().unwrap_or(Duration::ZERO)
    }

    /// Expected run time of a task of a step.
    pub(crate) fn expected(&self, step: &Step) -> Duration {
        let class = self.images.get(&step.image);
        let learned = class.and_then(|class| self.estimates.mean_ms(*class));
        learned.map_or(step.estimate, Duration::from_millis)
    }
}
