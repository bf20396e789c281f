//! Job submission and job queries.
//!
//! A job is reported as accepted only after its row is committed to the table
//! service. The same transaction writes a row for the idempotency key, so a
//! retry at any entry VM finds the first acceptance.
//!
//! Invariant: a job is refused only if its row cannot have been written.

use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use model::job::MAX_TASKS;
use model::{
    Condition, Hash, Job, JobId, Name, Phase, Reason, Refusal, Spec, Status, TableError,
    Transaction, WorkKind, Write, key,
};
use serde::{Deserialize, Serialize};
use wire::{Frame, JobQuery};

use crate::event::{CallerId, Reply};
use crate::gateway::is_valid_idempotency_key;
use crate::node::Node;
use crate::store::{Purpose, TableResponse, first_row, read_row};

/// Deadline for accepting a job.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a job query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Stored row of a job's idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct AcceptanceRow {
    id: JobId,
    fingerprint: Hash,
}

/// Job that is being written to the table service.
#[derive(Debug)]
pub(crate) struct Submission {
    caller: CallerId,
    job: Job,
    home: Name,
    key: Name,
    fingerprint: Hash,
    deadline: Duration,
    /// True once a write may have taken effect.
    may_be_written: bool,
    /// True while the outcome of the write is being read back.
    reading: bool,
}

impl Node {
    pub(crate) fn submit_job(
        &mut self,
        caller: CallerId,
        queue: Name,
        key: Option<Hash>,
        idempotency_key: Option<Name>,
        spec: Spec,
    ) {
        match self.admit_job(&queue, key.as_ref(), idempotency_key.as_ref(), &spec) {
            Ok((work, team, home)) => {
                self.begin_submission(caller, queue, team, home, work, idempotency_key, spec);
            }
            Err(refusal) => self.reply(caller, Reply::Refused(refusal)),
        }
    }

    fn admit_job(
        &mut self,
        queue: &Name,
        key: Option<&Hash>,
        idempotency_key: Option<&Name>,
        spec: &Spec,
    ) -> Result<(WorkKind, Name, Name), Refusal> {
        let (queue_config, team) = self.authorize(queue, key)?;
        let retry_after = Duration::from_secs(2);
        let valid_size = spec.tasks >= 1 && spec.tasks <= MAX_TASKS && spec.each.millicpus > 0;
        match () {
            () if queue_config.work == WorkKind::Request => {
                Err(Refusal::permanent(Reason::NoQueue))
            }
            () if !valid_size || spec.payload.len() > 1_024 || spec.each.slots > 0 => {
                Err(Refusal::permanent(Reason::BadRequest))
            }
            () if idempotency_key.is_some_and(|k| !is_valid_idempotency_key(k)) => {
                Err(Refusal::permanent(Reason::BadRequest))
            }
            () if self.store.is_down() => Err(Refusal::temporary(Reason::StoreDown, retry_after)),
            () if self.open_loads().is_empty() => {
                Err(Refusal::temporary(Reason::NoBackend, retry_after))
            }
            () => match self.select_home(&team, &spec.each, spec.tasks) {
                Some(home) => Ok((queue_config.work, team, home)),
                None => Err(Refusal::temporary(
                    Reason::NeverFits,
                    Duration::from_secs(60),
                )),
            },
        }
    }

    #[expect(clippy::too_many_arguments, reason = "all fields of one job")]
    fn begin_submission(
        &mut self,
        caller: CallerId,
        queue: Name,
        team: Name,
        home: Name,
        work: WorkKind,
        idempotency_key: Option<Name>,
        spec: Spec,
    ) {
        let id = self.rng.u64(1..);
        let named = idempotency_key.unwrap_or_else(|| format_compact!("auto:{id:016x}"));
        let content = serde_json::to_vec(&spec).unwrap_or_default();
        let job = Job {
            id: format_compact!("{home}-{id:016x}"),
            team,
            queue,
            work,
            spec,
            phase: Phase::Active,
            done: Vec::new(),
            reason: Name::default(),
        };
        let submission = Submission {
            caller,
            key: format_compact!("jobkey/{}/{}/{named}", job.team, job.queue),
            fingerprint: key::sha256_hex(&content),
            job,
            home,
            deadline: self.now + ACCEPT_TIMEOUT,
            may_be_written: false,
            reading: false,
        };
        self.gateway.submissions.insert(id, submission);
        self.write_submission(id);
    }

