//! A planned stop: hands the ownership over, then waits for callers to go.
//!
//! Invariant: no order is sent once the release of the ownership is.

use std::time::Duration;

use model::{Condition, Transaction, Write};

use crate::event::Effect;
use crate::node::{CELL_RETRY_DELAY, Node};
use crate::notice::Notice;
use crate::rows;

/// Time between readiness turning false and the end of the process, so that
/// the balancer has noticed.
const DRAIN_GRACE: Duration = Duration::from_millis(2_500);

/// How long a stopping owner goes on while the table service is away; with the
/// grace above less than the time that the platform gives a stopping process.
const STORE_PATIENCE: Duration = Duration::from_secs(3);

impl Node {
    pub(crate) fn shutdown(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.time.now);
        self.log(Notice::ShuttingDown);
    }

    /// Hands the ownership over, then waits for callers to go elsewhere.
    pub(crate) fn tick_drain(&mut self) {
        let Some(since) = self.draining_since.filter(|_| !self.exited) else {
            return;
        };
        let settled = self
            .owner
            .as_ref()
            .is_none_or(|owner| owner.commits.is_idle());
        // Nobody can take over while the table service is away.
        let unheard = self.time.now >= self.term.confirmed_at + self.settings.timing.handover_after;
        let patience = if unheard {
            STORE_PATIENCE
        } else {
            CELL_RETRY_DELAY
        };
        let waited = self.time.now >= since + patience;
        let ready = (settled && !unheard) || waited;
        if self.term.is_owning() && self.release_call.is_none() && ready {
            self.send_release();
        }
        let idle = self.intake.is_idle() && !self.term.is_owning();
        if idle && self.time.now >= since + DRAIN_GRACE {
            self.exited = true;
            self.log(Notice::Stopped);
            self.out.push(Effect::Exit);
        }
    }

    pub(crate) fn send_release(&mut self) {
        let mut owner = self.term.owner.clone();
        owner.released = true;
        let call = self.next_call_id();
        self.release_call = Some(call);
        let transaction = Transaction {
            conditions: vec![Condition {
                key: rows::OWNER.into(),
                version: self.term.owner_version,
            }],
            writes: vec![Write {
                key: rows::OWNER.into(),
                value: Some(rows::encode(&owner)),
            }],
        };
        // No order may follow the write.
        self.owner = None;
        self.out.push(Effect::WatchServers(false));
        self.out.push(Effect::Commit {
            call,
            transaction,
            limit: None,
        });
        let epoch = self.term.epoch();
        self.log(Notice::Released { epoch });
    }

    pub(crate) fn released(&mut self) {
        self.release_call = None;
        self.reread_cell();
    }
}
