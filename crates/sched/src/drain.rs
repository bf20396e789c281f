//! Graceful shutdown: releases ownership, then waits until callers use
//! another entry VM.
//!
//! Invariant: no order is sent after the release of ownership was sent.

use std::time::Duration;

use model::{Condition, Transaction, Write};

use crate::event::Effect;
use crate::node::{CELL_RETRY_DELAY, Node};
use crate::notice::Notice;
use crate::partition::CELL_PARTITION;
use crate::rows;

/// Minimum time between readiness turning false and process exit, so that the
/// load balancer notices.
const DRAIN_GRACE: Duration = Duration::from_millis(2_500);

/// How long an owner that shuts down waits for an unavailable table service.
/// Together with `DRAIN_GRACE` it stays below the time that the platform grants a
/// stopping process.
const STORE_OUTAGE_TIMEOUT: Duration = Duration::from_secs(3);

impl Node {
    /// Starts a graceful shutdown.
    pub(crate) fn shutdown(&mut self) {
        if self.draining_since.is_some() {
            return;
        }
        self.draining_since = Some(self.time.now);
        self.log(Notice::ShuttingDown);
    }

    /// Advances a shutdown: releases ownership once all writes are applied or
    /// waiting for them timed out, and exits once no calls are open and the grace
    /// period is over.
    pub(crate) fn tick_drain(&mut self) {
        let Some(since) = self.draining_since.filter(|_| !self.exited) else {
            return;
        };
        let settled = self
            .owner
            .as_ref()
            .is_none_or(|owner| owner.commits.is_idle());
        // No other VM can take over while the table service is unavailable.
        let store_unavailable =
            self.time.now >= self.term.confirmed_at + self.settings.timing.handover_after;
        let timeout = if store_unavailable {
            STORE_OUTAGE_TIMEOUT
        } else {
            CELL_RETRY_DELAY
        };
        let timed_out = self.time.now >= since + timeout;
        let ready = (settled && !store_unavailable) || timed_out;
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

    /// Marks the owner row as released, and drops the owner's state.
    pub(crate) fn send_release(&mut self) {
        let mut owner = self.term.owner.clone();
        owner.released = true;
        let call = self.next_call_id();
        self.release_call = Some(call);
        let transaction = Transaction {
            conditions: vec![Condition {
                key: rows::OWNER_KEY.into(),
                version: self.term.owner_version,
            }],
            writes: vec![Write {
                key: rows::OWNER_KEY.into(),
                value: Some(rows::encode(&owner)),
            }],
        };
        // No order may be sent after this write, so the state is dropped first.
        self.owner = None;
        self.out.push(Effect::WatchServers(false));
        self.out.push(Effect::Commit {
            call,
            partition: CELL_PARTITION,
            transaction,
            timeout: None,
        });
        let epoch = self.term.epoch();
        self.log(Notice::Released { epoch });
    }

    pub(crate) fn release_answered(&mut self) {
        self.release_call = None;
        self.become_follower();
    }
}
