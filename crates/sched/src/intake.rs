//! Client requests: authentication, job submission, state reads, cancellation.
//!
//! Invariant: a job is reported as accepted only after the table service has
//! confirmed the write of its rows, and as refused only when the rows are
//! certain never to be written.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use model::{Condition, Hash, JobId, Name, Reason, Refusal, Stage, Transaction, Write};

use crate::acceptance::Acceptance;
use crate::config::{Config, Queue};
use crate::event::{
    ApiRequest, CallId, CallerId, Effect, Metric, Reply, RequestKind, StoreError, StoreResponse,
    Table, live_value,
};
use crate::notice::{Notice, ms};
use crate::partition::PartitionId;
use crate::rows::{self, JobRecord, Submission};
use crate::settings::Settings;
use crate::term::Term;

/// Retry-after of requests refused because the table service is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Retry-after of requests refused because the configuration is outdated.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Maximum number of retries of a write that the table service did not execute.
const MAX_RETRIES: u32 = 2;
/// Delay before the first such retry, which grows linearly with each further one,
/// and before a write without an answer is sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(80);
/// Maximum age of a request for which an unanswered write is sent again.
/// Clients wait about 3 s, and a write takes up to `Timing::store_timeout`.
const RESEND_WINDOW: Duration = Duration::from_millis(1_400);
/// Number of consecutive failures of a partition after which submissions to it are
/// refused at once: a write without an answer would leave the caller without a
/// definite one. A single answer may be lost while the table service works.
const MAX_FAILURES: u32 = 2;
/// Interval at which a partition that fails is probed by a read, which can be
/// repeated without harm.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum age of the owner's pending-job counts for which they are still
/// returned to clients.
const MAX_PENDING_AGE: Duration = Duration::from_secs(4);
/// Number of hexadecimal digits of a job id.
const ID_DIGITS: usize = 16;

/// The configuration in force and when it was last confirmed to be the newest.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    pub(crate) config: Arc<Config>,
    teams_by_key_hash: HashMap<Hash, Name>,
    /// When the latest read was sent that confirmed the configuration to be the
    /// newest.
    confirmed_at: Duration,
    stale: bool,
    /// Number of configuration reads that failed since the last successful one.
    failures: u32,
}

impl ActiveConfig {
    /// Puts a configuration in force and returns true, unless the current one is
    /// at least as new.
    pub(crate) fn install(&mut self, config: Config, requested_at: Duration) -> bool {
        self.confirm(requested_at);
        if config.version <= self.config.version {
            return false;
        }
        self.teams_by_key_hash = config.teams_by_key_hash();
        self.config = Arc::new(config);
        true
    }

    /// Records that a read sent at `requested_at` found no newer configuration.
    pub(crate) fn confirm(&mut self, requested_at: Duration) {
        self.failures = 0;
        self.confirmed_at = self.confirmed_at.max(requested_at);
    }

    /// Records that a read of the configuration failed. Returns a notice for the
    /// first, second, fourth, and so on, failure in a row.
    pub(crate) fn record_failure(
        &mut self,
        took: Duration,
        received: Option<usize>,
    ) -> Option<Notice> {
        self.failures = self.failures.saturating_add(1);
        let failures = self.failures;
        failures
            .is_power_of_two()
            .then_some(Notice::ConfigReadFailed {
                failures,
                took_ms: ms(took),
                received,
            })
    }

