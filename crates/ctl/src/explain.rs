//! `greengagemast explain`: why a job waits, or where one would be placed.
//!
//! With `--vm`, the question is about graph jobs on the users' platform and goes to the
//! address for other VMs of any entry VM there; otherwise it goes to the administration
//! interface.
//!
//! Invariant: nothing is submitted or changed.

use std::fmt::Write as _;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Value, json};

use crate::api::{AdminClient, CommandError};
use crate::args::string_value;
use crate::show::scalar_text;

/// Path of the interface for other VMs that answers questions.
const PATH: &str = "/explain";

/// Definition of the subcommand.
pub(crate) fn command() -> Command {
    Command::new("explain")
        .about("Explain why a job waits or failed, or where one would be placed")
        .arg(
            Arg::new("job")
                .required_unless_present("file")
                .help("Job id"),
        )
        .arg(
            Arg::new("file")
                .long("file")
                .requires("queue")
                .requires("vm")
                .conflicts_with("job")
                .value_parser(value_parser!(PathBuf))
                .help("JSON file with a graph job that is not submitted"),
        )
        .arg(
            Arg::new("queue")
                .long("queue")
                .requires("file")
                .help("Queue to which the job in the file would be submitted"),
        )
        .arg(
            Arg::new("team")
                .long("team")
                .requires("file")
                .help("Team that would submit the job in the file; none if absent"),
        )
        .arg(
            Arg::new("vm")
                .long("vm")
                .help("Graph jobs: address for other VMs (listen.peers) of any entry VM"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Same as --output json"),
        )
}

/// True if the question is about a graph job.
pub(crate) fn is_graph_job(args: &ArgMatches) -> bool {
    args.contains_id("vm")
}

/// Asks an entry VM about a graph job.
pub(crate) async fn run(args: &ArgMatches) -> Result<(Value, String), CommandError> {
    let question = match args.get_one::<PathBuf>("file") {
        Some(path) => file_question(path, args)?,
        None => json!({ "job": string_value(args, "job") }),
    };
    let client = AdminClient::new(&string_value(args, "vm"), "");
    let value = client.ask(PATH, &question).await?;
    let text = explanation(&value);
    Ok((value, text))
}

fn file_question(path: &PathBuf, args: &ArgMatches) -> Result<Value, CommandError> {
    let invalid =
        |error: String| CommandError::InvalidInput(format!("{}: {error}", path.display()));
    let bytes = std::fs::read(path).map_err(|e| invalid(e.to_string()))?;
    let file: Value = serde_json::from_slice(&bytes).map_err(|e| invalid(e.to_string()))?;
    let mut question = json!({ "queue": string_value(args, "queue"), "file": file });
    if args.contains_id("team") {
        question["team"] = json!(string_value(args, "team"));
    }
    Ok(question)
}

/// Formats an explanation.
#[must_use]
pub fn explanation(value: &Value) -> String {
    let text = |key: &str| scalar_text(&value[key]);
    let job = match text("job") {
        id if id.is_empty() => "job that was not submitted".to_owned(),
        id => format!("job {id}"),
    };
    let team = match text("team") {
        team if team.is_empty() => "none".to_owned(),
        team => team,
    };
    let mut out = format!(
        "{job}: {}, queue {}, team {}, service {}\n  age {} ms of an objective of {} ms{}\n  \
         answered by {} in epoch {} with configuration {}\n",
        text("stage"),
        text("queue"),
        team,
        text("service"),
        text("age_ms"),
        text("objective_ms"),
        match value["beyond_rate"] == true {
            true => "; beyond its team's submission rate",
            false => "",
        },
        text("owner"),
        text("epoch"),
        text("config"),
    );
    if value["occurrence"].is_null() {
        out.push_str("  the next occurrence is not due yet\n");
    }
    for step in value["steps"].as_array().into_iter().flatten() {
        write_step(step, &mut out);
    }
    if value["steps_left_out"] != 0 {
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{} further steps left out", text("steps_left_out"));
    }
    out
}

fn write_step(step: &Value, out: &mut String) {
    let text = |key: &str| scalar_text(&step[key]);
    let names = |key: &str| {
        let values = step[key].as_array().into_iter().flatten();
        values.map(scalar_text).collect::<Vec<_>>().join(", ")
    };
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "step {}: {}\n  {} tasks, {} completed, {} wait; {} within the team's limit, {} could \
         start{}",
        text("step"),
        verdict(&text("verdict")),
        text("tasks"),
        text("done"),
        text("waiting"),
        text("within_limit"),
        text("startable"),
        match step["bounded"] == true {
            true => " (of those examined)",
            false => "",
        },
    );
    if let Some(place) = step["rank"].as_object() {
        let _ = writeln!(
            out,
            "  rank: {} of {} waiting steps go first",
            scalar_text(&place["ahead"]),
            scalar_text(&place["waiting"])
        );
    }
    let blocked_by = names("blocked_by");
    if !blocked_by.is_empty() {
        let _ = writeln!(out, "  after steps: {blocked_by}");
    }
    let _ = writeln!(
        out,
        "  qualify: {} servers {}",
        text("qualified"),
        names("servers")
    );
    let counts = step["excluded"].as_object().into_iter().flatten();
    for (reason, count) in counts.filter(|(_, count)| **count != 0) {
        let _ = writeln!(
            out,
            "  excluded: {} {}",
            scalar_text(count),
            exclusion(reason)
        );
    }
    if step["query_servers"] != 0 {
        let servers = text("query_servers");
        let _ = writeln!(
            out,
            "  a query to the admission policy would name {servers} servers"
        );
    }
    let _ = writeln!(
        out,
        "  forecast: {} ms a task, {} ms to the end of the job, {}",
        text("run_ms"),
        text("remaining_ms"),
        match step["on_time"] == true {
            true => "within its objective if it started now",
            false => "late even if it started now",
        },
    );
}

fn verdict(name: &str) -> &str {
    match name {
        "done" => "completed",
        "running" => "all its tasks run",
        "after_steps" => "waits for other steps",
        "unknown_runs" => "runs that an earlier owner started may exist unseen",
        "paused" => "the owner's term is not confirmed, nothing starts",
        "no_server" => "no server that is available can run it",
        "query" => "the admission policy has to be queried first",
        "limit" => "waits for its team's limit",
        "starts" => "all its waiting tasks would start",
        "starts_partly" => "some of its waiting tasks would start",
        "ticket" => "waits for tickets",
        "suspect" => "waits for a server on which it can start alone",
        "room" => "waits for free resources",
        "unexamined" => "too many tasks to find out whether the gang would start",
        other => other,
    }
}

fn exclusion(name: &str) -> &str {
    match name {
        "service" => "of other services",
        "evacuated" => "in evacuated data centres",
        "unreached" => "not reached by this owner, or not in the registry",
        "draining" => "draining",
        "unresponsive" => "not responding",
        "suspected" => "suspected of failing tasks or on probation",
        "orphans" => "with runs that are being stopped",
        "label" => "without the label",
        "denied" => "denied by the admission policy",
        "capacity" => "too small",
        "room" => "without room now",
        "ticket" => "without a valid ticket",
        "withheld" => "withheld for tasks that may have crashed servers",
        "spread" => "with as many tasks of the step as permitted",
        other => other,
    }
}
