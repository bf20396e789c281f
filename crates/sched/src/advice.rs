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
    CallId, CallerId, Effect, Measure, Offer, OfferResponse, PolicyDecision, PolicyError,
    PolicyQuery, Reply,
};
use crate::fleet::ServerIx;
use crate::ledger::StepRef;
use crate::notice::{Notice, ms};
use crate::owner::{Cx, Owner};

/// Most backend servers that one call may name.
const MAX_NAMED: usize = 100;
/// Errands at least this long may not take the last idle helpers.
const LONG: Duration = Duration::from_millis(100);
/// Idle helpers kept for short errands.
const KEPT_FOR_SHORT: usize = 2;
/// Pause after a call that failed.
const RETRY: Duration = Duration::from_millis(200);
/// Time beyond the policy's own time after which a call counts as lost.
const SLACK: Duration = Duration::from_millis(600);
/// Silence after which a helper is forgotten.
const HELPER_SILENCE: Duration = Duration::from_secs(5);

/// A question under way or waiting.
#[derive(Debug)]
struct Asked {
    step: StepRef,
    errand: PolicyQuery,
    priority: u32,
    sent: Duration,
    helper: Name,
}

/// A VM that can ask the policy.
#[derive(Debug, Default)]
struct Helper {
    /// Its offer that waits for an answer.
    offer: Option<(CallerId, Duration)>,
    /// Errand that it carries out.
    busy: Option<CallId>,
    heard: Duration,
    /// Part of a core that it has; zero while it could not own.
    strength: f64,
}

/// Questions and helpers.
#[derive(Debug, Default)]
pub(crate) struct Desk {
    asked: HashMap<CallId, Asked>,
    waiting: VecDeque<CallId>,
    helpers: BTreeMap<Name, Helper>,
    local: Option<CallId>,
}

impl Desk {
    fn idle_helpers(&self) -> impl Iterator<Item = &Name> {
        let idle = |(_, helper): &(&Name, &Helper)| helper.offer.is_some();
        self.helpers.iter().filter(idle).map(|(name, _)| name)
    }

    /// Strength of the strongest helper.
    pub(crate) fn strongest(&self) -> f64 {
        let strengths = self.helpers.values().map(|helper| helper.strength);
        strengths.fold(0.0, f64::max)
    }

    /// Questions waiting or under way.
    pub(crate) fn questions(&self) -> u32 {
        self.asked.len() as u32
    }

    fn idle_count(&self) -> usize {
        self.idle_helpers().count() + usize::from(self.local.is_none())
    }

    /// True when another question of this priority can be asked soon.
    fn has_room(&self, priority: u32) -> bool {
        let asked = self.waiting.iter().filter_map(|call| self.asked.get(call));
        let ahead = asked.filter(|asked| asked.priority <= priority);
        ahead.count() <= self.helpers.len()
    }

    /// Position of the question to ask next: by priority, then by age.
    fn next(&self) -> Option<usize> {
        let few = self.idle_count() <= KEPT_FOR_SHORT && self.helpers.len() > KEPT_FOR_SHORT;
        let asked = |call: &CallId| self.asked.get(call);
        let fits = |a: &Asked| !few || a.errand.expected_latency < LONG;
        let waiting = self.waiting.iter().enumerate();
        waiting
            .filter_map(|(i, call)| asked(call).filter(|a| fits(a)).map(|a| (a.priority, i)))
            .min()
            .map(|(_, i)| i)
    }
}

impl Owner {
    /// True when the policy was never asked about a step, or never answered.
    pub(crate) fn is_unadvised(&self, step: StepRef) -> bool {
        let grant = self.ledger.step(step).map(|state| &state.grant);
        grant.is_some_and(|grant| grant.allowed.is_empty() && grant.denied.is_empty())
    }

