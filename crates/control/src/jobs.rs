//! Job lifecycle at the owner: loading, progress, completion and cancellation.
//!
//! Invariant: a task completion is acknowledged to the worker only after it is
//! saved in the job's row, so a later owner never runs a completed task again.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use model::{
    Attempt, Finished, Job, JobId, Name, Phase, Reason, Refusal, Row, Running, Start, Status, Stop,
    TableError, TaskIndex, Transaction, Write,
};
use policy::{Decision, JobRef, JobRequest};
use wire::{Frame, JobQuery};

use crate::event::{Effect, Metric};
use crate::node::Node;
use crate::notice::Notice;
use crate::owner::OwnerState;
use crate::store::{Purpose, TableResponse};
use crate::strays::OrphanTask;
use crate::submit::{job_key, row_write};

/// Deadline for writing a job row.
const SAVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a failed save is retried.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Team name used in operators' job queries; no real team can have this name.
pub(crate) const OPERATOR_TEAM: &str = "*";

/// Job held by the owner, with the state of its row.
#[derive(Debug)]
struct JobEntry {
    job: Job,
    job_ref: Option<JobRef>,
    dirty: bool,
    saving: bool,
    deleted: bool,
    next_save_at: Duration,
    /// Completions to acknowledge after the next save, with the index of the
    /// worker.
    unsaved_completions: Vec<(usize, Finished)>,
    saving_completions: Vec<(usize, Finished)>,
    cancel_waiters: Vec<(Name, u64)>,
    ended_at: Option<Duration>,
}

/// Jobs of the data centre.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    entries: BTreeMap<JobId, JobEntry>,
    ids_by_ref: Vec<Option<JobId>>,
    classes: BTreeMap<Name, u32>,
    pub(crate) orphans: Vec<OrphanTask>,
    pub(crate) decisions: Vec<Decision>,
    retired: Vec<JobRef>,
    pub(crate) loaded: bool,
    scanned_version: u64,
}

impl Jobs {
    pub(crate) fn id_of(&self, job: JobRef) -> Option<&JobId> {
        self.ids_by_ref.get(job as usize).and_then(Option::as_ref)
    }

    pub(crate) fn find_ref(&self, id: &JobId) -> Option<JobRef> {
        self.entries.get(id).and_then(|e| e.job_ref)
    }

    pub(crate) fn all_saved(&self) -> bool {
        self.entries.values().all(|e| !e.dirty && !e.saving)
    }

    fn bind(&mut self, job: JobRef, id: JobId) {
        let index = job as usize;
        if index >= self.ids_by_ref.len() {
            self.ids_by_ref.resize(index + 1, None);
        }
        self.ids_by_ref[index] = Some(id);
    }

    /// Removes a reference, which the engine may reuse for another job.
    fn unbind(&mut self, job: JobRef) {
        let id = self.ids_by_ref.get_mut(job as usize).and_then(Option::take);
        let entry = id.and_then(|id| self.entries.get_mut(&id));
        entry.into_iter().for_each(|e| e.job_ref = None);
    }

    fn class_of(&mut self, job: &Job) -> u32 {
        let name = format_compact!("{}/{}/{}", job.team, job.queue, job.spec.payload);
        let next = self.classes.len() as u32;
        *self.classes.entry(name).or_insert(next)
    }

    pub(crate) fn is_orphan(&self, worker_index: usize, running: &Running) -> bool {
        self.orphans
            .iter()
            .any(|o| o.matches(worker_index, running))
    }

    /// Removes the orphan tasks of a lost worker.
    pub(crate) fn drop_orphans(&mut self, worker_index: usize) {
        self.orphans.retain(|o| o.worker_index != worker_index);
    }
}

impl Node {
    /// Returns the prefix of this data centre's job rows and the version of the
    /// last scan.
    pub(crate) fn jobs_prefix(&self) -> (Name, u64) {
        let prefix = format_compact!("job/{}/", self.owner.data_centre);
        (prefix, self.owner.jobs.scanned_version)
    }

