//! Record of the work that the test doubles executed, and of the guarantees
//! that this execution violated.
//!
//! Invariant: violation counts never decrease.

use std::collections::{BTreeMap, HashMap};

use model::{JobId, Name, Resources, TaskIndex};

/// Time for which an announced change, such as a VM that leaves or a key that
/// is withdrawn, may remain without effect, in ms.
pub const PROPAGATION_GRACE_MS: u64 = 5_000;

/// Number of violations of each guarantee.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Task starts that took a worker above its capacity.
    pub overcommitted_workers: u64,
    /// Task or request starts that took a team above its limit.
    pub teams_over_limit: u64,
    /// Task starts while another attempt of the same task was running.
    pub duplicate_tasks: u64,
    /// Runs of a non-idempotent request after its first run.
    pub duplicate_requests: u64,
    /// Work started on a backend server more than [`PROPAGATION_GRACE_MS`]
    /// after it was announced to leave.
    pub work_on_leaving_workers: u64,
    /// Work started in a data centre more than [`PROPAGATION_GRACE_MS`] after its
    /// evacuation was acknowledged.
    pub work_in_evacuated_data_centres: u64,
    /// Runs beyond the slots of an executor.
    pub overloaded_executors: u64,
}

#[derive(Debug, Default)]
struct Vm {
    capacity: Resources,
    used: Resources,
    leaving_since_ms: Option<u64>,
    evacuated_since_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct TeamUsage {
    limit: Option<Resources>,
    used: Resources,
}

/// Record of executed work, fed by the test doubles.
#[derive(Debug, Default)]
pub struct Ledger {
    vms: HashMap<Name, Vm>,
    teams: BTreeMap<Name, TeamUsage>,
    running_on: HashMap<(JobId, TaskIndex), Vec<Name>>,
    request_runs: HashMap<Name, u64>,
    /// Time of the first task start of each job, in ms, as passed to
    /// [`Ledger::task_started`].
    pub first_start_ms: HashMap<JobId, u64>,
    /// Counts of violations since the ledger was created.
    pub violations: Violations,
    /// Number of task starts, repeated starts of a task included.
    pub started: u64,
    /// Number of completions of each task that has completed at least once.
    pub completed: HashMap<(JobId, TaskIndex), u64>,
    /// Number of task starts in each second since time zero; seconds without a start
    /// are absent.
    pub starts_per_second: BTreeMap<u64, u64>,
    history: HashMap<JobId, Vec<String>>,
    /// Descriptions of the first violations, at most `MAX_VIOLATION_DETAILS`.
    pub violation_details: Vec<String>,
}

/// Largest number of violation descriptions kept.
const MAX_VIOLATION_DETAILS: usize = 20;

impl Ledger {
    /// Registers a worker VM with the capacity against which overcommitment is
    /// checked.
    pub fn add_vm(&mut self, name: &Name, capacity: Resources) {
        let vm = self.vms.entry(name.clone()).or_default();
        vm.capacity = capacity;
    }

    /// Sets the limit of a team; `None` removes it.
    pub fn set_limit(&mut self, team: &Name, limit: Option<Resources>) {
        self.teams.entry(team.clone()).or_default().limit = limit;
    }

    /// Records that a worker VM was announced to leave at `now_ms`; later
    /// announcements of the same VM are ignored.
    pub fn record_leaving(&mut self, name: &Name, now_ms: u64) {
        let vm = self.vms.entry(name.clone()).or_default();
        vm.leaving_since_ms.get_or_insert(now_ms);
    }

    /// Records that the evacuation of the data centre of a worker VM was
    /// acknowledged at this time, in ms, or `None` once its end was requested.
    pub fn record_evacuation(&mut self, name: &Name, since_ms: Option<u64>) {
        let vm = self.vms.entry(name.clone()).or_default();
        vm.evacuated_since_ms = since_ms;
    }

    fn record_history(&mut self, job: &JobId, text: String) {
        self.history.entry(job.clone()).or_default().push(text);
    }

    /// Start and end events of the tasks of a job, oldest first.
    #[must_use]
    pub fn job_history(&self, job: &JobId) -> Vec<String> {
        self.history.get(job).cloned().unwrap_or_default()
    }

    fn record_violation_detail(&mut self, text: String) {
        if self.violation_details.len() < MAX_VIOLATION_DETAILS {
            self.violation_details.push(text);
        }
    }

    fn charge(&mut self, vm: &Name, team: &Name, each: Resources, now_ms: u64) {
        let usage = self.teams.entry(team.clone()).or_default();
        usage.used = usage.used.plus(each);
        if usage.limit.is_some_and(|limit| !usage.used.fits(&limit)) {
            self.violations.teams_over_limit += 1;
            let used = usage.used;
            self.record_violation_detail(format!(
                "{now_ms} ms: team {team} exceeds its limit: uses {used:?}"
            ));
        }
        let leaving = self.vms.get(vm).and_then(|v| v.leaving_since_ms);
        if leaving.is_some_and(|since_ms| now_ms > since_ms + PROPAGATION_GRACE_MS) {
            self.violations.work_on_leaving_workers += 1;
            self.record_violation_detail(format!(
                "{now_ms} ms: work started on {vm}, leaving since {leaving:?}"
            ));
        }
        self.check_evacuation(vm, now_ms);
    }