    /// True when a question about a step is due and can be asked soon. More
    /// questions than helpers are not queued: the order in which steps are
    /// served changes with time, and each pass asks in that order.
    pub(crate) fn may_ask(&self, step: StepRef, priority: u32, cx: &Cx<'_>) -> bool {
        let grant = self.ledger.step(step).map(|state| &state.grant);
        let due = grant.is_some_and(|g| g.call.is_none() && cx.now() >= g.next_call);
        due && self.policy_calls.has_room(priority)
    }

    /// Asks the policy about a step, unless a call is under way or none is
    /// due. `servers` are the candidates.
    pub(crate) fn ask_advice(
        &mut self,
        step: StepRef,
        priority: u32,
        admission: crate::config::AdmissionPolicy,
        servers: &[ServerIx],
        cx: &mut Cx<'_>,
    ) {
        let named: Vec<Name> = servers
            .iter()
            .take(MAX_NAMED)
            .map(|ix| self.fleet.get(*ix).listing.id.clone())
            .collect();
        let Some(job) = self.ledger.jobs.get(&step.job).map(|job| job.id.clone()) else {
            return;
        };
        let Some(state) = self.ledger.step_mut(step) else {
            return;
        };
        let due = state.grant.call.is_none() && cx.now() >= state.grant.next_call;
        if !due || named.is_empty() {
            return;
        }
        let call = cx.next_call_id();
        state.grant.call = Some(call);
        let errand = PolicyQuery {
            id: call,
            step: (job, step.occurrence, step.step),
            expected_latency: admission.decision_latency(named.len()),
            servers: named,
        };
        let asked = Asked {
            step,
            errand,
            priority,
            sent: cx.now(),
            helper: Name::default(),
        };
        self.policy_calls.asked.insert(call, asked);
        self.policy_calls.waiting.push_back(call);
        self.dispatch_advice(cx);
    }

    /// Gives waiting questions to idle helpers.
    fn dispatch_advice(&mut self, cx: &mut Cx<'_>) {
        while self.policy_calls.idle_count() > 0 {
            let Some(position) = self.policy_calls.next() else {
                return;
            };
            let Some(call) = self.policy_calls.waiting.remove(position) else {
                return;
            };
            let helper = self.policy_calls.idle_helpers().next().cloned();
            self.hand_out(call, helper, cx);
        }
    }

    fn hand_out(&mut self, call: CallId, helper: Option<Name>, cx: &mut Cx<'_>) {
        let Some(asked) = self.policy_calls.asked.get_mut(&call) else {
            return;
        };
        asked.sent = cx.now();
        asked.helper = helper.clone().unwrap_or_default();
        let errand = asked.errand.clone();
        let notice = Notice::AdviceAsked {
            job: errand.step.0.clone(),
            step: format_compact!("{}.{}", errand.step.1, errand.step.2),
            servers: errand.servers.len() as u32,
            helper: asked.helper.clone(),
        };
        cx.log(notice);
        let offer = helper.and_then(|name| {
            let helper = self.policy_calls.helpers.get_mut(&name)?;
            helper.busy = Some(call);
            helper.offer.take()
        });
        match offer {
            Some((caller, _)) => cx.out.push(Effect::Reply {
                caller,
                reply: Reply::Helper(OfferResponse::Query(errand)),
            }),
            None => {
                self.policy_calls.local = Some(call);
                cx.out.push(Effect::QueryPolicy {
                    call,
                    query: Box::new(errand),
                });
            }
        }
    }

    /// Another VM offers to help, and may bring the result of its errand.
    pub(crate) fn offered(&mut self, caller: CallerId, offer: Offer, cx: &mut Cx<'_>) {
        let Offer {
            helper: name,
            cpu_share: strength,
            result,
        } = offer;
        let helper = self.policy_calls.helpers.entry(name).or_default();
        helper.busy = None;
        helper.strength = strength;
        helper.heard = cx.now();
        let replaced = helper.offer.replace((caller, cx.now()));
        if let Some((caller, _)) = replaced {
            let reply = Reply::Helper(OfferResponse::Idle);
            cx.out.push(Effect::Reply { caller, reply });
        }
        if let Some((call, result)) = result {
            self.advised(call, result, cx);
        }
        self.dispatch_advice(cx);
    }