    /// True if the last read of the configuration failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.failures > 0
    }

    /// Time since the last confirmation.
    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed_at)
    }

    /// Returns a notice when the last confirmation becomes older than `limit`, and
    /// when a newer confirmation follows.
    pub(crate) fn check_staleness(&mut self, limit: Duration, now: Duration) -> Option<Notice> {
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

/// Purpose of a call to the table service.
#[derive(Debug)]
enum Purpose {
    Accept {
        submission: Box<Submission>,
        retries: u32,
        /// An earlier, unanswered write may have been applied, so the job must
        /// not be reported as refused.
        maybe_applied: bool,
    },
    ReadState,
    ReadForCancel,
    WriteCancel,
}

/// A client request that waits for the table service.
#[derive(Debug)]
struct PendingCall {
    caller: CallerId,
    id: JobId,
    queue: Name,
    team: Name,
    received_at: Duration,
    purpose: Purpose,
    /// Partition of the job's rows.
    partition: PartitionId,
}

/// Failures of a partition since its last answer.
#[derive(Debug, Default)]
struct Failures {
    count: u32,
    /// When the partition is probed next.
    next_probe_at: Duration,
}

/// Client requests in progress.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    pending: HashMap<CallId, PendingCall>,
    retries: Vec<(Duration, PendingCall)>,
    /// Partitions of the table service whose last calls failed.
    failures: BTreeMap<PartitionId, Failures>,
    /// Reads in flight that find out whether a partition is served again.
    probes: HashMap<CallId, PartitionId>,
}

/// Context that the intake uses to handle an event.
pub(crate) struct Cx<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) active_config: &'a ActiveConfig,
    pub(crate) term: &'a Term,
    pub(crate) now: Duration,
    pub(crate) last_call_id: &'a mut CallId,
    pub(crate) out: &'a mut Vec<Effect>,
}

impl Cx<'_> {
    fn next_call_id(&mut self) -> CallId {
        *self.last_call_id += 1;
        *self.last_call_id
    }

    fn reply(&mut self, caller: CallerId, reply: Reply) {
        self.out.push(Effect::Reply { caller, reply });
    }

    fn refuse(&mut self, caller: CallerId, job: &str, queue: &str, refusal: Refusal) {
        self.out.push(Effect::Log(Notice::Refused {
            job: job.into(),
            queue: queue.into(),
            reason: refusal.reason,
            config: self.active_config.config.version,
            age_ms: ms(self.active_config.age(self.now)),
        }));
        self.reply(caller, Reply::Refused(refusal));
    }
}

/// Returns true for 16 hexadecimal digits.
fn is_job_id(id: &str) -> bool {
    id.len() == ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit())
}

