//! Executor slots, request queues and runs of one data centre.
//!
//! Invariant: `busy` counts the runs on an executor, including unresolved ones;
//! `waiting` is the total length of a service's team queues.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use model::{Answer, Name, Reason, Refusal};
use wire::{ServeRequest, ServiceLoad};

/// Minimum delay before a request is hedged.
pub(crate) const MIN_HEDGE_DELAY: Duration = Duration::from_millis(500);
/// Initial estimate of the run time in ms.
const INITIAL_RUN_MS: f64 = 50.0;
/// Weight of the latest run in the moving averages.
const ESTIMATE_GAIN: f64 = 0.05;
/// Number of mean deviations above the mean run time after which an idempotent
/// request is hedged.
const HEDGE_DEVIATIONS: f64 = 6.0;

/// Executor and its slots.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(crate) name: Name,
    pub(crate) service: Name,
    pub(crate) address: Name,
    pub(crate) slots: u32,
    pub(crate) busy: u32,
    pub(crate) live: bool,
    pub(crate) usable: bool,
    /// Time until which no new requests are sent, after a failed or slow run.
    pub(crate) avoid_until: Duration,
}

/// Request that is queued or running.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) serve: ServeRequest,
    pub(crate) origin: Name,
    pub(crate) arrived_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) attempts: u32,
    /// True if an earlier run of the request has an unknown outcome.
    pub(crate) may_have_run: bool,
}

impl QueuedRequest {
    /// Returns the answer for a request that is given up without another run:
    /// unknown if an earlier run may have taken effect, otherwise a refusal.
    pub(crate) fn answer_not_sent(&self, reason: Reason) -> Answer {
        match self.may_have_run {
            true => Answer::Unknown,
            false => Answer::Refused(Refusal::temporary(reason, Duration::from_secs(1))),
        }
    }
}

/// Run of a request on an executor.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) request: QueuedRequest,
    pub(crate) executor_index: usize,
    pub(crate) started_at: Duration,
    /// Estimated run time charged to the team's virtual time.
    pub(crate) charged_ms: f64,
    /// True once the request was queued again. A failure of this run is then
    /// ignored, because the second attempt answers the request.
    pub(crate) hedged: bool,
}

/// Queue of one team at one service.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    pub(crate) waiting: VecDeque<QueuedRequest>,
    pub(crate) virtual_time: f64,
}

/// Team queues and run time estimates of one service.
#[derive(Debug)]
pub(crate) struct ServiceQueues {
    pub(crate) team_queues: BTreeMap<Name, TeamQueue>,
    pub(crate) virtual_time: f64,
    pub(crate) mean_ms: f64,
    pub(crate) deviation_ms: f64,
    pub(crate) waiting: u32,
}

impl Default for ServiceQueues {
    fn default() -> Self {
        Self {
            team_queues: BTreeMap::new(),
            virtual_time: 0.0,
            mean_ms: INITIAL_RUN_MS,
            deviation_ms: INITIAL_RUN_MS,
            waiting: 0,
        }
    }
}

impl ServiceQueues {
    /// Updates the mean and the mean deviation of the run time, as in Jacobson,
    /// "Congestion Avoidance and Control", 1988.
    pub(crate) fn record_run(&mut self, ran_ms: f64) {
        let error = ran_ms - self.mean_ms;
        self.mean_ms += ESTIMATE_GAIN * error;
        self.deviation_ms += ESTIMATE_GAIN * (error.abs() - self.deviation_ms);
    }

    /// Returns the time after which a run is slower than almost all others.
    pub(crate) fn hedge_delay(&self) -> Duration {
        let slow_ms = self.mean_ms + HEDGE_DEVIATIONS * self.deviation_ms;
        Duration::from_secs_f64(slow_ms / 1_000.0).max(MIN_HEDGE_DELAY)
    }
}

/// Request dispatcher of one data centre.
#[derive(Debug, Default)]
pub(crate) struct Dispatcher {
    pub(crate) executors: Vec<Executor>,
    pub(crate) services: BTreeMap<Name, ServiceQueues>,
    pub(crate) runs: BTreeMap<u64, Run>,
    pub(crate) slots_held: BTreeMap<Name, u32>,
    /// Runs with an unknown outcome, with the time at which their slot is
    /// released, the run id, the executor's index and the team.
    pub(crate) unresolved_runs: BTreeSet<(Duration, u64, usize, Name)>,
    pub(crate) last_run_id: u64,
    /// Ids of received requests, with the time until which they are retained to
    /// detect duplicates.
    pub(crate) recent_requests: BTreeMap<u64, Duration>,
}

impl Dispatcher {
    /// Records a request id; returns false if it was already recorded.
    pub(crate) fn record_request(&mut self, id: u64, until: Duration) -> bool {
        self.recent_requests.insert(id, until).is_none()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.services.values().all(|s| s.waiting == 0)
    }

    /// Sets whether the executor on a worker may receive new requests.
    pub(crate) fn set_usable(&mut self, worker: &Name, in_service: bool) {
        let found = self.executors.iter_mut().find(|e| e.name == *worker);
        found
            .into_iter()
            .for_each(|e| e.usable = e.live && in_service);
    }

    /// Returns the number of slots that a team occupies.
    pub(crate) fn slots_held_by(&self, team: &Name) -> u32 {
        self.slots_held.get(team).copied().unwrap_or(0)
    }

    /// Returns whether a team has queued requests.
    pub(crate) fn has_queued(&self, team: &Name) -> bool {
        let mut queues = self
            .services
            .values()
            .filter_map(|s| s.team_queues.get(team));
        queues.any(|q| !q.waiting.is_empty())
    }

    pub(crate) fn load_of(&self, service: &Name) -> Option<ServiceLoad> {
        self.loads().into_iter().find(|l| l.service == *service)
    }

    /// Returns the free slots and queued requests of each service.
    pub(crate) fn loads(&self) -> Vec<ServiceLoad> {
        let mut loads: Vec<ServiceLoad> = Vec::new();
        for executor in self.executors.iter().filter(|e| e.usable) {
            let free = executor.slots - executor.busy.min(executor.slots);
            match loads.iter_mut().find(|l| l.service == executor.service) {
                Some(load) => load.free += free,
                None => loads.push(ServiceLoad {
                    service: executor.service.clone(),
                    free,
                    waiting: self
                        .services
                        .get(&executor.service)
                        .map_or(0, |s| s.waiting),
                }),
            }
        }
        loads
    }

    pub(crate) fn usable_slots(&self, service: &Name) -> u32 {
        let usable = self
            .executors
            .iter()
            .filter(|e| e.usable && e.service == *service);
        usable.map(|e| e.slots).sum()
    }

    /// Returns the index of the usable executor with a free slot and the fewest
    /// runs, unless all such executors are being avoided.
    pub(crate) fn select_executor(&self, service: &Name, now: Duration) -> Option<usize> {
        let mut best: Option<(bool, u32, usize)> = None;
        for (index, executor) in self.executors.iter().enumerate() {
            let usable = executor.usable && executor.busy < executor.slots;
            if !usable || executor.service != *service {
                continue;
            }
            let rank = (executor.avoid_until > now, executor.busy, index);
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.filter(|(avoided, _, _)| !avoided)
            .map(|(_, _, index)| index)
    }

    /// Returns an executor that has more runs than slots, if any.
    pub(crate) fn overcommitted_executor(&self) -> Option<&Name> {
        let overcommitted = self.executors.iter().find(|e| e.busy > e.slots);
        overcommitted.map(|e| &e.name)
    }
}
