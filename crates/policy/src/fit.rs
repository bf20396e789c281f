//! Choice of a backend server for one task.
//!
//! Tasks on accelerators are packed, so that whole backend servers stay free
//! for large gangs. Other tasks are spread, since tasks that share a backend
//! server slow each other down.
//!
//! Invariant: a backend server on which the task does not fit is never chosen.

use model::Resources;

/// A backend server as seen by one task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Site {
    /// Free resources.
    pub free: Resources,
    /// Resources in all.
    pub capacity: Resources,
    /// Run time there relative to the fastest; 1 when not known.
    pub slowness: f64,
    /// Factor for distance from the data or from the rest of the gang.
    pub distance: f64,
    /// Long-running tasks that serve there.
    pub serving: u32,
    /// Best-effort tasks there.
    pub filling: u32,
    /// The task failed there before.
    pub avoid: bool,
}

/// What kind of task looks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Runs to its end.
    Plain,
    /// Serves users until it is stopped.
    Serving,
    /// Runs on processors that others leave.
    Filling,
}

/// Cost that outweighs any load: the place is a last resort.
const LAST_RESORT: f64 = 100.0;
/// Cost of each task of the kind that disturbs or is disturbed.
const DISTURBANCE: f64 = 3.0;
/// Weight of load against run time: a full backend server costs as much as
/// one that is slower by this factor.
const LOAD_WEIGHT: f64 = 0.5;

/// Cost of running a task at a site, lower is better; `None` when it does not
/// fit.
#[must_use]
pub fn cost(each: &Resources, kind: Kind, site: &Site) -> Option<f64> {
    if !each.fits(&site.free) {
        return None;
    }
    let after = site.free.minus(*each);
    let left = |free: u32, capacity: u32| match capacity {
        0 => 0.0,
        _ => f64::from(free) / f64::from(capacity),
    };
    let cpu_left = left(after.millicpus, site.capacity.millicpus);
    let load = match each.accelerators {
        0 => 1.0 - cpu_left,
        _ => left(after.accelerators, site.capacity.accelerators) + 0.1 * cpu_left,
    };
    // Plain work keeps off accelerators when it can.
    let spared = match (each.accelerators, site.capacity.accelerators) {
        (0, 1..) => 1.0,
        _ => 0.0,
    };
    let disturbed = match kind {
        Kind::Plain => 0,
        Kind::Serving => site.filling,
        Kind::Filling => site.serving,
    };
    let time = site.slowness.max(0.1) * site.distance.max(1.0);
    let avoided = if site.avoid { LAST_RESORT } else { 0.0 };
    Some(time + LOAD_WEIGHT * load + spared + DISTURBANCE * f64::from(disturbed) + avoided)
}
