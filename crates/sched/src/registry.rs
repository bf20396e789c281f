//! The registry of backend servers, as the owner applies it.
//!
//! Other writers may put entries there too, also under the id of a backend server.
//!
//! Invariant: an entry adds, replaces or changes a backend server only if its service is named:
//! by the configuration, by an accepted job, or by the entry that it replaces. Any other one
//! counts as no entry until its service is named. An entry of an older incarnation changes
//! nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use model::{Epoch, Name};

use crate::event::Listing;
use crate::fleet::{ServerIx, ServerState, StaleLeases};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};

/// Epoch of the first owner of a cell.
const FIRST_EPOCH: Epoch = 1;

/// What the owner has read of the registry.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    /// The complete list has been read.
    is_read: bool,
    /// Entries whose service is not named, by id; all entries before the first configuration.
    unnamed: BTreeMap<Name, Listing>,
}

impl Owner {
    /// Applies a complete list of the registry; entries not in it are removed.
    pub(crate) fn servers_listed(&mut self, listings: Vec<Listing>, cx: &mut Cx<'_>) {
        self.registry.is_read = true;
        self.registry.unnamed.clear();
        // Without a configuration no service is named, so nothing is known to be absent.
        if cx.config.version == 0 {
            let entries = listings.into_iter().map(|l| (l.id.clone(), l));
            self.registry.unnamed.extend(entries);
            return;
        }
        let present: Vec<Name> = listings.iter().map(|l| l.id.clone()).collect();
        let missing: Vec<Name> = self
            .fleet
            .servers
            .iter()
            .filter(|s| s.listed && !present.contains(&s.listing.id))
            .map(|s| s.listing.id.clone())
            .collect();
        for listing in listings {
            self.server_listed(listing, cx);
        }
        for id in missing {
            self.server_unlisted(&id, cx.now());
        }
        for server in self.fleet.servers.iter_mut().filter(|s| !s.listed) {
            server.unlisted_at.get_or_insert(cx.now());
        }
        self.recovery.registry_loaded = true;
    }

    /// Applies the entries whose services are named now, after the configuration or the known
    /// jobs have changed.
    pub(crate) fn services_named(&mut self, cx: &mut Cx<'_>) {
        let unnamed = std::mem::take(&mut self.registry.unnamed);
        let is_first = self.registry.is_read && !self.recovery.registry_loaded;
        if is_first {
            self.servers_listed(unnamed.into_values().collect(), cx);
            return;
        }
        for (id, listing) in unnamed {
            match self.is_named(&listing, cx) {
                true => self.server_listed(listing, cx),
                false => drop(self.registry.unnamed.insert(id, listing)),
            }
        }
    }

    /// True if the service of an entry is named by the configuration, by an accepted job, or
    /// by the entry that it replaces: operators may remove a service that is still in use.
    fn is_named(&self, listing: &Listing, cx: &Cx<'_>) -> bool {
        let service = &listing.service;
        let known = self.fleet.find(&listing.id);
        let known = known.map(|ix| &self.fleet.get(ix).listing.service);
        match () {
            () if cx.config.names_service(service) => true,
            // The roster doesn't state the services of the servers that it lists.
            () if service.is_empty() => false,
            () if known == Some(service) => true,
            () => self.ledger.jobs.values().any(|job| job.service == *service),
        }
    }

    /// Applies one registry entry. Entries of older incarnations are ignored.
    pub(crate) fn server_listed(&mut self, listing: Listing, cx: &mut Cx<'_>) {
        if cx.config.version == 0 {
            self.registry.unnamed.insert(listing.id.clone(), listing);
            return;
        }
        if !self.is_named(&listing, cx) {
            self.server_unlisted(&listing.id, cx.now());
            cx.log(Notice::EntryUnused {
                server: listing.id.clone(),
                service: listing.service.clone(),
            });
            self.registry.unnamed.insert(listing.id.clone(), listing);
            return;
        }
        self.registry.unnamed.remove(&listing.id);
        self.place_due = true;
        let (id, incarnation) = (listing.id.clone(), listing.incarnation);
        let cold_until = cx.now().saturating_add(listing.cold_left);
        match self.fleet.find(&listing.id) {
            Some(ix) if self.fleet.get(ix).listing.incarnation == listing.incarnation => {
                self.update_listing(ix, listing, cx);
            }
            Some(ix) if self.fleet.get(ix).listing.incarnation > listing.incarnation => {}
            Some(ix) => {
                self.replace_incarnation(ix, listing, true, cx);
            }
            None => {
                self.roster.mark_changed(&listing.id);
                let ix = self.fleet.add(listing, true);
                // An earlier owner may have called an earlier incarnation, until its term ended.
                let timing = &cx.settings.timing;
                let order_age = timing.ownership_validity + timing.max_order_delay;
                let has_predecessor = cx.term.epoch() > FIRST_EPOCH;
                if has_predecessor && !self.recovery.has_lasted(order_age, cx.now()) {
                    self.fleet.get_mut(ix).stale_leases = StaleLeases::possible(timing, cx.now());
                }
            }
        }
        let current = self.fleet.find(&id).map(|ix| self.fleet.get_mut(ix));
        if let Some(server) = current.filter(|s| s.listing.incarnation == incarnation) {
            server.cold_until = cold_until;
        }
    }

    fn update_listing(&mut self, ix: ServerIx, listing: Listing, cx: &mut Cx<'_>) {
        let server = self.fleet.get_mut(ix);
        let starts_draining = listing.draining && !server.listing.draining;
        let resized = listing.capacity != server.listing.capacity;
        server.listing = listing;
        server.listed = true;
        server.unlisted_at = None;
        if server.state == ServerState::GivenUp {
            server.rediscover(cx.now());
            self.roster.mark_changed(&server.listing.id);
        }
        if resized {
            if server.resized(cx.now()) {
                self.roster.mark_changed(&server.listing.id);
            }
            let capacity = server.listing.capacity;
            cx.log(Notice::ServerResized {
                server: server.listing.id.clone(),
                millicpus: capacity.millicpus,
                memory_mib: capacity.memory_mib,
                accelerators: capacity.accelerators,
                over: !server.used.fits(&capacity),
            });
        }
        if starts_draining {
            let notice = Notice::ServerLeaving {
                server: server.listing.id.clone(),
                runs: server.runs.len() as u32,
            };
            cx.log(notice);
        }
    }

    /// Handles the removal of a registry entry. Runs on the backend server
    /// continue for as long as it responds.
    pub(crate) fn server_unlisted(&mut self, id: &Name, now: Duration) {
        self.registry.unnamed.remove(id);
        if let Some(ix) = self.fleet.find(id) {
            let server = self.fleet.get_mut(ix);
            server.listed = false;
            server.unlisted_at.get_or_insert(now);
        }
    }
}
