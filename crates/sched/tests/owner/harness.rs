//! A node, and simulated responses of the table service, the registry, the backend
//! servers and the external admission policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use model::{
    Attempt, Cell, Epoch, Graph, JobId, Name, Resources, Row, RunKey, RunOutcome, Step, TaskId,
    Transaction, key,
};
use sched::{
    AdmissionPolicy, ApiRequest, CallId, ChangeFeed, Config, Effect, Event, Finished, Listing,
    Node, Notice, Offer, Order, OrderError, OrderResponse, PartitionId, PolicyDecision, Progress,
    Queue, Rejection, Reply, RequestKind, RunLists, Service, Settings, StoreError, StoreResponse,
    Table, Team, Time, Timing,
};

/// Time after which a write counts as lost whose connection was reset.
pub(crate) const LOST_WRITE_TIME: Duration = Duration::from_millis(5);

/// Time after the end of its wait at which a read without a response ends.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Clock of the first incarnation of a backend server when the others begin.
pub(crate) const CLOCK_AT_RESTART_MS: u64 = 100_000;

/// Interval between ticks.
pub(crate) const TICK: Duration = Duration::from_millis(20);

pub(crate) fn settings(name: &str, cpu_share: f64) -> Settings {
    Settings {
        name: name.into(),
        // Distinct because the names used differ in length.
        process: name.len() as u64,
        address: name.into(),
        cpu_share,
        remote_factor: 2.0,
        max_copy_share: 0.05,
        job_partitions: 2,
        timing: Timing::default(),
    }
}

/// One queue whose steps need admission by the external policy, and one without. The latency
/// objective of its jobs is 1 s: the target of 900 ms plus the estimate of 100 ms.
/// Three times that after submission, a job has no value left and ranks last.
pub(crate) fn config() -> Config {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        path_prefix: "/queue/".into(),
        service: "service".into(),
        allow_anonymous: false,
        priority: 1,
        max_attempts: 3,
        slack_factor: 1.0,
        latency_target: Duration::from_millis(900),
        admission: Some(AdmissionPolicy {
            base_latency: Duration::from_millis(50),
            latency_per_server: Duration::from_millis(1),
            ticket_validity: Duration::from_secs(2),
        }),
    };
    let plain = Queue {
        name: "plain".into(),
        path_prefix: "/plain/".into(),
        admission: None,
        ..queue.clone()
    };
    let team = Team {
        name: "team".into(),
        key_hashes: vec![key::hash("key")],
        weight: 1,
        limit: Resources::ZERO,
    };
    let service = Service {
        name: "service".into(),
        standby: false,
    };
    Config::new(1, vec![queue, plain], vec![service], vec![team])
}

/// The configuration's next version, with one more service.
pub(crate) fn config_with_service(name: &str) -> Config {
    let Config {
        queues,
        mut services,
        teams,
        ..
    } = config();
    services.push(Service {
        name: name.into(),
        standby: false,
    });
    Config::new(2, queues, services, teams)
}

pub(crate) fn listing() -> Listing {
    Listing {
        id: "server".into(),
        incarnation: 1,
        address: "server".into(),
        service: "service".into(),
        capacity: Resources::of(64_000, 65_536, 0, 0),
        ..Listing::default()
    }
}

pub(crate) fn graph() -> Graph {
    let step = Step {
        tasks: 1,
        each: Resources::of(1_000, 512, 0, 0),
        estimate: Duration::from_millis(100),
        image: "image".into(),
        ..Step::default()
    };
    Graph {
        payload: "payload".into(),
        steps: vec![step],
        recurrence: None,
    }
}

/// When the simulated table service answers scans of the cell.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum CellScans {
    AtOnce,
    /// After it has applied the writes that were sent in the same step.
    AfterWrites,
    /// As `AfterWrites`, and never while the node is the owner.
    LostInTerm,
}

/// Runs on a backend server that carries out the starts and stops it is told.
#[derive(Default)]
pub(crate) struct ServerLists {
    /// Number of incarnations before this one.
    pub(crate) restarts: u64,
    /// When this incarnation began.
    pub(crate) booted_at: Duration,
    pub(crate) running: Vec<Progress>,
    pub(crate) finished: Vec<Finished>,
}

impl ServerLists {
    /// Ends the runs that `ends` selects.
    pub(crate) fn end<P>(&mut self, outcome: RunOutcome, ends: P)
    where
        P: Fn(&RunKey) -> bool,
    {
        let running = std::mem::take(&mut self.running);
        for progress in running {
            match ends(&progress.run) {
                true => self.finished.push(Finished {
                    number: self.finished.len() as u64 + 1,
                    run: progress.run,
                    outcome,
                    checkpoint: Name::default(),
                }),
                false => self.running.push(progress),
            }
        }
    }
}

