//! Faults injected into a running cell.
//!
//! Each begins at 30% of the run and is over at 60%, so that the rest of the
//! run shows the recovery.
//!
//! Invariant: every fault that is begun is undone.

use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use model::{Change, Name, key};
use rustix::process::Signal;

use crate::cell::client::Shared;
use crate::cell::daemons::Daemons;
use crate::cell::world::lock;

/// Time after which the platform replaces a failed entry VM.
const REPLACE_TIME: Duration = Duration::from_secs(3);
/// Operators that race.
const RACERS: usize = 12;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry VM fails and is replaced.
    KillEntry,
    /// An entry VM is paused.
    PauseEntry,
    /// Each entry VM is restarted gracefully in turn.
    RollingRestart,
    /// A worker VM fails.
    KillWorker,
    /// A worker fails every task.
    BlackHoleWorker,
    /// A worker leaves.
    LeavingWorker,
    /// The table service is down.
    StoreOutage,
    /// The table service is slow.
    StoreSlow,
    /// Answers are lost after taking effect.
    LostAnswers,
    /// One data centre is cut off from the others and the platform.
    PartitionDc,
    /// One data centre is cut off from the platform.
    PartitionPlatform,
    /// Open connections go silent.
    SilentConnections,
    /// Half of the jobs are cancelled at once.
    CancelWave,
    /// A key is withdrawn.
    WithdrawKey,
    /// Operators race.
    RacingOperators,
}

/// All faults by name.
const NAMES: [(&str, Fault); 15] = [
    ("kill-entry", Fault::KillEntry),
    ("pause-entry", Fault::PauseEntry),
    ("rolling-restart", Fault::RollingRestart),
    ("kill-worker", Fault::KillWorker),
    ("black-hole-worker", Fault::BlackHoleWorker),
    ("leaving-worker", Fault::LeavingWorker),
    ("store-outage", Fault::StoreOutage),
    ("store-slow", Fault::StoreSlow),
    ("lost-answers", Fault::LostAnswers),
    ("partition-dc", Fault::PartitionDc),
    ("partition-platform", Fault::PartitionPlatform),
    ("silent-connections", Fault::SilentConnections),
    ("cancel-wave", Fault::CancelWave),
    ("withdraw-key", Fault::WithdrawKey),
    ("racing-operators", Fault::RacingOperators),
];

/// A fault name that is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no fault named {name:?}; there are: {}", NAMES.map(|(n, _)| n).join(", "))]
pub struct UnknownFault {
    name: String,
}

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Self, UnknownFault> {
        let found = NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, fault)| *fault).ok_or_else(|| UnknownFault {
            name: text.to_owned(),
        })
    }
}

/// Injects the chosen faults at their times and undoes them.
pub(crate) async fn inject(shared: &Arc<Shared>, daemons: &mut Daemons) -> eyre::Result<()> {
    let length = shared.options.length;
    tokio::time::sleep(length.mul_f64(0.3)).await;
    let faults = shared.options.faults.clone();
    let mut rolling = false;
    for fault in &faults {
        begin(shared, daemons, *fault).await;
        rolling |= *fault == Fault::RollingRestart;
    }
    if faults.contains(&Fault::KillEntry) {
        tokio::time::sleep(REPLACE_TIME).await;
        daemons.list[0].spawn()?;
    }
    if rolling {
        restart_all(shared, daemons).await?;
    }
    tokio::time::sleep(length.mul_f64(0.3)).await;
    for fault in &faults {
        end(shared, daemons, *fault);
    }
    Ok(())
}

