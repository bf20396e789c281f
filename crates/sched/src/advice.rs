//! Queries to the external admission policy, which decides which backend
//! servers may run a step.
//!
//! The policy serves one call at a time for each calling VM, so the owner
//! distributes its queries over itself and its helpers, which are the VMs that
//! offer to send queries for it.
//!
//! Invariant: a step has at most one outstanding query, a ticket is used only while it
//! is valid, and a result is applied only to the query that it answers. A helper may
//! report a result to another owner than the one that sent the query, so the id of a
//! query contains the epoch of its owner.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use compact_str::format_compact;
use model::{Epoch, Name};
use policy::shortlist::GrantRate;

use crate::event::{
    CallId, CallerId, Effect, Metric, Offer, OfferResponse, PolicyDecision, PolicyError,
    PolicyQuery, QueryId, Reply,
};
use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

/// Maximum number of backend servers in one query.
pub(crate) const MAX_SERVERS_PER_QUERY: usize = 100;
/// Expected duration from which a query counts as long. With more than
/// `RESERVED_FOR_SHORT` helpers, long queries do not take the last idle VMs.
const LONG_QUERY: Duration = Duration::from_millis(100);
/// Number of idle VMs, including the owner, that are reserved for short queries.
const RESERVED_FOR_SHORT: usize = 2;
/// Delay before a step is queried again after a failed query.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A query counts as lost after twice its expected duration plus this margin.
const LOST_QUERY_MARGIN: Duration = Duration::from_millis(600);
/// Number of query ids in each epoch: more than an owner that sends a hundred queries a
/// second uses in a year.
const QUERIES_PER_EPOCH: QueryId = 1 << 32;
/// Time without an offer after which a helper is removed.
const HELPER_TIMEOUT: Duration = Duration::from_secs(5);

/// A query that is queued or in flight.
#[derive(Debug)]
struct PendingQuery {
    step: StepRef,
    query: PolicyQuery,
    /// Priority of the step's queue; 0 is the most urgent.
    priority: u32,
    /// When the query was sent, or queued if it has not been sent.
    sent_at: Duration,
    /// VM that sends the query; empty if it is the owner or none yet.
    helper: Name,
}

/// A VM that sends queries to the policy on behalf of the owner.
#[derive(Debug, Default)]
struct Helper {
    /// Its unanswered offer, with the time of arrival.
    offer: Option<(CallerId, Duration)>,
    last_heard_at: Duration,
    /// Its share of a CPU core; zero while it could not become the owner.
    cpu_share: f64,
}

/// Queue of policy queries, and the VMs that process them.
#[derive(Debug, Default)]
pub(crate) struct PolicyDispatcher {
    /// All queries without a result.
    queries: HashMap<QueryId, PendingQuery>,
    /// Number of queries in this term.
    query_count: u64,
    /// Those that have not been sent, in order of arrival.
    queued: VecDeque<QueryId>,
    helpers: BTreeMap<Name, Helper>,
    /// Query that this VM itself has sent to the policy, with the call that sends it.
    local_query: Option<(CallId, QueryId)>,
    /// How often the policy of each queue allows a server.
    grant_rates: HashMap<Name, GrantRate>,
}

impl PolicyDispatcher {
    fn idle_helpers(&self) -> impl Iterator<Item = &Name> {
        let idle = |(_, helper): &(&Name, &Helper)| helper.offer.is_some();
        self.helpers.iter().filter(idle).map(|(name, _)| name)
    }

    /// How often the policy of a queue allows a server.
    pub(crate) fn grant_rate(&self, queue: &Name) -> GrantRate {
        self.grant_rates.get(queue).copied().unwrap_or_default()
    }

    /// Largest CPU share of any helper; zero if there is none.
    pub(crate) fn max_helper_cpu_share(&self) -> f64 {
        let shares = self.helpers.values().map(|helper| helper.cpu_share);
        shares.fold(0.0, f64::max)
    }

