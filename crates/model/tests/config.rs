//! Configuration changes: versions, validation errors and key look-up.

use model::{Change, Config, ConfigError, Preset, Queue, Team, WorkKind, key};

fn config() -> Config {
    let mut config = Config {
        active_preset: "day".into(),
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
fn each_change_increments_the_version() {
    let change = Change::PutTeam {
        name: "b".into(),
        share: 3,
        limit: None,
    };

    let next = config()
        .with_change(&change, "c1".into())
        .expect("valid change");

    assert_eq!(next.version, 1);
    assert_eq!(next.history, ["c1"]);
    assert!(next.teams.contains_key("b"));
}

#[test]
fn invalid_changes_return_the_matching_error() {
    let hash = key::hash("k");
    let cases = [
        (
            Change::SwitchPreset { name: "x".into() },
            ConfigError::NoPreset("x".into()),
        ),
        (
            Change::GrantKey {
                team: "a".into(),
                hash: hash.clone(),
            },
            ConfigError::KeyInUse("a".into()),
        ),
        (
            Change::WithdrawKey {
                team: "a".into(),
                hash: key::hash("other"),
            },
            ConfigError::NoKey("a".into()),
        ),
        (
            Change::PutTeam {
                name: "a".into(),
                share: 0,
                limit: None,
            },
            ConfigError::ZeroShare("a".into()),
        ),
        (
            Change::PutTeam {
                name: "A b".into(),
                share: 1,
                limit: None,
            },
            ConfigError::BadName("A b".into()),
        ),
        (
            Change::PutQueue {
                name: "q".into(),
                queue: Queue {
                    work: WorkKind::Request,
                    open_team: None,
                    idempotent: true,
                    service: None,
                },
            },
            ConfigError::NoService("q".into()),
        ),
    ];
    for (change, error) in cases {
        assert_eq!(config().with_change(&change, "c".into()), Err(error));
    }
}

#[test]
fn keys_are_looked_up_by_hash_only() {
    let config = config();

    assert_eq!(
        config.team_by_key(&key::hash("k")).map(|t| t.as_str()),
        Some("a")
    );
    assert_eq!(config.team_by_key(&"k".into()), None);
}

#[test]
fn repeated_evacuations_keep_the_first_version() {
    let evacuate = Change::Evacuate {
        data_centre: "east".into(),
    };
    let first = config()
        .with_change(&evacuate, "c1".into())
        .expect("valid change");

    let second = first
        .with_change(&evacuate, "c2".into())
        .expect("valid change");

    assert_eq!(second.evacuated.get("east"), Some(&1));
    assert!(second.is_evacuated(&"east".into()));
}

#[test]
fn restoring_twice_has_the_effect_of_restoring_once() {
    let mut config = config();
    config.evacuated.insert("east".into(), 1);
    let restore = Change::Restore {
        data_centre: "east".into(),
    };

    let once = config
        .with_change(&restore, "c1".into())
        .expect("valid change");
    let twice = once
        .with_change(&restore, "c2".into())
        .expect("valid change");

    assert!(once.evacuated.is_empty());
    assert!(twice.evacuated.is_empty());
    assert_eq!(twice.version, 2);
}
