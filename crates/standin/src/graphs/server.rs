//! Simulated backend servers: runs, ends of runs, leases on the server's own
//! clock, and fencing.
//!
//! Invariant: no run outlives the lease, and an order with a lower epoch than
//! the highest seen is not executed.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use model::{Attempt, Epoch, Name, Resources, RunKey, RunOutcome, TaskId};
use sched::{Finished, Order, OrderResponse, Progress, Rejection, RunLists};

use crate::graphs::callers::TaskBehaviour;

/// Longest remaining time for which a lease is granted.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Longest time from an order to stop a run to the end of the run.
const STOP_DURATION: Duration = Duration::from_millis(300);
/// Time after which a capacity that has shrunk counts: 3 s and one heartbeat of the
/// registry after the entry shows it.
const CAPACITY_GRACE: Duration = Duration::from_millis(4_500);
/// Time after which a gang member ends if not all members have started.
const GANG_FORMATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A run in progress on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) number: Attempt,
    started_at: Duration,
    /// When and how the run ends unless it is stopped; `None` for long-running
    /// tasks. [`RunOutcome::GangIncomplete`] marks a gang member that waits for the
    /// others.
    pub(crate) planned_end: Option<(Duration, RunOutcome)>,
    stops_at: Option<Duration>,
}

impl ActiveRun {
    /// Part of the work done; 100 for a run without an end of its own.
    fn percent(&self, now: Duration) -> u8 {
        let (done, all) = match self.planned_end {
            Some((end, RunOutcome::Completed | RunOutcome::Failed)) => (
                now.saturating_sub(self.started_at),
                end.saturating_sub(self.started_at),
            ),
            _ => return 100,
        };
        (done.as_millis() * 100 / all.as_millis().max(1)).min(99) as u8
    }
}

/// A simulated backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: Name,
    pub(crate) incarnation: u64,
    pub(crate) data_centre: usize,
    pub(crate) capacity: Resources,
    /// Larger capacities that it had, each with the time until which a VM can't be
    /// expected to know of the change.
    former_capacities: Vec<(Resources, Option<Duration>)>,
    pub(crate) up: bool,
    /// Listed in the registry.
    pub(crate) registered: bool,
    pub(crate) draining: bool,
    /// Runs that start here fail, except those of gangs and long-running tasks.
    pub(crate) fails_runs: bool,
    /// Rate of the server's clock relative to simulated time.
    clock_rate: f64,
    booted_at: Duration,
    /// Highest epoch seen.
    pub(crate) epoch: Epoch,
    /// Lease expiry on the server's clock.
    lease_end: Duration,
    pub(crate) active_runs: BTreeMap<TaskId, ActiveRun>,
    /// Ended runs that have not been acknowledged, each with the number of lease
    /// expiries before its end.
    finished: Vec<(Finished, u32)>,
    /// Number of times that the lease has expired.
    lease_expiries: u32,
    lease_expired: bool,
    next_end_number: u64,
    /// Highest run number started or stopped, by task.
    highest_attempts: HashMap<TaskId, Attempt>,
    /// When the last order arrived.
    pub(crate) called_at: Duration,
    /// A VM that follows the registry has missed the last change of the entry.
    pub(crate) change_missed: bool,
}

/// Event on a backend server, recorded for the checks.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RunEvent {
    Started(RunKey),
    Ended(RunKey, RunOutcome),
    Acknowledged(RunKey, RunOutcome),
}

impl Server {
    pub(crate) fn new(id: Name, data_centre: usize, capacity: Resources, clock_rate: f64) -> Self {
        Self {
            id,
            incarnation: 1,
            data_centre,
            capacity,
            former_capacities: Vec::new(),
            up: true,
            registered: true,
            draining: false,
            fails_runs: false,
            clock_rate,
            booted_at: Duration::ZERO,
            epoch: 0,
            lease_end: Duration::ZERO,
            active_runs: BTreeMap::new(),
            finished: Vec::new(),
            lease_expiries: 0,
            lease_expired: false,
            next_end_number: 1,
            highest_attempts: HashMap::new(),
            called_at: Duration::ZERO,
            change_missed: false,
        }
    }

