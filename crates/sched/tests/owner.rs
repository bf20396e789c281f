//! Tests of a single entry VM against simulated responses of the table service,
//! the registry, the backend servers and the external admission policy.

use std::cell::Cell as Counter;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbtest;
use bytes::Bytes;
use model::{
    Attempt, Cell, Epoch, Graph, JobId, Name, Resources, Row, RunKey, RunOutcome, Stage, Step,
    TaskId, Transaction, key,
};
use sched::{
    AdmissionPolicy, ApiRequest, CallId, ChangeFeed, Config, Effect, Event, Finished, Layout,
    Listing, Node, Notice, Offer, OfferResponse, Order, OrderError, OrderResponse, PartitionId,
    PolicyDecision, Progress, Queue, Rejection, Reply, RequestKind, RunLists, Service, Settings,
    StoreError, StoreResponse, Table, Team, Time, Timing,
};

/// Time after which a write counts as lost whose connection was reset.
const LOST_WRITE_TIME: Duration = Duration::from_millis(5);
/// Clock of the first incarnation of a backend server when the others begin.
const CLOCK_AT_RESTART_MS: u64 = 100_000;
/// Interval between ticks.
const TICK: Duration = Duration::from_millis(20);

fn settings(name: &str, cpu_share: f64) -> Settings {
    Settings {
        name: name.into(),
        // Distinct because the names used differ in length.
        process: name.len() as u64,
        address: name.into(),
        cpu_share,
        remote_factor: 2.0,
        job_partitions: 2,
        timing: Timing::default(),
    }
}

