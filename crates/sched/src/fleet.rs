//! State of the backend servers, by incarnation: capacity, clock, leases, health
//! and runs.
//!
//! Invariant: an index is never reused for another incarnation, and `used` is
//! the sum of the resources that the runs placed there hold.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use model::{Epoch, Name, Resources};
use policy::Health;

use crate::commit::Change;
use crate::event::{CallId, Listing};
use crate::ledger::RunRef;
use crate::notice::ms;
use crate::partition::PartitionId;
use crate::settings::Timing;

/// Number of fencing tokens for one backend server within an epoch: more than one that
/// gets ten starts a second uses in ten years.
const TOKENS_PER_EPOCH: u64 = 1 << 32;
/// Weight of the newest sample in the moving average of a backend server's
/// slowness.
const SLOWNESS_EWMA_WEIGHT: f64 = 0.25;
/// Slowness that is assumed at least of a backend server which has just started and is still
/// slow.
const COLD_SLOWNESS: f64 = 1.5;
/// Bound on the slowness of one sample, and on its inverse.
const MAX_SLOWNESS: f64 = 5.0;

/// Dense index of an incarnation, valid within one term.
pub(crate) type ServerIx = u32;

/// State of an incarnation as seen by this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerState {
    /// Found in the registry, but not yet in the roster row; nothing may be sent
    /// to it.
    Discovered,
    /// In the roster row, but has not answered in this owner's epoch.
    InRoster,
    /// Has answered in this owner's epoch, and rejects orders of earlier ones.
    Held,
    /// Left the registry and does not answer; nothing can be executing there. It is
    /// used again if the registry lists it again.
    GivenUp,
    /// The incarnation has terminated.
    Ended,
}

impl ServerState {
    /// True when orders may still be sent to the incarnation.
    pub(crate) const fn is_live(self) -> bool {
        match self {
            Self::Discovered | Self::InRoster | Self::Held => true,
            Self::GivenUp | Self::Ended => false,
        }
    }
}

/// Leases that an incarnation may have granted for orders to earlier incarnations of its id.
/// Their ends are times on the clock of the earlier one, so that only the longest lease that
/// backend servers grant bounds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StaleLeases {
    /// There are none: no order was sent to an earlier incarnation.
    Ended,
    /// The incarnation has answered an owner, whose fencing token keeps such orders out. All
    /// of them end by this local time.
    EndBy(Duration),
    /// It has not answered, and may execute such orders until this local time.
    Possible(Duration),
}

impl StaleLeases {
    /// Those of an incarnation of which no answer is known at `now`. An earlier owner that
    /// does not know of it may send orders to its predecessor until its term ends.
    pub(crate) fn possible(timing: &Timing, now: Duration) -> Self {
        Self::Possible(now + timing.ownership_validity + timing.max_order_delay)
    }

    /// Notes that the incarnation has answered. Returns true if that sets the end.
    pub(crate) fn answered(&mut self, timing: &Timing, now: Duration) -> bool {
        let possible = matches!(self, Self::Possible(_));
        if possible {
            *self = Self::EndBy(now + timing.longest_lease());
        }
        possible
    }

    /// Local time by which all of them have ended.
    pub(crate) fn end(self, timing: &Timing) -> Duration {
        match self {
            Self::Ended => Duration::ZERO,
            Self::EndBy(at) => at,
            Self::Possible(until) => until + timing.longest_lease(),
        }
    }
}

/// A lease renewal in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RenewalCall {
    pub(crate) call: CallId,
    pub(crate) sent_at: Duration,
}

