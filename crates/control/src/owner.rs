//! Ownership of a data centre's workers: taking it, confirming it, losing it.
//!
//! The table service orders epochs; the workers are the witnesses. An owner
//! acts while, within `owner_lease`, the store or a majority of the workers
//! has confirmed its epoch. A successor commits the next epoch, claims a
//! majority of the workers and, unless all of them accepted the claim, waits
//! until the lease of its predecessor is over. Majorities overlap, so two
//! nodes never both act.
//!
//! Invariant: at most one node acts for a data centre at any time; tasks that
//! may still run on unreachable workers are withheld until they have surely
//! ended.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Cell, Condition, Epoch, Fault, Life, Name, Transaction, Vm};
use policy::{Engine, Settings as PolicySettings, TeamId, WorkerState};
use serde::{Deserialize, Serialize};
use wire::Frame;

use crate::allotment::Allotments;
use crate::calls::{Backend, Contact};
use crate::jobs::Jobs;
use crate::node::Node;
use crate::notice::Notice;
use crate::store::{Answered, Purpose};
use crate::submit::row;
use crate::takeover::TAKE_TIME;

/// Most placement decisions in one step.
const MAX_DECISIONS: usize = 256;
/// Bits of an attempt number below the epoch.
const EPOCH_SHIFT: u32 = 20;

/// Row of a data centre's ownership.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) epoch: Epoch,
    pub(crate) holder: Name,
    /// True when the holder has stopped acting by itself.
    pub(crate) released: bool,
}

/// What this node is to its data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Tenure {
    /// Not the owner.
    Idle,
    /// Asks workers whether the silent holder still calls them.
    Surveying { until: Duration },
    /// Commits the next epoch.
    Taking,
    /// Epoch committed; claims workers and learns what runs.
    Claiming { since: Duration },
    /// Owner.
    Active,
    /// Gives the epoch up.
    Releasing,
    /// Gave the epoch up.
    Released,
}

/// Ownership state.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) data_centre: Name,
    pub(crate) tenure: Tenure,
    pub(crate) record: Record,
    pub(crate) row: u64,
    pub(crate) store_confirmed: Option<Duration>,
    pub(crate) engine: Engine,
    pub(crate) workers: Vec<Backend>,
    pub(crate) contacts: BTreeMap<u64, Contact>,
    pub(crate) next_call: u64,
    pub(crate) jobs: Jobs,
    pub(crate) allotments: Allotments,
    pub(crate) teams: Vec<Name>,
    pub(crate) racks: Vec<Name>,
    pub(crate) uncertain_until: Option<Duration>,
    pub(crate) confirmed: bool,
    pub(crate) started: Duration,
}

impl Owner {
    pub(crate) fn new(data_centre: Name, now: Duration) -> Self {
        Self {
            data_centre,
            tenure: Tenure::Idle,
            record: Record::default(),
            row: 0,
            store_confirmed: None,
            engine: Engine::new(PolicySettings::from(&model::Preset::default())),
            workers: Vec::new(),
            contacts: BTreeMap::new(),
            next_call: 0,
            jobs: Jobs::default(),
            allotments: Allotments::default(),
            teams: Vec::new(),
            racks: Vec::new(),
            uncertain_until: None,
            confirmed: false,
            started: now,
        }
    }

    /// Key of the ownership row.
    pub(crate) fn row_key(&self) -> Name {
        compact_str::format_compact!("owner/{}", self.data_centre)
    }

    pub(crate) fn is_active(&self) -> bool {
        self.tenure == Tenure::Active
    }

    /// True while this node holds an epoch, active or not yet.
    pub(crate) fn holds_epoch(&self) -> bool {
        matches!(self.tenure, Tenure::Active | Tenure::Claiming { .. })
    }