/// The node under test, the simulated time, and the effects that are recorded
/// instead of answered at once.
pub(crate) struct Harness {
    pub(crate) node: Node,
    pub(crate) now: Duration,
    pub(crate) version: u64,
    /// Queries to the external admission policy, with their job.
    pub(crate) policy_calls: Vec<(CallId, JobId)>,
    pub(crate) notices: Vec<Notice>,
    /// Rows of the job table not yet reported to the owner.
    pub(crate) accepted: Vec<Row>,
    /// Call that waits for changes of the job table.
    pub(crate) job_follow_call: Option<CallId>,
    /// When that call ends without a response if the table service is silent.
    pub(crate) job_follow_deadline: Duration,
    /// Number of such calls from now on whose responses are lost.
    pub(crate) job_follows_lost: u32,
    /// Such calls whose response is lost, with the time at which they end.
    pub(crate) silent_follows: Vec<(CallId, Duration)>,
    /// Call that waits for changes of the cell table.
    pub(crate) cell_follow_call: Option<CallId>,
    /// When the table service answers scans of the cell.
    pub(crate) cell_scans: CellScans,
    /// Scan of the cell that waits.
    pub(crate) cell_scan_call: Option<CallId>,
    /// Current rows of the cell table.
    pub(crate) cell_rows: Vec<Row>,
    /// Rows of the roster.
    pub(crate) roster_rows: Vec<Row>,
    /// Rows of jobs that a build without job partitions wrote.
    pub(crate) undivided_rows: Vec<Row>,
    /// Rows of jobs in the job partitions, as an earlier owner left them.
    pub(crate) job_rows: Vec<(PartitionId, Row)>,
    /// Transactions that were applied, with their partitions.
    pub(crate) commits: Vec<(PartitionId, Transaction)>,
    /// Whether the table service rejects all writes as unavailable.
    pub(crate) store_down: bool,
    /// Whether it rejects reads.
    pub(crate) reads_down: bool,
    /// Whether it rejects writes to the cell's partition.
    pub(crate) cell_partition_down: bool,
    /// Whether it rejects writes to the job partitions.
    pub(crate) job_partitions_down: bool,
    /// Whether writes to the job partitions get no answer.
    pub(crate) job_writes_lost: bool,
    /// Tables to which writes get no answer, and are kept in `late_writes`.
    pub(crate) writes_lost_to: &'static [&'static str],
    /// Writes without an answer that may still be applied.
    pub(crate) late_writes: Vec<Transaction>,
    /// Number of those that were applied.
    pub(crate) late_applied: u32,
    /// Whether writes of job states wait for an answer.
    pub(crate) holds_states: bool,
    /// Writes of job states that wait, with their call and partition.
    pub(crate) held_states: Vec<(CallId, PartitionId, Transaction)>,
    /// Job partition to which it rejects writes.
    pub(crate) partition_down: Option<PartitionId>,
    /// Scans of the job table, by partition.
    pub(crate) job_scans: Vec<PartitionId>,
    /// Incarnation of the backend server, which its lists name.
    pub(crate) incarnation: u64,
    /// Runs that the backend server `server` lists as running.
    pub(crate) running: Vec<Progress>,
    /// Backend servers that carry out starts and stops, by id.
    pub(crate) fleet: BTreeMap<Name, ServerLists>,
    /// Starts that they have carried out, in order.
    pub(crate) placements: Vec<(Name, RunKey)>,
    /// Latency of a write; writes with a shorter timeout have an unknown outcome.
    pub(crate) store_latency: Duration,
    /// Number of applied writes of job states by the owner.
    pub(crate) states_written: u32,
    /// Whether writes of submissions get no answer.
    pub(crate) submissions_lost: bool,
    /// Number of writes of submissions that were sent.
    pub(crate) submissions_sent: u32,
    /// Replies to callers.
    pub(crate) replies: Vec<Reply>,
    /// Run numbers of the start orders.
    pub(crate) starts: Vec<Attempt>,
    /// Whether start orders get no response, instead of a rejection.
    pub(crate) starts_lost: bool,
    /// Whether start orders are executed, instead of a rejection.
    pub(crate) starts_run: bool,
    /// Runs of the start orders.
    pub(crate) started: Vec<RunKey>,
    /// Whether stop orders get no response, instead of an acknowledgement.
    pub(crate) stops_lost: bool,
    /// Whether the backend server holds lease renewals that allow it.
    pub(crate) holds_renewals: bool,
    /// Numbers up to which the lease renewals acknowledge ends.
    pub(crate) acknowledged: Vec<u64>,
    /// Fencing tokens of the lease renewals.
    pub(crate) renewal_tokens: Vec<Epoch>,
    /// Whether lease renewals are answered at the next tick instead of at once.
    pub(crate) renews_by_tick: bool,
    /// Lease renewals that are answered at the next tick, with their backend server.
    pub(crate) pending_renewals: Vec<(CallId, Name)>,
    /// Whether start orders wait for an answer.
    pub(crate) holds_starts: bool,
    /// Start orders that wait for an answer.
    pub(crate) held_starts: Vec<CallId>,
    /// Latest end of a lease that was ordered, on the backend servers' clock in ms.
    pub(crate) max_lease_end: u64,
    /// Ends that the backend server `server` lists.
    pub(crate) finished: Vec<Finished>,
    /// Lease renewals that are held, with their backend server.
    pub(crate) held_renewals: Vec<(CallId, Name)>,
    /// The registry's entries when a node begins to watch it.
    pub(crate) listings: Vec<Listing>,
    /// Backend servers whose responses to orders are lost.
    pub(crate) unreachable: BTreeSet<Name>,
    /// Backend servers at whose address another incarnation answers.
    pub(crate) replaced: BTreeSet<Name>,
}

