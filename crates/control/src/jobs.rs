//! Jobs at the owner: loading, progress, completion and cancellation.
//!
//! Invariant: a completion is acknowledged to the worker only after the job's
//! row has it, so a later owner never runs a completed task again.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use model::{
    Attempt, Fault, Finished, Job, JobId, Name, Phase, Reason, Refusal, Row, Running, Start,
    Status, Stop, TaskIndex, Transaction, Write,
};
use policy::{Decision, JobRef, JobRequest};
use wire::{Frame, Query};

use crate::event::{Effect, Measure};
use crate::node::Node;
use crate::notice::Notice;
use crate::owner::Tenure;
use crate::store::{Answered, Purpose};
use crate::strays::Stray;
use crate::submit::{job_key, row};

/// Time for which a save may wait for the store.
const SAVE_TIME: Duration = Duration::from_secs(60);
/// Pause after a failed save.
const SAVE_PAUSE: Duration = Duration::from_secs(1);
/// In place of a team in operators' questions; no team can have this name.
pub(crate) const OPERATORS: &str = "*";

/// One job in hand.
#[derive(Debug)]
struct Entry {
    job: Job,
    engine: Option<JobRef>,
    dirty: bool,
    saving: bool,
    deleted: bool,
    save_after: Duration,
    /// Completions to acknowledge once saved, with the worker's index.
    unsaved: Vec<(usize, Finished)>,
    saving_acks: Vec<(usize, Finished)>,
    waiters: Vec<(Name, u64)>,
    ended_at: Option<Duration>,
}

/// All jobs of the data centre.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    entries: BTreeMap<JobId, Entry>,
    by_ref: Vec<Option<JobId>>,
    classes: BTreeMap<Name, u32>,
    pub(crate) strays: Vec<Stray>,
    pub(crate) decisions: Vec<Decision>,
    retired: Vec<JobRef>,
    pub(crate) loaded: bool,
    scanned: u64,
}

impl Jobs {
    pub(crate) fn name_of(&self, job: JobRef) -> Option<&JobId> {
        self.by_ref.get(job as usize).and_then(Option::as_ref)
    }

    pub(crate) fn find(&self, id: &JobId) -> Option<JobRef> {
        self.entries.get(id).and_then(|e| e.engine)
    }

    pub(crate) fn is_saved(&self) -> bool {
        self.entries.values().all(|e| !e.dirty && !e.saving)
    }

    fn bind(&mut self, job: JobRef, id: JobId) {
        let index = job as usize;
        if index >= self.by_ref.len() {
            self.by_ref.resize(index + 1, None);
        }
        self.by_ref[index] = Some(id);
    }

    /// Forgets an index that the engine may give to another job.
    fn unbind(&mut self, job: JobRef) {
        let name = self.by_ref.get_mut(job as usize).and_then(Option::take);
        let entry = name.and_then(|id| self.entries.get_mut(&id));
        entry.into_iter().for_each(|e| e.engine = None);
    }

    fn class_of(&mut self, job: &Job) -> u32 {
        let name = format_compact!("{}/{}/{}", job.team, job.queue, job.spec.payload);
        let next = self.classes.len() as u32;
        *self.classes.entry(name).or_insert(next)
    }

    pub(crate) fn is_stray(&self, at: usize, running: &Running) -> bool {
        self.strays.iter().any(|s| s.is(at, running))
    }

    /// Forgets tasks of unknown jobs on a lost worker.
    pub(crate) fn drop_strays(&mut self, at: usize) {
        self.strays.retain(|s| s.at != at);
    }
}

impl Node {
    /// Prefix of this data centre's jobs and the version seen so far.
    pub(crate) fn jobs_prefix(&self) -> (Name, u64) {
        let prefix = format_compact!("job/{}/", self.owner.data_centre);
        (prefix, self.owner.jobs.scanned)
    }

