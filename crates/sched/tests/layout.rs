//! The layout row: the number of partitions, and the partition of a job.

use sched::{Layout, LayoutError};

#[test]
fn a_layout_is_decoded_as_it_was_encoded() {
    for count in [1, 6, 64] {
        let layout = Layout::new(count);

        assert_eq!(Layout::decode(&layout.encode()), Ok(layout));
        assert_eq!(layout.job_partitions(), count);
    }
}

#[test]
fn settings_beyond_the_range_are_limited() {
    assert_eq!(Layout::new(0).job_partitions(), 1);
    assert_eq!(Layout::new(u32::MAX).job_partitions(), 64);
}

#[test]
fn a_malformed_layout_is_a_typed_error() {
    for text in ["", "six", "-1", "6.0", " 6", "99999999999"] {
        let decoded = Layout::decode(text.as_bytes());

        assert_eq!(decoded, Err(LayoutError::NotANumber), "{text:?}");
    }
    assert_eq!(Layout::decode(&[0xff, 0xfe]), Err(LayoutError::NotANumber));
    assert_eq!(Layout::decode(b"0"), Err(LayoutError::OutOfRange(0)));
    assert_eq!(Layout::decode(b"65"), Err(LayoutError::OutOfRange(65)));
}

/// Another hash in a later build would look for the rows of stored jobs in the wrong
/// partitions.
#[test]
fn the_partition_of_a_job_never_changes() {
    let layout = Layout::new(6);
    let ids = ["0000000000000000", "5c0e7a21d94b36f8", "ffffffffffffffff"];

    let partitions = ids.map(|id| layout.partition_of(&id.into()));

    assert_eq!(partitions, PINNED);
}

/// CRC-32 of the ids in `the_partition_of_a_job_never_changes`, modulo 6, plus 1.
const PINNED: [u32; 3] = [1, 5, 2];

#[test]
fn partitions_hold_similar_numbers_of_jobs() {
    let layout = Layout::new(16);
    let mut jobs = [0_u32; 17];

    for n in 0..16_000_u64 {
        let id = compact_str::format_compact!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        jobs[layout.partition_of(&id) as usize] += 1;
    }

    assert_eq!(jobs[0], 0, "partition 0 is the cell's own");
    assert!(
        jobs[1..].iter().all(|n| (800..1_200).contains(n)),
        "{jobs:?}"
    );
}
