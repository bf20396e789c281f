//! Registry entries that another writer than the backend server has put there.

use std::time::Duration;

use model::{Name, Resources};
use sched::{Config, Event, Listing, Node, Notice, Team, Time};

use crate::harness::{
    config, config_with_service, graph, named_listing, owner_of, replace_owner, settings, wide,
};

const FIRST: &str = "0000000000000001";
const SECOND: &str = "0000000000000002";
/// Longest time until an owner trusts the records of its predecessor.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// An entry of a service that the configuration doesn't name. Nothing answers there.
fn foreign_listing(id: &str) -> Listing {
    Listing {
        incarnation: 99,
        address: "nowhere".into(),
        service: "elsewhere".into(),
        ..named_listing(id)
    }
}

fn is_loss(notice: &Notice) -> bool {
    matches!(notice, Notice::ServerLost { .. })
}

/// The configuration with a limit for its team, below which a successor has to know what runs.
fn limited_config() -> Config {
    let Config {
        queues,
        services,
        teams,
        ..
    } = config();
    let limit = Resources::of(64_000, 0, 0, 0);
    let teams = teams.into_iter().map(|team| Team { limit, ..team });
    Config::new(2, queues, services, teams.collect())
}

/// Guards against jobs that never start after a kill of the owner: more than half of the roster
/// were entries of services that aren't named, which never answer, so that the predecessor
/// seemed to hold a majority for good.
#[test]
fn entries_of_unnamed_services_do_not_hold_up_a_successor() {
    for (servers, foreign, listed_first) in
        [(3, 4, true), (3, 4, false), (6, 7, true), (2, 40, true)]
    {
        let case = format!("{foreign} beside {servers}, listed first: {listed_first}");
        let ids: Vec<Name> = (0..foreign).map(|n| format!("other-{n}").into()).collect();
        let entries: Vec<Listing> = ids.iter().map(|id| foreign_listing(id)).collect();
        let mut owner = owner_of(servers);
        owner.unreachable.extend(ids);
        owner.install(limited_config());
        for entry in &entries {
            owner.deliver(Event::ServerListed(entry.clone()));
        }
        owner.advance(Duration::from_secs(2));
        if listed_first {
            owner.listings.extend(entries.clone());
        }

        let mut successor = replace_owner(owner, 1);
        successor.install(limited_config());
        successor.advance(Duration::from_secs(3));
        if !listed_first {
            for entry in entries {
                successor.deliver(Event::ServerListed(entry));
            }
        }
        successor.submit_plain(FIRST);
        successor.advance(RECOVERY_TIME);

        assert!(!successor.placements.is_empty(), "{case}: nothing starts");
    }
}

/// Guards against a task that runs twice, and a sound backend server that is never used again:
/// an entry of another service under its id was taken for its next incarnation.
#[test]
fn an_entry_of_an_unnamed_service_ends_no_run_on_the_server_with_its_id() {
    let mut harness = owner_of(2);
    harness.submit_plain(FIRST);
    harness.advance(Duration::from_secs(1));
    let (server, run) = harness.placements[0].clone();

    harness.deliver(Event::ServerListed(foreign_listing(&server)));
    harness.advance(Duration::from_millis(1_500));
    harness.deliver(Event::ServerListed(named_listing(&server)));
    harness.submit_to(&format!("/plain/{SECOND}"), wide(2, false));
    harness.advance(Duration::from_secs(1));

    assert!(harness.fleet[&server].running.iter().any(|p| p.run == run));
    let placements = harness.placements.iter();
    let second = placements.filter(|(_, run)| run.task.job == SECOND);
    assert_eq!(second.count(), 2, "{:?}", harness.placements);
    assert_eq!(harness.placements.len(), 3, "{:?}", harness.placements);
}

