//! State of one connection: how far its request is, since when, and what it holds.
//!
//! Invariant: a connection whose request was passed on is never chosen to make room.

use std::net::IpAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::budget::Reservation;

/// Bytes reserved for a connection from its admission on: a head of 16,384 bytes, an
/// answer of ordinary size, and the connection's own state. Crowds whose heads have no end
/// took up to 46 kB a connection, with the kernel's buffers.
pub(crate) const CONNECTION_BYTES: usize = 32 * 1_024;

/// Time limits of a connection. The defaults leave a margin to the published limits of
/// 3 s for a head and 15 s idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time for a head, from its first byte.
    pub head: Duration,
    /// Time without a request.
    pub idle: Duration,
    /// Longest pause within a body, and time for a body besides what `lowest_rate`
    /// allows.
    pub body_pause: Duration,
    /// Lowest mean rate of a body, in bytes a second.
    pub lowest_rate: u32,
    /// Longest time for which the peer takes nothing of an answer.
    pub unread: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(5),
            idle: Duration::from_secs(20),
            body_pause: Duration::from_secs(5),
            lowest_rate: 16 * 1_024,
            unread: Duration::from_secs(10),
        }
    }
}

/// Time for which a connection that is being closed takes what the peer still sends,
/// so that the peer gets the answer instead of a reset.
const CLOSING_TIME: Duration = Duration::from_secs(1);

/// Why a connection was closed or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The head did not arrive in time.
    SlowHead,
    /// The body did not arrive in time.
    SlowBody,
    /// No request came in time.
    Idle,
    /// The peer did not read an answer.
    Unread,
    /// The peer did not close the connection after its last answer.
    NotClosed,
    /// Another connection needed the room.
    Displaced,
    /// There was no room for the connection or its request.
    Refused,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 7] = [
        Self::SlowHead,
        Self::SlowBody,
        Self::Idle,
        Self::Unread,
        Self::NotClosed,
        Self::Displaced,
        Self::Refused,
    ];

    /// Name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::SlowHead => "slow_head",
            Self::SlowBody => "slow_body",
            Self::Idle => "idle",
            Self::Unread => "unread",
            Self::NotClosed => "not_closed",
            Self::Displaced => "displaced",
            Self::Refused => "refused",
        }
    }
}

/// How far the request of a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No byte of a request has come.
    Waiting,
    Head,
    Body,
    /// The request is complete and is being decided.
    Passed,
    /// The answer is being written.
    Answer,
    /// The last answer is written; what the peer still sends is discarded.
    Closing,
}

#[derive(Debug)]
pub(crate) struct State {
    stage: Stage,
    since: Instant,
    /// When the last byte of the stage arrived; `since` if none has.
    last_byte: Instant,
    /// Bytes received in the stage.
    received: u64,
    /// Since when the peer has taken nothing of an answer.
    blocked_since: Option<Instant>,
    /// True if a request of this connection was served.
    served: bool,
    reserved: Reservation,
    closed: Option<Cause>,
}

impl State {
    fn enter(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.since = now;
        self.last_byte = now;
        self.received = 0;
    }
}

/// Order in which connections are closed to make room; the greatest is first.
pub(crate) type Urgency = (u8, Duration);

/// A connection, shared by its stream, the requests on it and the set of all.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) peer: IpAddr,
    state: Mutex<State>,
    close: Notify,
}

