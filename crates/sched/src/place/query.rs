//! Which backend servers the external admission policy is queried about.

use std::collections::BTreeMap;

use model::{Name, Resources, Step};
use policy::fit::Candidate;
use policy::shortlist::{Preference, Prospect, shortlist};

use crate::advice::MAX_SERVERS_PER_QUERY;
use crate::config::AdmissionPolicy;
use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::owner::{Cx, Owner};
use crate::place::pool::ServerPool;
use crate::place::{MAX_EXAMINED, QueueSettings};

impl Owner {
    /// Queries the external policy about a step for which it has made no decision
    /// yet.
    pub(super) fn send_first_query(
        &mut self,
        step: StepRef,
        spec: &Step,
        queue: &QueueSettings,
        admission: AdmissionPolicy,
        pool: &mut ServerPool,
        cx: &mut Cx<'_>,
    ) {
        if pool.examined >= MAX_EXAMINED || !self.can_query(step, queue.priority, cx) {
            return;
        }
        let needed = self.ledger.step(step).map_or(0, |s| s.waiting().count());
        pool.examined += pool.candidates.len();
        let servers = self.servers_to_name(step, spec, needed, pool);
        self.query_policy(step, queue.priority, admission, &servers, cx);
    }

    /// Backend servers to name in a query to the external policy about a step with
    /// `needed` tasks to start.
    pub(crate) fn servers_to_name(
        &self,
        step: StepRef,
        spec: &Step,
        needed: usize,
        pool: &ServerPool,
    ) -> Vec<ServerIx> {
        let each = spec.committed();
        let spread = spec.spread.unwrap_or(u32::MAX);
        let Some(job) = self.ledger.jobs.get(&step.job) else {
            return Vec::new();
        };
        let state = self.ledger.step(step);
        let rack = match spec.gang && spec.one_rack {
            true => self.rack_with_most_room(&each, pool),
            false => spec.data_rack.clone(),
        };
        let prospect = |(ix, candidate): &(ServerIx, Candidate)| {
            let listing = &self.fleet.get(*ix).listing;
            let is_near = |rack: &Name| *rack == listing.rack;
            Prospect {
                server: *ix,
                room: each
                    .count_in(&candidate.free)
                    .min(spread.saturating_sub(self.step_runs_on(*ix, step))),
                capacity: each.count_in(&candidate.capacity).min(spread),
                allowed: state.is_some_and(|s| s.admission.allowed.contains(&listing.id)),
                near: rack.as_ref().is_none_or(is_near),
            }
        };
        let capable = pool.candidates.iter();
        let capable = capable.filter(|(ix, candidate)| {
            each.fits(&candidate.capacity) && self.is_eligible(step, spec, *ix)
        });
        // A step that has tickets only for servers in quarantine would start there.
        let (last_resorts, others): (Vec<_>, Vec<_>) =
            capable.partition(|(_, candidate)| candidate.last_resort);
        let mut prospects: Vec<Prospect> = others.into_iter().map(prospect).collect();
        if prospects.iter().all(|other| other.room == 0) {
            prospects.extend(last_resorts.into_iter().map(prospect));
        }
        let salt = u64::from(crc32fast::hash(job.id.as_bytes())) << 32 | u64::from(step.step);
        let grant_rate = self.policy_dispatcher.grant_rate(&job.queue);
        let preference = match each.accelerators {
            0 => Preference::Emptiest,
            _ => Preference::Fullest,
        };
        shortlist(
            prospects,
            needed as u32,
            preference,
            grant_rate,
            salt,
            MAX_SERVERS_PER_QUERY,
        )
    }

    /// Rack with room for the most tasks that need `each`.
    fn rack_with_most_room(&self, each: &Resources, pool: &ServerPool) -> Option<Name> {
        let mut rooms: BTreeMap<&Name, u64> = BTreeMap::new();
        for (ix, candidate) in &pool.candidates {
            let rack = &self.fleet.get(*ix).listing.rack;
            *rooms.entry(rack).or_default() += u64::from(each.count_in(&candidate.free));
        }
        let most = rooms.into_iter().max_by_key(|(_, room)| *room);
        most.map(|(rack, _)| rack.clone())
    }
}
