//! Callers' calls: authentication, acceptance, state, cancellation.
//!
//! Invariant: a job is accepted only after the table service said that its
//! rows are written, and refused only when they surely never will be.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use model::{Condition, Graph, Hash, JobId, Name, Reason, Refusal, Stage, Transaction, Write};

use crate::config::{Config, Queue};
use crate::event::{
    Ask, CallId, CallerId, Effect, Failure, Measure, Question, Reply, Stored, Table, content,
};
use crate::notice::{Notice, ms};
use crate::rows::{self, JobRecord, Submission};
use crate::settings::Settings;
use crate::term::Term;

/// When callers refused for want of the table service should come back.
const STORE_WAIT: Duration = Duration::from_millis(1_000);
/// When callers refused for want of a current configuration should come back.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Times that a write which the table service turned away is sent again.
const MAX_RETRIES: u32 = 2;
/// Pause before that.
const RETRY: Duration = Duration::from_millis(80);
/// Age of a call up to which a write without an answer is sent again: callers
/// wait about three seconds, and a write takes up to `store_timeout`.
const RESEND_UNTIL: Duration = Duration::from_millis(1_400);
/// Age of the owner's figures above which they are not passed on.
const PENDING_AGE: Duration = Duration::from_secs(4);
/// Digits of a job id.
const ID_DIGITS: usize = 16;

/// The configuration in force and the proof of its age.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub(crate) config: Arc<Config>,
    keys: HashMap<Hash, Name>,
    /// When the last call was sent that proved it to be the newest.
    asked: Duration,
    stale: bool,
    /// The table service did not serve the last call for it.
    pub(crate) unreachable: bool,
}

impl Known {
    /// Puts a configuration in force, unless a newer one is.
    pub(crate) fn install(&mut self, config: Config, asked: Duration) -> bool {
        self.confirm(asked);
        if config.version <= self.config.version {
            return false;
        }
        self.keys = config.keys();
        self.config = Arc::new(config);
        true
    }

    /// The configuration was the newest when a call was sent at `asked`.
    pub(crate) fn confirm(&mut self, asked: Duration) {
        self.unreachable = false;
        self.asked = self.asked.max(asked);
    }

    /// Age of the proof.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.asked)
    }

    /// Notes when the proof becomes too old, and when it is renewed.
    pub(crate) fn watch(&mut self, limit: Duration, now: Duration) -> Option<Notice> {
        let version = self.config.version;
        let stale = version > 0 && self.age(now) >= limit;
        if stale == self.stale {
            return None;
        }
        self.stale = stale;
        Some(match stale {
            true => Notice::ConfigStale {
                version,
                age_ms: ms(self.age(now)),
            },
            false => Notice::ConfigFresh { version },
        })
    }
}

/// What a call to the table service is for.
#[derive(Debug)]
enum Purpose {
    Accept {
        submission: Box<Submission>,
        retries: u32,
        /// An earlier write may have been applied, so no refusal is certain.
        doubtful: bool,
    },
    State,
    Cancel,
    MarkCancelled,
}

/// A caller's call under way.
#[derive(Debug)]
struct Pending {
    caller: CallerId,
    id: JobId,
    queue: Name,
    team: Name,
    since: Duration,
    purpose: Purpose,
}

/// Calls under way.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    pending: HashMap<CallId, Pending>,
    retries: Vec<(Duration, Pending)>,
}

/// What the intake may use while it handles an event.
pub(crate) struct Cx<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) known: &'a Known,
    pub(crate) term: &'a Term,
    pub(crate) now: Duration,
    pub(crate) next_call: &'a mut CallId,
    pub(crate) out: &'a mut Vec<Effect>,
}

