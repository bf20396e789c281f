//! Scoring of backend servers for one task.
//!
//! Tasks on accelerators are packed, so that whole backend servers stay free
//! for large gangs. Other tasks are spread, because tasks that share a backend
//! server slow each other down.
//!
//! Invariant: a backend server on which the task does not fit is never chosen.

use model::Resources;

/// A backend server as seen by one task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Candidate {
    /// Free resources.
    pub free: Resources,
    /// Total resources.
    pub capacity: Resources,
    /// Run time relative to the fastest backend server; 1 if unknown.
    pub relative_runtime: f64,
    /// Run time factor for the distance from the data or from the rest of the
    /// gang.
    pub distance_factor: f64,
    /// Long-running tasks on the backend server.
    pub long_running_tasks: u32,
    /// Best-effort tasks on the backend server.
    pub best_effort_tasks: u32,
    /// True when the task has failed on this backend server before.
    pub failed_before: bool,
    /// True when tasks have failed on the backend server since one last completed.
    pub suspected: bool,
    /// True when the backend server takes one task, or gang, at a time.
    pub on_probation: bool,
    /// True when the backend server is in quarantine, and takes only what no other one can.
    pub last_resort: bool,
}

/// How a task uses processor time, and for how long it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// Runs until it completes.
    RunToCompletion,
    /// Serves users until it is stopped.
    LongRunning,
    /// Uses processor time that other tasks leave over.
    BestEffort,
}

/// Cost of a backend server on which the task failed before. It outweighs any
/// load, so such a server is used only as a last resort.
const FAILED_BEFORE_PENALTY: f64 = 100.0;
/// Cost of a backend server in quarantine. It outweighs all others together, so such a server
/// is used only when no other one has room.
const LAST_RESORT_PENALTY: f64 = 10_000.0;
/// Cost of a backend server on which tasks have failed since one last completed, whatever
/// the failures are attributed to. It outweighs half of the server's load.
const SUSPICION_PENALTY: f64 = 0.25;
/// Cost per co-located task that interferes: long-running and best-effort tasks
/// are kept apart.
const INTERFERENCE_PENALTY: f64 = 3.0;
/// Weight of load relative to run time: a full backend server costs as much as an
/// idle one whose relative run time is higher by this value.
const LOAD_WEIGHT: f64 = 0.5;

/// Cost, for a run that must not fail, of a backend server that has failed tasks since one
/// last completed. It outweighs run time, load and distance.
const DOUBT_PENALTY: f64 = 20.0;
/// The same for a rack in which the task has failed before, or is late.
const SHARED_RACK_PENALTY: f64 = 5.0;
/// Weight of the run time of such a run in addition to its usual one: a slow server is
/// often one that is failing.
const CAUTIOUS_RUNTIME_WEIGHT: f64 = 2.0;

/// What a task's last permitted attempt, or a copy of a late run, costs on a candidate in
/// addition to `cost`, so that it goes to the backend server that is most likely to end
/// it. `shares_rack` is true if the task has failed, or is late, in the candidate's rack.
#[must_use]
pub fn caution_cost(candidate: &Candidate, shares_rack: bool) -> f64 {
    let doubtful = candidate.suspected || candidate.on_probation;
    let weight = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
    weight(doubtful, DOUBT_PENALTY)
        + weight(shares_rack, SHARED_RACK_PENALTY)
        + CAUTIOUS_RUNTIME_WEIGHT * candidate.relative_runtime
}

/// Cost of running a task on a candidate, lower is better; `None` if the task
/// does not fit.
#[must_use]
pub fn cost(demand: &Resources, kind: TaskKind, candidate: &Candidate) -> Option<f64> {
    if !demand.fits(&candidate.free) {
        return None;
    }
    let after = candidate.free.minus(*demand);
    let free_fraction = |free: u32, capacity: u32| match capacity {
        0 => 0.0,
        _ => f64::from(free) / f64::from(capacity),
    };
    let cpu_free = free_fraction(after.millicpus, candidate.capacity.millicpus);
    // For tasks on accelerators, the free part counts as load, which packs them.
    let load = match demand.accelerators {
        0 => 1.0 - cpu_free,
        _ => free_fraction(after.accelerators, candidate.capacity.accelerators) + 0.1 * cpu_free,
    };
    // Tasks without accelerators avoid servers that have some.
    let accelerator_penalty = match (demand.accelerators, candidate.capacity.accelerators) {
        (0, 1..) => 1.0,
        _ => 0.0,
    };
    let interfering_tasks = match kind {
        TaskKind::RunToCompletion => 0,
        TaskKind::LongRunning => candidate.best_effort_tasks,
        TaskKind::BestEffort => candidate.long_running_tasks,
    };
    let runtime = candidate.relative_runtime.max(0.1) * candidate.distance_factor.max(1.0);
    let failure_penalty = if candidate.failed_before {
        FAILED_BEFORE_PENALTY
    } else {
        0.0
    };
    let suspicion_penalty = if candidate.suspected {
        SUSPICION_PENALTY
    } else {
        0.0
    };
    let last_resort_penalty = if candidate.last_resort {
        LAST_RESORT_PENALTY
    } else {
        0.0
    };
    Some(
        runtime
            + LOAD_WEIGHT * load
            + accelerator_penalty
            + INTERFERENCE_PENALTY * f64::from(interfering_tasks)
            + failure_penalty
            + suspicion_penalty
            + last_resort_penalty,
    )
}
