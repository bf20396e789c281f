//! Settings of the daemon, read from a YAML file and validated.
//!
//! Invariant: `load` and `parse` return only settings that passed all checks.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use control::{Identity, Timing};
use model::{Config, Hash, Name};
use serde::Deserialize;
use serde::de::Error as _;
use serde_saphyr::Spanned;

/// A duration, written as a number and a unit such as `500ms`, `20s` or `5m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigDuration(pub Duration);

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        let text = Name::deserialize(deserializer)?;
        let invalid = || {
            D::Error::custom(format!(
                "{text:?}: expected a number with the unit ms, s or m"
            ))
        };
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or_else(invalid)?;
        let (number, unit) = text.split_at(split);
        let number: u64 = number.parse().map_err(|_| invalid())?;
        match unit {
            "ms" => Ok(Self(Duration::from_millis(number))),
            "s" => Ok(Self(Duration::from_secs(number))),
            "m" => Ok(Self(Duration::from_secs(number.saturating_mul(60)))),
            _ => Err(invalid()),
        }
    }
}

/// Addresses that the daemon listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address of the HTTP interface for callers.
    pub callers: Spanned<SocketAddr>,
    /// Address of the HTTP administration interface; must differ from `callers`.
    pub admin: Spanned<SocketAddr>,
    /// UDP address of the QUIC transport between entry VMs.
    pub mesh: Spanned<SocketAddr>,
}

/// Files with a certificate chain and its private key, in PEM format.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Path of the certificate chain; the file is read at startup.
    pub certificate: Spanned<String>,
    /// Path of the private key; the file is read at startup.
    pub key: Spanned<String>,
}

/// Certificate and private key shared by all entry VMs, in PEM format.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mesh {
    /// Self-signed certificate for `greengagemast.mesh`, as `mesh-key` prints it.
    pub certificate: String,
    /// Private key of the certificate; omitted from debug output.
    pub key: String,
}

impl std::fmt::Debug for Mesh {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Mesh")
    }
}

/// Another entry VM, to which this one sends frames.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Unique name, as in the settings of that VM.
    pub name: Spanned<Name>,
    /// One of `data_centres`.
    pub data_centre: Spanned<Name>,
    /// UDP address of its mesh transport; unique among the entry VMs.
    pub address: Spanned<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Services {
    /// HTTP address of the table service.
    pub table: SocketAddr,
    /// HTTP address of the service that returns the VM list.
    pub vms: SocketAddr,
}

/// Format of the log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per record.
    #[default]
    Text,
    /// One JSON object per record.
    Json,
}

/// Format and level of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Text or JSON lines.
    pub format: LogFormat,
    /// True to log warnings only.
    pub quiet: bool,
}

/// Durations that override the defaults of `control::Timing`. The result must pass
/// `Timing::verify`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// Heartbeat interval to peers in the same data centre.
    pub beat: Option<ConfigDuration>,
    /// Heartbeat interval to peers in other data centres.
    pub beat_far: Option<ConfigDuration>,
    /// Time without a heartbeat after which a peer is considered dead.
    pub peer_silent: Option<ConfigDuration>,
    /// Interval between reads of the configuration and ownership.
    pub poll: Option<ConfigDuration>,
    /// Maximum time for which a worker holds its response to a watch call.
    pub sync: Option<ConfigDuration>,
    /// Maximum age of the configuration with which an owner may start work, for
    /// evacuations; not limited if absent.
    pub evacuation_proof: Option<ConfigDuration>,
    /// Time after which a worker ends tasks whose lease was not renewed.
    pub task_lease: Option<ConfigDuration>,
    /// Time for which an owner may act after its epoch was last confirmed.
    pub owner_lease: Option<ConfigDuration>,
    /// Time for which an ended job is retained.
    pub retention: Option<ConfigDuration>,
}

/// Content of the settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Name of this entry VM; must differ from those of the peers.
    pub name: Spanned<Name>,
    /// Data centre of this entry VM; one of `data_centres`.
    pub data_centre: Spanned<Name>,
    /// Names of all data centres, in the same order on every entry VM.
    pub data_centres: Spanned<Vec<Name>>,
    /// Addresses that the daemon listens on.
    pub listen: Listen,
    /// SHA-256 hash of the operator token, as 64 hexadecimal digits.
    pub admin_token_sha256: Spanned<Hash>,
    /// TLS for the interface to callers; plain HTTP if absent.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Certificate and key with which entry VMs authenticate each other.
    pub mesh: Mesh,
    /// All other entry VMs; none if absent.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Addresses of the platform's services.
    pub platform: Services,
    /// Limit on this VM's commit calls to the table service, per second; 1 to
    /// 1000, 40 if absent.
    #[serde(default = "default_writes")]
    pub store_writes_per_second: Spanned<u32>,
    /// Overrides of the default durations.
    #[serde(default = "default_times")]
    pub times: Spanned<Times>,
    /// Format and level of the log; text with all records if absent.
    #[serde(default)]
    pub log: Log,
    /// UDP address of a statsd server that receives the metrics; not sent if
    /// absent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Configuration to create if the table service has none.
    #[serde(default)]
    pub initial: Option<Spanned<Config>>,
}

/// Wraps a default value, which has no location in the file.
fn without_location<T>(value: T) -> Spanned<T> {
    let nowhere = serde_saphyr::Location::UNKNOWN;
    Spanned::new(value, nowhere, nowhere)
}

fn default_writes() -> Spanned<u32> {
    without_location(40)
}

fn default_times() -> Spanned<Times> {
    without_location(Times::default())
}

