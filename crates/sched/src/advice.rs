//! Queries to the external admission policy, which decides which backend
//! servers may run a step.
//!
//! The policy serves one call at a time for each calling VM, so the owner
//! distributes its queries over itself and the VMs that offer to help.
//!
//! Invariant: a step has at most one outstanding query, and a ticket is used
//! only while it is valid.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use compact_str::format_compact;
use model::Name;

use crate::event::{
    CallId, CallerId, Effect, Measure, Offer, OfferResponse, PolicyDecision, PolicyError,
    PolicyQuery, Reply,
};
use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

/// Maximum number of backend servers in one query.
const MAX_SERVERS_PER_QUERY: usize = 100;
/// Expected duration from which a query counts as long. With more than
/// `RESERVED_FOR_SHORT` helpers, long queries do not take the last idle VMs.
const LONG_QUERY: Duration = Duration::from_millis(100);
/// Number of idle VMs that are reserved for short queries.
const RESERVED_FOR_SHORT: usize = 2;
/// Delay before a step is queried again after a failed query.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A query counts as lost after twice its expected duration plus this margin.
const LOST_CALL_MARGIN: Duration = Duration::from_millis(600);
/// Time without an offer after which a helper is removed.
const HELPER_TIMEOUT: Duration = Duration::from_secs(5);

/// A query that is queued or in flight.
#[derive(Debug)]
struct PendingQuery {
    step: StepRef,
    errand: PolicyQuery,
    priority: u32,
    sent_at: Duration,
    helper: Name,
}

/// A VM that sends queries to the policy on behalf of the owner.
#[derive(Debug, Default)]
struct Helper {
    /// Its unanswered offer, with the time of arrival.
    offer: Option<(CallerId, Duration)>,
    /// Query that it is processing.
    query: Option<CallId>,
    last_heard_at: Duration,
    /// Its share of a CPU core; zero while it could not become the owner.
    strength: f64,
}

/// Queue of policy queries, and the VMs that process them.
#[derive(Debug, Default)]
pub(crate) struct AdviceDispatcher {
    queries: HashMap<CallId, PendingQuery>,
    queued: VecDeque<CallId>,
    helpers: BTreeMap<Name, Helper>,
    local_query: Option<CallId>,
}

impl AdviceDispatcher {
    fn idle_helpers(&self) -> impl Iterator<Item = &Name> {
        let idle = |(_, helper): &(&Name, &Helper)| helper.offer.is_some();
        self.helpers.iter().filter(idle).map(|(name, _)| name)
    }

    /// Largest strength of any helper; zero if there is none.
    pub(crate) fn max_helper_strength(&self) -> f64 {
        let strengths = self.helpers.values().map(|helper| helper.strength);
        strengths.fold(0.0, f64::max)
    }

    /// Number of queries that are queued or in flight.
    pub(crate) fn query_count(&self) -> u32 {
        self.queries.len() as u32
    }

    fn idle_slots(&self) -> usize {
        self.idle_helpers().count() + usize::from(self.local_query.is_none())
    }

    /// True if another query of this priority would be sent soon: the queries
    /// queued ahead of it do not outnumber the helpers.
    fn has_capacity(&self, priority: u32) -> bool {
        let queries = self.queued.iter().filter_map(|call| self.queries.get(call));
        let ahead = queries.filter(|query| query.priority <= priority);
        ahead.count() <= self.helpers.len()
    }

    /// Queue position of the query to send next: by priority, then by age.
    fn next_query(&self) -> Option<usize> {
        let reserve_only =
            self.idle_slots() <= RESERVED_FOR_SHORT && self.helpers.len() > RESERVED_FOR_SHORT;
        let query_of = |call: &CallId| self.queries.get(call);
        let fits =
            |query: &PendingQuery| !reserve_only || query.errand.expected_latency < LONG_QUERY;
        let queued = self.queued.iter().enumerate();
        queued
            .filter_map(|(i, call)| {
                query_of(call)
                    .filter(|query| fits(query))
                    .map(|query| (query.priority, i))
            })
            .min()
            .map(|(_, i)| i)
    }
}

impl Owner {
    /// True if the policy has not decided about any backend server for a step.
    pub(crate) fn has_no_advice(&self, step: StepRef) -> bool {
        let admission = self.ledger.step(step).map(|state| &state.admission);
        admission.is_some_and(|a| a.allowed.is_empty() && a.denied.is_empty())
    }

