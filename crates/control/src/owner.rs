//! Ownership of a data centre's workers: acquisition, renewal and loss.
//!
//! The table service orders epochs, and a majority of the workers forms the
//! quorum. An owner may act only if the store or such a majority has confirmed
//! its epoch within the last `owner_lease`. A successor commits the next epoch,
//! claims a majority of the workers and, unless all of them accept the claim,
//! waits until the lease of its predecessor has expired. Because majorities
//! overlap, two nodes never act at the same time.
//!
//! Invariant: at most one node acts for a data centre at any time; tasks that
//! may still run on unreachable workers are withheld until they are certain to
//! have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Cell, Condition, Epoch, Name, TableError, Transaction, Vm, VmLifecycle};
use policy::{Engine, Settings as PolicySettings, TeamId, WorkerState};
use serde::{Deserialize, Serialize};
use wire::Frame;

use crate::allotment::Allotments;
use crate::calls::{InFlightCall, TrackedWorker};
use crate::evacuation::Starts;
use crate::jobs::Jobs;
use crate::node::Node;
use crate::notice::Notice;
use crate::store::{Purpose, TableResponse};
use crate::submit::row_write;
use crate::takeover::TAKEOVER_TIMEOUT;

/// Maximum number of placement decisions per step.
const MAX_DECISIONS: usize = 256;
/// Number of low bits of an attempt number; the epoch is above them.
const EPOCH_SHIFT: u32 = 20;

/// Stored ownership row of a data centre.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct OwnershipRecord {
    pub(crate) epoch: Epoch,
    pub(crate) holder: Name,
    /// True when the holder has released ownership during a shutdown.
    pub(crate) released: bool,
}

/// Ownership state machine of this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum OwnerState {
    /// The node is not the owner.
    Idle,
    /// Asks the workers whether the silent holder still contacts them.
    Surveying { until: Duration },
    /// The commit of the next epoch is in flight.
    Acquiring,
    /// The epoch is committed; the node claims workers and collects the tasks
    /// that they run.
    Claiming { since: Duration },
    /// The node is the owner.
    Active,
    /// The write that releases the epoch is in flight.
    Releasing,
    /// The node is shutting down without ownership and does not acquire it
    /// again.
    Released,
}

/// Ownership of the data centre's workers and the state that depends on it.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) data_centre: Name,
    pub(crate) state: OwnerState,
    pub(crate) record: OwnershipRecord,
    /// Version of the ownership row that `record` was read from or written to.
    pub(crate) row_version: u64,
    /// Send time of the last poll in which the store still had this node's
    /// epoch, or the time at which the claim of the epoch was committed.
    pub(crate) store_confirmed_at: Option<Duration>,
    pub(crate) engine: Engine,
    pub(crate) workers: Vec<TrackedWorker>,
    /// Worker calls without a result, by call id.
    pub(crate) calls_in_flight: BTreeMap<u64, InFlightCall>,
    pub(crate) last_call_id: u64,
    pub(crate) jobs: Jobs,
    pub(crate) allotments: Allotments,
    /// Names of the teams, indexed by `TeamId`.
    pub(crate) teams: Vec<Name>,
    /// Names of the racks, indexed by the engine's rack ids.
    pub(crate) racks: Vec<Name>,
    /// Time at which the tasks of earlier epochs have certainly ended; `None`
    /// once withheld tasks have been released.
    pub(crate) withhold_until: Option<Duration>,
    /// Whether the lease was valid at the last check; its loss is logged once.
    pub(crate) lease_confirmed: bool,
    /// When this process started, before which it received no heartbeats.
    pub(crate) started_at: Duration,
    /// Whether new work may start here; `None` before the first event.
    pub(crate) starts: Option<Starts>,
}

impl Owner {
    pub(crate) fn new(data_centre: Name, now: Duration) -> Self {
        Self {
            data_centre,
            state: OwnerState::Idle,
            record: OwnershipRecord::default(),
            row_version: 0,
            store_confirmed_at: None,
            engine: Engine::new(PolicySettings::from(&model::Preset::default())),
            workers: Vec::new(),
            calls_in_flight: BTreeMap::new(),
            last_call_id: 0,
            jobs: Jobs::default(),
            allotments: Allotments::default(),
            teams: Vec::new(),
            racks: Vec::new(),
            withhold_until: None,
            lease_confirmed: false,
            started_at: now,
            starts: None,
        }
    }

    /// Returns the key of the ownership row.
    pub(crate) fn row_key(&self) -> Name {
        compact_str::format_compact!("owner/{}", self.data_centre)
    }

    pub(crate) fn is_active(&self) -> bool {
        self.state == OwnerState::Active
    }

