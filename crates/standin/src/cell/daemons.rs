//! The daemons of a cell, run as child processes.
//!
//! Invariant: signals are sent only to processes started here, by process id.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use compact_str::format_compact;
use model::{Name, key};
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::Instant;

use crate::cell::relay::{self, Link};
use crate::cell::world::World;
use crate::deployment::Deployment;

/// Bearer token for the admin API of every daemon.
pub(crate) const ADMIN_TOKEN: &str = "cell-operator-token";
/// Time limit for a graceful shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(35);

/// A daemon and its addresses.
pub(crate) struct Daemon {
    pub(crate) name: Name,
    pub(crate) data_centre: Name,
    pub(crate) client_addr: SocketAddr,
    pub(crate) admin_addr: SocketAddr,
    mesh_addr: SocketAddr,
    platform_addr: SocketAddr,
    settings_path: PathBuf,
    child: Option<Child>,
}

/// Processor time since the start of a daemon process, and its resident memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) cpu: Duration,
    pub(crate) rss_bytes: u64,
}

/// All daemons and the links between them.
pub(crate) struct Daemons {
    pub(crate) list: Vec<Daemon>,
    /// Links, each with the indices of the daemon that opens connections and of
    /// the one that accepts them.
    pub(crate) links: Vec<(usize, usize, Arc<Link>)>,
    temp_dir: tempfile::TempDir,
}

/// Returns a loopback address with a free port. Another process may bind the
/// port before the daemon does; the daemon then exits with an error.
fn free_port(udp: bool) -> std::io::Result<SocketAddr> {
    match udp {
        true => std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr(),
        false => std::net::TcpListener::bind("127.0.0.1:0")?.local_addr(),
    }
}

impl Daemons {
    /// Starts one daemon for each entry VM of the deployment.
    pub(crate) async fn start(deployment: &Deployment, world: &Arc<World>) -> eyre::Result<Self> {
        world.serve_worker_vms().await?;
        let mut daemons = Self {
            list: Vec::new(),
            links: Vec::new(),
            temp_dir: tempfile::tempdir()?,
        };
        for (data_centre, count) in &deployment.data_centres {
            for index in 0..*count {
                daemons.list.push(Daemon {
                    name: format_compact!("{data_centre}-e{index}"),
                    data_centre: data_centre.clone(),
                    client_addr: free_port(false)?,
                    admin_addr: free_port(false)?,
                    mesh_addr: free_port(true)?,
                    platform_addr: world.add_platform_endpoint().await?,
                    settings_path: PathBuf::new(),
                    child: None,
                });
            }
        }
        daemons.write_settings(deployment, world).await?;
        for daemon in &mut daemons.list {
            daemon.spawn()?;
        }
        Ok(daemons)
    }

    async fn write_settings(
        &mut self,
        deployment: &Deployment,
        world: &Arc<World>,
    ) -> eyre::Result<()> {
        let certificate =
            rcgen::generate_simple_self_signed(vec!["greengagemast.mesh".to_owned()])?;
        for from in 0..self.list.len() {
            let mut peers = Vec::new();
            for to in (0..self.list.len()).filter(|to| *to != from) {
                let link = Arc::new(Link::default());
                let same_data_centre = self.list[from].data_centre == self.list[to].data_centre;
                let delay_us = if same_data_centre {
                    200
                } else {
                    deployment.delay_us
                };
                let delay = Duration::from_micros(delay_us);
                let target = self.list[to].mesh_addr;
                let address = relay::start(target, delay, world.started, link.clone()).await?;
                self.links.push((from, to, link));
                peers.push(serde_json::json!({
                    "name": self.list[to].name,
                    "data_centre": self.list[to].data_centre,
                    "address": address,
                }));
            }
            let daemon = &mut self.list[from];
            // The settings file is YAML, of which JSON is a subset.
            let settings = serde_json::json!({
                "name": daemon.name,
                "data_centre": daemon.data_centre,
                "data_centres": deployment.data_centre_names(),
                "listen": {
                    "callers": daemon.client_addr,
                    "admin": daemon.admin_addr,
                    "mesh": daemon.mesh_addr,
                },
                "admin_token_sha256": key::hash(ADMIN_TOKEN),
                "mesh": {
                    "certificate": certificate.cert.pem(),
                    "key": certificate.signing_key.serialize_pem(),
                },
                "peers": peers,
                "platform": { "table": daemon.platform_addr, "vms": daemon.platform_addr },
                "initial": deployment.config,
            });
            daemon.settings_path = self.temp_dir.path().join(format!("{}.yaml", daemon.name));
            std::fs::write(&daemon.settings_path, serde_json::to_vec_pretty(&settings)?)?;
        }
        Ok(())
    }

