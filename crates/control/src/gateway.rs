//! Requests of callers, from arrival to their final answer.
//!
//! A request of a non-idempotent queue is sent only after its idempotency key
//! was claimed in the table service. A caller's retry finds the claim and gets
//! the recorded result or "unknown", never a second run.
//!
//! Invariant: each request is answered exactly once, at its deadline at the
//! latest, and "refused" only if no executor was or will be sent it.

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

/// Longest time for which a caller may wait.
const MAX_BUDGET: Duration = Duration::from_secs(30);
/// Time for which a request waits for a route before it is refused.
const ROUTE_TIME: Duration = Duration::from_millis(1_500);
/// Data centres tried for one request.
const MAX_ROUTES: u32 = 3;
/// Retries earned by each request.
const RETRY_EARNED: f64 = 0.1;
/// Most retries saved up.
const RETRY_BURST: f64 = 100.0;
/// Most requests in hand at one node.
const MAX_REQUESTS: usize = 8_192;

/// Where a request in hand stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Stage {
    Claiming,
    Unrouted,
    Routed(Name),
    /// The caller has its refusal; the claim is to be marked as not run.
    Abandoned,
}

/// A request in hand.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) caller: Option<CallerId>,
    pub(crate) team: Name,
    pub(crate) queue: Name,
    pub(crate) service: Name,
    pub(crate) body: Bytes,
    pub(crate) held: Option<HeldClaim>,
    pub(crate) arrived: Duration,
    pub(crate) deadline: Duration,
    pub(crate) stage: Stage,
    pub(crate) tried: Vec<Name>,
    pub(crate) routes: u32,
    /// True once an owner's answer left open whether the request ran.
    pub(crate) may_have_run: bool,
}

/// Requests and submissions in hand.
#[derive(Debug, Default)]
pub(crate) struct Gateway {
    pub(crate) pending: BTreeMap<u64, Pending>,
    deadlines: BTreeSet<(Duration, u64)>,
    unrouted: BTreeSet<u64>,
    pub(crate) outcomes: BTreeMap<u64, (Name, Claim, u64)>,
    pub(crate) submissions: BTreeMap<u64, Submission>,
    pub(crate) questions: BTreeMap<u64, (CallerId, Duration)>,
    retries: f64,
}

impl Gateway {
    /// Takes one retry from the budget; false when there is none.
    pub(crate) fn spend_retry(&mut self) -> bool {
        let has = self.retries >= 1.0;
        if has {
            self.retries -= 1.0;
        }
        has
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.submissions.is_empty() && self.questions.is_empty()
    }
}

