//! Parsing and validation of settings files.

use node::{Problem, parse};

/// Returns valid settings with some texts replaced.
fn settings_with(replacements: &[(&str, &str)]) -> String {
    let mut text = format!(
        "name: e0
data_centre: east
data_centres: [east, west]
listen:
  callers: 127.0.0.1:8080
  admin: 127.0.0.1:8081
  mesh: 127.0.0.1:8082
admin_token_sha256: {}
mesh: {{ certificate: c, key: k }}
platform: {{ table: 127.0.0.1:1, vms: 127.0.0.1:2 }}
times: {{ sync: 4s }}
peers:
  - {{ name: e1, data_centre: west, address: 127.0.0.1:8083 }}
",
        "a".repeat(64)
    );
    for (from, to) in replacements {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    text
}

fn problem_text(text: &str) -> String {
    let problems = parse(text).expect_err("invalid settings");
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

#[test]
fn valid_file_is_accepted() {
    assert!(parse(&settings_with(&[])).is_ok());
}

#[test]
fn unknown_key_is_reported_with_its_line() {
    let text = problem_text(&settings_with(&[("  mesh: 127", "  mush: 127")]));

    assert!(text.contains("mush") && text.contains("line 7"), "{text}");
}

#[test]
fn unknown_unit_is_reported() {
    let text = problem_text(&settings_with(&[("sync: 4s", "sync: 4h")]));

    assert!(text.contains("ms, s or m"), "{text}");
}

#[test]
fn every_conflict_is_reported_with_its_line() {
    let text = problem_text(&settings_with(&[
        ("admin: 127.0.0.1:8081", "admin: 127.0.0.1:8080"),
        ("address: 127.0.0.1:8083", "address: 127.0.0.1:8082"),
        (
            "name: e1, data_centre: west",
            "name: e0, data_centre: north",
        ),
        ("sync: 4s", "sync: 9s"),
    ]));

    for (line, part) in [
        (6, "listen.admin"),
        (13, "peers.address"),
        (13, "peers.name"),
        (13, "peers.data_centre"),
        (11, "times"),
    ] {
        let found = text
            .lines()
            .any(|l| l.contains(part) && l.contains(&format!("line {line}:")));
        assert!(found, "{part} on line {line}:\n{text}");
    }
}

#[test]
fn invalid_initial_configuration_is_reported() {
    let initial = "initial: { presets: {}, in_force: day, teams: {}, queues: {} }\n";
    let text = problem_text(&(settings_with(&[]) + initial));

    assert!(text.contains("no preset named day"), "{text}");
}

/// Overwrites up to six random bytes; parsing must return without a panic.
#[test]
fn corrupted_file_does_not_panic() {
    for seed in 0..200_u64 {
        arbtest::arbtest(|u| {
            let mut text = settings_with(&[]).into_bytes();
            for _ in 0..u.int_in_range(1..=6)? {
                let at = u.choose_index(text.len())?;
                text[at] = u.int_in_range(9..=126)?;
            }
            drop(parse(&String::from_utf8_lossy(&text)));
            Ok(())
        })
        .seed(seed << 32 | 0x80);
    }
}
