//! A cell on loopback: stand-ins, real daemons, load, faults and a verdict.
//!
//! Invariant: the verdict is computed from the ledger and from what callers
//! saw, never from the daemons' counters.

pub(crate) mod client;
pub(crate) mod daemons;
pub(crate) mod faults;
pub(crate) mod load;
pub(crate) mod operators;
pub(crate) mod relay;
pub(crate) mod report;
pub(crate) mod world;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::deployment;

pub use faults::Fault;

/// Longest wait for all daemons to be ready.
const READY_TIME: Duration = Duration::from_secs(20);
/// Time that accepted work gets to end after the load has ended.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment file.
    pub config: PathBuf,
    /// Length of the load.
    pub length: Duration,
    /// Seed of the load.
    pub seed: u64,
    /// Load relative to capacity.
    pub load: f64,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Show progress on stderr.
    pub progress: bool,
}

/// Runs a cell and prints its verdict; true when every promise held.
///
/// # Errors
/// Fails when the cell can't be set up.
pub async fn run(options: Options) -> eyre::Result<bool> {
    let text = std::fs::read_to_string(&options.config)?;
    let mut deployment = deployment::parse(&text)?;
    for (name, team) in &mut deployment.config.teams {
        team.keys.push(model::key::hash(&client::key_of(name)));
    }
    let started = Instant::now();
    let world = Arc::new(world::World::start(&deployment, started).await?);
    let mut daemons = daemons::Daemons::start(&deployment, &world).await?;
    daemons.wait_ready(READY_TIME).await?;
    let shared = Arc::new(client::Shared::new(
        &deployment,
        &daemons,
        world.clone(),
        options.clone(),
    ));
    let operators = tokio::spawn(operators::run(shared.clone()));
    let load = tokio::spawn(load::run(shared.clone()));
    let before = report::Reading::take(&world, &daemons);
    let begin = Instant::now();
    let injection = faults::inject(&shared, &mut daemons);
    let (injected, ()) = tokio::join!(injection, report::watch(&shared));
    injected?;
    let after = report::Reading::take(&world, &daemons);
    let control = report::Control::between(&before, &after, begin.elapsed());
    load.await?;
    let spread = operators.await?;
    report::drain(&shared, DRAIN_TIME).await;
    let verdict = report::Verdict::new(&shared, spread, control).await;
    daemons.stop().await;
    println!("{}", serde_json::to_string(&verdict)?);
    Ok(verdict.holds())
}
