//! One entry VM that owns, against scripted answers.

use std::time::Duration;

use model::{Cell, Graph, Name, Resources, Row, Step, key};
use sched::{
    Admission, Advice, Ask, CallId, Config, Effect, Event, Failure, Feed, Listing, Lists, Node,
    Notice, Offer, Order, Outcome, Question, Queue, Response, Service, Settings, Stored, Table,
    Team, Time, Timing,
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);

fn settings(name: &str, strength: f64) -> Settings {
    Settings {
        name: name.into(),
        // Any number that differs between the names used.
        process: name.len() as u64,
        address: name.into(),
        strength,
        remote_factor: 2.0,
        timing: Timing::default(),
    }
}

/// One queue whose steps the outside policy has to allow, with jobs that are
/// worth nothing 3 s after they came.
fn config() -> Config {
    let queue = Queue {
        name: "queue".into(),
        host: "host".into(),
        prefix: "/queue/".into(),
        service: "service".into(),
        open: false,
        priority: 1,
        max_attempts: 3,
        slack: 1.0,
        latency_target: Duration::from_millis(900),
        admission: Some(Admission {
            fixed: Duration::from_millis(50),
            per_server: Duration::from_millis(1),
            valid: Duration::from_secs(2),
        }),
    };
    let team = Team {
        name: "team".into(),
        keys: vec![key::hash("key")],
        share: 1,
        limit: Resources::ZERO,
    };
    let service = Service {
        name: "service".into(),
        standby: false,
    };
    Config::new(1, vec![queue], vec![service], vec![team])
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

/// The VM, the time, and what it did that the script does not answer.
struct Script {
    node: Node,
    now: Duration,
    version: u64,
    /// Calls to the outside policy, with the job asked about.
    asked: Vec<(CallId, model::JobId)>,
    notices: Vec<Notice>,
    /// Rows of accepted jobs that the owner has not been told of.
    accepted: Vec<Row>,
    /// Calls that wait for changes of the job table and of the cell table.
    follow: Option<CallId>,
    cell: Option<CallId>,
    /// Rows of the cell table.
    cell_rows: Vec<Row>,
    /// The table service does nothing.
    store_down: bool,
    /// Time that the table service takes for a write; shorter waits are over
    /// before the answer.
    store_takes: Duration,
    /// Writes of the owner's job states that were applied.
    states_written: u32,
}

impl Script {
    /// A VM that owns and holds one backend server.
    fn owning(strength: f64) -> Self {
        let mut script = Self::new("owner", strength, Vec::new());
        script.pass(Duration::from_secs(1));
        assert!(script.node.is_owner());
        script
    }

    /// A VM that sees another one own, which falls silent.
    fn following() -> Self {
        let owner = Self::owning(0.25);
        Self::new("follower", 0.25, owner.cell_rows)
    }

    fn new(name: &str, strength: f64, cell_rows: Vec<Row>) -> Self {
        let now = Duration::from_secs(100);
        let time = Time { now, unix: now };
        let mut script = Self {
            node: Node::new(settings(name, strength), 1, time),
            now,
            version: 1,
            asked: Vec::new(),
            notices: Vec::new(),
            accepted: Vec::new(),
            follow: None,
            cell: None,
            cell_rows: Vec::new(),
            store_down: false,
            store_takes: Duration::ZERO,
            states_written: 0,
        };
        script.cell_rows = cell_rows;
        let config = Box::new(config());
        script.give(Event::Config { config, asked: now });
        script
    }

    fn give(&mut self, event: Event) {
        let time = Time {
            now: self.now,
            unix: self.now,
        };
        self.node.step(event, time);
        let mut effects = Vec::new();
        self.node.settle(&mut effects);
        for effect in effects {
            self.answer(effect);
        }
    }

    /// Lets time go by.
    fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.give(Event::ConfigCurrent { asked: self.now });
            self.give(Event::Tick);
            self.tell_accepted();
            self.tell_cell();
        }
    }

    fn tell_cell(&mut self) {
        if let Some(call) = self.cell.take() {
            let result = Ok(Feed {
                version: self.version,
                rows: Vec::new(),
                sent: self.now,
            });
            self.give(Event::Followed { call, result });
        }
    }

    fn tell_accepted(&mut self) {
        if let Some(call) = self.follow.take_if(|_| !self.accepted.is_empty()) {
            let result = Ok(Feed {
                version: self.version,
                rows: std::mem::take(&mut self.accepted),
                sent: self.now,
            });
            self.give(Event::Followed { call, result });
        }
    }

    fn answer(&mut self, effect: Effect) {
        match effect {
            Effect::Commit { call, .. } if self.store_down => {
                let result = Err(Failure::Unavailable);
                self.give(Event::Stored { call, result });
            }
            Effect::Commit {
                call,
                limit: Some(limit),
                ..
            } if limit < self.store_takes => {
                self.now += limit;
                let result = Err(Failure::Unknown);
                self.give(Event::Stored { call, result });
            }
            Effect::Commit {
                call, transaction, ..
            } => {
                let has = |table: &str| {
                    let mut writes = transaction.writes.iter();
                    writes.any(|write| write.key.starts_with(table))
                };
                // An acceptance writes both.
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
                    self.keep(row);
                }
                let result = Ok(Stored::Applied {
                    version: self.version,
                    clock: self.now,
                });
                self.give(Event::Stored { call, result });
            }
            Effect::Scan { call, table, .. } => {
                let rows = match table {
                    Table::Cell => self.cell_rows.clone(),
                    _ => Vec::new(),
                };
                let result = Ok(Stored::Rows {
                    rows,
                    more: false,
                    version: self.version,
                    clock: self.now,
                });
                self.give(Event::Stored { call, result });
            }
            // Both are answered with the next tick.
            Effect::Follow { call, table, .. } => match table {
                Table::Job => self.follow = Some(call),
                _ => self.cell = Some(call),
            },
            Effect::WatchServers(true) => self.give(Event::Servers(vec![listing()])),
            Effect::Order { call, order, .. } if matches!(*order, Order::Hold { .. }) => {
                let lists = Lists {
                    clock: self.now.as_millis() as u64,
                    incarnation: Some(1),
                    ..Lists::default()
                };
                self.now += TICK;
                let result = Ok(Outcome::Lists(Box::new(lists)));
                self.give(Event::Answered { call, result });
            }
            Effect::Advise { call, errand } => self.asked.push((call, errand.step.0)),
            Effect::Log(notice) => self.notices.push(notice),
            _ => {}
        }
    }

    fn keep(&mut self, row: Row) {
        if row.key.starts_with("job/") {
            self.accepted.push(row);
        } else if row.key.starts_with("cell/") {
            self.cell_rows.retain(|known| known.key != row.key);
            self.cell_rows.push(row);
        }
    }

    fn claims(&self) -> bool {
        let mut notices = self.notices.iter();
        notices.any(|notice| matches!(notice, Notice::Claiming { .. }))
    }

    fn hand_in(&mut self, id: &str) {
        let ask = Ask {
            host: "host".into(),
            path: format!("/queue/{id}").into(),
            key: Some(key::hash("key")),
            question: Question::Submit(Box::new(graph())),
        };
        self.give(Event::Ask { caller: 1, ask });
    }

    /// The outside policy answers the last question.
    fn answer_policy(&mut self, granted: Vec<(Name, Name)>) {
        if let Some(&(call, _)) = self.asked.last() {
            let result = Ok(Advice { granted });
            self.give(Event::Advised { call, result });
        }
    }

    fn offer(&mut self, strength: f64) {
        let offer = Offer {
            helper: "other".into(),
            strength,
            result: None,
        };
        self.give(Event::Offer { caller: 2, offer });
    }

    fn released(&self) -> bool {
        let mut notices = self.notices.iter();
        notices.any(|notice| matches!(notice, Notice::Released { .. }))
    }
}

