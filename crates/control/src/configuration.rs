//! The configuration in force, its freshness, and changes by operators.
//!
//! A key is accepted only while the configuration is known to have been the
//! latest within the last `key_fresh`. That knowledge comes from a store read,
//! from a peer that has it, or from hearing every entry VM that could have
//! committed a change.
//!
//! Invariant: the version in force never decreases.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use model::{
    Cell, Change, Condition, Config, Conflict, Fault, Hash, Name, Queue, Reason, Refusal,
    Transaction, Write,
};
use wire::Frame;

use crate::event::{CallerId, Reply};
use crate::node::Node;
use crate::notice::Notice;
use crate::store::{Answered, Purpose, first_row, read_row, version_of};

/// Time allowed for a change to be committed.
const COMMIT_TIME: Duration = Duration::from_secs(5);
/// Time for which a committed change waits for confirmations of peers.
const CONFIRM_TIME: Duration = Duration::from_millis(1_500);
/// Most changes that wait at one node.
const MAX_CHANGES: usize = 64;
/// Key of the configuration row.
const ROW: &str = "config";

/// Where the change at the head of the queue stands.
#[derive(Debug, PartialEq)]
enum Stage {
    Waiting,
    Writing(Box<Config>),
    Reading(Box<Config>),
    Confirming(u64, Duration),
}

/// One change on its way.
#[derive(Debug)]
struct Changing {
    caller: CallerId,
    change: Change,
    expect: Option<u64>,
    id: Name,
    deadline: Duration,
    stage: Stage,
}

/// Configuration state of a node.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    pub(crate) config: Config,
    /// Version of the row that `config` was read from or written as.
    pub(crate) row: u64,
    fresh_at: Option<Duration>,
    changes: VecDeque<Changing>,
    verifiable: bool,
    creating: bool,
}

impl Configuration {
    /// Records that the configuration was the latest at `at`.
    pub(crate) fn note_fresh(&mut self, at: Option<Duration>) {
        self.fresh_at = self.fresh_at.max(at);
    }
}

impl Node {
    /// Latest own time at which the configuration was known to be the latest.
    pub(crate) fn config_fresh_at(&self) -> Option<Duration> {
        let version = self.configuration.config.version;
        let by_peers = self.members.all_confirmed(version).filter(|_| version > 0);
        self.configuration.fresh_at.max(by_peers)
    }

    /// True when keys can be verified now.
    pub(crate) fn keys_verifiable(&self) -> bool {
        let bound = self.settings.timing.key_fresh;
        self.config_fresh_at()
            .is_some_and(|at| at + bound >= self.now)
    }

    pub(crate) fn watch_keys(&mut self) {
        let verifiable = self.keys_verifiable();
        if verifiable != self.configuration.verifiable {
            self.configuration.verifiable = verifiable;
            self.log(match verifiable {
                true => Notice::KeysVerifiable,
                false => Notice::KeysUnverifiable,
            });
        }
    }

    /// The queue and the paying team for a key, or why there is none.
    pub(crate) fn authorize(
        &self,
        queue: &Name,
        key: Option<&Hash>,
    ) -> Result<(Queue, Name), Refusal> {
        let config = &self.configuration.config;
        if self.refuses_work() {
            let wait = Duration::from_secs(1);
            return Err(Refusal::after(Reason::ShuttingDown, wait));
        }
        let stale = Refusal::after(Reason::StaleConfig, Duration::from_secs(2));
        let entry = match config.queues.get(queue) {
            Some(entry) => entry.clone(),
            None if self.keys_verifiable() => return Err(Refusal::fixed(Reason::NoQueue)),
            None => return Err(stale),
        };
        let team = match (&entry.open_team, key) {
            (Some(open), None) => open.clone(),
            (Some(open), Some(hash)) => config.team_of(hash).unwrap_or(open).clone(),
            (None, _) => self.team_for(key)?,
        };
        Ok((entry, team))
    }

    /// The team that holds a key now.
    pub(crate) fn team_for(&self, key: Option<&Hash>) -> Result<Name, Refusal> {
        let hash = key.ok_or(Refusal::fixed(Reason::BadKey))?;
        if !self.keys_verifiable() {
            let wait = Duration::from_secs(2);
            return Err(Refusal::after(Reason::StaleConfig, wait));
        }
        let team = self.configuration.config.team_of(hash);
        team.cloned().ok_or(Refusal::fixed(Reason::BadKey))
    }

