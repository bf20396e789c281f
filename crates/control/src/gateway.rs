//! Request gateway: admission, routing, retries and final answers.
//!
//! A request of a non-idempotent queue is sent only after its idempotency key
//! has been claimed in the table service. A caller's retry finds the claim and
//! receives the recorded result or "unknown"; it never causes a second run.
//!
//! Invariant: each request is answered exactly once, no later than its deadline.
//! It is refused only if it has not been and will not be sent to an executor.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use model::{Answer, Hash, Name, Reason, Refusal, WorkKind, key};
use wire::{Frame, JobQuery, ServeRequest};

use crate::claims::{Claim, HeldClaim};
use crate::event::{CallerId, Reply};
use crate::node::Node;
use crate::notice::Notice;
use crate::submit::Submission;

/// Maximum time for which a caller may wait.
const MAX_REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a request that has no route is refused.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of data centres tried per request.
const MAX_ROUTE_ATTEMPTS: u32 = 3;
/// Retry tokens added by each admitted request.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.1;
/// Capacity of the retry token bucket.
const MAX_RETRY_TOKENS: f64 = 100.0;
/// Maximum number of pending requests per node.
const MAX_PENDING_REQUESTS: usize = 8_192;

/// Progress of a pending request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RequestStage {
    /// The idempotency key is being claimed.
    Claiming,
    /// No owner is known that can serve the request.
    Unrouted,
    /// Sent to the owner with this name.
    Routed(Name),
    /// The caller has been refused while the claim was in flight; the claim is
    /// to be marked as not run.
    Abandoned,
}

/// Request that has not been finished.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) caller: Option<CallerId>,
    pub(crate) team: Name,
    pub(crate) queue: Name,
    pub(crate) service: Name,
    pub(crate) body: Bytes,
    pub(crate) held_claim: Option<HeldClaim>,
    pub(crate) arrived_at: Duration,
    pub(crate) deadline: Duration,
    pub(crate) stage: RequestStage,
    pub(crate) tried_data_centres: Vec<Name>,
    pub(crate) route_attempts: u32,
    /// True once an owner has answered that the outcome is unknown.
    pub(crate) may_have_run: bool,
}

/// Pending requests, job submissions and job queries of this node.
#[derive(Debug, Default)]
pub(crate) struct Gateway {
    pub(crate) pending: BTreeMap<u64, PendingRequest>,
    deadlines: BTreeSet<(Duration, u64)>,
    unrouted: BTreeSet<u64>,
    pub(crate) outcomes: BTreeMap<u64, (Name, Claim, u64)>,
    pub(crate) submissions: BTreeMap<u64, Submission>,
    pub(crate) job_queries: BTreeMap<u64, (CallerId, Duration)>,
    retry_tokens: f64,
}

impl Gateway {
    /// Takes one retry token; returns false if none is available.
    pub(crate) fn take_retry_token(&mut self) -> bool {
        let available = self.retry_tokens >= 1.0;
        if available {
            self.retry_tokens -= 1.0;
        }
        available
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.submissions.is_empty() && self.job_queries.is_empty()
    }
}

impl Node {
    pub(crate) fn submit_request(
        &mut self,
        caller: CallerId,
        queue: Name,
        key: Option<Hash>,
        idempotency_key: Option<Name>,
        body: Bytes,
        timeout: Duration,
    ) {
        let admitted = self.admit_request(&queue, key.as_ref(), idempotency_key.as_ref());
        let (queue_config, team) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return self.reply(caller, Reply::Refused(refusal)),
        };
        self.gateway.retry_tokens =
            (self.gateway.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(MAX_RETRY_TOKENS);
        let id = self.rng.u64(1..);
        let deadline = self.now + timeout.min(MAX_REQUEST_TIMEOUT);
        let held_claim = idempotency_key
            .filter(|_| !queue_config.idempotent)
            .map(|idem| HeldClaim {
                key: format_compact!("claim/{team}/{queue}/{idem}"),
                fingerprint: key::sha256_hex(&body),
                version: 0,
            });
        let needs_claim = held_claim.is_some();
        self.gateway.deadlines.insert((deadline, id));
        self.gateway.pending.insert(
            id,
            PendingRequest {
                caller: Some(caller),
                team,
                queue,
                service: queue_config.service.unwrap_or_default(),
                body,
                held_claim,
                arrived_at: self.now,
                deadline,
                stage: RequestStage::Claiming,
                tried_data_centres: Vec::new(),
                route_attempts: 0,
                may_have_run: false,
            },
        );
        match needs_claim {
            true => self.write_claim(id),
            false => self.route(id),
        }
    }