impl Cx<'_> {
    fn call(&mut self) -> CallId {
        *self.next_call += 1;
        *self.next_call
    }

    fn reply(&mut self, caller: CallerId, reply: Reply) {
        self.out.push(Effect::Reply { caller, reply });
    }

    fn refuse(&mut self, caller: CallerId, job: &str, queue: &str, refusal: Refusal) {
        self.out.push(Effect::Log(Notice::Refused {
            job: job.into(),
            queue: queue.into(),
            reason: refusal.reason,
            config: self.known.config.version,
            age_ms: ms(self.known.age(self.now)),
        }));
        self.reply(caller, Reply::Refused(refusal));
    }
}

/// A job id is 16 hexadecimal digits.
fn is_job_id(id: &str) -> bool {
    id.len() == ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit())
}

impl Intake {
    /// True when no caller waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.retries.is_empty()
    }

    /// Handles a caller's call.
    pub(crate) fn ask(&mut self, caller: CallerId, ask: Ask, cx: &mut Cx<'_>) {
        let config = cx.known.config.clone();
        if config.version == 0 {
            let refusal = Refusal::temporary(Reason::StaleConfig, CONFIG_WAIT);
            cx.refuse(caller, &ask.path, "", refusal);
            return;
        }
        let Some((queue, id)) = config.route(&ask.host, &ask.path) else {
            cx.refuse(caller, &ask.path, "", Refusal::permanent(Reason::NoQueue));
            return;
        };
        let team = match team_of(queue, &ask, cx) {
            Ok(team) => team,
            Err(refusal) => {
                cx.refuse(caller, id, &queue.name, refusal);
                return;
            }
        };
        match ask.question {
            Question::State if id.is_empty() => self.pending_jobs(caller, queue, cx),
            _ if !is_job_id(id) => {
                let refusal = Refusal::permanent(Reason::BadRequest);
                cx.refuse(caller, id, &queue.name, refusal);
            }
            // A call that can't be served is refused before anything is sent,
            // so that the refusal is certain.
            _ if cx.known.unreachable => {
                let refusal = Refusal::temporary(Reason::StoreDown, STORE_WAIT);
                cx.refuse(caller, id, &queue.name, refusal);
            }
            Question::Submit(graph) => self.submit(caller, queue, id, team, *graph, cx),
            Question::State => self.read(caller, queue, id, team, Purpose::State, cx),
            Question::Cancel => self.read(caller, queue, id, team, Purpose::Cancel, cx),
        }
    }

    fn pending_jobs(&mut self, caller: CallerId, queue: &Queue, cx: &mut Cx<'_>) {
        let age = cx.now.saturating_sub(cx.term.current_at);
        let current = cx.term.is_owning() || age + cx.term.owner_silence() < PENDING_AGE;
        let known = cx.term.owner_version > 0 && current;
        let count = cx
            .term
            .heartbeat
            .pending
            .get(&queue.name)
            .copied()
            .unwrap_or(0);
        match known {
            true => cx.reply(caller, Reply::Pending(count)),
            false => {
                let refusal = Refusal::temporary(Reason::NoBackend, STORE_WAIT);
                cx.refuse(caller, "", &queue.name, refusal);
            }
        }
    }

    fn submit(
        &mut self,
        caller: CallerId,
        queue: &Queue,
        id: &str,
        team: Name,
        graph: Graph,
        cx: &mut Cx<'_>,
    ) {
        if graph.verify().is_err() {
            let refusal = Refusal::permanent(Reason::BadRequest);
            cx.refuse(caller, id, &queue.name, refusal);
            return;
        }
        let submission = Submission {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            team: team.clone(),
            graph,
        };
        let pending = Pending {
            caller,
            id: id.to_ascii_lowercase().into(),
            queue: queue.name.clone(),
            team,
            since: cx.now,
            purpose: Purpose::Accept {
                submission: Box::new(submission),
                retries: 0,
                doubtful: false,
            },
        };
        self.send_accept(pending, cx);
    }

    fn send_accept(&mut self, pending: Pending, cx: &mut Cx<'_>) {
        let Purpose::Accept { submission, .. } = &pending.purpose else {
            return;
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: rows::state_key(&pending.id),
                version: 0,
            }],
            writes: vec![
                Write {
                    key: rows::job_key(&pending.id),
                    value: Some(rows::encode(submission.as_ref())),
                },
                Write {
                    key: rows::state_key(&pending.id),
                    value: Some(rows::encode(&JobRecord::default())),
                },
            ],
        };
        let call = cx.call();
        self.pending.insert(call, pending);
        cx.out.push(Effect::Commit {
            call,
            transaction,
            limit: None,
        });
    }

    fn read(
        &mut self,
        caller: CallerId,
        queue: &Queue,
        id: &str,
        team: Name,
        purpose: Purpose,
        cx: &mut Cx<'_>,
    ) {
        let id = JobId::from(id.to_ascii_lowercase());
        let call = cx.call();
        cx.out.push(Effect::Scan {
            call,
            table: Table::State,
            from: id.clone(),
            limit: 1,
        });
        let pending = Pending {
            caller,
            id,
            queue: queue.name.clone(),
            team,
            since: cx.now,
            purpose,
        };
        self.pending.insert(call, pending);
    }

    /// Takes in an answer of the table service. False when the call is not
    /// one of these.
    pub(crate) fn stored(
        &mut self,
        call: CallId,
        result: &Result<Stored, Failure>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let Some(pending) = self.pending.remove(&call) else {
            return false;
        };
        match pending.purpose {
            Purpose::Accept { .. } => self.accept_answered(pending, result, cx),
            Purpose::State => self.state_read(&pending, result, cx),
            Purpose::Cancel => self.cancel_read(pending, result, cx),
            Purpose::MarkCancelled => self.cancel_marked(&pending, result, cx),
        }
        true
    }

    fn accept_answered(
        &mut self,
        mut pending: Pending,
        result: &Result<Stored, Failure>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            // A conflict means that this job was accepted before.
            Ok(Stored::Applied { .. }) | Err(Failure::Conflict(_)) => accepted(&pending, cx),
            Err(Failure::Unavailable) => match &mut pending.purpose {
                Purpose::Accept { retries, .. } if *retries < MAX_RETRIES => {
                    *retries += 1;
                    let at = cx.now + RETRY * *retries;
                    self.retries.push((at, pending));
                }
                Purpose::Accept { doubtful: true, .. } => unknown(&pending, cx),
                _ => refuse_for_store(&pending, cx),
            },
            // The write is conditional, so it may be sent again.
            Err(Failure::Unknown) if cx.now < pending.since + RESEND_UNTIL => {
                if let Purpose::Accept { doubtful, .. } = &mut pending.purpose {
                    *doubtful = true;
                }
                self.send_accept(pending, cx);
            }
            Ok(Stored::Rows { .. }) | Err(Failure::Unknown | Failure::HistoryLost) => {
                unknown(&pending, cx);
            }
        }
    }

    fn state_read(&mut self, pending: &Pending, result: &Result<Stored, Failure>, cx: &mut Cx<'_>) {
        match stage(&pending.id, result) {
            Ok(Some(stage)) => cx.reply(pending.caller, Reply::State(stage)),
            Ok(None) => {
                let refusal = Refusal::permanent(Reason::NoJob);
                cx.refuse(pending.caller, &pending.id, &pending.queue, refusal);
            }
            Err(()) => refuse_for_store(pending, cx),
        }
    }

    fn cancel_read(&mut self, pending: Pending, result: &Result<Stored, Failure>, cx: &mut Cx<'_>) {
        match stage(&pending.id, result) {
            Ok(Some(stage)) if stage.is_terminal() => cx.reply(pending.caller, Reply::Cancelled),
            Ok(Some(_)) => self.mark_cancelled(pending, cx),
            Ok(None) => {
                let refusal = Refusal::permanent(Reason::NoJob);
                cx.refuse(pending.caller, &pending.id, &pending.queue, refusal);
            }
            Err(()) => refuse_for_store(&pending, cx),
        }
    }

    fn mark_cancelled(&mut self, pending: Pending, cx: &mut Cx<'_>) {
        let call = cx.call();
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![Write {
                key: rows::cancel_key(&pending.id),
                value: Some(rows::encode(&true)),
            }],
        };
        cx.out.push(Effect::Commit {
            call,
            transaction,
            limit: None,
        });
        let purpose = Purpose::MarkCancelled;
        self.pending.insert(call, Pending { purpose, ..pending });
    }

    fn cancel_marked(
        &mut self,
        pending: &Pending,
        result: &Result<Stored, Failure>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            Ok(Stored::Applied { .. }) => {
                cx.out.push(Effect::Log(Notice::Cancelled {
                    job: pending.id.clone(),
                }));
                cx.reply(pending.caller, Reply::Cancelled);
            }
            Err(Failure::Unavailable) => refuse_for_store(pending, cx),
            Ok(Stored::Rows { .. }) | Err(_) => unknown(pending, cx),
        }
    }

    /// Sends writes again that are due.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        let due = |(at, _): &mut (Duration, Pending)| *at <= cx.now;
        let late: Vec<Pending> = self
            .retries
            .extract_if(.., due)
            .map(|(_, pending)| pending)
            .collect();
        for pending in late {
            self.send_accept(pending, cx);
        }
    }
}

