//! The registry of backend servers, as the owner applies it.
//!
//! Invariant: an entry of an older incarnation changes nothing.

use std::time::Duration;

use model::{Epoch, Name};

use crate::event::Listing;
use crate::fleet::{ServerIx, ServerState, StaleLeases};
use crate::notice::Notice;
use crate::owner::{Cx, Owner};

/// Epoch of the first owner of a cell.
const FIRST_EPOCH: Epoch = 1;

impl Owner {
    /// Applies a complete list of the registry; entries not in it are removed.
    pub(crate) fn servers_listed(&mut self, listings: Vec<Listing>, cx: &mut Cx<'_>) {
        let named: Vec<Name> = listings.iter().map(|l| l.id.clone()).collect();
        let missing: Vec<Name> = self
            .fleet
            .servers
            .iter()
            .filter(|s| s.listed && !named.contains(&s.listing.id))
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

    /// Applies one registry entry. Entries of older incarnations are ignored.
    pub(crate) fn server_listed(&mut self, listing: Listing, cx: &mut Cx<'_>) {
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
        if let Some(ix) = self.fleet.find(id) {
            let server = self.fleet.get_mut(ix);
            server.listed = false;
            server.unlisted_at.get_or_insert(now);
        }
    }
}
