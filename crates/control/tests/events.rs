//! Checks the catalogue of log events in `docs/EVENTS.md` against the code.

/// Returns the event numbers below 300 in the catalogue, with their warning
/// marks. Higher numbers belong to the `sched` crate, which has the same test.
fn catalogue() -> Vec<(u16, bool)> {
    let text = include_str!("../../../docs/EVENTS.md");
    let rows = text.lines().filter_map(|line| {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let number = cells.next()?.parse().ok()?;
        Some((number, cells.next() == Some("W")))
    });
    rows.filter(|(number, _)| *number < 300).collect()
}

/// Returns the event numbers in the source of `Notice::number`.
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

    assert!(known.len() > 20, "event numbers not found in src/notice.rs");
    assert_eq!(listed, known);
}

#[test]
fn catalogue_marks_warnings() {
    let samples = [
        control::Notice::StoreDown,
        control::Notice::StoreUp,
        control::Notice::Started("e".into()),
        control::Notice::KeysUnverifiable,
        control::Notice::WorkerLost("w".into()),
    ];
    for notice in samples {
        let entry = (notice.number(), notice.is_warning());
        assert!(catalogue().contains(&entry), "{entry:?}");
    }
}
