//! An in-memory executor with a fixed number of slots that echoes requests.
//!
//! Invariant: at most `slots` requests run at once; when no slot is free,
//! `try_acquire_slot` returns false and the caller reports "not run".

use bytes::Bytes;
use model::Name;

/// Slot accounting of an executor.
#[derive(Debug)]
pub struct Executor {
    /// Name of the VM that hosts the executor.
    pub name: Name,
    slots: u32,
    busy: u32,
    /// Largest number of requests that ran concurrently; at most `slots`.
    pub peak_busy: u32,
}

impl Executor {
    /// Creates an executor with `slots` free slots.
    #[must_use]
    pub fn new(name: &Name, slots: u32) -> Self {
        Self {
            name: name.clone(),
            slots,
            busy: 0,
            peak_busy: 0,
        }
    }

    /// Acquires a slot; returns false if all slots are in use.
    pub fn try_acquire_slot(&mut self) -> bool {
        let available = self.busy < self.slots;
        if available {
            self.busy += 1;
            self.peak_busy = self.peak_busy.max(self.busy);
        }
        available
    }

    /// Releases a slot acquired with `try_acquire_slot`.
    pub fn release_slot(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }
}

/// Response body for a request body: `ok ` followed by the request body.
#[must_use]
pub fn echo_response(body: &Bytes) -> Bytes {
    let mut response = Vec::with_capacity(body.len() + 3);
    response.extend_from_slice(b"ok ");
    response.extend_from_slice(body);
    Bytes::from(response)
}