    /// True while this node holds just this epoch.
    pub(crate) fn holds(&self, epoch: Epoch) -> bool {
        self.holds_epoch() && self.record.epoch == epoch
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.tenure, Tenure::Idle | Tenure::Released)
    }

    /// First attempt number of this epoch.
    pub(crate) fn first_attempt(&self) -> u64 {
        self.record.epoch << EPOCH_SHIFT
    }

    /// True when only this owner's row version allows a write.
    pub(crate) fn guard(&self) -> Condition {
        Condition {
            key: self.row_key(),
            version: self.row,
        }
    }

    /// Number of workers that count for a majority, and how many of them
    /// confirmed this epoch since `since`.
    pub(crate) fn witnesses(&self, since: Duration) -> (usize, usize) {
        let listed = || self.workers.iter().filter(|w| w.life != Life::Gone);
        let fresh = |w: &&Backend| w.confirmed.is_some_and(|at| at >= since);
        (listed().count(), listed().filter(fresh).count())
    }

    fn has_majority(&self, since: Duration) -> bool {
        let (listed, confirmed) = self.witnesses(since);
        confirmed * 2 > listed
    }

    /// Dense id of a team, made on first use.
    pub(crate) fn team_id(&mut self, team: &Name) -> TeamId {
        if let Some(at) = self.teams.iter().position(|t| t == team) {
            return at as TeamId;
        }
        self.teams.push(team.clone());
        self.engine.add_team(1)
    }

    pub(crate) fn rack_id(&mut self, rack: &Name) -> u16 {
        if let Some(at) = self.racks.iter().position(|r| r == rack) {
            return at as u16;
        }
        self.racks.push(rack.clone());
        (self.racks.len() - 1) as u16
    }
}

impl Node {
    /// True while this node may place work and renew leases.
    pub(crate) fn may_act(&self) -> bool {
        let since = self.now.saturating_sub(self.settings.timing.owner_lease);
        let confirmed = self.confirmed_by_store() || self.owner.has_majority(since);
        self.owner.is_active() && confirmed
    }

    /// True while the store has confirmed the epoch within the lease.
    pub(crate) fn confirmed_by_store(&self) -> bool {
        let since = self.now.saturating_sub(self.settings.timing.owner_lease);
        self.owner.store_confirmed.is_some_and(|at| at >= since)
    }

    pub(crate) fn owner_polled(&mut self, cell: Option<Cell>, sent: Duration) {
        let Some(cell) = cell else {
            return match self.owner.holds_epoch() {
                true => self.owner.store_confirmed = Some(sent),
                false => self.consider_takeover(),
            };
        };
        if cell.version < self.owner.row || (cell.version == self.owner.row && cell.version > 0) {
            return; // Read before this node's own last write.
        }
        let record = match cell.version {
            0 => Record::default(),
            _ => match postcard::from_bytes::<Record>(&cell.value) {
                Ok(record) => record,
                Err(_) => return self.log(Notice::JobMalformed(self.owner.row_key())),
            },
        };
        self.others_record(record, cell.version);
    }

    /// Takes note of a record that this process did not write.
    fn others_record(&mut self, record: Record, version: u64) {
        if self.owner.holds_epoch() {
            self.step_down();
        }
        if matches!(self.owner.tenure, Tenure::Releasing | Tenure::Released) {
            return;
        }
        self.owner.record = record;
        self.owner.row = version;
        self.consider_takeover();
    }

    /// Forgets what an earlier epoch knew.
    pub(crate) fn reset_engine(&mut self) {
        let preset = self.configuration.config.preset();
        let owner = &mut self.owner;
        owner.engine = Engine::new(PolicySettings::from(&preset));
        owner.teams.clear();
        owner.jobs = Jobs::default();
        owner.contacts.clear();
        owner.allotments = Allotments::default();
        for at in 0..owner.workers.len() {
            let rack = owner.rack_id(&owner.workers[at].rack.clone());
            let id = owner.engine.add_worker(owner.workers[at].capacity, rack);
            owner.engine.set_worker(id, WorkerState::Lost);
            owner.workers[at].id = id;
        }
        self.apply_config();
    }

    /// Brings team weights, allotments and the preset into the engine.
    pub(crate) fn apply_config(&mut self) {
        let preset = self.configuration.config.preset();
        self.owner.engine.configure(PolicySettings::from(&preset));
        let teams: Vec<Name> = self.configuration.config.teams.keys().cloned().collect();
        for team in teams {
            self.apply_team(&team);
        }
    }

    /// Brings one team's weight and allotment into the engine.
    pub(crate) fn apply_team(&mut self, team: &Name) {
        let share = self
            .configuration
            .config
            .teams
            .get(team)
            .map_or(1, |t| t.share);
        let allotment = self.allotment_of(team);
        let id = self.owner.team_id(team);
        self.owner.engine.set_team(id, share, allotment);
    }

