//! Acceptance of jobs, and questions about them.
//!
//! A job is a row in the table service before its caller hears "accepted". The
//! idempotency key has a row of its own in the same transaction, so a retry at
//! any entry VM finds the first acceptance.
//!
//! Invariant: "refused" is said only when the row can't have been written.

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
use crate::gateway::is_plain;
use crate::node::Node;
use crate::store::{Purpose, TableResponse, first_row, read_row};

/// Time allowed for the acceptance of a job.
const ACCEPT_TIME: Duration = Duration::from_secs(5);
/// Time allowed for the answer to a question.
const QUESTION_TIME: Duration = Duration::from_secs(3);

/// Row of a job's idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Accepted {
    id: JobId,
    fingerprint: Hash,
}

/// A job on its way into the table service.
#[derive(Debug)]
pub(crate) struct Submission {
    caller: CallerId,
    job: Job,
    home: Name,
    key: Name,
    fingerprint: Hash,
    deadline: Duration,
    /// True once a write may have taken effect.
    written: bool,
    reading: bool,
}

impl Node {
    pub(crate) fn ask_submit(
        &mut self,
        caller: CallerId,
        queue: Name,
        key: Option<Hash>,
        idempotency: Option<Name>,
        spec: Spec,
    ) {
        match self.admit_job(&queue, key.as_ref(), idempotency.as_ref(), &spec) {
            Ok((work, team, home)) => {
                self.accept(caller, queue, team, home, work, idempotency, spec);
            }
            Err(refusal) => self.reply(caller, Reply::Refused(refusal)),
        }
    }

    fn admit_job(
        &mut self,
        queue: &Name,
        key: Option<&Hash>,
        idempotency: Option<&Name>,
        spec: &Spec,
    ) -> Result<(WorkKind, Name, Name), Refusal> {
        let (entry, team) = self.authorize(queue, key)?;
        let soon = Duration::from_secs(2);
        let sized = spec.tasks >= 1 && spec.tasks <= MAX_TASKS && spec.each.millicpus > 0;
        match () {
            () if entry.work == WorkKind::Request => Err(Refusal::permanent(Reason::NoQueue)),
            () if !sized || spec.payload.len() > 1_024 || spec.each.slots > 0 => {
                Err(Refusal::permanent(Reason::BadRequest))
            }
            () if idempotency.is_some_and(|k| !is_plain(k)) => {
                Err(Refusal::permanent(Reason::BadRequest))
            }
            () if self.store.is_down() => Err(Refusal::temporary(Reason::StoreDown, soon)),
            () if self.loads().is_empty() => Err(Refusal::temporary(Reason::NoBackend, soon)),
            () => match self.choose_home(&team, &spec.each, spec.tasks) {
                Some(home) => Ok((entry.work, team, home)),
                None => Err(Refusal::temporary(
                    Reason::NeverFits,
                    Duration::from_secs(60),
                )),
            },
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one job")]
    fn accept(
        &mut self,
        caller: CallerId,
        queue: Name,
        team: Name,
        home: Name,
        work: WorkKind,
        idempotency: Option<Name>,
        spec: Spec,
    ) {
        let id = self.rng.u64(1..);
        let named = idempotency.unwrap_or_else(|| format_compact!("auto:{id:016x}"));
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
            deadline: self.now + ACCEPT_TIME,
            written: false,
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
        let accepted = Accepted {
            id: submission.job.id.clone(),
            fingerprint: submission.fingerprint.clone(),
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: submission.key.clone(),
                version: 0,
            }],
            writes: vec![
                row(&submission.key, &accepted),
                row(
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
            Err(TableError::Unavailable) if !submission.written => self.refuse_submission(id),
            Err(TableError::Unavailable) => {}
            Err(TableError::Condition(_) | TableError::Unknown) => {
                submission.written = true;
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
        self.out.push(effect);
    }

    pub(crate) fn accept_read(&mut self, id: u64, result: Result<TableResponse, TableError>) {
        let Some(submission) = self.gateway.submissions.get(&id) else {
            return;
        };
        let Some(cell) = first_row(result) else {
            return; // `tick_submissions` reads again until the deadline.
        };
        if cell.version == 0 {
            return self.write_submission(id);
        }
        match postcard::from_bytes::<Accepted>(&cell.value) {
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
            None => {} // The next owner finds the row.
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

    /// Times submissions and questions out, and repeats failed reads.
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
        let due = |entry: &(&u64, &(CallerId, Duration))| entry.1.1 <= now;
        let questions = self.gateway.questions.iter();
        let late: Vec<u64> = questions.filter(due).map(|(id, _)| *id).collect();
        for id in late {
            if let Some((caller, _)) = self.gateway.questions.remove(&id) {
                self.reply(caller, Reply::Unknown);
            }
        }
    }

    /// Passes a question about a job to the owner of its data centre.
    pub(crate) fn question(&mut self, caller: CallerId, team: Name, job: JobId, query: JobQuery) {
        let home = job.rsplit_once('-').map(|(home, _)| Name::from(home));
        let owner = home.and_then(|home| self.owner_of(&home));
        let Some(owner) = owner else {
            let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
            return self.reply(caller, Reply::Refused(refusal));
        };
        let id = self.rng.u64(1..);
        let deadline = self.now + QUESTION_TIME;
        self.gateway.questions.insert(id, (caller, deadline));
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

    pub(crate) fn told(&mut self, id: u64, status: Result<Status, Refusal>) {
        let Some((caller, _)) = self.gateway.questions.remove(&id) else {
            return;
        };
        let reply = match status {
            Ok(status) => Reply::Job(status),
            Err(refusal) => Reply::Refused(refusal),
        };
        self.reply(caller, reply);
    }

    pub(crate) fn ask_unsent(&mut self, id: u64) {
        let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
        self.told(id, Err(refusal));
    }
}

/// Key of a job's row.
pub(crate) fn job_key(home: &Name, id: &JobId) -> Name {
    format_compact!("job/{home}/{id}")
}

/// A write of a serialized value.
pub(crate) fn row<T>(key: &Name, value: &T) -> Write
where
    T: Serialize,
{
    // Serializing plain data to memory has no failing case.
    let bytes = postcard::to_stdvec(value).unwrap_or_default();
    Write {
        key: key.clone(),
        value: Some(Bytes::from(bytes)),
    }
}