    pub(crate) fn jobs_scanned(&mut self, (rows, version): (Vec<Row>, u64)) {
        if !self.owner.holds_epoch() {
            return;
        }
        for row in rows {
            match postcard::from_bytes::<Job>(&row.cell.value) {
                Ok(job) => self.add_job(job),
                Err(_) => self.log(Notice::RowMalformed(row.key)),
            }
        }
        self.owner.jobs.scanned_version = version;
        self.owner.jobs.loaded = true;
    }

    /// Adds an accepted job, unless it is already known.
    pub(crate) fn add_job(&mut self, job: Job) {
        let is_local = job
            .id
            .rsplit_once('-')
            .is_some_and(|(home, _)| *home == self.owner.data_centre);
        if !self.owner.holds_epoch() || !is_local || self.owner.jobs.entries.contains_key(&job.id) {
            return;
        }
        let id = job.id.clone();
        let active = job.phase == Phase::Active;
        let job_ref = active.then(|| self.enqueue_job(&job));
        let entry = JobEntry {
            job,
            job_ref,
            dirty: false,
            saving: false,
            deleted: false,
            next_save_at: Duration::ZERO,
            unsaved_completions: Vec::new(),
            saving_completions: Vec::new(),
            cancel_waiters: Vec::new(),
            ended_at: (!active).then_some(self.now),
        };
        self.owner.jobs.entries.insert(id.clone(), entry);
        self.complete_if_done(&id);
    }

    /// Removes the references of jobs that the engine has retired.
    pub(crate) fn unbind_retired(&mut self) {
        let mut retired = std::mem::take(&mut self.owner.jobs.retired);
        self.owner.engine.collect_retired(&mut retired);
        for job in retired.drain(..) {
            self.owner.jobs.unbind(job);
        }
        self.owner.jobs.retired = retired;
    }

    fn enqueue_job(&mut self, job: &Job) -> JobRef {
        self.apply_team(&job.team);
        let request = JobRequest {
            team: self.owner.team_id(&job.team),
            work: job.work,
            urgent: job.spec.urgent,
            demand: job.spec.each,
            tasks: job.spec.tasks,
            class: self.owner.jobs.class_of(job),
            first_attempt: self.owner.first_attempt(),
        };
        let now_ms = self.now.as_millis() as u64;
        let job_ref = self.owner.engine.submit(&request, &job.done, now_ms);
        self.owner.jobs.bind(job_ref, job.id.clone());
        // Until all workers have reported, tasks of this job that were started
        // in an earlier epoch may still be running unseen.
        let from_earlier_epoch =
            !self.owner.jobs.loaded || matches!(self.owner.state, OwnerState::Claiming { .. });
        if from_earlier_epoch && self.owner.withhold_until.is_some() {
            self.owner.engine.withhold(job_ref);
        }
        self.adopt_orphans(&job.id, job_ref);
        job_ref
    }

    /// Records a task completion, which is acknowledged once it is saved.
    pub(crate) fn task_completed(&mut self, worker_index: usize, finished: &Finished) {
        let Some(entry) = self.owner.jobs.entries.get_mut(&finished.job) else {
            return;
        };
        let pending = entry
            .unsaved_completions
            .iter()
            .chain(&entry.saving_completions);
        let known = |f: &Finished| f.task == finished.task && f.attempt == finished.attempt;
        if pending.into_iter().any(|(_, f)| known(f)) {
            return;
        }
        if entry.job.done.contains(&finished.task) {
            return self.queue_ack(worker_index, finished);
        }
        entry.job.done.push(finished.task);
        entry
            .unsaved_completions
            .push((worker_index, finished.clone()));
        entry.dirty = true;
        if let Some(job) = entry.job_ref {
            self.owner
                .engine
                .record_external_completion(job, finished.task);
        }
        self.complete_if_done(&finished.job);
    }

    fn complete_if_done(&mut self, id: &JobId) {
        let Some(entry) = self.owner.jobs.entries.get(id) else {
            return;
        };
        let all = entry.job.done.len() as u32 >= entry.job.spec.tasks;
        if all && entry.job.phase == Phase::Active {
            self.end_job(id, Phase::Completed, Name::default());
        }
    }