    /// Returns whether this node holds an epoch, active or still claiming.
    pub(crate) fn holds_epoch(&self) -> bool {
        matches!(self.state, OwnerState::Active | OwnerState::Claiming { .. })
    }

    /// Returns whether this node holds the given epoch.
    pub(crate) fn holds(&self, epoch: Epoch) -> bool {
        self.holds_epoch() && self.record.epoch == epoch
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state, OwnerState::Idle | OwnerState::Released)
    }

    /// Returns the first attempt number of this epoch.
    pub(crate) fn first_attempt(&self) -> u64 {
        self.record.epoch << EPOCH_SHIFT
    }

    /// Returns a condition that rejects a write once another node has committed
    /// a later epoch.
    pub(crate) fn fencing_condition(&self) -> Condition {
        Condition {
            key: self.row_key(),
            version: self.row_version,
        }
    }

    /// Returns the number of workers that count towards the majority, and how
    /// many of them have confirmed this epoch at `since` or later.
    pub(crate) fn count_confirmations(&self, since: Duration) -> (usize, usize) {
        let listed = || self.workers.iter().filter(|w| w.life != VmLifecycle::Gone);
        let fresh = |w: &&TrackedWorker| w.confirmed_at.is_some_and(|at| at >= since);
        (listed().count(), listed().filter(fresh).count())
    }

    fn has_majority(&self, since: Duration) -> bool {
        let (listed, confirmed) = self.count_confirmations(since);
        confirmed * 2 > listed
    }

    /// Returns the dense id of a team, assigning one on first use.
    pub(crate) fn team_id(&mut self, team: &Name) -> TeamId {
        if let Some(index) = self.teams.iter().position(|t| t == team) {
            return index as TeamId;
        }
        self.teams.push(team.clone());
        self.engine.add_team(1)
    }

    pub(crate) fn rack_id(&mut self, rack: &Name) -> u16 {
        if let Some(index) = self.racks.iter().position(|r| r == rack) {
            return index as u16;
        }
        self.racks.push(rack.clone());
        (self.racks.len() - 1) as u16
    }
}

impl Node {
    /// Returns whether this node is the owner and its lease is valid, so that it
    /// may place tasks and renew task leases.
    pub(crate) fn holds_lease(&self) -> bool {
        let since = self.now.saturating_sub(self.settings.timing.owner_lease);
        let confirmed = self.confirmed_by_store() || self.owner.has_majority(since);
        self.owner.is_active() && confirmed
    }

    /// Returns whether the store has confirmed the epoch within `owner_lease`.
    pub(crate) fn confirmed_by_store(&self) -> bool {
        let since = self.now.saturating_sub(self.settings.timing.owner_lease);
        self.owner.store_confirmed_at.is_some_and(|at| at >= since)
    }

    pub(crate) fn owner_polled(&mut self, cell: Option<Cell>, sent_at: Duration) {
        let Some(cell) = cell else {
            return match self.owner.holds_epoch() {
                true => self.owner.store_confirmed_at = Some(sent_at),
                false => self.consider_takeover(),
            };
        };
        if cell.version < self.owner.row_version
            || (cell.version == self.owner.row_version && cell.version > 0)
        {
            return; // The read precedes this node's last write.
        }
        let record = match cell.version {
            0 => OwnershipRecord::default(),
            _ => match postcard::from_bytes::<OwnershipRecord>(&cell.value) {
                Ok(record) => record,
                Err(_) => return self.log(Notice::RowMalformed(self.owner.row_key())),
            },
        };
        self.observe_record(record, cell.version);
    }

    /// Handles an ownership record that this process did not write.
    fn observe_record(&mut self, record: OwnershipRecord, version: u64) {
        if self.owner.holds_epoch() {
            self.step_down();
        }
        if matches!(
            self.owner.state,
            OwnerState::Releasing | OwnerState::Released
        ) {
            return;
        }
        self.owner.record = record;
        self.owner.row_version = version;
        self.consider_takeover();
    }

    /// Discards the state of earlier epochs.
    pub(crate) fn reset_engine(&mut self) {
        let preset = self.configuration.config.preset();
        let owner = &mut self.owner;
        owner.engine = Engine::new(PolicySettings::from(&preset));
        owner.teams.clear();
        owner.jobs = Jobs::default();
        owner.calls_in_flight.clear();
        owner.allotments = Allotments::default();
        for index in 0..owner.workers.len() {
            let rack = owner.rack_id(&owner.workers[index].rack.clone());
            let id = owner.engine.add_worker(owner.workers[index].capacity, rack);
            owner.engine.set_worker_state(id, WorkerState::Lost);
            owner.workers[index].id = id;
        }
        self.apply_config();
    }