/// One queue whose steps need admission by the external policy, and one without. The latency
/// objective of its jobs is 1 s: the target of 900 ms plus the estimate of 100 ms.
/// Three times that after submission, a job has no value left and ranks last.
fn config() -> Config {
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

fn listing() -> Listing {
    Listing {
        id: "server".into(),
        incarnation: 1,
        address: "server".into(),
        service: "service".into(),
        capacity: Resources::of(64_000, 65_536, 0, 0),
        ..Listing::default()
    }
}

fn graph() -> Graph {
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
enum CellScans {
    AtOnce,
    /// After it has applied the writes that were sent in the same step.
    AfterWrites,
    /// As `AfterWrites`, and never while the node is the owner.
    LostInTerm,
}

/// The node under test, the simulated time, and the effects that are recorded
/// instead of answered at once.
struct Harness {
    node: Node,
    now: Duration,
    version: u64,
    /// Queries to the external admission policy, with their job.
    policy_calls: Vec<(CallId, JobId)>,
    notices: Vec<Notice>,
    /// Rows of the job table not yet reported to the owner.
    accepted: Vec<Row>,
    /// Call that waits for changes of the job table.
    job_follow_call: Option<CallId>,
    /// Call that waits for changes of the cell table.
    cell_follow_call: Option<CallId>,
    /// When the table service answers scans of the cell.
    cell_scans: CellScans,
    /// Scan of the cell that waits.
    cell_scan_call: Option<CallId>,
    /// Current rows of the cell table.
    cell_rows: Vec<Row>,
    /// Rows of the roster.
    roster_rows: Vec<Row>,
    /// Rows of jobs that a build without job partitions wrote.
    undivided_rows: Vec<Row>,
    /// Rows of jobs in the job partitions, as an earlier owner left them.
    job_rows: Vec<(PartitionId, Row)>,
    /// Transactions that were applied, with their partitions.
    commits: Vec<(PartitionId, Transaction)>,
    /// Whether the table service rejects all writes as unavailable.
    store_down: bool,
    /// Whether it rejects reads.
    reads_down: bool,
    /// Whether it rejects writes to the cell's partition.
    cell_partition_down: bool,
    /// Whether it rejects writes to the job partitions.
    job_partitions_down: bool,
    /// Whether writes to the job partitions get no answer.
    job_writes_lost: bool,
    /// Job partition to which it rejects writes.
    partition_down: Option<PartitionId>,
    /// Scans of the job table, by partition.
    job_scans: Vec<PartitionId>,
    /// Incarnation of the backend server, which its lists name.
    incarnation: u64,
    /// Runs that the backend server `server` lists as running.
    running: Vec<Progress>,
    /// Latency of a write; writes with a shorter timeout have an unknown outcome.
    store_latency: Duration,
    /// Number of applied writes of job states by the owner.
    states_written: u32,
    /// Whether writes of submissions get no answer.
    submissions_lost: bool,
    /// Number of writes of submissions that were sent.
    submissions_sent: u32,
    /// Replies to callers.
    replies: Vec<Reply>,
    /// Run numbers of the start orders.
    starts: Vec<Attempt>,
    /// Whether start orders get no response, instead of a rejection.
    starts_lost: bool,
    /// Whether start orders are executed, instead of a rejection.
    starts_run: bool,
    /// Runs of the start orders.
    started: Vec<RunKey>,
    /// Whether stop orders get no response, instead of an acknowledgement.
    stops_lost: bool,
    /// Whether the backend server holds lease renewals that allow it.
    holds_renewals: bool,
    /// Fencing tokens of the lease renewals.
    renewal_tokens: Vec<Epoch>,
    /// Whether lease renewals are answered at the next tick instead of at once.
    renews_by_tick: bool,
    /// Lease renewals that are answered at the next tick, with their backend server.
    pending_renewals: Vec<(CallId, Name)>,
    /// Whether start orders wait for an answer.
    holds_starts: bool,
    /// Start orders that wait for an answer.
    held_starts: Vec<CallId>,
    /// Latest end of a lease that was ordered, on the backend servers' clock in ms.
    max_lease_end: u64,
    /// Ends that the backend server `server` lists.
    finished: Vec<Finished>,
    /// Lease renewals that are held, with their backend server.
    held_renewals: Vec<(CallId, Name)>,
    /// The registry's entries when a node begins to watch it.
    listings: Vec<Listing>,
    /// Backend servers whose responses to orders are lost.
    unreachable: BTreeSet<Name>,
    /// Backend servers at whose address another incarnation answers.
    replaced: BTreeSet<Name>,
}

/// True for the write with which a job is accepted.
fn is_submission(transaction: &Transaction) -> bool {
    let mut writes = transaction.writes.iter();
    writes.any(|write| write.key.starts_with("job/") && write.value.is_some())
}

impl Harness {
    /// A node that is the owner, with one backend server in use.
    fn owning(cpu_share: f64) -> Self {
        let mut harness = Self::new("owner", cpu_share, Vec::new());
        harness.advance(Duration::from_secs(1));
        assert!(harness.node.is_owner());
        harness
    }

    /// A node that follows another owner, whose heartbeats have stopped.
    fn following() -> Self {
        let owner = Self::owning(0.25);
        Self::new("follower", 0.25, owner.cell_rows)
    }

    fn new(name: &str, cpu_share: f64, cell_rows: Vec<Row>) -> Self {
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
            partition_down: None,
            job_scans: Vec::new(),
            incarnation: 1,
            running: Vec::new(),
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
        harness.cell_rows = cell_rows;
        let config = Box::new(config());
        harness.deliver(Event::Config {
            config,
            requested_at: now,
        });
        harness
    }

    fn deliver(&mut self, event: Event) {
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

    /// Advances the simulated time, one tick at a time.
    fn advance(&mut self, time: Duration) {
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
            self.answer_cell_follow();
            self.answer_cell_scan();
        }
    }

    fn answer_cell_scan(&mut self) {
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

    fn answer_cell_follow(&mut self) {
        if let Some(call) = self.cell_follow_call.take() {
            let result = Ok(ChangeFeed {
                version: self.version,
                rows: Vec::new(),
                sent_at: self.now,
            });
            self.deliver(Event::ChangesReceived { call, result });
        }
    }

    fn answer_job_follow(&mut self) {
        if let Some(call) = self.job_follow_call.take_if(|_| !self.accepted.is_empty()) {
            let result = Ok(ChangeFeed {
                version: self.version,
                rows: std::mem::take(&mut self.accepted),
                sent_at: self.now,
            });
            self.deliver(Event::ChangesReceived { call, result });
        }
    }

    fn handle_effect(&mut self, effect: Effect) {
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
            Effect::Reply { reply, .. } => self.replies.push(reply),
            Effect::Commit {
                call,
                partition,
                transaction,
                ..
            } => {
                self.commits.push((partition, transaction.clone()));
                let has = |table: &str| {
                    let mut writes = transaction.writes.iter();
                    writes.any(|write| write.key.starts_with(table))
                };
                // Accepting a job writes rows in both tables.
                self.states_written += u32::from(has("state/") && !has("job/"));
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
            Effect::Follow { call, table, .. } => match table {
                Table::Job => self.job_follow_call = Some(call),
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
                if let Order::RenewLease { lease_end, .. } = *order {
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

    fn answer_renewal(&mut self, call: CallId, server: &str, finished: Vec<Finished>) {
        let running = match server {
            "server" => self.running.clone(),
            _ => Vec::new(),
        };
        let lists = RunLists {
            clock: self.clock(),
            incarnation: Some(self.incarnation),
            running,
            finished,
        };
        let result = Ok(OrderResponse::Lists(Box::new(lists)));
        self.deliver(Event::OrderAnswered { call, result });
    }

    /// Clock of the backend servers, which restarts with an incarnation.
    fn clock(&self) -> u64 {
        let now = self.now.as_millis() as u64;
        match self.incarnation {
            1 => now,
            _ => now - CLOCK_AT_RESTART_MS,
        }
    }

    fn is_down(&self, partition: PartitionId) -> bool {
        match partition {
            0 => self.store_down || self.cell_partition_down,
            _ => {
                let down = self.store_down || self.job_partitions_down;
                down || self.partition_down == Some(partition)
            }
        }
    }

    fn store_row(&mut self, row: Row) {
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
    fn replace_job_row<B>(&mut self, key: &str, value: B)
    where
        B: Into<Bytes>,
    {
        let mut rows = self.job_rows.iter_mut();
        let (_, row) = rows.find(|(_, row)| row.key == key).expect("stored row");
        row.cell.value = value.into();
    }

    fn has_claimed(&self) -> bool {
        let mut notices = self.notices.iter();
        notices.any(|notice| matches!(notice, Notice::Claiming { .. }))
    }

    fn submit(&mut self, id: &str) {
        self.submit_graph(id, graph());
    }

    fn submit_graph(&mut self, id: &str, graph: Graph) {
        self.submit_to(&format!("/queue/{id}"), graph);
    }

    /// Submits a job that needs no admission by the external policy.
    fn submit_plain(&mut self, id: &str) {
        self.submit_to(&format!("/plain/{id}"), graph());
    }

    fn submit_to(&mut self, path: &str, graph: Graph) {
        let request = ApiRequest {
            host: "host".into(),
            path: path.into(),
            key: Some(key::hash("key")),
            kind: RequestKind::Submit(Box::new(graph)),
        };
        self.deliver(Event::ApiRequest { caller: 1, request });
    }

    /// Answers the latest query to the external admission policy.
    fn answer_policy(&mut self, granted: Vec<(Name, Name)>) {
        if let Some(&(call, _)) = self.policy_calls.last() {
            let result = Ok(PolicyDecision { granted });
            self.deliver(Event::PolicyAnswered { call, result });
        }
    }

    /// Denies all queries to the external admission policy for a second, since an
    /// unanswered one holds up others. Returns the jobs that were asked about.
    fn deny_queries(&mut self) -> BTreeSet<JobId> {
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

    fn offer(&mut self, cpu_share: f64) {
        let offer = Offer {
            helper: "other".into(),
            cpu_share,
            result: None,
        };
        self.deliver(Event::Offer { caller: 2, offer });
    }

    fn has_released(&self) -> bool {
        let mut notices = self.notices.iter();
        notices.any(|notice| matches!(notice, Notice::Released { .. }))
    }
}

/// Pattern: jobs that no backend server may run come together. They say nothing about
/// the room that others would find, so the policy must be queried about these too.
#[test]
fn steps_that_the_policy_denies_everywhere_hold_up_no_others() {
    let mut harness = Harness::owning(0.25);
    let mut graph = graph();
    graph.steps[0].estimate = Duration::from_secs(60);
    let ids: BTreeSet<JobId> = (0..40).map(|i| format!("{i:016x}").into()).collect();
    for id in &ids {
        harness.submit_graph(id, graph.clone());
    }

    let mut queried = harness.deny_queries();
    queried.append(&mut harness.deny_queries());

    assert_eq!(queried, ids);
}

/// With a slow policy and a backlog of jobs that can no longer meet their
/// objective, queries in order of arrival would delay the job that still can.
/// A placement pass must query the policy about that job.
#[test]
fn policy_queries_follow_the_placement_rank() {
    let mut harness = Harness::owning(0.25);
    for id in ["0000000000000001", "0000000000000002", "0000000000000003"] {
        harness.submit(id);
    }
    harness.advance(Duration::from_secs(4));
    harness.submit("0000000000000004");
    harness.advance(Duration::from_millis(100));
    let before = harness.policy_calls.len();

    for _ in 0..2 {
        harness.answer_policy(Vec::new());
        harness.advance(Duration::from_millis(100));
    }

    let asked: Vec<&str> = harness.policy_calls[before..]
        .iter()
        .map(|a| a.1.as_str())
        .collect();
    assert!(asked.contains(&"0000000000000004"), "asked about {asked:?}");
}

#[test]
fn a_weak_owner_hands_over_to_a_strong_vm() {
    let mut harness = Harness::owning(0.12);
    harness.advance(Duration::from_secs(4));

    harness.offer(0.5);
    harness.advance(Duration::from_millis(100));

    assert!(harness.has_released());
}

#[test]
fn an_owner_stays_when_nobody_stronger_could_own() {
    let mut harness = Harness::owning(0.25);
    harness.advance(Duration::from_secs(4));

    harness.offer(0.3);
    harness.offer(0.0);
    harness.advance(Duration::from_millis(100));

    assert!(!harness.has_released());
}

/// No VM can take over while the table service is unavailable. An owner that is
/// shutting down must not release ownership until the service is back.
#[test]
fn shutdown_keeps_ownership_while_the_table_service_is_unavailable() {
    let mut harness = Harness::owning(0.25);
    harness.store_down = true;
    harness.advance(Duration::from_secs(1));
    harness.deliver(Event::Shutdown);

    harness.advance(Duration::from_secs(1));
    let released_early = harness.has_released();
    harness.store_down = false;
    harness.advance(Duration::from_millis(500));

    assert!(!released_early);
    assert!(harness.has_released());
}

/// When the table service becomes fifty times slower, group commits with a fixed
/// timeout would never succeed. The timeout must grow so that decisions are still
/// recorded.
#[test]
fn commit_timeout_adapts_to_a_slow_table_service() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(200));
    harness.store_latency = Duration::from_millis(600);

    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_secs(3));

    assert!(harness.states_written > 0);
}

/// An owner that is partitioned can't announce it. A helper whose offer to it is
/// not answered must claim ownership before the regular timeout.
#[test]
fn an_offer_without_an_answer_brings_the_claim_forward() {
    let mut waiting = Harness::following();
    let mut suspecting = Harness::following();
    for harness in [&mut waiting, &mut suspecting] {
        harness.advance(Duration::from_millis(500));
    }

    suspecting.deliver(Event::OfferAnswered(OfferResponse::Lost));
    for harness in [&mut waiting, &mut suspecting] {
        harness.advance(Duration::from_millis(600));
    }

    assert!(suspecting.has_claimed());
    assert!(!waiting.has_claimed());
}

/// Pattern: a part of the table service is down and resets connections. Each write
/// then leaves its caller without a definite answer, after which the caller can't
/// safely repeat it elsewhere. Once that is known, further submissions are refused
/// before anything is written.
#[test]
fn submissions_to_a_failing_partition_are_refused_before_they_are_sent() {
    let mut harness = Harness::owning(0.25);
    harness.submissions_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(300));
    let sent_before = harness.submissions_sent;
    harness.replies.clear();

    harness.submit("0000000000000001");

    assert!(
        sent_before >= 2,
        "the outcome of a write is asked for again"
    );
    assert_eq!(
        harness.submissions_sent, sent_before,
        "nothing more was sent"
    );
    let refused =
        matches!(harness.replies.as_slice(), [Reply::Refused(r)] if r.retry_after.is_some());
    assert!(refused, "{:?}", harness.replies);
}

/// The refusals end as soon as a probe is answered, without a submission that is
/// tried at the risk of its caller.
#[test]
fn submissions_are_accepted_again_after_an_answer() {
    let mut harness = Harness::owning(0.25);
    harness.submissions_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(300));
    harness.submissions_lost = false;
    harness.advance(Duration::from_millis(500));
    harness.replies.clear();

    harness.submit("0000000000000001");

    assert_eq!(harness.replies, [Reply::Accepted]);
}

/// Starts a job's only task, which the backend server rejects each time, until
/// `count` start orders were sent.
fn reject_starts(harness: &mut Harness, count: usize) {
    harness.submit("0000000000000001");
    while harness.starts.len() < count {
        harness.advance(TICK);
        harness.answer_policy(vec![("server".into(), "ticket".into())]);
    }
}

/// A backend server that has seen a run number accepts only higher ones for that
/// task. However often an owner starts a task, its successor's numbers are higher.
#[test]
fn run_numbers_of_a_successor_are_higher_after_many_starts() {
    let mut first = Harness::owning(0.25);
    reject_starts(&mut first, 1_100);
    let mut second = Harness::new("follower", 0.25, first.cell_rows.clone());
    second.advance(Duration::from_secs(4));
    assert!(second.node.is_owner());

    reject_starts(&mut second, 1);

    assert!(second.starts.first() > first.starts.iter().max());
}

/// An order for one incarnation of a backend server must be rejected by every later
/// one, also by the thousandth within a term.
#[test]
fn fencing_tokens_grow_with_each_of_many_incarnations() {
    let mut harness = Harness::owning(0.25);

    for incarnation in 2..1_200 {
        let listing = Listing {
            incarnation,
            ..listing()
        };
        harness.deliver(Event::ServerListed(listing));
        harness.advance(TICK * 5);
    }

    let mut tokens = harness.renewal_tokens.clone();
    tokens.dedup();
    assert!(tokens.is_sorted(), "tokens never decrease");
    assert_eq!(tokens.len(), 1_199, "each incarnation has its own token");
}

/// Pattern: backend servers leave orders unanswered. A task whose start was lost may
/// start again once its stop is acknowledged and a later list does not show it. The
/// list must not wait for the renewal that the backend server holds until a run ends.
#[test]
fn a_lost_start_is_repeated_without_waiting_for_a_held_renewal() {
    let mut harness = Harness::owning(0.25);
    harness.holds_renewals = true;
    harness.advance(Duration::from_millis(100));
    harness.starts_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));

    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_millis(300));

    assert!(harness.starts.len() > 1, "starts: {:?}", harness.starts);
}

fn row(key: &str, value: &'static [u8]) -> Row {
    Row {
        key: key.into(),
        cell: Cell {
            version: 1,
            value: value.into(),
        },
    }
}

/// Rows that a build without job partitions wrote are copied to the partitions of
/// their jobs, before the layout row tells any VM to look there, and deleted after.
#[test]
fn rows_of_a_build_without_partitions_are_copied_before_the_layout_exists() {
    let ids = ["0000000000000001", "0000000000000002", "0000000000000003"];
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    for id in ids {
        let keys = [format!("job/{id}"), format!("state/{id}")];
        let rows = keys.iter().map(|key| row(key, b"as stored"));
        harness.undivided_rows.extend(rows);
    }

    harness.advance(Duration::from_secs(1));

    let layout = Layout::new(settings("owner", 0.25).job_partitions);
    let position = |wanted: PartitionId, key: &str, deleted: bool| {
        harness.commits.iter().position(|(partition, transaction)| {
            let mut writes = transaction.writes.iter();
            let found = writes.any(|w| w.key == key && w.value.is_none() == deleted);
            *partition == wanted && found
        })
    };
    let created = position(0, "cell/layout", false).expect("layout row written");
    for id in ids {
        for key in [format!("job/{id}"), format!("state/{id}")] {
            let copied = position(layout.partition_of(&id.into()), &key, false);
            let deleted = position(0, &key, true);
            assert!(copied.is_some_and(|at| at < created), "{key} copied");
            assert!(deleted.is_some_and(|at| at > created), "{key} deleted");
        }
    }
    assert!(harness.node.is_ready());
}

/// Without the number of partitions no row of a job can be found. A VM must not guess
/// it, and goes on once the row is repaired.
#[test]
fn a_malformed_layout_row_keeps_the_cell_closed_until_it_is_repaired() {
    let layout = row("cell/layout", b"six");
    let mut harness = Harness::new("owner", 0.25, vec![layout]);
    harness.advance(Duration::from_secs(2));
    let ready_before = harness.node.is_ready();
    let reported = |notice: &Notice| matches!(notice, Notice::LayoutUnusable { .. });
    let was_reported = harness.notices.iter().any(reported);

    harness.cell_rows.retain(|row| row.key != "cell/layout");
    harness.cell_rows.push(row("cell/layout", b"6"));
    harness.advance(Duration::from_secs(2));

    assert!(!ready_before && was_reported);
    assert!(harness.node.is_ready());
}

/// Pattern: a cell that is created by an owner of other settings. The stored number
/// of partitions counts, not the settings.
#[test]
fn a_stored_layout_is_kept_whatever_the_settings_say() {
    let mut harness = Harness::new("owner", 0.25, vec![row("cell/layout", b"5")]);
    harness.advance(Duration::from_secs(1));

    let id = JobId::from("0000000000000001");
    harness.submit(&id);

    let accepted = harness.commits.iter().rfind(|(_, t)| is_submission(t));
    let partition = accepted.map(|(partition, _)| *partition);
    assert_eq!(partition, Some(Layout::new(5).partition_of(&id)));
}

/// Pattern: a process that was paused acts on a permission that ran out meanwhile.
/// Another VM may have claimed during the pause, so an owner that resumes sends no
/// order until a write is confirmed that it sent after the pause.
#[test]
fn an_owner_that_resumes_sends_no_order_before_a_write_is_confirmed() {
    let mut harness = Harness::owning(0.25);
    harness.store_down = true;
    harness.now += Duration::from_secs(2);
    let orders_before = harness.renewal_tokens.len();

    harness.advance(Duration::from_millis(500));
    let orders_unconfirmed = harness.renewal_tokens.len();
    harness.store_down = false;
    harness.advance(Duration::from_millis(500));

    assert_eq!(orders_unconfirmed, orders_before);
    assert!(harness.renewal_tokens.len() > orders_before);
}

/// First fields of a heartbeat row.
#[derive(serde::Deserialize)]
struct HeartbeatHead {
    _count: u64,
    _clock: Duration,
    recorded: bool,
}

/// What each applied heartbeat says about the records.
fn recorded_flags(harness: &Harness) -> Vec<bool> {
    let writes = harness.commits.iter().flat_map(|(_, t)| &t.writes);
    let heartbeats = writes.filter(|write| write.key == "cell/beat");
    let values = heartbeats.filter_map(|write| write.value.as_ref());
    let head = |bytes| postcard::take_from_bytes::<HeartbeatHead>(bytes);
    values
        .map(|bytes| head(bytes).expect("valid heartbeat").0.recorded)
        .collect()
}

/// Pattern: a table service that is away for so long that tasks start without a
/// record. Until the records are written, a successor must not trust them: the
/// heartbeat has to say so.
#[test]
fn heartbeats_say_that_a_start_is_not_recorded_yet() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.store_down = true;
    harness.advance(Duration::from_millis(4_200));
    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_millis(100));
    let started = harness.starts.len();
    let applied_before = recorded_flags(&harness).len();

    harness.store_down = false;
    harness.advance(Duration::from_secs(3));

    assert!(started > 0, "a task was started without a record");
    let flags = &recorded_flags(&harness)[applied_before..];
    assert_eq!(flags.first(), Some(&false), "{flags:?}");
    assert_eq!(flags.last(), Some(&true), "{flags:?}");
}