/// True when a transaction writes to a table.
fn writes_to(transaction: &Transaction, table: &str) -> bool {
    let mut writes = transaction.writes.iter();
    writes.any(|write| write.key.starts_with(table))
}

/// True for the write with which a job is accepted.
pub(crate) fn is_submission(transaction: &Transaction) -> bool {
    let mut writes = transaction.writes.iter();
    writes.any(|write| write.key.starts_with("job/") && write.value.is_some())
}

impl Harness {
    /// A node that is the owner, with one backend server in use.
    pub(crate) fn owning(cpu_share: f64) -> Self {
        let mut harness = Self::new("owner", cpu_share, Vec::new());
        harness.advance(Duration::from_secs(1));
        assert!(harness.node.is_owner());
        harness
    }

    /// A node that follows another owner, whose heartbeats have stopped.
    pub(crate) fn following() -> Self {
        let owner = Self::owning(0.25);
        Self::new("follower", 0.25, owner.cell_rows)
    }

    pub(crate) fn new(name: &str, cpu_share: f64, cell_rows: Vec<Row>) -> Self {
        let now = Duration::from_secs(100);
        let time = Time { now, unix: now };
        let mut harness = Self {
            node: Node::new(settings(name, cpu_share), 1, time),
            now,
            version: 1,
            policy_calls: Vec::new(),
            notices: Vec::new(),
            accepted: Vec::new(),
            job_follow_call: None,
            job_follow_deadline: Duration::ZERO,
            job_follows_lost: 0,
            silent_follows: Vec::new(),
            cell_follow_call: None,
            cell_scans: CellScans::AtOnce,
            cell_scan_call: None,
            cell_rows: Vec::new(),
            roster_rows: Vec::new(),
            undivided_rows: Vec::new(),
            job_rows: Vec::new(),
            commits: Vec::new(),
            store_down: false,
            reads_down: false,
            cell_partition_down: false,
            job_partitions_down: false,
            job_writes_lost: false,
            writes_lost_to: &[],
            late_writes: Vec::new(),
            late_applied: 0,
            holds_states: false,
            held_states: Vec::new(),
            partition_down: None,
            job_scans: Vec::new(),
            incarnation: 1,
            running: Vec::new(),
            fleet: BTreeMap::new(),
            placements: Vec::new(),
            store_latency: Duration::ZERO,
            states_written: 0,
            submissions_lost: false,
            submissions_sent: 0,
            replies: Vec::new(),
            starts: Vec::new(),
            starts_lost: false,
            starts_run: false,
            started: Vec::new(),
            stops_lost: false,
            holds_renewals: false,
            acknowledged: Vec::new(),
            renewal_tokens: Vec::new(),
            renews_by_tick: false,
            pending_renewals: Vec::new(),
            holds_starts: false,
            held_starts: Vec::new(),
            max_lease_end: 0,
            finished: Vec::new(),
            held_renewals: Vec::new(),
            listings: vec![listing()],
            unreachable: BTreeSet::new(),
            replaced: BTreeSet::new(),
        };
        let versions = cell_rows.iter().map(|row| row.cell.version);
        harness.version = versions.max().unwrap_or(harness.version);
        harness.cell_rows = cell_rows;
        harness.install(config());
        harness
    }