    pub(crate) fn jobs_scanned(&mut self, (rows, version): (Vec<Row>, u64)) {
        if !self.owner.holds_epoch() {
            return;
        }
        for row in rows {
            match postcard::from_bytes::<Job>(&row.cell.value) {
                Ok(job) => self.learn_job(job),
                Err(_) => self.log(Notice::JobMalformed(row.key)),
            }
        }
        self.owner.jobs.scanned = version;
        self.owner.jobs.loaded = true;
    }

    /// Takes in an accepted job, unless it is known.
    pub(crate) fn learn_job(&mut self, job: Job) {
        let here = job
            .id
            .rsplit_once('-')
            .is_some_and(|(home, _)| *home == self.owner.data_centre);
        if !self.owner.holds_epoch() || !here || self.owner.jobs.entries.contains_key(&job.id) {
            return;
        }
        let id = job.id.clone();
        let active = job.phase == Phase::Active;
        let engine = active.then(|| self.queue_job(&job));
        let entry = Entry {
            job,
            engine,
            dirty: false,
            saving: false,
            deleted: false,
            save_after: Duration::ZERO,
            unsaved: Vec::new(),
            saving_acks: Vec::new(),
            waiters: Vec::new(),
            ended_at: (!active).then_some(self.now),
        };
        self.owner.jobs.entries.insert(id.clone(), entry);
        self.complete_if_done(&id);
    }

    /// Forgets the engine's indexes of jobs that are over.
    pub(crate) fn forget_retired(&mut self) {
        let mut retired = std::mem::take(&mut self.owner.jobs.retired);
        self.owner.engine.collect_retired(&mut retired);
        for job in retired.drain(..) {
            self.owner.jobs.unbind(job);
        }
        self.owner.jobs.retired = retired;
    }

    fn queue_job(&mut self, job: &Job) -> JobRef {
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
        let engine = self.owner.engine.submit(&request, &job.done, now_ms);
        self.owner.jobs.bind(engine, job.id.clone());
        // Before everything that may run has been seen, a task of a job from
        // an earlier epoch may be running somewhere.
        let from_before =
            !self.owner.jobs.loaded || matches!(self.owner.tenure, Tenure::Claiming { .. });
        if from_before && self.owner.uncertain_until.is_some() {
            self.owner.engine.withhold(engine);
        }
        self.adopt_strays(&job.id, engine);
        engine
    }

