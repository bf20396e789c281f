//! Who owns: following the owner, claiming its place, and staying valid.
//!
//! Invariant: an epoch is used for orders only after the transaction that
//! took it was applied, and only for `validity` after the last write that was
//! confirmed under it.

use std::time::Duration;

use model::{Epoch, Row};

use crate::event::live_value;
use crate::rows::{self, Beat, Owner};
use crate::settings::Settings;

/// Random part of the delay of a claim, so that VMs rarely race.
const CLAIM_JITTER: Duration = Duration::from_millis(120);
/// Delay of a claim by the strongest VM. Weaker ones wait longer, by the square
/// of the ratio, since the owner does most of the work.
const CLAIM_DELAY: Duration = Duration::from_millis(50);
/// Longest delay of a claim.
const MAX_CLAIM_DELAY: Duration = Duration::from_millis(900);
/// Part of a core that the strongest VM is taken to have while no owner has
/// said.
const USUAL_STRENGTH: f64 = 0.5;
/// How long a hint that the owner is in trouble counts.
const HINT: Duration = Duration::from_secs(2);
/// Shortest and longest wait for changes while following.
const FOLLOW: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(900));

/// What this VM is to the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Follows the owner.
    Following,
    /// Has a claim under way.
    Claiming,
    /// Owns.
    Owning,
}

/// Knowledge of the ownership.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) standing: Standing,
    /// The owner row as last seen.
    pub(crate) owner: Owner,
    /// Its version; zero when there is none.
    pub(crate) owner_version: u64,
    /// The owner's sign of life as last seen.
    pub(crate) beat: Beat,
    beat_version: u64,
    /// When the owner's sign of life last changed, or contact with the table
    /// service was regained; `None` before the rows were read.
    changed_at: Option<Duration>,
    /// When the rows were last known to be current.
    pub(crate) current_at: Duration,
    /// When the last write confirmed under this term was sent.
    pub(crate) confirmed_at: Duration,
    /// When this VM was last found to have been suspended.
    woke_at: Duration,
    /// The table service's clock, and when it was at least that.
    clock: (Duration, Duration),
    /// A majority of the backend servers obeys this owner.
    pub(crate) majority: bool,
    /// When the owner was last known to be in trouble.
    hinted_at: Option<Duration>,
    /// Random part of the delay of this VM's claims.
    jitter: Duration,
}

impl Term {
    /// A VM that knows nothing yet.
    pub(crate) fn new(rng: &mut fastrand::Rng) -> Self {
        Self {
            standing: Standing::Following,
            owner: Owner::default(),
            owner_version: 0,
            beat: Beat::default(),
            beat_version: 0,
            changed_at: None,
            current_at: Duration::ZERO,
            confirmed_at: Duration::ZERO,
            woke_at: Duration::ZERO,
            clock: (Duration::ZERO, Duration::ZERO),
            majority: false,
            hinted_at: None,
            jitter: CLAIM_JITTER.mul_f64(rng.f64()),
        }
    }

    /// True when this VM owns.
    pub(crate) fn is_owning(&self) -> bool {
        self.standing == Standing::Owning
    }

    /// Epoch of this VM's term; only of use while it owns.
    pub(crate) fn epoch(&self) -> Epoch {
        self.owner.epoch
    }

    /// This VM was suspended: another one may have claimed meanwhile, so no
    /// order is sent before a write was confirmed again.
    pub(crate) fn woke(&mut self, now: Duration) {
        self.woke_at = now;
    }

    /// Takes in the table service's clock.
    pub(crate) fn set_clock(&mut self, clock: Duration, now: Duration) {
        if clock >= self.clock.0 {
            self.clock = (clock, now);
        }
    }

    /// The table service's clock now, as far as is known.
    pub(crate) fn clock(&self, now: Duration) -> Duration {
        let (clock, at) = self.clock;
        match clock.is_zero() {
            true => Duration::ZERO,
            false => clock + now.saturating_sub(at),
        }
    }

    /// True when tasks may be started before their records are written: the
    /// table service is away, and no successor can have the majority.
    pub(crate) fn may_start_unrecorded(&self, settings: &Settings, now: Duration) -> bool {
        let away = now >= self.confirmed_at + settings.timing.unrecorded_start_after;
        away && self.majority && self.may_order(settings, now)
    }

    /// True while orders may be sent.
    pub(crate) fn may_order(&self, settings: &Settings, now: Duration) -> bool {
        self.is_valid(settings, now) && self.confirmed_at >= self.woke_at
    }

