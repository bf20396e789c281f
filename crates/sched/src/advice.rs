//! Asking the outside policy which backend servers may run a step.
//!
//! The policy serves one call at a time for each VM that calls, so the owner
//! spreads its calls over the VMs that offer to help.
//!
//! Invariant: a step has at most one call under way, and a ticket is used
//! only while it is valid.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use compact_str::format_compact;
use model::Name;

use crate::event::{
    Advice, AdviceFault, CallId, CallerId, Effect, Errand, Measure, Offer, Reply, Response,
};
use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

/// Most backend servers that one call may name.
const MAX_SERVERS_PER_QUERY: usize = 100;
/// Errands at least this long may not take the last idle helpers.
const LONG_QUERY: Duration = Duration::from_millis(100);
/// Idle helpers kept for short errands.
const RESERVED_FOR_SHORT: usize = 2;
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time beyond the policy's own time after which a call counts as lost.
const LOST_CALL_MARGIN: Duration = Duration::from_millis(600);
/// Silence after which a helper is forgotten.
const HELPER_TIMEOUT: Duration = Duration::from_secs(5);

/// A question under way or waiting.
#[derive(Debug)]
struct PolicyQuery {
    step: StepRef,
    errand: Errand,
    priority: u32,
    sent_at: Duration,
    helper: Name,
}

/// A VM that can ask the policy.
#[derive(Debug, Default)]
struct Helper {
    /// Its offer that waits for an answer.
    offer: Option<(CallerId, Duration)>,
    /// Errand that it carries out.
    query: Option<CallId>,
    last_heard_at: Duration,
    /// Part of a core that it has; zero while it could not own.
    strength: f64,
}

/// Questions and helpers.
#[derive(Debug, Default)]
pub(crate) struct AdviceDispatcher {
    queries: HashMap<CallId, PolicyQuery>,
    queued: VecDeque<CallId>,
    helpers: BTreeMap<Name, Helper>,
    local_query: Option<CallId>,
}

impl AdviceDispatcher {
    fn idle_helpers(&self) -> impl Iterator<Item = &Name> {
        let idle = |(_, helper): &(&Name, &Helper)| helper.offer.is_some();
        self.helpers.iter().filter(idle).map(|(name, _)| name)
    }

    /// Strength of the strongest helper.
    pub(crate) fn max_helper_strength(&self) -> f64 {
        let strengths = self.helpers.values().map(|helper| helper.strength);
        strengths.fold(0.0, f64::max)
    }

    /// Questions waiting or under way.
    pub(crate) fn query_count(&self) -> u32 {
        self.queries.len() as u32
    }

    fn idle_slots(&self) -> usize {
        self.idle_helpers().count() + usize::from(self.local_query.is_none())
    }

    /// True when another question of this priority can be asked soon.
    fn has_capacity(&self, priority: u32) -> bool {
        let queries = self.queued.iter().filter_map(|call| self.queries.get(call));
        let ahead = queries.filter(|query| query.priority <= priority);
        ahead.count() <= self.helpers.len()
    }

    /// Position of the question to ask next: by priority, then by age.
    fn next_query(&self) -> Option<usize> {
        let reserve_only =
            self.idle_slots() <= RESERVED_FOR_SHORT && self.helpers.len() > RESERVED_FOR_SHORT;
        let query_of = |call: &CallId| self.queries.get(call);
        let fits = |query: &PolicyQuery| !reserve_only || query.errand.takes < LONG_QUERY;
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
    /// True when the policy was never asked about a step, or never answered.
    pub(crate) fn has_no_advice(&self, step: StepRef) -> bool {
        let admission = self.ledger.step(step).map(|state| &state.admission);
        admission.is_some_and(|a| a.allowed.is_empty() && a.denied.is_empty())
    }

    /// True when a question about a step is due and can be asked soon. More
    /// questions than helpers are not queued: the order in which steps are
    /// served changes with time, and each pass asks in that order.
    pub(crate) fn can_query(&self, step: StepRef, priority: u32, cx: &Cx<'_>) -> bool {
        let admission = self.ledger.step(step).map(|state| &state.admission);
        let due = admission.is_some_and(|a| a.call.is_none() && cx.now() >= a.next_call_at);
        due && self.desk.has_capacity(priority)
    }

    /// Asks the policy about a step, unless a call is under way or none is
    /// due. `servers` are the candidates.
    pub(crate) fn request_advice(
        &mut self,
        step: StepRef,
        priority: u32,
        admission: crate::config::Admission,
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
        let call = cx.call();
        state.admission.call = Some(call);
        let errand = Errand {
            id: call,
            step: (job, step.occurrence, step.step),
            takes: admission.time(server_ids.len()),
            servers: server_ids,
        };
        let query = PolicyQuery {
            step,
            errand,
            priority,
            sent_at: cx.now(),
            helper: Name::default(),
        };
        self.desk.queries.insert(call, query);
        self.desk.queued.push_back(call);
        self.dispatch_queries(cx);
    }

    /// Gives waiting questions to idle helpers.
    fn dispatch_queries(&mut self, cx: &mut Cx<'_>) {
        while self.desk.idle_slots() > 0 {
            let Some(position) = self.desk.next_query() else {
                return;
            };
            let Some(call) = self.desk.queued.remove(position) else {
                return;
            };
            let helper = self.desk.idle_helpers().next().cloned();
            self.send_query(call, helper, cx);
        }
    }

    fn send_query(&mut self, call: CallId, helper: Option<Name>, cx: &mut Cx<'_>) {
        let Some(query) = self.desk.queries.get_mut(&call) else {
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
            let helper = self.desk.helpers.get_mut(&name)?;
            helper.query = Some(call);
            helper.offer.take()
        });
        match offer {
            Some((caller, _)) => cx.out.push(Effect::Reply {
                caller,
                reply: Reply::Helper(Response::Errand(errand)),
            }),
            None => {
                self.desk.local_query = Some(call);
                cx.out.push(Effect::Advise {
                    call,
                    errand: Box::new(errand),
                });
            }
        }
    }

