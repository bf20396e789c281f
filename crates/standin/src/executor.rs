//! An executor in memory: slots, and answers that echo the request.
//!
//! Invariant: at most `slots` requests run at once; others are told that they
//! were not run.

use bytes::Bytes;
use model::Name;

/// The executor.
#[derive(Debug)]
pub struct Executor {
    /// Name of its VM.
    pub name: Name,
    slots: u32,
    busy: u32,
    /// Most requests that ever ran at once.
    pub peak_busy: u32,
}

impl Executor {
    /// An idle executor.
    #[must_use]
    pub fn new(name: &Name, slots: u32) -> Self {
        Self {
            name: name.clone(),
            slots,
            busy: 0,
            peak_busy: 0,
        }
    }

    /// Takes a slot; false when there is none.
    pub fn try_acquire_slot(&mut self) -> bool {
        let available = self.busy < self.slots;
        if available {
            self.busy += 1;
            self.peak_busy = self.peak_busy.max(self.busy);
        }
        available
    }

    /// Gives the slot back.
    pub fn release_slot(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }
}

/// The answer to a request body.
#[must_use]
pub fn echo_response(body: &Bytes) -> Bytes {
    let mut answer = Vec::with_capacity(body.len() + 3);
    answer.extend_from_slice(b"ok ");
    answer.extend_from_slice(body);
    Bytes::from(answer)
}