/// The policy is slow and work has piled up: a pass asks about the work that
/// can still be in time, not about what came first.
#[test]
fn the_policy_is_asked_in_the_order_in_which_work_is_served() {
    let mut script = Script::owning(0.25);
    for id in ["0000000000000001", "0000000000000002", "0000000000000003"] {
        script.hand_in(id);
    }
    script.pass(Duration::from_secs(4));
    script.hand_in("0000000000000004");
    script.pass(Duration::from_millis(100));
    let before = script.asked.len();

    for _ in 0..2 {
        script.answer_policy(Vec::new());
        script.pass(Duration::from_millis(100));
    }

    let asked: Vec<&str> = script.asked[before..]
        .iter()
        .map(|a| a.1.as_str())
        .collect();
    assert!(asked.contains(&"0000000000000004"), "asked about {asked:?}");
}

#[test]
fn a_weak_owner_hands_over_to_a_strong_vm() {
    let mut script = Script::owning(0.12);
    script.pass(Duration::from_secs(4));

    script.offer(0.5);
    script.pass(Duration::from_millis(100));

    assert!(script.released());
}

#[test]
fn an_owner_stays_when_nobody_stronger_could_own() {
    let mut script = Script::owning(0.25);
    script.pass(Duration::from_secs(4));

    script.offer(0.3);
    script.offer(0.0);
    script.pass(Duration::from_millis(100));

    assert!(!script.released());
}

/// Nobody can take over while the table service is away, so a stopping owner
/// goes on, and hands over once it is back.
#[test]
fn a_stopping_owner_goes_on_while_the_table_service_is_away() {
    let mut script = Script::owning(0.25);
    script.store_down = true;
    script.pass(Duration::from_secs(1));
    script.give(Event::Shutdown);

    script.pass(Duration::from_secs(1));
    let released_early = script.released();
    script.store_down = false;
    script.pass(Duration::from_millis(500));

    assert!(!released_early);
    assert!(script.released());
}

/// The table service turns fifty times as slow: group commits are waited for
/// longer, so that what was decided still gets recorded.
#[test]
fn a_slow_table_service_is_waited_for() {
    let mut script = Script::owning(0.25);
    script.hand_in("0000000000000001");
    script.pass(Duration::from_millis(200));
    script.store_takes = Duration::from_millis(600);

    script.answer_policy(vec![("server".into(), "ticket".into())]);
    script.pass(Duration::from_secs(3));

    assert!(script.states_written > 0);
}

/// The owner is cut off without a word: an offer to it that is not answered
/// makes its helpers claim sooner.
#[test]
fn an_offer_without_an_answer_brings_the_claim_forward() {
    let mut waiting = Script::following();
    let mut hinted = Script::following();
    for script in [&mut waiting, &mut hinted] {
        script.pass(Duration::from_millis(500));
    }

    hinted.give(Event::Helped(Response::Lost));
    for script in [&mut waiting, &mut hinted] {
        script.pass(Duration::from_millis(600));
    }

    assert!(hinted.claims());
    assert!(!waiting.claims());
}