    fn admit_request(
        &self,
        queue: &Name,
        key: Option<&Hash>,
        idempotency_key: Option<&Name>,
    ) -> Result<(model::Queue, Name), Refusal> {
        let (queue_config, team) = self.authorize(queue, key)?;
        let down = Refusal::temporary(Reason::StoreDown, Duration::from_secs(2));
        let busy = Refusal::temporary(Reason::Overloaded, Duration::from_secs(1));
        match idempotency_key {
            _ if queue_config.work != WorkKind::Request => Err(Refusal::permanent(Reason::NoQueue)),
            None if !queue_config.idempotent => Err(Refusal::permanent(Reason::NoIdempotencyKey)),
            Some(k) if !is_valid_idempotency_key(k) => Err(Refusal::permanent(Reason::BadRequest)),
            _ if !queue_config.idempotent && self.store.is_down() => Err(down),
            _ if self.gateway.pending.len() >= MAX_PENDING_REQUESTS => Err(busy),
            _ => Ok((queue_config, team)),
        }
    }

    /// Routes a request to the owner of a data centre chosen by `select_target`.
    pub(crate) fn route(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get(&id) else {
            return;
        };
        if pending.stage == RequestStage::Abandoned {
            let refusal = Refusal::permanent(Reason::Expired);
            return self.finish(id, Answer::Refused(refusal));
        }
        let target = self.select_request_target(id);
        let Some((data_centre, owner)) = target else {
            return self.handle_no_route(id);
        };
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        self.gateway.unrouted.remove(&id);
        pending.route_attempts += 1;
        pending.tried_data_centres.push(data_centre.clone());
        pending.stage = RequestStage::Routed(owner.clone());
        let serve = ServeRequest {
            id,
            data_centre,
            team: pending.team.clone(),
            queue: pending.queue.clone(),
            service: pending.service.clone(),
            at_most_once: pending.held_claim.is_some(),
            budget_ms: pending.deadline.saturating_sub(self.now).as_millis() as u64,
            body: pending.body.clone(),
        };
        let own_name = self.settings.identity.name.clone();
        if owner == own_name {
            self.handle_serve(&own_name, serve);
        } else {
            self.send(&owner, Frame::Serve(serve));
        }
    }

    fn handle_no_route(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        if pending.route_attempts == 0 && self.now < pending.arrived_at + ROUTE_TIMEOUT {
            pending.stage = RequestStage::Unrouted;
            self.gateway.unrouted.insert(id);
            return;
        }
        let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
        self.finish(id, Answer::Refused(refusal));
    }