    fn write_submission(&mut self, id: u64) {
        let Some(submission) = self.gateway.submissions.get_mut(&id) else {
            return;
        };
        submission.reading = false;
        let accepted = AcceptanceRow {
            id: submission.job.id.clone(),
            fingerprint: submission.fingerprint.clone(),
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: submission.key.clone(),
                version: 0,
            }],
            writes: vec![
                row_write(&submission.key, &accepted),
                row_write(
                    &job_key(&submission.home, &submission.job.id),
                    &submission.job,
                ),
            ],
        };
        let deadline = submission.deadline;
        if !self.store.write(transaction, Purpose::Accept(id), deadline) {
            self.refuse_submission(id);
        }
    }

    pub(crate) fn accept_written(&mut self, id: u64, result: Result<TableResponse, TableError>) {
        let Some(submission) = self.gateway.submissions.get_mut(&id) else {
            return;
        };
        match result {
            Ok(_) => self.accepted(id),
            Err(TableError::Unavailable) if !submission.may_be_written => {
                self.refuse_submission(id)
            }
            Err(TableError::Unavailable) => {}
            Err(TableError::Condition(_) | TableError::Unknown) => {
                submission.may_be_written = true;
                self.check_submission(id);
            }
        }
    }

    fn check_submission(&mut self, id: u64) {
        let Some(submission) = self.gateway.submissions.get_mut(&id) else {
            return;
        };
        submission.reading = true;
        let read = read_row(submission.key.clone());
        let effect = self.store.read(read, Purpose::AcceptCheck(id), self.now);
        self.effects.push(effect);
    }

    pub(crate) fn accept_read(&mut self, id: u64, result: Result<TableResponse, TableError>) {
        let Some(submission) = self.gateway.submissions.get(&id) else {
            return;
        };
        let Some(cell) = first_row(result) else {
            return; // `tick_submissions` retries the read until the deadline.
        };
        if cell.version == 0 {
            return self.write_submission(id);
        }
        match postcard::from_bytes::<AcceptanceRow>(&cell.value) {
            Ok(found) if found.id == submission.job.id => self.accepted(id),
            Ok(found) if found.fingerprint == submission.fingerprint => {
                self.finish_submission(id, Reply::Accepted(found.id));
            }
            _ => {
                let refusal = Refusal::permanent(Reason::KeyReused);
                self.finish_submission(id, Reply::Refused(refusal));
            }
        }
    }

    fn accepted(&mut self, id: u64) {
        let Some(submission) = self.gateway.submissions.get(&id) else {
            return;
        };
        let (job, home) = (submission.job.clone(), submission.home.clone());
        let reply = Reply::Accepted(job.id.clone());
        match self.owner_of(&home) {
            Some(owner) if owner == self.settings.identity.name => self.add_job(job),
            Some(owner) => self.send(&owner, Frame::Submitted(Box::new(job))),
            None => {} // The next owner finds the row when it scans the jobs.
        }
        self.finish_submission(id, reply);
    }

    fn refuse_submission(&mut self, id: u64) {
        let refusal = Refusal::temporary(Reason::StoreDown, Duration::from_secs(2));
        self.finish_submission(id, Reply::Refused(refusal));
    }

    fn finish_submission(&mut self, id: u64, reply: Reply) {
        if let Some(submission) = self.gateway.submissions.remove(&id) {
            self.reply(submission.caller, reply);
        }
    }

    /// Expires overdue submissions and job queries, and retries failed reads.
    pub(crate) fn tick_submissions(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        let mut unread = Vec::new();
        for (id, submission) in &self.gateway.submissions {
            match submission {
                s if s.deadline <= now => late.push(*id),
                s if s.reading && !self.store.is_pending(&Purpose::AcceptCheck(*id)) => {
                    unread.push(*id)
                }
                _ => {}
            }
        }
        unread.into_iter().for_each(|id| self.check_submission(id));
        late.into_iter()
            .for_each(|id| self.finish_submission(id, Reply::Unknown));
        let overdue = |entry: &(&u64, &(CallerId, Duration))| entry.1.1 <= now;
        let queries = self.gateway.job_queries.iter();
        let late: Vec<u64> = queries.filter(overdue).map(|(id, _)| *id).collect();
        for id in late {
            if let Some((caller, _)) = self.gateway.job_queries.remove(&id) {
                self.reply(caller, Reply::Unknown);
            }
        }
    }

    /// Forwards a job query to the owner of the job's data centre.
    pub(crate) fn forward_job_query(
        &mut self,
        caller: CallerId,
        team: Name,
        job: JobId,
        query: JobQuery,
    ) {
        let home = job.rsplit_once('-').map(|(home, _)| Name::from(home));
        let owner = home.and_then(|home| self.owner_of(&home));
        let Some(owner) = owner else {
            let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
            return self.reply(caller, Reply::Refused(refusal));
        };
        let id = self.rng.u64(1..);
        let deadline = self.now + QUERY_TIMEOUT;
        self.gateway.job_queries.insert(id, (caller, deadline));
        if owner == self.settings.identity.name {
            return self.handle_job_query(&owner, id, &team, &job, query);
        }
        let frame = Frame::Ask {
            id,
            team,
            job,
            query,
        };
        self.send(&owner, frame);
    }

    pub(crate) fn handle_job_answer(&mut self, id: u64, status: Result<Status, Refusal>) {
        let Some((caller, _)) = self.gateway.job_queries.remove(&id) else {
            return;
        };
        let reply = match status {
            Ok(status) => Reply::Job(status),
            Err(refusal) => Reply::Refused(refusal),
        };
        self.reply(caller, reply);
    }

    pub(crate) fn handle_query_not_sent(&mut self, id: u64) {
        let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
        self.handle_job_answer(id, Err(refusal));
    }
}

/// Returns the key of a job's row.
pub(crate) fn job_key(home: &Name, id: &JobId) -> Name {
    format_compact!("job/{home}/{id}")
}

/// Returns a write of `value`, serialized, to the row `key`.
pub(crate) fn row_write<T>(key: &Name, value: &T) -> Write
where
    T: Serialize,
{
    // Serializing plain data to memory cannot fail.
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    Write {
        key: key.clone(),
        value: Some(Bytes::from(bytes)),
    }
}
