//! Ownership: following the current owner, claiming ownership, and the validity
//! of this VM's own term.
//!
//! Invariant: orders are sent in an epoch only after the claim of that epoch was
//! applied. They stop `Timing::ownership_validity` after the last write confirmed
//! in it, unless a majority of the backend servers still answers this owner.

use std::time::Duration;

use model::{Epoch, Row};

use crate::event::live_value;
use crate::partition::Layout;
use crate::rows::{self, Heartbeat, OwnerRow};
use crate::settings::Settings;

/// Minimum gap between two events that is treated as a suspension of the VM.
pub(crate) const SUSPENSION_GAP: Duration = Duration::from_millis(1_500);
/// Upper bound of the random delay of a claim, which keeps VMs from claiming at
/// the same time.
const CLAIM_JITTER: Duration = Duration::from_millis(120);
/// Delay of a claim by the VM with the largest CPU share. A VM with a smaller share
/// multiplies it by the square of the ratio of the shares, since the owner does most
/// of the work.
const CLAIM_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the delay of a claim, before the random part.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(900);
/// Largest share of a CPU core that any VM is assumed to have while no heartbeat
/// has reported it.
const DEFAULT_MAX_CPU_SHARE: f64 = 0.5;
/// Part of the largest CPU share from which a VM claims at once when it is asked to.
const STRONG_SHARE: f64 = 0.7;
/// How long a suspicion that the owner has failed lasts.
const SUSPICION_TTL: Duration = Duration::from_secs(2);
/// Lower and upper bound of the long poll of the cell table while following.
const FOLLOW_WAIT_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(900));

/// Role of this VM in the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// Follows the owner, or does not know it yet.
    Following,
    /// Has a claim in flight.
    Claiming,
    /// Is the owner.
    Owning,
}

/// What this VM knows of the owner, and the state of its own term.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) role: Role,
    /// The owner row as last read or written.
    pub(crate) owner: OwnerRow,
    /// Version of the owner row; zero when there is none.
    pub(crate) owner_version: u64,
    /// The owner's heartbeat as last read or sent.
    pub(crate) heartbeat: Heartbeat,
    heartbeat_version: u64,
    /// Layout of the cell's rows; `None` until it is read or stored.
    pub(crate) layout: Option<Layout>,
    /// When the owner row or the heartbeat last changed, or contact with the table
    /// service was regained; `None` until the rows are read.
    owner_active_at: Option<Duration>,
    /// When the rows were last known to be current.
    pub(crate) current_at: Duration,
    /// When the last write that was confirmed in this term was sent.
    pub(crate) confirmed_at: Duration,
    /// When this VM was last found to resume after a suspension.
    resumed_at: Duration,
    /// Last reading of the table service's clock, and the local time of its
    /// arrival.
    store_clock: (Duration, Duration),
    /// True while a majority of the backend servers answers this owner.
    pub(crate) majority_reachable: bool,
    /// When the owner was last suspected to have failed.
    owner_suspected_at: Option<Duration>,
    /// The epoch whose owner last asked for a successor, and when.
    handover_request: Option<(Epoch, Duration)>,
    /// Random part of the delay of this VM's claims, drawn once per process.
    claim_jitter: Duration,
}

impl Term {
    /// State of a VM that has not read the cell table.
    pub(crate) fn new(rng: &mut fastrand::Rng) -> Self {
        Self {
            role: Role::Following,
            owner: OwnerRow::default(),
            owner_version: 0,
            heartbeat: Heartbeat::default(),
            heartbeat_version: 0,
            layout: None,
            owner_active_at: None,
            current_at: Duration::ZERO,
            confirmed_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
            store_clock: (Duration::ZERO, Duration::ZERO),
            majority_reachable: false,
            owner_suspected_at: None,
            handover_request: None,
            claim_jitter: CLAIM_JITTER.mul_f64(rng.f64()),
        }
    }

    /// True when this VM is the owner.
    pub(crate) fn is_owning(&self) -> bool {
        self.role == Role::Owning
    }

