//! Checks the log event catalogue in `docs/EVENTS.md` against the code.

/// Numbers and warning marks of the scheduler's events (300 and above) in the
/// catalogue.
fn catalogue() -> Vec<(u16, bool)> {
    let text = include_str!("../../../docs/EVENTS.md");
    let rows = text.lines().filter_map(|line| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number = cells.next()?.parse().ok()?;
        Some((number, cells.next() == Some("W")))
    });
    rows.filter(|(number, _)| *number >= 300).collect()
}

/// Numbers that `Notice::number` assigns, parsed from its source.
fn numbers() -> Vec<u16> {
    let text = include_str!("../src/notice.rs");
    let arms = text.lines().filter_map(|line| {
        let (arm, number) = line.trim().strip_suffix(',')?.split_once(" => ")?;
        arm.starts_with("Self::").then(|| number.parse().ok())?
    });
    arms.collect()
}

#[test]
fn catalogue_has_exactly_the_events_of_the_code() {
    let mut listed: Vec<u16> = catalogue().into_iter().map(|(n, _)| n).collect();
    let mut known = numbers();
    listed.sort_unstable();
    known.sort_unstable();

    assert!(known.len() > 30, "event numbers not found in src/notice.rs");
    assert_eq!(listed, known);
}

#[test]
fn catalogue_marks_warnings() {
    let samples = [
        sched::Notice::StoreBack { partition: 1 },
        sched::Notice::StoreLost {
            partition: 1,
            fault: "f".into(),
        },
        sched::Notice::Woke { gap_ms: 1 },
        sched::Notice::ConfigFresh { version: 1 },
        sched::Notice::ConfigReadFailed {
            failures: 1,
            took_ms: 1,
            received: None,
        },
    ];

    for notice in samples {
        let entry = (notice.number(), notice.is_warning());
        assert!(catalogue().contains(&entry), "{entry:?}");
    }
}
