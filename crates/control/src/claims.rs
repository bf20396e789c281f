//! Idempotency key claims and their recorded outcomes.
//!
//! Invariant: at most one request holds the claim on a key, enforced by the
//! row version; a recorded result never changes.

use std::time::Duration;

use bytes::Bytes;
use model::{Answer, Cell, Condition, Hash, Name, Reason, Refusal, TableError, Transaction, Write};
use serde::{Deserialize, Serialize};

use crate::gateway::RequestStage;
use crate::node::Node;
use crate::notice::Notice;
use crate::store::{Purpose, TableResponse, committed_version, first_row, read_row};

/// Maximum size in bytes of a response body stored with an outcome.
const MAX_STORED_BODY: usize = 8 * 1024;
/// Deadline for writing an outcome to the store.
const OUTCOME_WRITE_TIMEOUT: Duration = Duration::from_secs(900);

/// State of an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// Claimed by a request that may have been sent to an executor.
    Claimed,
    /// The request did not run; the key may be claimed again.
    NotRun,
    /// The request completed. `body` is `None` if it was too large to store.
    Done { status: u16, body: Option<Bytes> },
}

/// Stored row of an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub(crate) fingerprint: Hash,
    pub(crate) claimant: u64,
    pub(crate) state: ClaimState,
}

/// Claim on an idempotency key by a pending request.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    pub(crate) key: Name,
    pub(crate) fingerprint: Hash,
    /// Row version; zero until the claim is committed or an existing row is
    /// read.
    pub(crate) version: u64,
}

impl Node {
    pub(crate) fn write_claim(&mut self, id: u64) {
        let Some(pending) = self.gateway.pending.get(&id) else {
            return;
        };
        let Some(held) = &pending.held_claim else {
            return;
        };
        let claim = Claim {
            fingerprint: held.fingerprint.clone(),
            claimant: id,
            state: ClaimState::Claimed,
        };
        let transaction = claim_transaction(&held.key, held.version, &claim);
        let queued = self
            .store
            .write(transaction, Purpose::Claim(id), pending.deadline);
        if !queued {
            let refusal = Refusal::temporary(Reason::StoreDown, Duration::from_secs(2));
            self.finish(id, Answer::Refused(refusal));
        }
    }

    pub(crate) fn claim_written(&mut self, id: u64, result: Result<TableResponse, TableError>) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        match result {
            Ok(response) => {
                let held = pending.held_claim.as_mut();
                held.into_iter()
                    .for_each(|h| h.version = committed_version(&response));
                self.route(id);
            }
            Err(TableError::Unavailable) => {
                let refusal = Refusal::temporary(Reason::StoreDown, Duration::from_secs(2));
                self.finish(id, Answer::Refused(refusal));
            }
            Err(TableError::Condition(_) | TableError::Unknown) => self.check_claim(id),
        }
    }

    pub(crate) fn check_claim(&mut self, id: u64) {
        let key = self
            .gateway
            .pending
            .get(&id)
            .and_then(|p| p.held_claim.as_ref());
        let Some(key) = key.map(|held| held.key.clone()) else {
            return;
        };
        let effect = self
            .store
            .read(read_row(key), Purpose::ClaimCheck(id), self.now);
        self.effects.push(effect);
    }

    pub(crate) fn claim_read(&mut self, id: u64, result: Result<TableResponse, TableError>) {
        let Some(cell) = first_row(result) else {
            // The request has not been sent, so it is safe to report that it did
            // not run.
            let refusal = Refusal::temporary(Reason::StoreDown, Duration::from_secs(2));
            return self.finish(id, Answer::Refused(refusal));
        };
        self.apply_claim_row(id, &cell);
    }

    pub(crate) fn apply_claim_row(&mut self, id: u64, cell: &Cell) {
        let Some(pending) = self.gateway.pending.get_mut(&id) else {
            return;
        };
        let Some(held) = pending.held_claim.as_mut() else {
            return;
        };
        if cell.version == 0 {
            held.version = 0;
            return match pending.stage {
                RequestStage::Abandoned => self.route(id),
                _ => self.write_claim(id),
            };
        }
        let Ok(claim) = postcard::from_bytes::<Claim>(&cell.value) else {
            self.log(Notice::RowMalformed(Name::from("claim")));
            return self.finish_without_outcome(id, Answer::Unknown);
        };
        match claim.state {
            _ if claim.fingerprint != held.fingerprint => {
                let refusal = Refusal::permanent(Reason::KeyReused);
                self.finish_without_outcome(id, Answer::Refused(refusal));
            }
            ClaimState::Claimed if claim.claimant == id => {
                held.version = cell.version;
                self.route(id);
            }
            ClaimState::Claimed | ClaimState::Done { body: None, .. } => {
                self.finish_without_outcome(id, Answer::Unknown);
            }
            ClaimState::NotRun => {
                held.version = cell.version;
                self.write_claim(id);
            }
            ClaimState::Done {
                status,
                body: Some(body),
            } => self.finish_without_outcome(id, Answer::Done { status, body }),
        }
    }

    pub(crate) fn record_outcome(&mut self, id: u64, held: HeldClaim, answer: &Answer) {
        let state = match answer {
            Answer::Done { status, body } => ClaimState::Done {
                status: *status,
                body: Some(body.clone()).filter(|b| b.len() <= MAX_STORED_BODY),
            },
            Answer::Refused(_) => ClaimState::NotRun,
            Answer::Unknown => return,
        };
        let claim = Claim {
            fingerprint: held.fingerprint,
            claimant: id,
            state,
        };
        self.gateway
            .outcomes
            .insert(id, (held.key, claim, held.version));
        self.write_outcome(id);
    }

    pub(crate) fn write_outcome(&mut self, id: u64) {
        let Some((key, claim, version)) = self.gateway.outcomes.get(&id) else {
            return;
        };
        let transaction = claim_transaction(key, *version, claim);
        let deadline = self.now + OUTCOME_WRITE_TIMEOUT;
        self.store
            .write(transaction, Purpose::Outcome(id), deadline);
    }

    pub(crate) fn outcome_written(&mut self, id: u64, result: &Result<TableResponse, TableError>) {
        match result {
            // If the first write took effect, the retry fails its version check.
            Err(TableError::Unknown | TableError::Unavailable) => self.write_outcome(id),
            _ => {
                self.gateway.outcomes.remove(&id);
            }
        }
    }
}

fn claim_transaction(key: &Name, version: u64, claim: &Claim) -> Transaction {
    // Serializing plain data to memory cannot fail.
    let value = postcard::to_stdvec(claim).unwrap_or_default();
    Transaction {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write {
            key: key.clone(),
            value: Some(Bytes::from(value)),
        }],
    }
}