    /// Assigns the id of the next query of the owner of `epoch`.
    fn next_query_id(&mut self, epoch: Epoch) -> QueryId {
        self.query_count += 1;
        epoch * QUERIES_PER_EPOCH + self.query_count
    }

    /// Number of queries that are queued or in flight.
    pub(crate) fn pending_queries(&self) -> u32 {
        self.queries.len() as u32
    }

    fn idle_slots(&self) -> usize {
        self.idle_helpers().count() + usize::from(self.local_query.is_none())
    }

    /// True if another query of this priority would be sent soon: the queries
    /// queued ahead of it do not outnumber the helpers.
    fn has_capacity(&self, priority: u32) -> bool {
        let queries = self.queued.iter().filter_map(|id| self.queries.get(id));
        let ahead = queries.filter(|pending| pending.priority <= priority);
        ahead.count() <= self.helpers.len()
    }

    /// Queue position of the query to send next: by priority, then by age.
    fn next_query(&self) -> Option<usize> {
        let reserve_only =
            self.idle_slots() <= RESERVED_FOR_SHORT && self.helpers.len() > RESERVED_FOR_SHORT;
        let query_of = |id: &QueryId| self.queries.get(id);
        let fits =
            |pending: &PendingQuery| !reserve_only || pending.query.expected_latency < LONG_QUERY;
        let queued = self.queued.iter().enumerate();
        queued
            .filter_map(|(i, id)| {
                query_of(id)
                    .filter(|pending| fits(pending))
                    .map(|pending| (pending.priority, i))
            })
            .min()
            .map(|(_, i)| i)
    }
}

impl Owner {
    /// True if the policy has not decided about any backend server for a step.
    pub(crate) fn has_no_decision(&self, step: StepRef) -> bool {
        let admission = self.ledger.step(step).map(|state| &state.admission);
        admission.is_some_and(|a| a.allowed.is_empty() && a.denied.is_empty())
    }

    /// True if a query about a step is due and would be sent soon. The queue
    /// is kept about as short as the number of helpers: the ranking of steps
    /// changes over time, and each placement pass issues queries in the
    /// ranking of that moment.
    pub(crate) fn can_query(&self, step: StepRef, priority: u32, cx: &Cx<'_>) -> bool {
        let admission = self.ledger.step(step).map(|state| &state.admission);
        let due = admission.is_some_and(|a| a.query.is_none() && cx.now() >= a.next_query_at);
        due && self.policy_dispatcher.has_capacity(priority)
    }

    /// Queues a query about a step for the candidates in `servers`, unless one is
    /// outstanding already or none is due yet.
    pub(crate) fn query_policy(
        &mut self,
        step: StepRef,
        priority: u32,
        admission: crate::config::AdmissionPolicy,
        servers: &[ServerIx],
        cx: &mut Cx<'_>,
    ) {
        let server_ids: Vec<Name> = servers
            .iter()
            .map(|ix| self.fleet.get(*ix).listing.id.clone())
            .collect();
        let Some(job) = self.ledger.jobs.get(&step.job).map(|job| job.id.clone()) else {
            return;
        };
        let Some(state) = self.ledger.step_mut(step) else {
            return;
        };
        let due = state.admission.query.is_none() && cx.now() >= state.admission.next_query_at;
        if !due || server_ids.is_empty() {
            return;
        }
        let id = self.policy_dispatcher.next_query_id(cx.term.epoch());
        state.admission.query = Some(id);
        let query = PolicyQuery {
            id,
            step: (job, step.occurrence, step.step),
            expected_latency: admission.decision_latency(server_ids.len()),
            servers: server_ids,
        };
        let pending = PendingQuery {
            step,
            query,
            priority,
            sent_at: cx.now(),
            helper: Name::default(),
        };
        self.policy_dispatcher.queries.insert(id, pending);
        self.policy_dispatcher.queued.push_back(id);
        self.dispatch_queries(cx);
    }

