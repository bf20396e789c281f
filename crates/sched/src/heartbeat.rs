//! The owner's heartbeats, which keep its term valid, and the availability of the
//! table service that they show.
//!
//! Invariant: a heartbeat is conditional on the versions of the owner row and of the
//! heartbeat row, so that one that is applied late replaces no newer one. Only
//! heartbeats confirm the term, since writes to other partitions may be applied
//! after a later owner has claimed.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use compact_str::format_compact;
use model::{Condition, Row, Transaction};

use crate::commit::put;
use crate::event::{CallId, Effect, OfferResponse, StoreError, StoreResponse, live_value};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};
use crate::partition::{CELL_PARTITION, PartitionId};
use crate::rows::{self, Heartbeat};

/// Number of consecutive failed heartbeats after which an owner asks for a successor: at
/// once if all of them were refused. Without answers, it waits for the handover time, since
/// a successor would get none either while the answers of the table service are lost.
const HANDOVER_HEARTBEATS: u32 = 2;

/// Heartbeats in flight, and what the past ones showed.
#[derive(Debug, Default)]
pub(crate) struct Heartbeats {
    /// Calls in flight, with the time of sending and whether everything was recorded.
    in_flight: HashMap<CallId, (Duration, bool)>,
    /// What the last one that was applied says of the records.
    stored_as_recorded: bool,
    /// When the last one was sent that states that all runs are recorded and that was, or
    /// may yet be, applied. Those in flight are not counted.
    stated_recorded_at: Duration,
    /// Version of the heartbeat row as last read or written; zero when there is none.
    row_version: u64,
    count: u64,
    next_at: Duration,
    /// When the last one was sent.
    last_at: Duration,
    /// Heartbeats that failed since the last one that was applied.
    failed: u32,
    /// Those of them that the table service has refused.
    refused: u32,
    /// Partitions whose last write failed.
    failing_partitions: BTreeSet<PartitionId>,
}

impl Heartbeats {
    /// True when a successor would find that the records are complete.
    pub(crate) fn stored_as_recorded(&self) -> bool {
        self.stored_as_recorded
    }

    /// When the last one was sent that states that all runs are recorded, and that may be
    /// applied.
    fn last_statement(&self) -> Duration {
        let in_flight = self.in_flight.values().filter(|(_, recorded)| *recorded);
        let in_flight = in_flight.map(|(sent_at, _)| *sent_at);
        in_flight.fold(self.stated_recorded_at, Duration::max)
    }

    /// Interval between heartbeats: half of the usual one while one has failed or has no
    /// answer, since one that is applied late does not show that the owner is alive.
    fn interval(&self, cx: &Cx<'_>) -> Duration {
        let usual = cx.settings.timing.heartbeat_interval;
        let mut in_flight = self.in_flight.values();
        match self.failed > 0 || in_flight.any(|(sent_at, _)| cx.now() >= *sent_at + usual / 2) {
            true => usual / 2,
            false => usual,
        }
    }

