//! The roster: the backend servers that an owner may have given work to, as
//! stored for its successor.
//!
//! The roster is divided into chunks, each a row, so that a change rewrites one
//! small row and a fleet of thousands fits the table service's limit on the size
//! of a row.
//!
//! Invariant: a backend server is called only after the row that lists it was
//! written, on the versions of the owner row and of the row itself. A write that is
//! applied late therefore replaces nothing newer. Rows are not deleted, since a write
//! that expects no row would be applied again after a deletion.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use model::{Condition, Resources, Row, Transaction};

use crate::commit::{put, remove};
use crate::event::{CallId, Effect, Listing, StoreError, StoreResponse, live_value};
use crate::fleet::{ServerIx, ServerState, StaleLeases};
use crate::heartbeat::owner_condition;
use crate::notice::Notice;
use crate::owner::{Cx, Owner};
use crate::partition::CELL_PARTITION;
use crate::rows::{self, RosterEntry};

/// Number of chunks. With the table service's 64 KiB a row and some 60 bytes a
/// backend server, all chunks together hold more than 10,000.
const ROSTER_CHUNKS: u32 = 16;
/// Delay before a failed write of the roster is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of a chunk of the roster.
type ChunkId = u32;

/// Write of roster rows in flight.
#[derive(Debug)]
struct RosterWrite {
    call: CallId,
    chunks: BTreeSet<ChunkId>,
    /// Backend servers that the written rows list, with the capacity there.
    listed: Vec<(ServerIx, Resources)>,
}

/// Changed chunks of the roster, and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    changed: BTreeSet<ChunkId>,
    /// Versions of the rows as last read or written; a row that is missing does not exist.
    versions: BTreeMap<ChunkId, u64>,
    in_flight: Option<RosterWrite>,
    next_write_at: Duration,
    /// An earlier build's row with the whole roster exists.
    has_undivided_row: bool,
}

/// Chunk that lists a backend server.
fn chunk_of(id: &model::Name) -> ChunkId {
    crc32fast::hash(id.as_bytes()) % ROSTER_CHUNKS
}

/// End of stale leases on the table service's clock, as the roster stores it.
fn encode_stale_leases(leases: StaleLeases, cx: &Cx<'_>) -> Option<Duration> {
    let clock = cx.term.store_clock(cx.now());
    match leases {
        StaleLeases::Ended => Some(Duration::ZERO),
        // The reading of the clock is old by the time that the service's response took.
        StaleLeases::EndBy(at) => {
            Some(clock + at.saturating_sub(cx.now()) + cx.settings.timing.store_timeout)
        }
        StaleLeases::Possible(_) => None,
    }
}

/// Stale leases on a backend server whose entry in the roster states their end.
fn decode_stale_leases(end: Option<Duration>, cx: &Cx<'_>) -> StaleLeases {
    let timing = &cx.settings.timing;
    match end {
        Some(end) if end.is_zero() => StaleLeases::Ended,
        Some(end) => {
            let left = end.saturating_sub(cx.term.store_clock(cx.now()));
            StaleLeases::EndBy(cx.now() + left.div_f64(timing.min_clock_rate))
        }
        None => StaleLeases::possible(timing, cx.now()),
    }
}

impl Roster {
    /// Notes that a backend server was added, replaced or removed.
    pub(crate) fn mark_changed(&mut self, id: &model::Name) {
        self.changed.insert(chunk_of(id));
    }

    /// Adopts the versions of rows that a conflict reports. They stem from an earlier write
    /// of this owner whose response was lost.
    fn adopt_versions(&mut self, chunks: &BTreeSet<ChunkId>, rows: &[Row]) {
        for chunk in chunks {
            let key = rows::roster_key(*chunk);
            let row = rows.iter().find(|row| row.key == key);
            let version = row.map_or(0, |row| row.cell.version);
            self.versions.insert(*chunk, version);
        }
    }
}

impl Owner {
    /// Writes the changed chunks of the roster, if a write is due.
    pub(crate) fn send_due_roster(&mut self, cx: &mut Cx<'_>) {
        let roster = &self.roster;
        let due = !roster.changed.is_empty() && cx.now() >= roster.next_write_at;
        if !due || roster.in_flight.is_some() || !self.recovery.tables_loaded {
            return;
        }
        let chunks = std::mem::take(&mut self.roster.changed);
        let mut entries: BTreeMap<ChunkId, Vec<RosterEntry>> = BTreeMap::new();
        let mut listed = Vec::new();
        for ix in self.fleet.live() {
            let server = self.fleet.get(ix);
            let (listing, capacity) = (&server.listing, server.peak_capacity);
            let chunk = chunk_of(&listing.id);
            if chunks.contains(&chunk) {
                listed.push((ix, capacity));
                entries.entry(chunk).or_default().push(RosterEntry {
                    id: listing.id.clone(),
                    incarnation: listing.incarnation,
                    address: listing.address.clone(),
                    capacity,
                    stale_leases_end: encode_stale_leases(server.stale_leases, cx),
                });
            }
        }
        let write = |chunk: &ChunkId| {
            let entries = entries.remove(chunk).unwrap_or_default();
            put(rows::roster_key(*chunk), rows::encode_roster(&entries))
        };
        let mut writes: Vec<model::Write> = chunks.iter().map(write).collect();
        let mut conditions = vec![owner_condition(cx)];
        conditions.extend(chunks.iter().map(|chunk| Condition {
            key: rows::roster_key(*chunk),
            version: self.roster.versions.get(chunk).copied().unwrap_or(0),
        }));
        if self.roster.has_undivided_row {
            writes.push(remove(rows::UNDIVIDED_ROSTER_KEY.into()));
        }
        let call = cx.next_call_id();
        self.roster.in_flight = Some(RosterWrite {
            call,
            chunks,
            listed,
        });
        cx.out.push(Effect::Commit {
            call,
            partition: CELL_PARTITION,
            transaction: Transaction { conditions, writes },
            timeout: None,
        });
    }

