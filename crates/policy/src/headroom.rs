//! Part of a team's limit that is kept for its urgent work.
//!
//! The pattern that this answers: a wide step of a team starts as many tasks as
//! the team's limit allows, and the short work that the same team sends meanwhile
//! waits for seconds although the backend servers have room. Short work needs a
//! small part of the limit, and the wide step is hardly longer without that part.
//!
//! Invariant: the bound is never above the limit, and never nothing where the
//! limit is something.

use model::Resources;

/// One part in this many of the limit is kept: more than short work of a team
/// uses on a usual day.
const URGENT_RESERVE_DIVISOR: u32 = 4;

/// What a team's other work may bring its use to, given what its urgent work
/// uses. Zeros of `limit` mean "no limit" and stay.
#[must_use]
pub fn non_urgent_limit(limit: Resources, urgent: Resources) -> Resources {
    let reserved = limit.split(URGENT_RESERVE_DIVISOR).minus(urgent);
    limit.minus(reserved)
}

/// True when `whole` could ever run within `bound`.
#[must_use]
pub fn fits_within(limit: &Resources, demand: &Resources) -> bool {
    let pairs = limit.dims().into_iter().zip(demand.dims());
    pairs
        .into_iter()
        .all(|(limit, demand)| limit == 0 || demand <= limit)
}