/// Error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The file cannot be read.
    #[error("cannot read {0}: {1}")]
    Unreadable(String, std::io::ErrorKind),
    /// Invalid syntax, unknown key, missing key or wrong type; the text contains
    /// the line.
    #[error("{0}")]
    Malformed(String),
    /// A value is invalid or conflicts with another one.
    #[error("line {line}: {field}: {reason}")]
    InvalidValue {
        /// Line number in the file.
        line: u64,
        /// Name of the key, with its parent keys separated by dots.
        field: &'static str,
        /// Allowed values, or the conflict.
        reason: String,
    },
}

/// Reads and validates a settings file.
///
/// # Errors
/// Returns the error of reading or parsing, or all invalid values.
pub fn load(path: &Path) -> Result<File, Vec<Problem>> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| vec![Problem::Unreadable(path.display().to_string(), e.kind())])?;
    parse(&text)
}

/// Parses and validates settings.
///
/// # Errors
/// Returns the parse error, or all invalid values.
pub fn parse(text: &str) -> Result<File, Vec<Problem>> {
    let file: File =
        serde_saphyr::from_str(text).map_err(|e| vec![Problem::Malformed(e.to_string())])?;
    let problems = file.validate();
    match problems.is_empty() {
        true => Ok(file),
        false => Err(problems),
    }
}

fn invalid_value<T>(at: &Spanned<T>, field: &'static str, reason: String) -> Problem {
    Problem::InvalidValue {
        line: at.referenced.line(),
        field,
        reason,
    }
}

impl File {
    fn validate(&self) -> Vec<Problem> {
        let mut out = Vec::new();
        self.check_data_centres(&mut out);
        self.check_addresses(&mut out);
        let token = &self.admin_token_sha256;
        if token.value.len() != 64 || !token.value.chars().all(|c| c.is_ascii_hexdigit()) {
            let reason = "must be 64 hexadecimal digits".to_owned();
            out.push(invalid_value(token, "admin_token_sha256", reason));
        }
        let writes = &self.store_writes_per_second;
        if !(1..=1_000).contains(&writes.value) {
            let reason = "must be between 1 and 1000".to_owned();
            out.push(invalid_value(writes, "store_writes_per_second", reason));
        }
        if let Err(conflict) = self.timing().verify() {
            out.push(invalid_value(&self.times, "times", conflict.to_string()));
        }
        if let Some(initial) = &self.initial
            && let Err(conflict) = initial.value.verify()
        {
            out.push(invalid_value(initial, "initial", conflict.to_string()));
        }
        out
    }

    fn check_data_centres(&self, out: &mut Vec<Problem>) {
        let known = &self.data_centres.value;
        let listed = || format!("must be one of data_centres: {}", known.join(", "));
        if !known.contains(&self.data_centre.value) {
            out.push(invalid_value(&self.data_centre, "data_centre", listed()));
        }
        let mut names = vec![&self.name.value];
        for peer in &self.peers {
            if !known.contains(&peer.data_centre.value) {
                out.push(invalid_value(
                    &peer.data_centre,
                    "peers.data_centre",
                    listed(),
                ));
            }
            if names.contains(&&peer.name.value) {
                let reason = format!(
                    "{} is already the name of another entry VM",
                    peer.name.value
                );
                out.push(invalid_value(&peer.name, "peers.name", reason));
            }
            names.push(&peer.name.value);
        }
    }

    fn check_addresses(&self, out: &mut Vec<Problem>) {
        let listen = &self.listen;
        if listen.callers.value == listen.admin.value {
            let reason = format!(
                "{} is already the address of listen.callers",
                listen.admin.value
            );
            out.push(invalid_value(&listen.admin, "listen.admin", reason));
        }
        let mut seen = vec![listen.mesh.value];
        for peer in &self.peers {
            if seen.contains(&peer.address.value) {
                let reason = format!(
                    "{} is already the mesh address of another entry VM",
                    peer.address.value
                );
                out.push(invalid_value(&peer.address, "peers.address", reason));
            }
            seen.push(peer.address.value);
        }
    }

    /// Returns the default timing with the overrides from the file.
    pub(crate) fn timing(&self) -> Timing {
        let mut timing = Timing::default();
        let times = &self.times.value;
        let set = |to: &mut Duration, from: Option<ConfigDuration>| {
            if let Some(ConfigDuration(value)) = from {
                *to = value;
            }
        };
        set(&mut timing.beat, times.beat);
        set(&mut timing.beat_far, times.beat_far);
        set(&mut timing.peer_silent, times.peer_silent);
        set(&mut timing.poll, times.poll);
        set(&mut timing.sync, times.sync);
        timing.evacuation_proof = times.evacuation_proof.map(|ConfigDuration(value)| value);
        set(&mut timing.task_lease, times.task_lease);
        set(&mut timing.owner_lease, times.owner_lease);
        set(&mut timing.retention, times.retention);
        timing
    }

    /// Builds the settings of the reducer.
    pub(crate) fn reducer_settings(&self) -> control::Settings {
        let peer = |p: &Peer| Identity {
            name: p.name.value.clone(),
            data_centre: p.data_centre.value.clone(),
        };
        control::Settings {
            identity: Identity {
                name: self.name.value.clone(),
                data_centre: self.data_centre.value.clone(),
            },
            peers: self.peers.iter().map(peer).collect(),
            data_centres: self.data_centres.value.clone(),
            timing: self.timing(),
            store_writes_per_second: self.store_writes_per_second.value,
            initial: self.initial.as_ref().map(|i| i.value.clone()),
        }
    }
}