    fn end_job(&mut self, id: &JobId, phase: Phase, reason: Name) {
        let Some(entry) = self.owner.jobs.entries.get_mut(id) else {
            return;
        };
        entry.job.phase = phase;
        entry.job.reason = reason;
        entry.dirty = true;
        entry.ended_at = Some(self.now);
        let Some(job) = entry.job_ref else {
            return;
        };
        let mut stops = Vec::new();
        self.owner.engine.cancel(job, &mut stops);
        for stop in stops {
            self.apply_decision(stop);
        }
    }

    /// Executes one decision of the placement engine.
    pub(crate) fn apply_decision(&mut self, decision: Decision) {
        match decision {
            Decision::Start {
                job,
                task,
                attempt,
                worker,
                waited_ms,
            } => self.start_task(job, task, attempt, worker, waited_ms),
            Decision::Stop {
                job,
                task,
                attempt,
                worker,
                checkpoint,
            } => {
                let Some(id) = self.owner.jobs.id_of(job).cloned() else {
                    return;
                };
                self.queue_stop(
                    worker,
                    Stop {
                        job: id,
                        task,
                        attempt,
                        checkpoint,
                    },
                );
            }
            Decision::Fail { job } => {
                let Some(id) = self.owner.jobs.id_of(job).cloned() else {
                    return;
                };
                self.log(Notice::JobFailed(id.clone()));
                let reason = Name::from("its tasks failed on several workers");
                self.end_job(&id, Phase::Failed, reason);
            }
        }
    }

    fn start_task(
        &mut self,
        job: JobRef,
        task: TaskIndex,
        attempt: Attempt,
        worker: u32,
        waited_ms: u64,
    ) {
        let Some(id) = self.owner.jobs.id_of(job).cloned() else {
            return;
        };
        let Some(entry) = self.owner.jobs.entries.get(&id) else {
            return;
        };
        let start = Start {
            job: id,
            task,
            attempt,
            team: entry.job.team.clone(),
            each: entry.job.spec.each,
            payload: entry.job.spec.payload.clone(),
            run_ms: entry.job.spec.run_ms,
        };
        let metric = match entry.job.spec.urgent {
            true => Metric::UrgentWait,
            false => Metric::TaskWait,
        };
        self.effects.push(Effect::RecordMetric {
            metric,
            team: start.team.clone(),
            value: waited_ms,
        });
        self.queue_start(worker, start);
    }