    /// Puts a newer configuration in force.
    pub(crate) fn install(&mut self, config: Config) {
        if config.version <= self.configuration.config.version {
            return;
        }
        if config.verify().is_err() {
            self.log(Notice::ConfigMalformed(config.version));
            return;
        }
        self.log(Notice::ConfigInForce(config.version));
        self.configuration.config = config;
        self.apply_config();
        // Tells the peers at once, so that the change is soon confirmed.
        self.members.beat_now();
    }

    pub(crate) fn config_polled(&mut self, cell: Option<Cell>, sent: Duration) {
        match cell {
            None => self.configuration.note_fresh(Some(sent)),
            Some(cell) if cell.version == 0 => self.create_config(),
            Some(cell) if cell.version > self.configuration.row => {
                self.config_read(&cell);
                if self.configuration.row == cell.version {
                    self.configuration.note_fresh(Some(sent));
                }
            }
            Some(_) => {}
        }
    }

    /// Puts a row in force; a malformed one leaves everything as it is.
    fn config_read(&mut self, cell: &Cell) {
        let parsed = serde_json::from_slice::<Config>(&cell.value);
        match parsed {
            Ok(config) if config.verify().is_ok() => {
                self.configuration.row = cell.version;
                self.install(config);
            }
            _ => self.log(Notice::ConfigMalformed(cell.version)),
        }
    }

    fn create_config(&mut self) {
        let Some(mut initial) = self.settings.initial.clone() else {
            return;
        };
        if self.configuration.creating {
            return;
        }
        self.configuration.creating = true;
        initial.version = initial.version.max(1);
        let transaction = config_transaction(&initial, 0);
        let deadline = self.now + COMMIT_TIME;
        self.store.write(transaction, Purpose::Change, deadline);
    }

    pub(crate) fn ask_change(&mut self, caller: CallerId, change: Change, expect: Option<u64>) {
        if self.configuration.changes.len() >= MAX_CHANGES {
            let refusal = Refusal::after(Reason::Overloaded, Duration::from_secs(5));
            return self.reply(caller, Reply::Refused(refusal));
        }
        if self.store.is_down() {
            let refusal = Refusal::after(Reason::StoreDown, Duration::from_secs(5));
            return self.reply(caller, Reply::Refused(refusal));
        }
        let id = format_compact!("{}-{:016x}", self.settings.identity.name, self.rng.u64(..));
        self.configuration.changes.push_back(Changing {
            caller,
            change,
            expect,
            id,
            deadline: self.now + COMMIT_TIME,
            stage: Stage::Waiting,
        });
        self.write_change();
    }

    /// Writes the first waiting change on top of the version in force.
    fn write_change(&mut self) {
        if self.store.has(&Purpose::Change) || self.store.has(&Purpose::ChangeCheck) {
            return;
        }
        let config = &self.configuration.config;
        let Some(at) = self
            .configuration
            .changes
            .iter()
            .position(|c| c.stage == Stage::Waiting)
        else {
            return;
        };
        let changing = &mut self.configuration.changes[at];
        let raced = changing.expect.filter(|v| *v != config.version);
        let next = match raced {
            Some(_) => Err(Conflict::Raced(config.version)),
            None => config.with(&changing.change, changing.id.clone()),
        };
        match next {
            Ok(next) => {
                let transaction = config_transaction(&next, self.configuration.row);
                let deadline = changing.deadline;
                changing.stage = Stage::Writing(Box::new(next));
                self.store.write(transaction, Purpose::Change, deadline);
            }
            Err(conflict) => self.finish_change(at, Reply::Conflict(conflict)),
        }
    }

    fn finish_change(&mut self, at: usize, reply: Reply) {
        if let Some(changing) = self.configuration.changes.remove(at) {
            self.reply(changing.caller, reply);
        }
    }

    fn writing(&self) -> Option<usize> {
        let busy = |c: &Changing| matches!(c.stage, Stage::Writing(_) | Stage::Reading(_));
        self.configuration.changes.iter().position(busy)
    }