    /// Moves the tenure on as time passes.
    pub(crate) fn tick_owner(&mut self) {
        match self.owner.tenure {
            Tenure::Surveying { until } if until <= self.now => {
                self.owner.tenure = Tenure::Idle;
                let back = self.members.is_alive(&self.owner.record.holder);
                if !back && !self.holder_is_calling() {
                    self.take();
                }
            }
            Tenure::Claiming { since } => self.consider_activation(since),
            Tenure::Active => self.watch_confirmation(),
            _ => {}
        }
        self.settle_uncertainty();
        self.tick_workers();
        self.tick_jobs();
        self.tick_allotments();
    }

    /// Notices that the owner's lease is not confirmed, or is again.
    fn watch_confirmation(&mut self) {
        let confirmed = self.may_act();
        if self.owner.confirmed && !confirmed {
            self.log(Notice::Unconfirmed(self.owner.data_centre.clone()));
        }
        self.owner.confirmed = confirmed;
    }

    /// Gives way to a later epoch.
    pub(crate) fn step_down(&mut self) {
        self.log(Notice::Superseded(
            self.owner.data_centre.clone(),
            self.owner.record.epoch,
        ));
        self.owner.tenure = Tenure::Idle;
        self.owner.contacts.clear();
        self.refuse_waiting();
    }

    /// Gives the epoch up during a shutdown, once.
    pub(crate) fn release(&mut self) {
        match self.owner.tenure {
            Tenure::Active => {}
            Tenure::Releasing | Tenure::Released => return,
            _ => {
                self.owner.tenure = Tenure::Released;
                return;
            }
        }
        let engaged = self.owner.workers.iter().any(Backend::is_engaged);
        if engaged || !self.owner.jobs.is_saved() {
            return;
        }
        self.owner.tenure = Tenure::Releasing;
        let record = Record {
            released: true,
            ..self.owner.record.clone()
        };
        let transaction = Transaction {
            conditions: vec![self.owner.guard()],
            writes: vec![row(&self.owner.row_key(), &record)],
        };
        let purpose = Purpose::Release(self.owner.data_centre.clone());
        let deadline = self.now + TAKE_TIME;
        self.store.write(transaction, purpose, deadline);
    }

    pub(crate) fn release_written(&mut self, _result: &Result<Answered, Fault>) {
        self.owner.tenure = Tenure::Released;
        let data_centre = self.owner.data_centre.clone();
        self.log(Notice::Released(
            data_centre.clone(),
            self.owner.record.epoch,
        ));
        let names: Vec<Name> = self
            .members
            .list
            .iter()
            .map(|m| m.identity.name.clone())
            .collect();
        for name in names {
            let data_centre = data_centre.clone();
            self.send(&name, Frame::Released { data_centre });
        }
    }

    /// Takes a worker from the VM list that was asked for at `asked`.
    pub(crate) fn learn_worker(&mut self, vm: &Vm, asked: Duration) {
        let vouched = (vm.life == Life::Live).then_some(asked);
        let found = self.owner.workers.iter_mut().find(|w| w.name == vm.name);
        if let Some(worker) = found {
            worker.address = vm.address.clone();
            worker.life = vm.life;
            worker.vouched = worker.vouched.max(vouched);
            return;
        }
        let rack = self.owner.rack_id(&vm.rack);
        let id = self.owner.engine.add_worker(vm.capacity, rack);
        self.owner.engine.set_worker(id, WorkerState::Lost);
        let mut worker = Backend::new(vm, id, self.now);
        worker.vouched = vouched;
        self.owner.workers.push(worker);
    }

    /// Places waiting work, if this node may.
    pub(crate) fn place(&mut self) {
        if !self.may_act() || self.refuses_work() {
            return;
        }
        let mut decisions = std::mem::take(&mut self.owner.jobs.decisions);
        let now_ms = self.now.as_millis() as u64;
        self.owner
            .engine
            .place(now_ms, MAX_DECISIONS, &mut decisions);
        for decision in decisions.drain(..) {
            self.carry_out(decision);
        }
        self.owner.jobs.decisions = decisions;
        self.send_orders();
    }
}
