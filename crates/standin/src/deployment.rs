//! A deployment file: data centres, workers, executors, teams and load.
//!
//! Invariant: sizes come from the file only; the seed changes nothing in them.

use std::collections::BTreeMap;

use model::{Config, Executor, Life, Name, Resources, Role, Vm};
use serde::Deserialize;

/// A kind of worker with the service on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerPool {
    /// Service that its executors answer.
    pub service: Name,
    /// Number of workers.
    pub workers: u32,
    /// Workers in a rack.
    pub per_rack: u32,
    /// Whole worker.
    pub capacity: Resources,
    /// Part that the executor keeps.
    pub executor_keeps: Resources,
    /// Slots of each executor.
    pub slots: u32,
    /// Connections of each executor.
    pub connections: u32,
    /// Mean run time of a request in ms.
    pub mean_ms: u64,
}

/// Jobs that one queue gets.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobStream {
    /// Queue.
    pub queue: Name,
    /// Part of the whole job load, by processors.
    pub part: f64,
    /// Resources of each task.
    pub each: Resources,
    /// Fewest tasks of a job.
    pub min_tasks: u32,
    /// Most tasks of a job.
    pub max_tasks: u32,
    /// Mean true run time in ms.
    pub mean_ms: u64,
    /// True when the jobs are urgent.
    #[serde(default)]
    pub urgent: bool,
}

/// A deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the region.
    pub region: Name,
    /// Entry VMs in each data centre.
    pub data_centres: BTreeMap<Name, u32>,
    /// One-way delay between data centres in microseconds.
    pub delay_us: u64,
    /// One-way delay from clients in microseconds.
    pub client_delay_us: u64,
    /// Kinds of workers.
    pub pools: Vec<WorkerPool>,
    /// Part of requests sent by each team; sums to one.
    pub demand: BTreeMap<Name, f64>,
    /// Queues for requests, with the part of the service's load.
    pub requests: BTreeMap<Name, f64>,
    /// Job streams.
    pub jobs: Vec<JobStream>,
    /// First configuration.
    pub config: Config,
}

/// Reads a deployment.
///
/// # Errors
/// Returns the parser's message with its line.
pub fn parse(text: &str) -> eyre::Result<Deployment> {
    let deployment: Deployment = serde_saphyr::from_str(text)?;
    deployment.config.verify()?;
    Ok(deployment)
}

impl Deployment {
    /// Names of the data centres.
    #[must_use]
    pub fn data_centre_names(&self) -> Vec<Name> {
        self.data_centres.keys().cloned().collect()
    }

    /// All workers, spread evenly over data centres and racks; addresses are
    /// left empty.
    #[must_use]
    pub fn workers(&self) -> Vec<(Vm, WorkerPool)> {
        let names = self.data_centre_names();
        let mut out = Vec::new();
        for pool in &self.pools {
            for index in 0..pool.workers {
                let data_centre = names[index as usize % names.len()].clone();
                let local = index / names.len() as u32;
                let rack = local / pool.per_rack.max(1);
                let service = &pool.service;
                let name = format!("{data_centre}-{service}-{local}");
                let vm = Vm {
                    name: name.into(),
                    rack: format!("{data_centre}-{service}-r{rack}").into(),
                    data_centre,
                    role: Role::Worker,
                    life: Life::Live,
                    address: Name::default(),
                    capacity: pool.capacity.minus(pool.executor_keeps),
                    executor: Some(Executor {
                        service: service.clone(),
                        address: Name::default(),
                        slots: pool.slots,
                        connections: pool.connections,
                    }),
                };
                out.push((vm, pool.clone()));
            }
        }
        out
    }
}