impl Connection {
    pub(crate) fn new(peer: IpAddr, reserved: Reservation, now: Instant) -> Self {
        Self {
            peer,
            state: Mutex::new(State {
                stage: Stage::Waiting,
                since: now,
                last_byte: now,
                received: 0,
                blocked_since: None,
                served: false,
                reserved,
                closed: None,
            }),
            close: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn enter(&self, stage: Stage) {
        self.state().enter(stage, Instant::now());
    }

    /// Notes the arrival of `bytes`.
    pub(crate) fn received(&self, bytes: usize) {
        let now = Instant::now();
        let mut state = self.state();
        if state.stage == Stage::Waiting && bytes > 0 {
            state.enter(Stage::Head, now);
        }
        state.last_byte = now;
        state.received += bytes as u64;
    }

    /// Notes whether the peer took something of an answer.
    pub(crate) fn written(&self, progress: bool) {
        let mut state = self.state();
        match progress {
            true => state.blocked_since = None,
            false => drop(state.blocked_since.get_or_insert_with(Instant::now)),
        }
    }

    /// Notes that all that was to be written is written.
    pub(crate) fn flushed(&self) {
        let mut state = self.state();
        if state.stage == Stage::Answer {
            state.enter(Stage::Waiting, Instant::now());
            drop(state.reserved.split_above(CONNECTION_BYTES));
        }
    }

    /// Notes that an answer begins; `served` if its request was valid.
    pub(crate) fn answers(&self, served: bool) {
        let mut state = self.state();
        state.served |= served;
        state.enter(Stage::Answer, Instant::now());
    }

    pub(crate) fn was_served(&self) -> bool {
        self.state().served
    }

    /// Adds bytes to those that the connection holds, unless it was closed.
    pub(crate) fn add(&self, reserved: Reservation) -> bool {
        let mut state = self.state();
        let open = state.closed.is_none();
        if open {
            state.reserved.add(reserved);
        }
        open
    }

    /// Takes all bytes but the connection's fixed part.
    pub(crate) fn take_request(&self) -> Reservation {
        self.state().reserved.split_above(CONNECTION_BYTES)
    }

    /// Bytes that the connection holds besides its fixed part.
    pub(crate) fn request_bytes(&self) -> usize {
        let held = self.state().reserved.bytes();
        held.saturating_sub(CONNECTION_BYTES)
    }

    /// Closes the connection and frees its bytes. The stream is dropped as soon as its
    /// task runs.
    pub(crate) fn close(&self, cause: Cause) {
        let mut state = self.state();
        state.closed.get_or_insert(cause);
        state.reserved = Reservation::default();
        drop(state);
        self.close.notify_one();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.state().closed.is_some()
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        self.close.notified().await;
    }

    /// The time limit that the connection has exceeded.
    pub(crate) fn overdue(&self, times: &Times, now: Instant) -> Option<Cause> {
        let state = self.state();
        let age = now - state.since;
        let pause = now - state.last_byte;
        let blocked = state.blocked_since.map_or(Duration::ZERO, |at| now - at);
        let body_time = || {
            let rate = f64::from(times.lowest_rate.max(1));
            times.body_pause + Duration::from_secs_f64(state.received as f64 / rate)
        };
        match state.stage {
            Stage::Waiting if age > times.idle => Some(Cause::Idle),
            Stage::Head if age > times.head => Some(Cause::SlowHead),
            Stage::Body if pause > times.body_pause || age > body_time() => Some(Cause::SlowBody),
            Stage::Answer | Stage::Waiting if blocked > times.unread => Some(Cause::Unread),
            Stage::Closing if age > CLOSING_TIME => Some(Cause::NotClosed),
            _ => None,
        }
    }

    /// How soon the connection is closed to make room; `None` if it is not. An
    /// unfinished request goes before an idle connection on which requests were served.
    /// Among unfinished ones those from unknown addresses go first, then the slowest
    /// and oldest: the age and the last pause count the same.
    pub(crate) fn urgency(&self, known: bool, now: Instant) -> Option<Urgency> {
        let state = self.state();
        let waited = (now - state.since) + (now - state.last_byte);
        let unfinished = if known { 2 } else { 3 };
        match state.stage {
            Stage::Closing => Some((4, waited)),
            Stage::Waiting if state.served => Some((1, waited)),
            Stage::Waiting | Stage::Head | Stage::Body => Some((unfinished, waited)),
            Stage::Answer if state.blocked_since.is_some() => Some((unfinished, waited)),
            Stage::Answer | Stage::Passed => None,
        }
    }
}