    /// Checks work that starts on a VM against the evacuation of its data centre.
    fn check_evacuation(&mut self, vm: &Name, now_ms: u64) {
        let since = self.vms.get(vm).and_then(|v| v.evacuated_since_ms);
        if since.is_some_and(|since_ms| now_ms > since_ms + PROPAGATION_GRACE_MS) {
            self.violations.work_in_evacuated_data_centres += 1;
            self.record_violation_detail(format!(
                "{now_ms} ms: work started on {vm}, evacuated since {since:?}"
            ));
        }
    }

    fn release(&mut self, team: &Name, each: Resources) {
        let usage = self.teams.entry(team.clone()).or_default();
        usage.used = usage.used.minus(each);
    }

    /// Records the start of a task on a worker and checks it against the capacity of
    /// the worker, the limit of the team and other attempts of the task.
    pub fn task_started(
        &mut self,
        vm: &Name,
        job: &JobId,
        task: TaskIndex,
        team: &Name,
        each: Resources,
        now_ms: u64,
    ) {
        self.record_history(job, format!("start {task} on {vm} at {now_ms}"));
        self.started += 1;
        *self.starts_per_second.entry(now_ms / 1_000).or_default() += 1;
        self.charge(vm, team, each, now_ms);
        let entry = self.vms.entry(vm.clone()).or_default();
        entry.used = entry.used.plus(each);
        if !entry.used.fits(&entry.capacity) {
            self.violations.overcommitted_workers += 1;
            let used = entry.used;
            self.record_violation_detail(format!(
                "{now_ms} ms: worker {vm} exceeds its capacity: holds {used:?}"
            ));
        }
        let running_on = self.running_on.entry((job.clone(), task)).or_default();
        running_on.push(vm.clone());
        if running_on.len() > 1 {
            self.violations.duplicate_tasks += 1;
            let running_on = running_on.clone();
            self.record_violation_detail(format!(
                "{now_ms} ms: task {task} of job {job} runs more than once: {running_on:?}"
            ));
        }
        self.first_start_ms.entry(job.clone()).or_insert(now_ms);
    }

    /// Records the end of a task on a worker; `completed` is false if it failed, was
    /// stopped or its lease expired.
    pub fn task_ended(
        &mut self,
        vm: &Name,
        job: &JobId,
        task: TaskIndex,
        team: &Name,
        each: Resources,
        completed: bool,
    ) {
        self.record_history(job, format!("end {task} on {vm} {completed}"));
        self.release(team, each);
        let entry = self.vms.entry(vm.clone()).or_default();
        entry.used = entry.used.minus(each);
        let key = (job.clone(), task);
        if let Some(running_on) = self.running_on.get_mut(&key) {
            if let Some(index) = running_on.iter().position(|name| name == vm) {
                running_on.swap_remove(index);
            }
            if running_on.is_empty() {
                self.running_on.remove(&key);
            }
        }
        if completed {
            *self.completed.entry(key).or_default() += 1;
        }
    }

    /// Records the start of a request on an executor and checks it against the limit
    /// of the team and earlier runs of the request.
    pub fn run_started(
        &mut self,
        vm: &Name,
        team: &Name,
        request: &Name,
        non_idempotent: bool,
        now_ms: u64,
    ) {
        self.charge(vm, team, Resources::of(0, 0, 0, 1), now_ms);
        let runs = self.request_runs.entry(request.clone()).or_default();
        *runs += 1;
        if non_idempotent && *runs > 1 {
            self.violations.duplicate_requests += 1;
            self.record_violation_detail(format!(
                "{now_ms} ms: non-idempotent request {request} was run again"
            ));
        }
    }

    /// Records the end of a request on an executor, which frees one slot of the
    /// team's limit.
    pub fn run_ended(&mut self, team: &Name) {
        self.release(team, Resources::of(0, 0, 0, 1));
    }

    /// Returns whether a request has ever been run.
    #[must_use]
    pub fn has_run(&self, request: &Name) -> bool {
        self.request_runs.contains_key(request)
    }

    /// Returns the resources that the running tasks and requests of each team use.
    #[must_use]
    pub fn usage_by_team(&self) -> BTreeMap<Name, Resources> {
        self.teams
            .iter()
            .map(|(n, u)| (n.clone(), u.used))
            .collect()
    }

    /// Returns the fraction of the total CPU capacity that running tasks hold, from
    /// 0 to 1 unless workers are overcommitted.
    #[must_use]
    pub fn cpu_packing(&self) -> f64 {
        let sum = |f: &dyn Fn(&Vm) -> u32| self.vms.values().map(|v| f64::from(f(v))).sum::<f64>();
        sum(&|v| v.used.millicpus) / sum(&|v| v.capacity.millicpus).max(1.0)
    }
}