/// An end that was handled, but whose effects may not be committed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnacknowledgedEnd {
    /// Number of the end on its backend server.
    pub(crate) number: u64,
    /// Partition of the job of the run; that of the cell if the job is unknown.
    pub(crate) partition: PartitionId,
    /// Last change to the job that the end made.
    pub(crate) change: Change,
}

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) listing: Listing,
    /// The largest capacity that it is known to have had: what runs there may have been
    /// started while it was larger than now.
    pub(crate) peak_capacity: Resources,
    /// `peak_capacity` as stored in the roster for a successor.
    pub(crate) stored_capacity: Resources,
    /// When its capacity last changed.
    pub(crate) resized_at: Duration,
    /// True while the registry has an entry for this incarnation.
    pub(crate) listed: bool,
    /// Since when the registry is known to have no entry for it.
    pub(crate) unlisted_at: Option<Duration>,
    /// True when the roster that an earlier owner stored lists it.
    pub(crate) in_inherited_roster: bool,
    /// True while the roster as stored lists it.
    pub(crate) in_stored_roster: bool,
    pub(crate) state: ServerState,
    /// Number of the current fencing token within the epoch. It grows with each
    /// incarnation of the id, and with starts that must supersede earlier orders.
    pub(crate) token_number: u64,
    /// A renewal that acknowledges ends was sent with the current token and may still
    /// be executed.
    acknowledgement_pending: bool,
    /// When another incarnation has answered last, by its clock, until the lists say which:
    /// ends that it lists have not been handled, so none are acknowledged.
    pub(crate) doubted_at: Option<Duration>,
    /// True when it may run tasks of an earlier owner that are not yet known.
    pub(crate) inherited: bool,
    /// Last reading of its clock in ms, and the local time of its arrival.
    clock: Option<(u64, Duration)>,
    /// Latest end of a lease sent to it, on its clock in ms.
    max_lease_end: u64,
    /// Local time by which all leases that this owner ordered there have certainly expired
    /// unless they are renewed.
    pub(crate) leases_expire_at: Duration,
    /// Leases that it may have granted for orders to earlier incarnations of its id.
    pub(crate) stale_leases: StaleLeases,
    /// When the last lease renewal that this incarnation answered was sent.
    pub(crate) verified_at: Duration,
    /// When its last response with a clock reading arrived.
    pub(crate) last_answer_at: Duration,
    /// True after a lease renewal without a response, until the next response.
    pub(crate) unresponsive: bool,
    /// When a call without a response first showed that it is silent.
    pub(crate) silent_since: Option<Duration>,
    /// When a run was last planned or ordered to start here.
    pub(crate) last_start_at: Duration,
    /// Until when only suspects start here.
    pub(crate) withheld_until: Duration,
    /// The last suspect that was started here.
    pub(crate) suspect: Option<RunRef>,
    /// The losses of the runs here were noted when it ended.
    pub(crate) crash_noted: bool,
    pub(crate) renewal: Option<RenewalCall>,
    pub(crate) next_renewal_at: Duration,
    /// The next renewal asks for the lists at once instead of when a run ends.
    pub(crate) lists_wanted: bool,
    /// Number of the last ended run that was handled.
    pub(crate) processed_end: u64,
    /// Number of the last ended run that may be acknowledged, since the effects of
    /// its end are committed.
    pub(crate) acknowledged_end: u64,
    /// Handled ends that may not be acknowledged yet, in ascending order.
    pub(crate) unacknowledged: VecDeque<UnacknowledgedEnd>,
    /// Resources committed to `runs`.
    pub(crate) used: Resources,
    /// Runs placed here that may exist.
    pub(crate) runs: BTreeSet<RunRef>,
    pub(crate) health: Health,
    /// Moving average of the run time of its tasks, relative to the mean of their
    /// image.
    pub(crate) slowness: f64,
    /// Until when it is slow after its start.
    pub(crate) cold_until: Duration,
    /// Until when it gets no work, after it reported itself unhealthy or a start
    /// could not be sent.
    pub(crate) unhealthy_until: Duration,
}

impl Server {
    fn new(listing: Listing, listed: bool) -> Self {
        Self {
            peak_capacity: listing.capacity,
            stored_capacity: Resources::ZERO,
            resized_at: Duration::ZERO,
            listing,
            listed,
            unlisted_at: None,
            in_inherited_roster: false,
            in_stored_roster: false,
            state: ServerState::Discovered,
            token_number: 0,
            acknowledgement_pending: false,
            doubted_at: None,
            inherited: false,
            clock: None,
            max_lease_end: 0,
            leases_expire_at: Duration::ZERO,
            stale_leases: StaleLeases::Ended,
            verified_at: Duration::ZERO,
            last_answer_at: Duration::ZERO,
            unresponsive: false,
            silent_since: None,
            last_start_at: Duration::ZERO,
            withheld_until: Duration::ZERO,
            suspect: None,
            crash_noted: false,
            renewal: None,
            next_renewal_at: Duration::ZERO,
            lists_wanted: false,
            processed_end: 0,
            acknowledged_end: 0,
            unacknowledged: VecDeque::new(),
            used: Resources::ZERO,
            runs: BTreeSet::new(),
            health: Health::default(),
            slowness: 1.0,
            cold_until: Duration::ZERO,
            unhealthy_until: Duration::ZERO,
        }
    }