    /// The policy's answer to a question.
    pub(crate) fn advised(
        &mut self,
        call: CallId,
        result: Result<PolicyDecision, PolicyError>,
        cx: &mut Cx<'_>,
    ) {
        self.policy_calls.local.take_if(|local| *local == call);
        self.policy_calls.waiting.retain(|waiting| *waiting != call);
        if let Some(asked) = self.policy_calls.asked.remove(&call) {
            match result {
                Ok(advice) => self.grant(&asked, &advice, cx),
                Err(fault) => self.advice_failed(&asked, fault, cx),
            }
        }
        self.dispatch_advice(cx);
    }

    fn grant(&mut self, asked: &Asked, advice: &PolicyDecision, cx: &mut Cx<'_>) {
        let took = cx.now().saturating_sub(asked.sent);
        cx.log(Notice::AdviceGiven {
            job: asked.errand.step.0.clone(),
            step: format_compact!("{}.{}", asked.errand.step.1, asked.errand.step.2),
            granted: advice.granted.len() as u32,
            took_ms: ms(took),
        });
        let job = self.ledger.jobs.get(&asked.step.job);
        let (team, queue) = job
            .map(|job| (job.team.clone(), job.queue.clone()))
            .unwrap_or_default();
        let admission = cx.config.queue(&queue).and_then(|queue| queue.admission);
        let valid = admission.map_or(Duration::ZERO, |admission| admission.ticket_validity);
        let until = cx.now() + valid.saturating_sub(cx.settings.timing.ticket_margin);
        cx.out.push(Effect::Record {
            measure: Measure::PolicyCall,
            team,
            queue,
            value: took,
        });
        let Some(state) = self.ledger.step_mut(asked.step) else {
            return;
        };
        let grant = &mut state.grant;
        grant.call = None;
        for server in &asked.errand.servers {
            grant.denied.insert(server.clone());
        }
        for (server, ticket) in &advice.granted {
            grant.denied.remove(server);
            grant.allowed.insert(server.clone());
            let ticket = (ticket.clone(), until);
            grant.tickets.insert(server.clone(), ticket);
        }
        self.place_due = true;
    }

    fn advice_failed(&mut self, asked: &Asked, fault: PolicyError, cx: &mut Cx<'_>) {
        cx.log(Notice::AdviceFailed {
            job: asked.errand.step.0.clone(),
            step: format_compact!("{}.{}", asked.errand.step.1, asked.errand.step.2),
            fault: format_compact!("{fault}"),
        });
        if let Some(state) = self.ledger.step_mut(asked.step) {
            state.grant.call = None;
            state.grant.next_call = cx.now() + RETRY;
        }
    }

    /// Asks the helpers to take over, since this VM can't reach the table
    /// service.
    pub(crate) fn ask_for_successor(&mut self, cx: &mut Cx<'_>) {
        for helper in self.policy_calls.helpers.values_mut() {
            if let Some((caller, _)) = helper.offer.take() {
                let reply = Reply::Helper(OfferResponse::HandOver);
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
    }

    /// Answers offers that waited long enough, and gives up lost calls.
    pub(crate) fn tick_advice(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now();
        let wait = cx.settings.timing.offer_wait;
        for helper in self.policy_calls.helpers.values_mut() {
            let late = helper.offer.take_if(|(_, since)| now >= *since + wait);
            if let Some((caller, _)) = late {
                let reply = Reply::Helper(OfferResponse::Idle);
                cx.out.push(Effect::Reply { caller, reply });
            }
        }
        self.policy_calls
            .helpers
            .retain(|_, helper| now < helper.heard + HELPER_SILENCE);
        let waiting = &self.policy_calls.waiting;
        let lost: Vec<CallId> = self
            .policy_calls
            .asked
            .iter()
            .filter(|(call, asked)| {
                let out = !waiting.contains(call);
                out && now >= asked.sent + asked.errand.expected_latency * 2 + SLACK
            })
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.advised(call, Err(PolicyError::Lost), cx);
        }
    }
}