    pub(crate) fn change_written(&mut self, result: Result<Answered, Fault>) {
        if std::mem::take(&mut self.configuration.creating) {
            return self.poll();
        }
        let Some(at) = self.writing() else {
            return;
        };
        match result {
            Ok(answered) => self.change_committed(at, version_of(&answered)),
            Err(Fault::Unavailable) => {
                let refusal = Refusal::after(Reason::StoreDown, Duration::from_secs(5));
                self.finish_change(at, Reply::Refused(refusal));
            }
            Err(Fault::Condition(_) | Fault::Unknown) => self.check_change(at),
        }
    }

    fn change_committed(&mut self, at: usize, row: u64) {
        let changing = &mut self.configuration.changes[at];
        let stage = std::mem::replace(&mut changing.stage, Stage::Waiting);
        let (Stage::Writing(next) | Stage::Reading(next)) = stage else {
            return;
        };
        changing.stage = Stage::Confirming(next.version, self.now + CONFIRM_TIME);
        self.configuration.row = self.configuration.row.max(row);
        self.install((*next).clone());
        let names = self.members.list.iter().filter(|m| m.alive);
        let names: Vec<Name> = names.map(|m| m.identity.name.clone()).collect();
        for name in names {
            self.send(&name, Frame::Config(next.clone()));
        }
        self.write_change();
    }

    /// Reads the row to learn whether an unknown change took effect.
    fn check_change(&mut self, at: usize) {
        let changing = &mut self.configuration.changes[at];
        let stage = std::mem::replace(&mut changing.stage, Stage::Waiting);
        changing.stage = match stage {
            Stage::Writing(next) | Stage::Reading(next) => Stage::Reading(next),
            other => other,
        };
        let read = read_row(Name::from(ROW));
        let effect = self.store.read(read, Purpose::ChangeCheck, self.now);
        self.out.push(effect);
    }

    pub(crate) fn change_read(&mut self, result: Result<Answered, Fault>) {
        let Some(at) = self.writing() else {
            return;
        };
        let Some(cell) = first_row(result) else {
            return; // `tick_changes` reads again until the deadline.
        };
        if cell.version > self.configuration.row {
            self.config_read(&cell);
        }
        let id = &self.configuration.changes[at].id;
        if self.configuration.config.history.contains(id) {
            return self.change_committed(at, cell.version);
        }
        // Not there: written again on top of what is in force. An earlier
        // write that is still under way fails on its row version.
        self.configuration.changes[at].stage = Stage::Waiting;
        self.write_change();
    }

    /// Times changes out and completes those that peers have confirmed.
    pub(crate) fn tick_changes(&mut self) {
        let reading = |c: &Changing| matches!(c.stage, Stage::Reading(_));
        let stuck = self.configuration.changes.iter().position(reading);
        if let Some(at) = stuck.filter(|_| !self.store.has(&Purpose::ChangeCheck)) {
            self.check_change(at);
        }
        for at in (0..self.configuration.changes.len()).rev() {
            let changing = &self.configuration.changes[at];
            match &changing.stage {
                Stage::Confirming(version, until) => {
                    let (version, until) = (*version, *until);
                    let alive = self.members.list.iter().filter(|m| m.alive);
                    let all = alive.clone().all(|m| m.config >= version);
                    if all || until <= self.now {
                        let confirmed = alive.filter(|m| m.config >= version).count() as u32;
                        let reply = Reply::Changed {
                            version,
                            confirmed: confirmed + 1,
                            of: self.members.list.len() as u32 + 1,
                        };
                        self.finish_change(at, reply);
                    }
                }
                Stage::Waiting if changing.deadline <= self.now => {
                    let refusal = Refusal::after(Reason::StoreDown, Duration::from_secs(5));
                    self.finish_change(at, Reply::Refused(refusal));
                }
                _ if changing.deadline <= self.now => self.finish_change(at, Reply::Unknown),
                _ => {}
            }
        }
        self.write_change();
    }
}

fn config_transaction(config: &Config, row: u64) -> Transaction {
    // Serializing plain data to memory has no failing case.
    let value = serde_json::to_vec(config).unwrap_or_default();
    Transaction {
        conditions: vec![Condition {
            key: ROW.into(),
            version: row,
        }],
        writes: vec![Write {
            key: ROW.into(),
            value: Some(Bytes::from(value)),
        }],
    }
}