/// An owner of three backend servers whose records are complete.
fn owner_of_servers() -> Harness {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    owner.listings = ["one", "two", "last"].map(named_listing).into();
    owner.renews_by_tick = true;
    owner.advance(Duration::from_secs(1));
    owner
}

/// Failure: the first heartbeat of a term overtook the scan that reads the previous
/// owner's. Its records then counted as incomplete, and no inherited task started
/// until the leases on every backend server that did not answer had expired.
#[test]
fn a_successor_reads_the_last_heartbeat_before_it_replaces_it() {
    let owner = owner_of_servers();
    let last_flag = recorded_flags(&owner).last().copied();
    let mut successor = successor_of(&owner);
    successor.listings = owner.listings.clone();
    successor.unreachable.insert("last".into());
    successor.renews_by_tick = true;
    successor.cell_scans = CellScans::AfterWrites;

    successor.advance(Duration::from_secs(3));

    assert!(successor.node.is_owner());
    assert_eq!(last_flag, Some(true));
    assert_eq!(
        recorded_flags(&successor).last(),
        Some(&true),
        "the records are trusted although a server does not answer"
    );
}

/// A scan of the cell that is never answered must not stop the heartbeats, or another
/// VM would claim.
#[test]
fn heartbeats_begin_while_the_cell_cannot_be_read() {
    let mut successor = successor_of(&owner_of_servers());
    successor.cell_scans = CellScans::LostInTerm;

    successor.advance(Duration::from_secs(3));

    assert!(successor.node.is_owner());
    let beats = recorded_flags(&successor);
    assert!(beats.len() >= 2, "{beats:?}");
    assert!(!beats.contains(&true), "{beats:?}");
}

