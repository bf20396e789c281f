//! Operators of a cell: regular changes, and how fast they spread.
//!
//! Invariant: a version seen at an entry VM is never followed by a lower one,
//! or it is counted as reverted.

use std::sync::Arc;
use std::time::Duration;

use model::{Change, Name};
use tokio::time::Instant;

use crate::cell::client::Shared;

/// Period of regular changes.
const PERIOD: Duration = Duration::from_millis(2_000);
/// Longest wait for a change to spread.
const SPREAD_TIME: Duration = Duration::from_secs(16);

/// What was seen of configuration changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spread {
    pub(crate) changes: u64,
    pub(crate) spread_ms: Vec<u64>,
    pub(crate) reverted: u64,
}

/// Makes changes until the run is over.
pub(crate) async fn run(shared: Arc<Shared>) -> Spread {
    let mut spread = Spread::default();
    let until = Instant::now() + shared.options.length;
    let mut highest = vec![0_u64; shared.entries.len()];
    let mut turn = 0;
    while Instant::now() + PERIOD < until {
        tokio::time::sleep(PERIOD).await;
        turn += 1;
        let at = turn % shared.entries.len();
        let change = next_change(&shared, turn);
        let sent = Instant::now();
        let Some((200, value)) = shared.change(at, &change, None).await else {
            continue;
        };
        let Some(version) = value["version"].as_u64() else {
            continue;
        };
        spread.changes += 1;
        while sent.elapsed() < SPREAD_TIME {
            let seen = shared.versions().await;
            note_reverted(&seen, &mut highest, &mut spread);
            // An entry VM that does not answer serves nobody.
            if seen.iter().flatten().all(|v| *v >= version) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        spread.spread_ms.push(sent.elapsed().as_millis() as u64);
    }
    spread
}

fn note_reverted(seen: &[Option<u64>], highest: &mut [u64], spread: &mut Spread) {
    for (at, version) in seen.iter().enumerate() {
        match version {
            // A process that has just started has none yet.
            Some(v) if *v > 0 && *v < highest[at] => spread.reverted += 1,
            Some(v) => highest[at] = highest[at].max(*v),
            None => {}
        }
    }
}

/// Switches between the presets, and rewrites a team as it is.
fn next_change(shared: &Shared, turn: usize) -> Change {
    let config = &shared.deployment.config;
    let names: Vec<&Name> = config.presets.keys().collect();
    if turn.is_multiple_of(3) {
        let name = names[turn / 3 % names.len()].clone();
        return Change::SwitchPreset { name };
    }
    let teams: Vec<&Name> = config.teams.keys().collect();
    let name = teams[turn % teams.len()].clone();
    let team = &config.teams[&name];
    Change::PutTeam {
        name,
        share: team.share,
        limit: team.limit,
    }
}
