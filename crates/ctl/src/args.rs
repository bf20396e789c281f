//! Command line of the operator tool and the actions of its subcommands.
//!
//! Invariant: each subcommand submits at most one change.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use model::{Change, Name, Preset, Queue, Resources, WorkKind, key};
use serde_json::{Value, json};

use crate::api::{AdminClient, CommandError};
use crate::explain;
use crate::show;
use crate::trace::Trace;

/// Length in bytes of a new team key, read from the operating system's random
/// source.
const KEY_BYTES: usize = 24;

fn required_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

fn u32_option(name: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(u32);
    Arg::new(name).long(name).value_parser(parser).help(help)
}

/// Definition of the command line.
pub(crate) fn command() -> Command {
    Command::new("greengagemast")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operate a greengagemast fleet through any of its entry VMs")
        .subcommand_required(true)
        .arg(
            Arg::new("admin")
                .long("admin")
                .env("GREENGAGEMAST_ADMIN")
                .default_value("127.0.0.1:8081")
                .global(true)
                .help("Administration address of an entry VM"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .env("GREENGAGEMAST_TOKEN_FILE")
                .value_parser(value_parser!(PathBuf))
                .global(true)
                .help("File that contains the operator token"),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_parser(["text", "json"])
                .default_value("text")
                .global(true)
                .help("Output format"),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_parser(value_parser!(u64))
                .global(true)
                .help("Apply the change only if this configuration version is active"),
        )
        .subcommand(
            Command::new("status").about("Show the state of the fleet, its teams and services"),
        )
        .subcommand(Command::new("config").about("Print the active configuration"))
        .subcommand(Command::new("metrics").about("Print quantiles of the waiting times per team"))
        .subcommand(explain::command())
        .subcommand(
            Command::new("trace")
                .about("Merge the log lines of several entry VMs on one request, in order")
                .arg(required_arg(
                    "id",
                    "Job id, or other text that its log lines contain",
                ))
                .arg(
                    required_arg("files", "Log files")
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("evacuate")
                .about("Start no more work in a data centre; running work goes on")
                .arg(required_arg("data_centre", "Data centre")),
        )
        .subcommand(
            Command::new("restore")
                .about("Permit new work in an evacuated data centre again")
                .arg(required_arg("data_centre", "Data centre")),
        )
        .subcommand(
            Command::new("evacuations")
                .about("List the evacuated data centres and what still runs there"),
        )
        .subcommand(preset_command())
        .subcommand(team_command())
        .subcommand(key_command())
        .subcommand(queue_command())
}

fn preset_command() -> Command {
    Command::new("preset")
        .about("Presets")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the preset names and the active preset"))
        .subcommand(Command::new("show").arg(required_arg("name", "Preset")))
        .subcommand(Command::new("switch").arg(required_arg("name", "Preset to activate")))
        .subcommand(
            Command::new("put")
                .about("Create or replace a preset")
                .arg(required_arg("name", "Preset"))
                .arg(required_arg("file", "JSON file with the preset")),
        )
}

fn team_command() -> Command {
    Command::new("team")
        .about("Teams")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List teams with their shares and limits"))
        .subcommand(
            Command::new("put")
                .about("Create a team or replace its share and limit")
                .arg(required_arg("name", "Team"))
                .arg(u32_option("share", "Weight").required(true))
                .arg(u32_option(
                    "millicpus",
                    "CPU limit in thousandths of a core",
                ))
                .arg(u32_option("memory-mib", "Memory limit in MiB"))
                .arg(u32_option("accelerators", "Limit on accelerators"))
                .arg(u32_option("slots", "Limit on running requests")),
        )
}

fn key_command() -> Command {
    Command::new("key")
        .about("Manage team keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("grant")
                .about(
                    "Generate a key, grant it to the team and print it; it cannot be shown again",
                )
                .arg(required_arg("team", "Team")),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraw a key by its hash")
                .arg(required_arg("team", "Team"))
                .arg(required_arg("hash", "Hash of the key, as listed")),
        )
        .subcommand(Command::new("list").arg(required_arg("team", "Team")))
}

fn queue_command() -> Command {
    Command::new("queue")
        .about("Queues")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Queues"))
        .subcommand(
            Command::new("put")
                .about("Create or replace a queue")
                .arg(required_arg("name", "Queue"))
                .arg(
                    Arg::new("work")
                        .long("work")
                        .required(true)
                        .value_parser(["request", "service", "batch", "gang"]),
                )
                .arg(
                    Arg::new("service")
                        .long("service")
                        .help("Service whose executors run the requests"),
                )
                .arg(
                    Arg::new("open-team")
                        .long("open-team")
                        .help("Accept callers without a key and account their work to this team"),
                )
                .arg(
                    Arg::new("idempotent")
                        .long("idempotent")
                        .action(clap::ArgAction::SetTrue)
                        .help("Requests may be run more than once"),
                ),
        )
}

pub(crate) fn string_value(args: &ArgMatches, id: &str) -> Name {
    let value = args.get_one::<String>(id);
    value.map(Name::from).unwrap_or_default()
}

/// Runs the selected subcommand and returns its output.
pub(crate) async fn run(args: &ArgMatches) -> Result<String, CommandError> {
    let token = match args.get_one::<PathBuf>("token-file") {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| CommandError::InvalidInput(format!("{}: {e}", path.display())))?,
        None => String::new(),
    };
    let client = AdminClient::new(&string_value(args, "admin"), token.trim());
    let json = string_value(args, "output") == "json";
    let expected_version = args.get_one::<u64>("expect").copied();
    let Some((name, sub_args)) = args.subcommand() else {
        return Err(CommandError::InvalidInput("missing subcommand".to_owned()));
    };
    let (value, text) = match name {
        "status" => {
            let value = client.get("/admin/v1/fleet").await?;
            let text = show::fleet_status(&value);
            (value, text)
        }
        "config" => pretty_json(client.get("/admin/v1/config").await?),
        "metrics" => pretty_json(client.get("/admin/v1/metrics").await?),
        "explain" if explain::is_graph_job(sub_args) => explain::run(sub_args).await?,
        "explain" => {
            let path = format!("/admin/v1/jobs/{}", string_value(sub_args, "job"));
            let value = client.get(&path).await?;
            let text = show::job_status(&value);
            (value, text)
        }
        "trace" => trace_logs(sub_args)?,
        "evacuate" | "restore" => {
            let change = evacuation_change(name, sub_args);
            let value = client.apply_change(&change, expected_version).await?;
            let text = show::change_summary(&value);
            (value, text)
        }
        "evacuations" => {
            let fleet = client.get("/admin/v1/fleet").await?;
            let text = show::evacuations(&fleet);
            (fleet["evacuations"].clone(), text)
        }
        _ => run_group_action(&client, name, sub_args, expected_version).await?,
    };
    let json = json || (name == "explain" && sub_args.get_flag("json"));
    Ok(if json { value.to_string() } else { text })
}

/// Merges local log files; sends no request.
fn trace_logs(args: &ArgMatches) -> Result<(Value, String), CommandError> {
    let id = string_value(args, "id");
    let mut trace = Trace::default();
    for path in args.get_many::<PathBuf>("files").into_iter().flatten() {
        let bytes = std::fs::read(path)
            .map_err(|e| CommandError::InvalidInput(format!("{}: {e}", path.display())))?;
        trace.add_log(&id, &String::from_utf8_lossy(&bytes));
    }
    let unparsed_lines = trace.unparsed_lines;
    let mut text = trace.into_text();
    match (text.is_empty(), unparsed_lines) {
        (true, _) => {
            return Err(CommandError::InvalidInput(format!(
                "no log line contains {id}"
            )));
        }
        (false, 0) => {}
        (false, _) => text.push_str(&format!("{unparsed_lines} lines could not be parsed\n")),
    }
    let value = json!({ "lines": text.lines().collect::<Vec<_>>() });
    Ok((value, text))
}

fn pretty_json(value: Value) -> (Value, String) {
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    (value, text)
}

async fn run_group_action(
    client: &AdminClient,
    group: &str,
    args: &ArgMatches,
    expected_version: Option<u64>,
) -> Result<(Value, String), CommandError> {
    let Some((action, sub_args)) = args.subcommand() else {
        return Err(CommandError::InvalidInput("missing subcommand".to_owned()));
    };
    if let Some(change) = parse_change(group, action, sub_args)? {
        let value = client.apply_change(&change, expected_version).await?;
        let text = show::change_summary(&value);
        return Ok((value, text));
    }
    if (group, action) == ("key", "grant") {
        return grant_key(client, &string_value(sub_args, "team"), expected_version).await;
    }
    let config = client.get("/admin/v1/config").await?;
    let value = match (group, action) {
        ("preset", "list") => json!({
            "in_force": config["in_force"],
            "presets": show::object_keys(&config["presets"]),
        }),
        ("preset", _) => config["presets"][string_value(sub_args, "name").as_str()].clone(),
        ("key", _) => config["teams"][string_value(sub_args, "team").as_str()]["keys"].clone(),
        ("team", _) => show::team_summaries(&config["teams"]),
        _ => config["queues"].clone(),
    };
    if value.is_null() {
        return Err(CommandError::InvalidInput(
            "no entry has this name".to_owned(),
        ));
    }
    Ok(pretty_json(value))
}

/// Generates a key locally; only its hash is sent.
async fn grant_key(
    client: &AdminClient,
    team: &Name,
    expected_version: Option<u64>,
) -> Result<(Value, String), CommandError> {
    let mut bytes = [0_u8; KEY_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| CommandError::InvalidInput(e.to_string()))?;
    let team_key: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    let change = Change::GrantKey {
        team: team.clone(),
        hash: key::hash(&team_key),
    };
    let mut value = client.apply_change(&change, expected_version).await?;
    value["key"] = Value::from(team_key.clone());
    let text = format!("{team_key}\n{}", show::change_summary(&value));
    Ok((value, text))
}

fn parse_change(
    group: &str,
    action: &str,
    args: &ArgMatches,
) -> Result<Option<Change>, CommandError> {
    let change = match (group, action) {
        ("preset", "switch") => Change::SwitchPreset {
            name: string_value(args, "name"),
        },
        ("preset", "put") => Change::PutPreset {
            name: string_value(args, "name"),
            preset: read_preset(&string_value(args, "file"))?,
        },
        ("team", "put") => Change::PutTeam {
            name: string_value(args, "name"),
            share: args.get_one("share").copied().unwrap_or(0),
            limit: parse_limit(args),
        },
        ("key", "withdraw") => Change::WithdrawKey {
            team: string_value(args, "team"),
            hash: string_value(args, "hash"),
        },
        ("queue", "put") => Change::PutQueue {
            name: string_value(args, "name"),
            queue: parse_queue(args),
        },
        _ => return Ok(None),
    };
    Ok(Some(change))
}

fn evacuation_change(command: &str, args: &ArgMatches) -> Change {
    let data_centre = string_value(args, "data_centre");
    match command {
        "evacuate" => Change::Evacuate { data_centre },
        _ => Change::Restore { data_centre },
    }
}

fn read_preset(path: &str) -> Result<Preset, CommandError> {
    let text =
        std::fs::read(path).map_err(|e| CommandError::InvalidInput(format!("{path}: {e}")))?;
    serde_json::from_slice(&text).map_err(|e| CommandError::InvalidInput(format!("{path}: {e}")))
}

/// Returns `None` if no resource limit is given; otherwise, omitted resources
/// are unlimited.
fn parse_limit(args: &ArgMatches) -> Option<Resources> {
    let part = |id: &str| args.get_one::<u32>(id).copied();
    let parts = ["millicpus", "memory-mib", "accelerators", "slots"].map(part);
    let [cpus, memory, accelerators, slots] = parts.map(|p| p.unwrap_or(u32::MAX));
    let given = parts.iter().any(Option::is_some);
    given.then_some(Resources::of(cpus, memory, accelerators, slots))
}

fn parse_queue(args: &ArgMatches) -> Queue {
    let work = match string_value(args, "work").as_str() {
        "request" => WorkKind::Request,
        "service" => WorkKind::Service,
        "gang" => WorkKind::Gang,
        _ => WorkKind::Batch,
    };
    Queue {
        work,
        open_team: args.get_one::<String>("open-team").map(Name::from),
        idempotent: args.get_flag("idempotent"),
        service: args.get_one::<String>("service").map(Name::from),
    }
}