impl Intake {
    /// True when no client request is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.retries.is_empty()
    }

    /// Authenticates a client request, routes it to its queue and processes it.
    pub(crate) fn handle_request(
        &mut self,
        caller: CallerId,
        request: ApiRequest,
        cx: &mut Cx<'_>,
    ) {
        let config = cx.active_config.config.clone();
        if config.version == 0 {
            let refusal = Refusal::temporary(Reason::StaleConfig, CONFIG_RETRY_AFTER);
            cx.refuse(caller, &request.path, "", refusal);
            return;
        }
        let Some((queue, id)) = config.route(&request.host, &request.path) else {
            cx.refuse(
                caller,
                &request.path,
                "",
                Refusal::permanent(Reason::NoQueue),
            );
            return;
        };
        let team = match team_of(queue, &request, cx) {
            Ok(team) => team,
            Err(refusal) => {
                cx.refuse(caller, id, &queue.name, refusal);
                return;
            }
        };
        match request.kind {
            RequestKind::State if id.is_empty() => self.reply_pending(caller, queue, cx),
            _ if !is_job_id(id) => {
                let refusal = Refusal::permanent(Reason::BadRequest);
                cx.refuse(caller, id, &queue.name, refusal);
            }
            // Refusing before any write is sent makes the refusal definitive.
            _ if cx.active_config.is_unreachable() => {
                let refusal = Refusal::temporary(Reason::StoreDown, STORE_RETRY_AFTER);
                cx.refuse(caller, id, &queue.name, refusal);
            }
            kind => self.handle_job_request(caller, queue, id, team, kind, cx),
        }
    }

    /// Processes a request about one job. It is refused while the layout is not
    /// known, and with it the partition of the job's rows.
    fn handle_job_request(
        &mut self,
        caller: CallerId,
        queue: &Queue,
        id: &str,
        team: Name,
        kind: RequestKind,
        cx: &mut Cx<'_>,
    ) {
        let Some(layout) = cx.term.layout else {
            let refusal = Refusal::temporary(Reason::StoreDown, STORE_RETRY_AFTER);
            cx.refuse(caller, id, &queue.name, refusal);
            return;
        };
        let id = JobId::from(id);
        let call = |purpose: Purpose| PendingCall {
            caller,
            partition: layout.partition_of(&id),
            id: id.clone(),
            queue: queue.name.clone(),
            team: team.clone(),
            received_at: cx.now,
            purpose,
        };
        match kind {
            RequestKind::Submit(graph) if graph.verify().is_err() => {
                let refusal = Refusal::permanent(Reason::BadRequest);
                cx.refuse(caller, &id, &queue.name, refusal);
            }
            RequestKind::Submit(_) if self.is_failing(layout.partition_of(&id)) => {
                let refusal = Refusal::temporary(Reason::StoreDown, STORE_RETRY_AFTER);
                cx.refuse(caller, &id, &queue.name, refusal);
            }
            RequestKind::Submit(graph) => {
                let submission = Submission {
                    queue: queue.name.clone(),
                    service: queue.service.clone(),
                    team: team.clone(),
                    graph: *graph,
                    acceptance: Some(Acceptance::new(queue, &team, &cx.active_config.config)),
                };
                let pending = call(Purpose::Accept {
                    submission: Box::new(submission),
                    retries: 0,
                    maybe_applied: false,
                });
                self.send_accept(pending, cx);
            }
            RequestKind::State => self.read_state(call(Purpose::ReadState), cx),
            RequestKind::Cancel => self.read_state(call(Purpose::ReadForCancel), cx),
        }
    }

    fn reply_pending(&mut self, caller: CallerId, queue: &Queue, cx: &mut Cx<'_>) {
        let age = cx.now.saturating_sub(cx.term.current_at);
        let current = cx.term.is_owning() || age + cx.term.owner_silence() < MAX_PENDING_AGE;
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
                let refusal = Refusal::temporary(Reason::NoBackend, STORE_RETRY_AFTER);
                cx.refuse(caller, "", &queue.name, refusal);
            }
        }
    }

    /// True while submissions to a partition are refused.
    fn is_failing(&self, partition: PartitionId) -> bool {
        let failures = self.failures.get(&partition);
        failures.is_some_and(|failures| failures.count >= MAX_FAILURES)
    }

    /// Sends the probes of failing partitions that are due.
    fn probe_failing(&mut self, cx: &mut Cx<'_>) {
        for (&partition, failures) in &mut self.failures {
            if failures.count < MAX_FAILURES || cx.now < failures.next_probe_at {
                continue;
            }
            failures.next_probe_at = cx.now + PROBE_INTERVAL;
            let call = cx.next_call_id();
            self.probes.insert(call, partition);
            cx.out.push(Effect::Scan {
                call,
                partition,
                table: Table::State,
                from: Name::default(),
                limit: 1,
            });
        }
    }

    /// Notes whether a call to a partition was answered.
    fn record_answer(
        &mut self,
        partition: PartitionId,
        result: &Result<StoreResponse, StoreError>,
        now: Duration,
    ) {
        match result {
            Ok(_) | Err(StoreError::Conflict(_) | StoreError::HistoryLost) => {
                self.failures.remove(&partition);
            }
            Err(StoreError::Unavailable | StoreError::Unknown) => {
                let failures = self.failures.entry(partition).or_default();
                failures.count += 1;
                failures.next_probe_at = now + PROBE_INTERVAL;
            }
        }
    }

    fn send_accept(&mut self, pending: PendingCall, cx: &mut Cx<'_>) {
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
                    value: Some(submission.encode()),
                },
                Write {
                    key: rows::state_key(&pending.id),
                    value: Some(rows::encode(&JobRecord::default())),
                },
            ],
        };
        let call = cx.next_call_id();
        let partition = pending.partition;
        self.pending.insert(call, pending);
        cx.out.push(Effect::Commit {
            call,
            partition,
            transaction,
            timeout: None,
        });
    }

    fn read_state(&mut self, pending: PendingCall, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        cx.out.push(Effect::Scan {
            call,
            partition: pending.partition,
            table: Table::State,
            from: pending.id.clone(),
            limit: 1,
        });
        self.pending.insert(call, pending);
    }

    /// Handles a response of the table service. Returns false if the call does
    /// not belong to the intake.
    pub(crate) fn store_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        if let Some(partition) = self.probes.remove(&call) {
            self.record_answer(partition, result, cx.now);
            return true;
        }
        let Some(pending) = self.pending.remove(&call) else {
            return false;
        };
        self.record_answer(pending.partition, result, cx.now);
        match pending.purpose {
            Purpose::Accept { .. } => self.accept_answered(pending, result, cx),
            Purpose::ReadState => self.state_read(&pending, result, cx),
            Purpose::ReadForCancel => self.cancel_read(pending, result, cx),
            Purpose::WriteCancel => self.cancel_written(&pending, result, cx),
        }
        true
    }

    fn accept_answered(
        &mut self,
        mut pending: PendingCall,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            // A conflict means that the job was already accepted earlier.
            Ok(StoreResponse::Applied { .. }) | Err(StoreError::Conflict(_)) => {
                reply_accepted(&pending, cx)
            }
            Err(StoreError::Unavailable) => match &mut pending.purpose {
                Purpose::Accept { retries, .. } if *retries < MAX_RETRIES => {
                    *retries += 1;
                    let at = cx.now + WRITE_RETRY_DELAY * *retries;
                    self.retries.push((at, pending));
                }
                Purpose::Accept {
                    maybe_applied: true,
                    ..
                } => reply_unknown(&pending, cx),
                _ => refuse_store_down(&pending, cx),
            },
            // The write is conditional and therefore idempotent.
            Err(StoreError::Unknown) if cx.now < pending.received_at + RESEND_WINDOW => {
                if let Purpose::Accept { maybe_applied, .. } = &mut pending.purpose {
                    *maybe_applied = true;
                }
                // A reset connection fails at once, so sending again at once would
                // repeat the write as fast as the network allows.
                self.retries.push((cx.now + WRITE_RETRY_DELAY, pending));
            }
            Ok(StoreResponse::Rows { .. }) | Err(StoreError::Unknown | StoreError::HistoryLost) => {
                reply_unknown(&pending, cx);
            }
        }
    }

    fn state_read(
        &mut self,
        pending: &PendingCall,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match stage_from_read(&pending.id, result) {
            Ok(Some(stage)) => cx.reply(pending.caller, Reply::State(stage)),
            Ok(None) => {
                let refusal = Refusal::permanent(Reason::NoJob);
                cx.refuse(pending.caller, &pending.id, &pending.queue, refusal);
            }
            Err(()) => refuse_store_down(pending, cx),
        }
    }

    fn cancel_read(
        &mut self,
        pending: PendingCall,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match stage_from_read(&pending.id, result) {
            Ok(Some(stage)) if stage.is_terminal() => cx.reply(pending.caller, Reply::Cancelled),
            Ok(Some(_)) => self.write_cancel(pending, cx),
            Ok(None) => {
                let refusal = Refusal::permanent(Reason::NoJob);
                cx.refuse(pending.caller, &pending.id, &pending.queue, refusal);
            }
            Err(()) => refuse_store_down(&pending, cx),
        }
    }

    fn write_cancel(&mut self, pending: PendingCall, cx: &mut Cx<'_>) {
        let call = cx.next_call_id();
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![Write {
                key: rows::cancel_key(&pending.id),
                value: Some(rows::encode(&true)),
            }],
        };
        cx.out.push(Effect::Commit {
            call,
            partition: pending.partition,
            transaction,
            timeout: None,
        });
        let purpose = Purpose::WriteCancel;
        self.pending
            .insert(call, PendingCall { purpose, ..pending });
    }

    fn cancel_written(
        &mut self,
        pending: &PendingCall,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match result {
            Ok(StoreResponse::Applied { .. }) => {
                cx.out.push(Effect::Log(Notice::Cancelled {
                    job: pending.id.clone(),
                }));
                cx.reply(pending.caller, Reply::Cancelled);
            }
            Err(StoreError::Unavailable) => refuse_store_down(pending, cx),
            Ok(StoreResponse::Rows { .. }) | Err(_) => reply_unknown(pending, cx),
        }
    }

    /// Retries the writes that are due, and probes failing partitions.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        self.probe_failing(cx);
        let is_due = |(at, _): &mut (Duration, PendingCall)| *at <= cx.now;
        let due_calls: Vec<PendingCall> = self
            .retries
            .extract_if(.., is_due)
            .map(|(_, pending)| pending)
            .collect();
        for pending in due_calls {
            self.send_accept(pending, cx);
        }
    }
}

