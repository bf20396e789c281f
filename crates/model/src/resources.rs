//! Resource vectors of workers, tasks, allotments and limits.
//!
//! Invariant: arithmetic saturates and never wraps, so an excess subtraction
//! yields zero and not a huge amount.

use serde::{Deserialize, Serialize};

/// A quantity of each schedulable resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    #[serde(default)]
    pub millicpus: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Executor slots; each running request occupies one.
    #[serde(default)]
    pub slots: u32,
}

impl Resources {
    /// Number of resource dimensions.
    pub const DIMENSIONS: usize = 4;

    /// The zero vector.
    pub const ZERO: Self = Self::of(0, 0, 0, 0);

    /// The maximum of each dimension; exceeds the capacity of any fleet.
    pub const UNLIMITED: Self = Self::of(u32::MAX, u32::MAX, u32::MAX, u32::MAX);

    /// Creates a vector from its four dimensions.
    #[must_use]
    pub const fn of(millicpus: u32, memory_mib: u32, accelerators: u32, slots: u32) -> Self {
        Self {
            millicpus,
            memory_mib,
            accelerators,
            slots,
        }
    }

    /// Returns the dimensions in the parameter order of `of`.
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

    /// Returns true when no dimension exceeds that of `available`.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.millicpus <= available.millicpus
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
            && self.slots <= available.slots
    }

    /// Adds per dimension, saturating at the maximum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// Subtracts per dimension, saturating at zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// Returns the maximum per dimension.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns the minimum per dimension.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u32::min)
    }

    /// Multiplies each dimension by `n`, saturating at the maximum.
    #[must_use]
    pub fn times(self, n: u32) -> Self {
        self.zip(Self::ZERO, |a, _| a.saturating_mul(n))
    }

    /// Returns how many times these resources fit into `capacity`; `u32::MAX` if they are
    /// zero.
    #[must_use]
    pub fn count_in(&self, capacity: &Self) -> u32 {
        let dimensions = self.dims().into_iter().zip(capacity.dims());
        let needed = dimensions.filter(|(each, _)| *each > 0);
        needed.map(|(each, c)| c / each).min().unwrap_or(u32::MAX)
    }

    /// Creates a vector that is zero but for one dimension, by its position in `dims`.
    #[must_use]
    pub fn along(dimension: usize, amount: u32) -> Self {
        let mut dims = [0; Self::DIMENSIONS];
        dims[dimension] = amount;
        Self::from_dims(dims)
    }

    /// Divides each dimension by `n`, rounding down. Zero for `n` is treated as one.
    #[must_use]
    pub fn divided_by(self, n: u32) -> Self {
        self.zip(Self::ZERO, |a, _| a / n.max(1))
    }

    /// Returns true when every dimension is zero.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Returns the largest fraction of `total` over the dimensions in which `total`
    /// is not zero.
    ///
    /// This is the dominant share of Ghodsi et al., "Dominant Resource Fairness", 2011.
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