    /// Passes the preset and the shares and allotments of all teams to the
    /// engine.
    pub(crate) fn apply_config(&mut self) {
        let preset = self.configuration.config.preset();
        self.owner.engine.configure(PolicySettings::from(&preset));
        let teams: Vec<Name> = self.configuration.config.teams.keys().cloned().collect();
        for team in teams {
            self.apply_team(&team);
        }
    }

    /// Passes the share and the allotment of one team to the engine.
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

    /// Performs the time-driven transitions and the owner's periodic work.
    pub(crate) fn tick_owner(&mut self) {
        match self.owner.state {
            OwnerState::Surveying { until } if until <= self.now => {
                self.owner.state = OwnerState::Idle;
                let holder_alive = self.members.is_alive(&self.owner.record.holder);
                if !holder_alive && !self.holder_is_calling() {
                    self.begin_takeover();
                }
            }
            OwnerState::Claiming { since } => self.consider_activation(since),
            OwnerState::Active => self.update_lease_confirmed(),
            _ => {}
        }
        self.update_withholding();
        self.tick_workers();
        self.tick_jobs();
        self.tick_allotments();
    }

    /// Records whether the lease is confirmed, and logs its loss.
    fn update_lease_confirmed(&mut self) {
        let confirmed = self.holds_lease();
        if self.owner.lease_confirmed && !confirmed {
            self.log(Notice::OwnershipUnconfirmed(self.owner.data_centre.clone()));
        }
        self.owner.lease_confirmed = confirmed;
    }

    /// Stops acting because a later epoch exists.
    pub(crate) fn step_down(&mut self) {
        self.log(Notice::OwnershipSuperseded(
            self.owner.data_centre.clone(),
            self.owner.record.epoch,
        ));
        self.owner.state = OwnerState::Idle;
        self.owner.calls_in_flight.clear();
        self.refuse_queued();
    }

    /// Releases ownership during a shutdown, at most once. An active owner
    /// first waits until no order is outstanding and all jobs are saved.
    pub(crate) fn release_ownership(&mut self) {
        match self.owner.state {
            OwnerState::Active => {}
            OwnerState::Releasing | OwnerState::Released => return,
            _ => {
                self.owner.state = OwnerState::Released;
                return;
            }
        }
        let has_orders = self
            .owner
            .workers
            .iter()
            .any(TrackedWorker::has_outstanding_orders);
        if has_orders || !self.owner.jobs.all_saved() {
            return;
        }
        self.owner.state = OwnerState::Releasing;
        let record = OwnershipRecord {
            released: true,
            ..self.owner.record.clone()
        };
        let transaction = Transaction {
            conditions: vec![self.owner.fencing_condition()],
            writes: vec![row_write(&self.owner.row_key(), &record)],
        };
        let purpose = Purpose::Release(self.owner.data_centre.clone());
        let deadline = self.now + TAKEOVER_TIMEOUT;
        self.store.write(transaction, purpose, deadline);
    }

    pub(crate) fn release_written(&mut self, _result: &Result<TableResponse, TableError>) {
        self.owner.state = OwnerState::Released;
        let data_centre = self.owner.data_centre.clone();
        self.log(Notice::OwnershipReleased(
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

    /// Adds or updates a worker from the VM list that was requested at
    /// `requested_at`.
    pub(crate) fn update_worker(&mut self, vm: &Vm, requested_at: Duration) {
        let in_service_at = (vm.life == VmLifecycle::Live).then_some(requested_at);
        let found = self.owner.workers.iter_mut().find(|w| w.name == vm.name);
        if let Some(worker) = found {
            worker.address = vm.address.clone();
            worker.life = vm.life;
            worker.in_service_at = worker.in_service_at.max(in_service_at);
            return;
        }
        let rack = self.owner.rack_id(&vm.rack);
        let id = self.owner.engine.add_worker(vm.capacity, rack);
        self.owner.engine.set_worker_state(id, WorkerState::Lost);
        let mut worker = TrackedWorker::new(vm, id, self.now);
        worker.in_service_at = in_service_at;
        self.owner.workers.push(worker);
    }

    /// Places waiting tasks if this node holds the lease.
    pub(crate) fn place_tasks(&mut self) {
        if !self.holds_lease() || self.refuses_work() {
            return;
        }
        let mut decisions = std::mem::take(&mut self.owner.jobs.decisions);
        let now_ms = self.now.as_millis() as u64;
        self.owner
            .engine
            .place(now_ms, MAX_DECISIONS, &mut decisions);
        for decision in decisions.drain(..) {
            self.apply_decision(decision);
        }
        self.owner.jobs.decisions = decisions;
        self.send_orders();
    }
}
