//! `greengagemast evacuate` and `greengagemast evacuations`.

use std::net::SocketAddr;
use std::process::{Command, Output};

use serde_json::json;

use crate::vm::vm;

fn run(admin: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_greengagemast"))
        .args(["--admin", &admin.to_string()])
        .args(args)
        .output()
        .expect("finished process")
}

/// Guards against a list that hides who has not confirmed an evacuation.
#[test]
fn evacuations_say_who_has_not_confirmed_and_what_runs() {
    let evacuation = |unconfirmed: &[&str], tasks: Option<u32>| {
        json!({
            "data_centre": "east", "since_version": 7, "unconfirmed": unconfirmed,
            "used": {"millicpus": 4000, "memory_mib": 512, "accelerators": 0},
            "waiting_tasks": 3, "running_tasks": tasks, "running_requests": tasks,
        })
    };
    let fleet = json!({
        "evacuations": [evacuation(&["e2"], None), evacuation(&[], Some(5))],
    });

    let output = run(vm(200, &fleet), &["evacuations"]);

    let text = String::from_utf8_lossy(&output.stdout);
    for part in [
        "evacuated since version 7, not confirmed by e2; tasks use 4000 millicpus",
        "in force everywhere; 5 tasks and 5 requests run; 3 tasks wait",
    ] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
}

/// Guards against a script that takes a misspelt name for an evacuation.
#[test]
fn an_unknown_data_centre_is_a_conflict() {
    let conflict = json!({ "outcome": "conflict", "message": "no data centre named nowhere" });

    let output = run(vm(409, &conflict), &["evacuate", "nowhere"]);

    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(3), "{stderr}");
    assert!(stderr.contains("no data centre named nowhere"), "{stderr}");
}
