//! Changes of configuration.

use model::{Change, Config, Conflict, Preset, Queue, Team, Work, key};

fn config() -> Config {
    let mut config = Config {
        in_force: "day".into(),
        ..Config::default()
    };
    config.presets.insert("day".into(), Preset::default());
    let team = Team {
        share: 1,
        limit: None,
        keys: vec![key::hash("k")],
    };
    config.teams.insert("a".into(), team);
    config
}

#[test]
fn each_change_makes_the_next_version() {
    let change = Change::PutTeam {
        name: "b".into(),
        share: 3,
        limit: None,
    };

    let next = config().with(&change, "c1".into()).expect("good change");

    assert_eq!(next.version, 1);
    assert_eq!(next.history, ["c1"]);
    assert!(next.teams.contains_key("b"));
}

#[test]
fn conflicts_are_named() {
    let hash = key::hash("k");
    let cases = [
        (
            Change::SwitchPreset { name: "x".into() },
            Conflict::NoPreset("x".into()),
        ),
        (
            Change::GrantKey {
                team: "a".into(),
                hash: hash.clone(),
            },
            Conflict::KeyInUse("a".into()),
        ),
        (
            Change::WithdrawKey {
                team: "a".into(),
                hash: key::hash("other"),
            },
            Conflict::NoKey("a".into()),
        ),
        (
            Change::PutTeam {
                name: "a".into(),
                share: 0,
                limit: None,
            },
            Conflict::ZeroShare("a".into()),
        ),
        (
            Change::PutTeam {
                name: "A b".into(),
                share: 1,
                limit: None,
            },
            Conflict::BadName("A b".into()),
        ),
        (
            Change::PutQueue {
                name: "q".into(),
                queue: Queue {
                    work: Work::Request,
                    open_team: None,
                    idempotent: true,
                    service: None,
                },
            },
            Conflict::NoService("q".into()),
        ),
    ];
    for (change, conflict) in cases {
        assert_eq!(config().with(&change, "c".into()), Err(conflict));
    }
}

#[test]
fn keys_are_found_by_hash_only() {
    let config = config();

    assert_eq!(
        config.team_of(&key::hash("k")).map(|t| t.as_str()),
        Some("a")
    );
    assert_eq!(config.team_of(&"k".into()), None);
}