impl Node {
    pub(crate) fn ask_request(
        &mut self,
        caller: CallerId,
        queue: Name,
        key: Option<Hash>,
        idempotency: Option<Name>,
        body: Bytes,
        budget: Duration,
    ) {
        let admitted = self.admit_request(&queue, key.as_ref(), idempotency.as_ref());
        let (entry, team) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return self.reply(caller, Reply::Refused(refusal)),
        };
        self.gateway.retries = (self.gateway.retries + RETRY_EARNED).min(RETRY_BURST);
        let id = self.rng.u64(1..);
        let deadline = self.now + budget.min(MAX_BUDGET);
        let held = idempotency
            .filter(|_| !entry.idempotent)
            .map(|idem| HeldClaim {
                key: format_compact!("claim/{team}/{queue}/{idem}"),
                fingerprint: key::sha256_hex(&body),
                version: 0,
            });
        let claim = held.is_some();
        self.gateway.deadlines.insert((deadline, id));
        self.gateway.pending.insert(
            id,
            Pending {
                caller: Some(caller),
                team,
                queue,
                service: entry.service.unwrap_or_default(),
                body,
                held,
                arrived: self.now,
                deadline,
                stage: Stage::Claiming,
                tried: Vec::new(),
                routes: 0,
                may_have_run: false,
            },
        );
        match claim {
            true => self.write_claim(id),
            false => self.route(id),
        }
    }

    fn admit_request(
        &self,
        queue: &Name,
        key: Option<&Hash>,
        idempotency: Option<&Name>,
    ) -> Result<(model::Queue, Name), Refusal> {
        let (entry, team) = self.authorize(queue, key)?;
        let down = Refusal::temporary(Reason::StoreDown, Duration::from_secs(2));
        let busy = Refusal::temporary(Reason::Overloaded, Duration::from_secs(1));
        match idempotency {
            _ if entry.work != WorkKind::Request => Err(Refusal::permanent(Reason::NoQueue)),
            None if !entry.idempotent => Err(Refusal::permanent(Reason::NoIdempotencyKey)),
            Some(k) if !is_plain(k) => Err(Refusal::permanent(Reason::BadRequest)),
            _ if !entry.idempotent && self.store.is_down() => Err(down),
            _ if self.gateway.pending.len() >= MAX_REQUESTS => Err(busy),
            _ => Ok((entry, team)),
        }
    }

    /// Sends a request towards the owner that can serve it soonest.
    pub(crate) fn route(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get(&id) else {
            return;
        };
        if pending.stage == Stage::Abandoned {
            let refusal = Refusal::permanent(Reason::Expired);
            return self.finish(id, Answer::Refused(refusal));
        }
        let target = self.target_of(id);
        let Some((data_centre, owner)) = target else {
            return self.no_route(id);
        };
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        self.gateway.unrouted.remove(&id);
        pending.routes += 1;
        pending.tried.push(data_centre.clone());
        pending.stage = Stage::Routed(owner.clone());
        let serve = ServeRequest {
            id,
            data_centre,
            team: pending.team.clone(),
            queue: pending.queue.clone(),
            service: pending.service.clone(),
            at_most_once: pending.held.is_some(),
            budget_ms: pending.deadline.saturating_sub(self.now).as_millis() as u64,
            body: pending.body.clone(),
        };
        let me = self.settings.identity.name.clone();
        if owner == me {
            self.serve_from(&me, serve);
        } else {
            self.send(&owner, Frame::Serve(serve));
        }
    }

    fn no_route(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        if pending.routes == 0 && self.now < pending.arrived + ROUTE_TIME {
            pending.stage = Stage::Unrouted;
            self.gateway.unrouted.insert(id);
            return;
        }
        let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
        self.finish(id, Answer::Refused(refusal));
    }

    /// The owner's answer to a request that was routed to it.
    pub(crate) fn served(&mut self, id: u64, from: &Name, answer: Answer) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        let current = pending.stage == Stage::Routed(from.clone());
        pending.may_have_run |= current && answer == Answer::Unknown;
        let more = pending.routes < MAX_ROUTES;
        let once = pending.held.is_some();
        match answer {
            Answer::Done { .. } => self.finish(id, answer),
            _ if !current => {} // A late answer of an owner that was given up.
            Answer::Refused(refusal) if more && may_reroute(refusal.reason) => {
                self.reroute(id, answer);
            }
            Answer::Unknown if !once && more && self.gateway.spend_retry() => {
                self.reroute(id, answer)
            }
            _ => self.finish(id, answer),
        }
    }

    /// Tries another data centre, or settles for `answer`.
    fn reroute(&mut self, id: u64, answer: Answer) {
        match self.target_of(id) {
            Some(_) => self.route(id),
            None => self.finish(id, answer),
        }
    }

    fn target_of(&mut self, id: u64) -> Option<(Name, Name)> {
        let pending = self.gateway.pending.get(&id)?;
        let (team, service) = (pending.team.clone(), pending.service.clone());
        let tried = pending.tried.clone();
        self.choose_target(&team, &service, &tried)
    }

    /// A request that surely did not leave this node.
    pub(crate) fn serve_unsent(&mut self, id: u64, to: &Name) {
        let refusal = Refusal::temporary(Reason::NoBackend, Duration::from_secs(1));
        self.served(id, to, Answer::Refused(refusal));
    }

    /// Gives up on answers of a peer that has fallen silent.
    pub(crate) fn peer_silent(&mut self, name: &Name) {
        let stage = Stage::Routed(name.clone());
        let waiting = self.gateway.pending.iter();
        let lost: Vec<u64> = waiting
            .filter(|(_, p)| p.stage == stage)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.served(id, name, Answer::Unknown);
        }
    }

    /// Answers the caller and records the outcome of a held claim.
    pub(crate) fn finish(&mut self, id: u64, answer: Answer) {
        let Some(pending) = self.gateway.pending.get(&id) else {
            return;
        };
        let answer = match answer {
            Answer::Refused(_) if pending.may_have_run => Answer::Unknown,
            other => other,
        };
        let claimed = pending.held.clone().filter(|h| h.version > 0);
        if let Some(held) = claimed {
            self.record_outcome(id, held, &answer);
        }
        self.finish_silently(id, answer);
    }

    /// Answers the caller and leaves the claim as it is.
    pub(crate) fn finish_silently(&mut self, id: u64, answer: Answer) {
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

    /// Times requests out and routes those that waited for an owner.
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
            Stage::Claiming if pending.held.is_some() => self.abandon(id, refusal),
            Stage::Claiming | Stage::Unrouted | Stage::Abandoned => {
                self.finish(id, Answer::Refused(refusal));
            }
            Stage::Routed(owner) => {
                self.tell_drop(id, &owner);
                self.give_up(id);
            }
        }
    }

    /// Answers "unknown" at the deadline. A request that must run once stays
    /// for a while, so that a late answer is still recorded for a retry.
    fn give_up(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        let caller = pending.caller.take();
        if pending.held.is_none() || caller.is_none() {
            pending.caller = caller;
            return self.finish(id, Answer::Unknown);
        }
        pending.deadline = self.now + MAX_BUDGET;
        self.gateway.deadlines.insert((pending.deadline, id));
        self.log(Notice::OutcomeUnknown(id));
        if let Some(caller) = caller {
            self.reply(caller, Reply::Answer(Answer::Unknown));
        }
    }

    /// Refuses a request whose claim is still under way.
    fn abandon(&mut self, id: u64, refusal: Refusal) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        pending.stage = Stage::Abandoned;
        if let Some(caller) = pending.caller.take() {
            self.reply(caller, Reply::Answer(Answer::Refused(refusal)));
        }
    }

    fn tell_drop(&mut self, id: u64, owner: &Name) {
        match *owner == self.settings.identity.name {
            true => self.drop_waiting(id),
            false => self.send(owner, Frame::Drop { id }),
        }
    }

    /// Forgets a caller. Its request goes on only if it must run once, so
    /// that its outcome is recorded.
    pub(crate) fn caller_gone(&mut self, caller: CallerId) {
        let mut waiting = self.gateway.pending.iter_mut();
        let found = waiting.find(|(_, p)| p.caller == Some(caller));
        let Some((id, pending)) = found else {
            return;
        };
        let id = *id;
        pending.caller = None;
        match pending.stage.clone() {
            Stage::Routed(owner) if pending.held.is_none() => {
                self.tell_drop(id, &owner);
                self.finish_silently(id, Answer::Unknown);
            }
            _ => {}
        }
    }

    pub(crate) fn ask_job(
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
        self.question(caller, team, job, query);
    }
}

/// True when another data centre may give another answer.
const fn may_reroute(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NoBackend | Reason::Overloaded | Reason::ShuttingDown
    )
}

/// True for idempotency keys that may be part of a row key.
pub(crate) fn is_plain(key: &Name) -> bool {
    let legal = |c: char| c.is_ascii_alphanumeric() || "._-:".contains(c);
    !key.is_empty() && key.len() <= 128 && key.chars().all(legal)
}