/// The team that a call counts for; empty for an open queue without a key.
fn team_of(queue: &Queue, ask: &Ask, cx: &Cx<'_>) -> Result<Name, Refusal> {
    let known = ask.key.as_ref().and_then(|key| cx.known.keys.get(key));
    let current = cx.known.age(cx.now) < cx.settings.timing.config_age;
    match (queue.open, known) {
        (true, Some(team)) if current => Ok(team.clone()),
        (true, _) => Ok(Name::default()),
        (false, _) if !current => Err(Refusal::temporary(Reason::StaleConfig, CONFIG_WAIT)),
        (false, Some(team)) => Ok(team.clone()),
        (false, None) => Err(Refusal::permanent(Reason::BadKey)),
    }
}

/// Stage of a job from a read of its state row.
fn stage(id: &JobId, result: &Result<Stored, Failure>) -> Result<Option<Stage>, ()> {
    let Ok(Stored::Rows { rows, .. }) = result else {
        return Err(());
    };
    let key = rows::state_key(id);
    let row = rows.iter().find(|row| row.key == key);
    let Some(bytes) = row.and_then(content) else {
        return Ok(None);
    };
    let record: JobRecord = rows::decode(bytes).ok_or(())?;
    Ok(Some(record.stage))
}

fn accepted(pending: &Pending, cx: &mut Cx<'_>) {
    let took = cx.now.saturating_sub(pending.since);
    cx.out.push(Effect::Log(Notice::Accepted {
        job: pending.id.clone(),
        queue: pending.queue.clone(),
        team: pending.team.clone(),
        config: cx.known.config.version,
        took_ms: ms(took),
    }));
    cx.out.push(Effect::Record {
        measure: Measure::Accept,
        team: pending.team.clone(),
        queue: pending.queue.clone(),
        value: took,
    });
    cx.reply(pending.caller, Reply::Accepted);
}

fn refuse_for_store(pending: &Pending, cx: &mut Cx<'_>) {
    let refusal = Refusal::temporary(Reason::StoreDown, STORE_WAIT);
    cx.refuse(pending.caller, &pending.id, &pending.queue, refusal);
}

fn unknown(pending: &Pending, cx: &mut Cx<'_>) {
    cx.out.push(Effect::Log(Notice::OutcomeUnknown {
        job: pending.id.clone(),
        queue: pending.queue.clone(),
    }));
    cx.reply(pending.caller, Reply::Unknown);
}
