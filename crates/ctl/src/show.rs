//! Formats responses as text.
//!
//! Invariant: all values shown are taken from the response; a missing field is
//! shown as a dash.

use std::fmt::Write;

use serde_json::{Value, json};

pub(crate) fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns the keys of a JSON object; empty for any other value.
pub(crate) fn object_keys(value: &Value) -> Vec<String> {
    let keys = value.as_object().map(|o| o.keys().cloned().collect());
    keys.unwrap_or_default()
}

/// Summarizes teams, with the number of keys in place of their hashes.
pub(crate) fn team_summaries(value: &Value) -> Value {
    let mut out = json!({});
    for name in object_keys(value) {
        let team = &value[&name];
        let keys = elements(&team["keys"]).len();
        out[&name] = json!({ "share": team["share"], "limit": team["limit"], "keys": keys });
    }
    out
}

/// Formats the result of a change.
pub(crate) fn change_summary(value: &Value) -> String {
    format!(
        "in force: version {}, confirmed by {} of {} entry VMs",
        scalar_text(&value["version"]),
        scalar_text(&value["confirmed"]),
        scalar_text(&value["of"])
    )
}

/// Formats the status of a job and the explanation of its placement.
pub(crate) fn job_status(value: &Value) -> String {
    let mut out = format!(
        "{}: {}, {} tasks, {} running, {} completed",
        scalar_text(&value["id"]),
        scalar_text(&value["phase"]),
        scalar_text(&value["tasks"]),
        scalar_text(&value["running"]),
        scalar_text(&value["completed"])
    );
    for reason in elements(&value["explanation"]) {
        // Writing to a string cannot fail.
        let _ = write!(out, "\n  {}", scalar_text(reason));
    }
    out
}

/// Formats the evacuated data centres in the state of the fleet.
pub(crate) fn evacuations(fleet: &Value) -> String {
    let list = elements(&fleet["evacuations"]);
    if list.is_empty() {
        return "no data centre is evacuated".to_owned();
    }
    let lines = list.iter().map(|evacuation| {
        let unconfirmed = elements(&evacuation["unconfirmed"]);
        let state = match unconfirmed {
            [] => "in force everywhere".to_owned(),
            names => {
                let names: Vec<String> = names.iter().map(scalar_text).collect();
                format!("not confirmed by {}", names.join(", "))
            }
        };
        let runs = match (&evacuation["running_tasks"], &evacuation["used"]) {
            (Value::Null, Value::Null) => "its owner is not known".to_owned(),
            (Value::Null, used) => format!(
                "tasks use {} millicpus, {} MiB, {} accelerators",
                scalar_text(&used["millicpus"]),
                scalar_text(&used["memory_mib"]),
                scalar_text(&used["accelerators"])
            ),
            (tasks, _) => format!(
                "{} tasks and {} requests run",
                scalar_text(tasks),
                scalar_text(&evacuation["running_requests"])
            ),
        };
        format!(
            "data centre {:<14} evacuated since version {}, {state}; {runs}; {} tasks wait",
            scalar_text(&evacuation["data_centre"]),
            scalar_text(&evacuation["since_version"]),
            scalar_text(&evacuation["waiting_tasks"])
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Formats the state of the fleet.
pub(crate) fn fleet_status(fleet: &Value) -> String {
    let mut out = format!(
        "{}: configuration {}, preset {}, keys {}, store {}\n",
        scalar_text(&fleet["name"]),
        scalar_text(&fleet["config"]),
        scalar_text(&fleet["preset"]),
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
    for peer in elements(&fleet["peers"]) {
        let state = if peer["alive"] == true {
            "alive"
        } else {
            "SILENT"
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "entry VM {:<20} {:<14} {state:<7} configuration {}",
            scalar_text(&peer["name"]),
            scalar_text(&peer["data_centre"]),
            scalar_text(&peer["config"])
        );
    }
    for load in elements(&fleet["loads"]) {
        let _ = writeln!(
            out,
            "data centre {:<14} epoch {:<4} free {} of {} millicpus, {} tasks wait",
            scalar_text(&load["data_centre"]),
            scalar_text(&load["epoch"]),
            scalar_text(&load["free"]["millicpus"]),
            scalar_text(&load["total"]["millicpus"]),
            scalar_text(&load["waiting_tasks"])
        );
        for service in elements(&load["services"]) {
            let _ = writeln!(
                out,
                "  service {:<16} {} slots free, {} requests wait",
                scalar_text(&service["service"]),
                scalar_text(&service["free"]),
                scalar_text(&service["waiting"])
            );
        }
    }
    for team in elements(&fleet["teams"]) {
        let _ = writeln!(
            out,
            "team {:<16} {} millicpus, {} accelerators, {} slots in use; {} jobs wait",
            scalar_text(&team["name"]),
            scalar_text(&team["used"]["millicpus"]),
            scalar_text(&team["used"]["accelerators"]),
            scalar_text(&team["used"]["slots"]),
            scalar_text(&team["waiting"])
        );
    }
    out
}
