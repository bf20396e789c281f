//! Part of a team's limit that is reserved for its urgent work.
//!
//! A wide step starts as many tasks as the limit of its team allows. Without a
//! reserve, short work that the same team submits meanwhile waits for seconds
//! although the backend servers have room. Short work needs a small part of the
//! limit, and the wide step takes hardly longer without that part.
//!
//! Invariant: the reduced limit never exceeds the limit, and is nonzero in every
//! dimension in which the limit is nonzero.

use model::Resources;

/// Divisor of the limit that gives the reserve. A quarter is more than the short
/// work of a team uses on a usual day.
const URGENT_RESERVE_DIVISOR: u32 = 4;

/// Highest use up to which a team's non-urgent work may start, given the use of
/// its urgent work. A zero dimension of `limit` means "no limit" and stays zero.
#[must_use]
pub fn non_urgent_limit(limit: Resources, urgent: Resources) -> Resources {
    let reserved = limit.divided_by(URGENT_RESERVE_DIVISOR).minus(urgent);
    limit.minus(reserved)
}

/// Returns true if `demand` could ever run within `limit`. A zero dimension of
/// `limit` means "no limit".
#[must_use]
pub fn fits_within(limit: &Resources, demand: &Resources) -> bool {
    let pairs = limit.dims().into_iter().zip(demand.dims());
    pairs
        .into_iter()
        .all(|(limit, demand)| limit == 0 || demand <= limit)
}