/// Guards against the same after a takeover, when the service of a server that the roster lists
/// is not known yet.
#[test]
fn an_entry_of_an_unnamed_service_ends_no_run_after_a_takeover() {
    for service in ["elsewhere", ""] {
        let mut owner = owner_of(2);
        owner.submit_plain(FIRST);
        owner.advance(Duration::from_secs(1));
        let (server, run) = owner.placements[0].clone();
        let foreign = Listing {
            service: service.into(),
            ..foreign_listing(&server)
        };

        let mut successor = replace_owner(owner, 1);
        let own = successor.listings.clone();
        successor.listings.retain(|listing| listing.id != server);
        successor.listings.push(foreign);
        successor.advance(Duration::from_secs(3));
        for listing in own {
            successor.deliver(Event::ServerListed(listing));
        }
        successor.advance(RECOVERY_TIME);

        let at_work = successor.fleet[&server].running.iter();
        let runs = at_work.filter(|progress| progress.run == run).count();
        assert_eq!((runs, successor.placements.len()), (1, 0), "{service:?}");
        let notices = &successor.notices;
        assert!(!notices.iter().any(is_loss), "{service:?}: {notices:?}");
    }
}

/// Guards against the same shape where the entries are in the roster already: their service was
/// named when they were read, and the operator has removed it since.
#[test]
fn servers_of_a_removed_service_do_not_hold_up_a_successor() {
    let ids = (0..7).map(|n| Name::from(format!("other-{n}")));
    let entries: Vec<Listing> = ids.map(|id| foreign_listing(&id)).collect();
    let mut owner = owner_of(3);
    owner.unreachable = entries.iter().map(|entry| entry.id.clone()).collect();
    owner.install(config_with_service("elsewhere"));
    for entry in &entries {
        owner.deliver(Event::ServerListed(entry.clone()));
    }
    owner.advance(Duration::from_secs(2));
    assert!(owner.roster_lists("other-0"));
    owner.listings.extend(entries);

    let mut successor = replace_owner(owner, 1);
    successor.install(limited_config());
    successor.submit_plain(FIRST);
    successor.advance(RECOVERY_TIME);

    assert!(!successor.placements.is_empty(), "{:?}", successor.notices);
}

/// Guards against backend servers that are ignored because they registered before the
/// configuration that names their service was read.
#[test]
fn servers_are_used_once_their_service_is_named() {
    let mut harness = owner_of(0);
    harness.restart(&"new".into(), 99);
    harness.deliver(Event::ServerListed(Listing {
        address: "new".into(),
        ..foreign_listing("new")
    }));
    harness.advance(Duration::from_secs(1));
    assert!(!harness.roster_lists("new"));

    let queues = config().queues.into_iter().map(|queue| sched::Queue {
        service: "elsewhere".into(),
        ..queue
    });
    let services = config_with_service("elsewhere").services;
    let named = Config::new(2, queues.collect(), services, config().teams);
    harness.install(named);
    harness.submit_plain(FIRST);
    harness.advance(Duration::from_secs(1));

    assert!(harness.roster_lists("new"));
    assert!(!harness.placements.is_empty(), "{:?}", harness.notices);
}

/// Guards against accepted jobs that lose their backend servers with a change of the owner,
/// because the operator has removed their queue and its service since.
#[test]
fn an_accepted_job_keeps_the_servers_of_its_service() {
    let mut owner = owner_of(2);
    owner.unreachable = ["s0", "s1"].map(Name::from).into();
    owner.submit_plain(FIRST);
    owner.advance(Duration::from_secs(1));
    let without = Config::new(2, Vec::new(), Vec::new(), config().teams);
    let mut successor = replace_owner(owner, 1);
    successor.unreachable.clear();
    successor.install(without);

    successor.advance(RECOVERY_TIME + Duration::from_secs(10));

    assert!(!successor.placements.is_empty(), "{:?}", successor.notices);
}

/// Guards against an owner that ignores the whole registry, since it read it before the first
/// configuration.
#[test]
fn a_registry_that_is_read_before_the_configuration_is_applied_with_it() {
    let mut harness = owner_of(1);
    let now = harness.now;
    let time = Time { now, unix: now };
    harness.cell_rows.clear();
    harness.node = Node::new(settings("owner", 0.25), 1, time);
    harness.notices.clear();
    harness.advance(Duration::from_secs(2));
    assert!(harness.node.is_owner());

    harness.install(config());
    harness.submit_to(&format!("/plain/{FIRST}"), graph());
    harness.advance(Duration::from_secs(1));

    assert!(!harness.placements.is_empty(), "{:?}", harness.notices);
    assert!(
        !harness.notices.iter().any(is_loss),
        "{:?}",
        harness.notices
    );
}