    /// Records a completion; it is acknowledged once it is saved.
    pub(crate) fn task_completed(&mut self, at: usize, finished: &Finished) {
        let Some(entry) = self.owner.jobs.entries.get_mut(&finished.job) else {
            return;
        };
        let pending = entry.unsaved.iter().chain(&entry.saving_acks);
        let known = |f: &Finished| f.task == finished.task && f.attempt == finished.attempt;
        if pending.into_iter().any(|(_, f)| known(f)) {
            return;
        }
        if entry.job.done.contains(&finished.task) {
            return self.acknowledge(at, finished);
        }
        entry.job.done.push(finished.task);
        entry.unsaved.push((at, finished.clone()));
        entry.dirty = true;
        if let Some(job) = entry.engine {
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
        let Some(job) = entry.engine else {
            return;
        };
        let mut stops = Vec::new();
        self.owner.engine.cancel(job, &mut stops);
        for stop in stops {
            self.carry_out(stop);
        }
    }

    /// Carries one decision of the engine out.
    pub(crate) fn carry_out(&mut self, decision: Decision) {
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
                let Some(id) = self.owner.jobs.name_of(job).cloned() else {
                    return;
                };
                self.order_stop(
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
                let Some(id) = self.owner.jobs.name_of(job).cloned() else {
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
        let Some(id) = self.owner.jobs.name_of(job).cloned() else {
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
        let measure = match entry.job.spec.urgent {
            true => Measure::UrgentWait,
            false => Measure::TaskWait,
        };
        self.out.push(Effect::Record {
            measure,
            team: start.team.clone(),
            value: waited_ms,
        });
        self.order_start(worker, start);
    }

    /// Saves what changed, fails what can never run, forgets what is over.
    pub(crate) fn tick_jobs(&mut self) {
        if !self.owner.holds_epoch() {
            return;
        }
        let (now, retention) = (self.now, self.settings.timing.retention);
        let due = |e: &Entry| {
            let over = e.ended_at.is_some_and(|at| at + retention <= now);
            !e.saving && (e.dirty || (over && !e.deleted))
        };
        let entries = self.owner.jobs.entries.iter().filter(|(_, e)| due(e));
        let ids: Vec<JobId> = entries.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.save_job(&id);
            self.forget_job(&id);
        }
    }

    fn save_job(&mut self, id: &JobId) {
        let guard = self.owner.guard();
        let epoch = self.owner.record.epoch;
        let Some(entry) = self.owner.jobs.entries.get_mut(id) else {
            return;
        };
        if !entry.dirty || entry.saving || entry.save_after > self.now {
            return;
        }
        entry.dirty = false;
        entry.saving = true;
        entry.saving_acks.append(&mut entry.unsaved);
        let key = job_key(&self.owner.data_centre, id);
        let write = match entry.deleted {
            true => Write { key, value: None },
            false => row(&key, &entry.job),
        };
        let transaction = Transaction {
            conditions: vec![guard],
            writes: vec![write],
        };
        let deadline = self.now + SAVE_TIME;
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
            entry.save_after = now + SAVE_PAUSE;
            entry.unsaved.append(&mut entry.saving_acks);
        }
    }

    pub(crate) fn save_written(&mut self, id: &JobId, result: &Result<Answered, Fault>) {
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
        let acks = std::mem::take(&mut entry.saving_acks);
        let waiters = match entry.dirty {
            true => Vec::new(),
            false => std::mem::take(&mut entry.waiters),
        };
        for (at, finished) in acks {
            self.acknowledge(at, &finished);
        }
        for (origin, question) in waiters {
            let status = self.status_of(id);
            self.tell(&origin, question, status);
        }
    }

    /// Deletes a job's row some time after the job has ended.
    fn forget_job(&mut self, id: &JobId) {
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

    /// A question about a job of this data centre.
    pub(crate) fn asked(&mut self, origin: &Name, id: u64, team: &Name, job: &JobId, query: Query) {
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
                Refusal::after(Reason::NoBackend, Duration::from_secs(1))
            }
            Some(e) if e.job.team == *team || *team == OPERATORS || open(team) => {
                return self.answer_question(origin, id, job, query);
            }
            // Another team's job is not shown to exist.
            _ => Refusal::fixed(Reason::NoJob),
        };
        self.tell(origin, id, Err(refusal));
    }

    fn answer_question(&mut self, origin: &Name, id: u64, job: &JobId, query: Query) {
        let phase = self.owner.jobs.entries.get(job).map(|e| e.job.phase);
        if query == Query::Cancel && phase == Some(Phase::Active) {
            self.end_job(job, Phase::Cancelled, Name::default());
            if let Some(entry) = self.owner.jobs.entries.get_mut(job) {
                entry.waiters.push((origin.clone(), id));
            }
            return;
        }
        let status = self.status_of(job);
        self.tell(origin, id, status);
    }

    pub(crate) fn status_of(&self, id: &JobId) -> Result<Status, Refusal> {
        let entry = self.owner.jobs.entries.get(id);
        let entry = entry.ok_or(Refusal::fixed(Reason::NoJob))?;
        let engine = entry.engine.filter(|_| entry.job.phase == Phase::Active);
        let explanation = match engine {
            Some(job) => self.owner.engine.explain(job),
            None => vec![entry.job.reason.clone()],
        };
        Ok(Status {
            id: id.clone(),
            phase: entry.job.phase,
            tasks: entry.job.spec.tasks,
            running: engine.map_or(0, |job| self.owner.engine.running(job)),
            completed: entry.job.done.len() as u32,
            explanation: explanation.into_iter().filter(|e| !e.is_empty()).collect(),
        })
    }

    fn tell(&mut self, origin: &Name, id: u64, status: Result<Status, Refusal>) {
        match *origin == self.settings.identity.name {
            true => self.told(id, status),
            false => self.send(origin, Frame::Told { id, status }),
        }
    }
}