/// Pattern: a backend server restarts while an order to it is on the way. The order
/// may have reached the new incarnation, so the task must not start again before that
/// has acknowledged a stop.
#[test]
fn a_start_that_may_have_reached_the_next_incarnation_is_not_repeated() {
    let mut harness = Harness::owning(0.25);
    harness.starts_lost = true;
    harness.stops_lost = true;
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.answer_policy(vec![("server".into(), "ticket".into())]);
    harness.advance(Duration::from_millis(100));

    let listing = Listing {
        incarnation: 2,
        ..listing()
    };
    harness.deliver(Event::ServerListed(listing));
    harness.advance(Duration::from_millis(500));
    let unacknowledged = harness.starts.len();
    harness.stops_lost = false;
    harness.advance(Duration::from_millis(500));

    assert_eq!(unacknowledged, 1);
    assert!(harness.starts.len() > 1, "started again after the stop");
}

/// A run of the only task of a job.
fn run_of(job: &str) -> RunKey {
    let task = TaskId {
        job: job.into(),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    RunKey { task, number: 5 }
}

fn progress(run: RunKey) -> Progress {
    Progress {
        run,
        checkpoint: Name::default(),
        percent: 50,
        gauge: 0,
    }
}

/// An owner whose backend server `server` runs job 1. Since a start of job 2 there was
/// lost and stopped, the owner has asked for the lists again, which got no answer, and
/// no longer waits for the renewal that the server holds.
fn owner_that_requested_lists_again() -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.holds_renewals = true;
    harness.advance(Duration::from_millis(100));
    harness.starts_run = false;
    harness.starts_lost = true;
    harness.submit_plain("0000000000000002");
    harness.advance(TICK);
    harness.unreachable.insert("server".into());
    harness.pending_renewals.clear();
    harness.holds_renewals = false;
    harness.starts_run = true;
    harness
}

/// Guards against a task that starts again after its end was listed. The response to a
/// renewal that the owner no longer waits for lists the end, and the backend server is
/// not heard of again.
#[test]
fn an_end_in_the_response_to_an_earlier_renewal_is_not_lost() {
    let mut harness = owner_that_requested_lists_again();
    let (call, server) = harness.held_renewals.pop().expect("a held renewal");
    let end = Finished {
        number: 1,
        run: harness.started[0].clone(),
        outcome: RunOutcome::Completed,
        checkpoint: Name::default(),
    };
    harness.running.clear();
    harness.answer_renewal(call, &server, vec![end]);
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.deliver(Event::ServerListed(named_listing("other")));

    harness.advance(Duration::from_secs(14));

    let starts_of = |job: &str| {
        let runs = harness.started.iter();
        runs.filter(|run| run.task.job == job).count()
    };
    assert_eq!(starts_of("0000000000000001"), 1);
    assert!(
        starts_of("0000000000000002") > 1,
        "runs there were given up"
    );
}

/// An owner with the backend servers `server`, which runs job 1, `one` and `two`. The
/// first can't be reached any more.
fn owner_cut_off_from_a_run() -> Harness {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(500));
    for id in ["one", "two"] {
        harness.deliver(Event::ServerListed(named_listing(id)));
    }
    harness.advance(Duration::from_millis(500));
    harness.unreachable.insert("server".into());
    harness
}

/// Guards against a task that runs twice while two owners are valid. An owner without
/// a confirmed write goes on with a majority of the backend servers. A successor may
/// have reached the others and renew their leases, so their runs count until a write
/// is confirmed again.
#[test]
fn leases_that_a_successor_may_renew_do_not_expire() {
    let mut harness = owner_cut_off_from_a_run();
    harness.store_down = true;

    harness.advance(Duration::from_secs(15));
    let unconfirmed = harness.starts.len();
    harness.store_down = false;
    harness.advance(Duration::from_secs(2));

    assert!(harness.node.is_owner());
    assert_eq!(
        unconfirmed, 1,
        "started again while another owner may exist"
    );
    assert!(harness.starts.len() > 1, "started again once confirmed");
}