async fn begin(shared: &Arc<Shared>, daemons: &mut Daemons, fault: Fault) {
    let world = &shared.world;
    match fault {
        Fault::KillEntry => daemons.list[0].kill(),
        Fault::PauseEntry => daemons.list[1].signal(Signal::STOP),
        Fault::RollingRestart => {}
        Fault::KillWorker => world.kill_host(0),
        Fault::BlackHoleWorker => lock(&world.hosts[1].worker).faults.black_hole = true,
        Fault::LeavingWorker => world.announce_leaving(2),
        Fault::StoreOutage => set_doors(shared, &all(daemons), |s| {
            s.unavailable.store(true, Ordering::Relaxed);
        }),
        Fault::StoreSlow => set_doors(shared, &all(daemons), |s| {
            s.delay_ms.store(400, Ordering::Relaxed);
        }),
        Fault::LostAnswers => {
            set_doors(shared, &all(daemons), |s| {
                s.drop_response_interval.store(7, Ordering::Relaxed);
            });
            for host in &world.hosts {
                host.worker_switches
                    .drop_response_interval
                    .store(11, Ordering::Relaxed);
            }
        }
        Fault::PartitionDc => {
            let inside = first_data_centre(daemons);
            cut_links(daemons, &inside, true);
            set_doors(shared, &inside, |s| {
                s.partitioned.store(true, Ordering::Relaxed)
            });
        }
        Fault::PartitionPlatform => {
            let inside = first_data_centre(daemons);
            set_doors(shared, &inside, |s| {
                s.partitioned.store(true, Ordering::Relaxed)
            });
        }
        Fault::SilentConnections => silence(shared, daemons),
        Fault::CancelWave => cancel_half(shared).await,
        Fault::WithdrawKey => withdraw(shared).await,
        Fault::RacingOperators => race(shared).await,
    }
}

fn end(shared: &Arc<Shared>, daemons: &mut Daemons, fault: Fault) {
    let world = &shared.world;
    match fault {
        Fault::PauseEntry => daemons.list[1].signal(Signal::CONT),
        Fault::KillWorker => world.revive_host(0),
        Fault::BlackHoleWorker => lock(&world.hosts[1].worker).faults.black_hole = false,
        Fault::StoreOutage => set_doors(shared, &all(daemons), |s| {
            s.unavailable.store(false, Ordering::Relaxed);
        }),
        Fault::StoreSlow => set_doors(shared, &all(daemons), |s| {
            s.delay_ms.store(0, Ordering::Relaxed);
        }),
        Fault::LostAnswers => {
            set_doors(shared, &all(daemons), |s| {
                s.drop_response_interval.store(0, Ordering::Relaxed);
            });
            for host in &world.hosts {
                host.worker_switches
                    .drop_response_interval
                    .store(0, Ordering::Relaxed);
            }
        }
        Fault::PartitionDc | Fault::PartitionPlatform => {
            let inside = first_data_centre(daemons);
            cut_links(daemons, &inside, false);
            set_doors(shared, &inside, |s| {
                s.partitioned.store(false, Ordering::Relaxed)
            });
        }
        _ => {}
    }
}

fn all(daemons: &Daemons) -> Vec<usize> {
    (0..daemons.list.len()).collect()
}

fn first_data_centre(daemons: &Daemons) -> Vec<usize> {
    let first = daemons.list[0].data_centre.clone();
    let here = |at: &usize| daemons.list[*at].data_centre == first;
    all(daemons).into_iter().filter(here).collect()
}

fn set_doors<F>(shared: &Shared, which: &[usize], set: F)
where
    F: Fn(&crate::http::FaultInjection),
{
    let doors = lock(&shared.world.doors);
    which.iter().for_each(|at| set(&doors[*at].switches));
}

fn cut_links(daemons: &Daemons, inside: &[usize], cut: bool) {
    for (from, to, link) in &daemons.links {
        if inside.contains(from) != inside.contains(to) {
            link.cut.store(cut, Ordering::Relaxed);
        }
    }
}

fn silence(shared: &Shared, daemons: &Daemons) {
    let now_ms = shared.world.now_ms();
    for host in &shared.world.hosts {
        for switches in [&host.worker_switches, &host.executor_switches] {
            switches.silent_before_ms.store(now_ms, Ordering::Relaxed);
        }
    }
    set_doors(shared, &all(daemons), |s| {
        s.silent_before_ms.store(now_ms, Ordering::Relaxed);
    });
    for (_, _, link) in &daemons.links {
        link.silent_before_ms.store(now_ms, Ordering::Relaxed);
    }
}

async fn restart_all(shared: &Arc<Shared>, daemons: &mut Daemons) -> eyre::Result<()> {
    for daemon in &mut daemons.list {
        if !daemon.terminate().await {
            eprintln!("{} did not shut down in time", daemon.name);
        }
        daemon.spawn()?;
        // The platform goes on to the next one when this one is ready.
        for _ in 0..100 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let fleet = crate::cell::client::fleet(daemon.admin).await;
            let ready = fleet.is_some_and(|f| f["config"].as_u64() > Some(0));
            if ready {
                break;
            }
        }
        shared.check_ready().await;
    }
    Ok(())
}