    /// Waits until every daemon is ready.
    ///
    /// # Errors
    /// Fails if a daemon is not ready within `limit`.
    pub(crate) async fn wait_ready(&self, limit: Duration) -> eyre::Result<()> {
        let until = Instant::now() + limit;
        for daemon in &self.list {
            while !daemon.is_ready().await {
                if Instant::now() >= until {
                    eyre::bail!("entry VM {} was not ready within {limit:?}", daemon.name);
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Returns the processor time and memory of each daemon; `None` for one that
    /// is not running.
    pub(crate) fn usage(&self) -> Vec<Option<Usage>> {
        self.list.iter().map(Daemon::usage).collect()
    }

    /// Kills all daemons.
    pub(crate) async fn kill_all(mut self) {
        for daemon in &mut self.list {
            daemon.kill();
        }
    }
}

impl Daemon {
    /// Starts the daemon process: the current executable in the daemon role.
    pub(crate) fn spawn(&mut self) -> eyre::Result<()> {
        let program = std::env::current_exe()?;
        let log = self.settings_path.with_extension("log");
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(program)
            .env("GREENGAGEMAST_CELL_ROLE", "daemon")
            .arg("serve")
            .arg("--config")
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process without a graceful shutdown.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            // The process may have exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Requests a graceful shutdown and waits for it. Returns false if the
    /// process exceeded `SHUTDOWN_TIMEOUT` and was killed.
    pub(crate) async fn terminate(&mut self) -> bool {
        self.signal(Signal::TERM);
        let until = Instant::now() + SHUTDOWN_TIMEOUT;
        while Instant::now() < until {
            let ended = self.child.as_mut().map(Child::try_wait);
            if matches!(ended, None | Some(Ok(Some(_)) | Err(_))) {
                self.child = None;
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.kill();
        false
    }

    /// True if the daemon has a configuration, can verify API keys, and knows the
    /// load of every data centre, which implies that each has an owner.
    async fn is_ready(&self) -> bool {
        let Some(fleet) = crate::cell::client::fetch_fleet(self.admin_addr).await else {
            return false;
        };
        let load_count = fleet["loads"].as_array().map_or(0, Vec::len);
        let data_centre_count = fleet["peers"].as_array().map(|peers| {
            let mut names: Vec<&str> = peers
                .iter()
                .filter_map(|p| p["data_centre"].as_str())
                .chain([self.data_centre.as_str()])
                .collect();
            names.sort_unstable();
            names.dedup();
            names.len()
        });
        fleet["config"].as_u64() > Some(0)
            && data_centre_count == Some(load_count)
            && fleet["keys_verifiable"].as_bool() == Some(true)
    }

    fn usage(&self) -> Option<Usage> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // `utime` and `stime` are fields 14 and 15 in proc_pid_stat(5), in ticks
        // of 10 ms. The split has removed fields 1 and 2, so their indices are
        // 11 and 12.
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let memory = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = memory.split_whitespace().nth(1)?.parse().ok()?;
        Some(Usage {
            cpu: Duration::from_millis(ticks * 10),
            rss_bytes: pages * 4_096,
        })
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
