//! Release of ownership, by a graceful shutdown or after the term expired, and the
//! wait until callers use another entry VM.
//!
//! Invariant: no order is sent after the release of ownership was sent.

use std::time::Duration;

use model::{Condition, Epoch, Transaction};

use crate::commit::put;
use crate::event::{Effect, StoreError, StoreResponse};
use crate::node::{CELL_RETRY_DELAY, Node};
use crate::notice::Notice;
use crate::partition::CELL_PARTITION;
use crate::rows::{self, LastOrders};
use crate::term::Role;

/// Minimum time between readiness turning false and process exit, so that the
/// load balancer notices.
const DRAIN_GRACE: Duration = Duration::from_millis(2_500);

/// How long an owner that shuts down waits for an unavailable table service.
/// Together with `DRAIN_GRACE` it stays below the time that the platform grants a
/// stopping process.
const STORE_OUTAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// A term of this VM that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedTerm {
    pub(crate) epoch: Epoch,
    /// When no order of this term or an earlier one can be in effect any more.
    pub(crate) orders_end_at: Duration,
    /// True when all runs that may exist are recorded.
    pub(crate) recorded: bool,
}

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

    /// Drops the owner's state, so that no further order is sent in its term.
    pub(crate) fn end_term(&mut self) {
        if let Some(mut owner) = self.owner.take() {
            self.ended_term = owner.last_orders(self.term.epoch());
            self.out.push(Effect::WatchServers(false));
        }
    }

    /// Releases ownership if this VM's term has ended and, by the rows just read, no
    /// other VM has claimed since. A successor then need neither wait for this VM nor
    /// assume that it still sends orders.
    pub(crate) fn maybe_release_ended_term(&mut self) {
        let owner = &self.term.owner;
        let is_own = owner.process == self.settings.process && !owner.released;
        let ended = self
            .ended_term
            .is_some_and(|ended| ended.epoch == owner.epoch);
        let due = self.release_call.is_none() && self.time.now >= self.next_release_at;
        if is_own && ended && due && self.term.role == Role::Following {
            self.send_release();
        }
    }

    /// Drops the owner's state, and marks the owner row as released.
    pub(crate) fn send_release(&mut self) {
        // No order may be sent after this write, so the state is dropped first.
        self.end_term();
        let mut owner = self.term.owner.clone();
        owner.released = true;
        let mut writes = vec![put(rows::OWNER_KEY.into(), rows::encode(&owner))];
        if let Some(ended) = self.ended_term {
            let last_orders = LastOrders {
                epoch: ended.epoch,
                in_effect_for: ended.orders_end_at.saturating_sub(self.time.now),
                recorded: ended.recorded,
            };
            let row = rows::encode(&last_orders);
            writes.push(put(rows::LAST_ORDERS_KEY.into(), row));
        }
        let call = self.next_call_id();
        self.release_call = Some(call);
        let transaction = Transaction {
            conditions: vec![Condition {
                key: rows::OWNER_KEY.into(),
                version: self.term.owner_version,
            }],
            writes,
        };
        self.out.push(Effect::Commit {
            call,
            partition: CELL_PARTITION,
            transaction,
            timeout: None,
        });
        let epoch = self.term.epoch();
        self.log(Notice::Released { epoch });
    }

    pub(crate) fn release_answered(&mut self, result: &Result<StoreResponse, StoreError>) {
        self.release_call = None;
        if result.is_err() {
            self.next_release_at = self.time.now + CELL_RETRY_DELAY;
        }
        self.become_follower();
    }
}
