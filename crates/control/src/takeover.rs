//! Takeover of a data centre's workers in a new epoch.
//!
//! Invariant: a node acts for an epoch only after its predecessor has stopped:
//! either every worker has accepted the claim, or a majority has and the
//! predecessor's lease has expired.

use std::time::Duration;

use model::{TableError, Transaction, VmLifecycle};

use crate::calls::TrackedWorker;
use crate::node::Node;
use crate::notice::Notice;
use crate::owner::{OwnerState, OwnershipRecord};
use crate::store::{Purpose, TableResponse, committed_version};
use crate::submit::row_write;

/// Deadline for writing the ownership row.
pub(crate) const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to wait for the workers' answers to a survey.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(1_200);

impl Node {
    /// Starts a takeover if the recorded holder appears to have failed.
    pub(crate) fn consider_takeover(&mut self) {
        if self.owner.state != OwnerState::Idle || self.draining_since.is_some() {
            return;
        }
        let bound = self.settings.timing.peer_silent;
        let listened_long_enough =
            self.now >= self.owner.started_at + bound + self.settings.timing.beat;
        let record = &self.owner.record;
        let held_here = record.holder == self.settings.identity.name;
        match record {
            r if r.epoch == 0 || r.released => self.begin_takeover(),
            r if self.members.is_alive(&r.holder) => {}
            // The epoch is that of an earlier process with this name.
            _ if held_here => self.begin_takeover(),
            _ if listened_long_enough => self.survey_workers(),
            _ => {}
        }
    }

    fn survey_workers(&mut self) {
        let until = self.now + SURVEY_TIMEOUT;
        self.owner.state = OwnerState::Surveying { until };
        for worker in &mut self.owner.workers {
            worker.reported_holder = None;
            worker.next_call_at = self.now;
        }
    }

    /// Returns whether any worker reports recent contact from the recorded
    /// holder.
    pub(crate) fn holder_is_calling(&self) -> bool {
        let bound = self.settings.timing.peer_silent.as_millis() as u64;
        let record = &self.owner.record;
        let mut seen = self
            .owner
            .workers
            .iter()
            .filter_map(|w| w.reported_holder.as_ref());
        seen.any(|(holder, epoch, ms)| {
            *holder == record.holder && *epoch == record.epoch && *ms < bound
        })
    }

    pub(crate) fn begin_takeover(&mut self) {
        if self.owner.workers.is_empty() {
            return;
        }
        self.owner.state = OwnerState::Acquiring;
        let record = OwnershipRecord {
            epoch: self.owner.record.epoch + 1,
            holder: self.settings.identity.name.clone(),
            released: false,
        };
        self.log(Notice::TakingOver(
            self.owner.data_centre.clone(),
            record.epoch,
        ));
        let transaction = Transaction {
            conditions: vec![self.owner.fencing_condition()],
            writes: vec![row_write(&self.owner.row_key(), &record)],
        };
        let purpose = Purpose::TakeOver(self.owner.data_centre.clone());
        let deadline = self.now + TAKEOVER_TIMEOUT;
        if !self.store.write(transaction, purpose, deadline) {
            self.owner.state = OwnerState::Idle;
        }
    }

    pub(crate) fn takeover_written(&mut self, result: Result<TableResponse, TableError>) {
        if self.owner.state != OwnerState::Acquiring {
            return;
        }
        match result {
            Ok(response) => {
                self.owner.row_version = committed_version(&response);
                self.owner.record.epoch += 1;
                self.owner.record.released = false;
                self.owner.record.holder = self.settings.identity.name.clone();
                self.begin_claiming();
            }
            // If the write took effect, the next poll returns this node's name
            // with an unknown row version, and the node commits the following
            // epoch.
            Err(_) => self.owner.state = OwnerState::Idle,
        }
    }

    fn begin_claiming(&mut self) {
        let first = self.owner.record.epoch == 1;
        let wait = self.settings.timing.owner_lease + self.settings.timing.max_task_lapse();
        self.owner.state = OwnerState::Claiming { since: self.now };
        self.owner.store_confirmed_at = Some(self.now);
        self.owner.withhold_until = (!first).then_some(self.now + wait);
        self.owner.lease_confirmed = true;
        self.reset_engine();
        for worker in &mut self.owner.workers {
            worker.begin_epoch(self.now);
        }
        self.poll();
    }

    /// Activates ownership once enough workers have accepted the claim and the
    /// jobs and allotments are loaded.
    pub(crate) fn consider_activation(&mut self, since: Duration) {
        if !self.owner.jobs.loaded || !self.owner.allotments.loaded {
            return;
        }
        let timing = &self.settings.timing;
        let (listed, claimed) = self.owner.count_confirmations(since);
        let waited = self.now >= since + timing.owner_lease + timing.margin;
        let first = self.owner.record.epoch == 1;
        if claimed == listed || ((first || waited) && claimed * 2 > listed) {
            self.owner.state = OwnerState::Active;
            self.log(Notice::OwnershipAcquired(
                self.owner.data_centre.clone(),
                self.owner.record.epoch,
            ));
            self.update_withholding();
        }
    }

    /// Releases withheld tasks once no task of an earlier epoch can be running
    /// unseen.
    pub(crate) fn update_withholding(&mut self) {
        let Some(until) = self.owner.withhold_until else {
            return;
        };
        let since = match self.owner.state {
            OwnerState::Claiming { since } => since,
            OwnerState::Active => Duration::ZERO,
            _ => return,
        };
        let claimed = |w: &TrackedWorker| w.life == VmLifecycle::Gone || w.claimed;
        let all = since == Duration::ZERO && self.owner.workers.iter().all(claimed);
        if !all && until > self.now {
            return;
        }
        self.owner.withhold_until = None;
        self.owner.engine.release_withheld();
        self.apply_config();
    }
}
