//! Text output.
//!
//! Invariant: what is shown comes from the answer; nothing is made up for a
//! missing field but a dash.

use std::fmt::Write;

use serde_json::{Value, json};

fn word(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Keys of an object.
pub(crate) fn names(value: &Value) -> Vec<String> {
    let keys = value.as_object().map(|o| o.keys().cloned().collect());
    keys.unwrap_or_default()
}

/// Teams without their keys.
pub(crate) fn teams(value: &Value) -> Value {
    let mut out = json!({});
    for name in names(value) {
        let team = &value[&name];
        let keys = list(&team["keys"]).len();
        out[&name] = json!({ "share": team["share"], "limit": team["limit"], "keys": keys });
    }
    out
}

/// Result of a change.
pub(crate) fn changed(value: &Value) -> String {
    format!(
        "in force: version {}, confirmed by {} of {} entry VMs",
        word(&value["version"]),
        word(&value["confirmed"]),
        word(&value["of"])
    )
}

/// Status of a job.
pub(crate) fn job(value: &Value) -> String {
    let mut out = format!(
        "{}: {}, {} tasks, {} running, {} completed",
        word(&value["id"]),
        word(&value["phase"]),
        word(&value["tasks"]),
        word(&value["running"]),
        word(&value["completed"])
    );
    for reason in list(&value["explanation"]) {
        // Writing to a string does not fail.
        let _ = write!(out, "\n  {}", word(reason));
    }
    out
}

/// The fleet at a look.
pub(crate) fn status(fleet: &Value) -> String {
    let mut out = format!(
        "{}: configuration {}, preset {}, keys {}, store {}\n",
        word(&fleet["name"]),
        word(&fleet["config"]),
        word(&fleet["preset"]),
        if fleet["keys_verifiable"] == true {
            "verifiable"
        } else {
            "NOT VERIFIABLE"
        },
        if fleet["store_up"] == true {
            "up"
        } else {
            "DOWN"
        },
    );
    for peer in list(&fleet["peers"]) {
        let state = if peer["alive"] == true {
            "alive"
        } else {
            "SILENT"
        };
        // Writing to a string does not fail.
        let _ = writeln!(
            out,
            "entry VM {:<20} {:<14} {state:<7} configuration {}",
            word(&peer["name"]),
            word(&peer["data_centre"]),
            word(&peer["config"])
        );
    }
    for load in list(&fleet["loads"]) {
        let _ = writeln!(
            out,
            "data centre {:<14} epoch {:<4} free {} of {} millicpus, {} tasks wait",
            word(&load["data_centre"]),
            word(&load["epoch"]),
            word(&load["free"]["millicpus"]),
            word(&load["total"]["millicpus"]),
            word(&load["waiting_tasks"])
        );
        for service in list(&load["services"]) {
            let _ = writeln!(
                out,
                "  service {:<16} {} slots free, {} requests wait",
                word(&service["service"]),
                word(&service["free"]),
                word(&service["waiting"])
            );
        }
    }
    for team in list(&fleet["teams"]) {
        let _ = writeln!(
            out,
            "team {:<16} {} millicpus, {} accelerators, {} slots in use; {} jobs wait",
            word(&team["name"]),
            word(&team["used"]["millicpus"]),
            word(&team["used"]["accelerators"]),
            word(&team["used"]["slots"]),
            word(&team["waiting"])
        );
    }
    out
}
