//! Estimated completion times of jobs, based on the mean run times learned for
//! each image and on the declared estimates where none is known.
//!
//! Invariant: a forecast has one entry for each step of its job's graph.

use std::time::Duration;

use model::{Step, StepIndex};

use crate::ledger::{Forecast, Job, JobIx};
use crate::owner::{Cx, Owner};

/// Age at which a forecast is recomputed. Learned run times change slowly, so
/// a forecast need not be computed on every placement pass.
const FORECAST_MAX_AGE: Duration = Duration::from_secs(1);

/// Multiplies a duration, saturating at the maximum. Callers declare run times of any
/// length.
fn scaled(duration: Duration, factor: f64) -> Duration {
    Duration::try_from_secs_f64(duration.as_secs_f64() * factor).unwrap_or(Duration::MAX)
}

impl Owner {
    /// Recomputes a job's forecast if it is missing or older than `FORECAST_MAX_AGE`.
    pub(crate) fn refresh_forecast(&mut self, ix: JobIx, cx: &Cx<'_>) {
        let Some(job) = self.ledger.jobs.get(&ix) else {
            return;
        };
        let fresh = |forecast: &Forecast| cx.now() < forecast.computed_at + FORECAST_MAX_AGE;
        if job.forecast.as_ref().is_some_and(fresh) {
            return;
        }
        let steps = 0..job.graph.steps.len() as StepIndex;
        let remaining: Vec<Duration> = steps.map(|step| self.remaining_time(job, step)).collect();
        let critical_path = remaining.iter().max().copied().unwrap_or(Duration::ZERO);
        let settings = job.settings(cx.config);
        let (slack, target) = (settings.slack_factor, settings.latency_target);
        let forecast = Forecast {
            computed_at: cx.now(),
            objective: target.saturating_add(scaled(critical_path, slack.max(1.0))),
            remaining,
        };
        if let Some(job) = self.ledger.jobs.get_mut(&ix) {
            job.forecast = Some(forecast);
        }
    }

    /// Expected time from the start of a step to the end of its job: the
    /// longest path through its successors. One pass by index is enough, since
    /// the predecessors of a step have lower indices.
    fn remaining_time(&self, job: &Job, from: StepIndex) -> Duration {
        let steps = &job.graph.steps;
        let mut ends: Vec<Option<Duration>> = vec![None; steps.len()];
        for (index, step) in steps.iter().enumerate().skip(from as usize) {
            let predecessor_ends = step
                .depends_on
                .iter()
                .filter_map(|predecessor| *ends.get(*predecessor as usize)?);
            let start = match index == from as usize {
                true => Some(Duration::ZERO),
                false => predecessor_ends.max(),
            };
            ends[index] = start.map(|start| start.saturating_add(self.expected_run_time(step)));
        }
        ends.into_iter().flatten().max().unwrap_or(Duration::ZERO)
    }

    /// Expected run time of a task of a step: the learned mean for its image,
    /// or the declared estimate while none is known.
    pub(crate) fn expected_run_time(&self, step: &Step) -> Duration {
        let image_class = self.image_classes.get(&step.image);
        let learned = image_class.and_then(|class| self.estimates.mean_ms(*class));
        learned.map_or(step.estimate, Duration::from_millis)
    }
}