/// Guards against a task that runs twice after a delayed start order. A backend server
/// that restarts unseen executes it with a lease that its own clock limits, so the end
/// of the ordered lease proves nothing while the registry lists the server.
#[test]
fn an_unanswered_start_outlasts_its_lease_while_the_server_is_listed() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_lost = true;
    harness.stops_lost = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerListed(named_listing("other")));

    harness.advance(Duration::from_secs(10));
    let while_listed = harness.starts.len();
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(4));

    assert_eq!(while_listed, 1, "the order may still be executed");
    assert!(
        harness.starts.len() > 1,
        "started again once the server has left"
    );
}

/// Guards against an owner that gives up in every outage of the table service. Renewals
/// of servers with unacknowledged ends, which can't be acknowledged then, must come often
/// enough for a majority.
#[test]
fn an_owner_keeps_its_majority_while_ends_cannot_be_acknowledged() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.starts_run = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(500));
    harness.cell_partition_down = true;
    harness.job_writes_lost = true;
    harness.running.clear();
    harness.finished.push(Finished {
        number: 1,
        run: harness.started[0].clone(),
        outcome: RunOutcome::Completed,
        checkpoint: Name::default(),
    });

    harness.advance(Duration::from_secs(10));

    assert!(harness.node.is_owner(), "{:?}", harness.notices);
}

/// An owner with an unanswered start order to an incarnation that has restarted since,
/// and the call of that order. Its run was moved to the next incarnation.
fn owner_with_start_to_earlier_incarnation() -> (Harness, CallId) {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.holds_starts = true;
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.holds_starts = false;
    let call = harness.held_starts[0];
    harness.deliver(Event::ServerListed(Listing {
        incarnation: 2,
        ..listing()
    }));
    (harness, call)
}

/// Guards against runs that end before the owner expects it. The clock in a late
/// response of an earlier incarnation is not that of the one to which the run was
/// moved, and the ends of leases there are computed from it.
#[test]
fn the_clock_of_an_earlier_incarnation_is_not_used_for_the_next() {
    let (mut harness, call) = owner_with_start_to_earlier_incarnation();
    let clock = harness.now.as_millis() as u64;
    let result = Ok(OrderResponse::Done(clock));
    harness.deliver(Event::OrderAnswered { call, result });
    harness.max_lease_end = 0;

    harness.advance(Duration::from_secs(2));

    let longest = harness.clock() + 5_000;
    assert!(
        harness.max_lease_end <= longest,
        "{}",
        harness.max_lease_end
    );
}

/// Guards against the end of a sound incarnation. That another one answers at the
/// address of an earlier incarnation says nothing of the one to which the run was
/// moved.
#[test]
fn a_rejection_for_an_earlier_incarnation_does_not_end_the_next() {
    let (mut harness, call) = owner_with_start_to_earlier_incarnation();
    harness.advance(Duration::from_millis(200));
    let result = Ok(OrderResponse::Rejected(Rejection::OtherIncarnation));
    harness.deliver(Event::OrderAnswered { call, result });
    harness.starts_run = true;
    harness.advance(Duration::from_millis(500));
    let starts_before = harness.starts.len();

    harness.submit_plain("0000000000000002");
    harness.advance(Duration::from_secs(3));

    assert!(
        harness.starts.len() > starts_before,
        "{:?}",
        harness.notices
    );
}

/// Guards against two owners at the same time. An owner without the table service can't
/// change the stored roster, by which a successor counts its majority, so backend
/// servers that have terminated since count against its own.
#[test]
fn terminated_servers_count_against_the_majority_until_the_roster_is_stored() {
    let mut harness = owner_cut_off_from_a_run();
    harness.unreachable.clear();
    harness.store_down = true;
    harness.replaced = ["one", "two"].map(Name::from).into();

    harness.advance(Duration::from_secs(5));

    assert!(!harness.node.is_owner(), "one of three is no majority");
}

/// Guards against a backend server that stands idle for the rest of a term. It was cut
/// off for so long that its entry left the registry and the owner gave it up, and is
/// back as the same incarnation.
#[test]
fn a_backend_server_that_is_back_in_the_registry_is_used_again() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(12));

    harness.unreachable.clear();
    harness.deliver(Event::ServerListed(listing()));
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_secs(1));

    assert!(!harness.starts.is_empty(), "{:?}", harness.notices);
}

/// Pattern: a task completes on a backend server that is cut off, which lists the end
/// when it is back. The task is done, and what depends on it must not wait for a run of
/// it elsewhere.
#[test]
fn an_end_that_a_server_lists_once_it_is_back_counts() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.submit_plain("0000000000000001");
    harness.running.push(progress(run_of("0000000000000001")));
    harness.advance(Duration::from_millis(500));
    harness.unreachable.insert("server".into());
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(12));
    harness.running.clear();
    harness.unreachable.clear();
    harness.holds_renewals = true;

    harness.deliver(Event::ServerListed(listing()));
    harness.advance(Duration::from_millis(500));
    let end = Finished {
        number: 1,
        run: run_of("0000000000000001"),
        outcome: RunOutcome::Completed,
        checkpoint: Name::default(),
    };
    for (call, server) in std::mem::take(&mut harness.held_renewals) {
        harness.answer_renewal(call, &server, vec![end.clone()]);
    }

    let completed = |notice: &Notice| matches!(notice, Notice::JobStage { stage, .. } if *stage == Stage::Completed);
    assert!(harness.notices.iter().any(completed));
}

/// Pattern: as above, while a renewal is in flight. The roster no longer lists the
/// backend server, so a successor would not look for runs there: it must not be used
/// on the response to that renewal.
#[test]
fn a_server_that_is_back_is_used_only_once_the_roster_lists_it() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.holds_renewals = true;
    harness.advance(Duration::from_secs(1));
    harness.deliver(Event::ServerUnlisted("server".into()));
    harness.advance(Duration::from_secs(12));
    let in_flight = std::mem::take(&mut harness.held_renewals);
    harness.holds_renewals = false;

    harness.cell_partition_down = true;
    harness.deliver(Event::ServerListed(listing()));
    for (call, server) in in_flight {
        harness.answer_renewal(call, &server, Vec::new());
    }
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_millis(400));
    let before_the_roster = harness.starts.len();
    harness.cell_partition_down = false;
    harness.advance(Duration::from_secs(1));

    assert_eq!(before_the_roster, 0);
    assert!(!harness.starts.is_empty(), "used once the roster lists it");
}

/// Pattern: the address of a backend server goes to another one, and later it starts
/// again under the id that it had. The new incarnation must be used.
#[test]
fn a_server_that_starts_again_after_its_address_was_reused_is_used() {
    let mut harness = Harness::new("owner", 0.25, Vec::new());
    harness.renews_by_tick = true;
    harness.advance(Duration::from_secs(1));
    harness.replaced.insert("server".into());
    harness.advance(Duration::from_secs(2));
    harness.replaced.clear();

    harness.deliver(Event::ServerListed(Listing {
        incarnation: 2,
        ..listing()
    }));
    harness.submit_plain("0000000000000001");
    harness.advance(Duration::from_secs(1));

    assert!(!harness.starts.is_empty(), "{:?}", harness.notices);
}

