//! The configuration that operators change: presets, teams, keys and queues.
//!
//! Invariant: a `Config` that `verify` accepts has exactly one preset in
//! force, no key hash in two teams, and a positive share for every team.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Hash, Name, Resources, WorkKind, key};

/// Largest number of teams.
pub const MAX_TEAMS: usize = 512;
/// Largest number of queues.
pub const MAX_QUEUES: usize = 512;
/// Largest number of keys of one team.
pub const MAX_KEYS: usize = 64;
/// Change identifiers that a configuration remembers.
const MAX_HISTORY: usize = 32;
/// Largest length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Order in which teams are offered free resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamOrder {
    /// Lowest weighted dominant share in use first.
    #[default]
    DominantShare,
    /// Lowest weighted resource-time received first, with decay.
    DecayedUsage,
    /// Oldest job first, shares ignored.
    Fifo,
}

/// The weights and bounds of one mode of operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preset {
    /// Order between teams.
    pub order: TeamOrder,
    /// Longest wait of a gang in ms before workers are reserved for it.
    pub reserve_after_ms: u64,
    /// Whether urgent work may preempt batch work.
    pub preempt: bool,
    /// Most requests waiting per team and queue before refusal.
    pub max_waiting: u32,
}

impl Default for Preset {
    fn default() -> Self {
        Self {
            order: TeamOrder::DominantShare,
            reserve_after_ms: 2_000,
            preempt: true,
            max_waiting: 64,
        }
    }
}

/// A team of submitters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight relative to the other teams when the fleet is full.
    pub share: u32,
    /// Most that may run at once across the fleet.
    #[serde(default)]
    pub limit: Option<Resources>,
    /// Hashes of the granted keys.
    #[serde(default)]
    pub keys: Vec<Hash>,
}

/// A named entry point for requests or jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Kind of work accepted.
    pub work: WorkKind,
    /// True when no key is needed; work then counts for `open_team`.
    #[serde(default)]
    pub open_team: Option<Name>,
    /// True when a request may be sent again after an unknown outcome.
    #[serde(default)]
    pub idempotent: bool,
    /// Executor service that answers requests of this queue.
    #[serde(default)]
    pub service: Option<Name>,
}

/// Everything operators control, as one versioned document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Grows by one with each accepted change; zero is "none yet".
    #[serde(default)]
    pub version: u64,
    /// Identifiers of the latest changes, newest last.
    #[serde(default)]
    pub history: Vec<Name>,
    /// Presets by name.
    pub presets: BTreeMap<Name, Preset>,
    /// Name of the preset in force.
    #[serde(rename = "in_force")]
    pub active_preset: Name,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Queues by name.
    pub queues: BTreeMap<Name, Queue>,
}

/// One change by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum Change {
    /// Creates or replaces a preset.
    PutPreset {
        /// Name of the preset.
        name: Name,
        /// New content.
        preset: Preset,
    },
    /// Puts another preset in force.
    SwitchPreset {
        /// Name of an existing preset.
        name: Name,
    },
    /// Creates a team or replaces its share and limit; keys stay.
    PutTeam {
        /// Name of the team.
        name: Name,
        /// New weight.
        share: u32,
        /// New limit, or none.
        limit: Option<Resources>,
    },
    /// Adds a key hash to a team.
    GrantKey {
        /// Name of the team.
        team: Name,
        /// Hash of the new key.
        hash: Hash,
    },
    /// Removes a key hash from a team.
    WithdrawKey {
        /// Name of the team.
        team: Name,
        /// Hash of the key.
        hash: Hash,
    },
    /// Creates or replaces a queue.
    PutQueue {
        /// Name of the queue.
        name: Name,
        /// New content.
        queue: Queue,
    },
}

/// Why a change or a configuration is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigError {
    /// The named preset does not exist.
    #[error("no preset named {0}")]
    NoPreset(Name),
    /// The named team does not exist.
    #[error("no team named {0}")]
    NoTeam(Name),
    /// The key is not granted to the team.
    #[error("team {0} has no such key")]
    NoKey(Name),
    /// The key hash belongs to a team already.
    #[error("the key is already granted to team {0}")]
    KeyInUse(Name),
    /// A share must be positive.
    #[error("the share of team {0} must be at least 1")]
    ZeroShare(Name),
    /// A name is empty, too long or has characters outside `[a-z0-9._-]`.
    #[error("the name {0:?} must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '.', '_' and '-'")]
    BadName(Name),
    /// A request queue needs a service to answer it.
    #[error("queue {0} takes requests and needs a service")]
    NoService(Name),
    /// A table is full.
    #[error("there are already {0} entries of this kind")]
    Full(usize),
    /// Another change came first; read again and retry.
    #[error("another change came first; version {0} is in force")]
    Raced(u64),
}