    /// Saves modified jobs and deletes ended jobs after the retention period.
    pub(crate) fn tick_jobs(&mut self) {
        if !self.owner.holds_epoch() {
            return;
        }
        let (now, retention) = (self.now, self.settings.timing.retention);
        let due = |e: &JobEntry| {
            let over = e.ended_at.is_some_and(|at| at + retention <= now);
            !e.saving && (e.dirty || (over && !e.deleted))
        };
        let entries = self.owner.jobs.entries.iter().filter(|(_, e)| due(e));
        let ids: Vec<JobId> = entries.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.save_job(&id);
            self.expire_job(&id);
        }
    }

    fn save_job(&mut self, id: &JobId) {
        let fence = self.owner.fencing_condition();
        let epoch = self.owner.record.epoch;
        let Some(entry) = self.owner.jobs.entries.get_mut(id) else {
            return;
        };
        if !entry.dirty || entry.saving || entry.next_save_at > self.now {
            return;
        }
        entry.dirty = false;
        entry.saving = true;
        entry
            .saving_completions
            .append(&mut entry.unsaved_completions);
        let key = job_key(&self.owner.data_centre, id);
        let write = match entry.deleted {
            true => Write { key, value: None },
            false => row_write(&key, &entry.job),
        };
        let transaction = Transaction {
            conditions: vec![fence],
            writes: vec![write],
        };
        let deadline = self.now + SAVE_TIMEOUT;
        if !self
            .store
            .write(transaction, Purpose::Save(epoch, id.clone()), deadline)
        {
            self.save_failed(id);
        }
    }

    fn save_failed(&mut self, id: &JobId) {
        let now = self.now;
        if let Some(entry) = self.owner.jobs.entries.get_mut(id) {
            entry.saving = false;
            entry.dirty = true;
            entry.next_save_at = now + SAVE_RETRY_DELAY;
            entry
                .unsaved_completions
                .append(&mut entry.saving_completions);
        }
    }

    pub(crate) fn save_written(&mut self, id: &JobId, result: &Result<TableResponse, TableError>) {
        if result.is_err() {
            return self.save_failed(id);
        }
        let Some(entry) = self.owner.jobs.entries.get_mut(id) else {
            return;
        };
        entry.saving = false;
        if entry.deleted {
            self.owner.jobs.entries.remove(id);
            return;
        }
        let completions = std::mem::take(&mut entry.saving_completions);
        let cancel_waiters = match entry.dirty {
            true => Vec::new(),
            false => std::mem::take(&mut entry.cancel_waiters),
        };
        for (worker_index, finished) in completions {
            self.queue_ack(worker_index, &finished);
        }
        for (origin, query_id) in cancel_waiters {
            let status = self.status_of(id);
            self.send_status(&origin, query_id, status);
        }
    }

    /// Marks an ended job for deletion once its retention period has passed.
    fn expire_job(&mut self, id: &JobId) {
        let retention = self.settings.timing.retention;
        let now = self.now;
        let Some(entry) = self.owner.jobs.entries.get_mut(id) else {
            return;
        };
        let over = entry.ended_at.is_some_and(|at| at + retention <= now);
        if over && !entry.deleted && !entry.saving && !entry.dirty {
            entry.deleted = true;
            entry.dirty = true;
        }
    }

    /// Handles a status query or a cancellation of a job of this data centre.
    pub(crate) fn handle_job_query(
        &mut self,
        origin: &Name,
        id: u64,
        team: &Name,
        job: &JobId,
        query: JobQuery,
    ) {
        let entry = self.owner.jobs.entries.get(job).filter(|e| !e.deleted);
        let open = |t: &Name| {
            let mut queues = self.configuration.config.queues.values();
            t.is_empty()
                && queues.any(|q| {
                    q.open_team
                        .as_ref()
                        .is_some_and(|o| entry.is_some_and(|e| e.job.team == *o))
                })
        };
        let refusal = match entry {
            _ if !self.owner.is_active() => {
                Refusal::temporary(Reason::NoBackend, Duration::from_secs(1))
            }
            Some(e) if e.job.team == *team || *team == OPERATOR_TEAM || open(team) => {
                return self.answer_job_query(origin, id, job, query);
            }
            // The existence of other teams' jobs is not disclosed.
            _ => Refusal::permanent(Reason::NoJob),
        };
        self.send_status(origin, id, Err(refusal));
    }

    fn answer_job_query(&mut self, origin: &Name, id: u64, job: &JobId, query: JobQuery) {
        let phase = self.owner.jobs.entries.get(job).map(|e| e.job.phase);
        if query == JobQuery::Cancel && phase == Some(Phase::Active) {
            self.end_job(job, Phase::Cancelled, Name::default());
            if let Some(entry) = self.owner.jobs.entries.get_mut(job) {
                entry.cancel_waiters.push((origin.clone(), id));
            }
            return;
        }
        let status = self.status_of(job);
        self.send_status(origin, id, status);
    }

    pub(crate) fn status_of(&self, id: &JobId) -> Result<Status, Refusal> {
        let entry = self.owner.jobs.entries.get(id);
        let entry = entry.ok_or(Refusal::permanent(Reason::NoJob))?;
        let job_ref = entry.job_ref.filter(|_| entry.job.phase == Phase::Active);
        let explanation = match job_ref {
            Some(_) if self.is_evacuated(&self.owner.data_centre) => {
                let here = &self.owner.data_centre;
                vec![format_compact!(
                    "data centre {here} is evacuated; waiting tasks start once it is restored"
                )]
            }
            Some(job) => self.owner.engine.explain(job),
            None => vec![entry.job.reason.clone()],
        };
        Ok(Status {
            id: id.clone(),
            phase: entry.job.phase,
            tasks: entry.job.spec.tasks,
            running: job_ref.map_or(0, |job| self.owner.engine.running_tasks(job)),
            completed: entry.job.done.len() as u32,
            explanation: explanation.into_iter().filter(|e| !e.is_empty()).collect(),
        })
    }

    fn send_status(&mut self, origin: &Name, id: u64, status: Result<Status, Refusal>) {
        match *origin == self.settings.identity.name {
            true => self.handle_job_answer(id, status),
            false => self.send(origin, Frame::Told { id, status }),
        }
    }
}