/// Pattern: an owner finds a run that an earlier one ordered. A successor that can't
/// reach that backend server knows of it only by the record.
#[test]
fn heartbeats_say_that_a_found_run_is_not_recorded_yet() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.job_partitions_down = true;
    harness.running.push(progress(run_of("0000000000000001")));
    harness.advance(Duration::from_secs(1));
    let flag_before = recorded_flags(&harness).last().copied();

    harness.job_partitions_down = false;
    harness.advance(Duration::from_secs(1));

    assert_eq!(flag_before, Some(false));
    assert_eq!(recorded_flags(&harness).last(), Some(&true));
}

/// A successor may have claimed and not yet replaced the fence row of a job partition,
/// so a write that is applied there does not show that this owner still is the owner.
#[test]
fn a_group_commit_does_not_confirm_the_term() {
    let mut harness = Harness::owning(0.25);
    harness.submit("0000000000000001");
    harness.advance(Duration::from_millis(100));
    harness.cell_partition_down = true;
    harness.now += Duration::from_secs(2);
    let orders_before = harness.renewal_tokens.len();
    let job_commits = |harness: &Harness| {
        let commits = harness.commits.iter();
        commits.filter(|(partition, _)| *partition != 0).count()
    };
    let commits_before = job_commits(&harness);

    let cancellation = row("job/0000000000000001/cancel", &[1]);
    harness.accepted.push(cancellation);
    harness.advance(Duration::from_millis(500));

    assert!(job_commits(&harness) > commits_before);
    assert_eq!(harness.renewal_tokens.len(), orders_before);
}

/// A write of an earlier owner may be applied in a partition until its fence row is
/// replaced, so the rows of jobs are read only after that.
#[test]
fn job_rows_are_read_only_after_all_fence_rows_are_replaced() {
    let mut harness = Harness::new("owner", 0.25, vec![row("cell/layout", b"3")]);
    harness.partition_down = Some(2);
    harness.advance(Duration::from_secs(1));
    let scans_before = harness.job_scans.clone();

    harness.partition_down = None;
    harness.advance(Duration::from_secs(1));

    assert_eq!(scans_before, []);
    harness.job_scans.sort_unstable();
    assert_eq!(harness.job_scans, [1, 2, 3]);
}

/// An owner that accepted these jobs.
fn owner_of_jobs(ids: &[&str]) -> Harness {
    let mut owner = Harness::owning(0.25);
    for id in ids {
        owner.submit(id);
    }
    owner.advance(Duration::from_millis(100));
    owner
}

/// A follower of an owner that stopped, with the rows that the owner left.
fn successor_of(owner: &Harness) -> Harness {
    successor_named("follower", owner)
}

fn successor_named(name: &str, owner: &Harness) -> Harness {
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
fn owner_with_run_on_last_of_three() -> Harness {
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

fn named_listing(id: &str) -> Listing {
    Listing {
        id: id.into(),
        address: id.into(),
        ..listing()
    }
}

/// Answers queries to the external admission policy with tickets for these backend
/// servers, until `time` has passed.
fn grant_for(harness: &mut Harness, servers: &[&str], time: Duration) {
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

/// Guards against a task that runs twice after a long recovery. A predecessor that a
/// majority of the backend servers answers goes on after the claim, until the
/// successor has reached a majority, so its leases count from then and not from the
/// claim.
#[test]
fn leases_of_a_predecessor_outlast_a_recovery_that_takes_long() {
    let owner = owner_with_run_on_last_of_three();
    let mut successor = successor_of(&owner);
    successor.listings = owner.listings.clone();
    successor.renews_by_tick = true;
    successor.unreachable.insert("last".into());
    successor.partition_down = Some(1);
    successor.advance(Duration::from_secs(13));
    assert!(successor.node.is_owner());
    successor.partition_down = None;

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(4));
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(6));

    assert_eq!(while_leased, 0, "the predecessor may still have renewed");
    assert!(
        !successor.starts.is_empty(),
        "started once all leases ended"
    );
}

/// Lets the term of an owner expire while the table service is away, without any
/// answer of the backend servers, and lets the service be back `outage` after its
/// loss. The process shuts down meanwhile, so that it does not claim again.
fn expire_term(owner: &mut Harness, outage: Duration) {
    let servers = owner.listings.iter().map(|listing| listing.id.clone());
    owner.unreachable = servers.collect();
    owner.store_down = true;
    owner.advance(outage);
    assert!(!owner.node.is_owner());
    owner.deliver(Event::Shutdown);
    owner.store_down = false;
    owner.advance(Duration::from_millis(500));
}

/// A successor that takes over once the predecessor's heartbeat is too old for its
/// records to be trusted. It can't reach the last of the three backend servers, which
/// the registry still lists.
fn successor_without_last(name: &str, owner: &Harness) -> Harness {
    let mut successor = successor_named(name, owner);
    successor.unreachable.insert("last".into());
    successor.listings = owner.listings.clone();
    take_over(&mut successor, owner);
    successor
}

/// Lets a node claim that has not heard of the owner for a long time.
fn take_over(successor: &mut Harness, owner: &Harness) {
    successor.renews_by_tick = true;
    successor.starts_lost = true;
    successor.stops_lost = true;
    successor.now = owner.now + Duration::from_secs(4);
    successor.advance(Duration::from_millis(300));
    assert!(successor.node.is_owner());
}

/// Guards against a fleet without an owner: one whose term had expired said nothing
/// when it reached the table service again, so that the others waited until its
/// silence was long enough.
#[test]
fn an_owner_whose_term_expired_releases_ownership_when_the_store_is_back() {
    let mut owner = Harness::owning(0.25);
    owner.unreachable.insert("server".into());
    owner.store_down = true;
    owner.reads_down = true;
    owner.advance(Duration::from_secs(4));
    assert!(!owner.node.is_owner());

    owner.store_down = false;
    owner.reads_down = false;
    owner.advance(Duration::from_millis(500));

    assert!(owner.node.is_owner(), "{:?}", owner.notices);
}

/// A release that is rejected is repeated, but not at each answer of the table
/// service.
#[test]
fn a_release_that_fails_is_repeated_after_a_delay() {
    let mut owner = Harness::owning(0.25);
    owner.unreachable.insert("server".into());
    owner.store_down = true;
    owner.advance(Duration::from_secs(5));

    let released = |notice: &&Notice| matches!(notice, Notice::Released { .. });
    let releases = owner.notices.iter().filter(released).count();

    assert!((2..=15).contains(&releases), "{releases} in 2 s");
}

/// Guards against a fleet that stands idle for one backend server that has left: the
/// successor waited for leases that had ended before its claim, since it could not
/// know when the predecessor's term had ended.
#[test]
fn a_successor_of_a_released_term_does_not_wait_for_leases_that_have_ended() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_secs(10));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));

    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against a second run of a task beside one whose lease has not ended: what
/// the predecessor says at its release counts from then, and only the leases end.
#[test]
fn a_successor_of_a_released_term_waits_for_leases_that_have_not_ended() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_millis(3_500));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(1));
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(3));

    assert_eq!(while_leased, 0, "the lease may not have ended");
    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// What a released term said of its orders must not be taken for that of a later
