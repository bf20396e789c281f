//! Resource vectors of workers, tasks, shares and limits.
//!
//! Invariant: subtraction never wraps; callers see a saturated zero or a
//! `None`, never a huge amount.

use serde::{Deserialize, Serialize};

/// An amount of each schedulable resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor core.
    #[serde(default)]
    pub millicpus: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Executor slots, one a running request.
    #[serde(default)]
    pub slots: u32,
}

impl Resources {
    /// Number of resource dimensions.
    pub const DIMENSIONS: usize = 4;

    /// No resources.
    pub const ZERO: Self = Self::of(0, 0, 0, 0);

    /// More of everything than any fleet has.
    pub const UNLIMITED: Self = Self::of(u32::MAX, u32::MAX, u32::MAX, u32::MAX);

    /// Builds a vector from its four dimensions.
    #[must_use]
    pub const fn of(millicpus: u32, memory_mib: u32, accelerators: u32, slots: u32) -> Self {
        Self {
            millicpus,
            memory_mib,
            accelerators,
            slots,
        }
    }

    /// The dimensions in a fixed order.
    #[must_use]
    pub const fn dims(&self) -> [u32; Self::DIMENSIONS] {
        [
            self.millicpus,
            self.memory_mib,
            self.accelerators,
            self.slots,
        ]
    }

    const fn from_dims(d: [u32; Self::DIMENSIONS]) -> Self {
        Self::of(d[0], d[1], d[2], d[3])
    }

    fn zip<F>(self, other: Self, f: F) -> Self
    where
        F: Fn(u32, u32) -> u32,
    {
        let (a, b) = (self.dims(), other.dims());
        Self::from_dims([f(a[0], b[0]), f(a[1], b[1]), f(a[2], b[2]), f(a[3], b[3])])
    }

    /// True when every dimension is at most that of `room`.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.millicpus <= available.millicpus
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
            && self.slots <= available.slots
    }

    /// Sum, saturating at the maximum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Difference, saturating at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// Largest of each dimension.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Smallest of each dimension.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u32::min)
    }

    /// The vector multiplied by `n`, saturating.
    #[must_use]
    pub fn times(self, n: u32) -> Self {
        self.zip(Self::ZERO, |a, _| a.saturating_mul(n))
    }

    /// The vector divided by `n`, rounded down; `n` of zero counts as one.
    #[must_use]
    pub fn divided_by(self, n: u32) -> Self {
        self.zip(Self::ZERO, |a, _| a / n.max(1))
    }

    /// True when every dimension is zero.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Largest fraction of `total` over all dimensions that `total` has.
    ///
    /// Dominant share as in Ghodsi et al., "Dominant Resource Fairness", 2011.
    #[must_use]
    pub fn dominant_share(&self, total: &Self) -> f64 {
        let (a, t) = (self.dims(), total.dims());
        let mut share = 0.0_f64;
        for i in 0..Self::DIMENSIONS {
            if t[i] > 0 {
                share = share.max(f64::from(a[i]) / f64::from(t[i]));
            }
        }
        share
    }
}