    /// Epoch of the owner; that of this VM's term while it is the owner.
    pub(crate) fn epoch(&self) -> Epoch {
        self.owner.epoch
    }

    /// Notes that this VM was suspended. Another VM may have claimed meanwhile, so
    /// no order is sent until a write that was sent after this is confirmed.
    pub(crate) fn resumed(&mut self, now: Duration) {
        self.resumed_at = now;
    }

    /// Records a reading of the table service's clock; older readings are ignored.
    pub(crate) fn observe_store_clock(&mut self, clock: Duration, now: Duration) {
        if clock >= self.store_clock.0 {
            self.store_clock = (clock, now);
        }
    }

    /// Estimate of the table service's current clock; zero while it is unknown.
    pub(crate) fn store_clock(&self, now: Duration) -> Duration {
        let (clock, at) = self.store_clock;
        match clock.is_zero() {
            true => Duration::ZERO,
            false => clock + now.saturating_sub(at),
        }
    }

    /// True when this term permits starts before their records are written, because the
    /// table service is unavailable and no successor can have a majority of the
    /// backend servers.
    pub(crate) fn may_start_unrecorded(&self, settings: &Settings, now: Duration) -> bool {
        let store_unavailable = now >= self.confirmed_at + settings.timing.unrecorded_start_after;
        store_unavailable && self.majority_reachable && self.may_order(settings, now)
    }

    /// True while orders may be sent.
    pub(crate) fn may_order(&self, settings: &Settings, now: Duration) -> bool {
        self.is_valid(settings, now) && self.confirmed_at >= self.resumed_at
    }

    /// True while this VM's term is valid: a write was confirmed recently, or a
    /// majority of the backend servers answers.
    pub(crate) fn is_valid(&self, settings: &Settings, now: Duration) -> bool {
        let confirmed = now < self.confirmed_at + settings.timing.ownership_validity;
        self.is_owning() && (confirmed || self.majority_reachable)
    }

    /// True while the last confirmed write is so recent that no other VM can have
    /// claimed.
    pub(crate) fn is_fresh(&self, settings: &Settings, now: Duration) -> bool {
        self.is_owning() && now < self.confirmed_at + settings.timing.new_server_max_write_age
    }