/// term, whose owner failed without a release.
#[test]
fn the_last_orders_of_a_released_term_say_nothing_of_the_next_one() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_secs(10));
    let mut next = successor_of(&owner);
    next.listings = owner.listings.clone();
    take_over(&mut next, &owner);
    grant_for(&mut next, &["last"], Duration::from_secs(2));
    assert_eq!(next.starts.len(), 1, "{:?}", next.notices);
    let mut successor = successor_without_last("third", &next);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(3));

    assert_eq!(successor.starts, [] as [Attempt; 0]);
}

/// An owner that started the only task on the last of three backend servers while
/// the table service was away, and whose term has expired since.
fn owner_with_unrecorded_run_on_last(outage: Duration) -> Harness {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    owner.listings = ["one", "two", "last"].map(named_listing).into();
    owner.renews_by_tick = true;
    owner.starts_lost = true;
    owner.stops_lost = true;
    owner.advance(Duration::from_secs(1));
    owner.submit("0000000000000001");
    owner.advance(Duration::from_millis(100));
    owner.store_down = true;
    owner.advance(Duration::from_secs(4));
    owner.answer_policy(vec![("last".into(), "ticket".into())]);
    owner.advance(Duration::from_millis(100));
    assert_eq!(owner.starts.len(), 1, "{:?}", owner.notices);
    expire_term(&mut owner, outage);
    owner
}

/// Guards against a fleet that stands idle for one backend server that has left. What
/// it may have run unrecorded ended with its lease, before the claim.
#[test]
fn inherited_tasks_start_once_unrecorded_runs_have_lost_their_leases() {
    let owner = owner_with_unrecorded_run_on_last(Duration::from_secs(8));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));

    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against a second run of a task that the predecessor started unrecorded: a
/// release must not make the successor trust records that lack it.
#[test]
fn inherited_tasks_wait_for_the_leases_of_unrecorded_runs_after_a_release() {
    let owner = owner_with_unrecorded_run_on_last(Duration::from_secs(1));
    let mut successor = successor_without_last("follower", &owner);

    grant_for(&mut successor, &["one", "two"], Duration::from_secs(2));
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(5));

    assert_eq!(while_leased, 0, "the lease may not have ended");
    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Guards against a fleet that stands idle for one backend server that has left: a
/// task that has no room there can't run there. Only the others wait.
#[test]
fn only_inherited_tasks_with_room_on_an_unreached_server_wait() {
    let mut owner = Harness::new("owner", 0.25, Vec::new());
    let small = Listing {
        capacity: Resources::of(500, 65_536, 0, 0),
        ..named_listing("last")
    };
    owner.listings = vec![named_listing("one"), named_listing("two"), small];
    owner.renews_by_tick = true;
    owner.advance(Duration::from_secs(1));
    let mut light = graph();
    light.steps[0].each = Resources::of(100, 512, 0, 0);
    owner.submit("0000000000000001");
    owner.submit_graph("0000000000000002", light);
    owner.advance(Duration::from_millis(100));
    let mut successor = successor_without_last("follower", &owner);

    let early = successor.deny_queries();
    successor.advance(Duration::from_secs(8));
    let late = successor.deny_queries();

    assert_eq!(early, BTreeSet::from(["0000000000000001".into()]));
    assert!(late.contains("0000000000000002"), "{late:?}");
}

/// Guards against runs that are given up, and work that is done twice, because a
/// successor sweeps the backend servers before any of them could answer.
#[test]
fn servers_may_answer_before_the_runs_of_a_released_term_count_as_ended() {
    let mut owner = owner_with_run_on_last_of_three();
    expire_term(&mut owner, Duration::from_secs(10));
    let mut successor = successor_of(&owner);
    successor.listings = owner.listings.clone();

    take_over(&mut successor, &owner);

    let mut notices = successor.notices.iter();
    let given_up = notices.any(|notice| matches!(notice, Notice::ServerLost { .. }));
    assert!(!given_up, "{:?}", successor.notices);
}

/// The heartbeat is too old to say that everything was recorded, but the owner said
/// so when it released its term.
#[test]
fn a_successor_trusts_the_records_of_a_released_term_that_left_none_out() {
    let mut owner = owner_with_run_on_last_of_three();
    owner.submit("0000000000000002");
    owner.advance(Duration::from_millis(100));
    expire_term(&mut owner, Duration::from_millis(3_500));
    let mut successor = successor_without_last("follower", &owner);

    successor.advance(Duration::from_millis(500));

    let mut queries = successor.policy_calls.iter();
    assert!(queries.any(|(_, job)| job == "0000000000000002"));
}

/// Guards against a task that runs twice after a takeover. A predecessor that is cut off
/// together with a backend server renews its leases until its term ends, also once the
/// registry has dropped the server's entry.
#[test]
fn leases_on_a_server_that_left_the_registry_outlast_the_claim() {
    let owner = owner_with_run_on_last_of_three();
    let mut successor = successor_without_last("follower", &owner);
    successor.deliver(Event::ServerUnlisted("last".into()));
    let leases_end = owner.now + Duration::from_secs(8);

    let left = leases_end.saturating_sub(successor.now);
    grant_for(&mut successor, &["one", "two"], left);
    let while_leased = successor.starts.len();
    grant_for(&mut successor, &["one", "two"], Duration::from_secs(6));

    assert_eq!(while_leased, 0, "{:?}", successor.notices);
    assert!(
        !successor.starts.is_empty(),
        "started once all leases ended"
    );
}

/// Guards against a successor that starts nothing for the rest of its term. More than
/// half of the servers of the roster have left the registry, which was read before the
/// roster, so they will never answer.
#[test]
fn servers_that_left_do_not_count_against_the_end_of_a_predecessor() {
    let owner = owner_with_run_on_last_of_three();
    let mut successor = successor_of(&owner);
    successor.unreachable = ["two", "last"].map(Name::from).into();
    successor.listings = vec![named_listing("one")];
    take_over(&mut successor, &owner);

    grant_for(&mut successor, &["one"], Duration::from_secs(20));

    assert!(!successor.starts.is_empty(), "{:?}", successor.notices);
}

/// Keys of the rows that were logged as malformed, in ascending order.
fn malformed_keys(harness: &Harness) -> Vec<&str> {
    let notices = harness.notices.iter();
    let keys = notices.filter_map(|notice| match notice {
        Notice::RowMalformed { key } => Some(key.as_str()),
        _ => None,
    });
    let mut keys: Vec<&str> = keys.collect();
    keys.sort_unstable();
    keys
}

/// Number of jobs that a successor found in the rows.
fn recovered_jobs(harness: &Harness) -> Option<u32> {
    harness.notices.iter().find_map(|notice| match notice {
        Notice::Recovered { jobs, .. } => Some(*jobs),
        _ => None,
    })
}

