//! Command line of the operator's command.
//!
//! Invariant: each subcommand makes at most one change.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use model::{Change, Name, Preset, Queue, Resources, WorkKind, key};
use serde_json::{Value, json};

use crate::api::{Api, Failure};
use crate::show;
use crate::trace::Trace;

/// Random bytes in a new key, from the operating system.
const KEY_BYTES: usize = 24;

fn named(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(u32);
    Arg::new(name).long(name).value_parser(parser).help(help)
}

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("greengagemast")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a greengagemast fleet through any of its entry VMs")
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
                .help("File with the operators' token"),
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
                .help("Change only if this configuration version is in force"),
        )
        .subcommand(Command::new("status").about("Fleet, teams and queues at a look"))
        .subcommand(Command::new("config").about("The configuration in force"))
        .subcommand(Command::new("metrics").about("Waiting times per team"))
        .subcommand(
            Command::new("explain")
                .about("Why a job waits or where it went")
                .arg(named("job", "Job id")),
        )
        .subcommand(
            Command::new("trace")
                .about("Lines of many entry VMs' logs on one request, in order")
                .arg(named("id", "Job id, or another text of its lines"))
                .arg(
                    named("files", "Log files")
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(preset())
        .subcommand(team())
        .subcommand(key_command())
        .subcommand(queue())
}

fn preset() -> Command {
    Command::new("preset")
        .about("Presets")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Names, the one in force marked"))
        .subcommand(Command::new("show").arg(named("name", "Preset")))
        .subcommand(Command::new("switch").arg(named("name", "Preset to put in force")))
        .subcommand(
            Command::new("put")
                .about("Creates or replaces a preset")
                .arg(named("name", "Preset"))
                .arg(named("file", "JSON file with its content")),
        )
}

fn team() -> Command {
    Command::new("team")
        .about("Teams")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Teams with shares and limits"))
        .subcommand(
            Command::new("put")
                .about("Creates a team or replaces its share and limit")
                .arg(named("name", "Team"))
                .arg(number("share", "Weight").required(true))
                .arg(number("millicpus", "Limit in thousandths of a core"))
                .arg(number("memory-mib", "Limit in MiB"))
                .arg(number("accelerators", "Limit in accelerators"))
                .arg(number("slots", "Limit in running requests")),
        )
}

fn key_command() -> Command {
    Command::new("key")
        .about("Team keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("grant")
                .about("Makes a key, grants it and prints it once")
                .arg(named("team", "Team")),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key by its hash")
                .arg(named("team", "Team"))
                .arg(named("hash", "Hash as listed")),
        )
        .subcommand(Command::new("list").arg(named("team", "Team")))
}

fn queue() -> Command {
    Command::new("queue")
        .about("Queues")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Queues"))
        .subcommand(
            Command::new("put")
                .about("Creates or replaces a queue")
                .arg(named("name", "Queue"))
                .arg(
                    Arg::new("work")
                        .long("work")
                        .required(true)
                        .value_parser(["request", "service", "batch", "gang"]),
                )
                .arg(Arg::new("service").long("service").help("Executor service"))
                .arg(
                    Arg::new("open-team")
                        .long("open-team")
                        .help("Open to all; work counts for this team"),
                )
                .arg(
                    Arg::new("idempotent")
                        .long("idempotent")
                        .action(clap::ArgAction::SetTrue)
                        .help("Requests may be sent again"),
                ),
        )
}

fn text_of(args: &ArgMatches, id: &str) -> Name {
    let value = args.get_one::<String>(id);
    value.map(Name::from).unwrap_or_default()
}

/// Runs the chosen subcommand and returns what to print.
pub(crate) async fn run(args: &ArgMatches) -> Result<String, Failure> {
    let token = match args.get_one::<PathBuf>("token-file") {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| Failure::Input(format!("{}: {e}", path.display())))?,
        None => String::new(),
    };
    let api = Api::new(&text_of(args, "admin"), token.trim());
    let json = text_of(args, "output") == "json";
    let expect = args.get_one::<u64>("expect").copied();
    let Some((name, sub)) = args.subcommand() else {
        return Err(Failure::Input("no subcommand".to_owned()));
    };
    let (value, text) = match name {
        "status" => {
            let value = api.get("/admin/v1/fleet").await?;
            let text = show::status(&value);
            (value, text)
        }
        "config" => plain(api.get("/admin/v1/config").await?),
        "metrics" => plain(api.get("/admin/v1/metrics").await?),
        "explain" => {
            let path = format!("/admin/v1/jobs/{}", text_of(sub, "job"));
            let value = api.get(&path).await?;
            let text = show::job(&value);
            (value, text)
        }
        "trace" => trace(sub)?,
        _ => nested(&api, name, sub, expect).await?,
    };
    Ok(if json { value.to_string() } else { text })
}