async fn cancel_half(shared: &Arc<Shared>) {
    let chosen: Vec<(usize, Name, Name)> = {
        let jobs = lock(&shared.jobs);
        let half = jobs.iter().enumerate().filter(|(at, _)| at % 2 == 0);
        half.map(|(at, job)| (at, job.id.clone(), job.team.clone()))
            .collect()
    };
    let mut calls = Vec::new();
    for (at, id, team) in chosen {
        let shared = shared.clone();
        calls.push(tokio::spawn(async move {
            let key = lock(&shared.keys).get(&team).cloned().unwrap_or_default();
            let bearer = format!("Bearer {key}");
            let headers = [("authorization", bearer.as_str())];
            let path = format!("/v1/jobs/{id}");
            let limit = Duration::from_secs(5);
            // Whatever the answer, the job may have been cancelled.
            lock(&shared.jobs)[at].cancelled = true;
            shared
                .call(Method::DELETE, &path, &Bytes::new(), &headers, limit)
                .await;
        }));
    }
    for call in calls {
        // A call ends only by itself.
        let _ = call.await;
    }
}

/// Withdraws the key of the first team, gives it another, and lets a prober
/// go on with the old one.
async fn withdraw(shared: &Arc<Shared>) {
    let Some(team) = shared.deployment.config.teams.keys().next().cloned() else {
        return;
    };
    let old = lock(&shared.keys).get(&team).cloned().unwrap_or_default();
    let new = format!("second-{old}");
    let grant = Change::GrantKey {
        team: team.clone(),
        hash: key::hash(&new),
    };
    shared.change(0, &grant, None).await;
    lock(&shared.keys).insert(team.clone(), new);
    let withdraw = Change::WithdrawKey {
        team,
        hash: key::hash(&old),
    };
    let answer = shared.change(1, &withdraw, None).await;
    if answer.is_some_and(|(status, _)| status == 200) {
        let now_ms = shared.world.now_ms();
        *lock(&shared.withdrawn) = Some((old, now_ms));
        tokio::spawn(probe(shared.clone()));
    }
}

/// Shows a withdrawn key at every entry VM and counts acceptances.
async fn probe(shared: Arc<Shared>) {
    let keyed = shared.deployment.requests.keys().find(|q| {
        let queue = &shared.deployment.config.queues[*q];
        queue.open_team.is_none() && queue.idempotent
    });
    let (Some(queue), Some((key, since))) = (keyed.cloned(), lock(&shared.withdrawn).clone())
    else {
        return;
    };
    let bearer = format!("Bearer {key}");
    let mut number = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(50)).await;
        number += 1;
        let body = Bytes::from(format!("probe-{number} 0 1"));
        let path = format!("/v1/queues/{queue}/requests");
        let headers = [("authorization", bearer.as_str())];
        let sent_ms = shared.world.now_ms();
        let limit = Duration::from_secs(2);
        let (answer, _) = shared
            .call(Method::POST, &path, &body, &headers, limit)
            .await;
        let done = answer.is_some_and(|a| {
            let outcome = a.headers().get("x-outcome");
            outcome.is_some_and(|o| o.as_bytes() == b"done")
        });
        if done && sent_ms > since + crate::ledger::PROPAGATION_GRACE_MS {
            *lock(&shared.after_withdrawal) += 1;
        }
    }
}

/// Operators who all change the same version at once.
async fn race(shared: &Arc<Shared>) {
    let versions = shared.versions().await;
    let Some(version) = versions.into_iter().flatten().max() else {
        return;
    };
    let mut calls = Vec::new();
    for racer in 0..RACERS {
        let shared = shared.clone();
        let change = Change::PutTeam {
            name: Name::from(format!("racer-{racer}")),
            share: 1,
            limit: None,
        };
        let at = racer % shared.entries.len();
        calls.push(tokio::spawn(async move {
            shared.change(at, &change, Some(version)).await
        }));
    }
    let mut won = 0;
    for call in calls {
        if let Ok(Some((200, _))) = call.await {
            won += 1;
        }
    }
    if won > 1 {
        // Two winners on one version: the later one reverted the earlier.
        *lock(&shared.reverted_races) += won - 1;
    }
}
