//! Fleet-wide team limits, split into one allotment per data centre.
//!
//! A team's row lists the part of each data centre; the sum of the parts is at
//! most the team's limit. To raise its part, an owner commits a transaction on
//! the row before it uses more. To lower its part, it reduces its own cap
//! before it writes the row.
//!
//! Invariant: total usage across data centres never exceeds the sum of the
//! parts, even when responses of the table service are lost.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use model::{Condition, Name, Resources, Row, TableError, Transaction};
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::notice::Notice;
use crate::store::{Purpose, TableResponse, committed_version};
use crate::submit::row_write;

/// Deadline for writing an allotment row.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum interval between two writes of one team's row.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of further tasks of the waiting size whose resources are requested
/// in advance.
const LOOKAHEAD_TASKS: u32 = 3;
/// The advance request is at most the team's limit divided by this.
const LOOKAHEAD_DIVISOR: u32 = 8;

/// Stored row with the allotments of one team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AllotmentRow {
    pub(crate) parts: BTreeMap<Name, Resources>,
    /// Resources that data centres need but could not obtain, oldest first.
    /// While the first entry is unmet, the other data centres release unused
    /// resources up to that amount.
    #[serde(rename = "wants")]
    pub(crate) shortfalls: Vec<(Name, Resources)>,
}

/// Allotment of one team in this data centre.
#[derive(Debug, Default)]
struct TeamAllotment {
    row: AllotmentRow,
    row_version: u64,
    /// Upper bound on usage; at most this data centre's part.
    cap: Resources,
    pending_part: Option<Resources>,
    next_write_at: Duration,
    shortfall: Option<Resources>,
    /// True while a write with an unknown outcome may still take effect.
    outcome_unknown: bool,
}

/// Allotments of all teams in this data centre.
#[derive(Debug, Default)]
pub(crate) struct Allotments {
    entries: BTreeMap<Name, TeamAllotment>,
    pub(crate) loaded: bool,
    scanned_version: u64,
}

impl AllotmentRow {
    fn shortfall_of(&self, data_centre: &Name) -> Option<Resources> {
        let found = self.shortfalls.iter().find(|(dc, _)| dc == data_centre);
        found.map(|(_, shortfall)| *shortfall)
    }

    /// Returns what the first shortfall of task resources and the first shortfall
    /// of slots request from `data_centre`; nothing of a shortfall of its own.
    /// Tasks and requests are separate work, so requests for slots do not wait
    /// behind a shortfall that only the end of tasks can meet.
    fn owed_by(&self, data_centre: &Name) -> Resources {
        let first = |part: fn(&Resources) -> Resources| {
            let mut parts = self.shortfalls.iter().map(|(dc, s)| (dc, part(s)));
            let found = parts.find(|(_, part)| !part.is_zero());
            found
                .filter(|(dc, _)| *dc != data_centre)
                .map(|(_, part)| part)
        };
        let tasks = first(without_slots).unwrap_or_default();
        tasks.plus(first(slots_only).unwrap_or_default())
    }

    /// Appends, updates in place or removes the shortfall of a data centre.
    fn set_shortfall(&mut self, data_centre: &Name, shortfall: Option<Resources>) {
        let index = self.shortfalls.iter().position(|(dc, _)| dc == data_centre);
        match (index, shortfall) {
            (Some(index), Some(shortfall)) => self.shortfalls[index].1 = shortfall,
            (Some(index), None) => {
                self.shortfalls.remove(index);
            }
            (None, Some(shortfall)) => self.shortfalls.push((data_centre.clone(), shortfall)),
            (None, None) => {}
        }
    }
}

fn slots_only(resources: &Resources) -> Resources {
    Resources::of(0, 0, 0, resources.slots)
}

fn without_slots(resources: &Resources) -> Resources {
    resources.minus(slots_only(resources))
}

