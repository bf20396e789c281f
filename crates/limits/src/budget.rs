//! Budget of bytes.
//!
//! Invariant: the reservations of a budget never exceed its size together.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that a server may hold for its clients.
#[derive(Clone, Debug)]
pub struct Budget {
    free: Arc<Semaphore>,
    /// Bytes that only known addresses may use.
    kept: usize,
}

impl Budget {
    /// Creates a budget of `bytes`, of which a quarter is kept for addresses from which
    /// requests were served before.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        let bytes = bytes.min(u32::MAX as usize);
        Self {
            free: Arc::new(Semaphore::new(bytes)),
            kept: bytes / 4,
        }
    }

    /// Number of bytes that are not reserved.
    #[must_use]
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }

    /// Reserves `bytes`; `None` if that many are not free. The part that is kept for
    /// known addresses is free for them only.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize, known: bool) -> Option<Reservation> {
        let kept = if known { 0 } else { self.kept };
        if self.free() < bytes.saturating_add(kept) {
            return None;
        }
        let count = u32::try_from(bytes).ok()?;
        let permit = self.free.clone().try_acquire_many_owned(count).ok()?;
        Some(Reservation(Some(permit)))
    }
}

/// Bytes reserved from a budget, which get free when this is dropped.
#[derive(Debug, Default)]
pub struct Reservation(Option<OwnedSemaphorePermit>);

impl Reservation {
    /// Number of bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Adds the bytes of another reservation of the same budget.
    pub fn add(&mut self, other: Self) {
        match (&mut self.0, other.0) {
            (Some(permit), Some(other)) => permit.merge(other),
            (empty @ None, other) => *empty = other,
            (Some(_), None) => {}
        }
    }

    /// Splits off what exceeds `bytes`.
    #[must_use]
    pub fn split_above(&mut self, bytes: usize) -> Self {
        let excess = self.bytes().saturating_sub(bytes);
        Self(self.0.as_mut().and_then(|permit| permit.split(excess)))
    }
}
