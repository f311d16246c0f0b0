//! Replay of events of idempotency keys. A trace has short names for keys, requests and
//! incarnations, from which their digests and ids are computed.

use lynxmount_core::Incarnation;
use lynxmount_idempotency::{
    Admission, Claim, ClaimBatch, DedupOptions, DedupTable, KeyDecision, KeyDigest, RequestDigest,
    decide_key, key_digest, request_digest,
};
use serde_json::{Value, json};
use uuid::Uuid;

use crate::{Event, Replayer};

/// Capacity of each incarnation's deduplication table in a trace.
const MAX_KEYS: usize = 1_000;

pub(crate) fn apply(replayer: &mut Replayer, event: &Event) -> Result<Value, String> {
    match event {
        Event::ClaimRead { entry, offset, key, request, life, replaces } => {
            let claim = Claim {
                key_digest: key_of(key),
                request_digest: request_of(request),
                endpoint: endpoint_of(life).into(),
                incarnation: incarnation_of(life),
                claimed_at_ms: 0,
                replaces: *replaces,
            };
            let table = replayer.claim_tables.entry(entry.clone()).or_default();
            table.apply(*offset, ClaimBatch { claims: vec![claim] });
            Ok(json!({ "counts": table.get(&key_of(key)).map(|active| active.offset) }))
        }
        Event::Dispatched { life, key, request, bound_to, claimed_at_ms, at_ms, is_obstructed } => {
            let options = DedupOptions { max_keys: MAX_KEYS };
            let table = replayer
                .dedup_tables
                .entry(life.clone())
                .or_insert_with(|| DedupTable::new(incarnation_of(life), options));
            let bound_to = incarnation_of(bound_to);
            let key = key_of(key);
            let admission = table.admit(key, request_of(request), bound_to, *claimed_at_ms, *at_ms);
            if admission == Admission::Run && *is_obstructed {
                table.revoke_unstarted(&key);
                return Ok(json!("refused-and-revoked"));
            }
            Ok(json!(admission_name(admission)))
        }
        Event::KeyWanted { entry, key, request, revoked, live } => {
            let table = replayer.claim_tables.entry(entry.clone()).or_default();
            let active_claim = table.get(&key_of(key));
            let live = live.as_deref().map(incarnation_of);
            let decision = decide_key(&request_of(request), *revoked, active_claim, live);
            Ok(decision_value(decision))
        }
        _ => Err("no event of keys".to_owned()),
    }
}

fn key_of(name: &str) -> KeyDigest {
    key_digest("team", "service", name.as_bytes())
}

fn request_of(name: &str) -> RequestDigest {
    request_digest("POST", "/", name.as_bytes())
}

fn incarnation_of(name: &str) -> Incarnation {
    Uuid::new_v5(&Uuid::NAMESPACE_OID, name.as_bytes())
}

fn endpoint_of(incarnation: &str) -> &str {
    incarnation.split('/').next().unwrap_or(incarnation)
}

fn admission_name(admission: Admission) -> &'static str {
    match admission {
        Admission::Attach => "attach",
        Admission::Full => "full",
        Admission::KeyReused => "key-reused",
        Admission::NotBoundHere => "not-bound-here",
        Admission::Revoked => "revoked",
        Admission::Run => "run",
    }
}

fn decision_value(decision: KeyDecision) -> Value {
    match decision {
        KeyDecision::Claim { replaces } => json!({ "claim": { "replaces": replaces } }),
        KeyDecision::Dispatch => json!("dispatch"),
        KeyDecision::Reused => json!("reused"),
        KeyDecision::Unreachable => json!("unreachable"),
    }
}
