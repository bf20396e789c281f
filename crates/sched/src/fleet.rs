//! Backend servers by incarnation: what they can run, and what is known of
//! their clocks and leases.
//!
//! Invariant: an index is never given to another incarnation, and `used` is
//! the sum of what the runs placed there hold.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use model::{Epoch, Name, Resources};
use policy::Health;

use crate::event::{CallId, Listing};
use crate::ledger::RunRef;
use crate::settings::Timing;

/// Incarnations of one id that the fencing tokens of one epoch tell apart.
const BIRTHS_PER_EPOCH: u64 = 1_024;
/// Weight of the newest completion in a backend server's slowness.
const SLOWNESS_GAIN: f64 = 0.25;
/// Bound on the slowness that one completion can show.
const MAX_SLOWNESS: f64 = 5.0;

/// Dense index of one incarnation within one term.
pub(crate) type ServerIx = u32;

/// How far a backend server obeys this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Listed; not yet in the roster row, so nothing may be sent to it.
    Found,
    /// In the roster row; has not answered to this owner's epoch.
    Rostered,
    /// Has answered to this owner's epoch.
    Held,
    /// Its incarnation is over.
    Gone,
}

/// A hold under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    pub(crate) call: CallId,
    pub(crate) sent: Duration,
}

/// One incarnation of a backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) listing: Listing,
    /// The registry has an entry of this incarnation.
    pub(crate) listed: bool,
    pub(crate) standing: Standing,
    /// Earlier incarnations of its id that this owner has seen.
    pub(crate) births: u64,
    /// An earlier owner may have given it work.
    pub(crate) inherited: bool,
    /// Its clock in ms, and when it was at least that.
    clock: Option<(u64, Duration)>,
    /// End of the longest lease given, on its clock.
    until: u64,
    /// When everything that runs there is over unless it is renewed.
    pub(crate) lapses_at: Duration,
    /// When the last hold was sent that this incarnation answered.
    pub(crate) verified_at: Duration,
    /// When it last answered.
    pub(crate) heard_at: Duration,
    /// When its silence was reported; `None` while it answers.
    pub(crate) silent: bool,
    pub(crate) hold: Option<Hold>,
    pub(crate) next_hold: Duration,
    /// Number of the last end taken in.
    pub(crate) processed: u64,
    /// Number up to which ends are acknowledged.
    pub(crate) acknowledged: u64,
    pub(crate) used: Resources,
    pub(crate) runs: BTreeSet<RunRef>,
    pub(crate) health: Health,
    /// Run time of tasks here relative to the mean of their image.
    pub(crate) slowness: f64,
    /// Until when it gets nothing because it said that it is not healthy.
    pub(crate) unwell_until: Duration,
}

impl Server {
    fn new(listing: Listing, listed: bool) -> Self {
        Self {
            listing,
            listed,
            standing: Standing::Found,
            births: 0,
            inherited: false,
            clock: None,
            until: 0,
            lapses_at: Duration::ZERO,
            verified_at: Duration::ZERO,
            heard_at: Duration::ZERO,
            silent: false,
            hold: None,
            next_hold: Duration::ZERO,
            processed: 0,
            acknowledged: 0,
            used: Resources::ZERO,
            runs: BTreeSet::new(),
            health: Health::default(),
            slowness: 1.0,
            unwell_until: Duration::ZERO,
        }
    }

    /// Fencing token for orders of an epoch. It grows with each incarnation,
    /// so that what was meant for an earlier one changes nothing when it is
    /// carried out late.
    pub(crate) fn token(&self, epoch: Epoch) -> Epoch {
        epoch * BIRTHS_PER_EPOCH + self.births.min(BIRTHS_PER_EPOCH - 1)
    }

    /// Resources that nothing is committed to.
    pub(crate) fn free(&self) -> Resources {
        self.listing.capacity.minus(self.used)
    }

    /// Takes in its clock from an answer that came at `now`.
    pub(crate) fn set_clock(&mut self, clock: u64, now: Duration) {
        self.heard_at = now;
        // An answer that was overtaken says an older time.
        let newer = self.clock.is_none_or(|(known, _)| clock >= known);
        if newer {
            self.clock = Some((clock, now));
        }
    }

    /// The end of a lease that begins now, on its clock; `None` while its
    /// clock is not known.
    pub(crate) fn lease(&self, timing: &Timing, now: Duration) -> Option<u64> {
        let (clock, at) = self.clock?;
        let length = match self.listing.draining {
            true => timing.draining_lease,
            false => timing.lease,
        };
        Some(clock + (now.saturating_sub(at) + length).as_millis() as u64)
    }

    /// Records that a lease up to `until` was sent.
    pub(crate) fn leased(&mut self, until: u64, timing: &Timing) {
        self.until = self.until.max(until);
        let Some((clock, at)) = self.clock else {
            return;
        };
        let left = Duration::from_millis(self.until.saturating_sub(clock));
        // Its clock may run slower than ours.
        let bound = at + left.div_f64(timing.min_clock_rate);
        self.lapses_at = self.lapses_at.max(bound);
    }

    /// Learns from a completed task that took `ratio` of the mean time.
    pub(crate) fn note_time(&mut self, ratio: f64) {
        let ratio = ratio.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        self.slowness += SLOWNESS_GAIN * (ratio - self.slowness);
    }

    /// True when it may be given work.
    pub(crate) fn takes_work(&self, timing: &Timing, now: Duration) -> bool {
        self.standing == Standing::Held
            && self.listed
            && !self.listing.draining
            && now < self.heard_at + timing.server_timeout
            && now >= self.unwell_until
            && self
                .health
                .takes_work(now.as_millis() as u64, self.runs.len())
    }
}

/// All incarnations known in this term.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    current: HashMap<Name, ServerIx>,
}

impl Fleet {
    /// The server with this index. Indices come from this fleet only.
    pub(crate) fn get(&self, ix: ServerIx) -> &Server {
        &self.servers[ix as usize]
    }

    /// The server with this index. Indices come from this fleet only.
    pub(crate) fn get_mut(&mut self, ix: ServerIx) -> &mut Server {
        &mut self.servers[ix as usize]
    }

    /// The current incarnation of a backend server.
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

    /// Indices of the incarnations that are not over.
    pub(crate) fn live(&self) -> impl Iterator<Item = ServerIx> + '_ {
        let all = self.servers.iter().enumerate();
        all.filter(|(_, server)| server.standing != Standing::Gone)
            .map(|(ix, _)| ix as ServerIx)
    }
}