    /// Notes a version that the heartbeat row has or had.
    pub(crate) fn observe_version(&mut self, version: u64) {
        self.row_version = self.row_version.max(version);
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
    /// True when tasks may be started before their records are written: the table service is
    /// unavailable, and no successor can trust records that lack them, whichever of the
    /// heartbeats without an answer is applied.
    pub(crate) fn may_start_unrecorded(&self, cx: &Cx<'_>) -> bool {
        let timing = &cx.settings.timing;
        let trusted_for = timing.record_trust_window + timing.majority_max_age;
        cx.term.may_start_unrecorded(cx.settings, cx.now())
            && cx.now() >= self.heartbeats.last_statement() + trusted_for
    }

    /// Sends a heartbeat, if one is due.
    pub(crate) fn send_due_heartbeat(&mut self, cx: &mut Cx<'_>) {
        let interval = self.heartbeats.interval(cx);
        // The first one replaces the previous owner's last heartbeat, which the
        // recovery has to read. The claim confirms the term for one interval.
        let unread = self.recovery.is_reading_cell();
        let held_back = unread && !self.recovery.has_lasted(interval, cx.now());
        let due_at = self
            .heartbeats
            .next_at
            .min(self.heartbeats.last_at + interval);
        if cx.now() < due_at || held_back {
            return;
        }
        self.heartbeats.last_at = cx.now();
        self.heartbeats.next_at = cx.now() + interval;
        self.heartbeats.count += 1;
        // Starts without records follow a while after the last such statement.
        let states_recorded = cx.now() < cx.term.confirmed_at + cx.settings.timing.owner_timeout;
        // Until the jobs are loaded, the previous owner's counts are repeated.
        let pending = match self.recovery.tables_loaded {
            true => self.pending(),
            false => cx.term.heartbeat.pending.clone(),
        };
        let heartbeat = Heartbeat {
            count: self.heartbeats.count,
            clock: cx.term.store_clock(cx.now()),
            // An unknown run of an earlier owner may lack a record too.
            recorded: states_recorded
                && self.commits.is_all_recorded()
                && !self.may_have_unknown_runs(),
            pending,
            max_cpu_share: self
                .policy_dispatcher
                .max_helper_cpu_share()
                .max(cx.settings.cpu_share),
        };
        let call = cx.next_call_id();
        let sent = (cx.now(), heartbeat.recorded);
        self.heartbeats.in_flight.insert(call, sent);
        let current = Condition {
            key: rows::HEARTBEAT_KEY.into(),
            version: self.heartbeats.row_version,
        };
        let transaction = Transaction {
            conditions: vec![owner_condition(cx), current],
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
        // One that was refused, or whose conditions failed, was certainly not applied.
        let may_be_applied = matches!(result, Ok(_) | Err(StoreError::Unknown));
        if recorded && may_be_applied {
            self.heartbeats.stated_recorded_at = self.heartbeats.stated_recorded_at.max(sent_at);
        }
        match result {
            Ok(StoreResponse::Applied { version, clock }) => {
                cx.term.observe_store_clock(*clock, cx.now());
                self.heartbeats.observe_version(*version);
                self.heartbeats.stored_as_recorded = recorded;
                self.heartbeat_confirmed(sent_at, cx);
            }
            Err(StoreError::Conflict(rows)) => self.heartbeat_conflicted(rows, sent_at, cx),
            Ok(StoreResponse::Rows { .. }) => {}
            Err(error) => {
                self.heartbeats.failed += 1;
                self.heartbeats.refused += u32::from(*error == StoreError::Unavailable);
                self.update_store_availability(CELL_PARTITION, Some(error), cx);
                self.maybe_request_successor(cx);
            }
        }
        true
    }

    fn heartbeat_confirmed(&mut self, sent_at: Duration, cx: &mut Cx<'_>) {
        cx.term.confirm(sent_at);
        self.heartbeats.failed = 0;
        self.heartbeats.refused = 0;
        self.place_due = true;
        self.update_store_availability(CELL_PARTITION, None, cx);
    }

    /// Handles a heartbeat that was not applied. Unless the owner row has changed, an
    /// earlier one without an answer was applied instead, and the conflict itself proves
    /// that there is no later owner.
    fn heartbeat_conflicted(&mut self, rows: &[Row], sent_at: Duration, cx: &mut Cx<'_>) {
        self.verify_ownership(rows, cx);
        if !cx.term.is_owning() {
            return;
        }
        let row = rows.iter().find(|row| row.key == rows::HEARTBEAT_KEY);
        let version = row.map_or(0, |row| row.cell.version);
        if version > self.heartbeats.row_version {
            let stored = row.and_then(live_value);
            let stored = stored.and_then(|bytes| rows::decode::<Heartbeat>(bytes));
            self.heartbeats.stored_as_recorded = stored.is_some_and(|stored| stored.recorded);
            self.heartbeats.row_version = version;
            let mut others = self.heartbeats.in_flight.values();
            if others.all(|(other_sent_at, _)| *other_sent_at <= sent_at) {
                self.heartbeats.next_at = cx.now();
            }
        }
        self.heartbeat_confirmed(sent_at, cx);
    }

    /// Asks for a successor when the table service turns this VM away, or when consecutive
    /// heartbeats fail and no write has been confirmed for the handover time.
    fn maybe_request_successor(&mut self, cx: &mut Cx<'_>) {
        let unconfirmed = cx.now().saturating_sub(cx.term.confirmed_at);
        let failing = self.heartbeats.failed >= HANDOVER_HEARTBEATS;
        let all_refused = self.heartbeats.refused == self.heartbeats.failed;
        match () {
            () if failing && all_refused => {
                self.request_takeover(&OfferResponse::TurnedAway, cx);
            }
            () if failing && unconfirmed >= cx.settings.timing.handover_after => {
                self.request_takeover(&OfferResponse::HandOver, cx);
            }
            () => {}
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