/// Reads log files; nothing is asked of any VM.
fn trace(args: &ArgMatches) -> Result<(Value, String), Failure> {
    let id = text_of(args, "id");
    let mut trace = Trace::default();
    for path in args.get_many::<PathBuf>("files").into_iter().flatten() {
        let bytes =
            std::fs::read(path).map_err(|e| Failure::Input(format!("{}: {e}", path.display())))?;
        trace.read(&id, &String::from_utf8_lossy(&bytes));
    }
    let unread = trace.unread;
    let mut text = trace.text();
    match (text.is_empty(), unread) {
        (true, _) => return Err(Failure::Input(format!("no line on {id}"))),
        (false, 0) => {}
        (false, _) => text.push_str(&format!("{unread} lines are not log lines\n")),
    }
    let value = json!({ "lines": text.lines().collect::<Vec<_>>() });
    Ok((value, text))
}

fn plain(value: Value) -> (Value, String) {
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    (value, text)
}

async fn nested(
    api: &Api,
    group: &str,
    args: &ArgMatches,
    expect: Option<u64>,
) -> Result<(Value, String), Failure> {
    let Some((action, sub)) = args.subcommand() else {
        return Err(Failure::Input("no subcommand".to_owned()));
    };
    if let Some(change) = change_of(group, action, sub)? {
        let value = api.change(&change, expect).await?;
        let text = show::changed(&value);
        return Ok((value, text));
    }
    if (group, action) == ("key", "grant") {
        return grant(api, &text_of(sub, "team"), expect).await;
    }
    let config = api.get("/admin/v1/config").await?;
    let value = match (group, action) {
        ("preset", "list") => json!({
            "in_force": config["in_force"],
            "presets": show::names(&config["presets"]),
        }),
        ("preset", _) => config["presets"][text_of(sub, "name").as_str()].clone(),
        ("key", _) => config["teams"][text_of(sub, "team").as_str()]["keys"].clone(),
        ("team", _) => show::teams(&config["teams"]),
        _ => config["queues"].clone(),
    };
    if value.is_null() {
        return Err(Failure::Input("there is no entry of that name".to_owned()));
    }
    Ok(plain(value))
}

/// Makes a key here; only its hash is sent.
async fn grant(api: &Api, team: &Name, expect: Option<u64>) -> Result<(Value, String), Failure> {
    let mut bytes = [0_u8; KEY_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| Failure::Input(e.to_string()))?;
    let plain: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    let change = Change::GrantKey {
        team: team.clone(),
        hash: key::hash(&plain),
    };
    let mut value = api.change(&change, expect).await?;
    value["key"] = Value::from(plain.clone());
    let text = format!("{plain}\n{}", show::changed(&value));
    Ok((value, text))
}

fn change_of(group: &str, action: &str, args: &ArgMatches) -> Result<Option<Change>, Failure> {
    let change = match (group, action) {
        ("preset", "switch") => Change::SwitchPreset {
            name: text_of(args, "name"),
        },
        ("preset", "put") => Change::PutPreset {
            name: text_of(args, "name"),
            preset: read_preset(&text_of(args, "file"))?,
        },
        ("team", "put") => Change::PutTeam {
            name: text_of(args, "name"),
            share: args.get_one("share").copied().unwrap_or(0),
            limit: limit_of(args),
        },
        ("key", "withdraw") => Change::WithdrawKey {
            team: text_of(args, "team"),
            hash: text_of(args, "hash"),
        },
        ("queue", "put") => Change::PutQueue {
            name: text_of(args, "name"),
            queue: queue_of(args),
        },
        _ => return Ok(None),
    };
    Ok(Some(change))
}

fn read_preset(path: &str) -> Result<Preset, Failure> {
    let text = std::fs::read(path).map_err(|e| Failure::Input(format!("{path}: {e}")))?;
    serde_json::from_slice(&text).map_err(|e| Failure::Input(format!("{path}: {e}")))
}

/// The limit, if any part of it is given; parts not given are unlimited.
fn limit_of(args: &ArgMatches) -> Option<Resources> {
    let part = |id: &str| args.get_one::<u32>(id).copied();
    let parts = ["millicpus", "memory-mib", "accelerators", "slots"].map(part);
    let [cpus, memory, accelerators, slots] = parts.map(|p| p.unwrap_or(u32::MAX));
    let given = parts.iter().any(Option::is_some);
    given.then_some(Resources::of(cpus, memory, accelerators, slots))
}

fn queue_of(args: &ArgMatches) -> Queue {
    let work = match text_of(args, "work").as_str() {
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
