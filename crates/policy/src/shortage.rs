//! What a pool of backend servers is known to have no room for.
//!
//! During a placement pass room only shrinks. A need that did not fit thus keeps all
//! needs out that are at least as large, for the rest of the pass, and says nothing of
//! smaller ones.
//!
//! Invariant: a need is short only if the pool has no room for it.

use model::{Name, Resources};

/// What has to fit at the same time to start something of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// Resources of each task.
    pub each: Resources,
    /// Number of tasks that start together: all of a gang, otherwise one.
    pub tasks: u32,
    /// Label that backend servers must have, if any.
    pub label: Option<Name>,
}

impl Need {
    /// True if whatever has room for `other` has room for this need.
    fn is_within(&self, other: &Self) -> bool {
        let label = self.label.is_none() || self.label == other.label;
        label && self.tasks <= other.tasks && self.each.fits(&other.each)
    }
}

/// Needs for which a pool had no room.
#[derive(Clone, Debug, Default)]
pub struct Shortages(Vec<Need>);

impl Shortages {
    /// Returns true if no need is known to lack room.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns true if the pool is known to have no room for a need.
    #[must_use]
    pub fn covers(&self, need: &Need) -> bool {
        self.0.iter().any(|short| short.is_within(need))
    }

    /// Notes what the pool is short of, if it has no room for a need. `free` are the free
    /// resources of all backend servers, and whether they have the label of the need.
    pub fn examine<I>(&mut self, need: &Need, free: I)
    where
        I: Iterator<Item = (Resources, bool)> + Clone,
    {
        let of_any_label = Need {
            label: None,
            ..need.clone()
        };
        let all = free.clone().map(|(free, _)| free);
        let labelled = free.filter(|(_, has_label)| *has_label || need.label.is_none());
        let short = shortage(of_any_label, all)
            .or_else(|| shortage(need.clone(), labelled.map(|(free, _)| free)));
        let Some(short) = short.filter(|short| !self.covers(short)) else {
            return;
        };
        self.0.retain(|known| !short.is_within(known));
        self.0.push(short);
    }
}

/// The smallest need known to lack room if `need` does: a single dimension of which no
/// backend server has enough, or the need as a whole.
fn shortage<I>(need: Need, free: I) -> Option<Need>
where
    I: Iterator<Item = Resources>,
{
    let mut room = 0_u32;
    let mut most = Resources::ZERO;
    for free in free {
        room = room.saturating_add(need.each.count_in(&free));
        if room >= need.tasks {
            return None;
        }
        most = most.max(free);
    }
    let dimensions = need.each.dims().into_iter().zip(most.dims()).enumerate();
    let mut lacking = dimensions.filter(|(_, (each, most))| each > most);
    Some(match lacking.next() {
        Some((dimension, (_, most))) => Need {
            each: Resources::along(dimension, most + 1),
            tasks: 1,
            ..need
        },
        None => need,
    })
}