    pub(crate) fn deliver(&mut self, event: Event) {
        if let Event::ServerListed(listing) = &event {
            self.incarnation = listing.incarnation;
        }
        let time = Time {
            now: self.now,
            unix: self.now,
        };
        self.node.step(event, time);
        let mut effects = Vec::new();
        self.node.settle(&mut effects);
        for effect in effects {
            self.handle_effect(effect);
        }
    }

    /// Delivers a version of the configuration.
    pub(crate) fn install(&mut self, config: Config) {
        let requested_at = self.now;
        let config = Box::new(config);
        self.deliver(Event::Config {
            config,
            requested_at,
        });
    }

    /// Advances the simulated time, one tick at a time.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.deliver(Event::ConfigCurrent {
                requested_at: self.now,
            });
            self.deliver(Event::Tick);
            for (call, server) in std::mem::take(&mut self.pending_renewals) {
                self.answer_renewal(call, &server, self.finished.clone());
            }
            self.answer_job_follow();
            self.end_silent_follows();
            self.answer_cell_follow();
            self.answer_cell_scan();
        }
    }

    pub(crate) fn answer_cell_scan(&mut self) {
        let lost = self.cell_scans == CellScans::LostInTerm && self.node.is_owner();
        if let Some(call) = self.cell_scan_call.take_if(|_| !lost) {
            let result = Ok(StoreResponse::Rows {
                rows: self.cell_rows.clone(),
                more: false,
                version: self.version,
                clock: self.now,
            });
            self.deliver(Event::StoreAnswered { call, result });
        }
    }

    pub(crate) fn answer_cell_follow(&mut self) {
        if let Some(call) = self.cell_follow_call.take() {
            let result = Ok(ChangeFeed {
                version: self.version,
                rows: Vec::new(),
                sent_at: self.now,
            });
            self.deliver(Event::ChangesReceived { call, result });
        }
    }

    /// Loses the responses to the call that waits for changes of the job table, and to the
    /// next ones, `count` in all.
    pub(crate) fn lose_job_follows(&mut self, count: u32) {
        let call = self.job_follow_call.take().expect("a call that waits");
        self.silent_follows.push((call, self.job_follow_deadline));
        self.job_follows_lost = count - 1;
    }

    fn end_silent_follows(&mut self) {
        let now = self.now;
        let ended = self.silent_follows.extract_if(.., |(_, at)| *at <= now);
        for (call, _) in ended.collect::<Vec<_>>() {
            let result = Err(StoreError::Unavailable);
            self.deliver(Event::ChangesReceived { call, result });
        }
    }

    pub(crate) fn answer_job_follow(&mut self) {
        if let Some(call) = self.job_follow_call.take_if(|_| !self.accepted.is_empty()) {
            let result = Ok(ChangeFeed {
                version: self.version,
                rows: std::mem::take(&mut self.accepted),
                sent_at: self.now,
            });
            self.deliver(Event::ChangesReceived { call, result });
        }
    }

    pub(crate) fn handle_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Commit {
                call, partition, ..
            } if self.is_down(partition) => {
                let result = Err(StoreError::Unavailable);
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Commit {
                call, partition, ..
            } if self.job_writes_lost && partition != 0 => {
                let result = Err(StoreError::Unknown);
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Commit {
                call,
                timeout: Some(timeout),
                ..
            } if timeout < self.store_latency => {
                self.now += timeout;
                let result = Err(StoreError::Unknown);
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Commit {
                call, transaction, ..
            } if self.submissions_lost && is_submission(&transaction) => {
                self.submissions_sent += 1;
                self.now += LOST_WRITE_TIME;
                let result = Err(StoreError::Unknown);
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Commit {
                call, transaction, ..
            } if self
                .writes_lost_to
                .iter()
                .any(|t| writes_to(&transaction, t)) =>
            {
                self.late_writes.push(transaction);
                self.now += LOST_WRITE_TIME;
                let result = Err(StoreError::Unknown);
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Commit {
                call,
                partition,
                transaction,
                ..
            } if self.holds_states
                && writes_to(&transaction, "state/")
                && !is_submission(&transaction) =>
            {
                self.held_states.push((call, partition, transaction));
            }
            Effect::Commit {
                call, transaction, ..
            } if self.conflicts(&transaction) => {
                let keys = transaction.conditions.into_iter().map(|c| c.key);
                let rows = keys.filter_map(|key| self.guarded_row(&key).cloned());
                let result = Err(StoreError::Conflict(rows.collect()));
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Reply { reply, .. } => self.replies.push(reply),
            Effect::Commit {
                call,
                partition,
                transaction,
                ..
            } => {
                self.commits.push((partition, transaction.clone()));
                let has = |table: &str| writes_to(&transaction, table);
                // Accepting a job writes rows in both tables.
                self.states_written += u32::from(has("state/") && !has("job/"));
                self.store_rows(transaction);
                let result = Ok(StoreResponse::Applied {
                    version: self.version,
                    clock: self.now,
                });
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Scan { call, .. } if self.reads_down => {
                let result = Err(StoreError::Unavailable);
                self.deliver(Event::StoreAnswered { call, result });
            }
            Effect::Scan {
                call,
                table: Table::Cell,
                ..
            } if self.cell_scans != CellScans::AtOnce => self.cell_scan_call = Some(call),
            Effect::Scan {
                call,
                partition,
                table,
                ..
            } => {
                if table == Table::Job {
                    self.job_scans.push(partition);
                }
                let of_table = |row: &&Row| row.key.starts_with(table.prefix());
                let rows = match (table, partition) {
                    (Table::Cell, _) => self.cell_rows.clone(),
                    (Table::Roster, _) => self.roster_rows.clone(),
                    (_, 0) => self
                        .undivided_rows
                        .iter()
                        .filter(of_table)
                        .cloned()
                        .collect(),
                    _ => {
                        let in_partition = self.job_rows.iter().filter(|(p, _)| *p == partition);
                        let rows = in_partition.map(|(_, row)| row);
                        rows.filter(of_table).cloned().collect()
                    }
                };
                let result = Ok(StoreResponse::Rows {
                    rows,
                    more: false,
                    version: self.version,
                    clock: self.now,
                });
                self.deliver(Event::StoreAnswered { call, result });
            }
            // Both are answered on the next tick.
            Effect::Follow {
                call, table, wait, ..
            } => match table {
                Table::Job => {
                    let deadline = self.now + wait + READ_TIMEOUT;
                    match self.job_follows_lost.checked_sub(1) {
                        Some(left) => {
                            self.job_follows_lost = left;
                            self.silent_follows.push((call, deadline));
                        }
                        None => {
                            self.job_follow_call = Some(call);
                            self.job_follow_deadline = deadline;
                        }
                    }
                }
                // An earlier call may be handled after a later one replaced it.
                _ => self.cell_follow_call = self.cell_follow_call.max(Some(call)),
            },
            Effect::WatchServers(true) => {
                self.deliver(Event::ServersListed(self.listings.clone()));
            }
            Effect::Order { call, server, .. } if self.replaced.contains(&server) => {
                let result = Ok(OrderResponse::Rejected(Rejection::OtherIncarnation));
                self.deliver(Event::OrderAnswered { call, result });
            }
            Effect::Order { call, server, .. } if self.unreachable.contains(&server) => {
                self.now += TICK;
                let result = Err(OrderError::Lost);
                self.deliver(Event::OrderAnswered { call, result });
            }
            Effect::Order {
                call,
                order,
                server,
                ..
            } if self.fleet.contains_key(&server)
                && !matches!(*order, Order::RenewLease { .. }) =>
            {
                self.carry_out(&server, *order);
                let result = Ok(OrderResponse::Done(self.clock_of(&server)));
                self.deliver(Event::OrderAnswered { call, result });
            }
            Effect::Order {
                call,
                order,
                server,
                ..
            } if matches!(*order, Order::Start { .. }) => {
                if let Order::Start { run, .. } = *order {
                    self.starts.push(run.number);
                    self.started.push(run.clone());
                    if self.starts_run && server == "server" {
                        self.running.push(progress(run));
                    }
                }
                if self.holds_starts {
                    self.held_starts.push(call);
                    return;
                }
                let result = match () {
                    () if self.starts_run => Ok(OrderResponse::Done(self.clock())),
                    () if self.starts_lost => Err(OrderError::Lost),
                    () => Ok(OrderResponse::Rejected(Rejection::NoRoom)),
                };
                self.deliver(Event::OrderAnswered { call, result });
            }
            Effect::Order { call, order, .. } if matches!(*order, Order::Stop { .. }) => {
                let result = match self.stops_lost {
                    true => Err(OrderError::Lost),
                    false => Ok(OrderResponse::Done(self.clock())),
                };
                self.deliver(Event::OrderAnswered { call, result });
            }
            Effect::Order {
                call,
                server,
                order,
                ..
            } if self.holds_renewals
                && matches!(*order, Order::RenewLease { max_wait, .. } if !max_wait.is_zero()) =>
            {
                self.held_renewals.push((call, server));
            }
            Effect::Order {
                call,
                server,
                order,
                token,
                ..
            } if matches!(*order, Order::RenewLease { .. }) => {
                self.renewal_tokens.push(token);
                if let Order::RenewLease {
                    lease_end,
                    acknowledged,
                    ..
                } = *order
                {
                    self.acknowledged.push(acknowledged);
                    self.max_lease_end = self.max_lease_end.max(lease_end.unwrap_or(0));
                }
                match self.renews_by_tick {
                    true => self.pending_renewals.push((call, server)),
                    false => {
                        self.now += TICK;
                        self.answer_renewal(call, &server, Vec::new());
                    }
                }
            }
            Effect::QueryPolicy { call, query } => self.policy_calls.push((call, query.step.0)),
            Effect::Log(notice) => self.notices.push(notice),
            _ => {}
        }
    }

    /// Replaces a backend server by another incarnation, which runs nothing.
    pub(crate) fn restart(&mut self, server: &Name, incarnation: u64) {
        let lists = ServerLists {
            restarts: incarnation - 1,
            booted_at: self.now,
            ..ServerLists::default()
        };
        self.fleet.insert(server.clone(), lists);
    }

    /// Clock of a backend server that carries out starts.
    fn clock_of(&self, server: &str) -> u64 {
        let lists = self.fleet.get(server);
        let booted_at = lists.map_or(Duration::ZERO, |lists| lists.booted_at);
        self.now.saturating_sub(booted_at).as_millis() as u64
    }

    fn carry_out(&mut self, server: &Name, order: Order) {
        let Some(lists) = self.fleet.get_mut(server) else {
            return;
        };
        match order {
            Order::Start { run, .. } => {
                self.placements.push((server.clone(), run.clone()));
                lists.running.push(progress(run));
            }
            Order::Stop { run } => lists.end(RunOutcome::Stopped, |other| *other == run),
            Order::RenewLease { .. } | Order::Pace { .. } => {}
        }
    }

    pub(crate) fn answer_renewal(&mut self, call: CallId, server: &str, finished: Vec<Finished>) {
        let lists = match (self.fleet.get(server), server) {
            (Some(lists), _) => RunLists {
                clock: self.clock_of(server),
                incarnation: Some(1 + lists.restarts),
                running: lists.running.clone(),
                finished: lists.finished.clone(),
            },
            (None, id) => RunLists {
                clock: self.clock(),
                incarnation: Some(self.incarnation),
                running: match id {
                    "server" => self.running.clone(),
                    _ => Vec::new(),
                },
                finished,
            },
        };
        let result = Ok(OrderResponse::Lists(Box::new(lists)));
        self.deliver(Event::OrderAnswered { call, result });
    }

    /// Clock of the backend servers, which restarts with an incarnation.
    pub(crate) fn clock(&self) -> u64 {
        let now = self.now.as_millis() as u64;
        match self.incarnation {
            1 => now,
            _ => now - CLOCK_AT_RESTART_MS,
        }
    }

    pub(crate) fn is_down(&self, partition: PartitionId) -> bool {
        match partition {
            0 => self.store_down || self.cell_partition_down,
            _ => {
                let down = self.store_down || self.job_partitions_down;
                down || self.partition_down == Some(partition)
            }
        }
    }

    /// Row of the cell's partition whose version the table service checks.
    fn guarded_row(&self, key: &str) -> Option<&Row> {
        let mut rows = self.roster_rows.iter().chain(&self.cell_rows);
        rows.find(|row| row.key == key)
    }

    /// True when a condition on a row of the roster, or on that of the heartbeat, does not
    /// hold.
    fn conflicts(&self, transaction: &Transaction) -> bool {
        let mut conditions = transaction.conditions.iter();
        conditions.any(|condition| {
            let version = self
                .guarded_row(&condition.key)
                .map_or(0, |r| r.cell.version);
            let checked = condition.key.starts_with("roster/") || condition.key == "cell/beat";
            checked && version != condition.version
        })
    }

    /// Applies the writes without an answer whose conditions hold.
    pub(crate) fn apply_late_writes(&mut self) {
        for transaction in std::mem::take(&mut self.late_writes) {
            if !self.conflicts(&transaction) {
                self.late_applied += 1;
                self.store_rows(transaction);
            }
        }
    }

    /// Applies the writes of job states that wait, and answers them.
    pub(crate) fn answer_held_states(&mut self) {
        for (call, partition, transaction) in std::mem::take(&mut self.held_states) {
            self.commits.push((partition, transaction.clone()));
            self.store_rows(transaction);
            let result = Ok(StoreResponse::Applied {
                version: self.version,
                clock: self.now,
            });
            self.deliver(Event::StoreAnswered { call, result });
        }
    }

    /// True when the stored roster lists a backend server.
    pub(crate) fn roster_lists(&self, id: &str) -> bool {
        let names = |row: &Row| row.cell.value.windows(id.len()).any(|w| w == id.as_bytes());
        self.roster_rows.iter().any(names)
    }

    fn store_rows(&mut self, transaction: Transaction) {
        self.version += 1;
        let version = self.version;
        let rows = transaction.writes.into_iter().filter_map(|write| {
            let value = write.value?;
            let cell = Cell { version, value };
            Some(Row {
                key: write.key,
                cell,
            })
        });
        for row in rows {
            self.store_row(row);
        }
    }

    pub(crate) fn store_row(&mut self, row: Row) {
        if row.key.starts_with("job/") {
            self.accepted.push(row);
        } else if row.key.starts_with("roster/") {
            self.roster_rows.retain(|known| known.key != row.key);
            self.roster_rows.push(row);
        } else if row.key.starts_with("cell/") {
            self.cell_rows.retain(|known| known.key != row.key);
            self.cell_rows.push(row);
        }
    }

    /// Replaces the value of a row that an earlier owner left.
    pub(crate) fn replace_job_row<B>(&mut self, key: &str, value: B)
    where
        B: Into<Bytes>,
    {
        let mut rows = self.job_rows.iter_mut();
        let (_, row) = rows.find(|(_, row)| row.key == key).expect("stored row");
        row.cell.value = value.into();
    }

    pub(crate) fn has_claimed(&self) -> bool {
        let mut notices = self.notices.iter();
        notices.any(|notice| matches!(notice, Notice::Claiming { .. }))
    }

    pub(crate) fn submit(&mut self, id: &str) {
        self.submit_graph(id, graph());
    }

    pub(crate) fn submit_graph(&mut self, id: &str, graph: Graph) {
        self.submit_to(&format!("/queue/{id}"), graph);
    }

    /// Submits a job that needs no admission by the external policy.
    pub(crate) fn submit_plain(&mut self, id: &str) {
        self.submit_to(&format!("/plain/{id}"), graph());
    }

    pub(crate) fn submit_to(&mut self, path: &str, graph: Graph) {
        let request = ApiRequest {
            host: "host".into(),
            path: path.into(),
            key: Some(key::hash("key")),
            kind: RequestKind::Submit(Box::new(graph)),
        };
        self.deliver(Event::ApiRequest { caller: 1, request });
    }

    /// Answers the latest query to the external admission policy.
    pub(crate) fn answer_policy(&mut self, granted: Vec<(Name, Name)>) {
        if let Some(&(call, _)) = self.policy_calls.last() {
            let result = Ok(PolicyDecision { granted });
            self.deliver(Event::PolicyAnswered { call, result });
        }
    }

    /// Denies all queries to the external admission policy for a second, since an
    /// unanswered one holds up others. Returns the jobs that were asked about.
    pub(crate) fn deny_queries(&mut self) -> BTreeSet<JobId> {
        let mut jobs = BTreeSet::new();
        let until = self.now + Duration::from_secs(1);
        while self.now < until {
            for (call, job) in std::mem::take(&mut self.policy_calls) {
                jobs.insert(job);
                let result = Ok(PolicyDecision::default());
                self.deliver(Event::PolicyAnswered { call, result });
            }
            self.advance(TICK);
        }
        jobs
    }

    pub(crate) fn offer(&mut self, cpu_share: f64) {
        let offer = Offer {
            helper: "other".into(),
            cpu_share,
            result: None,
        };
        self.deliver(Event::Offer { caller: 2, offer });
    }

    pub(crate) fn has_released(&self) -> bool {
        let mut notices = self.notices.iter();
        notices.any(|notice| matches!(notice, Notice::Released { .. }))
    }
}

pub(crate) fn row(key: &str, value: &'static [u8]) -> Row {
    Row {
        key: key.into(),
        cell: Cell {
            version: 1,
            value: value.into(),
        },
    }
}

/// First fields of a heartbeat row.
#[derive(serde::Deserialize)]
pub(crate) struct HeartbeatHead {
    pub(crate) _count: u64,
    pub(crate) _clock: Duration,
    pub(crate) recorded: bool,
}

/// What each applied heartbeat says about the records.
pub(crate) fn recorded_flags(harness: &Harness) -> Vec<bool> {
    let writes = harness.commits.iter().flat_map(|(_, t)| &t.writes);
    let heartbeats = writes.filter(|write| write.key == "cell/beat");
    let values = heartbeats.filter_map(|write| write.value.as_ref());
    let head = |bytes| postcard::take_from_bytes::<HeartbeatHead>(bytes);
    values
        .map(|bytes| head(bytes).expect("valid heartbeat").0.recorded)
        .collect()
}

/// A run of the only task of a job.
pub(crate) fn run_of(job: &str) -> RunKey {
    let task = TaskId {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    RunKey { task, number: 5 }
}

pub(crate) fn progress(run: RunKey) -> Progress {
    Progress {
        run,
        checkpoint: Name::default(),
        percent: 50,
        gauge: 0,
    }
}

/// A follower of an owner that stopped, with the rows that the owner left.
pub(crate) fn successor_of(owner: &Harness) -> Harness {
    successor_named("follower", owner)
}

pub(crate) fn successor_named(name: &str, owner: &Harness) -> Harness {
    let mut rows = BTreeMap::new();
    for (partition, row) in &owner.job_rows {
        rows.insert((*partition, &row.key), Some(&row.cell.value));
    }
    for (partition, transaction) in &owner.commits {
        for write in &transaction.writes {
            rows.insert((*partition, &write.key), write.value.as_ref());
        }
    }
    let rows = rows.into_iter().filter_map(|((partition, key), value)| {
        let value = value?.clone();
        let cell = Cell { version: 1, value };
        let key = key.clone();
        Some((partition, Row { key, cell }))
    });
    let mut successor = Harness::new(name, 0.25, owner.cell_rows.clone());
    successor.job_rows = rows.collect();
    successor.roster_rows = owner.roster_rows.clone();
    successor
}

/// Three backend servers of one service, the last of which holds the only run of
/// the job that was submitted.
pub(crate) fn owner_with_run_on_last_of_three() -> Harness {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    owner.listings = ["one", "two", "last"].map(named_listing).into();
    owner.renews_by_tick = true;
    owner.starts_lost = true;
    owner.stops_lost = true;
    owner.advance(Duration::from_secs(1));
    owner.submit("0000000000000001");
    owner.advance(Duration::from_millis(100));
    owner.answer_policy(vec![("last".into(), "ticket".into())]);
    owner.advance(Duration::from_secs(1));
    assert_eq!(owner.starts.len(), 1, "{:?}", owner.notices);
    owner
}

pub(crate) fn named_listing(id: &str) -> Listing {
    Listing {
        id: id.into(),
        address: id.into(),
        ..listing()
    }
}

/// Answers queries to the external admission policy with tickets for these backend
/// servers, until `time` has passed.
pub(crate) fn grant_for(harness: &mut Harness, servers: &[&str], time: Duration) {
    let tickets = servers
        .iter()
        .map(|id| (Name::from(*id), Name::from("ticket")));
    let tickets: Vec<(Name, Name)> = tickets.collect();
    let until = harness.now + time;
    while harness.now < until {
        harness.advance(TICK);
        harness.answer_policy(tickets.clone());
    }
}

/// An owner of `servers` backend servers that carry out starts.
pub(crate) fn owner_of(servers: usize) -> Harness {
    let ids: Vec<Name> = (0..servers).map(|n| format!("s{n}").into()).collect();
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.listings = ids.iter().map(|id| named_listing(id)).collect();
    harness.fleet = ids.into_iter().map(|id| (id, Default::default())).collect();
    harness.advance(Duration::from_secs(1));
    harness
}

/// Longest time until the leases on a backend server that is cut off have certainly ended.
pub(crate) const LAPSE_TIME: Duration = Duration::from_secs(8);

/// One task or gang of `tasks` that take a backend server each.
pub(crate) fn wide(tasks: u32, gang: bool) -> Graph {
    let step = graph().steps.swap_remove(0);
    Graph {
        steps: vec![Step {
            tasks,
            gang,
            each: Resources::of(40_000, 512, 0, 0),
            ..step
        }],
        ..graph()
    }
}

/// Backend servers that run something, at most `count`.
pub(crate) fn busy(harness: &Harness, count: usize) -> Vec<Name> {
    let running = harness.fleet.iter();
    let running = running.filter(|(_, lists)| !lists.running.is_empty());
    running.map(|(id, _)| id.clone()).take(count).collect()
}

/// Takes over from an owner that is killed, with the backend servers as they are.
pub(crate) fn replace_owner(owner: Harness, term: usize) -> Harness {
    let mut successor = successor_named(&"owner".repeat(term + 2), &owner);
    successor.renews_by_tick = true;
    successor.listings = owner.listings;
    successor.fleet = owner.fleet;
    successor.unreachable = owner.unreachable;
    successor.now = owner.now;
    successor
}
