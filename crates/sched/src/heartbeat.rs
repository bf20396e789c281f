//! The owner's heartbeats, which keep its term valid, and the availability of the
//! table service that they show.
//!
//! Invariant: a heartbeat is conditional on the version of the owner row. Only
//! heartbeats confirm the term, since writes to other partitions may be applied
//! after a later owner has claimed.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use compact_str::format_compact;
use model::{Condition, Row, Transaction};

use crate::commit::put;
use crate::event::{CallId, Effect, StoreError, StoreResponse};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};
use crate::partition::{CELL_PARTITION, PartitionId};
use crate::rows::{self, Heartbeat};

/// Number of consecutive failed heartbeats after which an owner asks for a
/// successor.
const HANDOVER_HEARTBEATS: u32 = 2;

/// Heartbeats in flight, and what the past ones showed.
#[derive(Debug, Default)]
pub(crate) struct Heartbeats {
    /// Calls in flight, with the time of sending and whether everything was recorded.
    in_flight: HashMap<CallId, (Duration, bool)>,
    /// What the last one that was applied says of the records.
    stored_as_recorded: bool,
    count: u64,
    next_at: Duration,
    /// Heartbeats that failed since the last one that was applied.
    failed: u32,
    /// Partitions whose last write failed.
    failing_partitions: BTreeSet<PartitionId>,
}

impl Heartbeats {
    /// True when a successor would find that the records are complete.
    pub(crate) fn stored_as_recorded(&self) -> bool {
        self.stored_as_recorded
    }
}

/// The condition that this VM is the owner, for writes to the cell's partition.
pub(crate) fn owner_condition(cx: &Cx<'_>) -> Condition {
    Condition {
        key: rows::OWNER_KEY.into(),
        version: cx.term.owner_version,
    }
}

impl Owner {
    /// Sends a heartbeat, if one is due.
    pub(crate) fn send_due_heartbeat(&mut self, cx: &mut Cx<'_>) {
        let interval = cx.settings.timing.heartbeat_interval;
        // The first one replaces the previous owner's last heartbeat, which the
        // recovery has to read. The claim confirms the term for one interval.
        let unread = self.recovery.is_reading_cell();
        let held_back = unread && !self.recovery.has_lasted(interval, cx.now());
        if cx.now() < self.heartbeats.next_at || held_back {
            return;
        }
        self.heartbeats.next_at = cx.now() + interval;
        self.heartbeats.count += 1;
        // Until the jobs are loaded, the previous owner's counts are repeated.
        let pending = match self.recovery.tables_loaded {
            true => self.pending(),
            false => cx.term.heartbeat.pending.clone(),
        };
        let heartbeat = Heartbeat {
            count: self.heartbeats.count,
            clock: cx.term.store_clock(cx.now()),
            // An unknown run of an earlier owner may lack a record too.
            recorded: self.commits.is_all_recorded() && !self.may_have_unknown_runs(),
            pending,
            max_cpu_share: self
                .policy_dispatcher
                .max_helper_cpu_share()
                .max(cx.settings.cpu_share),
        };
        let call = cx.next_call_id();
        let sent = (cx.now(), heartbeat.recorded);
        self.heartbeats.in_flight.insert(call, sent);
        let transaction = Transaction {
            conditions: vec![owner_condition(cx)],
            writes: vec![put(rows::HEARTBEAT_KEY.into(), rows::encode(&heartbeat))],
        };
        cx.term.heartbeat = heartbeat;
        cx.out.push(Effect::Commit {
            call,
            partition: CELL_PARTITION,
            transaction,
            timeout: None,
        });
    }

    /// Handles the response to a heartbeat. Returns false when the call is not one.
    pub(crate) fn heartbeat_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let Some((sent_at, recorded)) = self.heartbeats.in_flight.remove(&call) else {
            return false;
        };
        match result {
            Ok(StoreResponse::Applied { clock, .. }) => {
                cx.term.confirm(sent_at);
                cx.term.observe_store_clock(*clock, cx.now());
                self.heartbeats.failed = 0;
                self.heartbeats.stored_as_recorded = recorded;
                self.place_due = true;
                self.update_store_availability(CELL_PARTITION, None, cx);
            }
            Err(StoreError::Conflict(rows)) => self.verify_ownership(rows, cx),
            Ok(StoreResponse::Rows { .. }) => {}
            Err(error) => {
                self.heartbeats.failed += 1;
                self.update_store_availability(CELL_PARTITION, Some(error), cx);
                self.maybe_request_successor(cx);
            }
        }
        true
    }

    /// Asks for a successor when consecutive heartbeats fail and no write has been
    /// confirmed for the handover time.
    fn maybe_request_successor(&mut self, cx: &mut Cx<'_>) {
        let unconfirmed = cx.now().saturating_sub(cx.term.confirmed_at);
        let failing = self.heartbeats.failed >= HANDOVER_HEARTBEATS;
        if failing && unconfirmed >= cx.settings.timing.handover_after {
            self.request_takeover(cx);
        }
    }

    /// Gives up ownership when the owner row has changed.
    pub(crate) fn verify_ownership(&self, rows: &[Row], cx: &mut Cx<'_>) {
        let row = rows.iter().find(|row| row.key == rows::OWNER_KEY);
        if row.map(|row| row.cell.version) != Some(cx.term.owner_version) {
            cx.term.become_follower();
        }
    }

    /// Logs when a partition of the table service becomes unavailable to this owner
    /// or available again, and asks for the changes that may have been missed.
    pub(crate) fn update_store_availability(
        &mut self,
        partition: PartitionId,
        error: Option<&StoreError>,
        cx: &mut Cx<'_>,
    ) {
        match error {
            Some(error) if self.heartbeats.failing_partitions.insert(partition) => {
                let fault = format_compact!("{error}");
                cx.log(Notice::StoreLost { partition, fault });
            }
            None if self.heartbeats.failing_partitions.remove(&partition) => {
                cx.log(Notice::StoreBack { partition });
                self.replace_follow_call(cx.now());
            }
            _ => {}
        }
    }
}