    /// Fencing token for orders in an epoch. It grows with each incarnation, so
    /// that a delayed order for an earlier incarnation is rejected by a later one.
    pub(crate) fn fencing_token(&self, epoch: Epoch) -> Epoch {
        epoch * TOKENS_PER_EPOCH + self.token_number.min(TOKENS_PER_EPOCH - 1)
    }

    /// Notes that a renewal which acknowledges ends is being sent.
    pub(crate) fn note_acknowledgement(&mut self) {
        self.acknowledgement_pending = true;
    }

    /// Raises the fencing token above that of renewals whose acknowledgement may still
    /// be executed. An incarnation that this owner does not know yet and that executes
    /// the next start would otherwise drop its end by an acknowledgement that was
    /// meant for its predecessor.
    pub(crate) fn supersede_acknowledgements(&mut self) {
        if std::mem::take(&mut self.acknowledgement_pending) {
            self.token_number += 1;
        }
    }

    /// Makes a renewal due that asks for the lists at once. A renewal in flight may be
    /// held by the backend server until a run ends, so its response is not waited for
    /// and will be ignored.
    pub(crate) fn request_lists(&mut self, now: Duration) {
        self.lists_wanted = true;
        self.renewal = None;
        self.next_renewal_at = now;
    }

    /// True when the registry has had no entry for it for so long that it has left.
    pub(crate) fn is_gone(&self, timing: &Timing, now: Duration) -> bool {
        let absent = |at| now >= at + timing.registry_absence;
        !self.listed && self.unlisted_at.is_some_and(absent)
    }

    /// Discovers an incarnation again that was given up. The response to a renewal that
    /// is still in flight is not waited for, since the roster does not list the
    /// incarnation any more.
    pub(crate) fn rediscover(&mut self, now: Duration) {
        self.state = ServerState::Discovered;
        self.renewal = None;
        self.next_renewal_at = now;
    }

    /// Resources that runs may use: a successor must know what may run here, so room that
    /// the stored roster does not show is not used yet.
    fn room(&self) -> Resources {
        self.listing.capacity.min(self.stored_capacity)
    }

    /// Resources that are not committed to any run.
    pub(crate) fn free(&self) -> Resources {
        self.room().minus(self.used)
    }

