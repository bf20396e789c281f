//! Command line and startup of the daemon.
//!
//! Invariant: `serve` validates all settings before it starts anything.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use compact_str::format_compact;
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::channel;

use crate::edge::OutboundClients;
use crate::http_client::Client;
use crate::log_sink;
use crate::mesh::{self, MESH_SERVER_NAME, MeshTls};
use crate::metrics::Metrics;
use crate::platform::HttpPlatform;
use crate::server::{self, App};
use crate::settings::{self, File};
use crate::shell::{EventLoop, Input};
use crate::worker_client::{HttpExecutors, HttpWorkers};

/// Number of inputs that may be queued for the event loop.
const INPUT_QUEUE_CAPACITY: usize = 4_096;

fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Settings file, in YAML");
    Command::new("greengagemastd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Daemon of a greengagemast entry VM")
        .subcommand_required(true)
        .subcommand(
            Command::new("serve")
                .about("Validate the settings and run the daemon")
                .arg(config.clone()),
        )
        .subcommand(
            Command::new("check")
                .about("Validate the settings and exit")
                .arg(config),
        )
        .subcommand(
            Command::new("mesh-key")
                .about("Print a new mesh certificate and key for the settings file"),
        )
}

/// Parses the command line and runs the selected subcommand.
#[must_use]
pub fn main_with(args: Vec<OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            // A failure to print the message cannot be reported anywhere.
            let _ = error.print();
            return ExitCode::from(if error.use_stderr() { 2 } else { 0 });
        }
    };
    let outcome = match matches.subcommand() {
        Some(("check", args)) => load_settings(args).map(|_| println!("settings are valid")),
        Some(("serve", args)) => load_settings(args).and_then(run_daemon),
        _ => print_mesh_key(),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("greengagemastd: {report:#}");
            ExitCode::FAILURE
        }
    }
}

fn load_settings(args: &ArgMatches) -> eyre::Result<File> {
    let path = args
        .get_one::<PathBuf>("config")
        .ok_or_else(|| eyre::eyre!("--config is missing"))?;
    settings::load(path).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        eyre::eyre!("{}\n{}", path.display(), lines.join("\n"))
    })
}

fn print_mesh_key() -> eyre::Result<()> {
    let pair = rcgen::generate_simple_self_signed(vec![MESH_SERVER_NAME.to_owned()])
        .wrap_err("cannot generate a mesh certificate")?;
    println!("{}{}", pair.cert.pem(), pair.signing_key.serialize_pem());
    Ok(())
}

fn run_daemon(file: File) -> eyre::Result<()> {
    log_sink::install(file.log);
    // Fails only if the process already has a default provider, which is used
    // instead.
    let _ = rustls::crypto::ring::default_provider().install_default();
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(serve(file))
}

async fn serve(file: File) -> eyre::Result<()> {
    let mesh_tls = MeshTls::new(&file.mesh)?;
    let (sender, receiver) = channel(INPUT_QUEUE_CAPACITY);
    let client = Client::default();
    let seed = fastrand::u64(..);
    let outbound = OutboundClients {
        platform: HttpPlatform::new(client.clone(), &file.platform),
        workers: HttpWorkers(client.clone()),
        executors: HttpExecutors {
            client,
            run_prefix: format_compact!("{}-{seed:x}", file.name.value),
        },
    };
    let metrics = Metrics::new(file.statsd);
    let format = file.log.format;
    let mut event_loop = EventLoop::new(file.reducer_settings(), seed, outbound, metrics, format);
    mesh::listen(&mesh_tls, file.listen.mesh.value, event_loop.events())?;
    for peer in &file.peers {
        event_loop.add_peer(&mesh_tls, peer.name.value.clone(), peer.address.value);
    }
    let app = App {
        inputs: sender.clone(),
        admin_token: file.admin_token_sha256.value.clone(),
    };
    let listen = &file.listen;
    let tls = file.tls.as_ref();
    let servers = server::start(app, listen.callers.value, listen.admin.value, tls).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        // Fails only if the event loop has already ended.
        drop(sender.send(Input::Shutdown).await);
    });
    event_loop.run(receiver).await;
    servers.stop().await;
    Ok(())
}
