//! Plays crowds of hostile clients against one process and reports what it uses.
//!
//! `cargo build --release -p daemon && cargo run --release -p daemon --example crowd --
//! target/release/greengagemastd CONNECTIONS MEMORY_MB DESCRIPTORS`
//!
//! A line for each kind of crowd: peak resident memory, largest sum of resident memory
//! and bytes that the kernel holds unread, most descriptors, and whether ordinary
//! requests are answered afterwards, while the crowd stays connected.

#[path = "../../../platform/daemon/tests/hostile_clients/crowd.rs"]
mod crowd;
#[path = "../../../platform/daemon/tests/hostile_clients/process.rs"]
mod process;
#[path = "../../../platform/daemon/tests/hostile_clients/table.rs"]
mod table;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use crowd::{Crowd, Kind};
use process::{Limits, Platform, Usage};

/// Interval between two readings of the process's use of the machine.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// Time for which readings go on after the crowd has sent everything.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Reads the use of the machine until dropped. Resident and unread bytes are added in
/// `memory`.
async fn sample(platform: &Platform, peak: &mut Usage) {
    loop {
        let now = platform.usage();
        let memory = now.memory + now.unread;
        *peak = peak.max(Usage { memory, ..now });
        tokio::time::sleep(SAMPLE_PERIOD).await;
    }
}

async fn play(program: &str, limits: Limits, size: usize, name: &str, kinds: &[Kind]) {
    let mut platform = Platform::start(program, limits).await;
    let address: SocketAddr = platform.addresses.callers;
    let mut peak = Usage::default();
    let crowd = async {
        let crowd = Crowd::open(address, size, kinds).await;
        tokio::time::sleep(SETTLE_TIME).await;
        crowd
    };
    let crowd = tokio::select! {
        crowd = crowd => crowd,
        () = sample(&platform, &mut peak) => return,
    };
    let alive = platform.is_alive();
    let served = platform.serves_ordinary_request(2).await;
    let peak = peak.max(platform.usage());
    println!(
        "| {name} | {size} | {} | {} | {:.1} | {:.1} | {} | {} |",
        limits.memory_mb,
        crowd.len(),
        peak.peak_memory as f64 / 1e6,
        peak.memory as f64 / 1e6,
        peak.descriptors,
        match (alive, served) {
            (true, true) => "yes",
            (true, false) => "no",
            (false, _) => "ended",
        }
    );
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize| args.get(i).and_then(|arg| arg.parse::<u32>().ok());
    let (Some(program), Some(size), Some(memory_mb), Some(descriptors)) =
        (args.first(), number(1), number(2), number(3))
    else {
        eprintln!("usage: crowd PROGRAM CONNECTIONS MEMORY_MB DESCRIPTORS");
        return ExitCode::from(2);
    };
    let limits = Limits {
        memory_mb,
        descriptors,
    };
    println!(
        "| crowd | size | MB | connected | peak MB | with unread MB | descriptors | answered |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for kind in Kind::ALL {
        play(
            program,
            limits,
            size as usize,
            &format!("{kind:?}"),
            &[kind],
        )
        .await;
    }
    play(program, limits, size as usize, "all", &Kind::ALL).await;
    ExitCode::SUCCESS
}