/// Authenticates a request and returns its team. The name is empty for an
/// anonymous request, or for a request to a queue with anonymous access whose
/// key is unknown or can't be trusted at present.
fn team_of(queue: &Queue, request: &ApiRequest, cx: &Cx<'_>) -> Result<Name, Refusal> {
    let known = request
        .key
        .as_ref()
        .and_then(|key| cx.active_config.teams_by_key_hash.get(key));
    let current = cx.active_config.age(cx.now) < cx.settings.timing.max_config_age;
    match (queue.allow_anonymous, known) {
        (true, Some(team)) if current => Ok(team.clone()),
        (true, _) => Ok(Name::default()),
        (false, _) if !current => Err(Refusal::temporary(Reason::StaleConfig, CONFIG_RETRY_AFTER)),
        (false, Some(team)) => Ok(team.clone()),
        (false, None) => Err(Refusal::permanent(Reason::BadKey)),
    }
}

/// Extracts the stage of a job from the result of reading its state row; `None`
/// if the job does not exist.
fn stage_from_read(
    id: &JobId,
    result: &Result<StoreResponse, StoreError>,
) -> Result<Option<Stage>, ()> {
    let Ok(StoreResponse::Rows { rows, .. }) = result else {
        return Err(());
    };
    let key = rows::state_key(id);
    let row = rows.iter().find(|row| row.key == key);
    let Some(bytes) = row.and_then(live_value) else {
        return Ok(None);
    };
    let record = JobRecord::decode(bytes).ok_or(())?;
    Ok(Some(record.stage))
}

fn reply_accepted(pending: &PendingCall, cx: &mut Cx<'_>) {
    let took = cx.now.saturating_sub(pending.received_at);
    cx.out.push(Effect::Log(Notice::Accepted {
        job: pending.id.clone(),
        queue: pending.queue.clone(),
        team: pending.team.clone(),
        config: cx.active_config.config.version,
        took_ms: ms(took),
    }));
    cx.out.push(Effect::RecordMetric {
        metric: Metric::Accept,
        team: pending.team.clone(),
        queue: pending.queue.clone(),
        value: took,
    });
    cx.reply(pending.caller, Reply::Accepted);
}

fn refuse_store_down(pending: &PendingCall, cx: &mut Cx<'_>) {
    let refusal = Refusal::temporary(Reason::StoreDown, STORE_RETRY_AFTER);
    cx.refuse(pending.caller, &pending.id, &pending.queue, refusal);
}

fn reply_unknown(pending: &PendingCall, cx: &mut Cx<'_>) {
    cx.out.push(Effect::Log(Notice::OutcomeUnknown {
        job: pending.id.clone(),
        queue: pending.queue.clone(),
    }));
    cx.reply(pending.caller, Reply::Unknown);
}
