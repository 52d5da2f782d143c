//! Claims on the idempotency keys of orders, and the outcomes recorded for them.

use lavenderhatch_core::NodeId;
use lavenderhatch_decide::message::{Claim, ClaimVerdict, OutcomeRecord, RecordedOutcome};

use crate::peer_capnp::{claim, claim_verdict, outcome_record};
use crate::scalar::{WireError, read_digest, read_incarnation, read_name};

/// Encodes a claim.
pub fn write_claim(claim: &Claim, mut out: claim::Builder<'_>) {
    out.set_key_hash(claim.key_hash.as_bytes());
    out.set_request_digest(claim.request_digest.as_bytes());
    out.set_executor(claim.executor.as_str());
    out.set_incarnation(claim.incarnation.0);
    out.set_attempt(claim.attempt);
}

/// Validates and decodes a claim.
pub fn read_claim(msg: claim::Reader<'_>) -> Result<Claim, WireError> {
    Ok(Claim {
        key_hash: read_digest("keyHash", msg.get_key_hash()?)?,
        request_digest: read_digest("requestDigest", msg.get_request_digest()?)?,
        executor: read_name("executor", msg.get_executor()?, NodeId::new)?,
        incarnation: read_incarnation(msg.get_incarnation()),
        attempt: msg.get_attempt(),
    })
}

/// Encodes the verdict on a claim.
pub fn write_verdict(verdict: &ClaimVerdict, mut out: claim_verdict::Builder<'_>) {
    match verdict {
        ClaimVerdict::Granted => out.set_granted(()),
        ClaimVerdict::Recorded(outcome) => {
            let mut recorded = out.init_recorded();
            recorded.set_status(outcome.status);
            recorded.set_body_digest(outcome.body_digest.as_bytes());
        }
        ClaimVerdict::InFlight => out.set_in_flight(()),
        ClaimVerdict::Conflict => out.set_conflict(()),
        ClaimVerdict::Unavailable => out.set_unavailable(()),
        ClaimVerdict::Unknown => out.set_unknown(()),
    }
}

/// Validates and decodes the verdict on a claim.
pub fn read_verdict(msg: claim_verdict::Reader<'_>) -> Result<ClaimVerdict, WireError> {
    Ok(match msg.which()? {
        claim_verdict::Which::Granted(()) => ClaimVerdict::Granted,
        claim_verdict::Which::Recorded(recorded) => {
            let recorded = recorded?;
            ClaimVerdict::Recorded(RecordedOutcome {
                status: recorded.get_status(),
                body_digest: read_digest("bodyDigest", recorded.get_body_digest()?)?,
            })
        }
        claim_verdict::Which::InFlight(()) => ClaimVerdict::InFlight,
        claim_verdict::Which::Conflict(()) => ClaimVerdict::Conflict,
        claim_verdict::Which::Unavailable(()) => ClaimVerdict::Unavailable,
        claim_verdict::Which::Unknown(()) => ClaimVerdict::Unknown,
    })
}

/// Encodes an outcome record.
pub fn write_outcome(record: &OutcomeRecord, mut out: outcome_record::Builder<'_>) {
    out.set_key_hash(record.key_hash.as_bytes());
    out.set_executor(record.executor.as_str());
    out.set_incarnation(record.incarnation.0);
    out.set_attempt(record.attempt);
    out.set_has_run(record.outcome.is_some());
    if let Some(outcome) = &record.outcome {
        out.set_status(outcome.status);
        out.set_body_digest(outcome.body_digest.as_bytes());
    }
}

/// Validates and decodes an outcome record.
pub fn read_outcome(msg: outcome_record::Reader<'_>) -> Result<OutcomeRecord, WireError> {
    let outcome = match msg.get_has_run() {
        false => None,
        true => Some(RecordedOutcome {
            status: msg.get_status(),
            body_digest: read_digest("bodyDigest", msg.get_body_digest()?)?,
        }),
    };
    Ok(OutcomeRecord {
        key_hash: read_digest("keyHash", msg.get_key_hash()?)?,
        executor: read_name("executor", msg.get_executor()?, NodeId::new)?,
        incarnation: read_incarnation(msg.get_incarnation()),
        attempt: msg.get_attempt(),
        outcome,
    })
}
