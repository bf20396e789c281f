//! Which backend servers a query to an external admission policy names.
//!
//! A policy takes longer the more servers a query names, and queries compete for
//! the VMs that send them. A query therefore names as many servers as are likely
//! to yield enough permitted room, those with the most room first. Steps of equal
//! need name different servers, so that a large fleet is used evenly. For tasks that
//! are packed, the fullest servers with room are named first instead: only what the
//! query names can be chosen, and whole servers have to stay free for large tasks.
//!
//! Invariant: the result depends only on the arguments. A server with room is
//! named before any without, so a step never waits for servers that are full while
//! the policy was not asked about others.

use std::cmp::Reverse;

/// Room that a query should yield, as a multiple of the room needed. Other steps
/// compete for the same servers until the policy has decided.
const ROOM_FACTOR: f64 = 2.0;
/// Number of permitted servers that a query should yield, so that a few servers
/// that become unavailable don't block the step.
const MIN_YIELD: f64 = 4.0;
/// Part of a server's capacity that counts as room while it is in use: tasks end
/// while the policy decides.
const SOON_FREE_SHARE: f64 = 0.25;
/// Grant rate assumed at least; bounds the length of the list while a policy
/// allows almost nothing.
const MIN_GRANT_RATE: f64 = 0.05;
/// Weight of the newest decision in the moving average of the grant rate.
const GRANT_RATE_EWMA_WEIGHT: f64 = 0.05;
/// Grant rate assumed before the first decision.
const INITIAL_GRANT_RATE: f64 = 0.5;

/// Which of the servers with room a query names first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Those with the most room, for tasks that slow each other down.
    Emptiest,
    /// Those with the least room, for accelerated tasks.
    Fullest,
}

/// A backend server that a query may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prospect {
    /// Index of the server.
    pub server: u32,
    /// Number of further tasks of the step that may start on it now.
    pub room: u32,
    /// Number of tasks of the step that may run on it when nothing else does.
    pub capacity: u32,
    /// The policy has allowed the server; its ticket may have expired.
    pub allowed: bool,
    /// In the rack where the step runs fastest.
    pub near: bool,
}

impl Prospect {
    /// Tasks that are expected to fit when the policy has decided.
    fn expected_room(&self) -> f64 {
        f64::from(self.room).max(f64::from(self.capacity) * SOON_FREE_SHARE)
    }
}

/// Share of the named servers that a policy allows, as a moving average.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantRate(f64);

impl Default for GrantRate {
    fn default() -> Self {
        Self(INITIAL_GRANT_RATE)
    }
}

impl GrantRate {
    /// Records a decision about servers that the policy had not decided on before.
    pub fn record(&mut self, granted: usize, named: usize) {
        if named > 0 {
            let sample = granted.min(named) as f64 / named as f64;
            self.0 += GRANT_RATE_EWMA_WEIGHT * (sample - self.0);
        }
    }

    fn get(self) -> f64 {
        self.0.max(MIN_GRANT_RATE)
    }
}

/// Chooses at most `limit` servers to name in a query about a step with `needed`
/// tasks to start. `salt` differs between steps.
#[must_use]
pub fn shortlist(
    mut prospects: Vec<Prospect>,
    needed: u32,
    preference: Preference,
    grant_rate: GrantRate,
    salt: u64,
    limit: usize,
) -> Vec<u32> {
    prospects.sort_by_cached_key(|prospect| {
        let room = match preference {
            Preference::Emptiest => u32::MAX - prospect.room,
            Preference::Fullest => prospect.room,
        };
        let order = mix(salt ^ u64::from(prospect.server));
        (
            Reverse(prospect.room > 0),
            Reverse(prospect.allowed),
            Reverse(prospect.near),
            room,
            Reverse(prospect.capacity),
            order,
        )
    });
    let (mut room, mut servers) = (0.0, 0.0);
    let mut chosen = Vec::new();
    for prospect in prospects {
        let enough = room >= f64::from(needed) * ROOM_FACTOR && servers >= MIN_YIELD;
        if enough || chosen.len() >= limit {
            break;
        }
        let rate = match prospect.allowed {
            true => 1.0,
            false => grant_rate.get(),
        };
        room += rate * prospect.expected_room();
        servers += rate;
        chosen.push(prospect.server);
    }
    chosen
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
