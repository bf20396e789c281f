//! What operators control, as the scheduler reads it.
//!
//! Invariant: a `Config` is never changed after it was read; a newer version
//! takes its place whole.

use std::collections::HashMap;
use std::time::Duration;

use model::{Hash, Name, Resources};

/// An outside policy that decides which backend servers may run a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Time for one decision.
    pub base_latency: Duration,
    /// Further time for each backend server named.
    pub latency_per_server: Duration,
    /// How long a ticket can be used.
    pub ticket_validity: Duration,
}

impl AdmissionPolicy {
    /// Time that a decision on `servers` backend servers takes.
    #[must_use]
    pub fn decision_latency(&self, servers: usize) -> Duration {
        self.base_latency + self.latency_per_server * servers as u32
    }
}

/// A queue: an entry point for the jobs of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Beginning of the path.
    pub path_prefix: Name,
    /// Service whose backend servers run the tasks.
    pub service: Name,
    /// True when no key is needed.
    pub allow_anonymous: bool,
    /// Zero is the most urgent; urgent work may preempt.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub max_attempts: u32,
    /// Factor on a job's longest chain of work in its latency objective.
    pub slack_factor: f64,
    /// Constant part of the latency objective.
    pub latency_target: Duration,
    /// Outside policy.
    pub admission: Option<AdmissionPolicy>,
}

/// A service: a pool of backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// True when its backend servers are powered off.
    pub standby: bool,
}

/// A team of submitters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: Name,
    /// Hashes of its keys.
    pub key_hashes: Vec<Hash>,
    /// Weight when all is full.
    pub weight: u32,
    /// Most that may run at once across the fleet; zero means no limit.
    pub limit: Resources,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; grows in uneven steps.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams.
    pub teams: Vec<Team>,
    queue_by_name: HashMap<Name, usize>,
    team_by_name: HashMap<Name, usize>,
}

impl Config {
    /// A version with these contents.
    #[must_use]
    pub fn new(version: u64, queues: Vec<Queue>, services: Vec<Service>, teams: Vec<Team>) -> Self {
        let queue_names = queues.iter().map(|queue| &queue.name);
        let team_names = teams.iter().map(|team| &team.name);
        Self {
            version,
            queue_by_name: index_by_name(queue_names),
            team_by_name: index_by_name(team_names),
            queues,
            services,
            teams,
        }
    }

    /// The queue for a host and path, and what follows its prefix.
    #[must_use]
    pub fn route<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        let matching = self.queues.iter().filter(|queue| queue.host == host);
        matching
            .filter_map(|queue| Some((queue, path.strip_prefix(queue.path_prefix.as_str())?)))
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// The queue of this name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let position = self.queue_by_name.get(name)?;
        self.queues.get(*position)
    }

    /// The team of this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        let position = self.team_by_name.get(name)?;
        self.teams.get(*position)
    }

    /// Teams by the hashes of their keys.
    pub(crate) fn teams_by_key_hash(&self) -> HashMap<Hash, Name> {
        let pairs = |team: &Team| {
            let name = team.name.clone();
            let keys = team.key_hashes.clone();
            keys.into_iter().map(move |key| (key, name.clone()))
        };
        self.teams.iter().flat_map(pairs).collect()
    }
}

/// Position of each name.
fn index_by_name<'n, I>(names: I) -> HashMap<Name, usize>
where
    I: Iterator<Item = &'n Name>,
{
    names
        .enumerate()
        .map(|(at, name)| (name.clone(), at))
        .collect()
}
