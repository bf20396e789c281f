//! Slots of executors, waiting lines and runs of one data centre.
//!
//! Invariant: `busy` counts the runs of an executor and the slots of runs whose
//! fate is unknown; `waiting` is the sum over a service's lines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use model::{Answer, Name, Reason, Refusal};
use wire::{ServeRequest, ServiceLoad};

/// Shortest time before a request is sent once more.
pub(crate) const MIN_HEDGE: Duration = Duration::from_millis(500);
/// First guess of a run's length in ms.
const FIRST_RUN_MS: f64 = 50.0;
/// Weight of the newest run in the mean.
const GAIN: f64 = 0.05;
/// Mean deviations beyond the mean after which an idempotent request is sent
/// once more.
const HEDGE_DEVIATIONS: f64 = 6.0;

/// An executor with its slots.
#[derive(Debug)]
pub(crate) struct Slots {
    pub(crate) name: Name,
    pub(crate) service: Name,
    pub(crate) address: Name,
    pub(crate) slots: u32,
    pub(crate) busy: u32,
    pub(crate) live: bool,
    pub(crate) usable: bool,
    pub(crate) avoid_until: Duration,
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) serve: ServeRequest,
    pub(crate) origin: Name,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) runs: u32,
    /// True once an earlier run of it was left open.
    pub(crate) may_have_run: bool,
}

impl Waiting {
    /// The answer when it is given up unsent.
    pub(crate) fn unsent(&self, reason: Reason) -> Answer {
        match self.may_have_run {
            true => Answer::Unknown,
            false => Answer::Refused(Refusal::temporary(reason, Duration::from_secs(1))),
        }
    }
}

/// A run on an executor.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) waiting: Waiting,
    pub(crate) executor: usize,
    pub(crate) started: Duration,
    pub(crate) charged: f64,
    /// True once the request was queued again; that run answers for it.
    pub(crate) hedged: bool,
}

/// One team's line at one service.
#[derive(Debug, Default)]
pub(crate) struct Line {
    pub(crate) waiting: VecDeque<Waiting>,
    pub(crate) virtual_time: f64,
}

/// One service's lines.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) lines: BTreeMap<Name, Line>,
    pub(crate) virtual_time: f64,
    pub(crate) mean_ms: f64,
    pub(crate) deviation_ms: f64,
    pub(crate) waiting: u32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            virtual_time: 0.0,
            mean_ms: FIRST_RUN_MS,
            deviation_ms: FIRST_RUN_MS,
            waiting: 0,
        }
    }
}

impl Service {
    /// Mean and deviation as in Jacobson, "Congestion Avoidance", 1988.
    pub(crate) fn learn(&mut self, ran_ms: f64) {
        let error = ran_ms - self.mean_ms;
        self.mean_ms += GAIN * error;
        self.deviation_ms += GAIN * (error.abs() - self.deviation_ms);
    }

    /// Time after which a run is slower than nearly all others.
    pub(crate) fn slow_after(&self) -> Duration {
        let slow_ms = self.mean_ms + HEDGE_DEVIATIONS * self.deviation_ms;
        Duration::from_secs_f64(slow_ms / 1_000.0).max(MIN_HEDGE)
    }
}

/// Requests of one data centre.
#[derive(Debug, Default)]
pub(crate) struct Dispatcher {
    pub(crate) executors: Vec<Slots>,
    pub(crate) services: BTreeMap<Name, Service>,
    pub(crate) runs: BTreeMap<u64, Run>,
    pub(crate) held: BTreeMap<Name, u32>,
    pub(crate) ghosts: BTreeSet<(Duration, u64, usize, Name)>,
    pub(crate) next_run: u64,
    /// Requests taken in lately, by id, until a time.
    pub(crate) seen: BTreeMap<u64, Duration>,
}

impl Dispatcher {
    /// Notes a request id; false when it was noted already.
    pub(crate) fn is_new(&mut self, id: u64, until: Duration) -> bool {
        self.seen.insert(id, until).is_none()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.services.values().all(|s| s.waiting == 0)
    }

    /// Sets whether the executor on a worker may get new requests.
    pub(crate) fn set_usable(&mut self, worker: &Name, stays: bool) {
        let found = self.executors.iter_mut().find(|e| e.name == *worker);
        found.into_iter().for_each(|e| e.usable = e.live && stays);
    }

    /// Slots that a team holds.
    pub(crate) fn held_by(&self, team: &Name) -> u32 {
        self.held.get(team).copied().unwrap_or(0)
    }

    /// True when a request of the team waits.
    pub(crate) fn waits(&self, team: &Name) -> bool {
        let mut lines = self.services.values().filter_map(|s| s.lines.get(team));
        lines.any(|l| !l.waiting.is_empty())
    }

    pub(crate) fn load_of(&self, service: &Name) -> Option<ServiceLoad> {
        self.loads().into_iter().find(|l| l.service == *service)
    }

    /// Free slots and waiting requests of each service.
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

    pub(crate) fn slots_of(&self, service: &Name) -> u32 {
        let live = self
            .executors
            .iter()
            .filter(|e| e.usable && e.service == *service);
        live.map(|e| e.slots).sum()
    }

    /// The least loaded executor with a free slot.
    pub(crate) fn free_executor(&self, service: &Name, now: Duration) -> Option<usize> {
        let mut best: Option<(bool, u32, usize)> = None;
        for (at, executor) in self.executors.iter().enumerate() {
            let usable = executor.usable && executor.busy < executor.slots;
            if !usable || executor.service != *service {
                continue;
            }
            let rank = (executor.avoid_until > now, executor.busy, at);
            if best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
        }
        best.filter(|(avoided, _, _)| !avoided).map(|(_, _, at)| at)
    }

    /// Reservations of slots never exceed what executors have.
    pub(crate) fn overfull(&self) -> Option<&Name> {
        let over = self.executors.iter().find(|e| e.busy > e.slots);
        over.map(|e| &e.name)
    }
}