    /// Another VM offers to help, and may bring the result of its errand.
    pub(crate) fn offer_received(&mut self, caller: CallerId, offer: Offer, cx: &mut Cx<'_>) {
        let Offer {
            helper: name,
            strength,
            result,
        } = offer;
        let helper = self.desk.helpers.entry(name).or_default();
        helper.query = None;
        helper.strength = strength;
        helper.last_heard_at = cx.now();
        let replaced = helper.offer.replace((caller, cx.now()));
        if let Some((caller, _)) = replaced {
            let reply = Reply::Helper(Response::Idle);
            cx.out.push(Effect::Reply { caller, reply });
        }
        if let Some((call, result)) = result {
            self.advice_received(call, result, cx);
        }
        self.dispatch_queries(cx);
    }

    /// The policy's answer to a question.
    pub(crate) fn advice_received(
        &mut self,
        call: CallId,
        result: Result<Advice, AdviceFault>,
        cx: &mut Cx<'_>,
    ) {
        self.desk.local_query.take_if(|local| *local == call);
        self.desk.queued.retain(|queued| *queued != call);
        if let Some(query) = self.desk.queries.remove(&call) {
            match result {
                Ok(advice) => self.apply_advice(&query, &advice, cx),
                Err(fault) => self.advice_failed(&query, fault, cx),
            }
        }
        self.dispatch_queries(cx);
    }

    fn apply_advice(&mut self, query: &PolicyQuery, advice: &Advice, cx: &mut Cx<'_>) {
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
        let validity = admission.map_or(Duration::ZERO, |admission| admission.valid);
        let until = cx.now() + validity.saturating_sub(cx.settings.timing.ticket_margin);
        cx.out.push(Effect::Record {
            measure: Measure::Advice,
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

    fn advice_failed(&mut self, query: &PolicyQuery, fault: AdviceFault, cx: &mut Cx<'_>) {
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

    /// Asks the helpers to take over, since this VM can't reach the table
    /// service.
    pub(crate) fn request_takeover(&mut self, cx: &mut Cx<'_>) {
        for helper in self.desk.helpers.values_mut() {
            if let Some((caller, _)) = helper.offer.take() {
                let reply = Reply::Helper(Response::HandOver);
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
    }

    /// Answers offers that waited long enough, and gives up lost calls.
    pub(crate) fn tick_advice(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let wait = cx.settings.timing.offer_wait;
        for helper in self.desk.helpers.values_mut() {
            let overdue = helper.offer.take_if(|(_, since)| now >= *since + wait);
            if let Some((caller, _)) = overdue {
                let reply = Reply::Helper(Response::Idle);
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
        self.desk
            .helpers
            .retain(|_, helper| now < helper.last_heard_at + HELPER_TIMEOUT);
        let queued = &self.desk.queued;
        let lost: Vec<CallId> = self
            .desk
            .queries
            .iter()
            .filter(|(call, query)| {
                let in_flight = !queued.contains(call);
                in_flight && now >= query.sent_at + query.errand.takes * 2 + LOST_CALL_MARGIN
            })
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.advice_received(call, Err(AdviceFault::Lost), cx);
        }
    }
}