    /// True if a query about a step is due and would be sent soon. The queue
    /// is kept about as short as the number of helpers: the ranking of steps
    /// changes over time, and each placement pass issues queries in the
    /// ranking of that moment.
    pub(crate) fn can_query(&self, step: StepRef, priority: u32, cx: &Cx<'_>) -> bool {
        let admission = self.ledger.step(step).map(|state| &state.admission);
        let due = admission.is_some_and(|a| a.call.is_none() && cx.now() >= a.next_call_at);
        due && self.policy_calls.has_capacity(priority)
    }

    /// Queues a query about a step for the candidates in `servers`, unless one is
    /// outstanding already or none is due yet.
    pub(crate) fn request_advice(
        &mut self,
        step: StepRef,
        priority: u32,
        admission: crate::config::AdmissionPolicy,
        servers: &[ServerIx],
        cx: &mut Cx<'_>,
    ) {
        let server_ids: Vec<Name> = servers
            .iter()
            .take(MAX_SERVERS_PER_QUERY)
            .map(|ix| self.fleet.get(*ix).listing.id.clone())
            .collect();
        let Some(job) = self.ledger.jobs.get(&step.job).map(|job| job.id.clone()) else {
            return;
        };
        let Some(state) = self.ledger.step_mut(step) else {
            return;
        };
        let due = state.admission.call.is_none() && cx.now() >= state.admission.next_call_at;
        if !due || server_ids.is_empty() {
            return;
        }
        let call = cx.next_call_id();
        state.admission.call = Some(call);
        let errand = PolicyQuery {
            id: call,
            step: (job, step.occurrence, step.step),
            expected_latency: admission.decision_latency(server_ids.len()),
            servers: server_ids,
        };
        let query = PendingQuery {
            step,
            errand,
            priority,
            sent_at: cx.now(),
            helper: Name::default(),
        };
        self.policy_calls.queries.insert(call, query);
        self.policy_calls.queued.push_back(call);
        self.dispatch_queries(cx);
    }

    /// Sends queued queries while a VM is idle.
    fn dispatch_queries(&mut self, cx: &mut Cx<'_>) {
        while self.policy_calls.idle_slots() > 0 {
            let Some(position) = self.policy_calls.next_query() else {
                return;
            };
            let Some(call) = self.policy_calls.queued.remove(position) else {
                return;
            };
            let helper = self.policy_calls.idle_helpers().next().cloned();
            self.send_query(call, helper, cx);
        }
    }

    fn send_query(&mut self, call: CallId, helper: Option<Name>, cx: &mut Cx<'_>) {
        let Some(query) = self.policy_calls.queries.get_mut(&call) else {
            return;
        };
        query.sent_at = cx.now();
        query.helper = helper.clone().unwrap_or_default();
        let errand = query.errand.clone();
        let notice = Notice::AdviceAsked {
            job: errand.step.0.clone(),
            step: format_compact!("{}.{}", errand.step.1, errand.step.2),
            servers: errand.servers.len() as u32,
            helper: query.helper.clone(),
        };
        cx.log(notice);
        let offer = helper.and_then(|name| {
            let helper = self.policy_calls.helpers.get_mut(&name)?;
            helper.query = Some(call);
            helper.offer.take()
        });
        match offer {
            Some((caller, _)) => cx.out.push(Effect::Reply {
                caller,
                reply: Reply::Helper(OfferResponse::Query(errand)),
            }),
            None => {
                self.policy_calls.local_query = Some(call);
                cx.out.push(Effect::QueryPolicy {
                    call,
                    query: Box::new(errand),
                });
            }
        }
    }

    /// Handles the offer of another VM, which may carry the result of its previous
    /// query.
    pub(crate) fn offer_received(&mut self, caller: CallerId, offer: Offer, cx: &mut Cx<'_>) {
        let Offer {
            helper: name,
            cpu_share: strength,
            result,
        } = offer;
        let helper = self.policy_calls.helpers.entry(name).or_default();
        helper.query = None;
        helper.strength = strength;
        helper.last_heard_at = cx.now();
        let replaced = helper.offer.replace((caller, cx.now()));
        if let Some((caller, _)) = replaced {
            let reply = Reply::Helper(OfferResponse::Idle);
            cx.out.push(Effect::Reply { caller, reply });
        }
        if let Some((call, result)) = result {
            self.advice_received(call, result, cx);
        }
        self.dispatch_queries(cx);
    }

