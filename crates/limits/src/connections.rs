//! The connections of one interface: admission, room for new ones, time limits.
//!
//! Invariant: connections and bytes never exceed the interface's share. A connection
//! that was chosen to make room no longer counts; its task drops it when it runs next.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::budget::{Budget, Reservation};
use crate::connection::{CONNECTION_BYTES, Cause, Connection, Stage, Times, Urgency};
use crate::known::Known;
use crate::machine::Share;

/// Interval between two checks of the time limits.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);
/// Part of the connections that is closed at once to make room for one, so that a
/// search through all of them makes room for several.
const ROOM_DIVISOR: usize = 16;

/// There is no room for a request or connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the limit on connections or bytes is reached")]
pub struct Overloaded;

#[derive(Debug, Default)]
struct Table {
    open: HashMap<u64, Arc<Connection>>,
    last_id: u64,
    known: Known,
    closed: [u64; Cause::ALL.len()],
}

impl Table {
    fn count(&mut self, cause: Cause) {
        self.closed[cause as usize] += 1;
    }

    /// Closes the `count` connections that come first among those that `may` close.
    fn make_room<F>(&mut self, count: usize, may: F)
    where
        F: Fn(&Connection) -> bool,
    {
        let now = Instant::now();
        let known = |connection: &Connection| self.known.contains(connection.peer);
        let mut candidates: Vec<(Urgency, u64)> = self
            .open
            .iter()
            .filter(|(_, connection)| may(connection))
            .filter_map(|(id, connection)| Some((connection.urgency(known(connection), now)?, *id)))
            .collect();
        let count = count.min(candidates.len());
        if count == 0 {
            return;
        }
        candidates.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
        for (_, id) in &candidates[..count] {
            self.close(*id, Cause::Displaced);
        }
    }

    fn close(&mut self, id: u64, cause: Cause) {
        if let Some(connection) = self.open.remove(&id) {
            connection.close(cause);
            self.count(cause);
        }
    }
}

/// The connections of one interface.
#[derive(Debug)]
pub struct Connections {
    table: Mutex<Table>,
    budget: Budget,
    max: usize,
    times: Times,
}

impl Connections {
    /// Creates the set for an interface with the share `share`. A quarter of it is kept
    /// for addresses from which requests were served before.
    #[must_use]
    pub fn new(share: Share, times: Times) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::default(),
            budget: Budget::new(share.bytes),
            max: share.connections.max(1),
            times,
        })
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection from `peer`. If there is no room, others are closed: the
    /// slowest and oldest unfinished requests first.
    ///
    /// # Errors
    /// [`Overloaded`] if no connection may be closed; this one is to be closed then.
    pub fn admit(self: &Arc<Self>, peer: IpAddr) -> Result<Slot, Overloaded> {
        let mut table = self.table();
        let known = table.known.contains(peer);
        let max = match known {
            true => self.max,
            false => self.max - self.max / 4,
        };
        if table.open.len() >= max {
            table.make_room((max / ROOM_DIVISOR).max(1), |_| true);
        }
        let reserve = || self.budget.try_reserve(CONNECTION_BYTES, known);
        let mut reserved = reserve();
        if reserved.is_none() {
            table.make_room(1, |_| true);
            reserved = reserve();
        }
        let Some(reserved) = reserved.filter(|_| table.open.len() < max) else {
            table.count(Cause::Refused);
            return Err(Overloaded);
        };
        let connection = Arc::new(Connection::new(peer, reserved, Instant::now()));
        table.last_id += 1;
        let id = table.last_id;
        table.open.insert(id, connection.clone());
        drop(table);
        Ok(Slot {
            connections: self.clone(),
            connection,
            id,
        })
    }

    /// Closes the connections that have exceeded a time limit.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut table = self.table();
        let overdue = |(id, connection): (&u64, &Arc<Connection>)| {
            Some((*id, connection.overdue(&self.times, now)?))
        };
        let overdue: Vec<(u64, Cause)> = table.open.iter().filter_map(overdue).collect();
        for (id, cause) in overdue {
            table.close(id, cause);
        }
    }

    /// Checks the time limits for ever, and passes the number of connections closed
    /// since the last check to `report`, by cause, where it is not zero.
    pub async fn watch<F>(self: Arc<Self>, mut report: F)
    where
        F: FnMut(Cause, u64),
    {
        let mut ticks = tokio::time::interval(SWEEP_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.sweep();
            for (cause, count) in self.take_closed() {
                report(cause, count);
            }
        }
    }

    /// Number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.table().open.len()
    }

    /// Number of bytes that are not reserved.
    #[must_use]
    pub fn free_bytes(&self) -> usize {
        self.budget.free()
    }

    /// Number of connections closed and refused since the last call, by cause, where it
    /// is not zero.
    pub fn take_closed(&self) -> impl Iterator<Item = (Cause, u64)> + use<> {
        let closed = std::mem::take(&mut self.table().closed);
        Cause::ALL
            .into_iter()
            .zip(closed)
            .filter(|(_, count)| *count > 0)
    }
}

/// An admitted connection. It ends when this is dropped.
#[derive(Debug)]
pub struct Slot {
    connections: Arc<Connections>,
    pub(crate) connection: Arc<Connection>,
    id: u64,
}

impl Slot {
    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Notes that the head of a request is complete and its body is read.
    pub fn reads_body(&self) {
        self.connection.enter(Stage::Body);
    }

    /// Reserves `bytes` for the request on the connection. If that many are not free,
    /// other connections with unfinished requests are closed.
    ///
    /// # Errors
    /// [`Overloaded`] if that makes not enough room, or this connection was closed.
    pub fn reserve(&self, bytes: usize) -> Result<(), Overloaded> {
        let connections = &self.connections;
        let mut table = connections.table();
        let known = table.known.contains(self.connection.peer);
        loop {
            if let Some(reserved) = connections.budget.try_reserve(bytes, known) {
                let added = self.connection.add(reserved);
                return added.then_some(()).ok_or(Overloaded);
            }
            let open = table.open.len();
            table.make_room(1, |other| {
                other.request_bytes() > 0 && !std::ptr::eq(other, Arc::as_ptr(&self.connection))
            });
            if table.open.len() == open {
                table.count(Cause::Refused);
                return Err(Overloaded);
            }
        }
    }

    /// Notes that the request is complete and is passed on to be decided. From now on
    /// the connection is not closed to make room. Returns the bytes reserved for the
    /// request, which are to be kept as long as it is.
    #[must_use]
    pub fn pass_on(&self) -> Reservation {
        self.connection.enter(Stage::Passed);
        self.connection.take_request()
    }

    /// Notes that an answer begins; `served` if its request was valid, which makes the
    /// peer's address a known one.
    pub fn answers(&self, served: bool) {
        let first = served && !self.connection.was_served();
        self.connection.answers(served);
        if first {
            self.connections.table().known.insert(self.connection.peer);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.table().open.remove(&self.id);
    }
}