fn check_name(name: &Name) -> Result<(), ConfigError> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "._-".contains(c);
    match name {
        n if n.is_empty() || n.len() > MAX_NAME_BYTES => Err(ConfigError::BadName(name.clone())),
        n if !n.chars().all(is_allowed) => Err(ConfigError::BadName(name.clone())),
        _ => Ok(()),
    }
}

impl Config {
    /// The configuration after one change, with the next version.
    ///
    /// # Errors
    /// Returns the conflict that rules the change out.
    pub fn with_change(&self, change: &Change, change_id: Name) -> Result<Self, ConfigError> {
        let mut next = self.clone();
        next.apply(change)?;
        next.verify()?;
        next.version += 1;
        next.history.push(change_id);
        let excess = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..excess);
        Ok(next)
    }

    fn apply(&mut self, change: &Change) -> Result<(), ConfigError> {
        match change {
            Change::PutPreset { name, preset } => {
                self.presets.insert(name.clone(), preset.clone());
            }
            Change::SwitchPreset { name } => self.active_preset = name.clone(),
            Change::PutTeam { name, share, limit } => {
                let team = self.teams.entry(name.clone()).or_default();
                team.share = *share;
                team.limit = *limit;
            }
            Change::GrantKey { team, hash } => {
                if let Some(owner) = self.team_by_key(hash) {
                    return Err(ConfigError::KeyInUse(owner.clone()));
                }
                self.team_mut(team)?.keys.push(hash.clone());
            }
            Change::WithdrawKey { team, hash } => {
                let keys = &mut self.team_mut(team)?.keys;
                let before = keys.len();
                keys.retain(|k| !key::constant_time_eq(k, hash));
                if keys.len() == before {
                    return Err(ConfigError::NoKey(team.clone()));
                }
            }
            Change::PutQueue { name, queue } => {
                self.queues.insert(name.clone(), queue.clone());
            }
        }
        Ok(())
    }

    fn team_mut(&mut self, name: &Name) -> Result<&mut Team, ConfigError> {
        self.teams
            .get_mut(name)
            .ok_or_else(|| ConfigError::NoTeam(name.clone()))
    }

    /// Checks the whole document.
    ///
    /// # Errors
    /// Returns the first conflict found.
    pub fn verify(&self) -> Result<(), ConfigError> {
        if !self.presets.contains_key(&self.active_preset) {
            return Err(ConfigError::NoPreset(self.active_preset.clone()));
        }
        if self.teams.len() > MAX_TEAMS {
            return Err(ConfigError::Full(MAX_TEAMS));
        }
        if self.queues.len() > MAX_QUEUES {
            return Err(ConfigError::Full(MAX_QUEUES));
        }
        self.presets.keys().try_for_each(check_name)?;
        for (name, team) in &self.teams {
            check_name(name)?;
            match team {
                t if t.share == 0 => return Err(ConfigError::ZeroShare(name.clone())),
                t if t.keys.len() > MAX_KEYS => return Err(ConfigError::Full(MAX_KEYS)),
                _ => {}
            }
        }
        for (name, queue) in &self.queues {
            check_name(name)?;
            if queue.work == WorkKind::Request && queue.service.is_none() {
                return Err(ConfigError::NoService(name.clone()));
            }
            if let Some(team) = queue
                .open_team
                .as_ref()
                .filter(|t| !self.teams.contains_key(*t))
            {
                return Err(ConfigError::NoTeam(team.clone()));
            }
        }
        Ok(())
    }

    /// The team that holds the key with this hash.
    #[must_use]
    pub fn team_by_key(&self, hash: &Hash) -> Option<&Name> {
        let has_key = |team: &Team| team.keys.iter().any(|k| key::constant_time_eq(k, hash));
        self.teams.iter().find(|(_, t)| has_key(t)).map(|(n, _)| n)
    }

    /// The preset in force, or the default before any configuration.
    #[must_use]
    pub fn preset(&self) -> Preset {
        self.presets
            .get(&self.active_preset)
            .cloned()
            .unwrap_or_default()
    }
}