    /// Sends queued queries while a VM is idle.
    fn dispatch_queries(&mut self, cx: &mut Cx<'_>) {
        while self.policy_dispatcher.idle_slots() > 0 {
            let Some(position) = self.policy_dispatcher.next_query() else {
                return;
            };
            let Some(id) = self.policy_dispatcher.queued.remove(position) else {
                return;
            };
            let helper = self.policy_dispatcher.idle_helpers().next().cloned();
            self.send_query(id, helper, cx);
        }
    }

    fn send_query(&mut self, id: QueryId, helper: Option<Name>, cx: &mut Cx<'_>) {
        let Some(pending) = self.policy_dispatcher.queries.get_mut(&id) else {
            return;
        };
        pending.sent_at = cx.now();
        pending.helper = helper.clone().unwrap_or_default();
        let query = pending.query.clone();
        let notice = Notice::AdviceAsked {
            job: query.step.0.clone(),
            step: format_compact!("{}.{}", query.step.1, query.step.2),
            servers: query.servers.len() as u32,
            helper: pending.helper.clone(),
        };
        cx.log(notice);
        let offer = helper.and_then(|name| {
            let helper = self.policy_dispatcher.helpers.get_mut(&name)?;
            helper.offer.take()
        });
        match offer {
            Some((caller, _)) => cx.out.push(Effect::Reply {
                caller,
                reply: Reply::Helper(OfferResponse::Query(query)),
            }),
            None => {
                let call = cx.next_call_id();
                self.policy_dispatcher.local_query = Some((call, id));
                cx.out.push(Effect::QueryPolicy {
                    call,
                    query: Box::new(query),
                });
            }
        }
    }

    /// Handles the offer of another VM, which may carry the result of its previous
    /// query.
    pub(crate) fn offer_received(&mut self, caller: CallerId, offer: Offer, cx: &mut Cx<'_>) {
        let Offer {
            helper: name,
            cpu_share,
            result,
        } = offer;
        let helper = self
            .policy_dispatcher
            .helpers
            .entry(name.clone())
            .or_default();
        helper.cpu_share = cpu_share;
        helper.last_heard_at = cx.now();
        let replaced = helper.offer.replace((caller, cx.now()));
        if let Some((caller, _)) = replaced {
            let reply = Reply::Helper(OfferResponse::Idle);
            cx.out.push(Effect::Reply { caller, reply });
        }
        match result {
            Some((id, result)) if self.policy_dispatcher.queries.contains_key(&id) => {
                self.query_answered(id, result, cx);
            }
            Some((id, _)) => cx.log(Notice::AdviceUnused {
                helper: name,
                epoch: id / QUERIES_PER_EPOCH,
            }),
            None => {}
        }
        self.dispatch_queries(cx);
    }

    /// Handles the policy's response to a query that this VM itself sent, or its failure.
    pub(crate) fn policy_answered(
        &mut self,
        call: CallId,
        result: Result<PolicyDecision, PolicyError>,
        cx: &mut Cx<'_>,
    ) {
        let local = &mut self.policy_dispatcher.local_query;
        if let Some((_, id)) = local.take_if(|(sent, _)| *sent == call) {
            self.query_answered(id, result, cx);
        }
    }

    /// Applies the result of a query of this term.
    fn query_answered(
        &mut self,
        id: QueryId,
        result: Result<PolicyDecision, PolicyError>,
        cx: &mut Cx<'_>,
    ) {
        self.policy_dispatcher
            .local_query
            .take_if(|(_, local)| *local == id);
        self.policy_dispatcher.queued.retain(|queued| *queued != id);
        if let Some(pending) = self.policy_dispatcher.queries.remove(&id) {
            match result {
                Ok(decision) => self.apply_decision(&pending, &decision, cx),
                Err(error) => self.policy_query_failed(&pending, error, cx),
            }
        }
        self.dispatch_queries(cx);
    }