    /// True when the runs here have more resources committed than there is room for, since
    /// the capacity has shrunk.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.fits(&self.room())
    }

    /// Notes a change of the capacity. Returns true if the roster has to be written.
    pub(crate) fn resized(&mut self, now: Duration) -> bool {
        self.resized_at = now;
        let grown = !self.listing.capacity.fits(&self.peak_capacity);
        self.peak_capacity = self.peak_capacity.max(self.listing.capacity);
        grown
    }

    /// True when the response to an order that was sent at `sent_at` shows an earlier clock
    /// than this incarnation had then, so that another one has sent it.
    pub(crate) fn is_clock_reset(&self, clock: u64, sent_at: Duration, timing: &Timing) -> bool {
        let earlier = |(known, at): (u64, Duration)| {
            let since_sent = at.saturating_sub(sent_at).div_f64(timing.min_clock_rate);
            clock + (since_sent.as_millis() as u64) < known
        };
        self.clock.is_some_and(earlier)
    }

    /// Records the clock reading of a response that arrived at `now`.
    pub(crate) fn observe_clock(&mut self, clock: u64, now: Duration) {
        self.last_answer_at = now;
        // Responses may arrive out of order; an older reading is ignored.
        let newer = self.clock.is_none_or(|(known, _)| clock >= known);
        if newer {
            self.clock = Some((clock, now));
        }
    }

    /// Local time by which all leases there have certainly expired unless they are renewed:
    /// those that this owner ordered, and those for orders to earlier incarnations.
    pub(crate) fn granted_until(&self, timing: &Timing) -> Duration {
        let known = self.leases_expire_at.max(self.stale_leases.end(timing));
        match self.doubted_at {
            // The next incarnation may have executed orders to this one.
            Some(at) => known.max(StaleLeases::possible(timing, at).end(timing)),
            None => known,
        }
    }

    /// End of a lease that begins now, on the backend server's clock; `None` while
    /// that clock is unknown.
    pub(crate) fn new_lease_end(&self, timing: &Timing, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let length = match self.listing.draining {
            true => timing.draining_lease,
            false => timing.lease,
        };
        Some(clock + (now.saturating_sub(at) + length).as_millis() as u64)
    }

    /// Records that a lease up to `lease_end` is being sent.
    pub(crate) fn record_lease(&mut self, lease_end: u64, timing: &Timing) {
        self.max_lease_end = self.max_lease_end.max(lease_end);
        let Some((clock, at)) = self.clock else {
            return;
        };
        let left = Duration::from_millis(self.max_lease_end.saturating_sub(clock));
        // Its clock may run slower than the local one.
        let bound = at + left.div_f64(timing.min_clock_rate);
        self.leases_expire_at = self.leases_expire_at.max(bound);
    }

    /// Updates the slowness with a completed task that took `ratio` times the mean
    /// run time of its image.
    pub(crate) fn record_relative_time(&mut self, ratio: f64) {
        let ratio = ratio.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        self.slowness += SLOWNESS_EWMA_WEIGHT * (ratio - self.slowness);
    }

    /// Expected run time of a task relative to the mean of its image.
    pub(crate) fn relative_runtime(&self, now: Duration) -> f64 {
        match now < self.cold_until {
            true => self.slowness.max(COLD_SLOWNESS),
            false => self.slowness,
        }
    }

    /// True when new runs may be placed on it.
    pub(crate) fn accepts_work(&self, timing: &Timing, now: Duration) -> bool {
        self.state == ServerState::Held
            && self.listed
            && !self.listing.draining
            && !self.unresponsive
            && now < self.last_answer_at + timing.server_timeout
            && now >= self.unhealthy_until
            && self
                .health
                .accepts_tasks(ms(now), Some(ms(self.last_start_at)))
    }
}

/// All incarnations seen in this term.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    /// The newest incarnation of each backend server id.
    current: HashMap<Name, ServerIx>,
}

impl Fleet {
    /// Returns the incarnation with an index, which must come from this fleet.
    pub(crate) fn get(&self, ix: ServerIx) -> &Server {
        &self.servers[ix as usize]
    }

    /// Returns the incarnation with an index, which must come from this fleet.
    pub(crate) fn get_mut(&mut self, ix: ServerIx) -> &mut Server {
        &mut self.servers[ix as usize]
    }

    /// Index of the current incarnation of a backend server.
    pub(crate) fn find(&self, id: &Name) -> Option<ServerIx> {
        self.current.get(id).copied()
    }

    /// Adds an incarnation, which becomes the current one of its id.
    pub(crate) fn add(&mut self, listing: Listing, listed: bool) -> ServerIx {
        let ix = self.servers.len() as ServerIx;
        self.current.insert(listing.id.clone(), ix);
        self.servers.push(Server::new(listing, listed));
        ix
    }

    /// Allows the ends to be acknowledged whose effects `is_written` says are
    /// committed.
    pub(crate) fn acknowledge<F>(&mut self, is_written: F)
    where
        F: Fn(PartitionId, Change) -> bool,
    {
        for server in &mut self.servers {
            while let Some(end) = server
                .unacknowledged
                .pop_front_if(|end| is_written(end.partition, end.change))
            {
                server.acknowledged_end = end.number;
            }
        }
    }

    /// Indices of the incarnations that were neither given up nor have terminated.
    pub(crate) fn live(&self) -> impl Iterator<Item = ServerIx> + '_ {
        let all = self.servers.iter().enumerate();
        all.filter(|(_, server)| server.state.is_live())
            .map(|(ix, _)| ix as ServerIx)
    }
}