    /// Handles the response to a write of the roster. Returns false when the call
    /// is not one.
    pub(crate) fn roster_answered(
        &mut self,
        call: CallId,
        result: &Result<StoreResponse, StoreError>,
        cx: &mut Cx<'_>,
    ) -> bool {
        let Some(write) = self.roster.in_flight.take_if(|write| write.call == call) else {
            return false;
        };
        match result {
            Ok(StoreResponse::Applied { version, clock }) => {
                cx.term.observe_store_clock(*clock, cx.now());
                self.roster.has_undivided_row = false;
                let written = write.chunks.iter().map(|chunk| (*chunk, *version));
                self.roster.versions.extend(written);
                for server in &mut self.fleet.servers {
                    let rewritten = write.chunks.contains(&chunk_of(&server.listing.id));
                    server.in_stored_roster &= !rewritten;
                }
                self.place_due = true;
                for (ix, capacity) in write.listed {
                    let server = self.fleet.get_mut(ix);
                    server.in_stored_roster = true;
                    server.stored_capacity = capacity;
                    if server.state == ServerState::Discovered {
                        server.state = ServerState::InRoster;
                    }
                }
            }
            Ok(StoreResponse::Rows { .. }) | Err(_) => {
                if let Err(StoreError::Conflict(rows)) = result {
                    self.verify_ownership(rows, cx);
                    self.roster.adopt_versions(&write.chunks, rows);
                }
                self.roster.changed.extend(write.chunks);
                self.roster.next_write_at = cx.now() + WRITE_RETRY_DELAY;
            }
        }
        true
    }

    /// Loads the rows of the roster that an earlier owner wrote. `undivided` is the
    /// row of a build that kept the whole roster in one.
    pub(crate) fn load_roster(&mut self, chunks: &[Row], undivided: Option<&Row>, cx: &mut Cx<'_>) {
        self.roster.has_undivided_row = undivided.is_some_and(|row| live_value(row).is_some());
        let chunk_of_row = |row: &Row| (0..ROSTER_CHUNKS).find(|c| rows::roster_key(*c) == row.key);
        let versions = chunks
            .iter()
            .filter_map(|row| Some((chunk_of_row(row)?, row.cell.version)));
        self.roster.versions = versions.collect();
        for row in chunks.iter().chain(undivided) {
            let Some(bytes) = live_value(row) else {
                continue;
            };
            match rows::decode_roster(bytes) {
                Some(entries) => entries
                    .into_iter()
                    .for_each(|e| self.load_roster_entry(e, cx)),
                None => cx.log(Notice::RowMalformed {
                    key: row.key.clone(),
                }),
            }
        }
        if self.roster.has_undivided_row {
            // Everything in the undivided row has to be written to the chunks.
            self.roster.changed.extend(0..ROSTER_CHUNKS);
        }
    }

    fn load_roster_entry(&mut self, entry: RosterEntry, cx: &mut Cx<'_>) {
        let listing = Listing {
            id: entry.id.clone(),
            incarnation: entry.incarnation,
            address: entry.address,
            capacity: entry.capacity,
            ..Listing::default()
        };
        let known = self.fleet.find(&entry.id);
        let incarnation = known.map(|ix| self.fleet.get(ix).listing.incarnation);
        let ix = match (known, incarnation.cmp(&Some(entry.incarnation))) {
            (Some(ix), Ordering::Equal) => ix,
            // The listed incarnation has terminated. Orders to it may be executed by the next
            // one, which the registry shows.
            (Some(ix), Ordering::Greater) => {
                let server = self.fleet.get_mut(ix);
                server.inherited = true;
                server.peak_capacity = server.peak_capacity.max(entry.capacity);
                server.stale_leases = StaleLeases::possible(&cx.settings.timing, cx.now());
                self.roster.mark_changed(&entry.id);
                return;
            }
            // The registry was read from a copy that is older than the roster.
            (Some(ix), Ordering::Less) => self.replace_incarnation(ix, listing, false, cx),
            (None, _) => self.fleet.add(listing, false),
        };
        let now = cx.now();
        let unlisted = self.recovery.registry_loaded && !self.fleet.get(ix).listed;
        let server = self.fleet.get_mut(ix);
        if !server.listing.capacity.fits(&entry.capacity) {
            self.roster.mark_changed(&server.listing.id);
        }
        server.unlisted_at = unlisted.then_some(now);
        server.inherited = true;
        server.stale_leases = decode_stale_leases(entry.stale_leases_end, cx);
        server.in_inherited_roster = true;
        server.in_stored_roster = true;
        server.stored_capacity = entry.capacity;
        server.peak_capacity = server.peak_capacity.max(entry.capacity);
        server.state = ServerState::InRoster;
    }
}