    /// Handles an owner's answer to a request that was routed to it.
    pub(crate) fn handle_answer(&mut self, id: u64, from: &Name, answer: Answer) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        let current = pending.stage == RequestStage::Routed(from.clone());
        pending.may_have_run |= current && answer == Answer::Unknown;
        let more = pending.route_attempts < MAX_ROUTE_ATTEMPTS;
        let once = pending.held_claim.is_some();
        match answer {
            Answer::Done { .. } => self.finish(id, answer),
            _ if !current => {} // The request is no longer routed to this owner.
            Answer::Refused(refusal) if more && may_reroute(refusal.reason) => {
                self.reroute(id, answer);
            }
            Answer::Unknown if !once && more && self.gateway.take_retry_token() => {
                self.reroute(id, answer)
            }
            _ => self.finish(id, answer),
        }
    }

    /// Routes the request to another data centre, or finishes it with `answer` if
    /// there is none.
    fn reroute(&mut self, id: u64, answer: Answer) {
        match self.select_request_target(id) {
            Some(_) => self.route(id),
            None => self.finish(id, answer),
        }
    }

    fn select_request_target(&mut self, id: u64) -> Option<(Name, Name)> {
        let pending = self.gateway.pending.get(&id)?;
        let (team, service) = (pending.team.clone(), pending.service.clone());
        let tried = pending.tried_data_centres.clone();
        self.select_target(&team, &service, &tried)
    }

    /// Handles a request that was definitely not sent to its owner.
    pub(crate) fn handle_serve_not_sent(&mut self, id: u64, to: &Name) {
        let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
        self.handle_answer(id, to, Answer::Refused(refusal));
    }

    /// Treats requests routed to a silent peer as having an unknown outcome.
    pub(crate) fn handle_silent_peer(&mut self, name: &Name) {
        let stage = RequestStage::Routed(name.clone());
        let waiting = self.gateway.pending.iter();
        let lost: Vec<u64> = waiting
            .filter(|(_, p)| p.stage == stage)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.handle_answer(id, name, Answer::Unknown);
        }
    }

    /// Answers the caller and records the outcome of a committed claim.
    pub(crate) fn finish(&mut self, id: u64, answer: Answer) {
        let Some(pending) = self.gateway.pending.get(&id) else {
            return;
        };
        let answer = match answer {
            Answer::Refused(_) if pending.may_have_run => Answer::Unknown,
            other => other,
        };
        let claimed = pending.held_claim.clone().filter(|h| h.version > 0);
        if let Some(held) = claimed {
            self.record_outcome(id, held, &answer);
        }
        self.finish_without_outcome(id, answer);
    }

    /// Answers the caller without changing the claim.
    pub(crate) fn finish_without_outcome(&mut self, id: u64, answer: Answer) {
        let Some(pending) = self.gateway.pending.remove(&id) else {
            return;
        };
        self.gateway.deadlines.remove(&(pending.deadline, id));
        self.gateway.unrouted.remove(&id);
        if answer == Answer::Unknown {
            self.log(Notice::OutcomeUnknown(id));
        }
        if let Some(caller) = pending.caller {
            self.reply(caller, Reply::Answer(answer));
        }
    }

    /// Expires overdue requests and routes those that wait for an owner.
    pub(crate) fn tick_gateway(&mut self) {
        while let Some((at, id)) = self.gateway.deadlines.first().copied() {
            if at > self.now {
                break;
            }
            self.gateway.deadlines.remove(&(at, id));
            self.expire(id);
        }
        let unrouted: Vec<u64> = self.gateway.unrouted.iter().copied().collect();
        for id in unrouted {
            self.route(id);
        }
        self.tick_submissions();
    }

    fn expire(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get(&id) else {
            return;
        };
        let refusal = Refusal::temporary(Reason::Expired, Duration::from_secs(1));
        match pending.stage.clone() {
            RequestStage::Claiming if pending.held_claim.is_some() => self.abandon(id, refusal),
            RequestStage::Claiming | RequestStage::Unrouted | RequestStage::Abandoned => {
                self.finish(id, Answer::Refused(refusal));
            }
            RequestStage::Routed(owner) => {
                self.send_drop(id, &owner);
                self.answer_unknown(id);
            }
        }
    }

    /// Answers "unknown" at the deadline. A request with a claim stays pending
    /// for `MAX_REQUEST_TIMEOUT`, so that a late answer is still recorded for
    /// the caller's retry.
    fn answer_unknown(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        let caller = pending.caller.take();
        if pending.held_claim.is_none() || caller.is_none() {
            pending.caller = caller;
            return self.finish(id, Answer::Unknown);
        }
        pending.deadline = self.now + MAX_REQUEST_TIMEOUT;
        self.gateway.deadlines.insert((pending.deadline, id));
        self.log(Notice::OutcomeUnknown(id));
        if let Some(caller) = caller {
            self.reply(caller, Reply::Answer(Answer::Unknown));
        }
    }

    /// Refuses a request whose claim is still in flight.
    fn abandon(&mut self, id: u64, refusal: Refusal) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        pending.stage = RequestStage::Abandoned;
        if let Some(caller) = pending.caller.take() {
            self.reply(caller, Reply::Answer(Answer::Refused(refusal)));
        }
    }

    fn send_drop(&mut self, id: u64, owner: &Name) {
        match *owner == self.settings.identity.name {
            true => self.drop_queued(id),
            false => self.send(owner, Frame::Drop { id }),
        }
    }

    /// Handles the disconnect of a caller. A routed request with a claim
    /// continues so that its outcome is recorded; one without a claim is dropped.
    pub(crate) fn handle_caller_disconnect(&mut self, caller: CallerId) {
        let mut waiting = self.gateway.pending.iter_mut();
        let found = waiting.find(|(_, p)| p.caller == Some(caller));
        let Some((id, pending)) = found else {
            return;
        };
        let id = *id;
        pending.caller = None;
        match pending.stage.clone() {
            RequestStage::Routed(owner) if pending.held_claim.is_none() => {
                self.send_drop(id, &owner);
                self.finish_without_outcome(id, Answer::Unknown);
            }
            _ => {}
        }
    }

    pub(crate) fn query_job(
        &mut self,
        caller: CallerId,
        key: Option<Hash>,
        job: Name,
        query: JobQuery,
    ) {
        let team = match &key {
            None => Ok(Name::default()),
            Some(_) => self.team_of_key(key.as_ref()),
        };
        let team = match team {
            Ok(team) => team,
            Err(refusal) => return self.reply(caller, Reply::Refused(refusal)),
        };
        self.forward_job_query(caller, team, job, query);
    }
}

/// Returns whether another data centre might accept a request refused for this
/// reason.
const fn may_reroute(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoBackend | Reason::Overloaded | Reason::ShuttingDown
    )
}

/// Returns whether an idempotency key may be used as part of a row key.
pub(crate) fn is_valid_idempotency_key(key: &Name) -> bool {
    let legal = |c: char| c.is_ascii_alphanumeric() || "._-:".contains(c);
    !key.is_empty() && key.len() <= 128 && key.chars().all(legal)
}
