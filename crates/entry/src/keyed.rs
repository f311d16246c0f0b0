//! Requests that run at most once: where a key may run.

use std::{sync::Arc, time::SystemTime};

use lynxmount_audit::AuditEvent;
use lynxmount_core::{Offset, Reason, wall_time_ms};
use lynxmount_idempotency::{
    ActiveClaim, Claim, KeyDecision, KeyDigest, RequestDigest, decide_key,
};
use lynxmount_node::NodeHandle;
use lynxmount_wire::Binding;

use crate::{
    claims::Claims,
    gate::{Gate, Place, Want},
    reply::Refusal,
};

/// A key and the request that came with it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Key {
    pub(crate) key_digest: KeyDigest,
    pub(crate) request_digest: RequestDigest,
    /// The claim that this request has seen refused, and thereby revoked.
    pub(crate) revoked: Option<Offset>,
}

/// Finds the one place where a key may run, claiming one if there is none.
///
/// Fails with *unknown* if the key is bound to a process that can't be
/// reached, and with *not run* if it could not be bound.
pub(crate) async fn bind(
    key: &Key,
    want: Want<'_>,
    gate: &Arc<Gate>,
    claims: &Claims,
    node: &NodeHandle,
) -> Result<(Place, Binding), Refusal> {
    let active_claim = claims.get(&key.key_digest);
    match step_of(key, active_claim.as_ref(), gate) {
        KeyDecision::Claim { replaces } => {
            claim_place(key, replaces, want, gate, claims, node).await
        }
        _ => place_of_claim(key, active_claim.as_ref(), gate),
    }
}

fn step_of(key: &Key, active_claim: Option<&ActiveClaim>, gate: &Gate) -> KeyDecision {
    let link = active_claim.and_then(|active| gate.link(&active.claim.endpoint));
    let live = link.and_then(|link| link.incarnation());
    decide_key(&key.request_digest, key.revoked, active_claim, live)
}

async fn claim_place(
    key: &Key,
    replaces: Option<Offset>,
    want: Want<'_>,
    gate: &Arc<Gate>,
    claims: &Claims,
    node: &NodeHandle,
) -> Result<(Place, Binding), Refusal> {
    let place = gate.place(want).await?;
    let endpoint = place.link.endpoint.id.clone();
    let Some(incarnation) = place.link.incarnation() else {
        return Err(Refusal::not_run(Reason::NoEndpoint, "the endpoint has just gone"));
    };
    let claim = Claim {
        key_digest: key.key_digest,
        request_digest: key.request_digest,
        endpoint: endpoint.clone(),
        incarnation,
        claimed_at_ms: wall_time_ms(SystemTime::now()),
        replaces,
    };
    let active_claim = claims
        .claim(claim.clone())
        .await
        .map_err(|error| Refusal::not_run(Reason::PlatformOut, error.to_string()))?;
    if let (Some(replaced), true) = (replaces, active_claim.claim == claim) {
        node.audit(AuditEvent::KeyRebound { replaced, endpoint });
    }
    match active_claim.claim == claim {
        true => Ok((place, binding_of(&active_claim))),
        // Another entry was first; the key runs where its claim says.
        false => place_of_claim(key, Some(&active_claim), gate),
    }
}

/// Takes a place at the incarnation that the claim names, however loaded it is.
fn place_of_claim(
    key: &Key,
    active_claim: Option<&ActiveClaim>,
    gate: &Arc<Gate>,
) -> Result<(Place, Binding), Refusal> {
    let endpoint = active_claim.map(|active| active.claim.endpoint.clone()).unwrap_or_default();
    match (step_of(key, active_claim, gate), active_claim, gate.link(&endpoint)) {
        (KeyDecision::Dispatch, Some(active_claim), Some(link)) => {
            Ok((gate.place_at(link), binding_of(active_claim)))
        }
        (KeyDecision::Reused, ..) => {
            let detail = "the key came with another method, path or body before";
            Err(Refusal::not_run(Reason::KeyReused, detail))
        }
        _ => {
            let detail = format!("the key was given to {endpoint}, which can't be asked now");
            Err(Refusal::unknown(Reason::LostAttempt, detail))
        }
    }
}

fn binding_of(active_claim: &ActiveClaim) -> Binding {
    let ActiveClaim { offset, claim } = active_claim;
    Binding {
        key_digest: claim.key_digest,
        request_digest: claim.request_digest,
        incarnation: claim.incarnation,
        claim_offset: *offset,
        claimed_at_ms: claim.claimed_at_ms,
    }
}
