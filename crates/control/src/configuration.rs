//! Active configuration, its freshness, and changes made by operators.
//!
//! A key is accepted only if the configuration was known to be the latest at
//! some time within the last `key_fresh`. A store read establishes this, as do
//! a heartbeat from a peer that knows it, and heartbeats from every entry VM
//! that could have committed a change.
//!
//! Invariant: the active version never decreases.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::format_compact;
use model::{
    Cell, Change, Condition, Config, ConfigError, Hash, Name, Queue, Reason, Refusal, TableError,
    Transaction, Write,
};
use wire::Frame;

use crate::evacuation::config_row;
use crate::event::{CallerId, Reply};
use crate::node::Node;
use crate::notice::Notice;
use crate::store::{Purpose, TableResponse, committed_version, first_row, read_row};

/// Deadline for committing a change.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to wait for peers to confirm a committed change.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of pending changes per node.
const MAX_PENDING_CHANGES: usize = 64;
/// Key of the configuration row.
const CONFIG_KEY: &str = "config";

/// Progress of a pending change: waiting to be written, being written, being read
/// back after an unknown outcome, or committed and being confirmed by the peers.
#[derive(Debug, PartialEq)]
enum ChangeStage {
    Waiting,
    Writing(Box<Config>),
    Reading(Box<Config>),
    Confirming(u64, Duration),
}

/// Configuration change that has not been answered yet.
#[derive(Debug)]
struct PendingChange {
    caller: CallerId,
    change: Change,
    expected_version: Option<u64>,
    id: Name,
    deadline: Duration,
    stage: ChangeStage,
}

/// Configuration state of a node.
#[derive(Debug, Default)]
pub(crate) struct Configuration {
    pub(crate) config: Config,
    /// Version of the row that `config` was read from or written to.
    pub(crate) row_version: u64,
    fresh_at: Option<Duration>,
    changes: VecDeque<PendingChange>,
    verifiable: bool,
    creating_initial: bool,
}

impl Configuration {
    /// Records that the configuration was the latest at `at`.
    pub(crate) fn record_fresh_at(&mut self, at: Option<Duration>) {
        self.fresh_at = self.fresh_at.max(at);
    }
}

impl Node {
    /// Returns the last time, on the local clock, at which the active
    /// configuration was known to be the latest.
    pub(crate) fn config_fresh_at(&self) -> Option<Duration> {
        let version = self.configuration.config.version;
        let by_peers = self
            .members
            .config_confirmed_at(version)
            .filter(|_| version > 0);
        self.configuration.fresh_at.max(by_peers)
    }

    /// Returns whether the configuration is fresh enough to verify keys.
    pub(crate) fn keys_verifiable(&self) -> bool {
        let bound = self.settings.timing.key_fresh;
        self.config_fresh_at()
            .is_some_and(|at| at + bound >= self.now)
    }

    pub(crate) fn update_keys_verifiable(&mut self) {
        let verifiable = self.keys_verifiable();
        if verifiable != self.configuration.verifiable {
            self.configuration.verifiable = verifiable;
            self.log(match verifiable {
                true => Notice::KeysVerifiable,
                false => Notice::KeysUnverifiable,
            });
        }
    }

    /// Returns the queue and the team to charge for a request with this key.
    pub(crate) fn authorize(
        &self,
        queue: &Name,
        key: Option<&Hash>,
    ) -> Result<(Queue, Name), Refusal> {
        let config = &self.configuration.config;
        if self.refuses_work() {
            let wait = Duration::from_secs(1);
            return Err(Refusal::temporary(Reason::ShuttingDown, wait));
        }
        let stale = Refusal::temporary(Reason::StaleConfig, Duration::from_secs(2));
        let queue_config = match config.queues.get(queue) {
            Some(queue_config) => queue_config.clone(),
            None if self.keys_verifiable() => return Err(Refusal::permanent(Reason::NoQueue)),
            None => return Err(stale),
        };
        let team = match (&queue_config.open_team, key) {
            (Some(open), None) => open.clone(),
            (Some(open), Some(hash)) => config.team_by_key(hash).unwrap_or(open).clone(),
            (None, _) => self.team_of_key(key)?,
        };
        Ok((queue_config, team))
    }

    /// Returns the team that the key belongs to.
    pub(crate) fn team_of_key(&self, key: Option<&Hash>) -> Result<Name, Refusal> {
        let hash = key.ok_or(Refusal::permanent(Reason::BadKey))?;
        if !self.keys_verifiable() {
            let wait = Duration::from_secs(2);
            return Err(Refusal::temporary(Reason::StaleConfig, wait));
        }
        let team = self.configuration.config.team_by_key(hash);
        team.cloned().ok_or(Refusal::permanent(Reason::BadKey))
    }

