//! The settings that a job was accepted under.
//!
//! Operators may remove a queue or a team, and put it back, while jobs of it run. Such a
//! job goes on under the settings that were in force when it was accepted.
//!
//! Invariant: the number of attempts of a job never changes after its acceptance.

use std::time::Duration;

use model::{Name, Resources};
use serde::{Deserialize, Serialize};

use crate::config::{AdmissionPolicy, Config, Queue};
use crate::ledger::Job;

/// Settings of a job's queue and team at its submission.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Acceptance {
    pub(crate) max_attempts: u32,
    pub(crate) priority: u32,
    pub(crate) slack_factor: f64,
    pub(crate) latency_target: Duration,
    pub(crate) admission: Option<AdmissionPolicy>,
    pub(crate) team_limit: Resources,
}

impl Acceptance {
    /// The settings under which a job is accepted now.
    pub(crate) fn new(queue: &Queue, team: &str, config: &Config) -> Self {
        let team = config.team(team);
        Self {
            max_attempts: queue.max_attempts.max(1),
            priority: queue.priority,
            slack_factor: queue.slack_factor,
            latency_target: queue.latency_target,
            admission: queue.admission,
            team_limit: team.map_or(Resources::ZERO, |team| team.limit),
        }
    }
}

/// For jobs that a build accepted which did not keep the settings.
impl Default for Acceptance {
    fn default() -> Self {
        Self {
            max_attempts: 2,
            priority: 2,
            slack_factor: 1.0,
            latency_target: Duration::ZERO,
            admission: None,
            team_limit: Resources::ZERO,
        }
    }
}

impl Job {
    /// Number of failed runs of a task after which the job fails.
    pub(crate) fn max_attempts(&self, config: &Config) -> u32 {
        let configured = |queue: &Queue| queue.max_attempts.max(1);
        match (&self.acceptance, config.queue(&self.queue)) {
            (Some(acceptance), _) => acceptance.max_attempts,
            (None, Some(queue)) => configured(queue),
            (None, None) => Acceptance::default().max_attempts,
        }
    }

    /// Settings of the job's queue now or, if it is not configured, at its acceptance.
    pub(crate) fn settings(&self, config: &Config) -> Acceptance {
        match config.queue(&self.queue) {
            Some(queue) => Acceptance::new(queue, &self.team, config),
            None => self.acceptance.unwrap_or_default(),
        }
    }

    /// Service that runs the job's tasks.
    pub(crate) fn current_service(&self, config: &Config) -> Name {
        let queue = config.queue(&self.queue);
        queue.map_or_else(|| self.service.clone(), |queue| queue.service.clone())
    }

    /// Limit of the job's team now or, if it is not configured, at the job's acceptance.
    pub(crate) fn team_limit(&self, config: &Config) -> Resources {
        match config.team(&self.team) {
            Some(team) => team.limit,
            None => self.acceptance.unwrap_or_default().team_limit,
        }
    }
}