impl Node {
    /// Returns the resources that a team may currently use in this data centre.
    pub(crate) fn allotment_of(&self, team: &Name) -> Resources {
        let config = self.configuration.config.teams.get(team);
        let Some(limit) = config.and_then(|t| t.limit) else {
            return Resources::UNLIMITED;
        };
        // Tasks started by an earlier owner may still run here unseen.
        if self.owner.withhold_until.is_some() {
            return Resources::ZERO;
        }
        let entry = self.owner.allotments.entries.get(team);
        entry.map_or(Resources::ZERO, |e| e.cap.min(limit))
    }

    /// Returns whether a team may occupy one more executor slot here.
    pub(crate) fn may_acquire_slot(&self, team: &Name) -> bool {
        let allotment = self.allotment_of(team);
        let held = self.dispatcher.slots_held_by(team);
        allotment == Resources::UNLIMITED || (self.holds_lease() && held < allotment.slots)
    }

    fn in_use(&mut self, team: &Name) -> Resources {
        let slots = Resources::of(0, 0, 0, self.dispatcher.slots_held_by(team));
        let id = self.owner.team_id(team);
        self.owner.engine.used(id).plus(slots)
    }

    /// Returns the prefix of the allotment rows and the version of the last scan.
    pub(crate) fn allotments_prefix(&self) -> (Name, u64) {
        (Name::from("allot/"), self.owner.allotments.scanned_version)
    }

    pub(crate) fn allotments_scanned(&mut self, (rows, version): (Vec<Row>, u64)) {
        if !self.owner.holds_epoch() {
            return;
        }
        for row in rows {
            let team = row.key.strip_prefix("allot/").map(Name::from);
            match (team, postcard::from_bytes::<AllotmentRow>(&row.cell.value)) {
                (Some(team), Ok(found)) => self.apply_allotment_row(&team, found, row.cell.version),
                _ => self.log(Notice::RowMalformed(row.key)),
            }
        }
        self.owner.allotments.scanned_version = version;
        self.owner.allotments.loaded = true;
    }

    fn apply_allotment_row(&mut self, team: &Name, row: AllotmentRow, version: u64) {
        let here = self.owner.data_centre.clone();
        let entry = self
            .owner
            .allotments
            .entries
            .entry(team.clone())
            .or_default();
        if version <= entry.row_version {
            return;
        }
        let part = row.parts.get(&here).copied().unwrap_or_default();
        entry.row_version = version;
        entry.row = row;
        // While a write is in flight, the lower of the two values applies.
        entry.cap = match entry.pending_part {
            Some(target) => part.min(target),
            None if entry.outcome_unknown => part.min(entry.cap),
            None => part,
        };
        self.apply_team(team);
    }

    /// Requests missing resources and releases unused ones that other data
    /// centres need.
    pub(crate) fn tick_allotments(&mut self) {
        if !self.owner.holds_epoch() {
            return;
        }
        if !self.holds_lease() || self.store.is_down() {
            return;
        }
        let teams: Vec<(Name, Resources)> = self
            .configuration
            .config
            .teams
            .iter()
            .filter_map(|(name, team)| team.limit.map(|limit| (name.clone(), limit)))
            .collect();
        for (team, limit) in teams {
            self.rebalance(&team, limit);
        }
    }

