//! Fleet-wide upper limits, split into one allotment a data centre.
//!
//! The row of a team lists each data centre's part; the parts' sum is at most
//! the limit. An owner raises its own part only by a transaction on that row
//! and uses more only afterwards; it lowers its own use first and the row
//! afterwards.
//!
//! Invariant: the sum over data centres of what is in use never exceeds the
//! sum of the parts, whatever answers are lost.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::format_compact;
use model::{Condition, Fault, Name, Resources, Row, Transaction};
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::notice::Notice;
use crate::store::{Answered, Purpose, version_of};
use crate::submit::row;

/// Time allowed for a move.
const MOVE_TIME: Duration = Duration::from_secs(3);
/// Pause between two moves of one team.
const MOVE_PAUSE: Duration = Duration::from_millis(200);
/// Tasks' worth of room that is asked for beyond the one that waits.
const ASK_AHEAD: u32 = 3;
/// Part of a team's limit that may be asked for ahead.
const AHEAD_PART: u32 = 8;

/// Row of a team's parts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Parts {
    pub(crate) parts: BTreeMap<Name, Resources>,
    /// What data centres ask for and could not take, oldest first. While the
    /// first one waits, the others give up what they don't use.
    pub(crate) wants: Vec<(Name, Resources)>,
}

/// One team's allotment here.
#[derive(Debug, Default)]
struct Entry {
    parts: Parts,
    row: u64,
    /// Use is kept within this, at most this data centre's part.
    cap: Resources,
    moving: Option<Resources>,
    next_move: Duration,
    want: Option<Resources>,
    /// True while an unanswered write may still take effect.
    unsure: bool,
}

/// All teams' allotments.
#[derive(Debug, Default)]
pub(crate) struct Allotments {
    entries: BTreeMap<Name, Entry>,
    pub(crate) loaded: bool,
    scanned: u64,
}

impl Parts {
    fn want_of(&self, data_centre: &Name) -> Option<Resources> {
        let found = self.wants.iter().find(|(dc, _)| dc == data_centre);
        found.map(|(_, want)| *want)
    }

    /// Records a want at the end of the line, or updates it in its place.
    fn set_want(&mut self, data_centre: &Name, want: Option<Resources>) {
        let at = self.wants.iter().position(|(dc, _)| dc == data_centre);
        match (at, want) {
            (Some(at), Some(want)) => self.wants[at].1 = want,
            (Some(at), None) => {
                self.wants.remove(at);
            }
            (None, Some(want)) => self.wants.push((data_centre.clone(), want)),
            (None, None) => {}
        }
    }
}

impl Node {
    /// Most that a team may use in this data centre now.
    pub(crate) fn allotment_of(&self, team: &Name) -> Resources {
        let config = self.configuration.config.teams.get(team);
        let Some(limit) = config.and_then(|t| t.limit) else {
            return Resources::UNLIMITED;
        };
        // What an earlier owner left running here is not known yet.
        if self.owner.uncertain_until.is_some() {
            return Resources::ZERO;
        }
        let entry = self.owner.allotments.entries.get(team);
        entry.map_or(Resources::ZERO, |e| e.cap.min(limit))
    }

    /// True when a team may hold one more executor slot here.
    pub(crate) fn may_hold_slot(&self, team: &Name) -> bool {
        let allotment = self.allotment_of(team);
        let held = self.dispatcher.held_by(team);
        allotment == Resources::UNLIMITED || (self.may_act() && held < allotment.slots)
    }

    fn in_use(&mut self, team: &Name) -> Resources {
        let slots = Resources::of(0, 0, 0, self.dispatcher.held_by(team));
        let id = self.owner.team_id(team);
        self.owner.engine.used(id).plus(slots)
    }

    /// Prefix of the allotment rows and the version seen so far.
    pub(crate) fn allotments_prefix(&self) -> (Name, u64) {
        (Name::from("allot/"), self.owner.allotments.scanned)
    }

    pub(crate) fn allotments_scanned(&mut self, (rows, version): (Vec<Row>, u64)) {
        if !self.owner.holds_epoch() {
            return;
        }
        for row in rows {
            let team = row.key.strip_prefix("allot/").map(Name::from);
            match (team, postcard::from_bytes::<Parts>(&row.cell.value)) {
                (Some(team), Ok(parts)) => self.learn_parts(&team, parts, row.cell.version),
                _ => self.log(Notice::JobMalformed(row.key)),
            }
        }
        self.owner.allotments.scanned = version;
        self.owner.allotments.loaded = true;
    }

