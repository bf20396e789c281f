//! `greengagemast explain` for graph jobs, against an entry VM that gives a fixed answer.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Command, Output};

use serde_json::{Value, json};

use crate::vm::vm;

const JOB: &str = "0000000000000001";

fn explain(address: SocketAddr, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_greengagemast"))
        .args(["explain", "--vm", &address.to_string()])
        .args(args)
        .output()
        .expect("finished process")
}

fn answer() -> Value {
    json!({
        "owner": "edge-1", "epoch": 3, "config": 7, "job": JOB, "queue": "urgent",
        "team": "team", "service": "pool", "stage": "queued", "beyond_rate": false,
        "age_ms": 1200, "objective_ms": 900, "occurrence": 0, "steps_left_out": 0,
        "steps": [{
            "step": 0, "tasks": 4, "done": 1, "waiting": 3, "verdict": "room",
            "blocked_by": [], "qualified": 1, "servers": ["i-7"],
            "excluded": {"service": 12, "draining": 0, "room": 3}, "within_limit": 3,
            "startable": 1, "bounded": false, "query_servers": 0,
            "rank": {"ahead": 2, "waiting": 5}, "run_ms": 700, "remaining_ms": 1400,
            "on_time": false,
        }],
    })
}

/// Guards against text that leaves out why a step waits.
#[test]
fn the_text_says_what_a_step_waits_for() {
    let text = ctl::explanation(&answer());

    for part in [
        "job 0000000000000001: queued, queue urgent, team team, service pool",
        "answered by edge-1 in epoch 3 with configuration 7",
        "step 0: waits for free resources",
        "rank: 2 of 5 waiting steps go first",
        "qualify: 1 servers i-7",
        "excluded: 12 of other services",
        "excluded: 3 without room now",
        "late even if it started now",
    ] {
        assert!(text.contains(part), "{part} is not in:\n{text}");
    }
    assert!(!text.contains("draining"), "{text}");
}

/// Guards against scripts that take one kind of failure for another.
#[test]
fn exit_codes_tell_bad_input_from_an_owner_that_is_away() {
    let error = |text: &str| json!({ "error": "kind", "message": text });
    let cases = [
        (200, answer(), 0),
        (400, error("file.Pipeline[0].Count: invalid type"), 2),
        (404, error("queue: no queue is named \"none\""), 2),
        (410, error("job: \"1\" has ended"), 2),
        (503, error("the owner does not answer"), 4),
    ];
    for (status, body, code) in cases {
        let output = explain(vm(status, &body), &[JOB]);

        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{status}: {stderr}");
        let message = body["message"].as_str().unwrap_or_default();
        assert!(stderr.contains(message), "{status}: {stderr}");
    }
}

#[test]
fn json_output_is_the_answer_as_it_is() {
    let output = explain(vm(200, &answer()), &[JOB, "--json"]);

    let value: Value = serde_json::from_slice(&output.stdout).expect("JSON output");
    assert_eq!(value, answer());
}

#[test]
fn a_file_needs_a_queue() {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));

    let output = explain(address, &["--file", "job.json"]);

    assert_eq!(output.status.code(), Some(2));
}