    /// Returns the time on the server's clock.
    fn local_clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.booted_at).mul_f64(self.clock_rate)
    }

    /// Changes the capacity; runs go on.
    pub(crate) fn resize(&mut self, capacity: Resources) {
        self.former_capacities.push((self.capacity, None));
        self.capacity = capacity;
    }

    /// Notes that the registry's entry shows the current capacity.
    pub(crate) fn capacity_published(&mut self, now: Duration) {
        for (_, until) in &mut self.former_capacities {
            until.get_or_insert(now + CAPACITY_GRACE);
        }
    }

    /// The largest capacity up to which the server may be filled now.
    pub(crate) fn permitted_capacity(&self, now: Duration) -> Resources {
        let former = self.former_capacities.iter();
        let permitted = former.filter(|(_, until)| until.is_none_or(|until| now <= until));
        permitted.fold(self.capacity, |max, (capacity, _)| max.max(*capacity))
    }

    /// Restarts the server without runs, as a new incarnation.
    pub(crate) fn restart(&mut self, now: Duration) {
        let (id, capacity) = (self.id.clone(), self.capacity);
        let fresh = Self::new(id, self.data_centre, capacity, self.clock_rate);
        *self = Self {
            incarnation: self.incarnation + 1,
            booted_at: now,
            ..fresh
        };
    }

    /// Ends the runs that are due. An expired lease ends all runs.
    pub(crate) fn advance(&mut self, now: Duration, events: &mut Vec<RunEvent>) {
        if !self.up {
            return;
        }
        let lease_expired = self.local_clock(now) >= self.lease_end;
        self.lease_expiries += u32::from(lease_expired && !self.lease_expired);
        self.lease_expired = lease_expired;
        let due: Vec<(TaskId, RunOutcome)> = self
            .active_runs
            .iter()
            .filter_map(|(task, active)| {
                let stopped = active.stops_at.is_some_and(|at| now >= at);
                let ended = active.planned_end.filter(|(at, _)| now >= *at);
                match () {
                    () if lease_expired => Some((task.clone(), RunOutcome::Lapsed)),
                    () if ended.is_some() => ended.map(|(_, end)| (task.clone(), end)),
                    () if stopped => Some((task.clone(), RunOutcome::Stopped)),
                    () => None,
                }
            })
            .collect();
        for (task, end) in due {
            self.end_run(&task, end, events);
        }
    }

    /// Ends the run of a task, if there is one, and keeps its end until it is
    /// acknowledged.
    pub(crate) fn end_run(&mut self, task: &TaskId, end: RunOutcome, events: &mut Vec<RunEvent>) {
        let Some(active) = self.active_runs.remove(task) else {
            return;
        };
        let run = RunKey {
            task: task.clone(),
            number: active.number,
        };
        events.push(RunEvent::Ended(run.clone(), end));
        let finished = Finished {
            number: self.next_end_number,
            run,
            outcome: end,
            checkpoint: Name::default(),
        };
        self.finished.push((finished, self.lease_expiries));
        self.next_end_number += 1;
    }

    /// Executes an order, or rejects it if its epoch is lower than the highest
    /// seen.
    pub(crate) fn execute_order(
        &mut self,
        epoch: Epoch,
        order: &Order,
        behaviour: Option<&TaskBehaviour>,
        now: Duration,
        events: &mut Vec<RunEvent>,
    ) -> OrderResponse {
        self.advance(now, events);
        self.called_at = now;
        if epoch < self.epoch {
            return OrderResponse::Rejected(Rejection::Superseded);
        }
        self.epoch = epoch;
        let clock = self.local_clock(now);
        match order {
            Order::Start { run, lease_end, .. } => {
                let lease_end = Duration::from_millis(*lease_end);
                if lease_end <= clock {
                    return OrderResponse::Rejected(Rejection::TooLate);
                }
                self.lease_end = self.lease_end.max(lease_end.min(clock + MAX_LEASE));
                self.start(run, behaviour, now, events)
            }
            Order::Stop { run } => {
                self.stop(run, now);
                OrderResponse::Done(clock.as_millis() as u64)
            }
            Order::RenewLease {
                lease_end,
                acknowledged,
                ..
            } => {
                if let Some(lease_end) = lease_end {
                    let lease_end = Duration::from_millis(*lease_end);
                    self.lease_end = self.lease_end.max(lease_end.min(clock + MAX_LEASE));
                }
                self.acknowledge(*acknowledged, events);
                OrderResponse::Lists(Box::new(self.run_lists(now)))
            }
            Order::Pace { .. } => OrderResponse::Done(clock.as_millis() as u64),
        }
    }

    fn start(
        &mut self,
        run: &RunKey,
        behaviour: Option<&TaskBehaviour>,
        now: Duration,
        events: &mut Vec<RunEvent>,
    ) -> OrderResponse {
        let clock = self.local_clock(now).as_millis() as u64;
        let highest = self.highest_attempts.get(&run.task).copied().unwrap_or(0);
        let is_duplicate = self
            .active_runs
            .get(&run.task)
            .is_some_and(|active| active.number == run.number);
        if is_duplicate {
            return OrderResponse::Done(clock);
        }
        if run.number <= highest || self.active_runs.contains_key(&run.task) {
            return OrderResponse::Rejected(Rejection::NotNew);
        }
        self.highest_attempts.insert(run.task.clone(), run.number);
        let planned_end = behaviour.map(|behaviour| match self.fails_runs {
            true => (now + Duration::from_millis(50), RunOutcome::Failed),
            false => behaviour.planned_end(run, self.is_slow(), now),
        });
        let planned_end = match behaviour {
            Some(behaviour) if behaviour.gang => {
                Some((now + GANG_FORMATION_TIMEOUT, RunOutcome::GangIncomplete))
            }
            Some(behaviour) if behaviour.long_running => None,
            _ => planned_end,
        };
        let active = ActiveRun {
            number: run.number,
            started_at: now,
            planned_end,
            stops_at: None,
        };
        self.active_runs.insert(run.task.clone(), active);
        events.push(RunEvent::Started(run.clone()));
        OrderResponse::Done(clock)
    }

    fn stop(&mut self, run: &RunKey, now: Duration) {
        let highest = self.highest_attempts.entry(run.task.clone()).or_insert(0);
        *highest = (*highest).max(run.number);
        if let Some(active) = self.active_runs.get_mut(&run.task)
            && active.number <= run.number
        {
            active.stops_at.get_or_insert(now + STOP_DURATION);
        }
    }

    fn acknowledge(&mut self, acknowledged: u64, events: &mut Vec<RunEvent>) {
        let (acknowledged_ends, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.finished)
            .into_iter()
            .partition(|(finished, _)| finished.number <= acknowledged);
        self.finished = remaining;
        // An end before the last lease expiry does not count as acknowledged,
        // because the owner had to treat the run as lost.
        let is_current =
            |(_, lease_expiries): &(Finished, u32)| *lease_expiries == self.lease_expiries;
        for (finished, _) in acknowledged_ends.into_iter().filter(is_current) {
            events.push(RunEvent::Acknowledged(finished.run, finished.outcome));
        }
    }

    /// True for the servers on which speculative steps are slow, two of the first ten.
    fn is_slow(&self) -> bool {
        self.id.ends_with(['3', '7'])
    }

    fn run_lists(&self, now: Duration) -> RunLists {
        let clock = self.local_clock(now);
        let running = self.active_runs.iter().map(|(task, active)| Progress {
            run: RunKey {
                task: task.clone(),
                number: active.number,
            },
            checkpoint: Name::default(),
            percent: active.percent(now),
            gauge: 0,
        });
        RunLists {
            clock: clock.as_millis() as u64,
            incarnation: Some(self.incarnation),
            running: running.collect(),
            finished: self.finished.iter().map(|(f, _)| f.clone()).collect(),
        }
    }

    /// Returns true if there are ended runs that have not been acknowledged.
    pub(crate) fn has_unacknowledged_ends(&self) -> bool {
        !self.finished.is_empty()
    }

    /// Returns the number of the oldest end that has not been acknowledged.
    pub(crate) fn oldest_end(&self) -> Option<u64> {
        self.finished.first().map(|(finished, _)| finished.number)
    }
}
