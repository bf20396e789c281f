//! What a pool has no room for, compared with a search of the whole pool.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use model::Resources;
use policy::shortage::{Need, Shortages};

fn resources(u: &mut Unstructured<'_>, max: u32) -> Result<Resources> {
    Ok(Resources::of(
        u.int_in_range(0..=max)?,
        u.int_in_range(0..=max)?,
        u.int_in_range(0..=max)?,
        0,
    ))
}

fn need(u: &mut Unstructured<'_>) -> Result<Need> {
    Ok(Need {
        each: resources(u, 12)?,
        tasks: u.int_in_range(1..=4)?,
        label: u.arbitrary::<bool>()?.then(|| "label".into()),
    })
}

/// True if the pool has room for a need.
fn has_room(need: &Need, pool: &[(Resources, bool)]) -> bool {
    let usable = pool.iter().filter(|(_, has)| *has || need.label.is_none());
    let room = usable.map(|(free, _)| u64::from(need.each.count_in(free)));
    room.sum::<u64>() >= u64::from(need.tasks)
}

/// Guards against needs that are kept out although there is room for them, also after the
/// room has shrunk.
#[test]
fn a_need_with_room_is_never_short() {
    arbtest(|u| {
        let mut pool = Vec::new();
        for _ in 0..u.int_in_range(1..=4)? {
            pool.push((resources(u, 12)?, u.arbitrary()?));
        }
        let mut shortages = Shortages::default();
        for _ in 0..12 {
            let need = need(u)?;
            if shortages.covers(&need) {
                assert!(!has_room(&need, &pool), "{need:?} {pool:?}");
                continue;
            }
            shortages.examine(&need, pool.iter().copied());
            assert_eq!(shortages.covers(&need), !has_room(&need, &pool), "{need:?}");
            let at = u.choose_index(pool.len())?;
            pool[at].0 = pool[at].0.minus(resources(u, 2)?);
        }
        Ok(())
    });
}

/// Guards against passes that examine each step of a backlog although the service is full:
/// of needs of any size, few can be smaller than all before them.
#[test]
fn a_backlog_without_room_is_hardly_examined() {
    let free = Resources::of(300, 40_000, 0, 0);
    let pool = vec![(free, true); 350];
    let mut shortages = Shortages::default();
    let mut examined = 0;

    for n in 0..5_000_u32 {
        let spread = n.wrapping_mul(2_654_435_761) >> 16;
        let need = Need {
            each: Resources::of(500 + spread % 31_000, 256 + spread % 30_000, 0, 0),
            tasks: 1 + spread % 9,
            label: (spread % 7 == 0).then(|| "label".into()),
        };
        if !shortages.covers(&need) {
            examined += 1;
            shortages.examine(&need, pool.iter().copied());
        }
    }

    assert!(examined < 20, "{examined} of 5,000 were examined");
}