/// One unreadable submission must neither end the recovery nor hide the jobs around
/// it, in the same partition or in others.
#[test]
fn a_malformed_job_row_is_logged_and_the_others_are_recovered() {
    let ids: Vec<String> = (0..8).map(|n| format!("{n:016x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    for malformed in [
        &b""[..],
        b"\xff",
        b"\xff\xff\xff\xff\xff\xff",
        b"{\"queue\":1}",
    ] {
        for bad in [ids[0], ids[3], ids[7]] {
            let mut successor = successor_of(&owner_of_jobs(&ids));
            let bad_key = format!("job/{bad}");
            successor.replace_job_row(&bad_key, malformed);

            successor.advance(Duration::from_secs(4));
            let asked = successor.deny_queries();

            assert!(successor.node.is_owner());
            assert_eq!(malformed_keys(&successor), [bad_key]);
            assert_eq!(recovered_jobs(&successor), Some(7));
            let good = ids.iter().filter(|id| **id != bad);
            let good: BTreeSet<JobId> = good.map(|id| JobId::from(*id)).collect();
            assert_eq!(asked, good, "without {bad}");
        }
    }
}

/// One unreadable state must neither end the recovery nor hide the states around it.
/// No build writes an empty one.
#[test]
fn a_malformed_state_row_is_logged_and_the_others_are_recovered() {
    let ids = ["0000000000000001", "0000000000000002", "0000000000000003"];
    for malformed in [&b""[..], b"\xff", b"\xff\xff\xff\xff\xff\xff"] {
        for bad in ids {
            let mut successor = successor_of(&owner_of_jobs(&ids));
            let bad_key = format!("state/{bad}");
            successor.replace_job_row(&bad_key, malformed);

            successor.advance(Duration::from_secs(4));
            let asked = successor.deny_queries();

            assert!(successor.node.is_owner());
            assert_eq!(malformed_keys(&successor), [bad_key]);
            for good in ids.into_iter().filter(|id| *id != bad) {
                assert!(asked.contains(good), "job {good} without {bad}");
            }
        }
    }
}

/// Rows with keys that no build writes must not end the recovery either.
#[test]
fn job_rows_with_unknown_keys_are_skipped() {
    let id = "0000000000000001";
    let mut successor = successor_of(&owner_of_jobs(&[id]));
    for key in ["job/", "job//cancel", "job/x/y/z", "state/", "state/x"] {
        for partition in [1, 2] {
            let row = row(key, b"\xff\xff\xff\xff\xff\xff");
            successor.job_rows.push((partition, row));
        }
    }

    successor.advance(Duration::from_secs(4));
    let asked = successor.deny_queries();

    assert!(successor.node.is_owner());
    assert_eq!(recovered_jobs(&successor), Some(1));
    assert_eq!(asked, BTreeSet::from([JobId::from(id)]));
}

/// An unreadable change must not end the following of the job table: the jobs after
/// it in the same answer are accepted as well.
#[test]
fn a_malformed_change_of_the_job_table_is_skipped() {
    let mut harness = Harness::owning(0.25);
    let good = "0000000000000002";
    harness
        .accepted
        .push(row("job/0000000000000001", b"\xff\xff"));
    harness.submit(good);

    harness.advance(Duration::from_millis(200));

    assert!(harness.node.is_owner());
    assert_eq!(malformed_keys(&harness), ["job/0000000000000001"]);
    assert!(harness.policy_calls.iter().any(|(_, job)| job == good));
}

/// The number of a partition beyond the range must not be limited to it, as the
/// settings are: the rows of jobs would be looked for in the wrong partitions.
#[test]
fn a_layout_row_out_of_range_keeps_the_cell_closed() {
    for text in [&b"0"[..], b"65", b"4294967296", b"-1", b"2.0", b"\xff\xfe"] {
        let layout = row("cell/layout", text);
        let mut harness = Harness::new("owner", 0.25, vec![layout]);

        harness.advance(Duration::from_secs(2));

        let reported = |notice: &Notice| matches!(notice, Notice::LayoutUnusable { .. });
        assert!(harness.notices.iter().any(reported), "{text:?}");
        assert!(!harness.node.is_ready(), "{text:?}");
        assert_eq!(harness.job_scans, [], "{text:?}");
    }
}

/// A caller may declare any run time. One beyond the range of the scheduler's clock
/// must not end the owner, and after it each VM that takes over and reads the job.
#[test]
fn extreme_run_times_do_not_end_the_owner() {
    let good = "0000000000000002";
    for seconds in [u64::MAX, u64::MAX / 2, u64::MAX / 3, 1 << 40] {
        let mut harness = Harness::owning(0.25);
        let step = Step {
            estimate: Duration::from_secs(seconds),
            image: Name::default(),
            ..graph().steps[0].clone()
        };
        let second = Step {
            depends_on: vec![0],
            ..step.clone()
        };
        let extreme = Graph {
            steps: vec![step, second],
            ..graph()
        };

        harness.submit_graph("0000000000000001", extreme);
        harness.submit(good);
        let asked = harness.deny_queries();

        assert!(harness.node.is_owner(), "{seconds} s");
        assert!(asked.contains(good), "{seconds} s");
    }
}

/// Times of a configuration beyond the range of the scheduler's clock must not end the
/// owner, nor each VM that takes over with the same configuration.
#[test]
fn extreme_times_in_a_configuration_do_not_end_the_owner() {
    for extreme in [Duration::MAX, Duration::MAX / 2, Duration::MAX / 3] {
        let mut queue = config().queues[0].clone();
        queue.latency_target = extreme;
        queue.slack_factor = 1e300;
        queue.admission = Some(AdmissionPolicy {
            base_latency: extreme,
            latency_per_server: extreme,
            ticket_validity: extreme,
        });
        let extremes = Config::new(2, vec![queue], config().services, config().teams);
        let mut harness = Harness::owning(0.25);

        harness.deliver(Event::Config {
            config: Box::new(extremes),
            requested_at: harness.now,
        });
        harness.submit("0000000000000001");
        harness.advance(Duration::from_secs(1));
        harness.answer_policy(vec![("server".into(), "ticket".into())]);
        harness.advance(Duration::from_secs(1));

        assert!(harness.node.is_owner(), "{extreme:?}");
        assert!(!harness.starts.is_empty(), "{extreme:?}");
    }
}

/// Seeds of the mutated rows. Each is shifted into the upper 32 bits of an `arbtest`
/// seed, whose lower 32 bits set the size of the input.
const SEEDS: std::ops::Range<u64> = 0..500;

/// Whatever bytes a row of a job has, reading it must neither end the owner nor keep
/// it from the other jobs. A mutated row may decode as another valid one.
#[test]
fn mutated_rows_of_a_job_do_not_end_the_recovery() {
    let (bad, good) = ("0000000000000001", "0000000000000002");
    let mut owner = owner_of_jobs(&[bad]);
    owner.starts_lost = true;
    owner.answer_policy(vec![("server".into(), "ticket".into())]);
    owner.advance(Duration::from_millis(100));
    assert!(!owner.starts.is_empty(), "a state row with a run");
    owner.submit(good);
    owner.advance(Duration::from_millis(100));
    let (malformed, decoded) = (Counter::new(0), Counter::new(0));
    for seed in SEEDS {
        arbtest(|u| {
            let mut successor = successor_of(&owner);
            let key = format!("{}/{bad}", u.choose(&["job", "state"])?);
            let mut rows = successor.job_rows.iter();
            let (_, row) = rows.find(|(_, row)| row.key == key).expect("stored row");
            let mut bytes = row.cell.value.to_vec();
            for _ in 0..u.int_in_range(1..=4)? {
                let at = u.choose_index(bytes.len())?;
                bytes[at] = u.arbitrary()?;
            }
            if u.ratio(1, 4)? {
                bytes.truncate(u.int_in_range(0..=bytes.len())?);
            }
            successor.replace_job_row(&key, bytes);

            successor.advance(Duration::from_secs(4));
            let asked = successor.deny_queries();

            let outcome = match malformed_keys(&successor).is_empty() {
                true => &decoded,
                false => &malformed,
            };
            outcome.set(outcome.get() + 1);
            assert!(successor.node.is_owner());
            assert!(asked.contains(good));
            Ok(())
        })
        .seed(seed << 32 | 0x80);
    }
    assert!(malformed.get() > 0 && decoded.get() > 0, "both outcomes");
}