    /// Handles the policy's answer to a query, or its failure.
    pub(crate) fn advice_received(
        &mut self,
        call: CallId,
        result: Result<PolicyDecision, PolicyError>,
        cx: &mut Cx<'_>,
    ) {
        self.policy_calls
            .local_query
            .take_if(|local| *local == call);
        self.policy_calls.queued.retain(|queued| *queued != call);
        if let Some(query) = self.policy_calls.queries.remove(&call) {
            match result {
                Ok(advice) => self.apply_advice(&query, &advice, cx),
                Err(fault) => self.advice_failed(&query, fault, cx),
            }
        }
        self.dispatch_queries(cx);
    }

    fn apply_advice(&mut self, query: &PendingQuery, advice: &PolicyDecision, cx: &mut Cx<'_>) {
        let elapsed = cx.now().saturating_sub(query.sent_at);
        cx.log(Notice::AdviceGiven {
            job: query.errand.step.0.clone(),
            step: format_compact!("{}.{}", query.errand.step.1, query.errand.step.2),
            granted: advice.granted.len() as u32,
            took_ms: ms(elapsed),
        });
        let job = self.ledger.jobs.get(&query.step.job);
        let (team, queue) = job
            .map(|job| (job.team.clone(), job.queue.clone()))
            .unwrap_or_default();
        let admission = cx.config.queue(&queue).and_then(|queue| queue.admission);
        let validity = admission.map_or(Duration::ZERO, |admission| admission.ticket_validity);
        let until = cx.now() + validity.saturating_sub(cx.settings.timing.ticket_margin);
        cx.out.push(Effect::Record {
            measure: Measure::PolicyCall,
            team,
            queue,
            value: elapsed,
        });
        let Some(state) = self.ledger.step_mut(query.step) else {
            return;
        };
        let admission = &mut state.admission;
        admission.call = None;
        for server in &query.errand.servers {
            admission.denied.insert(server.clone());
        }
        for (server, ticket) in &advice.granted {
            admission.denied.remove(server);
            admission.allowed.insert(server.clone());
            let ticket = (ticket.clone(), until);
            admission.tickets.insert(server.clone(), ticket);
        }
        self.place_due = true;
    }

    fn advice_failed(&mut self, query: &PendingQuery, fault: PolicyError, cx: &mut Cx<'_>) {
        cx.log(Notice::AdviceFailed {
            job: query.errand.step.0.clone(),
            step: format_compact!("{}.{}", query.errand.step.1, query.errand.step.2),
            fault: format_compact!("{fault}"),
        });
        if let Some(state) = self.ledger.step_mut(query.step) {
            state.admission.call = None;
            state.admission.next_call_at = cx.now() + RETRY_DELAY;
        }
    }

    /// Asks the helpers to take over ownership because this VM can't reach the
    /// table service.
    pub(crate) fn request_takeover(&mut self, cx: &mut Cx<'_>) {
        for helper in self.policy_calls.helpers.values_mut() {
            if let Some((caller, _)) = helper.offer.take() {
                let reply = Reply::Helper(OfferResponse::HandOver);
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
    }

    /// Answers offers that have waited for `offer_wait`, removes silent helpers and
    /// fails queries that count as lost.
    pub(crate) fn tick_advice(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let wait = cx.settings.timing.offer_wait;
        for helper in self.policy_calls.helpers.values_mut() {
            let overdue = helper.offer.take_if(|(_, since)| now >= *since + wait);
            if let Some((caller, _)) = overdue {
                let reply = Reply::Helper(OfferResponse::Idle);
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
        self.policy_calls
            .helpers
            .retain(|_, helper| now < helper.last_heard_at + HELPER_TIMEOUT);
        let queued = &self.policy_calls.queued;
        let lost: Vec<CallId> = self
            .policy_calls
            .queries
            .iter()
            .filter(|(call, query)| {
                let in_flight = !queued.contains(call);
                in_flight
                    && now >= query.sent_at + query.errand.expected_latency * 2 + LOST_CALL_MARGIN
            })
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.advice_received(call, Err(PolicyError::Lost), cx);
        }
    }
}