    /// Activates a configuration if it is valid and newer than the active one.
    pub(crate) fn install_config(&mut self, config: Config) {
        if config.version <= self.configuration.config.version {
            return;
        }
        if config.verify().is_err() {
            self.log(Notice::ConfigMalformed(config.version));
            return;
        }
        self.log(Notice::ConfigActivated(config.version));
        self.configuration.config = config;
        self.apply_config();
        self.update_starts();
        // Sends heartbeats at once, so that peers confirm the change quickly.
        self.members.request_heartbeats();
    }

    pub(crate) fn config_polled(&mut self, cell: Option<Cell>, sent_at: Duration) {
        match cell {
            None => self.configuration.record_fresh_at(Some(sent_at)),
            Some(cell) if cell.version == 0 => self.create_config(),
            Some(cell) if cell.version > self.configuration.row_version => {
                self.apply_config_row(&cell);
                if self.configuration.row_version == cell.version {
                    self.configuration.record_fresh_at(Some(sent_at));
                }
            }
            Some(_) => {}
        }
    }

    /// Activates the configuration in a row; ignores a malformed row.
    fn apply_config_row(&mut self, cell: &Cell) {
        let parsed = serde_json::from_slice::<Config>(&cell.value);
        match parsed {
            Ok(config) if config.verify().is_ok() => {
                self.configuration.row_version = cell.version;
                self.install_config(config);
            }
            _ => self.log(Notice::ConfigMalformed(cell.version)),
        }
    }

    fn create_config(&mut self) {
        let Some(mut initial) = self.settings.initial.clone() else {
            return;
        };
        if self.configuration.creating_initial {
            return;
        }
        self.configuration.creating_initial = true;
        initial.version = initial.version.max(1);
        let transaction = config_transaction(&initial, 0);
        let deadline = self.now + COMMIT_TIMEOUT;
        self.store.write(transaction, Purpose::Change, deadline);
    }

    pub(crate) fn submit_change(
        &mut self,
        caller: CallerId,
        change: Change,
        expected_version: Option<u64>,
    ) {
        if self.configuration.changes.len() >= MAX_PENDING_CHANGES {
            let refusal = Refusal::temporary(Reason::Overloaded, Duration::from_secs(5));
            return self.reply(caller, Reply::Refused(refusal));
        }
        if self.store.is_down() {
            let refusal = Refusal::temporary(Reason::StoreDown, Duration::from_secs(5));
            return self.reply(caller, Reply::Refused(refusal));
        }
        let id = format_compact!("{}-{:016x}", self.settings.identity.name, self.rng.u64(..));
        self.configuration.changes.push_back(PendingChange {
            caller,
            change,
            expected_version,
            id,
            deadline: self.now + COMMIT_TIMEOUT,
            stage: ChangeStage::Waiting,
        });
        self.write_change();
    }

    /// Applies the first waiting change to the active configuration and writes
    /// the result.
    fn write_change(&mut self) {
        if self.store.is_pending(&Purpose::Change) || self.store.is_pending(&Purpose::ChangeCheck) {
            return;
        }
        let config = &self.configuration.config;
        let Some(index) = self
            .configuration
            .changes
            .iter()
            .position(|c| c.stage == ChangeStage::Waiting)
        else {
            return;
        };
        let checked = self.check_data_centre(&self.configuration.changes[index].change);
        let pending = &mut self.configuration.changes[index];
        let mismatched = pending.expected_version.filter(|v| *v != config.version);
        let next = match mismatched {
            Some(_) => Err(ConfigError::Raced(config.version)),
            None => checked.and_then(|()| config.with_change(&pending.change, pending.id.clone())),
        };
        match next {
            Ok(next) => {
                let transaction = config_transaction(&next, self.configuration.row_version);
                let deadline = pending.deadline;
                pending.stage = ChangeStage::Writing(Box::new(next));
                self.store.write(transaction, Purpose::Change, deadline);
            }
            Err(conflict) => self.finish_change(index, Reply::Conflict(conflict)),
        }
    }

    fn finish_change(&mut self, index: usize, reply: Reply) {
        if let Some(pending) = self.configuration.changes.remove(index) {
            self.reply(pending.caller, reply);
        }
    }

    fn uncommitted_change(&self) -> Option<usize> {
        let uncommitted = |c: &PendingChange| {
            matches!(c.stage, ChangeStage::Writing(_) | ChangeStage::Reading(_))
        };
        self.configuration.changes.iter().position(uncommitted)
    }