    fn apply_decision(
        &mut self,
        pending: &PendingQuery,
        decision: &PolicyDecision,
        cx: &mut Cx<'_>,
    ) {
        let elapsed = cx.now().saturating_sub(pending.sent_at);
        cx.log(Notice::AdviceGiven {
            job: pending.query.step.0.clone(),
            step: format_compact!("{}.{}", pending.query.step.1, pending.query.step.2),
            granted: decision.granted.len() as u32,
            took_ms: ms(elapsed),
        });
        let job = self.ledger.jobs.get(&pending.step.job);
        let (team, queue) = job
            .map(|job| (job.team.clone(), job.queue.clone()))
            .unwrap_or_default();
        let admission = job.and_then(|job| job.settings(cx.config).admission);
        let validity = admission.map_or(Duration::ZERO, |admission| admission.ticket_validity);
        let validity = validity.saturating_sub(cx.settings.timing.ticket_margin);
        let until = cx.now().saturating_add(validity);
        cx.out.push(Effect::RecordMetric {
            metric: Metric::PolicyCall,
            team,
            queue: queue.clone(),
            value: elapsed,
        });
        let Some(state) = self.ledger.step_mut(pending.step) else {
            return;
        };
        let admission = &mut state.admission;
        admission.query = None;
        let is_new = |server: &&Name| !admission.allowed.contains(*server);
        let named = pending.query.servers.iter().filter(is_new).count();
        let granted = decision.granted.iter().map(|(server, _)| server);
        let granted = granted.filter(is_new).count();
        let rate = self.policy_dispatcher.grant_rates.entry(queue).or_default();
        rate.record(granted, named);
        for server in &pending.query.servers {
            admission.denied.insert(server.clone());
        }
        for (server, ticket) in &decision.granted {
            admission.denied.remove(server);
            admission.allowed.insert(server.clone());
            let ticket = (ticket.clone(), until);
            admission.tickets.insert(server.clone(), ticket);
        }
        self.place_due = true;
    }

    fn policy_query_failed(&mut self, pending: &PendingQuery, error: PolicyError, cx: &mut Cx<'_>) {
        cx.log(Notice::AdviceFailed {
            job: pending.query.step.0.clone(),
            step: format_compact!("{}.{}", pending.query.step.1, pending.query.step.2),
            fault: format_compact!("{error}"),
        });
        if let Some(state) = self.ledger.step_mut(pending.step) {
            state.admission.query = None;
            state.admission.next_query_at = cx.now() + RETRY_DELAY;
        }
    }

    /// Asks the helpers to take over ownership because this VM can't reach the
    /// table service; `why` is `HandOver` or `TurnedAway`.
    pub(crate) fn request_takeover(&mut self, why: &OfferResponse, cx: &mut Cx<'_>) {
        for helper in self.policy_dispatcher.helpers.values_mut() {
            if let Some((caller, _)) = helper.offer.take() {
                let reply = Reply::Helper(why.clone());
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
    }

    /// Answers offers that have waited for `offer_wait`, removes silent helpers and
    /// fails queries that count as lost.
    pub(crate) fn tick_policy_queries(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let wait = cx.settings.timing.offer_wait;
        for helper in self.policy_dispatcher.helpers.values_mut() {
            let overdue = helper.offer.take_if(|(_, since)| now >= *since + wait);
            if let Some((caller, _)) = overdue {
                let reply = Reply::Helper(OfferResponse::Idle);
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
        self.policy_dispatcher
            .helpers
            .retain(|_, helper| now < helper.last_heard_at + HELPER_TIMEOUT);
        let queued = &self.policy_dispatcher.queued;
        let lost: Vec<QueryId> = self
            .policy_dispatcher
            .queries
            .iter()
            .filter(|(id, pending)| {
                let in_flight = !queued.contains(id);
                in_flight
                    && now
                        >= pending.sent_at + pending.query.expected_latency * 2 + LOST_QUERY_MARGIN
            })
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.query_answered(id, Err(PolicyError::Lost), cx);
        }
    }
}