    fn learn_parts(&mut self, team: &Name, parts: Parts, version: u64) {
        let here = self.owner.data_centre.clone();
        let entry = self
            .owner
            .allotments
            .entries
            .entry(team.clone())
            .or_default();
        if version <= entry.row {
            return;
        }
        let part = parts.parts.get(&here).copied().unwrap_or_default();
        entry.row = version;
        entry.parts = parts;
        // While a write is under way the lower value holds.
        entry.cap = match entry.moving {
            Some(target) => part.min(target),
            None if entry.unsure => part.min(entry.cap),
            None => part,
        };
        self.apply_team(team);
    }

    /// Takes what is short and gives up what others ask for.
    pub(crate) fn tick_allotments(&mut self) {
        if !self.owner.holds_epoch() {
            return;
        }
        if !self.may_act() || self.store.is_down() {
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
            self.balance(&team, limit);
        }
    }

    fn balance(&mut self, team: &Name, limit: Resources) {
        let id = self.owner.team_id(team);
        let mut need = self.owner.engine.take_unmet_demand(id).unwrap_or_default();
        let used = self.in_use(team);
        let slot = Resources::of(0, 0, 0, 1);
        if self.dispatcher.waits(team) && used.slots >= self.allotment_of(team).slots {
            need = need.plus(slot);
        }
        let here = self.owner.data_centre.clone();
        let now = self.now;
        let entry = self
            .owner
            .allotments
            .entries
            .entry(team.clone())
            .or_default();
        if entry.moving.is_some() || entry.next_move > now {
            return;
        }
        let part = entry.parts.parts.get(&here).copied().unwrap_or_default();
        let others = entry.parts.parts.iter().filter(|(dc, _)| **dc != here);
        let others = others.fold(Resources::ZERO, |sum, (_, p)| sum.plus(*p));
        let room = limit.minus(others);
        let first = entry.parts.wants.first().filter(|(dc, _)| *dc != here);
        let target = match first {
            Some((_, wanted)) => part.min(room).minus((*wanted).min(part.minus(used))),
            None if need.is_zero() => part.min(room),
            None => {
                let ahead = need.times(ASK_AHEAD).min(limit.split(AHEAD_PART));
                used.plus(need).plus(ahead).max(part).min(room)
            }
        };
        let enough = used.plus(need).fits(&target);
        let want = (!need.is_zero() && !enough).then_some(need);
        if target == part && want == entry.parts.want_of(&here) && !entry.unsure {
            return;
        }
        entry.want = want;
        self.write_part(team, target);
    }

    fn write_part(&mut self, team: &Name, target: Resources) {
        let here = self.owner.data_centre.clone();
        let now = self.now;
        let guard = self.owner.guard();
        let config = Condition {
            key: Name::from("config"),
            version: self.configuration.row,
        };
        let Some(entry) = self.owner.allotments.entries.get_mut(team) else {
            return;
        };
        let mut parts = entry.parts.clone();
        parts.parts.insert(here.clone(), target);
        parts.set_want(&here, entry.want);
        entry.moving = Some(target);
        entry.next_move = now + MOVE_PAUSE;
        entry.cap = entry.cap.min(target);
        let key = format_compact!("allot/{team}");
        let transaction = Transaction {
            conditions: vec![
                Condition {
                    key: key.clone(),
                    version: entry.row,
                },
                config,
                guard,
            ],
            writes: vec![row(&key, &parts)],
        };
        let purpose = Purpose::Allot(self.owner.record.epoch, team.clone());
        if !self.store.write(transaction, purpose, now + MOVE_TIME) {
            self.allot_written(team, &Err(Fault::Unavailable));
        }
        self.apply_team(team);
    }

    pub(crate) fn allot_written(&mut self, team: &Name, result: &Result<Answered, Fault>) {
        let here = self.owner.data_centre.clone();
        let Some(entry) = self.owner.allotments.entries.get_mut(team) else {
            return;
        };
        let Some(target) = entry.moving.take() else {
            return;
        };
        match result {
            Ok(answered) => {
                entry.row = version_of(answered);
                entry.parts.parts.insert(here.clone(), target);
                entry.parts.set_want(&here, entry.want);
                entry.cap = target;
                entry.unsure = false;
                self.log(Notice::AllotmentMoved(team.clone()));
                self.apply_team(team);
            }
            // The write may still take effect, so the lower cap stays until a
            // later write rules that out. A scan repeats every row after this.
            Err(Fault::Unknown) => {
                entry.unsure = true;
                self.owner.allotments.scanned = 0;
            }
            Err(_) if entry.unsure => self.owner.allotments.scanned = 0,
            Err(_) => {
                let part = entry.parts.parts.get(&here).copied().unwrap_or_default();
                entry.cap = part;
                self.owner.allotments.scanned = 0;
                self.apply_team(team);
            }
        }
    }
}
