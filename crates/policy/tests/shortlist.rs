//! Lists of backend servers for queries to an admission policy, on a large fleet.

use std::collections::HashMap;

use policy::shortlist::{GrantRate, Preference, Prospect};

/// Maximum number of servers in a query.
const LIMIT: usize = 100;

/// Chooses servers for a step whose tasks are spread.
fn shortlist(
    prospects: Vec<Prospect>,
    needed: u32,
    grant_rate: GrantRate,
    salt: u64,
    limit: usize,
) -> Vec<u32> {
    let preference = Preference::Emptiest;
    policy::shortlist::shortlist(prospects, needed, preference, grant_rate, salt, limit)
}

fn idle_server(server: u32) -> Prospect {
    Prospect {
        server,
        room: 3,
        capacity: 3,
        allowed: false,
        near: true,
    }
}

fn idle_fleet(size: u32) -> Vec<Prospect> {
    (0..size).map(idle_server).collect()
}

/// Pattern: hundreds of servers and many small steps. If every query named the
/// first servers of the fleet, those would be overloaded and the others idle.
#[test]
fn small_steps_name_servers_of_the_whole_fleet() {
    let mut named: HashMap<u32, u32> = HashMap::new();

    for step in 0..1_000 {
        for server in shortlist(idle_fleet(350), 3, GrantRate::default(), step, LIMIT) {
            *named.entry(server).or_default() += 1;
        }
    }

    let mean = named.values().sum::<u32>() / 350;
    assert_eq!(named.len(), 350, "every server is named by some step");
    assert!(
        named.values().all(|count| *count < mean * 3),
        "no server is named three times as often as the mean of {mean}"
    );
}

/// Pattern: empty servers join a fleet that is full. They are named first.
#[test]
fn empty_servers_come_before_full_ones() {
    let mut fleet = idle_fleet(350);
    for prospect in &mut fleet[..340] {
        prospect.room = 0;
    }

    let chosen = shortlist(fleet, 2, GrantRate::default(), 7, LIMIT);

    assert!(chosen.len() >= 8, "{chosen:?}");
    assert!(
        chosen[..8].iter().all(|server| *server >= 340),
        "{chosen:?}"
    );
}

/// Pattern: a burst of small steps at a policy whose time grows with the servers
/// named. A step of three tasks names a fraction of what a wide gang names.
#[test]
fn a_query_grows_with_what_the_step_needs() {
    let small = shortlist(idle_fleet(350), 3, GrantRate::default(), 1, LIMIT);
    let wide = shortlist(idle_fleet(350), 60, GrantRate::default(), 1, LIMIT);

    assert!(small.len() <= 10, "{}", small.len());
    assert!(wide.len() >= 60, "{}", wide.len());
}

/// Pattern: tickets that have expired. Servers that the policy allowed are named
/// again alone if they are enough.
#[test]
fn allowed_servers_are_named_again_first() {
    let mut fleet = idle_fleet(350);
    for prospect in &mut fleet[100..110] {
        prospect.allowed = true;
    }

    let chosen = shortlist(fleet, 10, GrantRate::default(), 1, LIMIT);

    assert!(
        chosen.iter().all(|server| (100..110).contains(server)),
        "{chosen:?}"
    );
}

/// Pattern: the servers that the policy allowed are full for long, and others have
/// room. The policy is asked about those.
#[test]
fn servers_with_room_come_before_allowed_ones_without() {
    let mut fleet = idle_fleet(350);
    for prospect in &mut fleet[100..140] {
        prospect.allowed = true;
        prospect.room = 0;
    }

    let chosen = shortlist(fleet, 10, GrantRate::default(), 1, LIMIT);

    assert!(
        chosen.iter().all(|server| !(100..140).contains(server)),
        "{chosen:?}"
    );
}

/// Pattern: a policy that allows few servers. Queries name more until enough are
/// likely to be allowed, within the limit.
#[test]
fn a_strict_policy_is_asked_about_more_servers() {
    let mut strict = GrantRate::default();
    for _ in 0..200 {
        strict.record(1, 20);
    }

    let usual = shortlist(idle_fleet(350), 6, GrantRate::default(), 1, LIMIT);
    let more = shortlist(idle_fleet(350), 6, strict, 1, LIMIT);

    assert!(
        more.len() > usual.len() * 4,
        "{} {}",
        usual.len(),
        more.len()
    );
    assert!(more.len() <= LIMIT);
}

/// Pattern: small accelerated tasks beside tasks that need a whole server. If each
/// query named empty servers, small tasks would soon run on all of them.
#[test]
fn packed_tasks_leave_empty_servers_alone() {
    let mut fleet = idle_fleet(150);
    for prospect in &mut fleet[..60] {
        prospect.room = 1;
    }
    for prospect in &mut fleet[60..80] {
        prospect.room = 0;
    }
    let (needed, rate) = (6, GrantRate::default());

    let chosen = policy::shortlist::shortlist(fleet, needed, Preference::Fullest, rate, 1, LIMIT);

    assert!(chosen.len() >= 12, "{chosen:?}");
    assert!(chosen.iter().all(|server| *server < 60), "{chosen:?}");
}