    /// Records that a write sent at `sent_at` was confirmed in this term.
    pub(crate) fn confirm(&mut self, sent_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Applies a row of the cell table. Returns true when the owner row changed, and
    /// `None` when the row is malformed.
    pub(crate) fn apply_row(&mut self, row: &Row, now: Duration) -> Option<bool> {
        match (row.key.as_str(), live_value(row)) {
            (rows::OWNER_KEY, Some(bytes)) => {
                let owner: OwnerRow = rows::decode(bytes)?;
                let changed = row.cell.version > self.owner_version;
                if changed {
                    self.owner = owner;
                    self.owner_version = row.cell.version;
                    self.owner_active_at = Some(now);
                }
                Some(changed)
            }
            (rows::HEARTBEAT_KEY, Some(bytes)) => {
                let heartbeat: Heartbeat = rows::decode(bytes)?;
                if row.cell.version > self.heartbeat_version {
                    self.heartbeat = heartbeat;
                    self.heartbeat_version = row.cell.version;
                    self.owner_active_at = Some(now);
                }
                Some(false)
            }
            (rows::LAYOUT_KEY, Some(bytes)) => {
                self.layout = Some(Layout::decode(bytes).ok()?);
                Some(false)
            }
            _ => Some(false),
        }
    }

    /// Notes that the rows were current at `now`.
    pub(crate) fn mark_current(&mut self, now: Duration) {
        self.current_at = now;
        self.owner_active_at.get_or_insert(now);
    }

    /// Notes that the table service can't be reached. The owner may be cut off from
    /// it too, so its silence is counted from zero once contact is regained.
    pub(crate) fn lose_contact(&mut self) {
        self.owner_active_at = None;
    }

    /// Time without a change of the owner row or the heartbeat, while the rows were
    /// current.
    pub(crate) fn owner_silence(&self) -> Duration {
        self.owner_active_at
            .map_or(Duration::ZERO, |at| self.current_at.saturating_sub(at))
    }

    /// Notes that the owner is suspected to have failed.
    pub(crate) fn suspect_owner(&mut self, now: Duration) {
        self.owner_suspected_at = Some(now);
    }

    /// Notes that the owner has asked for a successor.
    pub(crate) fn note_handover_request(&mut self, now: Duration) {
        self.handover_request = Some((self.owner.epoch, now));
    }

    /// True while a request of the present owner for a successor is recent.
    fn is_handover_requested(&self) -> bool {
        let recent = |at: Duration| self.current_at < at + SUSPICION_TTL;
        self.handover_request
            .is_some_and(|(epoch, at)| epoch == self.owner.epoch && recent(at))
    }

    /// True if this VM's CPU share is close to the largest one. The owner asks the VMs whose
    /// offers it holds; stronger ones may be busy with queries and learn of it later, so a
    /// weak VM waits as long as for an owner that is only suspected.
    fn is_strong(&self, settings: &Settings) -> bool {
        settings.cpu_share >= self.max_cpu_share() * STRONG_SHARE
    }

    fn max_cpu_share(&self) -> f64 {
        match self.heartbeat.max_cpu_share {
            known if known > 0.0 => known,
            _ => DEFAULT_MAX_CPU_SHARE,
        }
    }

    /// Delay of this VM's claims, from its CPU share and the random part.
    fn claim_delay(&self, settings: &Settings) -> Duration {
        let ratio = (self.max_cpu_share() / settings.cpu_share.max(0.01)).max(1.0);
        let delay = CLAIM_DELAY.mul_f64(ratio * ratio);
        delay.min(MAX_CLAIM_DELAY) + self.claim_jitter
    }

    /// Silence of the owner after which this VM claims. It is zero when the owner was
    /// an earlier process of this VM, and short when the owner has asked for a successor.
    fn claim_timeout(&self, settings: &Settings) -> Duration {
        let timing = &settings.timing;
        let suspected = self
            .owner_suspected_at
            .is_some_and(|at| self.current_at < at + SUSPICION_TTL);
        let restarted = self.owner.name == settings.name && self.owner.process != settings.process;
        match () {
            () if restarted => Duration::ZERO,
            () if self.owner_version == 0 || self.owner.released => self.claim_delay(settings),
            () if self.is_handover_requested() && self.is_strong(settings) => {
                self.claim_delay(settings)
            }
            () if suspected => timing.suspected_owner_timeout + self.claim_delay(settings),
            () => timing.owner_timeout + self.claim_delay(settings),
        }
    }

    /// True when this VM should claim now.
    pub(crate) fn should_claim(&self, settings: &Settings) -> bool {
        self.role == Role::Following
            && self.owner_active_at.is_some()
            && self.owner_silence() >= self.claim_timeout(settings)
    }

    /// Long-poll time for changes of the cell table, bounded so that a claim is made
    /// in time.
    pub(crate) fn follow_wait(&self, settings: &Settings) -> Duration {
        let left = self
            .claim_timeout(settings)
            .saturating_sub(self.owner_silence());
        (left + Duration::from_millis(5)).clamp(FOLLOW_WAIT_RANGE.0, FOLLOW_WAIT_RANGE.1)
    }

    /// The owner row to be written by a claim of this VM.
    pub(crate) fn next_owner(&self, settings: &Settings) -> OwnerRow {
        OwnerRow {
            epoch: self.owner.epoch + 1,
            name: settings.name.clone(),
            process: settings.process,
            address: settings.address.clone(),
            released: false,
        }
    }

    /// Begins a term after this VM's claim was applied.
    pub(crate) fn begin(&mut self, owner: OwnerRow, version: u64, sent_at: Duration) {
        self.role = Role::Owning;
        self.owner = owner;
        self.owner_version = version;
        self.heartbeat_version = version;
        self.confirmed_at = sent_at;
        self.majority_reachable = false;
    }

    /// Makes this VM a follower. The rows have to be read again before it may claim.
    pub(crate) fn become_follower(&mut self) {
        self.role = Role::Following;
        self.owner_active_at = None;
    }
}