    pub(crate) fn change_written(&mut self, result: Result<TableResponse, TableError>) {
        if std::mem::take(&mut self.configuration.creating_initial) {
            return self.poll();
        }
        let Some(index) = self.uncommitted_change() else {
            return;
        };
        match result {
            Ok(response) => self.change_committed(index, committed_version(&response)),
            Err(TableError::Unavailable) => {
                let refusal = Refusal::temporary(Reason::StoreDown, Duration::from_secs(5));
                self.finish_change(index, Reply::Refused(refusal));
            }
            Err(TableError::Condition(_) | TableError::Unknown) => self.read_back_change(index),
        }
    }

    fn change_committed(&mut self, index: usize, row_version: u64) {
        let pending = &mut self.configuration.changes[index];
        let stage = std::mem::replace(&mut pending.stage, ChangeStage::Waiting);
        let (ChangeStage::Writing(next) | ChangeStage::Reading(next)) = stage else {
            return;
        };
        pending.stage = ChangeStage::Confirming(next.version, self.now + CONFIRM_TIMEOUT);
        self.configuration.row_version = self.configuration.row_version.max(row_version);
        self.install_config((*next).clone());
        let names = self.members.list.iter().filter(|m| m.alive);
        let names: Vec<Name> = names.map(|m| m.identity.name.clone()).collect();
        for name in names {
            self.send(&name, Frame::Config(next.clone()));
        }
        self.write_change();
    }

    /// Reads the row back to find out whether a change with an unknown outcome
    /// took effect.
    fn read_back_change(&mut self, index: usize) {
        let pending = &mut self.configuration.changes[index];
        let stage = std::mem::replace(&mut pending.stage, ChangeStage::Waiting);
        pending.stage = match stage {
            ChangeStage::Writing(next) | ChangeStage::Reading(next) => ChangeStage::Reading(next),
            other => other,
        };
        let read = read_row(Name::from(CONFIG_KEY));
        let effect = self.store.read(read, Purpose::ChangeCheck, self.now);
        self.effects.push(effect);
    }

    pub(crate) fn change_read(&mut self, result: Result<TableResponse, TableError>) {
        let Some(index) = self.uncommitted_change() else {
            return;
        };
        let Some(cell) = first_row(result) else {
            return; // `tick_changes` retries the read until the deadline.
        };
        if cell.version > self.configuration.row_version {
            self.apply_config_row(&cell);
        }
        let id = &self.configuration.changes[index].id;
        if self.configuration.config.history.contains(id) {
            return self.change_committed(index, cell.version);
        }
        // The change was not applied, so it is written again on top of the
        // active configuration. An earlier write that is still in flight fails
        // its version check.
        self.configuration.changes[index].stage = ChangeStage::Waiting;
        self.write_change();
    }

    /// Expires overdue changes, and answers committed ones once all live peers
    /// have confirmed them or `CONFIRM_TIMEOUT` has passed.
    pub(crate) fn tick_changes(&mut self) {
        let reading = |c: &PendingChange| matches!(c.stage, ChangeStage::Reading(_));
        let stuck = self.configuration.changes.iter().position(reading);
        if let Some(index) = stuck.filter(|_| !self.store.is_pending(&Purpose::ChangeCheck)) {
            self.read_back_change(index);
        }
        for index in (0..self.configuration.changes.len()).rev() {
            let pending = &self.configuration.changes[index];
            match &pending.stage {
                ChangeStage::Confirming(version, until) => {
                    let (version, until) = (*version, *until);
                    let alive = self.members.list.iter().filter(|m| m.alive);
                    let all = alive.clone().all(|m| m.config_version >= version);
                    if all || until <= self.now {
                        let confirmed =
                            alive.filter(|m| m.config_version >= version).count() as u32;
                        let reply = Reply::Changed {
                            version,
                            confirmed: confirmed + 1,
                            of: self.members.list.len() as u32 + 1,
                        };
                        self.finish_change(index, reply);
                    }
                }
                ChangeStage::Waiting if pending.deadline <= self.now => {
                    let refusal = Refusal::temporary(Reason::StoreDown, Duration::from_secs(5));
                    self.finish_change(index, Reply::Refused(refusal));
                }
                _ if pending.deadline <= self.now => self.finish_change(index, Reply::Unknown),
                _ => {}
            }
        }
        self.write_change();
    }
}

fn config_transaction(config: &Config, row_version: u64) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: CONFIG_KEY.into(),
            version: row_version,
        }],
        writes: vec![Write {
            key: CONFIG_KEY.into(),
            value: Some(config_row(config)),
        }],
    }
}