    /// True while the term goes on.
    pub(crate) fn is_valid(&self, settings: &Settings, now: Duration) -> bool {
        let confirmed = now < self.confirmed_at + settings.timing.ownership_validity;
        self.is_owning() && (confirmed || self.majority)
    }

    /// True while no other VM can have claimed yet.
    pub(crate) fn is_fresh(&self, settings: &Settings, now: Duration) -> bool {
        self.is_owning() && now < self.confirmed_at + settings.timing.new_server_max_write_age
    }

    /// Records a write that was confirmed under this term.
    pub(crate) fn confirm(&mut self, sent: Duration) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// Takes in a row of the cell table; true when the owner changed.
    pub(crate) fn learn(&mut self, row: &Row, now: Duration) -> Option<bool> {
        match (row.key.as_str(), live_value(row)) {
            (rows::OWNER, Some(bytes)) => {
                let owner: Owner = rows::decode(bytes)?;
                let changed = row.cell.version > self.owner_version;
                if changed {
                    self.owner = owner;
                    self.owner_version = row.cell.version;
                    self.changed_at = Some(now);
                }
                Some(changed)
            }
            (rows::BEAT, Some(bytes)) => {
                let beat: Beat = rows::decode(bytes)?;
                if row.cell.version > self.beat_version {
                    self.beat = beat;
                    self.beat_version = row.cell.version;
                    self.changed_at = Some(now);
                }
                Some(false)
            }
            _ => Some(false),
        }
    }

    /// The rows were current at `now`.
    pub(crate) fn current(&mut self, now: Duration) {
        self.current_at = now;
        self.changed_at.get_or_insert(now);
    }

    /// Contact with the table service was lost: the owner gets its whole time
    /// again once contact is back, for it may have been cut off just the same.
    pub(crate) fn lost_contact(&mut self) {
        self.changed_at = None;
    }

    /// Time for which the owner has been silent while the rows were current.
    pub(crate) fn silence(&self) -> Duration {
        self.changed_at
            .map_or(Duration::ZERO, |at| self.current_at.saturating_sub(at))
    }

    /// The owner is known to be in trouble.
    pub(crate) fn hint(&mut self, now: Duration) {
        self.hinted_at = Some(now);
    }

    /// Delay of this VM's claims.
    fn delay(&self, settings: &Settings) -> Duration {
        let strongest = match self.beat.strongest {
            known if known > 0.0 => known,
            _ => USUAL_STRENGTH,
        };
        let ratio = (strongest / settings.cpu_share.max(0.01)).max(1.0);
        let delay = CLAIM_DELAY.mul_f64(ratio * ratio);
        delay.min(MAX_CLAIM_DELAY) + self.jitter
    }

    /// Silence of the owner after which this VM claims.
    fn patience(&self, settings: &Settings) -> Duration {
        let timing = &settings.timing;
        let hinted = self.hinted_at.is_some_and(|at| self.current_at < at + HINT);
        let restarted = self.owner.name == settings.name && self.owner.process != settings.process;
        match () {
            () if restarted => Duration::ZERO,
            () if self.owner_version == 0 || self.owner.released => self.delay(settings),
            () if hinted => timing.suspected_owner_timeout + self.delay(settings),
            () => timing.owner_timeout + self.delay(settings),
        }
    }

    /// True when this VM should claim now.
    pub(crate) fn should_claim(&self, settings: &Settings) -> bool {
        self.standing == Standing::Following
            && self.changed_at.is_some()
            && self.silence() >= self.patience(settings)
    }

    /// Longest wait for changes of the rows, so that a claim is made in time.
    pub(crate) fn follow_wait(&self, settings: &Settings) -> Duration {
        let left = self.patience(settings).saturating_sub(self.silence());
        (left + Duration::from_millis(5)).clamp(FOLLOW.0, FOLLOW.1)
    }

    /// The owner row that a claim writes.
    pub(crate) fn next_owner(&self, settings: &Settings) -> Owner {
        Owner {
            epoch: self.owner.epoch + 1,
            name: settings.name.clone(),
            process: settings.process,
            address: settings.address.clone(),
            released: false,
        }
    }

    /// This VM's claim was applied.
    pub(crate) fn won(&mut self, owner: Owner, version: u64, sent: Duration) {
        self.standing = Standing::Owning;
        self.owner = owner;
        self.owner_version = version;
        self.beat_version = version;
        self.confirmed_at = sent;
        self.majority = false;
    }

    /// This VM does not own, or not any more. What it knows is read anew.
    pub(crate) fn follow(&mut self) {
        self.standing = Standing::Following;
        self.changed_at = None;
    }
}