    fn rebalance(&mut self, team: &Name, limit: Resources) {
        let id = self.owner.team_id(team);
        let mut need = self.owner.engine.take_unmet_demand(id).unwrap_or_default();
        let used = self.in_use(team);
        let slot = Resources::of(0, 0, 0, 1);
        if self.dispatcher.has_queued(team) && used.slots >= self.allotment_of(team).slots {
            need = need.plus(slot);
        }
        let here = self.owner.data_centre.clone();
        let now = self.now;
        if self.is_evacuated(&here) {
            // Other data centres that ask get what running work leaves.
            need = Resources::ZERO;
        }
        let entry = self
            .owner
            .allotments
            .entries
            .entry(team.clone())
            .or_default();
        if entry.pending_part.is_some() || entry.next_write_at > now {
            return;
        }
        let part = entry.row.parts.get(&here).copied().unwrap_or_default();
        let others = entry.row.parts.iter().filter(|(dc, _)| **dc != here);
        let others = others.fold(Resources::ZERO, |sum, (_, p)| sum.plus(*p));
        let room = limit.minus(others);
        let owed = entry.row.owed_by(&here);
        let target_of = |select: fn(&Resources) -> Resources| {
            let (owed, need) = (select(&owed), select(&need));
            let (part, room, used) = (select(&part), select(&room), select(&used));
            if !owed.is_zero() {
                return part.min(room).minus(owed.min(part.minus(used)));
            }
            if need.is_zero() {
                return part.min(room);
            }
            let ahead = need
                .times(LOOKAHEAD_TASKS)
                .min(limit.divided_by(LOOKAHEAD_DIVISOR));
            used.plus(need).plus(ahead).max(part).min(room)
        };
        let target = target_of(without_slots).plus(target_of(slots_only));
        let unmet = |select: fn(&Resources) -> Resources| match select(&used.plus(need)) {
            wanted if wanted.fits(&select(&target)) => Resources::ZERO,
            _ => select(&need),
        };
        let unmet = unmet(without_slots).plus(unmet(slots_only));
        let shortfall = (!unmet.is_zero()).then_some(unmet);
        if target == part && shortfall == entry.row.shortfall_of(&here) && !entry.outcome_unknown {
            return;
        }
        entry.shortfall = shortfall;
        self.write_part(team, target);
    }

    fn write_part(&mut self, team: &Name, target: Resources) {
        let here = self.owner.data_centre.clone();
        let now = self.now;
        let fence = self.owner.fencing_condition();
        let config = Condition {
            key: Name::from("config"),
            version: self.configuration.row_version,
        };
        let Some(entry) = self.owner.allotments.entries.get_mut(team) else {
            return;
        };
        let mut updated = entry.row.clone();
        updated.parts.insert(here.clone(), target);
        updated.set_shortfall(&here, entry.shortfall);
        entry.pending_part = Some(target);
        entry.next_write_at = now + WRITE_INTERVAL;
        entry.cap = entry.cap.min(target);
        let key = format_compact!("allot/{team}");
        let transaction = Transaction {
            conditions: vec![
                Condition {
                    key: key.clone(),
                    version: entry.row_version,
                },
                config,
                fence,
            ],
            writes: vec![row_write(&key, &updated)],
        };
        let purpose = Purpose::Allot(self.owner.record.epoch, team.clone());
        if !self.store.write(transaction, purpose, now + WRITE_TIMEOUT) {
            self.allotment_written(team, &Err(TableError::Unavailable));
        }
        self.apply_team(team);
    }

    pub(crate) fn allotment_written(
        &mut self,
        team: &Name,
        result: &Result<TableResponse, TableError>,
    ) {
        let here = self.owner.data_centre.clone();
        let Some(entry) = self.owner.allotments.entries.get_mut(team) else {
            return;
        };
        let Some(target) = entry.pending_part.take() else {
            return;
        };
        match result {
            Ok(response) => {
                entry.row_version = committed_version(response);
                entry.row.parts.insert(here.clone(), target);
                entry.row.set_shortfall(&here, entry.shortfall);
                entry.cap = target;
                entry.outcome_unknown = false;
                self.log(Notice::AllotmentChanged(team.clone()));
                self.apply_team(team);
            }
            // The write may still take effect, so the lower cap stays until a
            // later write rules that out. Resetting the version makes the next
            // scan return all rows.
            Err(TableError::Unknown) => {
                entry.outcome_unknown = true;
                self.owner.allotments.scanned_version = 0;
            }
            Err(_) if entry.outcome_unknown => self.owner.allotments.scanned_version = 0,
            Err(_) => {
                let part = entry.row.parts.get(&here).copied().unwrap_or_default();
                entry.cap = part;
                self.owner.allotments.scanned_version = 0;
                self.apply_team(team);
            }
        }
    }
}
